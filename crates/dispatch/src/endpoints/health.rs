//! The failure share of an endpoint, and the pauses and probations after failures.

use crate::job::Outcome;

/// The weight of a new observation in the failure share.
const WEIGHT: f64 = 0.15;
/// The first pause of an endpoint that cannot be reached, in milliseconds.
const FIRST_PAUSE_MS: u64 = 300;
/// The maximum pause of an endpoint, in milliseconds.
const PAUSE_MAX_MS: u64 = 3_000;
/// The pause after an endpoint rejected a request without running it, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 60;
/// How long a probation lasts if no requests are sent to the endpoint, in milliseconds.
const PROBATION_MS: u64 = 5_000;
/// The number of consecutive responses that end a probation.
const PROBATION_ANSWERS: u32 = 2;

/// The health of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_share: f64,
    /// When the endpoint last responded, in milliseconds.
    answered_ms: u64,
    unavailable_until_ms: u64,
    consecutive_pauses: u32,
    /// The last pause began because the endpoint was not reached or did not respond.
    is_unreached: bool,
    /// When it began, in milliseconds.
    unreached_ms: u64,
    /// When a probation ends if no requests are sent to the endpoint, in milliseconds.
    probation_until_ms: u64,
    /// The number of responses needed to end the probation.
    probation_answers_left: u32,
}

impl Health {
    /// Returns whether the endpoint is not paused.
    pub fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.unavailable_until_ms
    }

    /// Returns whether the endpoint receives only one request at a time.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.probation_answers_left > 0 && now_ms < self.probation_until_ms
    }

    /// Returns the recent share of failed requests.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records the outcome of a request that was sent at `since_ms`.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Outcome, endpoints::Health};
    ///
    /// let mut health = Health::default();
    /// health.record(1_000, 900, Outcome::NotConnected);
    /// assert!(!health.is_available(1_001));
    /// ```
    pub fn record(&mut self, now_ms: u64, since_ms: u64, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.record_success(now_ms),
            Outcome::Failed | Outcome::Broken => self.record_failure(),
            Outcome::Rejected => {
                self.record_failure();
                self.unavailable_until_ms =
                    self.unavailable_until_ms.max(now_ms + REJECTED_PAUSE_MS);
            }
            Outcome::NotConnected => {
                self.record_failure();
                self.pause(now_ms, since_ms);
            }
            Outcome::Misdirected => self.unavailable_until_ms = now_ms + PAUSE_MAX_MS,
            Outcome::Abandoned => {}
        }
    }

    /// Returns whether the endpoint has responded since `since_ms`.
    pub fn has_answered_since(&self, since_ms: u64) -> bool {
        self.answered_ms > since_ms
    }

    /// Records that the endpoint has begun a response. A pause because it had not been reached ends.
    pub fn record_response(&mut self, now_ms: u64) {
        self.answered_ms = self.answered_ms.max(now_ms);
        if now_ms > self.unreached_ms {
            self.resume();
        }
    }

    /// Ends the pause and the probation of an endpoint that was not reached for other causes.
    pub fn resume(&mut self) {
        if !std::mem::take(&mut self.is_unreached) {
            return;
        }
        self.unavailable_until_ms = 0;
        self.consecutive_pauses = 0;
        self.probation_answers_left = 0;
    }

    fn record_success(&mut self, now_ms: u64) {
        self.answered_ms = now_ms;
        self.is_unreached = false;
        self.failure_share -= WEIGHT * self.failure_share;
        self.consecutive_pauses = 0;
        self.probation_answers_left = self.probation_answers_left.saturating_sub(1);
    }

    fn record_failure(&mut self) {
        self.failure_share += WEIGHT * (1.0 - self.failure_share);
    }

    /// Pauses the endpoint after a request sent at `since_ms` got no response. The pause doubles
    /// each time until the endpoint responds. An endpoint that has responded to another request
    /// since then is not paused. Requests that were sent before the last pause are part of the same outage,
    /// and do not prolong it.
    pub fn pause(&mut self, now_ms: u64, since_ms: u64) {
        let is_known = self.is_unreached && since_ms <= self.unreached_ms;
        if is_known || self.answered_ms > since_ms {
            return;
        }
        let pause_ms = (FIRST_PAUSE_MS << self.consecutive_pauses.min(8)).min(PAUSE_MAX_MS);
        self.consecutive_pauses += 1;
        self.is_unreached = true;
        self.unreached_ms = now_ms;
        self.unavailable_until_ms = now_ms + pause_ms;
        self.put_on_probation(self.unavailable_until_ms);
    }

    /// Puts the endpoint on probation: it must respond to a few single requests before it receives
    /// its full load. The probation counts from `from_ms`.
    pub fn put_on_probation(&mut self, from_ms: u64) {
        self.probation_answers_left = PROBATION_ANSWERS;
        self.probation_until_ms = from_ms + PROBATION_MS;
    }
}
