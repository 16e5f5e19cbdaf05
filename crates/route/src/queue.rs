//! What waits for one service: by tier, and within a tier fairly between client accounts.

use crate::JobKey;
use lycheehub_types::{AccountName, Tier};
use std::collections::{BTreeMap, VecDeque};

/// The requests of one tier.
#[derive(Clone, Debug, Default)]
struct Lane {
    accounts: BTreeMap<AccountName, AccountQueue>,
    /// The service that the account served last had received, the start for accounts that come.
    virtual_time: f64,
    waiting: usize,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    jobs: VecDeque<(JobKey, f64)>,
    weight: f64,
    /// The work received, divided by the weight.
    received: f64,
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
/// assert_eq!(queue.pop_newest_of_lowest(), Some((low, Tier::LOWEST)));
/// assert_eq!(queue.peek(), Some(high));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TierQueue {
    lanes: BTreeMap<Tier, Lane>,
    arrivals: VecDeque<(JobKey, Tier)>,
}

impl TierQueue {
    /// Adds a request of `work` milliseconds at the end of its account's queue.
    pub fn push(&mut self, key: JobKey, tier: Tier, account: &AccountName, weight: u32, work: f64) {
        self.queue_of(tier, account, weight).jobs.push_back((key, work));
        self.arrivals.push_back((key, tier));
    }

    /// Puts a request that was taken back in front of its account's queue.
    pub fn push_front(
        &mut self,
        key: JobKey,
        tier: Tier,
        account: &AccountName,
        weight: u32,
        work: f64,
    ) {
        let queue = self.queue_of(tier, account, weight);
        queue.jobs.push_front((key, work));
        queue.received -= work / queue.weight;
        self.arrivals.push_front((key, tier));
    }

    fn queue_of(&mut self, tier: Tier, account: &AccountName, weight: u32) -> &mut AccountQueue {
        let lane = self.lanes.entry(tier).or_default();
        lane.waiting += 1;
        let queue = lane.accounts.entry(account.clone()).or_default();
        queue.weight = f64::from(weight.max(1));
        if queue.jobs.is_empty() {
            queue.received = queue.received.max(lane.virtual_time);
        }
        queue
    }

    /// Returns the request that is next: of the highest tier, of the account that received least.
    pub fn peek(&self) -> Option<JobKey> {
        let lane = self.lanes.values().rev().find(|lane| lane.waiting > 0)?;
        let account = lane.next_account()?;
        lane.accounts.get(account)?.jobs.front().map(|(key, _)| *key)
    }

    /// Returns the next request of each tier, highest first.
    pub fn heads(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.lanes.values().rev().filter_map(|lane| {
            let account = lane.next_account()?;
            lane.accounts.get(account)?.jobs.front().map(|(key, _)| *key)
        })
    }

    /// Removes a request that is dispatched, and charges its account for the work.
    pub fn take(&mut self, key: JobKey, tier: Tier, account: &AccountName) -> bool {
        self.remove_and(key, tier, account, true)
    }

    /// Removes a request that is given up.
    pub fn remove(&mut self, key: JobKey, tier: Tier, account: &AccountName) -> bool {
        self.remove_and(key, tier, account, false)
    }

    fn remove_and(&mut self, key: JobKey, tier: Tier, account: &AccountName, charge: bool) -> bool {
        let Some(lane) = self.lanes.get_mut(&tier) else { return false };
        let Some(queue) = lane.accounts.get_mut(account) else { return false };
        let Some(at) = queue.jobs.iter().position(|(job, _)| *job == key) else { return false };
        let Some((_, work)) = queue.jobs.remove(at) else { return false };
        lane.waiting -= 1;
        if charge {
            lane.virtual_time = lane.virtual_time.max(queue.received);
            queue.received += work / queue.weight;
        }
        lane.forget_idle();
        if let Some(at) = self.arrivals.iter().rposition(|(job, _)| *job == key) {
            self.arrivals.remove(at);
        }
        true
    }

    /// Returns the newest request of the lowest tier that waits.
    pub fn newest_of_lowest(&self) -> Option<(JobKey, Tier)> {
        let lowest = self.lowest()?;
        self.arrivals.iter().rev().find(|(_, tier)| *tier == lowest).copied()
    }

    /// Removes and returns the newest request of the lowest tier that waits.
    pub fn pop_newest_of_lowest(&mut self) -> Option<(JobKey, Tier)> {
        let (key, tier) = self.newest_of_lowest()?;
        let lane = self.lanes.get(&tier)?;
        let holds = |queue: &AccountQueue| queue.jobs.iter().any(|(job, _)| *job == key);
        let account = lane.accounts.iter().find(|(_, queue)| holds(queue))?.0.clone();
        self.remove(key, tier, &account);
        Some((key, tier))
    }

    /// Returns the lowest tier that waits.
    pub fn lowest(&self) -> Option<Tier> {
        self.lanes.iter().find(|(_, lane)| lane.waiting > 0).map(|(tier, _)| *tier)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns how many requests of `tier` wait.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.lanes.get(&tier).map_or(0, |lane| lane.waiting)
    }

    /// Returns the work that goes before a new request of `tier`, in milliseconds.
    pub fn work_ahead_ms(&self, tier: Tier) -> f64 {
        let lanes = self.lanes.iter().filter(|(other, _)| **other >= tier);
        let queues = lanes.flat_map(|(_, lane)| lane.accounts.values());
        queues.flat_map(|queue| &queue.jobs).map(|(_, work)| work).sum()
    }

    /// Returns all requests that wait, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, Tier)> + '_ {
        self.arrivals.iter().copied()
    }
}

impl Lane {
    fn next_account(&self) -> Option<&AccountName> {
        let waiting = self.accounts.iter().filter(|(_, queue)| !queue.jobs.is_empty());
        waiting.min_by(|(_, a), (_, b)| a.received.total_cmp(&b.received)).map(|(name, _)| name)
    }

    /// Forgets accounts that are owed nothing.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, queue| !queue.jobs.is_empty() || queue.received > virtual_time);
    }
}
