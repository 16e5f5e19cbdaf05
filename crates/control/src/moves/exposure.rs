//! The requests that a version under comparison has received, and how many more it may receive.

use super::rollout::{RolloutOptions, VersionCapacity};

/// The part of the allowed requests that is used; the rest is for traffic that grows.
const USED_PART: f64 = 0.85;
/// The part of those that the share under comparison may use; the rest is for all requests at the end.
const CANARY_PART: f64 = 0.5;
/// How many times the minimum number of requests it aims at, since some have not ended in time.
const LEAST_MARGIN: f64 = 1.4;
/// The shortest time with all requests that is worth keeping a part for, in milliseconds.
const FULL_MIN_MS: f64 = 500.0;
/// The highest and the lowest share under comparison, in thousandths.
const CANARY_MAX_PERMILLE: f64 = 750.0;
const CANARY_MIN_PERMILLE: f64 = 20.0;
/// The interval over which the current rate of requests is measured, in milliseconds.
const RATE_INTERVAL_MS: u64 = 500;

/// The requests of a service that a leader has sent during a rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    new: u64,
    old: u64,
    /// When the leader began to count and the time now, in milliseconds since the Unix epoch.
    since_unix_ms: Option<u64>,
    now_unix_ms: u64,
    /// The share of the new version when the leader began to count, in thousandths.
    first_permille: u32,
    /// When the current interval began, with the requests until then.
    interval: (u64, u64),
    /// The requests per millisecond in the interval before.
    recent_per_ms: f64,
}

impl Traffic {
    /// Takes over the counts; `share_permille` is the new version's share of the requests now.
    pub(super) fn advance(
        &mut self,
        now_unix_ms: u64,
        share_permille: u32,
        capacity: &VersionCapacity,
    ) {
        self.now_unix_ms = now_unix_ms;
        (self.new, self.old) = (capacity.new_placed, capacity.old_placed);
        if self.since_unix_ms.is_none() {
            self.since_unix_ms = Some(now_unix_ms);
            self.first_permille = share_permille;
            self.interval = (now_unix_ms, self.all());
        }
        let (began_unix_ms, before) = self.interval;
        let elapsed_ms = now_unix_ms.saturating_sub(began_unix_ms);
        if elapsed_ms >= RATE_INTERVAL_MS {
            self.recent_per_ms = self.all().saturating_sub(before) as f64 / elapsed_ms as f64;
            self.interval = (now_unix_ms, self.all());
        }
    }

    /// Returns how long requests have been counted, in milliseconds.
    pub(super) fn observed_ms(&self) -> u64 {
        self.since_unix_ms.map_or(0, |since_unix_ms| self.now_unix_ms.saturating_sub(since_unix_ms))
    }

    fn all(&self) -> u64 {
        self.new + self.old
    }

    fn mean_per_ms(&self) -> f64 {
        self.all() as f64 / self.observed_ms().max(1) as f64
    }

    /// Returns the requests per millisecond: the mean or the current rate, whichever is higher.
    fn per_ms(&self) -> f64 {
        self.mean_per_ms().max(self.recent_per_ms)
    }
}

/// A moment of a rollout, for which its budget is worked out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    pub(super) options: RolloutOptions,
    /// The time since the order and until the time limit, in milliseconds.
    pub(super) elapsed_ms: u64,
    pub(super) left_ms: u64,
}

impl Exposure {
    /// Returns true if the new version may receive all requests until the time limit. Shortly before it,
    /// when there is no later moment, nothing is kept back for traffic that grows.
    pub(super) fn allows_all(&self, traffic: &Traffic) -> bool {
        let left_ms = self.left_ms as f64;
        let received = self.received(traffic);
        if left_ms <= FULL_MIN_MS {
            return received + traffic.mean_per_ms() * left_ms <= self.allowed(traffic);
        }
        received + traffic.per_ms() * left_ms <= self.budget(traffic)
    }

    /// Returns the new version's share under comparison, in thousandths. It leaves a part of the budget for
    /// all requests at the end, for `full_max_ms` milliseconds at most, but compares `requests_min` requests
    /// if it can.
    pub(super) fn canary_permille(
        &self,
        traffic: &Traffic,
        full_max_ms: u64,
        requests_min: u64,
    ) -> u32 {
        let (budget, per_ms) = (self.budget(traffic), traffic.mean_per_ms());
        let least = requests_min as f64 * LEAST_MARGIN;
        let requests = least.min(budget - per_ms * FULL_MIN_MS).max(budget * CANARY_PART);
        let full_ms = ((budget - requests) / per_ms.max(f64::MIN_POSITIVE)).min(full_max_ms as f64);
        let to_come = (per_ms * (self.left_ms as f64 - full_ms)).max(1.0);
        let missing = requests - self.received(traffic);
        let share_permille = (missing / to_come * 1e3).min(CANARY_MAX_PERMILLE);
        share_permille.max(CANARY_MIN_PERMILLE) as u32
    }

    /// Returns the part that is used of the requests that the new version may have received at the time limit.
    fn budget(&self, traffic: &Traffic) -> f64 {
        self.allowed(traffic) * USED_PART
    }

    /// Returns the number of requests that the new version may have received at the time limit.
    fn allowed(&self, traffic: &Traffic) -> f64 {
        let unobserved_ms = self.elapsed_ms.saturating_sub(traffic.observed_ms());
        let expected_ms = (unobserved_ms + self.left_ms) as f64;
        let all = traffic.all() as f64 + traffic.mean_per_ms() * expected_ms;
        self.options.exposure_share * all + self.options.exposure_slack
    }

    /// Returns the number of requests that the new version has received. Those from before the observation
    /// began, under another leader, are estimated by the share that it had then.
    fn received(&self, traffic: &Traffic) -> f64 {
        let unobserved_ms = self.elapsed_ms.saturating_sub(traffic.observed_ms()) as f64;
        let share = f64::from(traffic.first_permille) / 1e3;
        let before = traffic.mean_per_ms() * unobserved_ms * share;
        before + traffic.new as f64
    }
}
