//! Tells when the search for suspects must be made again.
//!
//! Load pattern: many endpoints crash, each with many requests at work. The search looks at all that is kept of
//! them, and the dispatcher advances many times a second.

/// How long after a search the next one is made at the latest, in milliseconds: an answer that is told late, or
/// that is forgotten, changes the result too.
const INTERVAL_MS: u64 = 1_000;

/// What changes the result of a search as time passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// The number of crashes that count.
    pub(super) counted: usize,
    /// The number of crashes since which several answers were begun.
    pub(super) followed_by_answers: usize,
}

/// The last search.
#[derive(Clone, Debug, Default)]
pub(super) struct LastSearch {
    /// When it was made, in milliseconds, and what it found; `None` if crashes or quarantines changed since.
    made: Option<(u64, Progress)>,
}

impl LastSearch {
    /// Records that a crash, or a quarantine, is new or has changed.
    pub(super) fn record_change(&mut self) {
        self.made = None;
    }

    /// Returns whether a search may have another result than the last one.
    pub(super) fn is_outdated(&self, now_ms: u64, progress: Progress) -> bool {
        self.made.is_none_or(|(at_ms, seen)| seen != progress || now_ms >= at_ms + INTERVAL_MS)
    }

    /// Records a search.
    pub(super) fn record(&mut self, now_ms: u64, progress: Progress) {
        self.made = Some((now_ms, progress));
    }
}
