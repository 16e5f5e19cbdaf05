//! Compares the failure rates of two versions, window by window, by log-likelihood ratios. Sums with
//! a floor of zero (CUSUM) raise the alarm, so that a late regression is detected as fast as an
//! early one.

use super::window::Window;
use super::{Observation, Side};

/// The increases of the failure rate that are tested for.
const RISES: [f64; 3] = [0.02, 0.10, 0.50];
/// The index of the increase that a version must be cleared of before it receives more traffic.
const CLEARING_INDEX: usize = 1;
/// The number of requests to the new version that fills a window.
const FULL_NEW_REQUESTS: u64 = 10;
/// The alarm threshold. A good version crosses it with a probability of about `exp(-16)` per
/// request, if its failures are independent of each other.
const ALARM_THRESHOLD: f64 = 16.0;

/// The evidence on one route that the new version fails more often.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureEvidence {
    window: Window,
    alarm: [f64; 3],
    clearing: f64,
}

impl FailureEvidence {
    /// Adds outcomes; `old` is the sum over all outcomes of the old version, these included.
    pub(super) fn add(&mut self, side: Side, observation: Observation, old: &Observation) {
        self.window.add(side, observation);
        // Where the new version gets most requests, its failures are compared with the old version's
        // long-term rate.
        if self.window.is_full() || self.window.new.requests >= FULL_NEW_REQUESTS {
            self.close_window(old);
        }
    }

    /// Closes the window if it has enough requests or has been open for long.
    pub(super) fn close_window_if_due(&mut self, old: &Observation) {
        if self.window.is_due_at_check() {
            self.close_window(old);
        }
    }

    /// Returns the highest sum as a fraction of the threshold.
    pub(super) fn alarm_level(&self) -> f64 {
        self.alarm.iter().copied().fold(0.0, f64::max) / ALARM_THRESHOLD
    }

    pub(super) fn clearing(&self) -> f64 {
        self.clearing
    }

    pub(super) fn restart_clearing(&mut self) {
        self.clearing = 0.0;
    }

    fn close_window(&mut self, old: &Observation) {
        let Window { old: window_old, new, .. } = std::mem::take(&mut self.window);
        if new.requests == 0 {
            return;
        }
        let baseline = baseline_rate(old, &window_old);
        for (index, rise) in RISES.iter().enumerate() {
            let ratio = rise_evidence(baseline, *rise, &new);
            self.alarm[index] = (self.alarm[index] + ratio).max(0.0);
            if index == CLEARING_INDEX {
                self.clearing += ratio;
            }
        }
    }
}

/// Returns the log-likelihood ratio of these outcomes for a failure rate that is higher by `rise` than
/// `baseline`.
pub(super) fn rise_evidence(baseline: f64, rise: f64, outcomes: &Observation) -> f64 {
    let raised = (baseline + rise).min((1.0 + baseline) / 2.0);
    let failed = outcomes.failures as f64;
    let answered = (outcomes.requests - outcomes.failures) as f64;
    failed * (raised / baseline).ln() + answered * ((1.0 - raised) / (1.0 - baseline)).ln()
}

/// Returns the failure rate of the old version: the higher of its long-term one and the window's.
pub(super) fn baseline_rate(old: &Observation, window_old: &Observation) -> f64 {
    const PRIOR_FAILURES: f64 = 0.5;
    const PRIOR_TRIALS: f64 = 100.0;
    const RATE_MAX: f64 = 0.98;
    let long_term = (old.failures as f64 + PRIOR_FAILURES) / (old.requests as f64 + PRIOR_TRIALS);
    let window_rate = window_old.failures as f64 / window_old.requests.max(1) as f64;
    long_term.max(window_rate).min(RATE_MAX)
}
