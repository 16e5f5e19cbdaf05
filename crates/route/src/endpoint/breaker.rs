//! The circuit breaker of an endpoint.

/// Failures in a row that open the breaker.
const FAILURES_MAX: u32 = 3;
/// The first time that the breaker stays open, in milliseconds; it doubles with each failed trial.
const OPEN_MIN_MS: u64 = 1_000;
/// The longest time that the breaker stays open, in milliseconds.
const OPEN_MAX_MS: u64 = 30_000;

/// Keeps requests away from an endpoint that fails, and lets single trials through.
///
/// # Examples
/// ```
/// let mut breaker = lycheehub_route::endpoint::Breaker::default();
/// for _ in 0..3 {
///     breaker.failed(0);
/// }
/// assert!(!breaker.allows(500, 0));
/// assert!(breaker.allows(1_000, 0));
/// assert!(!breaker.allows(1_000, 1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until_ms: u64,
}

impl Breaker {
    /// Tells whether a request may go through while `in_flight` others run.
    pub fn allows(&self, now_ms: u64, in_flight: u32) -> bool {
        if self.failures < FAILURES_MAX {
            return true;
        }
        now_ms >= self.open_until_ms && in_flight == 0
    }

    /// Notes an answer.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure.
    pub fn failed(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_MAX {
            let doublings = (self.failures - FAILURES_MAX).min(8);
            self.open_until_ms = now_ms + (OPEN_MIN_MS << doublings).min(OPEN_MAX_MS);
        }
    }
}
