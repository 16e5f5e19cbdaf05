//! How often an endpoint fails, and for how long it is left alone then.

use crate::job::Outcome;

/// The weight of a new observation.
const WEIGHT: f64 = 0.15;
/// How long an endpoint that cannot be reached is left alone at first, in milliseconds.
const FIRST_PAUSE_MS: u64 = 300;
/// How long it is left alone at most, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 3_000;
/// How long an endpoint that said it did not run a request is left alone, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 60;
/// How long a probation lasts where nothing is sent to the endpoint, in milliseconds.
const PROBATION_MS: u64 = 5_000;
/// How many answers in a row end a probation.
const PROBATION_ANSWERS: u32 = 2;

/// The failures of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_share: f64,
    /// When the endpoint answered last, in milliseconds.
    answered_ms: u64,
    closed_until_ms: u64,
    pauses: u32,
    /// When a probation ends where nothing is sent to the endpoint, in milliseconds.
    probation_until_ms: u64,
    /// How many more answers the endpoint owes before it gets its full load again.
    owes_answers: u32,
}

impl Health {
    /// Tells whether the endpoint may get work.
    pub fn is_open(&self, now_ms: u64) -> bool {
        now_ms >= self.closed_until_ms
    }

    /// Tells whether it gets one request at a time.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.owes_answers > 0 && now_ms < self.probation_until_ms
    }

    /// Returns the share of requests that failed of late.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Notes how a request ended that was sent at `since_ms`.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Outcome, endpoints::Health};
    ///
    /// let mut health = Health::default();
    /// health.note(1_000, 900, Outcome::NotConnected);
    /// assert!(!health.is_open(1_001));
    /// ```
    pub fn note(&mut self, now_ms: u64, since_ms: u64, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.note_answer(now_ms),
            Outcome::Failed | Outcome::Broken => self.note_failure(),
            Outcome::Rejected => {
                self.note_failure();
                self.closed_until_ms = self.closed_until_ms.max(now_ms + REJECTED_PAUSE_MS);
            }
            Outcome::NotConnected => {
                self.note_failure();
                self.pause(now_ms, since_ms);
            }
            Outcome::Misdirected => self.closed_until_ms = now_ms + LONGEST_PAUSE_MS,
            Outcome::Abandoned => {}
        }
    }

    fn note_answer(&mut self, now_ms: u64) {
        self.answered_ms = now_ms;
        self.failure_share -= WEIGHT * self.failure_share;
        self.pauses = 0;
        self.owes_answers = self.owes_answers.saturating_sub(1);
    }

    fn note_failure(&mut self) {
        self.failure_share += WEIGHT * (1.0 - self.failure_share);
    }

    /// Leaves the endpoint alone after a request that was sent at `since_ms` got no answer, longer
    /// each time until it answers. One that has answered another request meanwhile is not.
    pub fn pause(&mut self, now_ms: u64, since_ms: u64) {
        if self.answered_ms > since_ms {
            return;
        }
        let pause_ms = (FIRST_PAUSE_MS << self.pauses.min(8)).min(LONGEST_PAUSE_MS);
        self.pauses += 1;
        self.closed_until_ms = now_ms + pause_ms;
        self.put_on_probation(self.closed_until_ms);
    }

    /// Lets the endpoint show that it answers again, from `from_ms` on at the latest, before it gets
    /// its full load.
    pub fn put_on_probation(&mut self, from_ms: u64) {
        self.owes_answers = PROBATION_ANSWERS;
        self.probation_until_ms = from_ms + PROBATION_MS;
    }
}
