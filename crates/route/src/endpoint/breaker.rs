//! The circuit breaker of one endpoint.

/// The number of consecutive failures that opens the breaker.
const FAILURES_MAX: u32 = 3;
/// How long the breaker first stays open, in milliseconds; doubles with each failed probe request.
const OPEN_MIN_MS: u64 = 1_000;
/// The maximum time that the breaker stays open, in milliseconds.
const OPEN_MAX_MS: u64 = 30_000;

/// Blocks requests to a failing endpoint, and admits one probe request at a time once the open time
/// has passed.
///
/// # Examples
/// ```
/// let mut breaker = lycheehub_route::endpoint::Breaker::default();
/// for _ in 0..3 {
///     breaker.record_failure(0);
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
    /// Returns whether a request may be sent while `in_flight` others are running.
    pub fn allows(&self, now_ms: u64, in_flight: u32) -> bool {
        if self.failures < FAILURES_MAX {
            return true;
        }
        now_ms >= self.open_until_ms && in_flight == 0
    }

    /// Records a complete answer, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_MAX {
            let doublings = (self.failures - FAILURES_MAX).min(8);
            self.open_until_ms = now_ms + (OPEN_MIN_MS << doublings).min(OPEN_MAX_MS);
        }
    }
}
