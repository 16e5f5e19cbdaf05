//! What waits for one service, in the order in which it is served.
//!
//! Load pattern: a burst of several seconds above capacity. Served strictly by arrival, every
//! request would start late for as long as the backlog lasts, and most callers would have left by
//! then. So those that can still be on time go before those that cannot; and where the backlog is
//! longer than the newest of them can wait, or jobs already run out of time, the newest goes first,
//! so that what is served is served well on time and only what is left over runs out of time.
//!
//! Load pattern: bursts in which urgent requests are late themselves. They are served after urgent ones
//! that can still be on time, and before all that is less urgent, which would otherwise be served more
//! often than they are.
//!
//! Load pattern: short requests behind long ones. One that needs a small part of what others need
//! delays them by little, and is served with the most urgent ones of its tier.
//!
//! Load pattern: endpoints are lost in a burst, each in the middle of many streams. The rest of a
//! stream needs less than a new one, and what its caller has is worth nothing without it. So it is
//! served with the most urgent ones of its tier as well, and kept for some time when it is late.

use crate::job::{Job, Ticket};
use std::collections::BTreeMap;

/// The part of the newest job's time within which a backlog must be done to be served by arrival.
const BACKLOG_SHARE: f64 = 0.8;
/// The same part while jobs run out of time: what is then served by arrival is served in the last
/// moment.
const BACKLOG_SHARE_SHEDDING: f64 = 0.3;
/// How long a line counts as running out of time after the last one did, in milliseconds.
const SHEDDING_MS: u64 = 500;
/// The part of the time to the first byte that is kept in hand: estimates are that far off.
const RESERVE: f64 = 0.25;
/// The time that is kept in hand where the caller would leave, in milliseconds, beside as much
/// again as the first byte is likely to take: what is placed in the last moment is worked on for
/// nobody.
const LEAVE_RESERVE_MS: u64 = 30;
/// How long a job that will be late is kept at most, in milliseconds: half of the time that the
/// least patient callers of streams wait.
const LATE_WAITS_MS: u64 = 1_000;
/// The part of its time left for which it is kept at most: a caller whose time is nearly over when
/// it is refused was held in vain.
const LATE_WAITS_SHARE: f64 = 0.33;

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The job.
    pub job: Job,
    /// When it was last found that no free endpoint suits it.
    pub weighed_ms: Option<u64>,
    /// When it came.
    pub since_ms: u64,
    /// The last moment at which its first byte is on time.
    pub objective_ms: u64,
    /// When its caller leaves unless the first byte has come.
    pub patience_ms: u64,
    /// When its answer is of no more use.
    pub deadline_ms: u64,
    /// How long it is likely to take until its first byte once it is placed, in milliseconds.
    pub first_byte_ms: u64,
    /// How long it is likely to hold a slot, in milliseconds.
    pub slot_ms: u64,
    /// How long it is likely to hold a slot of the fastest endpoint, in milliseconds.
    pub least_slot_ms: u64,
    /// It needs little of what others need: it goes with the most urgent ones of its tier.
    pub is_short: bool,
    /// What it took of its account's quota.
    pub units: f64,
}

impl Waiting {
    /// Returns the last moment at which the job should be placed to be on time.
    pub fn on_time_until_ms(&self) -> u64 {
        self.objective_ms.saturating_sub(self.first_byte_ms + self.reserve_ms())
    }

    /// Tells whether the caller will have left, or the deadline will be over, before the answer:
    /// at any endpoint, or where many wait for the fastest ones, at the mean one.
    pub fn is_hopeless(&self, now_ms: u64, many_wait: bool) -> bool {
        let first_ms = now_ms + 2 * self.first_byte_ms + LEAVE_RESERVE_MS;
        let slot_ms = if many_wait { self.slot_ms } else { self.least_slot_ms };
        first_ms >= self.patience_ms.min(self.deadline_ms) || now_ms + slot_ms >= self.deadline_ms
    }

    /// Returns the rank of the line in which the job waits.
    fn line_rank(&self) -> u8 {
        if self.is_short || self.job.goes_on { 0 } else { self.job.rank }
    }

    /// Tells whether the job could have been done in time when it came.
    pub fn had_time(&self) -> bool {
        const SOON_MS: u64 = 100;
        !self.is_hopeless(self.since_ms + SOON_MS, false)
    }

    fn reserve_ms(&self) -> u64 {
        (self.first_byte_ms as f64 * RESERVE) as u64
    }

    /// Returns until when the job is kept where it will be late.
    fn late_until_ms(&self) -> u64 {
        let late_ms = self.since_ms.max(self.on_time_until_ms());
        let left_ms = self.patience_ms.saturating_sub(late_ms) as f64;
        late_ms + LATE_WAITS_MS.min((left_ms * LATE_WAITS_SHARE) as u64)
    }
}

/// Jobs of one rank by the moment until which each is best placed.
#[derive(Clone, Debug, Default)]
struct Line {
    jobs: BTreeMap<(u64, Ticket), Waiting>,
    /// For how long the jobs need slots, in milliseconds.
    slot_ms: u64,
    /// When one last ran out of time, in milliseconds.
    expired_ms: Option<u64>,
}

impl Line {
    fn push(&mut self, until_ms: u64, waiting: Waiting) {
        self.slot_ms += waiting.slot_ms;
        self.jobs.insert((until_ms, waiting.job.ticket), waiting);
    }

    fn take(&mut self, key: (u64, Ticket)) -> Option<Waiting> {
        let waiting = self.jobs.remove(&key)?;
        self.slot_ms -= waiting.slot_ms;
        Some(waiting)
    }

    /// Takes the job that is served next by endpoints with so many slots.
    fn pop(&mut self, now_ms: u64, slots: usize) -> Option<Waiting> {
        let (first, last) = (*self.jobs.first_key_value()?.0, *self.jobs.last_key_value()?.0);
        let backlog_ms = self.slot_ms as f64 / slots.max(1) as f64;
        let newest_waits_ms = last.0.saturating_sub(now_ms) as f64;
        let sheds = self.expired_ms.is_some_and(|at_ms| now_ms < at_ms + SHEDDING_MS);
        let share = if sheds { BACKLOG_SHARE_SHEDDING } else { BACKLOG_SHARE };
        let by_arrival = backlog_ms <= newest_waits_ms * share;
        self.take(if by_arrival { first } else { last })
    }

    /// Takes those of which the time is over.
    fn take_expired(&mut self, now_ms: u64) -> Vec<Waiting> {
        let expired = self.jobs.keys().take_while(|key| key.0 <= now_ms).copied();
        let expired: Vec<(u64, Ticket)> = expired.collect();
        if !expired.is_empty() {
            self.expired_ms = Some(now_ms);
        }
        expired.into_iter().filter_map(|key| self.take(key)).collect()
    }

    fn take_if(&mut self, mut wanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let found = self.jobs.iter().filter(|(_, waiting)| wanted(waiting)).map(|(key, _)| *key);
        let found: Vec<(u64, Ticket)> = found.collect();
        found.into_iter().filter_map(|key| self.take(key)).collect()
    }
}

/// The jobs of one rank.
#[derive(Clone, Debug, Default)]
struct Rank {
    /// Those that may still be on time, by the moment until which they can be.
    on_time: Line,
    /// Those that will be late, by the moment until which they are kept.
    late: Line,
}

impl Rank {
    fn lines(&self) -> [&Line; 2] {
        [&self.on_time, &self.late]
    }

    fn lines_mut(&mut self) -> [&mut Line; 2] {
        [&mut self.on_time, &mut self.late]
    }
}

/// The jobs of one tier, by rank.
#[derive(Clone, Debug, Default)]
struct Tier {
    ranks: BTreeMap<u8, Rank>,
}

impl Tier {
    fn push(&mut self, now_ms: u64, waiting: Waiting) {
        let rank = self.ranks.entry(waiting.line_rank()).or_default();
        let until_ms = waiting.on_time_until_ms();
        if until_ms > now_ms {
            rank.on_time.push(until_ms, waiting);
        } else {
            rank.late.push(waiting.late_until_ms(), waiting);
        }
    }

    fn lines(&self) -> impl Iterator<Item = &Line> {
        self.ranks.values().flat_map(Rank::lines)
    }

    fn lines_mut(&mut self) -> impl Iterator<Item = &mut Line> {
        self.ranks.values_mut().flat_map(Rank::lines_mut)
    }

    fn pop(&mut self, now_ms: u64, slots: usize) -> Option<Waiting> {
        self.lines_mut().find_map(|line| line.pop(now_ms, slots))
    }
}

/// All that waits for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u8, Tier>,
}

impl Queue {
    /// Adds a job.
    pub fn push(&mut self, now_ms: u64, waiting: Waiting) {
        self.tiers.entry(waiting.job.tier).or_default().push(now_ms, waiting);
    }

    /// Takes the job that is served next by endpoints with so many slots.
    pub fn pop(&mut self, now_ms: u64, slots: usize) -> Option<Waiting> {
        self.tiers.values_mut().find_map(|tier| tier.pop(now_ms, slots))
    }

    /// Takes a job that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let mut lines = self.tiers.values_mut().flat_map(Tier::lines_mut);
        lines.find_map(|line| {
            let key = *line.jobs.keys().find(|key| key.1 == ticket)?;
            line.take(key)
        })
    }

    /// Takes the jobs that can no longer be on time, and were not known to be late.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Waiting> {
        self.ranks_mut().flat_map(|rank| rank.on_time.take_expired(now_ms)).collect()
    }

    /// Takes the late jobs that have been kept for as long as they are.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<Waiting> {
        self.ranks_mut().flat_map(|rank| rank.late.take_expired(now_ms)).collect()
    }

    fn ranks_mut(&mut self) -> impl Iterator<Item = &mut Rank> {
        self.tiers.values_mut().flat_map(|tier| tier.ranks.values_mut())
    }

    /// Takes all jobs that are `wanted`.
    pub fn take_if(&mut self, mut wanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let lines = self.tiers.values_mut().flat_map(Tier::lines_mut);
        lines.flat_map(|line| line.take_if(&mut wanted)).collect()
    }

    /// Returns for how long slots are needed by all that waits, in milliseconds.
    pub fn needed_ms(&self) -> u64 {
        self.tiers.values().flat_map(Tier::lines).map(|line| line.slot_ms).sum()
    }

    /// Returns how many jobs wait.
    pub fn len(&self) -> usize {
        self.tiers.values().flat_map(Tier::lines).map(|line| line.jobs.len()).sum()
    }

    /// Tells whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.tiers.values().flat_map(Tier::lines).all(|line| line.jobs.is_empty())
    }
}
