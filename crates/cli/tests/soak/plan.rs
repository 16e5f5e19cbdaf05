//! The faults of a seed. Each group of faults has a random generator of its own, so that a seed still gives the
//! same faults of one group when another one grows.

use crate::endpoint::Faults;
use lycheehub_standin::proxy::Mode;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::time::Duration;

/// The longest time for which a sound endpoint is silent.
const SILENCE_MAX_MS: u64 = 2_000;

/// Tells whether a seed has planned work and silence of sound endpoints only.
pub fn is_calm(seed: u64) -> bool {
    seed % 5 == 2
}

/// A fault to inject; the number is the index of the affected process or endpoint.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillControl(usize),
    KillAllControls,
    PauseControl(usize),
    /// Killed, and restarted with an empty data folder.
    WipeControl(usize),
    /// Killed, and restarted with a torn record at the end of its log.
    TearControl(usize),
    DisturbControl(usize, Mode),
    ResetControl(usize),
    KillEntry(usize),
    PauseEntry(usize),
    StopEntry(usize),
    /// Stopped, and signalled again while it stops.
    SignalStoppingEntry(usize, SecondSignal),
    /// The operator changes the document in quick succession.
    StormDocuments,
    ReloadEntry(usize),
    DisturbEntry(usize, Mode),
    CrashEndpoint(usize),
    DrainEndpoint(usize),
    /// Dies without a word to its peers, and is back under a new start after the fault's time.
    DarkenEndpoint(usize),
    /// Dies without a word to its peers and stays gone.
    LoseEndpoint(usize),
    /// So many sound endpoints, from this one on, fall silent together and go on afterwards.
    SilenceEndpoints(usize, usize),
    FailEndpoint(usize, Faults),
    DisturbEndpoint(usize, Mode),
    ResetEndpoint(usize),
    /// Names a limit for half of the duration and another one for the rest, in requests per second.
    LimitEndpoint(usize, f64, f64),
    /// Says that it fails if it must reject more requests a second, as do all endpoints of its service.
    LimitRejections(usize, usize),
}

/// A signal to a process that was asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct SecondSignal {
    pub name: &'static str,
    pub after: Duration,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// Draws the faults of a seed.
pub fn plan(
    seed: u64,
    run_duration: Duration,
    controls: usize,
    entries: usize,
    endpoints: usize,
) -> Vec<PlannedFault> {
    const MEAN_GAP_MS: u64 = 900;
    if is_calm(seed) {
        return plan_planned_work(seed, run_duration, entries, endpoints);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut random_below = |below: usize| (rng.next_u64() % below.max(1) as u64) as usize;
    let mut planned = Vec::new();
    let mut at_ms = random_below(500) as u64;
    while u128::from(at_ms) < run_duration.as_millis() {
        let (control, entry) = (random_below(controls), random_below(entries));
        let endpoint = random_below(endpoints);
        let modes =
            [Mode::Silent, Mode::SilentForth, Mode::SilentBack, Mode::Delayed(50), Mode::Refused];
        let mode = modes[random_below(modes.len())];
        let share = 10 + random_below(50) as u32;
        let faults = [
            Faults { failed: share, ..Faults::default() },
            Faults { rejected: share, ..Faults::default() },
            Faults { dropped: share, ..Faults::default() },
            Faults { interrupted: share, ..Faults::default() },
            Faults { answered_twice: share, ..Faults::default() },
            Faults { delayed: share, ..Faults::default() },
        ];
        let fault = match random_below(24) {
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
            15 => Fault::DrainEndpoint(endpoint),
            16 | 17 => Fault::FailEndpoint(endpoint, faults[random_below(faults.len())]),
            18 => Fault::DisturbEndpoint(endpoint, mode),
            19 | 20 => {
                Fault::FailEndpoint(endpoint, Faults { dropped: share, ..Faults::default() })
            }
            21 | 22 => Fault::StopEntry(entry),
            _ => Fault::ResetEndpoint(endpoint),
        };
        let duration = Duration::from_millis(200 + random_below(2_800) as u64);
        planned.push(PlannedFault { at: Duration::from_millis(at_ms), duration, fault });
        // Gaps shorter than the faults make the faults overlap.
        at_ms += (random_below(2 * MEAN_GAP_MS as usize)) as u64;
    }
    planned.extend(plan_notices(seed, run_duration, endpoints));
    planned.extend(plan_deaths(seed, run_duration, endpoints));
    planned.extend(plan_planned_work(seed, run_duration, entries, endpoints));
    planned
}

/// Draws the limits that endpoints name, with a random generator of their own for the same reason as
/// [`plan_notices`]. They last long enough to be checked while other faults come. Each service keeps
/// endpoints without a limit, so that requests can be served.
pub fn plan_limits(seed: u64, endpoints: usize) -> Vec<PlannedFault> {
    const SALT: u64 = 0x11417;
    const LIMITED_MAX: u64 = 4;
    const START_MAX_MS: u64 = 1_500;
    const DURATION_MIN_MS: u64 = 10_000;
    const DURATION_SPREAD_MS: u64 = 6_000;
    const LIMITS_PER_S: [f64; 6] = [0.0, 0.5, 1.0, 2.6, 6.0, 15.0];
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut random_below = |below: u64| rng.next_u64() % below.max(1);
    let count = 1 + random_below(LIMITED_MAX);
    let mut plan_limit = || {
        let place = 2 * random_below(endpoints as u64 / 2) as usize;
        let mut limit = || LIMITS_PER_S[random_below(LIMITS_PER_S.len() as u64) as usize];
        let fault = Fault::LimitEndpoint(place, limit(), limit());
        let at = Duration::from_millis(random_below(START_MAX_MS));
        let duration = Duration::from_millis(DURATION_MIN_MS + random_below(DURATION_SPREAD_MS));
        PlannedFault { at, duration, fault }
    };
    (0..count).map(|_| plan_limit()).collect()
}

/// Draws the time in which the endpoints of a service say how few requests they can reject, with a random
/// generator of its own.
pub fn plan_rejections(seed: u64, endpoints: usize) -> Vec<PlannedFault> {
    const SALT: u64 = 0xb217;
    const START_MAX_MS: u64 = 1_000;
    const DURATION_MS: u64 = 9_000;
    const PER_S_MAX: u64 = 4;
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let first = (rng.next_u64() % 2) as usize * (endpoints / 2);
    let per_s = 1 + (rng.next_u64() % PER_S_MAX) as usize;
    let at = Duration::from_millis(rng.next_u64() % START_MAX_MS);
    let fault = Fault::LimitRejections(first, per_s);
    vec![PlannedFault { at, duration: Duration::from_millis(DURATION_MS), fault }]
}

/// Draws the faults in which endpoints ask for pauses, drain, or send endless trailers. They have a
/// random generator of their own, so that a seed still gives the same faults in [`plan`].
fn plan_notices(seed: u64, run_duration: Duration, endpoints: usize) -> Vec<PlannedFault> {
    const SALT: u64 = 0x5eed;
    const MEAN_GAP_MS: u64 = 2_500;
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut random_below = |below: u64| rng.next_u64() % below.max(1);
    let mut planned = Vec::new();
    let mut at_ms = random_below(MEAN_GAP_MS);
    while u128::from(at_ms) < run_duration.as_millis() {
        let endpoint = random_below(endpoints as u64) as usize;
        let share = 10 + random_below(50) as u32;
        let fault = match random_below(3) {
            0 => Fault::DrainEndpoint(endpoint),
            1 => Fault::FailEndpoint(endpoint, Faults { paused: share, ..Faults::default() }),
            _ => Fault::FailEndpoint(endpoint, Faults { endless: share, ..Faults::default() }),
        };
        let duration = Duration::from_millis(200 + random_below(2_800));
        planned.push(PlannedFault { at: Duration::from_millis(at_ms), duration, fault });
        at_ms += random_below(2 * MEAN_GAP_MS);
    }
    planned
}

/// Draws the endpoints that die in silence, and those that break off in the heads of their replies.
fn plan_deaths(seed: u64, run_duration: Duration, endpoints: usize) -> Vec<PlannedFault> {
    const SALT: u64 = 0xdead;
    const MEAN_GAP_MS: u64 = 2_000;
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut random_below = |below: u64| rng.next_u64() % below.max(1);
    let mut planned = Vec::new();
    let mut at_ms = random_below(MEAN_GAP_MS);
    let mut lost = None;
    while u128::from(at_ms) < run_duration.as_millis() {
        let endpoint = random_below(endpoints as u64) as usize;
        let broken_heads = 10 + random_below(50) as u32;
        let fault = match random_below(6) {
            0 if lost.is_none() => {
                lost = Some(endpoint);
                Fault::LoseEndpoint(endpoint)
            }
            0..3 => Fault::DarkenEndpoint(endpoint),
            _ => Fault::FailEndpoint(endpoint, Faults { broken_heads, ..Faults::default() }),
        };
        let duration = Duration::from_millis(800 + random_below(2_200));
        planned.push(PlannedFault { at: Duration::from_millis(at_ms), duration, fault });
        at_ms += random_below(2 * MEAN_GAP_MS);
    }
    planned
}

/// Draws the times in which sound endpoints are silent: one, several or all of them. The times do not overlap,
/// so that no silence lasts longer than [`SILENCE_MAX_MS`].
pub fn plan_silences(seed: u64, run_duration: Duration, endpoints: usize) -> Vec<PlannedFault> {
    const SALT: u64 = 0x5173;
    const GAP_MIN_MS: u64 = 200;
    const GAP_SPREAD_MS: u64 = 2_000;
    const SILENCE_MIN_MS: u64 = 800;
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut random_below = |below: u64| rng.next_u64() % below.max(1);
    let mut planned = Vec::new();
    let mut at_ms = random_below(GAP_SPREAD_MS);
    while u128::from(at_ms) < run_duration.as_millis() {
        let count = match random_below(4) {
            0 | 1 => 1,
            2 => 2 + random_below(endpoints as u64 / 2) as usize,
            _ => endpoints,
        };
        let fault = Fault::SilenceEndpoints(random_below(endpoints as u64) as usize, count);
        let silence_ms = SILENCE_MIN_MS + random_below(SILENCE_MAX_MS - SILENCE_MIN_MS + 1);
        let duration = Duration::from_millis(silence_ms);
        planned.push(PlannedFault { at: Duration::from_millis(at_ms), duration, fault });
        at_ms += silence_ms + GAP_MIN_MS + random_below(GAP_SPREAD_MS);
    }
    planned
}

/// Draws planned work in series that overlap: entry instances stopped in turn, some signalled again meanwhile,
/// settings read again, documents in quick succession, and endpoints that drain.
fn plan_planned_work(
    seed: u64,
    run_duration: Duration,
    entries: usize,
    endpoints: usize,
) -> Vec<PlannedFault> {
    const SALT: u64 = 0x3021;
    const MEAN_GAP_MS: u64 = 700;
    const SECOND_SIGNAL_MAX_MS: u64 = 2_000;
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut random_below = |below: u64| rng.next_u64() % below.max(1);
    let mut planned = Vec::new();
    let mut at_ms = random_below(MEAN_GAP_MS);
    let mut next_entry = random_below(entries as u64) as usize;
    while u128::from(at_ms) < run_duration.as_millis() {
        let after = Duration::from_millis(random_below(SECOND_SIGNAL_MAX_MS));
        let fault = match random_below(8) {
            choice @ 0..3 => {
                next_entry = (next_entry + 1) % entries;
                match choice {
                    0 => Fault::StopEntry(next_entry),
                    1 => {
                        Fault::SignalStoppingEntry(next_entry, SecondSignal { name: "HUP", after })
                    }
                    _ => {
                        Fault::SignalStoppingEntry(next_entry, SecondSignal { name: "TERM", after })
                    }
                }
            }
            3 | 4 => Fault::ReloadEntry(random_below(entries as u64) as usize),
            5 => Fault::DrainEndpoint(random_below(endpoints as u64) as usize),
            _ => Fault::StormDocuments,
        };
        let duration = Duration::from_millis(200 + random_below(2_000));
        planned.push(PlannedFault { at: Duration::from_millis(at_ms), duration, fault });
        at_ms += random_below(2 * MEAN_GAP_MS);
    }
    planned
}
