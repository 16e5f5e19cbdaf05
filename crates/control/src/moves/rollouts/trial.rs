//! One trial of a version: a moment in which it receives nearly all requests of its service.
//!
//! A trial is judged by what ended since it began, against the old version at the same time and before.
//! Times are compared route by route, since routes differ in length more than versions in speed.

use crate::moves::failures::{baseline_rate, rise_evidence};
use crate::moves::{Comparison, Observation, Side};
use lycheehub_types::Route;
use std::collections::BTreeMap;

/// The minimum number of outcomes of the new version for a judgement.
pub(super) const OUTCOMES_MIN: u64 = 8;
/// The part of a trial's requests after which it counts as ended; some outcomes are never known.
const ENDED_PART: f64 = 0.9;
/// The part below which what has ended tells nothing: what ends first is what is fast.
const ENDED_PART_MIN: f64 = 0.7;
/// The increase of the failure rate that is tested for.
const RISE: f64 = 0.1;
/// The log-likelihood ratio for that increase above which a trial is failed.
const FAILURES_FAILED: f64 = 3.0;
/// The same at the last trial, which can't be repeated.
const FAILURES_FAILED_LAST: f64 = 6.0;
/// The ratio up to which a trial may be passed.
const FAILURES_PASSED: f64 = 1.5;
/// The ratio of times up to which a trial is passed, above which it is failed, and the same at the last one.
const SLOWDOWN_PASSED: f64 = 1.35;
const SLOWDOWN_FAILED: f64 = 1.8;
const SLOWDOWN_FAILED_LAST: f64 = 2.0;
/// The same differences in standard deviations; the higher bound counts.
const DEVIATIONS_PASSED: f64 = 2.5;
const DEVIATIONS_FAILED: f64 = 3.5;
const DEVIATIONS_FAILED_LAST: f64 = 4.0;
/// The standard deviation of what all requests of one version in a trial share, as a logarithm.
const SHARED_LOG_STDDEV: f64 = 0.1;
/// The least standard deviation of the logarithm of a request's time.
const LOG_STDDEV_MIN: f64 = 0.2;
/// The minimum number of the old version's requests in a trial for a comparison at the same time.
const SAME_TIME_MIN: u64 = 3;

/// What a trial has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// The version is about as good as the old one.
    Passed,
    /// Too little is known; what is goes on to count.
    Open,
    /// The version is a little slower, or much still runs, as if something had disturbed it.
    Disturbed,
    /// The version is worse.
    Failed,
}

/// How many requests of a trial have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Too few for a judgement.
    TooFewEnded,
    /// Enough for a judgement that has to be made now.
    MostEnded,
    /// Nearly all.
    Ended,
}

/// A trial under way, or ended and not judged yet.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    /// When its step was proposed, in milliseconds since the Unix epoch.
    pub(super) proposed_unix_ms: u64,
    /// When its share was seen in force, in milliseconds since the Unix epoch.
    pub(super) began_unix_ms: Option<u64>,
    /// The requests that this leader had sent to the new version before it.
    pub(super) placed_before: u64,
    /// The outcomes of an earlier trial that it continues.
    earlier: u64,
    /// It is the last one: it lasts until the time limit.
    pub(super) is_last: bool,
    routes: BTreeMap<Route, Sides>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sides {
    old: Observation,
    new: Observation,
}

/// The difference of the mean logarithms of times, new less old.
#[derive(Clone, Copy, Debug)]
struct Difference {
    mean: f64,
    stddev: f64,
}

impl Difference {
    fn exceeds(&self, ratio: f64, deviations: f64) -> bool {
        self.mean > ratio.ln().max(deviations * self.stddev)
    }
}

impl Trial {
    pub(super) fn new(now_unix_ms: u64, placed_before: u64, is_last: bool) -> Self {
        Self {
            proposed_unix_ms: now_unix_ms,
            began_unix_ms: None,
            placed_before,
            earlier: 0,
            is_last,
            routes: BTreeMap::new(),
        }
    }

    /// Adds what an earlier trial has shown that was left open.
    pub(super) fn continuing(self, open: Self) -> Self {
        Self { earlier: open.outcomes(), routes: open.routes, ..self }
    }

    pub(super) fn add(&mut self, side: Side, route: &Route, observation: Observation) {
        let sides = self.routes.entry(route.clone()).or_default();
        match side {
            Side::Old => sides.old += observation,
            Side::New => sides.new += observation,
        }
    }

    /// Returns the number of outcomes of the new version.
    pub(super) fn outcomes(&self) -> u64 {
        self.routes.values().map(|sides| sides.new.requests).sum()
    }

    /// Returns how many of its `placed` requests have ended.
    pub(super) fn progress(&self, placed: u64) -> Progress {
        let ended = self.outcomes().saturating_sub(self.earlier) as f64;
        if ended >= placed as f64 * ENDED_PART {
            Progress::Ended
        } else if ended >= placed as f64 * ENDED_PART_MIN {
            Progress::MostEnded
        } else {
            Progress::TooFewEnded
        }
    }

    /// Judges the new version by what has ended so far, against all that `comparison` has of the old one.
    pub(super) fn judge(&self, comparison: &Comparison) -> Judgement {
        let failures = self.failure_evidence(comparison);
        let (failures_failed, slowdown_failed, deviations_failed) = if self.is_last {
            (FAILURES_FAILED_LAST, SLOWDOWN_FAILED_LAST, DEVIATIONS_FAILED_LAST)
        } else {
            (FAILURES_FAILED, SLOWDOWN_FAILED, DEVIATIONS_FAILED)
        };
        if failures > failures_failed {
            return Judgement::Failed;
        }
        if self.outcomes() < OUTCOMES_MIN {
            return Judgement::Open;
        }
        match self.difference(comparison) {
            Some(difference) if difference.exceeds(slowdown_failed, deviations_failed) => {
                Judgement::Failed
            }
            Some(difference) if difference.exceeds(SLOWDOWN_PASSED, DEVIATIONS_PASSED) => {
                Judgement::Disturbed
            }
            _ if failures > FAILURES_PASSED => Judgement::Open,
            _ => Judgement::Passed,
        }
    }

    /// Returns the log-likelihood ratio for a failure rate that is higher by [`RISE`].
    fn failure_evidence(&self, comparison: &Comparison) -> f64 {
        let mut in_trial = Sides::default();
        for sides in self.routes.values() {
            in_trial.old += sides.old;
            in_trial.new += sides.new;
        }
        let rate = baseline_rate(comparison.old(), &in_trial.old);
        rise_evidence(rate, RISE, &in_trial.new)
    }

    /// Returns the mean difference of times over the new version's requests; `None` if no route can be compared.
    fn difference(&self, comparison: &Comparison) -> Option<Difference> {
        let (mut requests, mut sum, mut variance) = (0.0, 0.0, 0.0);
        for (route, sides) in &self.routes {
            let old = comparison.old_on(route).filter(|old| old.timed > 0);
            let Some(old) = old else { continue };
            let count = sides.new.timed as f64;
            if count == 0.0 {
                continue;
            }
            // What slows both versions at once says nothing about the new one.
            let same_time = Some(sides.old).filter(|old| old.timed >= SAME_TIME_MIN);
            let reference =
                same_time.map_or(old.log_mean(), |same| same.log_mean().max(old.log_mean()));
            let of_request = old.log_variance().max(LOG_STDDEV_MIN * LOG_STDDEV_MIN);
            requests += count;
            sum += count * (sides.new.log_mean() - reference);
            variance += of_request * (count + count * count / old.timed as f64);
        }
        if requests == 0.0 {
            return None;
        }
        let variance = variance / (requests * requests) + SHARED_LOG_STDDEV * SHARED_LOG_STDDEV;
        Some(Difference { mean: sum / requests, stddev: variance.sqrt() })
    }
}
