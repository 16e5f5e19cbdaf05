//! The waiting jobs of a service, in scheduling order.
//!
//! Load pattern: a burst exceeds the capacity for several seconds. In strict arrival order, every
//! request would start late as long as the backlog lasts, and most callers would have left by then.
//! Jobs that can still meet their objective therefore precede those that cannot. If the backlog is
//! longer than the newest of them can wait, or jobs already expire, the newest job goes first: jobs
//! that are served start well in time, and only the remaining ones expire.
//!
//! Load pattern: one account sends many times as much as the others in such a burst. The newest job of the
//! account that has used the least goes first, so that an account is refused for what it wants beyond an equal
//! share, and not for what others want.
//!
//! Load pattern: urgent requests become late in a burst. They are served after urgent requests that
//! can still be on time and before all less urgent ones, which would otherwise be served more often
//! than they are.
//!
//! Load pattern: short requests queue behind long ones. A short request hardly delays the others
//! and is promoted: it is served with the most urgent rank of its tier.
//!
//! Load pattern: endpoints are lost during a burst, each with many active streams. The rest of a
//! stream needs less time than a new one, and the part that the caller already has is worthless
//! without it. A job that resumes a stream is therefore also served with the most urgent rank of
//! its tier, and is kept for some time when it is late.
//!
//! Load pattern: requests of one rank differ in size, and the larger ones fit fewer endpoints and for a
//! shorter time. Those of a class that is served less often than the others of its rank go first in their
//! rank, and are kept for some time when they are late. A request that is no longer than the mean is
//! promoted with the short ones of its rank if its class is behind; while the classes of longer ones are behind
//! together, none of the rank is promoted.

use crate::accounts::AccountUsage;
use crate::crashes::Content;
use crate::job::{Job, JobId};
use crate::refusal::{RefusalBasis, Rule};
use crate::shares::{Class, ServedShares};
use lycheehub_types::AccountName;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs are served in arrival order if the backlog ends within this fraction of the newest job's
/// remaining time.
const FIFO_BACKLOG_SHARE: f64 = 0.8;
/// The same fraction while jobs expire; jobs served in arrival order would then start at the last
/// moment.
const FIFO_BACKLOG_SHARE_SHEDDING: f64 = 0.3;
/// How long a queue counts as shedding after a job expired, in milliseconds.
const SHEDDING_MS: u64 = 500;
/// The safety margin for the time to the first byte, as a fraction of it; the estimates have about
/// this error.
const FIRST_BYTE_MARGIN: f64 = 0.25;
/// The safety margin before the caller gives up, in milliseconds, in addition to twice the expected
/// time to the first byte: a job placed at the last moment runs for a caller that has left.
const PATIENCE_MARGIN_MS: u64 = 30;
/// A job is short if the mean slot time is at least this many times its own.
const SHORT_FACTOR: f64 = 4.0;
/// How long a late job is kept at most, in milliseconds: half of the time that the least patient
/// callers of streams wait.
const LATE_KEPT_MAX_MS: u64 = 1_000;
/// How long a late job is kept at most, as a fraction of its remaining time: a caller that is
/// refused when its time is nearly over has waited for nothing.
const LATE_KEPT_SHARE: f64 = 0.33;

/// The classes of the sizes of a job.
pub type Classes = [Class; 2];

/// The served shares of each tier and rank.
pub type SharesByRank = BTreeMap<(u8, u8), ServedShares>;

/// The state of a service that the order of its queue depends on.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The number of slots of the service.
    pub slots: usize,
    /// The served shares by class of size.
    pub shares: &'a SharesByRank,
    /// What client accounts have used lately.
    pub usage: &'a AccountUsage,
    /// The classes of jobs that no endpoint can take now.
    pub unplaceable: &'a BTreeSet<Classes>,
}

/// How long a job holds a slot, compared to the mean job of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// A small fraction of the mean.
    Short,
    /// At most the mean.
    Moderate,
    /// Longer than the mean.
    Long,
}

impl Length {
    /// Returns the length of a job that holds a slot for `slot_ms`.
    pub fn of(slot_ms: f64, mean_slot_ms: f64) -> Self {
        match mean_slot_ms / slot_ms {
            ratio if ratio >= SHORT_FACTOR => Self::Short,
            ratio if ratio >= 1.0 => Self::Moderate,
            _ => Self::Long,
        }
    }
}

/// A job in the queue.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    /// What endpoints may crash on.
    pub content: Content,
    /// The job as it was submitted.
    pub job: Job,
    /// When the job was last evaluated and no free endpoint was suitable.
    pub evaluated_ms: Option<u64>,
    /// When the job arrived.
    pub since_ms: u64,
    /// When the first byte becomes late.
    pub objective_ms: u64,
    /// When the caller gives up waiting for the first byte.
    pub patience_ms: u64,
    /// When the response becomes useless.
    pub deadline_ms: u64,
    /// The expected time from placing the job to its first byte, in milliseconds.
    pub first_byte_ms: u64,
    /// The same time on the fastest endpoint, in milliseconds.
    pub min_first_byte_ms: u64,
    /// The expected time that the job holds a slot, in milliseconds.
    pub slot_ms: u64,
    /// The expected time that the job holds a slot of the fastest endpoint, in milliseconds.
    pub min_slot_ms: u64,
    /// The length of the job compared to the mean.
    pub length: Length,
    /// The job is served with the most urgent rank of its tier.
    pub is_promoted: bool,
    /// The classes of the job's sizes.
    pub classes: Classes,
    /// One of these classes is served less often than the others of the job's rank.
    pub is_behind: bool,
    /// The units charged to the quota of the job's account.
    pub units: f64,
}

impl QueuedJob {
    /// Returns the latest time at which the job can be placed and still meet its objective.
    pub fn on_time_until_ms(&self) -> u64 {
        self.objective_ms.saturating_sub(self.first_byte_ms + self.margin_ms())
    }

    /// Returns whether the caller will have left, or the deadline will have passed, before the
    /// response ends even on the fastest endpoint.
    pub fn is_infeasible(&self, now_ms: u64) -> bool {
        let first_ms = now_ms + 2 * self.min_first_byte_ms + PATIENCE_MARGIN_MS;
        first_ms >= self.patience_ms.min(self.deadline_ms)
            || now_ms + self.min_slot_ms >= self.deadline_ms
    }

    /// Returns the rank by which the job is queued.
    fn effective_rank(&self) -> u8 {
        if self.is_promoted || self.job.resumes_stream { 0 } else { self.job.rank }
    }

    /// Returns whether the job had enough time when it arrived.
    pub fn was_feasible(&self) -> bool {
        const MARGIN_MS: u64 = 100;
        !self.is_infeasible(self.since_ms + MARGIN_MS)
    }

    /// Returns the inputs of the rule that refuses the job, given the backlog per slot.
    pub fn refusal_basis(&self, rule: Rule, backlog_ms: u64) -> RefusalBasis {
        RefusalBasis { rule, mean_ms: self.slot_ms, fastest_ms: self.min_slot_ms, backlog_ms }
    }

    fn margin_ms(&self) -> u64 {
        (self.first_byte_ms as f64 * FIRST_BYTE_MARGIN) as u64
    }

    /// Returns until when the job is kept once it is late.
    fn keep_late_until_ms(&self) -> u64 {
        let late_ms = self.since_ms.max(self.on_time_until_ms());
        let left_ms = self.patience_ms.saturating_sub(late_ms) as f64;
        late_ms + LATE_KEPT_MAX_MS.min((left_ms * LATE_KEPT_SHARE) as u64)
    }
}

/// Jobs of one rank, ordered by the time until which they should be placed.
#[derive(Clone, Debug, Default)]
struct DeadlineQueue {
    jobs: BTreeMap<(u64, JobId), QueuedJob>,
    /// The keys of the jobs of each account, by arrival: the newest is last. By the time until which it should
    /// be placed, a long prompt would always seem older than a short one.
    arrivals: BTreeMap<Option<AccountName>, BTreeMap<(u64, JobId), u64>>,
    /// The total slot time that the jobs need, in milliseconds.
    slot_ms: u64,
    /// When a job last expired, in milliseconds.
    expired_ms: Option<u64>,
}

impl DeadlineQueue {
    fn push(&mut self, until_ms: u64, queued: QueuedJob) {
        self.slot_ms += queued.slot_ms;
        let arrivals = self.arrivals.entry(queued.job.account.clone()).or_default();
        arrivals.insert((queued.since_ms, queued.job.job_id), until_ms);
        self.jobs.insert((until_ms, queued.job.job_id), queued);
    }

    fn take(&mut self, key: (u64, JobId)) -> Option<QueuedJob> {
        let queued = self.jobs.remove(&key)?;
        if let Some(arrivals) = self.arrivals.get_mut(&queued.job.account) {
            arrivals.remove(&(queued.since_ms, queued.job.job_id));
            if arrivals.is_empty() {
                self.arrivals.remove(&queued.job.account);
            }
        }
        self.slot_ms -= queued.slot_ms;
        Some(queued)
    }

    /// Removes the job to be served next, given the number of slots of the service and what accounts used.
    fn pop(&mut self, now_ms: u64, slots: usize, usage: &AccountUsage) -> Option<QueuedJob> {
        let (first, last) = (*self.jobs.first_key_value()?.0, *self.jobs.last_key_value()?.0);
        let backlog_ms = self.slot_ms as f64 / slots.max(1) as f64;
        let newest_left_ms = last.0.saturating_sub(now_ms) as f64;
        let is_shedding = self.expired_ms.is_some_and(|at_ms| now_ms < at_ms + SHEDDING_MS);
        let share = if is_shedding { FIFO_BACKLOG_SHARE_SHEDDING } else { FIFO_BACKLOG_SHARE };
        let is_fifo = backlog_ms <= newest_left_ms * share;
        self.take(if is_fifo { first } else { self.newest(usage)? })
    }

    /// Returns the key of the newest job of the account that has used the least.
    fn newest(&self, usage: &AccountUsage) -> Option<(u64, JobId)> {
        let used = |(account, arrivals)| (usage.used_ms(account), arrivals);
        let accounts = self.arrivals.iter().map(used);
        let (_, arrivals) = accounts.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let (arrival, until_ms) = arrivals.last_key_value()?;
        Some((*until_ms, arrival.1))
    }

    /// Removes the expired jobs.
    fn take_expired(&mut self, now_ms: u64) -> Vec<QueuedJob> {
        let expired = self.jobs.keys().take_while(|key| key.0 <= now_ms).copied();
        let expired: Vec<(u64, JobId)> = expired.collect();
        if !expired.is_empty() {
            self.expired_ms = Some(now_ms);
        }
        expired.into_iter().filter_map(|key| self.take(key)).collect()
    }

    fn take_if(&mut self, mut wanted: impl FnMut(&QueuedJob) -> bool) -> Vec<QueuedJob> {
        let found = self.jobs.iter().filter(|(_, queued)| wanted(queued)).map(|(key, _)| *key);
        let found: Vec<(u64, JobId)> = found.collect();
        found.into_iter().filter_map(|key| self.take(key)).collect()
    }
}

/// The jobs of classes that are served less often than others of their rank.
#[derive(Clone, Debug, Default)]
struct BehindQueue {
    /// The jobs of each class, ordered by the time until which they are kept.
    classes: BTreeMap<Classes, DeadlineQueue>,
}

impl BehindQueue {
    fn push(&mut self, queued: QueuedJob) {
        let queue = self.classes.entry(queued.classes).or_default();
        queue.push(queued.keep_late_until_ms(), queued);
    }

    /// Removes the next job of the class that is the furthest behind.
    fn pop(
        &mut self,
        now_ms: u64,
        shares: Option<&ServedShares>,
        order: &Order<'_>,
    ) -> Option<QueuedJob> {
        let class_count = self.classes.values().filter(|queue| !queue.jobs.is_empty()).count();
        let slots_per_class = order.slots / class_count.max(1);
        let lag = |classes: &Classes| shares.map_or(0.0, |shares| shares.lag(classes));
        let waiting = self.classes.iter_mut().filter(|(classes, queue)| {
            !queue.jobs.is_empty() && !order.unplaceable.contains(*classes)
        });
        let (_, queue) = waiting.max_by(|(a, _), (b, _)| lag(a).total_cmp(&lag(b)))?;
        queue.pop(now_ms, slots_per_class, order.usage)
    }
}

/// The jobs of one rank.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    /// Jobs of classes that are served less often than others; they go first.
    behind: BehindQueue,
    /// Jobs that can still meet their objective, ordered by the latest time to place them.
    on_time: DeadlineQueue,
    /// Late jobs, ordered by the time until which they are kept.
    late: DeadlineQueue,
}

impl RankQueue {
    fn queues(&self) -> impl Iterator<Item = &DeadlineQueue> {
        self.behind.classes.values().chain([&self.on_time, &self.late])
    }

    fn queues_mut(&mut self) -> impl Iterator<Item = &mut DeadlineQueue> {
        self.behind.classes.values_mut().chain([&mut self.on_time, &mut self.late])
    }

    /// Removes the job to be served next.
    fn pop(
        &mut self,
        now_ms: u64,
        shares: Option<&ServedShares>,
        order: &Order<'_>,
    ) -> Option<QueuedJob> {
        let behind = self.behind.pop(now_ms, shares, order);
        behind
            .or_else(|| self.on_time.pop(now_ms, order.slots, order.usage))
            .or_else(|| self.late.pop(now_ms, order.slots, order.usage))
    }

    /// Removes the jobs that have been kept for the maximum time although they are late.
    fn take_overdue(&mut self, now_ms: u64) -> Vec<QueuedJob> {
        let kept = self.behind.classes.values_mut().chain([&mut self.late]);
        kept.flat_map(|queue| queue.take_expired(now_ms)).collect()
    }
}

/// The jobs of one tier, by rank.
#[derive(Clone, Debug, Default)]
struct TierQueue {
    ranks: BTreeMap<u8, RankQueue>,
}

impl TierQueue {
    fn push(&mut self, now_ms: u64, queued: QueuedJob) {
        let rank = self.ranks.entry(queued.effective_rank()).or_default();
        let until_ms = queued.on_time_until_ms();
        if queued.is_behind {
            rank.behind.push(queued);
        } else if until_ms > now_ms {
            rank.on_time.push(until_ms, queued);
        } else {
            rank.late.push(queued.keep_late_until_ms(), queued);
        }
    }

    fn queues(&self) -> impl Iterator<Item = &DeadlineQueue> {
        self.ranks.values().flat_map(RankQueue::queues)
    }

    fn queues_mut(&mut self) -> impl Iterator<Item = &mut DeadlineQueue> {
        self.ranks.values_mut().flat_map(RankQueue::queues_mut)
    }

    fn pop(&mut self, now_ms: u64, tier: u8, order: &Order<'_>) -> Option<QueuedJob> {
        self.ranks
            .iter_mut()
            .find_map(|(rank, queue)| queue.pop(now_ms, order.shares.get(&(tier, *rank)), order))
    }
}

/// The waiting jobs of a service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u8, TierQueue>,
}

impl Queue {
    /// Adds a job to the queue.
    pub fn push(&mut self, now_ms: u64, queued: QueuedJob) {
        self.tiers.entry(queued.job.tier).or_default().push(now_ms, queued);
    }

    /// Removes the job to be served next.
    pub fn pop(&mut self, now_ms: u64, order: &Order<'_>) -> Option<QueuedJob> {
        self.tiers.iter_mut().find_map(|(tier, queue)| queue.pop(now_ms, *tier, order))
    }

    /// Removes a job by its identifier.
    pub fn remove(&mut self, job_id: JobId) -> Option<QueuedJob> {
        let mut queues = self.tiers.values_mut().flat_map(TierQueue::queues_mut);
        queues.find_map(|queue| {
            let key = *queue.jobs.keys().find(|key| key.1 == job_id)?;
            queue.take(key)
        })
    }

    /// Removes the jobs that have become unable to meet their objective.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<QueuedJob> {
        self.ranks_mut().flat_map(|rank| rank.on_time.take_expired(now_ms)).collect()
    }

    /// Removes the jobs that have been kept for the maximum time although they are late.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<QueuedJob> {
        self.ranks_mut().flat_map(|rank| rank.take_overdue(now_ms)).collect()
    }

    fn ranks_mut(&mut self) -> impl Iterator<Item = &mut RankQueue> {
        self.tiers.values_mut().flat_map(|tier| tier.ranks.values_mut())
    }

    /// Removes all jobs for which `wanted` returns true.
    pub fn take_if(&mut self, mut wanted: impl FnMut(&QueuedJob) -> bool) -> Vec<QueuedJob> {
        let queues = self.tiers.values_mut().flat_map(TierQueue::queues_mut);
        queues.flat_map(|queue| queue.take_if(&mut wanted)).collect()
    }

    /// Returns the total slot time that the queued jobs need, in milliseconds.
    pub fn backlog_slot_ms(&self) -> u64 {
        self.tiers.values().flat_map(TierQueue::queues).map(|queue| queue.slot_ms).sum()
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.tiers.values().flat_map(TierQueue::queues).map(|queue| queue.jobs.len()).sum()
    }

    /// Returns whether no jobs are queued.
    pub fn is_empty(&self) -> bool {
        self.tiers.values().flat_map(TierQueue::queues).all(|queue| queue.jobs.is_empty())
    }
}
