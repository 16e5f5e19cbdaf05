//! Paces the requests to an endpoint that limits them.
//!
//! Load pattern: an endpoint in need states how many requests per second it accepts from all
//! instances together. Each dispatcher paces its requests by its share of that rate. Requests are
//! permitted at regular times whose first one differs between dispatchers, and a permit that is
//! not used soon is lost. So the dispatchers of many instances that do not communicate keep the rate
//! together, even if all of them were idle before.

/// How long an unused permit is kept, in milliseconds; several dispatcher ticks.
const PERMIT_KEPT_MS: f64 = 500.0;
/// The lowest rate, in requests per second, so that a response can tell that the limit has ended.
const RATE_MIN_PER_S: f64 = 0.1;
/// The number of consecutive responses without a limit after which it has ended; a single one may
/// have lost the field.
const ENDED_RESPONSES: u32 = 2;

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
    per_s: f64,
    /// The time between two permits of this dispatcher, in milliseconds.
    interval_ms: f64,
    /// The time of the next permit, in milliseconds.
    next_ms: f64,
    /// When a response last stated the limit, in milliseconds.
    stated_ms: u64,
    /// The number of responses without a limit since then.
    responses_without: u32,
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
            per_s: stated.per_s,
            interval_ms,
            next_ms: now_ms as f64 + interval_ms * pace.phase,
            stated_ms: now_ms.saturating_sub(stated.age_ms),
            responses_without: 0,
        }
    }

    /// Returns the limit as it was last stated.
    pub fn stated(&self, now_ms: u64) -> StatedLimit {
        StatedLimit { per_s: self.per_s, age_ms: now_ms.saturating_sub(self.stated_ms) }
    }

    /// Returns when a response last stated the limit, in milliseconds.
    pub fn stated_ms(&self) -> u64 {
        self.stated_ms
    }

    /// Records that the limit was stated again, perhaps with another rate. An older statement than
    /// the last one changes nothing.
    pub fn restate(&mut self, now_ms: u64, stated: StatedLimit, share: f64) {
        let stated_ms = now_ms.saturating_sub(stated.age_ms);
        if stated_ms < self.stated_ms {
            return;
        }
        self.stated_ms = stated_ms;
        self.responses_without = 0;
        self.per_s = stated.per_s;
        self.set_share(now_ms, share);
    }

    /// Changes the share of the limit that this dispatcher may use. The part of the time to the next
    /// permit that has passed is kept.
    pub fn set_share(&mut self, now_ms: u64, share: f64) {
        let interval_ms = interval_ms(self.per_s, share);
        let left = (self.due_ms(now_ms) - now_ms as f64) / self.interval_ms;
        self.next_ms = now_ms as f64 + left * interval_ms;
        self.interval_ms = interval_ms;
    }

    /// Records a response without a limit to a request that was sent at `since_ms`. Returns whether
    /// the limit has ended. A request sent before the limit was last stated tells nothing, as its
    /// response may be older.
    pub fn record_unlimited(&mut self, since_ms: u64) -> bool {
        if since_ms > self.stated_ms {
            self.responses_without += 1;
        }
        self.responses_without >= ENDED_RESPONSES
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
