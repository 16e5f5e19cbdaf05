//! Compares the times of two versions, block by block.
//!
//! Requests that run at the same time share their disturbances: a pause of an endpoint slows down
//! all that run there. The unit of evidence is therefore a block of time, and the evidence of a
//! block is bounded, so that only several slow blocks raise an alarm.
//!
//! The evidence of a block for a slowdown is the log-likelihood ratio of the difference of the mean
//! logarithms of the times, cut at both sides (Huber), less what disturbed blocks add to it on
//! average. While a good version's blocks are disturbed with a probability of at most
//! [`DISTURBED_RATE`] each, the exponential of a sum of evidence is a supermartingale, whichever block it
//! starts at. By Ville's inequality it ever reaches `exp(t)` with a probability of at most
//! `exp(-t)`; the thresholds grow so that these sum up to [`FALSE_ALARM_RATE`] over all blocks,
//! slowdowns and routes.

use super::window::Window;
use super::{Observation, Side};

/// The ratios of time per token to the old version's that are tested for.
pub(super) const SLOWDOWNS: [f64; 3] = [1.2, 1.5, 3.0];
/// The number of blocks of full evidence that do not yet raise an alarm, by slowdown. A pause covers
/// the fewer blocks of requests, the more it slows them down.
const QUIET_BLOCKS: [f64; 3] = [10.0, 7.0, 3.5];
/// The index of the slowdown that a version must be cleared of before it receives more traffic.
const CLEARING_INDEX: usize = 1;
/// The probability that a good version ever raises an alarm during a whole move.
const FALSE_ALARM_RATE: f64 = 0.001;
/// The probability that a block of a good version is disturbed.
const DISTURBED_RATE: f64 = 0.02;
/// The minimum duration of a block, in milliseconds.
const BLOCK_MS: u64 = 1_000;
/// The prior standard deviation of the logarithm of the time per token.
const PRIOR_LOG_STDDEV: f64 = 0.3;
/// The number of requests that the prior standard deviation counts for.
const PRIOR_REQUESTS: f64 = 20.0;
/// The standard deviation of what all requests of one version in a block share, as a logarithm.
const SHARED_LOG_STDDEV: f64 = 0.1;
/// The number of standard deviations at which the evidence of a block is cut.
const MAX_DEVIATIONS: f64 = 2.0;
/// The maximum evidence per request in favour of a slowdown.
const MAX_REQUEST_EVIDENCE: f64 = 2.0;

/// The evidence on one route that the new version is slower.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowdownEvidence {
    block: Window,
    /// When the block was opened, if the time is known.
    opened_ms: Option<u64>,
    /// The number of blocks with evidence.
    blocks: u64,
    alarm: [f64; 3],
    clearing: f64,
}

impl SlowdownEvidence {
    /// Adds outcomes; `old` is the sum over all outcomes of the old version, these included.
    pub(super) fn add(
        &mut self,
        now_ms: Option<u64>,
        side: Side,
        observation: Observation,
        old: &Observation,
    ) {
        self.block.add(side, observation);
        self.close_block_if_full(now_ms, old);
    }

    /// Closes the block if its time is over and it has enough requests.
    pub(super) fn advance(&mut self, now_ms: u64, old: &Observation) {
        self.close_block_if_full(Some(now_ms), old);
    }

    /// Closes the block if its time is over and it has some requests or has been open for long.
    pub(super) fn close_block_if_due(&mut self, now_ms: Option<u64>, old: &Observation) {
        let is_due = self.block.is_due_at_check();
        if self.is_over(now_ms) && is_due {
            self.close_block(now_ms, old);
        }
    }

    /// Returns the highest sum as a fraction of the threshold; `tests` is the number of alarms for
    /// slowdowns on all routes.
    pub(super) fn alarm_level(&self, tests: usize) -> f64 {
        self.alarm.iter().copied().fold(0.0, f64::max) / threshold(self.blocks, tests)
    }

    pub(super) fn clearing(&self) -> f64 {
        self.clearing
    }

    pub(super) fn restart_clearing(&mut self) {
        self.clearing = 0.0;
    }

    fn close_block_if_full(&mut self, now_ms: Option<u64>, old: &Observation) {
        if self.is_over(now_ms) && self.block.is_full() {
            self.close_block(now_ms, old);
        }
    }

    /// Returns whether the block's time is over. Without a clock it always is.
    fn is_over(&mut self, now_ms: Option<u64>) -> bool {
        let Some(now_ms) = now_ms else { return true };
        let opened_ms = self.opened_ms.get_or_insert(now_ms);
        // The clock may have been set back.
        *opened_ms = (*opened_ms).min(now_ms);
        now_ms - *opened_ms >= BLOCK_MS
    }

    fn close_block(&mut self, now_ms: Option<u64>, old: &Observation) {
        let Window { old: block_old, new, .. } = std::mem::take(&mut self.block);
        self.opened_ms = now_ms;
        if block_old.timed == 0 || new.timed == 0 {
            return;
        }
        self.blocks += 1;
        let difference = new.log_mean() - block_old.log_mean();
        let requests = 1.0 / new.timed as f64 + 1.0 / block_old.timed as f64;
        let variance = log_variance(old) * requests + SHARED_LOG_STDDEV * SHARED_LOG_STDDEV;
        let most_of_requests = MAX_REQUEST_EVIDENCE * new.timed as f64;
        for (index, slowdown) in SLOWDOWNS.iter().enumerate() {
            let most_of_block = threshold(self.blocks, SLOWDOWNS.len()) / QUIET_BLOCKS[index];
            let most = most_of_block.min(most_of_requests);
            let evidence = evidence(slowdown.ln(), difference, variance, most);
            self.alarm[index] = (self.alarm[index] + evidence).max(0.0);
            if index == CLEARING_INDEX {
                self.clearing += evidence;
            }
        }
    }
}

/// Returns the alarm threshold after this number of blocks, for one of `tests` alarms.
///
/// The sum over all blocks `b` of `1 / (b * (b + 1))` is 1.
fn threshold(blocks: u64, tests: usize) -> f64 {
    let blocks = blocks.max(1) as f64;
    (tests as f64 * blocks * (blocks + 1.0) / FALSE_ALARM_RATE).ln()
}

/// Returns the evidence of a block for a slowdown by the factor `exp(shift)`, at most `most`.
fn evidence(shift: f64, difference: f64, variance: f64, most: f64) -> f64 {
    let stddev = variance.sqrt();
    let deviations = (difference - shift / 2.0) / stddev;
    let cut = deviations.clamp(-MAX_DEVIATIONS, MAX_DEVIATIONS);
    let most = most.min(MAX_DEVIATIONS * shift / stddev);
    let of_disturbances = (DISTURBED_RATE * most.exp_m1()).ln_1p();
    (cut * shift / stddev).min(most) - of_disturbances
}

/// Returns the variance of the logarithm of the time per token, with the prior.
fn log_variance(old: &Observation) -> f64 {
    let timed = old.timed as f64;
    let prior = PRIOR_LOG_STDDEV * PRIOR_LOG_STDDEV * PRIOR_REQUESTS;
    (prior + old.log_variance() * timed) / (PRIOR_REQUESTS + timed)
}
