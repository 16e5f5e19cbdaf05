//! Which instances did not reach an endpoint.

use std::collections::BTreeMap;

/// The first pause of an endpoint for an instance that did not reach it, in milliseconds.
const FIRST_PAUSE_MS: u64 = 300;
/// The maximum pause, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_200;
/// How long a failure counts beside those of other instances, in milliseconds.
const COUNTED_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct Unreached {
    /// When the pause began, in milliseconds.
    since_ms: u64,
    /// When the last failure was reported, in milliseconds.
    at_ms: u64,
    until_ms: u64,
    consecutive: u32,
}

/// The instances that did not reach an endpoint since it last responded to them.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    unreached: BTreeMap<u32, Unreached>,
    /// When the endpoint last responded to each instance, in milliseconds.
    responded_ms: BTreeMap<u32, u64>,
}

impl Reach {
    /// Records that an instance did not reach the endpoint with a request sent at `sent_ms`. It is paused for
    /// that instance, longer each time. Requests that were sent before the last pause are part of the same
    /// outage, and do not prolong it.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Reach;
    ///
    /// let mut reach = Reach::default();
    /// reach.record_failure(1_000, 900, 7);
    /// assert!(reach.is_paused(1_100, 7) && !reach.is_paused(1_100, 8));
    /// ```
    pub fn record_failure(&mut self, now_ms: u64, sent_ms: u64, instance: u32) {
        let before = self.unreached.get_mut(&instance);
        let consecutive = before.as_ref().map_or(0, |before| before.consecutive);
        if let Some(known) = before.filter(|before| sent_ms <= before.since_ms) {
            known.at_ms = now_ms;
            return;
        }
        let pause_ms = (FIRST_PAUSE_MS << consecutive.min(8)).min(PAUSE_MAX_MS);
        let until_ms = now_ms + pause_ms;
        let unreached =
            Unreached { since_ms: now_ms, at_ms: now_ms, until_ms, consecutive: consecutive + 1 };
        self.unreached.insert(instance, unreached);
    }

    /// Records that the endpoint responded to an instance.
    pub fn record_success(&mut self, now_ms: u64, instance: u32) {
        self.unreached.remove(&instance);
        self.responded_ms.insert(instance, now_ms);
    }

    /// Returns whether the endpoint has responded to an instance since `since_ms`.
    pub fn has_responded_since(&self, since_ms: u64, instance: u32) -> bool {
        self.responded_ms.get(&instance).is_some_and(|at_ms| *at_ms > since_ms)
    }

    /// Removes an instance that is gone.
    pub fn forget(&mut self, instance: u32) {
        self.unreached.remove(&instance);
        self.responded_ms.remove(&instance);
    }

    /// Returns whether the endpoint is paused for an instance.
    pub fn is_paused(&self, now_ms: u64, instance: u32) -> bool {
        self.unreached.get(&instance).is_some_and(|unreached| now_ms < unreached.until_ms)
    }

    /// Returns the number of instances that did not reach the endpoint lately and are believed.
    pub fn count(&self, now_ms: u64, is_believed: impl Fn(u32) -> bool) -> usize {
        let recent = self.unreached.iter().filter(|(_, state)| now_ms < state.at_ms + COUNTED_MS);
        recent.filter(|(instance, _)| is_believed(**instance)).count()
    }
}
