//! Spares endpoints that are cold: they bear few requests per second for some time.
//!
//! Load pattern: all endpoints of a failure domain return at once, while the others are full. Each of
//! them would be filled in a moment, and falls over at a rate well above the one that it names for its
//! first seconds. All instances together therefore pace their requests to it.
//!
//! Load pattern: an endpoint turns cold while it is in use. What it was sent in the second before
//! counts towards its rate.
//!
//! Load pattern: an endpoint crashes and starts again under its name. It accepts connections before its
//! announcement arrives, so one that refused a connection is assumed to be cold once it accepts one.

use super::{Pace, RateLimit, StatedLimit};
use lycheehub_routes::ColdStart;
use lycheehub_types::endpoint::COLD_TOLERANCE_MS;
use std::collections::VecDeque;

/// The time in which an endpoint counts its requests, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// Whether an endpoint is cold, and the pace of its requests meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Warmth {
    /// Until when the endpoint has stated to be cold, in milliseconds.
    stated_until_ms: u64,
    /// Until when it is assumed to be cold, in milliseconds.
    assumed_until_ms: u64,
    /// It refused a connection, so that it may have started again.
    may_have_restarted: bool,
    /// The pace while it is cold.
    limit: Option<RateLimit>,
    /// When it was sent requests within the last second, in milliseconds.
    sent_ms: VecDeque<u64>,
}

impl Warmth {
    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.stated_until_ms.max(self.assumed_until_ms)
    }

    /// Records that the endpoint states to be cold for another `left_ms`, or not to be for 0.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::{Pace, Warmth};
    /// use lycheehub_routes::ColdStart;
    ///
    /// let cold_start = ColdStart { duration_ms: 3_000, per_s: 10.0 };
    /// let mut warmth = Warmth::default();
    /// warmth.state(1_000, 3_000, cold_start, Pace { share: 1.0, phase: 0.0 });
    /// assert_eq!(warmth.wait_ms(1_000), 0);
    /// warmth.record_sent(1_000, cold_start, Pace { share: 1.0, phase: 0.0 });
    /// assert_eq!(warmth.wait_ms(1_000), 100);
    /// assert_eq!(warmth.wait_ms(4_000), 0);
    /// ```
    pub fn state(&mut self, now_ms: u64, left_ms: u64, cold_start: ColdStart, pace: Pace) {
        if left_ms == 0 {
            self.stated_until_ms = now_ms.min(self.stated_until_ms);
            return;
        }
        let until_ms = now_ms + left_ms;
        if self.stated_until_ms.abs_diff(until_ms) > COLD_TOLERANCE_MS {
            self.begin(now_ms, cold_start, pace);
            self.stated_until_ms = until_ms;
        }
    }

    /// Assumes that the endpoint has just turned cold.
    pub fn assume_cold(&mut self, now_ms: u64, cold_start: ColdStart, pace: Pace) {
        self.begin(now_ms, cold_start, pace);
        self.assumed_until_ms = now_ms + cold_start.duration_ms;
    }

    /// Records that the endpoint refused a connection.
    pub fn record_refused_connection(&mut self) {
        self.may_have_restarted = true;
    }

    /// Records that the endpoint is sent a request.
    pub fn record_sent(&mut self, now_ms: u64, cold_start: ColdStart, pace: Pace) {
        if std::mem::take(&mut self.may_have_restarted) {
            self.assume_cold(now_ms, cold_start, pace);
        }
        self.forget_sent(now_ms);
        self.sent_ms.push_back(now_ms);
        if self.is_cold(now_ms)
            && let Some(limit) = &mut self.limit
        {
            limit.take(now_ms);
        }
    }

    /// Returns how long the next request must wait, in milliseconds; 0 if it may be sent now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        self.active_limit(now_ms).map_or(0, |limit| limit.wait_ms(now_ms))
    }

    /// Returns how many requests that take `slot_ms` run at the same time at the pace of a cold
    /// endpoint; `None` if it is warm.
    pub fn concurrency(&self, now_ms: u64, slot_ms: f64) -> Option<f64> {
        self.active_limit(now_ms).map(|limit| limit.concurrency(slot_ms))
    }

    /// Changes the share of the rate that this dispatcher may use.
    pub fn set_share(&mut self, now_ms: u64, share: f64) {
        if let Some(limit) = &mut self.limit {
            limit.set_share(now_ms, share);
        }
    }

    fn active_limit(&self, now_ms: u64) -> Option<&RateLimit> {
        self.limit.as_ref().filter(|_| self.is_cold(now_ms))
    }

    /// Starts to pace requests, unless they are paced already. What was sent before is waited for.
    fn begin(&mut self, now_ms: u64, cold_start: ColdStart, pace: Pace) {
        if self.is_cold(now_ms) {
            return;
        }
        self.forget_sent(now_ms);
        let stated = StatedLimit { per_s: cold_start.per_s, age_ms: 0 };
        let mut limit = RateLimit::new(now_ms, stated, pace);
        for _ in 0..self.sent_ms.len() {
            limit.take(now_ms);
        }
        self.limit = Some(limit);
    }

    fn forget_sent(&mut self, now_ms: u64) {
        while self.sent_ms.front().is_some_and(|sent_ms| now_ms >= sent_ms + COUNTED_MS) {
            self.sent_ms.pop_front();
        }
    }
}
