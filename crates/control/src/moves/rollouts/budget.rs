//! How many requests a version under comparison may still receive, and how they are spent.
//!
//! Load pattern: a version shows that it is bad only under the load that it would bear alone, while the
//! requests that it may receive until then are a small part of all. Spread over the whole time they
//! never load it. They are therefore spent in trials: for a moment the version receives
//! nearly all requests, several times over the duration, and again right before the time limit.

use super::options::RolloutOptions;
use super::traffic::Traffic;

/// The share of the new version during a trial, in thousandths. The rest stays with the old version, for a
/// comparison at the same time.
pub(super) const TRIAL_PERMILLE: u32 = 900;
/// The part of the allowed requests that is used; the rest is for traffic that grows.
const USED_PART: f64 = 0.85;
/// The part of those that the trials before the last one may use.
const EARLY_PART: f64 = 0.45;
/// The number of requests of a trial that is aimed at, and the greatest one, unless the trial would be too short
/// with it: a bad version is known before it has given many bad answers.
const TRIAL_REQUESTS: f64 = 24.0;
const TRIAL_REQUESTS_MAX: f64 = 48.0;
/// The least and the greatest number of trials before the last one.
const TRIALS_MIN: f64 = 2.0;
const TRIALS_MAX: f64 = 6.0;
/// The shortest trial that loads endpoints, in milliseconds.
const TRIAL_MIN_MS: f64 = 250.0;
/// How many times as many requests as planned a trial may have: it is ended by a decision and a commit.
const TRIAL_EXCESS: f64 = 1.3;
/// The longest trial, as a part of the rollout's duration.
const TRIAL_MAX_PART: f64 = 0.25;
/// The shortest last trial that is worth keeping a part for, in milliseconds.
const LAST_MIN_MS: f64 = 500.0;

/// The budget of a rollout at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget<'a> {
    pub(super) options: RolloutOptions,
    pub(super) traffic: &'a Traffic,
    /// The rollout's duration, in milliseconds.
    pub(super) duration_ms: u64,
    /// The time until the time limit, in milliseconds.
    pub(super) left_ms: u64,
    /// The longest last trial, in milliseconds.
    pub(super) last_max_ms: u64,
}

impl Budget<'_> {
    /// Returns the number of trials before the last one that is aimed at.
    pub(super) fn trials(&self) -> f64 {
        let early = self.usable() * EARLY_PART;
        (early / TRIAL_REQUESTS).floor().clamp(TRIALS_MIN, TRIALS_MAX)
    }

    /// Returns the number of requests to the new version in a trial.
    pub(super) fn trial_requests(&self) -> f64 {
        let requests = (self.usable() * EARLY_PART / self.trials()).min(TRIAL_REQUESTS_MAX);
        let least = self.trial_per_ms() * TRIAL_MIN_MS;
        let most = self.trial_per_ms() * self.duration_ms as f64 * TRIAL_MAX_PART;
        requests.max(least).min(most)
    }

    /// Returns how long a trial takes, in milliseconds.
    pub(super) fn trial_ms(&self) -> u64 {
        (self.trial_requests() / self.trial_per_ms().max(f64::MIN_POSITIVE)) as u64
    }

    /// Returns true if there are requests for another trial. Once the version `has_passed` one, a part is kept
    /// for the last trial; until then there is nothing else to keep any for.
    pub(super) fn allows_trial(&self, has_passed: bool) -> bool {
        if !has_passed {
            let most = self.trial_requests() * TRIAL_EXCESS;
            return self.received() + most <= self.allowed();
        }
        let last = (self.trial_per_ms() * self.last_max_ms as f64).min(self.usable() * EARLY_PART);
        self.received() + self.trial_requests() + last <= self.usable()
    }

    /// Returns true if the new version may receive nearly all requests until the time limit. Shortly before
    /// it, when there is no later moment, nothing is kept back for traffic that grows.
    pub(super) fn allows_last(&self) -> bool {
        let left_ms = self.left_ms as f64;
        let share = f64::from(TRIAL_PERMILLE) / 1e3;
        if left_ms <= LAST_MIN_MS {
            let to_come = self.traffic.mean_per_ms() * share * left_ms;
            return self.received() + to_come <= self.allowed();
        }
        self.received() + self.trial_per_ms() * left_ms <= self.usable()
    }

    /// Returns the rate of requests to the new version in a trial, per millisecond.
    fn trial_per_ms(&self) -> f64 {
        self.traffic.per_ms() * f64::from(TRIAL_PERMILLE) / 1e3
    }

    /// Returns the number of requests that the new version has received since the order.
    pub(super) fn received(&self) -> f64 {
        self.traffic.to_new(self.trial_requests())
    }

    /// Returns the part that is used of the requests that the new version may have received at the time limit.
    fn usable(&self) -> f64 {
        self.allowed() * USED_PART
    }

    /// Returns the number of requests that the new version may have received at the time limit.
    fn allowed(&self) -> f64 {
        let to_come = self.traffic.mean_per_ms() * self.left_ms as f64;
        self.options.exposure_share * (self.traffic.all() + to_come) + self.options.exposure_slack
    }
}
