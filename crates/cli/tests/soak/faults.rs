//! The faults of a run, drawn by its seed; they overlap and come in series.

use crate::deployment::{Deployment, Process};
use crate::endpoint::{DRAIN, Endpoint, Faults};
use crate::record::{Record, Scope};
use lycheehub_standin::proxy::Mode;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The end of a process that is told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// What is done to the system.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillControl(usize),
    KillAllControls,
    PauseControl(usize),
    /// Killed, and started again with an empty disk.
    WipeControl(usize),
    /// Killed in the middle of a write.
    TearControl(usize),
    DisturbControl(usize, Mode),
    ResetControl(usize),
    KillEntry(usize),
    PauseEntry(usize),
    StopEntry(usize),
    ReloadEntry(usize),
    DisturbEntry(usize, Mode),
    CrashEndpoint(usize),
    LeaveEndpoint(usize),
    FailEndpoint(usize, Faults),
    DisturbEndpoint(usize, Mode),
    ResetEndpoint(usize),
}

/// A fault with when it begins and how long it lasts.
#[derive(Clone, Copy, Debug)]
struct Planned {
    at: Duration,
    lasts: Duration,
    fault: Fault,
}

/// What faults are done to.
pub struct Target {
    pub deployment: Mutex<Deployment>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub record: Arc<Record>,
    /// Control instances and entry instances at which a fault is at work.
    busy: Vec<AtomicBool>,
    controls: usize,
    entries: usize,
    /// How many disks may yet be lost.
    wipes_left: AtomicUsize,
}

impl Target {
    pub fn new(
        deployment: Deployment,
        endpoints: Vec<Arc<Endpoint>>,
        record: Arc<Record>,
        losses: usize,
    ) -> Self {
        let (controls, entries) = (deployment.controls.len(), deployment.entries.len());
        let busy = (0..controls + entries).map(|_| AtomicBool::new(false)).collect();
        let wipes_left = AtomicUsize::new(losses);
        let deployment = Mutex::new(deployment);
        Self { deployment, endpoints, record, busy, controls, entries, wipes_left }
    }

    pub fn deployment(&self) -> MutexGuard<'_, Deployment> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does the faults of a seed for about `length`; returns once all are over.
    pub fn disturb(self: &Arc<Self>, seed: u64, length: Duration) -> String {
        let plan = plan(seed, length, self.controls, self.entries, self.endpoints.len());
        let began = Instant::now();
        let threads: Vec<_> = plan
            .iter()
            .copied()
            .map(|planned| {
                let target = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(planned.at.saturating_sub(began.elapsed()));
                    target.act(planned);
                })
            })
            .collect();
        for thread in threads {
            thread.join().expect("a fault's thread ends");
        }
        let lines = plan.iter().map(|planned| format!("\n  {planned:?}"));
        lines.collect()
    }

    fn act(&self, planned: Planned) {
        let lasts = planned.lasts;
        match planned.fault {
            Fault::KillAllControls => self.kill_all(lasts),
            Fault::KillControl(place) => self.restart(place, lasts, |_| {}),
            Fault::WipeControl(place) => {
                let left = self.wipes_left.load(Ordering::Relaxed);
                if left > 0 {
                    self.wipes_left.store(left - 1, Ordering::Relaxed);
                    self.restart(place, lasts, wipe);
                }
            }
            Fault::TearControl(place) => self.restart(place, lasts, tear),
            Fault::KillEntry(place) => self.restart(self.controls + place, lasts, |_| {}),
            Fault::PauseControl(place) => self.pause(place, lasts),
            Fault::PauseEntry(place) => self.pause(self.controls + place, lasts),
            Fault::StopEntry(place) => self.stop(self.controls + place),
            Fault::ReloadEntry(place) => self.deployment().entries[place].signal("HUP"),
            Fault::DisturbControl(place, mode) => self.disturb_paths(place, mode, lasts),
            Fault::DisturbEntry(place, mode) => {
                self.disturb_paths(self.controls + place, mode, lasts);
            }
            Fault::ResetControl(place) => self.reset_paths(place),
            Fault::CrashEndpoint(place) => self.crash_endpoint(place, lasts),
            Fault::LeaveEndpoint(place) => self.leave_endpoint(place, lasts),
            Fault::FailEndpoint(place, faults) => {
                let endpoint = &self.endpoints[place];
                self.during(Scope::Endpoint(place), || {
                    endpoint.set_faults(faults);
                    std::thread::sleep(lasts);
                    endpoint.set_faults(Faults::default());
                });
            }
            Fault::DisturbEndpoint(place, mode) => {
                let endpoint = &self.endpoints[place];
                self.during(Scope::Endpoint(place), || {
                    endpoint.path.set_mode(mode);
                    std::thread::sleep(lasts);
                    endpoint.path.set_mode(Mode::Open);
                });
            }
            Fault::ResetEndpoint(place) => {
                self.during(Scope::Endpoint(place), || self.endpoints[place].path.reset());
            }
        }
    }

    fn during(&self, scope: Scope, act: impl FnOnce()) {
        self.record.disturbed(scope);
        act();
        self.record.restored(scope);
    }

    fn scope_of(&self, place: usize) -> Scope {
        if place < self.controls { Scope::Control } else { Scope::Entry(place - self.controls) }
    }

    fn with_process<T>(&self, place: usize, act: impl FnOnce(&mut Process) -> T) -> T {
        let mut deployment = self.deployment();
        if place < self.controls {
            act(&mut deployment.controls[place])
        } else {
            act(&mut deployment.entries[place - self.controls])
        }
    }

    /// Acts on a process unless another fault is at work there.
    fn claim(&self, place: usize, act: impl FnOnce()) {
        if self.busy[place].swap(true, Ordering::Relaxed) {
            return;
        }
        self.during(self.scope_of(place), act);
        self.busy[place].store(false, Ordering::Relaxed);
    }

    fn restart(&self, place: usize, lasts: Duration, before_start: impl FnOnce(&Process)) {
        self.claim(place, || {
            self.with_process(place, Process::kill);
            std::thread::sleep(lasts);
            self.with_process(place, |process| {
                before_start(process);
                process.start(false);
            });
        });
    }

    fn kill_all(&self, lasts: Duration) {
        let claimed: Vec<usize> = (0..self.controls)
            .filter(|place| !self.busy[*place].swap(true, Ordering::Relaxed))
            .collect();
        self.during(Scope::Control, || {
            claimed.iter().for_each(|place| self.with_process(*place, Process::kill));
            std::thread::sleep(lasts);
            let start = |process: &mut Process| process.start(false);
            claimed.iter().for_each(|place| self.with_process(*place, start));
        });
        claimed.iter().for_each(|place| self.busy[*place].store(false, Ordering::Relaxed));
    }

    fn pause(&self, place: usize, lasts: Duration) {
        self.claim(place, || {
            self.with_process(place, |process| process.signal("STOP"));
            std::thread::sleep(lasts);
            self.with_process(place, |process| process.signal("CONT"));
        });
    }

    /// Stops an entry instance as the platform does, and starts it again. Until its end all
    /// promises hold.
    fn stop(&self, place: usize) {
        if self.busy[place].swap(true, Ordering::Relaxed) {
            return;
        }
        let from = Instant::now();
        self.with_process(place, |process| process.signal("TERM"));
        if !self.ends(place) {
            self.record.finding(format!("entry {place} did not stop in {STOP_TIMEOUT:?}"));
        }
        self.during(self.scope_of(place), || {
            self.record.stopped(place - self.controls, from);
            self.with_process(place, |process| {
                process.kill();
                process.start(false);
            });
        });
        self.busy[place].store(false, Ordering::Relaxed);
    }

    fn ends(&self, place: usize) -> bool {
        let began = Instant::now();
        while began.elapsed() < STOP_TIMEOUT {
            if self.with_process(place, Process::has_ended) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn disturb_paths(&self, place: usize, mode: Mode, lasts: Duration) {
        let ip = self.with_process(place, |process| process.ip.clone());
        let set = |mode| self.deployment().paths_of(&ip).for_each(|path| path.set_mode(mode));
        self.claim(place, || {
            set(mode);
            std::thread::sleep(lasts);
            set(Mode::Open);
        });
    }

    fn reset_paths(&self, place: usize) {
        let ip = self.with_process(place, |process| process.ip.clone());
        self.claim(place, || {
            self.deployment().paths_of(&ip).for_each(lycheehub_standin::proxy::Proxy::reset);
        });
    }

    fn crash_endpoint(&self, place: usize, lasts: Duration) {
        let endpoint = &self.endpoints[place];
        self.during(Scope::Endpoint(place), || {
            endpoint.set_crashed(true);
            endpoint.path.set_mode(Mode::Refused);
            endpoint.path.reset();
            std::thread::sleep(lasts);
            endpoint.path.set_mode(Mode::Open);
            endpoint.set_crashed(false);
        });
    }

    fn leave_endpoint(&self, place: usize, lasts: Duration) {
        let endpoint = &self.endpoints[place];
        endpoint.set_leaving(true);
        std::thread::sleep(DRAIN + lasts);
        endpoint.set_leaving(false);
    }
}

fn wipe(process: &Process) {
    std::fs::remove_dir_all(process.data()).expect("the data folder is there");
}

/// Leaves the begin of a record at the end of the log, as a write does that was interrupted.
fn tear(process: &Process) {
    // A record's header and a part of its content.
    const BEGIN_BYTES: usize = 20;
    let path = process.data().join("log");
    // It is not there where its disk was lost just before.
    let Ok(mut bytes) = std::fs::read(&path) else { return };
    bytes.truncate(BEGIN_BYTES);
    let file = std::fs::File::options().append(true).open(path);
    let written = file.and_then(|mut file| file.write_all(&bytes));
    written.expect("the log can be written");
}

/// Draws the faults of a seed.
fn plan(
    seed: u64,
    length: Duration,
    controls: usize,
    entries: usize,
    endpoints: usize,
) -> Vec<Planned> {
    const MEAN_GAP_MS: u64 = 900;
    let mut random = StdRng::seed_from_u64(seed);
    let mut pick = |below: usize| (random.next_u64() % below.max(1) as u64) as usize;
    let mut planned = Vec::new();
    let mut at_ms = pick(500) as u64;
    while u128::from(at_ms) < length.as_millis() {
        let (control, entry) = (pick(controls), pick(entries));
        let endpoint = pick(endpoints);
        let modes =
            [Mode::Silent, Mode::SilentForth, Mode::SilentBack, Mode::Delayed(50), Mode::Refused];
        let mode = modes[pick(modes.len())];
        let share = 10 + pick(50) as u32;
        let faults = [
            Faults { failed: share, ..Faults::default() },
            Faults { rejected: share, ..Faults::default() },
            Faults { lost: share, ..Faults::default() },
            Faults { cut: share, ..Faults::default() },
            Faults { doubled: share, ..Faults::default() },
            Faults { slow: share, ..Faults::default() },
        ];
        let fault = match pick(24) {
            0 => Fault::KillControl(control),
            1 => Fault::KillAllControls,
            2 => Fault::PauseControl(control),
            3 => Fault::WipeControl(control),
            4 => Fault::TearControl(control),
            5 | 6 => Fault::DisturbControl(control, mode),
            7 => Fault::ResetControl(control),
            8 => Fault::KillEntry(entry),
            9 => Fault::PauseEntry(entry),
            10 => Fault::StopEntry(entry),
            11 => Fault::ReloadEntry(entry),
            12 => Fault::DisturbEntry(entry, mode),
            13 | 14 => Fault::CrashEndpoint(endpoint),
            15 => Fault::LeaveEndpoint(endpoint),
            16 | 17 => Fault::FailEndpoint(endpoint, faults[pick(faults.len())]),
            18 => Fault::DisturbEndpoint(endpoint, mode),
            19 | 20 => Fault::FailEndpoint(endpoint, Faults { lost: share, ..Faults::default() }),
            21 | 22 => Fault::StopEntry(entry),
            _ => Fault::ResetEndpoint(endpoint),
        };
        let lasts = Duration::from_millis(200 + pick(2_800) as u64);
        planned.push(Planned { at: Duration::from_millis(at_ms), lasts, fault });
        // Short gaps make series of faults that overlap.
        at_ms += (pick(2 * MEAN_GAP_MS as usize)) as u64;
    }
    planned.extend(plan_words(seed, length, endpoints));
    planned
}

/// Draws when endpoints ask for pauses, leave, or answer without end: apart from the other faults, so that
/// a seed keeps those that it had before.
fn plan_words(seed: u64, length: Duration, endpoints: usize) -> Vec<Planned> {
    const SALT: u64 = 0x5eed;
    const MEAN_GAP_MS: u64 = 2_500;
    let mut random = StdRng::seed_from_u64(seed ^ SALT);
    let mut pick = |below: u64| random.next_u64() % below.max(1);
    let mut planned = Vec::new();
    let mut at_ms = pick(MEAN_GAP_MS);
    while u128::from(at_ms) < length.as_millis() {
        let endpoint = pick(endpoints as u64) as usize;
        let share = 10 + pick(50) as u32;
        let fault = match pick(3) {
            0 => Fault::LeaveEndpoint(endpoint),
            1 => Fault::FailEndpoint(endpoint, Faults { paused: share, ..Faults::default() }),
            _ => Fault::FailEndpoint(endpoint, Faults { endless: share, ..Faults::default() }),
        };
        let lasts = Duration::from_millis(200 + pick(2_800));
        planned.push(Planned { at: Duration::from_millis(at_ms), lasts, fault });
        at_ms += pick(2 * MEAN_GAP_MS);
    }
    planned
}
