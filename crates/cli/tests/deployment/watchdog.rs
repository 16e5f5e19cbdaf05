//! Ends a test that hangs: its processes are killed, and the test program exits with a message that
//! names the test.

use std::collections::BTreeSet;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long a test with a deployment may take: several times its longest wait.
const TEST_LIMIT: Duration = Duration::from_secs(300);
/// Names for how many seconds more a soak by hand disturbs its processes.
const SOAK_SECONDS: &str = "LYCHEEHUB_SOAK_SECONDS";
/// The exit status of a test program that failed.
const FAILED: i32 = 101;

/// The ids of the processes that run now.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running<T>(change: impl FnOnce(&mut BTreeSet<u32>) -> T) -> T {
    change(&mut RUNNING.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Records that a process was started.
pub fn add_process(id: u32) {
    running(|ids| ids.insert(id));
}

/// Records that a process has ended and was waited for.
pub fn remove_process(id: u32) {
    running(|ids| ids.remove(&id));
}

/// Limits the time of a test until it is dropped.
pub struct Watchdog {
    /// Closing the channel ends the thread.
    _ended: Sender<()>,
}

impl Watchdog {
    /// Starts to limit the time of the current test.
    pub fn start() -> Self {
        let (ended, receiver) = channel();
        let test = std::thread::current().name().unwrap_or("a test").to_owned();
        let soak_s = std::env::var(SOAK_SECONDS).ok().and_then(|text| text.parse().ok());
        let limit = TEST_LIMIT + Duration::from_secs(soak_s.unwrap_or_default());
        std::thread::spawn(move || {
            if receiver.recv_timeout(limit) == Err(RecvTimeoutError::Timeout) {
                end_program(&test, limit);
            }
        });
        Self { _ended: ended }
    }
}

fn end_program(test: &str, limit: Duration) {
    eprintln!("{test} has not ended within {limit:?}");
    let ids: Vec<String> = running(|ids| ids.iter().map(u32::to_string).collect());
    // Fails if a process has just ended.
    let _ = Command::new("kill").arg("-KILL").args(ids).stderr(Stdio::null()).status();
    std::process::exit(FAILED);
}

/// Sets a flag when it is dropped, so that the threads of a test end also if its body panics.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
