//! A limit that an endpoint states in its responses, until they no longer state it.

use super::StatedLimit;

/// The number of consecutive responses without a limit after which it has ended; a single one may
/// have lost the field.
const ENDED_RESPONSES: u32 = 2;

/// What an endpoint limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitKind {
    /// The requests that it accepts.
    Requests,
    /// The requests that it rejects; it fails if it must reject more.
    Rejections,
}

/// A limit as an endpoint last stated it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    per_s: f64,
    /// When a response last stated the limit, in milliseconds.
    stated_ms: u64,
    /// The number of responses without a limit since then.
    responses_without: u32,
}

impl Statement {
    /// Creates the state of a limit that was stated.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::{StatedLimit, Statement};
    ///
    /// let mut statement = Statement::new(1_000, StatedLimit { per_s: 2.0, age_ms: 100 });
    /// assert!(!statement.restate(1_000, StatedLimit { per_s: 9.0, age_ms: 500 }));
    /// assert_eq!(statement.stated(1_000), StatedLimit { per_s: 2.0, age_ms: 100 });
    /// assert!(!statement.record_unlimited(1_100) && statement.record_unlimited(1_200));
    /// ```
    pub fn new(now_ms: u64, stated: StatedLimit) -> Self {
        let stated_ms = now_ms.saturating_sub(stated.age_ms);
        Self { per_s: stated.per_s, stated_ms, responses_without: 0 }
    }

    /// Returns the limit, per second, from all instances together.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns the limit as it was last stated.
    pub fn stated(&self, now_ms: u64) -> StatedLimit {
        StatedLimit { per_s: self.per_s, age_ms: now_ms.saturating_sub(self.stated_ms) }
    }

    /// Returns when a response last stated the limit, in milliseconds.
    pub fn stated_ms(&self) -> u64 {
        self.stated_ms
    }

    /// Records that the limit was stated again, perhaps with another rate. An older statement than the
    /// last one changes nothing; returns whether this one is newer.
    pub fn restate(&mut self, now_ms: u64, stated: StatedLimit) -> bool {
        let restated = Self::new(now_ms, stated);
        let is_newer = restated.stated_ms >= self.stated_ms;
        if is_newer {
            *self = restated;
        }
        is_newer
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
}
