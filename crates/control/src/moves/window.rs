//! The outcomes of both versions between two comparisons.

use super::{Observation, Side};

/// The number of requests to the old version that fills a window.
const FULL_REQUESTS: u64 = 20;
/// The minimum number of requests to the old version for a window that is closed by a timer.
const MIN_REQUESTS: u64 = 5;
/// The number of timer checks after which a window with fewer requests is closed.
const MAX_SPARSE_CHECKS: u32 = 12;

/// The outcomes since the last comparison.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window {
    pub(super) old: Observation,
    pub(super) new: Observation,
    /// The number of timer checks since the window was opened.
    sparse_checks: u32,
}

impl Window {
    pub(super) fn add(&mut self, side: Side, observation: Observation) {
        match side {
            Side::Old => self.old += observation,
            Side::New => self.new += observation,
        }
    }

    /// Returns whether there are enough requests to compare.
    pub(super) fn is_full(&self) -> bool {
        self.old.requests >= FULL_REQUESTS
    }

    /// Counts a timer check; returns whether the window has some requests or has been open for long.
    pub(super) fn is_due_at_check(&mut self) -> bool {
        self.sparse_checks += 1;
        self.old.requests >= MIN_REQUESTS || self.sparse_checks >= MAX_SPARSE_CHECKS
    }
}
