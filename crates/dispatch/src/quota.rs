//! Quotas of client accounts.
//!
//! Load pattern: one account sends many times its usual traffic. Its admitted units are counted
//! over all instances in a sliding window, and requests beyond the quota are refused at once so
//! that they take no capacity from other accounts. A burst after a quiet period is admitted, as the
//! quota applies to the window as a whole. The retry delay of a refusal lasts until enough units
//! have left the window; an earlier retry would be refused again.
//!
//! Load pattern: such an account sends requests of all ranks. In arrival order, the first seconds
//! would use up the quota, and urgent requests would be refused with all others until these units
//! leave the window. A less urgent request therefore leaves units for the expected urgent ones: the
//! units that they requested in the last seconds, minus those that leave the window in the next
//! seconds.
//!
//! Load pattern: such an account sends requests of very different size. Whenever a few units leave the
//! window, a small request takes them, so that there are never enough for a large one. A request therefore
//! leaves room for one of a class of size of its rank that is admitted less often.
//!
//! Load pattern: some instances are cut off from the leader while an account sends far beyond its
//! quota. Each of them admits an equal share of the quota itself. The leader's dispatcher leaves
//! their shares to them, as far as these do not fit into the allowed overshoot.

use crate::Options;
use crate::shares::{Class, ServedShares, Size};
use lycheehub_routes::Quota;
use lycheehub_types::AccountName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The fraction of the allowed overshoot that is used; usage admitted by instances without a leader
/// must fit into the rest.
const OVERSHOOT_FACTOR: f64 = 0.5;
/// The fraction of the allowed overshoot that is used while instances are absent, with what these may
/// admit themselves.
const ABSENT_OVERSHOOT_FACTOR: f64 = 0.9;
/// The fraction of its quota above which an account is close to it.
const NEAR_QUOTA_SHARE: f64 = 0.7;
/// The factor that an instance without a leader applies to its equal share of an account close to
/// its quota. The usage admitted by the other instances is unknown, and instances receive uneven
/// shares of it.
const NEAR_QUOTA_FACTOR: f64 = 0.25;
/// How far ahead units are reserved for urgent requests, in milliseconds; the demand of an account
/// cannot be predicted for longer.
const URGENT_HORIZON_MS: u64 = 2_500;
/// A request is small if the mean request takes at least this many times its units; refusing it
/// would free only a small part of another request.
const SMALL_FACTOR: f64 = 4.0;
/// The largest part of a quota that is left for a request of a class that is behind.
const LEFT_FOR_BEHIND_MAX: f64 = 0.5;
/// The weight of a request in the moving average of units.
const MEAN_WEIGHT: f64 = 0.02;
/// The length of a usage bucket, in milliseconds.
const BUCKET_MS: u64 = 100;

/// Units that an account used at an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The name of the account.
    pub account: AccountName,
    /// How long ago the units were used, in milliseconds.
    pub ago_ms: u64,
    /// The number of units.
    pub units: f64,
}

/// A request that is to be charged to a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// The number of the instance that received the request.
    pub instance: u32,
    /// The rank of the request.
    pub rank: u8,
    /// The units.
    pub units: f64,
    /// The request was refused before and has returned.
    pub is_returning: bool,
}

impl Charge {
    fn class(&self) -> Class {
        Class::new(Size::Units, self.units as u64)
    }
}

/// Units by time, within a sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    used: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Window {
    fn prune(&mut self, before_ms: u64) {
        while let Some((at_ms, units)) = self.used.front().copied()
            && at_ms < before_ms
        {
            self.used.pop_front();
            self.sum -= units;
        }
        if self.used.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Subtracts units that were added at `at_ms`, if they are still in the window.
    fn subtract(&mut self, at_ms: u64, units: f64) {
        let counted = self.used.iter_mut().rev().find(|(from_ms, _)| *from_ms <= at_ms);
        if let Some((_, used)) = counted {
            *used -= units;
            self.sum -= units;
        }
    }

    /// Returns the time, in milliseconds, up to which at least `units` units were used.
    fn time_units_reached(&self, units: f64) -> Option<u64> {
        let mut sum = 0.0;
        let mut used = self.used.iter();
        let last = used.find(|(_, used)| {
            sum += used;
            sum >= units
        });
        last.or(self.used.back()).map(|(at_ms, _)| *at_ms)
    }

    fn add(&mut self, at_ms: u64, units: f64) {
        self.sum += units;
        match self.used.back_mut() {
            Some((last_ms, last)) if at_ms < *last_ms + BUCKET_MS => *last += units,
            _ => self.used.push_back((at_ms, units)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    quota: Option<Quota>,
    /// The previous, higher quota and until when it applies, in milliseconds.
    previous: Option<(Quota, u64)>,
    /// The usage of each instance.
    windows: BTreeMap<u32, Window>,
    /// The usage of all instances together.
    total: Window,
    /// The moving average of the units per request.
    mean_units: f64,
    /// The units requested recently, by rank.
    demand: BTreeMap<u8, Window>,
    /// The admitted shares by class of size, by rank.
    shares: BTreeMap<u8, ServedShares>,
}

impl Account {
    /// Returns the number of units that may be used in a window.
    fn limit(&mut self, now_ms: u64, options: &Options, quota: &Quota) -> f64 {
        let window_ms = options.quota_window_ms;
        if let Some(known) = self.quota.filter(|known| known != quota) {
            let was_higher = limit_of(options, &known) > limit_of(options, quota);
            self.previous = was_higher.then_some((known, now_ms + window_ms));
        }
        self.quota = Some(*quota);
        self.previous = self.previous.filter(|(_, until_ms)| now_ms < *until_ms);
        let previous = self.previous.map_or(0.0, |(quota, _)| limit_of(options, &quota));
        previous.max(limit_of(options, quota))
    }

    fn used(&mut self, before_ms: u64) -> f64 {
        for window in self.windows.values_mut() {
            window.prune(before_ms);
        }
        self.total.prune(before_ms);
        self.total.sum
    }

    /// Records a request for units. Returns the number of units to reserve for more urgent ranks.
    fn reserve_for_urgent(&mut self, now_ms: u64, window_ms: u64, rank: u8, units: f64) -> f64 {
        let weight = if self.mean_units == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_units += weight * (units - self.mean_units);
        let rank = if units * SMALL_FACTOR <= self.mean_units { 0 } else { rank };
        for window in self.demand.values_mut() {
            window.prune(now_ms.saturating_sub(URGENT_HORIZON_MS.min(window_ms)));
        }
        self.demand.entry(rank).or_default().add(now_ms, units);
        let urgent = self.demand.range(..rank).flat_map(|(_, window)| &window.used);
        let mut urgent: Vec<(u64, f64)> = urgent.copied().collect();
        urgent.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        let mut leaving = self.total.used.iter().peekable();
        let (mut needed, mut expired, mut shortfall) = (0.0, 0.0, 0.0_f64);
        for (at_ms, demand) in urgent {
            // Demand of a given age is expected again after the same time.
            let ahead_ms = now_ms + (now_ms - at_ms);
            while let Some((_, units)) =
                leaving.next_if(|(used_ms, _)| used_ms + window_ms <= ahead_ms)
            {
                expired += units;
            }
            needed += demand;
            shortfall = shortfall.max(needed - expired);
        }
        shortfall
    }

    /// Records a request, and returns the number of units to leave for classes of its rank that are admitted
    /// less often than its own.
    fn leave_for_behind(&mut self, now_ms: u64, charge: &Charge, limit: f64) -> f64 {
        let class = charge.class();
        let shares = self.shares.entry(charge.rank).or_default();
        if !charge.is_returning {
            shares.record_arrival(now_ms, &[class], false);
        }
        let units = shares.further_behind(class).map(|class| class.value_max() as f64);
        let units = units.filter(|units| *units <= limit * LEFT_FOR_BEHIND_MAX);
        units.fold(0.0, f64::max)
    }

    fn record_admitted(&mut self, now_ms: u64, charge: &Charge) {
        self.shares.entry(charge.rank).or_default().record_served(now_ms, &[charge.class()]);
    }

    fn add(&mut self, at_ms: u64, instance: u32, units: f64) {
        self.windows.entry(instance).or_default().add(at_ms, units);
        self.total.add(at_ms, units);
    }

    fn subtract(&mut self, at_ms: u64, instance: u32, units: f64) {
        if let Some(window) = self.windows.get_mut(&instance) {
            window.subtract(at_ms, units);
            self.total.subtract(at_ms, units);
        }
    }

    /// Replaces the known usage of an instance by what the instance reported.
    fn replace_window(&mut self, instance: u32, reported: Window) {
        self.windows.insert(instance, reported);
        let mut used: Vec<(u64, f64)> =
            self.windows.values().flat_map(|window| window.used.iter().copied()).collect();
        used.sort_by_key(|(at_ms, _)| *at_ms);
        self.total = Window::default();
        for (at_ms, units) in used {
            self.total.add(at_ms, units);
        }
    }
}

fn limit_of(options: &Options, quota: &Quota) -> f64 {
    let window_s = options.quota_window_ms as f64 / 1e3;
    let units = quota.units_per_s * window_s + quota.burst_units;
    let overshoot = units * options.quota_overshoot + options.quota_slack_units;
    let all_instances = units + overshoot * OVERSHOOT_FACTOR;
    let absent = all_instances * options.absent_share;
    let present = units + overshoot * ABSENT_OVERSHOOT_FACTOR - absent;
    (all_instances * options.budget_share).min(present.max(0.0))
}

/// The usage of all accounts in the last window.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    accounts: BTreeMap<AccountName, Account>,
    /// The accounts that are close to their quota, according to the leader.
    near_quota: BTreeSet<AccountName>,
}

impl Quotas {
    /// Sets the accounts that are close to their quota according to the leader.
    pub fn set_near_quota(&mut self, near_quota: BTreeSet<AccountName>) {
        self.near_quota = near_quota;
    }

    /// Returns the accounts that are close to their quota.
    pub fn near_quota(&mut self, now_ms: u64, options: &Options) -> Vec<AccountName> {
        let before_ms = now_ms.saturating_sub(options.quota_window_ms);
        let mut near_quota = Vec::new();
        for (name, account) in &mut self.accounts {
            let Some(quota) = account.quota else { continue };
            if account.used(before_ms) > limit_of(options, &quota) * NEAR_QUOTA_SHARE {
                near_quota.push(name.clone());
            }
        }
        near_quota
    }

    /// Returns the factor by which this dispatcher scales its share of an account's quota.
    fn leaderless_factor(&self, options: &Options, account: &AccountName) -> f64 {
        let is_leaderless = options.budget_share < 1.0;
        if is_leaderless && self.near_quota.contains(account) { NEAR_QUOTA_FACTOR } else { 1.0 }
    }

    /// Charges a request to an account. On failure, returns the number of milliseconds until enough units
    /// are available.
    ///
    /// # Errors
    /// Fails if the request would exceed the quota of the account.
    pub fn charge(
        &mut self,
        now_ms: u64,
        options: &Options,
        (account, quota): (&AccountName, &Quota),
        charge: &Charge,
    ) -> Result<(), u64> {
        let Charge { instance, rank, units, .. } = *charge;
        let factor = self.leaderless_factor(options, account);
        let known = self.accounts.entry(account.clone()).or_default();
        let limit = known.limit(now_ms, options, quota) * factor;
        let before_ms = now_ms.saturating_sub(options.quota_window_ms);
        let used = known.used(before_ms);
        let reserved = known.reserve_for_urgent(now_ms, options.quota_window_ms, rank, units);
        let left = known.leave_for_behind(now_ms, charge, limit);
        let over = used + reserved + left + units - limit;
        if used > 0.0 && over > 0.0 {
            let used_ms = known.total.time_units_reached(over).unwrap_or(now_ms);
            return Err((used_ms + options.quota_window_ms + 1).saturating_sub(now_ms));
        }
        known.add(now_ms, instance, units);
        known.record_admitted(now_ms, charge);
        Ok(())
    }

    /// Refunds units charged at `at_ms` for a request that was not sent to an endpoint.
    pub fn refund(&mut self, at_ms: u64, instance: u32, account: &AccountName, units: f64) {
        if let Some(known) = self.accounts.get_mut(account) {
            known.subtract(at_ms, instance, units);
        }
    }

    /// Records usage that another dispatcher admitted.
    pub fn record(&mut self, now_ms: u64, instance: u32, account: &AccountName, units: f64) {
        self.accounts.entry(account.clone()).or_default().add(now_ms, instance, units);
    }

    /// Restores the usage that an instance reports, oldest first, if it is more than the known
    /// usage: a restarted instance has lost its own count.
    pub fn restore(&mut self, now_ms: u64, instance: u32, usage: &[Usage]) {
        let mut reported: BTreeMap<&AccountName, Window> = BTreeMap::new();
        for usage in usage {
            let at_ms = now_ms.saturating_sub(usage.ago_ms);
            reported.entry(&usage.account).or_default().add(at_ms, usage.units);
        }
        for (account, reported) in reported {
            let known = self.accounts.entry(account.clone()).or_default();
            if reported.sum > known.windows.entry(instance).or_default().sum {
                known.replace_window(instance, reported);
            }
        }
    }

    /// Returns the usage of an instance within the last window, oldest first.
    pub fn usage(&self, now_ms: u64, options: &Options, instance: u32) -> Vec<Usage> {
        let before_ms = now_ms.saturating_sub(options.quota_window_ms);
        let mut usage = Vec::new();
        for (account, known) in &self.accounts {
            let used = known.windows.get(&instance).into_iter().flat_map(|window| &window.used);
            for (at_ms, units) in used.filter(|(at_ms, _)| *at_ms >= before_ms) {
                let ago_ms = now_ms - at_ms;
                usage.push(Usage { account: account.clone(), ago_ms, units: *units });
            }
        }
        usage
    }
}
