//! What waits for one service, in the order in which it is served.
//!
//! Load pattern: a burst of several seconds above capacity. Served strictly by arrival, every
//! request of a rank would start late for as long as the backlog lasts. So within a rank those
//! that can still be on time go first, and those that cannot go when none of the former waits, but
//! soon enough to end before their deadline.

use crate::job::{Job, Ticket};
use std::collections::BTreeMap;

/// The part of a job's likely time that is kept in hand before its deadline.
const DEADLINE_RESERVE: f64 = 0.5;
/// The time that is kept in hand besides, in milliseconds.
const DEADLINE_RESERVE_MS: u64 = 300;

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The job.
    pub job: Job,
    /// When it came.
    pub since_ms: u64,
    /// The last moment at which its first byte is on time.
    pub objective_ms: u64,
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
    /// Returns the last moment at which the job must be placed to be on time.
    fn on_time_until_ms(&self) -> u64 {
        self.objective_ms.saturating_sub(self.first_byte_ms)
    }

    /// Returns the last moment at which the job should be placed to end before its deadline.
    pub fn must_start_ms(&self) -> u64 {
        let reserve_ms = (self.slot_ms as f64 * DEADLINE_RESERVE) as u64 + DEADLINE_RESERVE_MS;
        self.deadline_ms.saturating_sub(self.slot_ms + reserve_ms)
    }

    /// Tells whether the job can no longer end before its deadline.
    pub fn is_hopeless(&self, now_ms: u64) -> bool {
        now_ms + self.first_byte_ms >= self.deadline_ms
    }
}

/// The jobs of one rank.
#[derive(Clone, Debug, Default)]
struct Line {
    /// Those that may still be on time, by the moment until which they can be.
    on_time: BTreeMap<(u64, Ticket), Waiting>,
    /// Those that will be late, by the moment at which they must start.
    late: BTreeMap<(u64, Ticket), Waiting>,
    slot_ms: u64,
}

impl Line {
    fn push(&mut self, now_ms: u64, waiting: Waiting) {
        self.slot_ms += waiting.slot_ms;
        let ticket = waiting.job.ticket;
        if waiting.on_time_until_ms() >= now_ms {
            self.on_time.insert((waiting.on_time_until_ms(), ticket), waiting);
        } else {
            self.late.insert((waiting.must_start_ms(), ticket), waiting);
        }
    }

    /// Moves those that can no longer be on time to the late ones.
    fn sort_out(&mut self, now_ms: u64) {
        while let Some(entry) = self.on_time.first_entry() {
            if entry.key().0 >= now_ms {
                return;
            }
            let waiting = entry.remove();
            self.late.insert((waiting.must_start_ms(), waiting.job.ticket), waiting);
        }
    }

    fn pop(&mut self, now_ms: u64) -> Option<Waiting> {
        self.sort_out(now_ms);
        let urgent =
            self.late.first_key_value().is_some_and(|((start_ms, _), _)| *start_ms <= now_ms);
        let popped = if urgent || self.on_time.is_empty() {
            self.late.pop_first()
        } else {
            self.on_time.pop_first()
        };
        let (_, waiting) = popped?;
        self.slot_ms -= waiting.slot_ms;
        Some(waiting)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let found = self.on_time.keys().chain(self.late.keys()).find(|key| key.1 == ticket);
        let key = *found?;
        let waiting = self.on_time.remove(&key).or_else(|| self.late.remove(&key))?;
        self.slot_ms -= waiting.slot_ms;
        Some(waiting)
    }

    fn take_if(&mut self, mut wanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let keys = self.on_time.iter().chain(&self.late);
        let found: Vec<Ticket> =
            keys.filter(|(_, waiting)| wanted(waiting)).map(|(key, _)| key.1).collect();
        found.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }
}

/// All that waits for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: BTreeMap<u8, Line>,
}

impl Queue {
    /// Adds a job.
    pub fn push(&mut self, now_ms: u64, waiting: Waiting) {
        self.lines.entry(waiting.job.rank).or_default().push(now_ms, waiting);
    }

    /// Takes the job that is served next.
    pub fn pop(&mut self, now_ms: u64) -> Option<Waiting> {
        self.lines.values_mut().find_map(|line| line.pop(now_ms))
    }

    /// Takes a job that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.lines.values_mut().find_map(|line| line.remove(ticket))
    }

    /// Takes all jobs that are `wanted`.
    pub fn take_if(&mut self, mut wanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        self.lines.values_mut().flat_map(|line| line.take_if(&mut wanted)).collect()
    }

    /// Returns for how long slots are needed by what is served before a new job of `rank`, in
    /// milliseconds.
    pub fn ahead_ms(&self, rank: u8) -> u64 {
        self.lines.range(..=rank).map(|(_, line)| line.slot_ms).sum()
    }

    /// Returns how many jobs wait.
    pub fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    /// Tells whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
