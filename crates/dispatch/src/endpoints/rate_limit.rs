//! Paces the requests to an endpoint that limits them.
//!
//! Load pattern: an endpoint in need states how many requests per second it accepts from all
//! instances together. Each dispatcher paces its requests by its share of that rate. Requests are
//! permitted at regular times whose first one differs between dispatchers, and a permit that is
//! not used soon is lost. So the dispatchers of many instances that do not communicate keep the rate
//! together, even if all of them were idle before.

use super::Statement;

/// How long an unused permit is kept, in milliseconds; several dispatcher ticks.
const PERMIT_KEPT_MS: f64 = 500.0;
/// The lowest rate, in requests per second, so that a response can tell that the limit has ended.
const RATE_MIN_PER_S: f64 = 0.1;

/// A limit as an endpoint stated it in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// The requests per second that the endpoint accepts from all instances together.
    pub per_s: f64,
    /// How long ago the response arrived, in milliseconds.
    pub age_ms: u64,
}

/// How a dispatcher paces its requests to an endpoint with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The share of the limit that the dispatcher may use.
    pub share: f64,
    /// When the first request is permitted, as a fraction of the time between two requests.
    pub phase: f64,
}

/// The limit of an endpoint, with the times at which this dispatcher may send it requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The limit that the endpoint stated, in requests per second from all instances.
    pub(super) statement: Statement,
    /// The time between two permits of this dispatcher, in milliseconds.
    interval_ms: f64,
    /// The time of the next permit, in milliseconds.
    next_ms: f64,
}

impl RateLimit {
    /// Creates the state of a limit that the dispatcher has learned of at `now_ms`.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::{Pace, RateLimit, StatedLimit};
    ///
    /// let stated = StatedLimit { per_s: 2.0, age_ms: 0 };
    /// let mut limit = RateLimit::new(1_000, stated, Pace { share: 1.0, phase: 0.5 });
    /// assert_eq!(limit.wait_ms(1_000), 250);
    /// assert_eq!(limit.wait_ms(1_250), 0);
    /// limit.take(1_250);
    /// assert_eq!(limit.wait_ms(1_250), 500);
    /// ```
    pub fn new(now_ms: u64, stated: StatedLimit, pace: Pace) -> Self {
        let interval_ms = interval_ms(stated.per_s, pace.share);
        Self {
            statement: Statement::new(now_ms, stated),
            interval_ms,
            next_ms: now_ms as f64 + interval_ms * pace.phase,
        }
    }

    /// Returns the limit as it was last stated.
    pub fn stated(&self, now_ms: u64) -> StatedLimit {
        self.statement.stated(now_ms)
    }

    /// Records that the limit was stated again, perhaps with another rate. An older statement than
    /// the last one changes nothing.
    pub fn restate(&mut self, now_ms: u64, stated: StatedLimit, share: f64) {
        if self.statement.restate(now_ms, stated) {
            self.set_share(now_ms, share);
        }
    }

    /// Changes the share of the limit that this dispatcher may use. The part of the time to the next
    /// permit that has passed is kept.
    pub fn set_share(&mut self, now_ms: u64, share: f64) {
        let interval_ms = interval_ms(self.statement.per_s(), share);
        let left = (self.due_ms(now_ms) - now_ms as f64) / self.interval_ms;
        self.next_ms = now_ms as f64 + left * interval_ms;
        self.interval_ms = interval_ms;
    }

    /// Returns how long the next request must wait, in milliseconds; 0 if it is permitted now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        (self.due_ms(now_ms) - now_ms as f64).ceil().max(0.0) as u64
    }

    /// Uses a permit.
    pub fn take(&mut self, now_ms: u64) {
        self.next_ms = self.due_ms(now_ms) + self.interval_ms;
    }

    /// Returns how many requests that take `slot_ms` run at the same time at this dispatcher's rate.
    pub fn concurrency(&self, slot_ms: f64) -> f64 {
        slot_ms / self.interval_ms
    }

    /// Returns the time of the earliest permit that is not lost, in milliseconds.
    fn due_ms(&self, now_ms: u64) -> f64 {
        let overdue_ms = now_ms as f64 - PERMIT_KEPT_MS - self.next_ms;
        let lost = (overdue_ms / self.interval_ms).ceil().max(0.0);
        self.next_ms + lost * self.interval_ms
    }
}

fn interval_ms(per_s: f64, share: f64) -> f64 {
    1e3 / (per_s.max(RATE_MIN_PER_S) * share)
}
