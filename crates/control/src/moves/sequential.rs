//! Compares a new version with the old one, request by request, on the same route and in the same
//! window.
//!
//! For each route and each size of regression, a log-likelihood ratio is accumulated. A sum with a
//! floor of zero raises the alarm (CUSUM), so that a late regression is detected as fast as an
//! early one. A sum without the floor, restarted at each step of a move, decides whether the
//! version may receive more traffic (sequential probability ratio test).

use super::Observation;
use lycheehub_types::Route;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// The increases of the failure rate that are tested for.
const FAILURE_RISES: [f64; 3] = [0.02, 0.10, 0.50];
/// The ratios of time per token to the old version's that are tested for.
const SLOWDOWNS: [f64; 3] = [1.2, 1.5, 3.0];
/// The index of the regression size that a version must be cleared of before it receives more
/// traffic.
const CLEARING_INDEX: usize = 1;
/// The alarm threshold. A good version crosses it with a probability of about `exp(-16)` per
/// request.
const ALARM_THRESHOLD: f64 = 16.0;
/// The clearing threshold. A version as bad as [`CLEARING_INDEX`] is cleared at one step with a
/// probability of 1 in 1,000.
const CLEARING_THRESHOLD: f64 = -6.9;
/// The number of requests to the old version that closes a window.
const WINDOW_REQUESTS: u64 = 20;
/// The minimum number of requests to the old version for a window that is closed by a timer.
const MIN_WINDOW_REQUESTS: u64 = 5;
/// The number of timer checks after which a window with fewer requests is closed.
const MAX_SPARSE_CHECKS: u32 = 12;
/// The prior standard deviation of the logarithm of the time per token.
const PRIOR_LOG_STDDEV: f64 = 0.3;
/// The number of requests that the prior standard deviation counts for.
const PRIOR_REQUESTS: f64 = 20.0;
/// The factor on the variance, because requests that run together share their load and are not
/// independent.
const VARIANCE_INFLATION: f64 = 2.0;
/// The maximum log-likelihood ratio per request in favour of a slowdown. A pause of a process or
/// machine can slow a single request down by any factor, whatever its version.
const MAX_SLOW_EVIDENCE: f64 = 2.0;
/// The share of the old version's requests from which on a route must be cleared on its own.
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
    window_old: Observation,
    window_new: Observation,
    old: Observation,
    new: Observation,
    failure_alarm: [f64; 3],
    slowdown_alarm: [f64; 3],
    failure_clear: f64,
    slowdown_clear: f64,
    /// The number of timer checks since the window was opened.
    sparse_checks: u32,
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
}

impl Comparison {
    /// Adds the outcomes of one version on one route.
    pub fn add(&mut self, side: Side, route: &Route, observation: Observation) {
        self.routes.entry(route.clone()).or_default().add(side, observation);
        self.all.add(side, observation);
    }

    /// Closes windows with enough requests to the old version, and windows that have been open for
    /// long.
    ///
    /// If the old version had no requests in a window, only failures are compared, against its
    /// long-term failure rate. Times are not compared then, because a slowdown of both versions
    /// would only show in the new version.
    pub fn close_windows(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.close_window_if_due();
        }
    }

    /// Restarts the clearing test; the alarms continue.
    pub fn restart_clearing(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.failure_clear = 0.0;
            evidence.slowdown_clear = 0.0;
        }
    }

    /// Returns the number of requests to the new version, including those in open windows.
    pub fn new_requests(&self) -> u64 {
        self.all.new.requests + self.all.window_new.requests
    }

    /// Returns the highest alarm as a fraction of the threshold; 1 or above is an alarm.
    pub fn alarm_level(&self) -> f64 {
        let level = |evidence: &RouteEvidence| {
            evidence
                .failure_alarm
                .iter()
                .chain(&evidence.slowdown_alarm)
                .copied()
                .fold(0.0, f64::max)
        };
        self.routes.values().chain([&self.all]).map(level).fold(0.0, f64::max) / ALARM_THRESHOLD
    }

    /// Returns the result so far.
    pub fn verdict(&self) -> Verdict {
        for (route, evidence) in &self.routes {
            if let Some(reason) = evidence.alarm(route) {
                return Verdict::Regressed(reason);
            }
        }
        if let Some(reason) = self.all.alarm(&Route::from("all")) {
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

    /// Returns a summary of the evidence for operators.
    pub fn summary(&self) -> SmolStr {
        self.all.summary()
    }
}

impl RouteEvidence {
    fn add(&mut self, side: Side, observation: Observation) {
        match side {
            Side::Old => self.window_old += observation,
            Side::New => self.window_new += observation,
        }
        if self.window_old.requests >= WINDOW_REQUESTS {
            self.close_window();
        }
    }

    fn close_window_if_due(&mut self) {
        self.sparse_checks += 1;
        if self.window_old.requests >= MIN_WINDOW_REQUESTS
            || self.sparse_checks >= MAX_SPARSE_CHECKS
        {
            self.close_window();
        }
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

    fn close_window(&mut self) {
        let (old, new) = (self.window_old, self.window_new);
        self.window_old = Observation::default();
        self.window_new = Observation::default();
        self.sparse_checks = 0;
        if new.requests > 0 {
            self.add_failure_evidence(&old, &new);
            self.add_latency_evidence(&old, &new);
        }
        self.old += old;
        self.new += new;
    }

    fn add_failure_evidence(&mut self, old: &Observation, new: &Observation) {
        const PRIOR_FAILURES: f64 = 0.5;
        const PRIOR_TRIALS: f64 = 100.0;
        const RATE_MAX: f64 = 0.98;
        let mut history = self.old;
        history += *old;
        let long_term =
            (history.failures as f64 + PRIOR_FAILURES) / (history.requests as f64 + PRIOR_TRIALS);
        let window_rate = old.failures as f64 / old.requests.max(1) as f64;
        let baseline = long_term.max(window_rate).min(RATE_MAX);
        let failed = new.failures as f64;
        let answered = (new.requests - new.failures) as f64;
        for (index, rise) in FAILURE_RISES.iter().enumerate() {
            let raised = (baseline + rise).min((1.0 + baseline) / 2.0);
            let ratio = failed * (raised / baseline).ln()
                + answered * ((1.0 - raised) / (1.0 - baseline)).ln();
            self.failure_alarm[index] = (self.failure_alarm[index] + ratio).max(0.0);
            if index == CLEARING_INDEX {
                self.failure_clear += ratio;
            }
        }
    }

    fn add_latency_evidence(&mut self, old: &Observation, new: &Observation) {
        if old.timed == 0 || new.timed == 0 {
            return;
        }
        let mut history = self.old;
        history += *old;
        let timed = history.timed as f64;
        let prior = PRIOR_LOG_STDDEV * PRIOR_LOG_STDDEV * PRIOR_REQUESTS;
        let log_variance = (prior + history.log_variance() * timed) / (PRIOR_REQUESTS + timed);
        let variance =
            VARIANCE_INFLATION * log_variance * (1.0 + new.timed as f64 / old.timed as f64);
        let baseline = old.log_mean();
        for (index, slowdown) in SLOWDOWNS.iter().enumerate() {
            let shift = slowdown.ln();
            let excess = new.log_time_sum - new.timed as f64 * (baseline + shift / 2.0);
            let max_ratio = MAX_SLOW_EVIDENCE * new.timed as f64;
            let ratio = (shift / variance * excess).min(max_ratio);
            self.slowdown_alarm[index] = (self.slowdown_alarm[index] + ratio).max(0.0);
            if index == CLEARING_INDEX {
                self.slowdown_clear += ratio;
            }
        }
    }

    fn alarm(&self, route: &Route) -> Option<SmolStr> {
        if self.failure_alarm.iter().any(|level| *level >= ALARM_THRESHOLD) {
            return Some(format_smolstr!("fails on route {route}: {}", self.summary()));
        }
        if self.slowdown_alarm.iter().any(|level| *level >= ALARM_THRESHOLD) {
            return Some(format_smolstr!("slow on route {route}: {}", self.summary()));
        }
        None
    }

    fn is_cleared(&self) -> bool {
        let timed = self.old.timed > 0;
        self.failure_clear <= CLEARING_THRESHOLD
            && (!timed || self.slowdown_clear <= CLEARING_THRESHOLD)
    }
}
