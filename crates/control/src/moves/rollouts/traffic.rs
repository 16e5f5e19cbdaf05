//! The requests that a service's versions have received since a rollout was ordered.

use super::options::VersionCapacity;
use crate::state::{RolloutEvidence, RolloutRecord};

/// The interval over which the current rate of requests is measured, in milliseconds.
const RATE_INTERVAL_MS: u64 = 500;

/// The requests of a service that leaders have sent during a rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    /// Those that this leader has sent.
    new: u64,
    old: u64,
    /// When this leader began to count and the time now, in milliseconds since the Unix epoch.
    since_unix_ms: Option<u64>,
    now_unix_ms: u64,
    before: Before,
    /// When the current interval began, with the requests until then.
    interval: (u64, u64),
    /// The requests per millisecond in the interval before.
    recent_per_ms: f64,
}

/// What earlier leaders have sent.
#[derive(Clone, Copy, Debug, Default)]
struct Before {
    /// As the last of them stated it.
    stated: RolloutEvidence,
    /// The time from the order to that statement, in milliseconds.
    stated_ms: u64,
    /// The time since that statement, or since the order, until this leader began to count, in
    /// milliseconds.
    unstated_ms: u64,
    /// The share of the new version in that time, in thousandths.
    share_permille: u32,
}

impl Traffic {
    /// Takes over the counts of this leader.
    pub(super) fn advance(
        &mut self,
        now_unix_ms: u64,
        record: &RolloutRecord,
        capacity: &VersionCapacity,
    ) {
        self.now_unix_ms = now_unix_ms;
        (self.new, self.old) = (capacity.new_placed, capacity.old_placed);
        if self.since_unix_ms.is_none() {
            self.since_unix_ms = Some(now_unix_ms);
            let stated = record.evidence;
            let stated_unix_ms = stated.stated_unix_ms.max(record.order.now_unix_ms);
            self.before = Before {
                stated,
                stated_ms: stated_unix_ms - record.order.now_unix_ms,
                unstated_ms: now_unix_ms.saturating_sub(stated_unix_ms),
                share_permille: record.share_permille,
            };
            self.interval = (now_unix_ms, self.all_here());
        }
        let (began_unix_ms, before) = self.interval;
        let elapsed_ms = now_unix_ms.saturating_sub(began_unix_ms);
        if elapsed_ms >= RATE_INTERVAL_MS {
            self.recent_per_ms = self.all_here().saturating_sub(before) as f64 / elapsed_ms as f64;
            self.interval = (now_unix_ms, self.all_here());
        }
    }

    /// Returns how long this leader has counted, in milliseconds.
    pub(super) fn observed_ms(&self) -> u64 {
        self.since_unix_ms.map_or(0, |since_unix_ms| self.now_unix_ms.saturating_sub(since_unix_ms))
    }

    fn all_here(&self) -> u64 {
        self.new + self.old
    }

    /// Returns the requests to the new version that this leader has sent.
    pub(super) fn to_new_here(&self) -> u64 {
        self.new
    }

    fn all_stated(&self) -> u64 {
        self.before.stated.new_requests + self.before.stated.old_requests
    }

    /// Returns the mean rate of the requests that were counted, per millisecond.
    pub(super) fn mean_per_ms(&self) -> f64 {
        let counted_ms = self.before.stated_ms + self.observed_ms();
        (self.all_stated() + self.all_here()) as f64 / counted_ms.max(1) as f64
    }

    /// Returns the requests per millisecond: the mean or the current rate, whichever is higher.
    pub(super) fn per_ms(&self) -> f64 {
        self.mean_per_ms().max(self.recent_per_ms)
    }

    /// Returns the number of requests to the new version since the order. Those that no leader has stated are
    /// estimated; without a leader no instance sends any, so they are at most `unstated_max`.
    pub(super) fn to_new(&self, unstated_max: f64) -> f64 {
        let share = f64::from(self.before.share_permille) / 1e3;
        let unstated = self.mean_per_ms() * self.before.unstated_ms as f64 * share;
        self.before.stated.new_requests as f64 + unstated.min(unstated_max) + self.new as f64
    }

    /// Returns the number of all requests since the order.
    pub(super) fn all(&self) -> f64 {
        let unstated = self.mean_per_ms() * self.before.unstated_ms as f64;
        (self.all_stated() + self.all_here()) as f64 + unstated
    }
}
