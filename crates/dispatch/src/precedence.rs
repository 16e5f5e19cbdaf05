//! Which job of a rank goes first in a long backlog.
//!
//! Load pattern: a burst exceeds the capacity for several seconds, and the responses of a rank differ
//! up to 100:1 in length. One long response takes the slot time of many short ones, so jobs that hold
//! a slot for a short time precede those that hold one for long: more callers are served with the
//! same slots.
//!
//! Jobs that can still be on time are also served newest first, as those that are served then start
//! well in time and only the remaining ones expire. Late jobs are served oldest first: waiting
//! makes up for length, so that a long job is passed only by jobs that would have ended
//! before it, had both started when they arrived.

/// The order of the jobs of a rank in a long backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// Short and newly arrived jobs go first.
    ShortAndNew,
    /// Short jobs and those that have waited for long go first.
    ShortAndOld,
}

impl Precedence {
    /// Returns the key of a job that arrived at `since_ms` and is expected to hold a slot for
    /// `slot_ms`; the lowest key goes first.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::precedence::Precedence;
    ///
    /// let (old, new) = (1_000, 1_200);
    /// assert!(Precedence::ShortAndNew.key(new, 300) < Precedence::ShortAndNew.key(old, 300));
    /// assert!(Precedence::ShortAndOld.key(old, 300) < Precedence::ShortAndOld.key(new, 300));
    /// assert!(Precedence::ShortAndOld.key(new, 50) < Precedence::ShortAndOld.key(old, 300));
    /// ```
    pub fn key(self, since_ms: u64, slot_ms: u64) -> i64 {
        let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
        let (since_ms, slot_ms) = (signed(since_ms), signed(slot_ms));
        match self {
            Self::ShortAndNew => slot_ms.saturating_sub(since_ms),
            Self::ShortAndOld => slot_ms.saturating_add(since_ms),
        }
    }
}
