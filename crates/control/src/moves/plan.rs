//! The schedule of a move, computed backwards from its deadline.

use crate::state::{MoveRecord, Phase};

/// The shares of traffic that the new version receives in turn, in thousandths; the first is the
/// canary's. The last share leaves the old version enough traffic for the comparison until the move
/// is done.
pub const SHARES_PERMILLE: [u32; 7] = [20, 50, 100, 250, 500, 750, 980];
/// The part of the total time reserved for the canary, in thousandths.
const CANARY_PERMILLE: u64 = 500;
/// The part of the total time that the old version stays loaded after the last step, in
/// thousandths.
const SOAK_PERMILLE: u64 = 100;
/// The maximum soak time, in milliseconds.
const SOAK_MAX_MS: u64 = 10 * 60 * 1_000;
/// The minimum time between two steps, in milliseconds.
pub const MIN_STEP_INTERVAL_MS: u64 = 2_000;

/// The times at which a move's steps are due, in milliseconds since the Unix epoch.
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
    /// Creates a schedule from the start of a move to its deadline.
    pub fn new(begins_unix_ms: u64, by_unix_ms: u64) -> Self {
        Self { begins_unix_ms, by_unix_ms: by_unix_ms.max(begins_unix_ms) }
    }

    /// Returns when the soak must begin to end by the deadline.
    pub fn soak_begins_unix_ms(&self) -> u64 {
        self.by_unix_ms - self.soak_ms()
    }

    /// Returns how long the old version stays loaded after the last step.
    pub fn soak_ms(&self) -> u64 {
        let total_ms = self.by_unix_ms - self.begins_unix_ms;
        (total_ms * SOAK_PERMILLE / 1_000).min(SOAK_MAX_MS)
    }

    /// Returns when step `number` is due even if the comparison has not cleared the version.
    pub fn step_due_unix_ms(&self, number: usize) -> u64 {
        let total_ms = self.soak_begins_unix_ms() - self.begins_unix_ms;
        let canary_ms = total_ms * CANARY_PERMILLE / 1_000;
        let steps = SHARES_PERMILLE.len() as u64 - 1;
        let ramp_ms = (total_ms - canary_ms) * (number as u64).saturating_sub(1) / steps;
        self.begins_unix_ms + canary_ms + ramp_ms
    }
}

/// Returns the next share of traffic for the new version, in thousandths.
pub fn next_share_permille(record: &MoveRecord) -> u32 {
    if matches!(record.phase, Phase::Planned | Phase::Loading) {
        return SHARES_PERMILLE[0];
    }
    let next = SHARES_PERMILLE.into_iter().find(|share| *share > record.share_permille);
    next.unwrap_or(record.share_permille)
}

/// Tells whether a move met its deadline, or can still meet it with the minimum time between steps.
pub fn is_on_schedule(now_unix_ms: u64, record: &MoveRecord) -> bool {
    let remaining_steps =
        SHARES_PERMILLE.iter().filter(|share| **share > record.share_permille).count();
    match record.phase {
        Phase::Done => record.step_unix_ms <= record.spec.by_unix_ms,
        Phase::Reverted | Phase::Superseded => false,
        _ => now_unix_ms + remaining_steps as u64 * MIN_STEP_INTERVAL_MS <= record.spec.by_unix_ms,
    }
}
