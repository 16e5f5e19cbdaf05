//! The plan of a move, laid back from the time by which it must be done.

use crate::state::{MoveRecord, Phase};

/// The shares of traffic that the new version gets in turn, in thousandths; the first is the
/// canary's. The last one leaves the old version enough to compare with until the move is done.
pub const SHARES_PERMILLE: [u32; 7] = [20, 50, 100, 250, 500, 750, 980];
/// The part of the time that the canary may take, in thousandths.
const CANARY_PERMILLE: u64 = 500;
/// The part of the time that the old version stays loaded after the last step, in thousandths.
const SOAK_PERMILLE: u64 = 100;
/// The longest soak, in milliseconds.
const SOAK_MAX_MS: u64 = 10 * 60 * 1_000;
/// The shortest time between two steps, in milliseconds.
pub const DWELL_MIN_MS: u64 = 2_000;

/// When a move's steps are due, in milliseconds since the Unix epoch.
///
/// # Examples
/// ```
/// use lycheehub_control::moves::Plan;
///
/// let plan = Plan::new(0, 1_000_000);
/// assert!(plan.step_due_unix_ms(1) < plan.step_due_unix_ms(6));
/// assert!(plan.step_due_unix_ms(6) <= plan.soak_begins_unix_ms());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    begins_unix_ms: u64,
    by_unix_ms: u64,
}

impl Plan {
    /// Lays a plan between the time a move begins and the time it must be done.
    pub fn new(begins_unix_ms: u64, by_unix_ms: u64) -> Self {
        Self { begins_unix_ms, by_unix_ms: by_unix_ms.max(begins_unix_ms) }
    }

    /// Returns when the new version must have all traffic, so that the soak ends in time.
    pub fn soak_begins_unix_ms(&self) -> u64 {
        self.by_unix_ms - self.soak_ms()
    }

    /// Returns how long the old version stays loaded after the last step.
    pub fn soak_ms(&self) -> u64 {
        let total_ms = self.by_unix_ms - self.begins_unix_ms;
        (total_ms * SOAK_PERMILLE / 1_000).min(SOAK_MAX_MS)
    }

    /// Returns when step `number` is due even without proof that the version is good.
    pub fn step_due_unix_ms(&self, number: usize) -> u64 {
        let total_ms = self.soak_begins_unix_ms() - self.begins_unix_ms;
        let canary_ms = total_ms * CANARY_PERMILLE / 1_000;
        let steps = SHARES_PERMILLE.len() as u64 - 1;
        let ramp_ms = (total_ms - canary_ms) * (number as u64).saturating_sub(1) / steps;
        self.begins_unix_ms + canary_ms + ramp_ms
    }
}

/// Returns the share of traffic that the new version gets next, in thousandths.
pub fn next_share_permille(record: &MoveRecord) -> u32 {
    if matches!(record.phase, Phase::Planned | Phase::Loading) {
        return SHARES_PERMILLE[0];
    }
    let next = SHARES_PERMILLE.into_iter().find(|share| *share > record.share_permille);
    next.unwrap_or(record.share_permille)
}

/// Tells whether a move is done, or can still be done in time with the shortest time at each step.
pub fn is_in_time(now_unix_ms: u64, record: &MoveRecord) -> bool {
    let left = SHARES_PERMILLE.iter().filter(|share| **share > record.share_permille).count();
    match record.phase {
        Phase::Done => record.step_unix_ms <= record.spec.by_unix_ms,
        Phase::Reverted | Phase::Superseded => false,
        _ => now_unix_ms + left as u64 * DWELL_MIN_MS <= record.spec.by_unix_ms,
    }
}
