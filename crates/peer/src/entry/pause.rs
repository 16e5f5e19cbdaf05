//! What an instance may decide by itself after it was paused.
//!
//! A process that was stopped for seconds, or a machine that was suspended, goes on with what it knew
//! before: endpoints that have left meanwhile, accounts that have used up their quota. So for a moment
//! it sends requests nowhere by its own word, and waits for the leader, who knows better. Where no
//! leader answers within that time, it is not the pause that keeps it from knowing.

/// From which gap between two moments in which it ran on an instance was paused, in milliseconds:
/// well above what a busy machine keeps a process from running.
const PAUSED_MS: u64 = 1_000;
/// How long an instance that was paused waits for the leader, in milliseconds: some attempts to
/// connect to it.
const WAITS_MS: u64 = 1_000;

/// Notices pauses of this process.
///
/// # Examples
/// ```
/// use lycheehub_peer::entry::PauseGuard;
///
/// let mut guard = PauseGuard::new(1_000);
/// assert!(!guard.note_running(1_050));
/// assert!(!guard.must_wait(1_050));
/// assert!(guard.note_running(6_000));
/// assert!(guard.must_wait(6_000));
/// assert!(guard.must_wait(6_900));
/// assert!(!guard.must_wait(7_100));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    /// When this process was last seen to run, in milliseconds.
    ran_ms: u64,
    /// Until when it waits for the leader, in milliseconds.
    waits_until_ms: u64,
}

impl PauseGuard {
    /// Makes a guard of a process that runs at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self { ran_ms: now_ms, waits_until_ms: 0 }
    }

    /// Notes that the process runs; tells whether it was paused before.
    pub fn note_running(&mut self, now_ms: u64) -> bool {
        let was_paused = now_ms >= self.ran_ms + PAUSED_MS;
        if was_paused {
            self.waits_until_ms = now_ms + WAITS_MS;
        }
        self.ran_ms = now_ms;
        was_paused
    }

    /// Tells whether a request must wait for the leader's word, after the last pause that was noted.
    pub fn must_wait(&self, now_ms: u64) -> bool {
        now_ms < self.waits_until_ms
    }
}
