//! How many requests an endpoint takes that fails if it must reject too many.
//!
//! Load pattern: the endpoints of a service state how many requests a second each can reject for want of
//! room; one that must reject more falls over. They let fewer requests wait than before, and how many is
//! learned from what they reject. Requests are sent few at a time, as those on the way may all be rejected.

use super::Statement;

/// How long a limit that no response states again is kept, in milliseconds.
const KEPT_MS: u64 = 10_000;
/// The time in which rejections are counted, in milliseconds: longer than the second in which an
/// endpoint counts them.
const COUNTED_MS: f64 = 1_100.0;
/// The time in which a request is rejected, if it is, in milliseconds: several round trips.
const ON_THE_WAY_MS: u64 = 30;
/// The time after which one more request is tried than were taken at the last rejection, in
/// milliseconds.
const RAISE_MS: u64 = 4_000;

/// Returns whether a limit of rejections still holds though it was not stated again.
pub fn is_current(now_ms: u64, limit: &Statement) -> bool {
    now_ms < limit.stated_ms() + KEPT_MS
}

/// What is known of an endpoint's room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// The requests that the endpoint had taken at its last rejection, and when that was, in
    /// milliseconds.
    at_rejection: Option<(usize, u64)>,
    /// The rejections since a time, in milliseconds.
    rejections: usize,
    counted_from_ms: u64,
    closed_until_ms: u64,
}

impl Room {
    /// Records that the endpoint rejected a request while `taken` others ran there. Once it has rejected
    /// this dispatcher's `share` of the `per_s` requests that it can in a second, it is sent none until
    /// that time is over.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Room;
    ///
    /// let mut room = Room::default();
    /// room.record_rejection(5_000, 4, 2.0, 1.0);
    /// assert!(!room.is_closed(5_001) && room.limit(5_001) == Some(3));
    /// room.record_rejection(5_200, 3, 2.0, 1.0);
    /// assert!(room.is_closed(6_000) && !room.is_closed(6_400));
    /// assert_eq!((room.limit(6_400), room.limit(9_400)), (Some(3), Some(4)));
    /// ```
    pub fn record_rejection(&mut self, now_ms: u64, taken: usize, per_s: f64, share: f64) {
        let allowed = per_s.max(1.0) * share;
        let counted_ms = (1e3 / allowed).max(COUNTED_MS) as u64;
        if now_ms >= self.counted_from_ms + counted_ms {
            self.counted_from_ms = now_ms;
            self.rejections = 0;
        }
        self.rejections += 1;
        self.at_rejection = Some((taken.max(1), now_ms));
        // One more may be on the way.
        if (self.rejections + 1) as f64 > allowed.max(1.0) {
            self.closed_until_ms = now_ms + counted_ms;
        }
    }

    /// Returns whether the endpoint must be sent nothing, because it rejected a request shortly before.
    pub fn is_closed(&self, now_ms: u64) -> bool {
        now_ms < self.closed_until_ms
    }

    /// Returns how many requests the endpoint takes, if that is known.
    pub fn limit(&self, now_ms: u64) -> Option<usize> {
        let (taken, at_ms) = self.at_rejection?;
        let since_ms = now_ms.saturating_sub(at_ms);
        if since_ms < COUNTED_MS as u64 {
            return Some((taken - 1).max(1));
        }
        Some(taken + (since_ms / RAISE_MS) as usize)
    }
}

/// Returns the maximum number of requests that may be on the way to an endpoint at the same time: all of
/// them may be rejected.
pub fn on_the_way_max(per_s: f64, share: f64) -> usize {
    ((per_s - 1.0) * share).max(1.0) as usize
}

/// Returns whether a request placed at `since_ms` may still be rejected.
pub fn is_on_the_way(now_ms: u64, since_ms: u64) -> bool {
    now_ms < since_ms + ON_THE_WAY_MS
}
