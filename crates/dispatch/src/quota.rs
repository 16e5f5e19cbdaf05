//! What client accounts may use.
//!
//! Load pattern: one account sends many times its usual. What it was let through in the last window
//! is counted over all instances; what would pass its quota is refused at once, so that it takes
//! nothing from the others. A burst after a quiet time is let through, since the quota holds for
//! the whole window. What is refused is told to come back when as much as it needs has left the
//! window: sooner it would only be refused again.
//!
//! Load pattern: the same account sends requests of all ranks. Taken as they come, the first seconds
//! would use up the quota, and its urgent requests be refused with all others until these have left
//! the window. So a less urgent request leaves as much as the urgent ones are going to need: for the
//! next seconds, as much as they asked for in the same time before, less what leaves the window by
//! then.

use crate::Options;
use lycheehub_routes::Quota;
use lycheehub_types::AccountName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The part of the allowed overshoot that is used: what instances without a leader let through
/// besides must stay within it too.
const OVERSHOOT_USED: f64 = 0.5;
/// The part of a quota from which on an account counts as tight.
const TIGHT_SHARE: f64 = 0.7;
/// What an instance without a leader lets through of a tight account's equal part: what the others
/// have let through is not known, and an uneven part of it is missing here.
const TIGHT_PART: f64 = 0.25;
/// What it lets through of any other account's equal part: requests come unevenly, and there is
/// room.
const LOOSE_PART: f64 = 1.4;
/// How far ahead room is left for urgent requests, in milliseconds: longer than that nobody knows what
/// an account will ask for.
const URGENT_AHEAD_MS: u64 = 2_500;
/// How many times as many units as a small request the mean one takes: refused, it would leave room
/// for a small part of another one.
const SMALL_FACTOR: f64 = 4.0;
/// The weight of a request in the mean.
const MEAN_WEIGHT: f64 = 0.02;
/// For how long units are counted together, in milliseconds.
const GRAIN_MS: u64 = 100;

/// Units that an account used at one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The account.
    pub account: AccountName,
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
    /// The units.
    pub units: f64,
}

/// What was used of late at one instance.
#[derive(Clone, Debug, Default)]
struct Window {
    used: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Window {
    fn forget(&mut self, before_ms: u64) {
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

    /// Takes back units that were added at `at_ms`, if they still count.
    fn take_back(&mut self, at_ms: u64, units: f64) {
        let counted = self.used.iter_mut().rev().find(|(from_ms, _)| *from_ms <= at_ms);
        if let Some((_, used)) = counted {
            *used -= units;
            self.sum -= units;
        }
    }

    /// Returns the time until which, in milliseconds, at least so many units have been used.
    fn used_until_ms(&self, units: f64) -> Option<u64> {
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
            Some((last_ms, last)) if at_ms < *last_ms + GRAIN_MS => *last += units,
            _ => self.used.push_back((at_ms, units)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    quota: Option<Quota>,
    /// A higher quota that was in force before, and until when it counts, in milliseconds.
    before: Option<(Quota, u64)>,
    /// What each instance used.
    windows: BTreeMap<u32, Window>,
    /// What all instances used together.
    all: Window,
    /// How many units a request takes, as a mean.
    mean_units: f64,
    /// What was asked for of late, by rank.
    asked: BTreeMap<u8, Window>,
}

impl Account {
    /// Returns how many units may be used in a window.
    fn limit(&mut self, now_ms: u64, options: &Options, quota: &Quota) -> f64 {
        let window_ms = options.quota_window_ms;
        if let Some(known) = self.quota.filter(|known| known != quota) {
            let was_higher = limit_of(options, &known) > limit_of(options, quota);
            self.before = was_higher.then_some((known, now_ms + window_ms));
        }
        self.quota = Some(*quota);
        self.before = self.before.filter(|(_, until_ms)| now_ms < *until_ms);
        let before = self.before.map_or(0.0, |(quota, _)| limit_of(options, &quota));
        before.max(limit_of(options, quota))
    }

    fn used(&mut self, before_ms: u64) -> f64 {
        for window in self.windows.values_mut() {
            window.forget(before_ms);
        }
        self.all.forget(before_ms);
        self.all.sum
    }

    /// Notes that units were asked for; returns how many are to be left for requests of more urgent
    /// ranks.
    fn ask(&mut self, now_ms: u64, window_ms: u64, rank: u8, units: f64) -> f64 {
        let weight = if self.mean_units == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_units += weight * (units - self.mean_units);
        let rank = if units * SMALL_FACTOR <= self.mean_units { 0 } else { rank };
        for window in self.asked.values_mut() {
            window.forget(now_ms.saturating_sub(URGENT_AHEAD_MS.min(window_ms)));
        }
        self.asked.entry(rank).or_default().add(now_ms, units);
        let urgent = self.asked.range(..rank).flat_map(|(_, window)| &window.used);
        let mut urgent: Vec<(u64, f64)> = urgent.copied().collect();
        urgent.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        let mut leaving = self.all.used.iter().peekable();
        let (mut needed, mut freed, mut most) = (0.0, 0.0, 0.0_f64);
        for (at_ms, asked) in urgent {
            // What was asked so long ago is asked again as long from now.
            let ahead_ms = now_ms + (now_ms - at_ms);
            while let Some((_, units)) =
                leaving.next_if(|(used_ms, _)| used_ms + window_ms <= ahead_ms)
            {
                freed += units;
            }
            needed += asked;
            most = most.max(needed - freed);
        }
        most
    }

    fn add(&mut self, at_ms: u64, instance: u32, units: f64) {
        self.windows.entry(instance).or_default().add(at_ms, units);
        self.all.add(at_ms, units);
    }

    fn take_back(&mut self, at_ms: u64, instance: u32, units: f64) {
        if let Some(window) = self.windows.get_mut(&instance) {
            window.take_back(at_ms, units);
            self.all.take_back(at_ms, units);
        }
    }

    /// Takes what an instance used by its own word in place of what is known here.
    fn replace(&mut self, instance: u32, told: Window) {
        self.windows.insert(instance, told);
        let mut used: Vec<(u64, f64)> =
            self.windows.values().flat_map(|window| window.used.iter().copied()).collect();
        used.sort_by_key(|(at_ms, _)| *at_ms);
        self.all = Window::default();
        for (at_ms, units) in used {
            self.all.add(at_ms, units);
        }
    }
}

fn limit_of(options: &Options, quota: &Quota) -> f64 {
    let window_s = options.quota_window_ms as f64 / 1e3;
    let units = quota.units_per_s * window_s + quota.burst_units;
    let overshoot = units * options.quota_overshoot + options.quota_slack_units;
    (units + overshoot * OVERSHOOT_USED) * options.budget_share
}

/// What all accounts used in the last window.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    accounts: BTreeMap<AccountName, Account>,
    /// The accounts that have used up most of their quota, by the word of the leader.
    tight: BTreeSet<AccountName>,
}

impl Quotas {
    /// Takes the leader's word which accounts have used up most of their quota.
    pub fn set_tight(&mut self, tight: BTreeSet<AccountName>) {
        self.tight = tight;
    }

    /// Returns the accounts that have used up most of their quota.
    pub fn tight(&mut self, now_ms: u64, options: &Options) -> Vec<AccountName> {
        let before_ms = now_ms.saturating_sub(options.quota_window_ms);
        let mut tight = Vec::new();
        for (name, account) in &mut self.accounts {
            let Some(quota) = account.quota else { continue };
            if account.used(before_ms) > limit_of(options, &quota) * TIGHT_SHARE {
                tight.push(name.clone());
            }
        }
        tight
    }

    /// Returns what part of an account's equal part may be used here.
    fn part_of(&self, options: &Options, account: &AccountName) -> f64 {
        match options.budget_share < 1.0 {
            true if self.tight.contains(account) => TIGHT_PART,
            true => LOOSE_PART,
            false => 1.0,
        }
    }

    /// Takes `units` of an account for a request of a rank of an instance; otherwise returns after how many
    /// milliseconds there are as many.
    ///
    /// # Errors
    /// Fails where the account has used up its quota.
    pub fn take(
        &mut self,
        now_ms: u64,
        options: &Options,
        instance: u32,
        (account, quota): (&AccountName, &Quota),
        (rank, units): (u8, f64),
    ) -> Result<(), u64> {
        let part = self.part_of(options, account);
        let known = self.accounts.entry(account.clone()).or_default();
        let limit = known.limit(now_ms, options, quota) * part;
        let before_ms = now_ms.saturating_sub(options.quota_window_ms);
        let used = known.used(before_ms);
        let kept = known.ask(now_ms, options.quota_window_ms, rank, units);
        let over = used + kept + units - limit;
        if used > 0.0 && over > 0.0 {
            let used_ms = known.all.used_until_ms(over).unwrap_or(now_ms);
            return Err((used_ms + options.quota_window_ms + 1).saturating_sub(now_ms));
        }
        known.add(now_ms, instance, units);
        Ok(())
    }

    /// Gives back what a request took at `at_ms` that was not sent anywhere.
    pub fn give_back(&mut self, at_ms: u64, instance: u32, account: &AccountName, units: f64) {
        if let Some(known) = self.accounts.get_mut(account) {
            known.take_back(at_ms, instance, units);
        }
    }

    /// Notes what was used by the word of another dispatcher.
    pub fn note(&mut self, now_ms: u64, instance: u32, account: &AccountName, units: f64) {
        self.accounts.entry(account.clone()).or_default().add(now_ms, instance, units);
    }

    /// Takes over what an instance says that it used, oldest first, where it says more than is known
    /// here: one that was started again has forgotten what it used.
    pub fn adopt(&mut self, now_ms: u64, instance: u32, usage: &[Usage]) {
        let mut told: BTreeMap<&AccountName, Window> = BTreeMap::new();
        for usage in usage {
            let at_ms = now_ms.saturating_sub(usage.ago_ms);
            told.entry(&usage.account).or_default().add(at_ms, usage.units);
        }
        for (account, told) in told {
            let known = self.accounts.entry(account.clone()).or_default();
            if told.sum > known.windows.entry(instance).or_default().sum {
                known.replace(instance, told);
            }
        }
    }

    /// Returns what an instance used within the last window, oldest first.
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
