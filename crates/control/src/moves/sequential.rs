//! Compares a new version with the old one, request by request, on the same route and in the same
//! window.
//!
//! For each route and each size of badness a log-likelihood ratio is summed up. A sum that never
//! falls below zero raises the alarm (a CUSUM, so that badness that comes late is found as soon as
//! badness at the start). A sum without that floor, restarted at each step of a move, tells when
//! the version may get more traffic (a sequential probability ratio test).

use super::Observation;
use lycheehub_types::Route;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// The failure rates above the old version's that are looked for.
const FAILURE_RISES: [f64; 3] = [0.02, 0.10, 0.50];
/// The ratios of time per token to the old version's that are looked for.
const SLOWDOWNS: [f64; 3] = [1.2, 1.5, 3.0];
/// The hypothesis that a version must be cleared of before it gets more traffic.
const CLEARED: usize = 1;
/// The alarm's threshold. A good version passes it with a chance of about `exp(-16)` a request.
const ALARM: f64 = 16.0;
/// The chance that a version as bad as [`CLEARED`] is taken for good at one step: 1 in 1,000.
const CLEAR: f64 = -6.9;
/// How many requests of the old version close a window.
const WINDOW_REQUESTS: u64 = 20;
/// How many requests of the old version a window needs to be compared at all.
const WINDOW_REQUESTS_MIN: u64 = 5;
/// How often a window with fewer is left open.
const LEFT_OPEN_MAX: u32 = 12;
/// The spread of the logarithm of time per token that is assumed before it is known.
const LOG_SPREAD: f64 = 0.3;
/// The number of requests that the assumed spread counts for.
const LOG_SPREAD_REQUESTS: f64 = 20.0;
/// How much the variance is raised, since requests that run together share their load.
const DEPENDENCE: f64 = 2.0;
/// How much one request's time may speak for a slow version, as a logarithm: a pause of a process or
/// of a machine makes single requests any number of times slower, whatever their version.
const SLOW_EVIDENCE_MAX: f64 = 2.0;
/// The share of the new version's requests above which a route must be cleared by itself.
const ROUTE_SHARE_MIN: f64 = 0.05;

/// Which version an observation is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version before the move.
    Old,
    /// The version that the move brings in.
    New,
}

/// What the comparison says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Open,
    /// The new version is not as bad as to be kept from more traffic.
    Cleared,
    /// The new version is bad, with the reason.
    Bad(SmolStr),
}

#[derive(Clone, Debug, Default)]
struct RouteEvidence {
    window_old: Observation,
    window_new: Observation,
    old: Observation,
    new: Observation,
    failure_alarm: [f64; 3],
    slow_alarm: [f64; 3],
    failure_clear: f64,
    slow_clear: f64,
    /// How often the window was left open since it began.
    left_open: u32,
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
/// assert!(matches!(comparison.verdict(), Verdict::Bad(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    routes: BTreeMap<Route, RouteEvidence>,
    /// All routes together, by which badness on all of them is found sooner.
    all: RouteEvidence,
}

impl Comparison {
    /// Takes what was observed of one version on one route.
    pub fn add(&mut self, side: Side, route: &Route, observation: Observation) {
        self.routes.entry(route.clone()).or_default().add(side, observation);
        self.all.add(side, observation);
    }

    /// Closes windows in which the old version has had some traffic, and those that were left open
    /// for long.
    ///
    /// Where the old version had none in the window, only failures are compared, with its long-term
    /// rate; what slows both versions down would show in the new one's times alone.
    pub fn close_windows(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.close_window_if_due();
        }
    }

    /// Restarts the test that clears the version for more traffic; alarms go on.
    pub fn restart_clearing(&mut self) {
        for evidence in self.routes.values_mut().chain([&mut self.all]) {
            evidence.failure_clear = 0.0;
            evidence.slow_clear = 0.0;
        }
    }

    /// Returns how many requests of the new version were compared or wait to be.
    pub fn new_requests(&self) -> u64 {
        self.all.new.requests + self.all.window_new.requests
    }

    /// Returns the strongest alarm as a part of the threshold: 1 or above is an alarm.
    pub fn alarm_level(&self) -> f64 {
        let level = |evidence: &RouteEvidence| {
            evidence.failure_alarm.iter().chain(&evidence.slow_alarm).copied().fold(0.0, f64::max)
        };
        self.routes.values().chain([&self.all]).map(level).fold(0.0, f64::max) / ALARM
    }

    /// Says what is known so far.
    pub fn verdict(&self) -> Verdict {
        for (route, evidence) in &self.routes {
            if let Some(reason) = evidence.alarm(route) {
                return Verdict::Bad(reason);
            }
        }
        if let Some(reason) = self.all.alarm(&Route::from("all")) {
            return Verdict::Bad(reason);
        }
        if self.is_cleared() { Verdict::Cleared } else { Verdict::Open }
    }

    fn is_cleared(&self) -> bool {
        self.all.is_cleared()
            && self.routes.values().all(|evidence| {
                let share = evidence.old.requests as f64 / self.all.old.requests.max(1) as f64;
                share < ROUTE_SHARE_MIN || evidence.is_cleared()
            })
    }

    /// Sums the evidence up for operators.
    pub fn summary(&self) -> SmolStr {
        self.all.figures()
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
        self.left_open += 1;
        if self.window_old.requests >= WINDOW_REQUESTS_MIN || self.left_open >= LEFT_OPEN_MAX {
            self.close_window();
        }
    }

    fn figures(&self) -> SmolStr {
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
        self.left_open = 0;
        if new.requests > 0 {
            self.weigh_failures(&old, &new);
            self.weigh_times(&old, &new);
        }
        self.old += old;
        self.new += new;
    }

    fn weigh_failures(&mut self, old: &Observation, new: &Observation) {
        const PRIOR_FAILURES: f64 = 0.5;
        const PRIOR_REQUESTS: f64 = 100.0;
        const RATE_MAX: f64 = 0.98;
        let mut all = self.old;
        all += *old;
        let long_term =
            (all.failures as f64 + PRIOR_FAILURES) / (all.requests as f64 + PRIOR_REQUESTS);
        let window = old.failures as f64 / old.requests.max(1) as f64;
        let usual = long_term.max(window).min(RATE_MAX);
        let failed = new.failures as f64;
        let answered = (new.requests - new.failures) as f64;
        for (rank, rise) in FAILURE_RISES.iter().enumerate() {
            let bad = (usual + rise).min((1.0 + usual) / 2.0);
            let ratio = failed * (bad / usual).ln() + answered * ((1.0 - bad) / (1.0 - usual)).ln();
            self.failure_alarm[rank] = (self.failure_alarm[rank] + ratio).max(0.0);
            if rank == CLEARED {
                self.failure_clear += ratio;
            }
        }
    }

    fn weigh_times(&mut self, old: &Observation, new: &Observation) {
        if old.timed == 0 || new.timed == 0 {
            return;
        }
        let mut all = self.old;
        all += *old;
        let known = all.timed as f64;
        let assumed = LOG_SPREAD * LOG_SPREAD * LOG_SPREAD_REQUESTS;
        let spread = (assumed + all.log_variance() * known) / (LOG_SPREAD_REQUESTS + known);
        let variance = DEPENDENCE * spread * (1.0 + new.timed as f64 / old.timed as f64);
        let usual = old.log_mean();
        for (rank, slowdown) in SLOWDOWNS.iter().enumerate() {
            let shift = slowdown.ln();
            let excess = new.log_time_sum - new.timed as f64 * (usual + shift / 2.0);
            let most = SLOW_EVIDENCE_MAX * new.timed as f64;
            let ratio = (shift / variance * excess).min(most);
            self.slow_alarm[rank] = (self.slow_alarm[rank] + ratio).max(0.0);
            if rank == CLEARED {
                self.slow_clear += ratio;
            }
        }
    }

    fn alarm(&self, route: &Route) -> Option<SmolStr> {
        if self.failure_alarm.iter().any(|level| *level >= ALARM) {
            return Some(format_smolstr!("fails on route {route}: {}", self.figures()));
        }
        if self.slow_alarm.iter().any(|level| *level >= ALARM) {
            return Some(format_smolstr!("slow on route {route}: {}", self.figures()));
        }
        None
    }

    fn is_cleared(&self) -> bool {
        let timed = self.old.timed > 0;
        self.failure_clear <= CLEAR && (!timed || self.slow_clear <= CLEAR)
    }
}
