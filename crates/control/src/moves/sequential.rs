//! Compares a new version with the old one on the same route and at the same time.
//!
//! For each route, and for all routes together, failures and times are compared, each by sums that
//! raise an alarm and by sums that decide whether the version may receive more traffic. The alarms
//! continue for the whole move; the others are restarted at each step (sequential probability ratio
//! tests).

use super::Observation;
use super::failures::FailureEvidence;
use super::slowdowns::{SLOWDOWNS, SlowdownEvidence};
use lycheehub_types::Route;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// The clearing threshold. A version that is bad enough is cleared at one step with a probability
/// of 1 in 1,000.
const CLEARING_THRESHOLD: f64 = -6.9;
/// The minimum share of the old version's requests from which on a route must be cleared on its own.
const MIN_ROUTE_SHARE: f64 = 0.05;

/// The version that an observation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version before the move.
    Old,
    /// The version that the move introduces.
    New,
}

/// The result of a comparison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough evidence yet.
    Inconclusive,
    /// The new version is good enough to receive more traffic.
    Cleared,
    /// The new version is worse than the old one, with the reason.
    Regressed(SmolStr),
}

#[derive(Clone, Debug, Default)]
struct RouteEvidence {
    old: Observation,
    new: Observation,
    failures: FailureEvidence,
    slowdowns: SlowdownEvidence,
}

/// The comparison of two versions of one service.
///
/// # Examples
/// ```
/// use lycheehub_control::moves::{Comparison, Observation, Side, Verdict};
///
/// let mut comparison = Comparison::default();
/// let route = "chat".into();
/// for _ in 0..40 {
///     comparison.add(Side::Old, &route, Observation::success(20.0));
///     comparison.add(Side::New, &route, Observation::failure());
/// }
/// assert!(matches!(comparison.verdict(), Verdict::Regressed(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    routes: BTreeMap<Route, RouteEvidence>,
    /// The evidence over all routes, which detects a regression that affects every route sooner.
    all: RouteEvidence,
    /// The time of a clock of the caller, in milliseconds.
    now_ms: Option<u64>,
}

impl Comparison {
    /// Adds the outcomes of one version on one route.
    pub fn add(&mut self, side: Side, route: &Route, observation: Observation) {
        let evidence = self.routes.entry(route.clone()).or_default();
        evidence.add(self.now_ms, side, observation);
        self.all.add(self.now_ms, side, observation);
    }

    /// Sets the time, by any clock. From the first call on, times are compared in blocks of time;
    /// before it, in blocks of requests alone.
    pub fn advance(&mut self, now_ms: u64) {
        self.now_ms = Some(now_ms);
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.slowdowns.advance(now_ms, &evidence.old);
        }
    }

    /// Closes windows with enough requests to the old version, and windows that have been open for
    /// long.
    ///
    /// If the old version had no requests in a window, only failures are compared, against its
    /// long-term failure rate. Times are not compared then, because a slowdown of both versions
    /// would only show in the new version.
    pub fn close_windows(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.failures.close_window_if_due(&evidence.old);
            evidence.slowdowns.close_block_if_due(self.now_ms, &evidence.old);
        }
    }

    /// Restarts the clearing tests; the alarms continue.
    pub fn restart_clearing(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.failures.restart_clearing();
            evidence.slowdowns.restart_clearing();
        }
    }

    /// Returns the number of requests to the new version, including those in open windows.
    pub fn new_requests(&self) -> u64 {
        self.all.new.requests
    }

    /// Returns all outcomes of the old version on one route.
    pub(super) fn old_on(&self, route: &Route) -> Option<&Observation> {
        self.routes.get(route).map(|evidence| &evidence.old)
    }

    /// Returns all outcomes of the old version.
    pub(super) fn old(&self) -> &Observation {
        &self.all.old
    }

    /// Returns the highest alarm as a fraction of its threshold; 1 or above is an alarm.
    pub fn alarm_level(&self) -> f64 {
        let tests = self.slowdown_tests();
        let level = |evidence: &RouteEvidence| {
            evidence.failures.alarm_level().max(evidence.slowdowns.alarm_level(tests))
        };
        self.routes.values().chain([&self.all]).map(level).fold(0.0, f64::max)
    }

    /// Returns the result so far.
    pub fn verdict(&self) -> Verdict {
        let tests = self.slowdown_tests();
        for (route, evidence) in &self.routes {
            if let Some(reason) = evidence.alarm(route, tests) {
                return Verdict::Regressed(reason);
            }
        }
        if let Some(reason) = self.all.alarm(&Route::from("all"), tests) {
            return Verdict::Regressed(reason);
        }
        if self.is_cleared() { Verdict::Cleared } else { Verdict::Inconclusive }
    }

    fn is_cleared(&self) -> bool {
        self.all.is_cleared()
            && self.routes.values().all(|evidence| {
                let share = evidence.old.requests as f64 / self.all.old.requests.max(1) as f64;
                share < MIN_ROUTE_SHARE || evidence.is_cleared()
            })
    }

    /// Returns the number of alarms for slowdowns, among which the chance of a false one is divided.
    fn slowdown_tests(&self) -> usize {
        SLOWDOWNS.len() * (self.routes.len() + 1)
    }

    /// Returns a summary of the evidence for operators.
    pub fn summary(&self) -> SmolStr {
        self.all.summary()
    }
}

impl RouteEvidence {
    fn add(&mut self, now_ms: Option<u64>, side: Side, observation: Observation) {
        match side {
            Side::Old => self.old += observation,
            Side::New => self.new += observation,
        }
        self.failures.add(side, observation, &self.old);
        self.slowdowns.add(now_ms, side, observation, &self.old);
    }

    fn summary(&self) -> SmolStr {
        let ratio = (self.new.log_mean() - self.old.log_mean()).exp();
        format_smolstr!(
            "new {}/{} failed, old {}/{} failed, time per token x{ratio:.2}",
            self.new.failures,
            self.new.requests,
            self.old.failures,
            self.old.requests
        )
    }

    fn alarm(&self, route: &Route, slowdown_tests: usize) -> Option<SmolStr> {
        if self.failures.alarm_level() >= 1.0 {
            return Some(format_smolstr!("fails on route {route}: {}", self.summary()));
        }
        if self.slowdowns.alarm_level(slowdown_tests) >= 1.0 {
            return Some(format_smolstr!("slow on route {route}: {}", self.summary()));
        }
        None
    }

    fn is_cleared(&self) -> bool {
        let timed = self.old.timed > 0;
        self.failures.clearing() <= CLEARING_THRESHOLD
            && (!timed || self.slowdowns.clearing() <= CLEARING_THRESHOLD)
    }
}
