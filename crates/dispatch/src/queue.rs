//! What waits for one service, in the order in which it is served.
//!
//! Load pattern: a burst of several seconds above capacity. Served strictly by arrival, every
//! request would start late for as long as the backlog lasts, and most callers would have left by
//! then. So those that can still be on time go before those that cannot; and as soon as the oldest
//! of them has waited for half of its time, the newest goes first, so that what is served is served
//! well on time and only what is left over runs out of time.

use crate::job::{Job, Ticket};
use std::collections::BTreeMap;

/// The part of its time that the oldest job may wait before the newest goes first.
const OLDEST_WAITS: f64 = 0.5;
/// The part of the time to the first byte that is kept in hand: estimates are that far off.
const RESERVE: f64 = 0.25;
/// The time that is kept in hand where the caller would leave, in milliseconds, beside as much
/// again as the first byte is likely to take: what is placed in the last moment is worked on for
/// nobody.
const LEAVE_RESERVE_MS: u64 = 30;
/// How long a job that will be late is kept, in milliseconds: half of the time that the least
/// patient callers wait.
const LATE_WAITS_MS: u64 = 1_000;

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The job.
    pub job: Job,
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
    /// What it took of its account's quota.
    pub units: f64,
}

impl Waiting {
    /// Returns the last moment at which the job should be placed to be on time.
    pub fn on_time_until_ms(&self) -> u64 {
        self.objective_ms.saturating_sub(self.first_byte_ms + self.reserve_ms())
    }

    /// Tells whether the caller will have left, or the deadline will be over, before the answer.
    pub fn is_hopeless(&self, now_ms: u64) -> bool {
        let first_ms = now_ms + 2 * self.first_byte_ms + LEAVE_RESERVE_MS;
        first_ms >= self.patience_ms.min(self.deadline_ms)
            || now_ms + self.slot_ms >= self.deadline_ms
    }

    /// Tells whether the job could have been done in time when it came.
    pub fn had_time(&self) -> bool {
        const SOON_MS: u64 = 100;
        !self.is_hopeless(self.since_ms + SOON_MS)
    }

    fn reserve_ms(&self) -> u64 {
        (self.first_byte_ms as f64 * RESERVE) as u64
    }

    /// Returns until when the job is kept where it will be late.
    fn late_until_ms(&self) -> u64 {
        let late_ms = self.since_ms.max(self.on_time_until_ms());
        self.patience_ms.min(late_ms + LATE_WAITS_MS)
    }

    /// Tells whether the job has waited for much of the time until `until_ms`.
    fn is_old(&self, now_ms: u64, until_ms: u64) -> bool {
        let whole_ms = until_ms.saturating_sub(self.since_ms) as f64;
        now_ms.saturating_sub(self.since_ms) as f64 > whole_ms * OLDEST_WAITS
    }
}

/// Jobs of one rank by the moment until which each is best placed.
type Line = BTreeMap<(u64, Ticket), Waiting>;

/// The jobs of one tier, by rank.
#[derive(Clone, Debug, Default)]
struct Tier {
    /// Those that may still be on time, by the moment until which they can be.
    on_time: BTreeMap<u8, Line>,
    /// Those that will be late, by the moment until which they are kept.
    late: BTreeMap<u8, Line>,
}

impl Tier {
    fn push(&mut self, now_ms: u64, waiting: Waiting) {
        let (rank, ticket) = (waiting.job.rank, waiting.job.ticket);
        let until_ms = waiting.on_time_until_ms();
        if until_ms > now_ms {
            self.on_time.entry(rank).or_default().insert((until_ms, ticket), waiting);
        } else {
            let key = (waiting.late_until_ms(), ticket);
            self.late.entry(rank).or_default().insert(key, waiting);
        }
    }

    fn lines(&self) -> impl Iterator<Item = &Line> {
        self.on_time.values().chain(self.late.values())
    }

    fn lines_mut(&mut self) -> impl Iterator<Item = &mut Line> {
        self.on_time.values_mut().chain(self.late.values_mut())
    }

    fn pop(&mut self, now_ms: u64) -> Option<Waiting> {
        let mut lines = self.on_time.values_mut().chain(self.late.values_mut());
        lines.find_map(|line| pop_line(line, now_ms))
    }
}

fn pop_line(line: &mut Line, now_ms: u64) -> Option<Waiting> {
    let ((until_ms, _), oldest) = line.first_key_value()?;
    let popped = if oldest.is_old(now_ms, *until_ms) { line.pop_last() } else { line.pop_first() };
    popped.map(|(_, waiting)| waiting)
}

/// Takes those of which the time is over.
fn take_expired<'a>(lines: impl Iterator<Item = &'a mut Line>, now_ms: u64) -> Vec<Waiting> {
    let mut expired = Vec::new();
    for line in lines {
        while let Some(entry) = line.first_entry()
            && entry.key().0 <= now_ms
        {
            expired.push(entry.remove());
        }
    }
    expired
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

    /// Takes the job that is served next.
    pub fn pop(&mut self, now_ms: u64) -> Option<Waiting> {
        self.tiers.values_mut().find_map(|tier| tier.pop(now_ms))
    }

    /// Takes a job that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let mut lines = self.tiers.values_mut().flat_map(Tier::lines_mut);
        lines.find_map(|line| {
            let key = *line.keys().find(|key| key.1 == ticket)?;
            line.remove(&key)
        })
    }

    /// Takes the jobs that can no longer be on time, and were not known to be late.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Waiting> {
        take_expired(self.tiers.values_mut().flat_map(|tier| tier.on_time.values_mut()), now_ms)
    }

    /// Takes the late jobs that have been kept for as long as they are.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<Waiting> {
        take_expired(self.tiers.values_mut().flat_map(|tier| tier.late.values_mut()), now_ms)
    }

    /// Takes all jobs that are `wanted`.
    pub fn take_if(&mut self, mut wanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for line in self.tiers.values_mut().flat_map(Tier::lines_mut) {
            let found = line.extract_if(.., |_, waiting| wanted(waiting));
            taken.extend(found.map(|(_, waiting)| waiting));
        }
        taken
    }

    /// Returns for how long slots are needed by what is served before a new job, in milliseconds.
    pub fn ahead_ms(&self, tier: u8, rank: u8) -> u64 {
        let sum = |line: &Line| line.values().map(|waiting| waiting.slot_ms).sum::<u64>();
        let above = self.tiers.range(..tier).flat_map(|(_, tier)| tier.lines().map(sum));
        let beside = self
            .tiers
            .get(&tier)
            .into_iter()
            .flat_map(|tier| tier.on_time.range(..=rank).map(|(_, line)| sum(line)));
        above.chain(beside).sum()
    }

    /// Returns how many jobs wait.
    pub fn len(&self) -> usize {
        self.tiers.values().flat_map(Tier::lines).map(Line::len).sum()
    }

    /// Tells whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.tiers.values().flat_map(Tier::lines).all(Line::is_empty)
    }
}
