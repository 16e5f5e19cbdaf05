//! Suspends local placement for a short time after the process was paused.
//!
//! When a stopped process or a suspended machine resumes, its state is stale: endpoints may have left
//! and client accounts may have used up their quota in the meantime. For `LEADER_WAIT_MS` after a
//! pause, the instance therefore places no requests with its local dispatcher and waits for the
//! leader, whose state is current. If no leader answers within that time, the pause is not the reason,
//! and local placement resumes.

/// The minimum gap between two observations of the running process that counts as a pause, in
/// milliseconds: well above the scheduling delays on a busy machine.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// How long an instance waits for the leader after a pause, in milliseconds: enough for several
/// connection attempts.
const LEADER_WAIT_MS: u64 = 1_000;

/// Detects pauses of this process.
///
/// # Examples
/// ```
/// use lycheehub_peer::entry::PauseGuard;
///
/// let mut guard = PauseGuard::new(1_000);
/// assert!(!guard.record_running(1_050));
/// assert!(!guard.must_wait(1_050));
/// assert!(guard.record_running(6_000));
/// assert!(guard.must_wait(6_000));
/// assert!(guard.must_wait(6_900));
/// assert!(!guard.must_wait(7_100));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    /// When the process was last observed running, in milliseconds.
    last_run_ms: u64,
    /// Until when requests wait for the leader, in milliseconds.
    wait_until_ms: u64,
}

impl PauseGuard {
    /// Creates a guard for a process that is running at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self { last_run_ms: now_ms, wait_until_ms: 0 }
    }

    /// Records that the process is running. Returns whether it was paused since the last call.
    pub fn record_running(&mut self, now_ms: u64) -> bool {
        let was_paused = now_ms >= self.last_run_ms + PAUSE_THRESHOLD_MS;
        if was_paused {
            self.wait_until_ms = now_ms + LEADER_WAIT_MS;
        }
        self.last_run_ms = now_ms;
        was_paused
    }

    /// Returns whether requests must wait for the leader because of the last detected pause.
    pub fn must_wait(&self, now_ms: u64) -> bool {
        now_ms < self.wait_until_ms
    }
}
