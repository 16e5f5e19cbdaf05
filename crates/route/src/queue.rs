//! The queue of one service: priority tiers, and weighted fair queueing between the client accounts
//! of a tier.

use crate::JobKey;
use lycheehub_types::{AccountName, Tier};
use std::collections::{BTreeMap, VecDeque};

/// The weighted fair queue of one tier.
#[derive(Clone, Debug, Default)]
struct FairQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    /// The highest `normalized_work` at which an account was served. An account whose queue was
    /// empty continues from at least this value, so that idle time earns no credit.
    virtual_time: f64,
    waiting: usize,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// Waiting requests with their work in milliseconds, next one first.
    jobs: VecDeque<(JobKey, f64)>,
    weight: f64,
    /// The work charged to the account, divided by its weight.
    normalized_work: f64,
}

/// The queue of one service.
///
/// # Examples
/// ```
/// use lycheehub_route::{JobKey, queue::TierQueue};
/// use lycheehub_types::Tier;
/// use slotmap::SlotMap;
///
/// let mut keys = SlotMap::<JobKey, ()>::with_key();
/// let (low, high) = (keys.insert(()), keys.insert(()));
/// let mut queue = TierQueue::default();
/// queue.push(low, Tier::LOWEST, &"a".into(), 1, 10.0);
/// queue.push(high, Tier::HIGHEST, &"a".into(), 1, 10.0);
/// assert_eq!(queue.pop_newest_of_lowest_tier(), Some((low, Tier::LOWEST)));
/// assert_eq!(queue.peek(), Some(high));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TierQueue {
    tiers: BTreeMap<Tier, FairQueue>,
    /// All waiting requests, oldest first.
    arrivals: VecDeque<(JobKey, Tier)>,
}

impl TierQueue {
    /// Adds a request of `work` milliseconds at the end of its account's queue.
    pub fn push(&mut self, key: JobKey, tier: Tier, account: &AccountName, weight: u32, work: f64) {
        self.queue_for_push(tier, account, weight).jobs.push_back((key, work));
        self.arrivals.push_back((key, tier));
    }

    /// Returns a dispatched request to the front of its account's queue and refunds its work.
    pub fn push_front(
        &mut self,
        key: JobKey,
        tier: Tier,
        account: &AccountName,
        weight: u32,
        work: f64,
    ) {
        let queue = self.queue_for_push(tier, account, weight);
        queue.jobs.push_front((key, work));
        queue.normalized_work -= work / queue.weight;
        self.arrivals.push_front((key, tier));
    }

    /// Returns the queue that a request is about to be added to, and counts the request as waiting.
    fn queue_for_push(
        &mut self,
        tier: Tier,
        account: &AccountName,
        weight: u32,
    ) -> &mut AccountQueue {
        let tier_queue = self.tiers.entry(tier).or_default();
        tier_queue.waiting += 1;
        let queue = tier_queue.accounts.entry(account.clone()).or_default();
        queue.weight = f64::from(weight.max(1));
        if queue.jobs.is_empty() {
            queue.normalized_work = queue.normalized_work.max(tier_queue.virtual_time);
        }
        queue
    }

    /// Returns the next request: in the highest waiting tier, from the account with the least
    /// normalized work.
    pub fn peek(&self) -> Option<JobKey> {
        let tier_queue = self.tiers.values().rev().find(|tier_queue| tier_queue.waiting > 0)?;
        let account = tier_queue.next_account()?;
        tier_queue.accounts.get(account)?.jobs.front().map(|(key, _)| *key)
    }

    /// Returns the next request of each tier, highest first.
    pub fn heads(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.tiers.values().rev().filter_map(|tier_queue| {
            let account = tier_queue.next_account()?;
            tier_queue.accounts.get(account)?.jobs.front().map(|(key, _)| *key)
        })
    }

    /// Removes a request to dispatch it, and charges its work to the account.
    pub fn dequeue(&mut self, key: JobKey, tier: Tier, account: &AccountName) -> bool {
        self.remove_entry(key, tier, account, true)
    }

    /// Removes a request that is refused or cancelled, without charging its account.
    pub fn remove(&mut self, key: JobKey, tier: Tier, account: &AccountName) -> bool {
        self.remove_entry(key, tier, account, false)
    }

    fn remove_entry(
        &mut self,
        key: JobKey,
        tier: Tier,
        account: &AccountName,
        charge: bool,
    ) -> bool {
        let Some(tier_queue) = self.tiers.get_mut(&tier) else { return false };
        let Some(queue) = tier_queue.accounts.get_mut(account) else { return false };
        let Some(index) = queue.jobs.iter().position(|(job, _)| *job == key) else { return false };
        let Some((_, work)) = queue.jobs.remove(index) else { return false };
        tier_queue.waiting -= 1;
        if charge {
            tier_queue.virtual_time = tier_queue.virtual_time.max(queue.normalized_work);
            queue.normalized_work += work / queue.weight;
        }
        tier_queue.remove_idle_accounts();
        if let Some(index) = self.arrivals.iter().rposition(|(job, _)| *job == key) {
            self.arrivals.remove(index);
        }
        true
    }

    /// Returns the newest waiting request of the lowest waiting tier.
    pub fn newest_of_lowest_tier(&self) -> Option<(JobKey, Tier)> {
        let lowest = self.lowest_tier()?;
        self.arrivals.iter().rev().find(|(_, tier)| *tier == lowest).copied()
    }

    /// Removes and returns the newest waiting request of the lowest waiting tier.
    pub fn pop_newest_of_lowest_tier(&mut self) -> Option<(JobKey, Tier)> {
        let (key, tier) = self.newest_of_lowest_tier()?;
        let tier_queue = self.tiers.get(&tier)?;
        let contains_key = |queue: &AccountQueue| queue.jobs.iter().any(|(job, _)| *job == key);
        let account = tier_queue.accounts.iter().find(|(_, queue)| contains_key(queue))?.0.clone();
        self.remove(key, tier, &account);
        Some((key, tier))
    }

    /// Returns the lowest tier that has waiting requests.
    pub fn lowest_tier(&self) -> Option<Tier> {
        self.tiers.iter().find(|(_, tier_queue)| tier_queue.waiting > 0).map(|(tier, _)| *tier)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns the number of waiting requests of `tier`.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).map_or(0, |tier_queue| tier_queue.waiting)
    }

    /// Returns the work queued in `tier` and above, in milliseconds.
    pub fn work_ahead_ms(&self, tier: Tier) -> f64 {
        let tiers = self.tiers.iter().filter(|(other, _)| **other >= tier);
        let queues = tiers.flat_map(|(_, tier_queue)| tier_queue.accounts.values());
        queues.flat_map(|queue| &queue.jobs).map(|(_, work)| work).sum()
    }

    /// Returns all waiting requests, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, Tier)> + '_ {
        self.arrivals.iter().copied()
    }
}

impl FairQueue {
    /// Returns the account with waiting requests that has the least normalized work.
    fn next_account(&self) -> Option<&AccountName> {
        let waiting = self.accounts.iter().filter(|(_, queue)| !queue.jobs.is_empty());
        waiting
            .min_by(|(_, a), (_, b)| a.normalized_work.total_cmp(&b.normalized_work))
            .map(|(name, _)| name)
    }

    /// Removes accounts without waiting requests, unless the work charged to them exceeds the
    /// virtual time and must still count when they return.
    fn remove_idle_accounts(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, queue| !queue.jobs.is_empty() || queue.normalized_work > virtual_time);
    }
}
