//! Refuses what cannot be done in time.
//!
//! Load pattern: a burst of several seconds above capacity. What can no longer be on time is refused
//! as soon as that is certain, unless the backlog is short, so that its caller knows at once when to
//! come back and takes no slot from one that can be on time. Callers are told to come back spread
//! over some seconds, after the time in which bursts end. One that has come back is kept for a moment,
//! though it is late. While a tier is shed, nothing of a lower one is admitted.
//!
//! Load pattern: answers a hundred to one in length, endpoints five to one in speed. An answer that
//! only the fastest endpoints can end in time waits for one of them; where many wait, for whom those
//! endpoints are as good, it is refused.

use super::{Dispatcher, Service};
use crate::job::{Decision, Job, Reason, Ticket};
use crate::queue::Waiting;
use lycheehub_types::ServiceName;

/// The shortest time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 150;
/// The longest time after which a caller that is refused in an overload is told to come back, in
/// milliseconds: bursts are over by then.
const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// The part of its time left after which a caller comes back at the latest: callers do not wait for
/// longer than a third of it.
const RETRY_AFTER_SHARE: f64 = 0.32;
/// Over how long callers that are refused in an overload come back, in milliseconds: as long as
/// the shorter bursts last.
const RETURN_SPREAD_MS: u64 = 2_500;
/// How much backlog there may be for what is late to be kept, in milliseconds.
const SHORT_BACKLOG_MS: u64 = 300;
/// How long nothing of a lower tier is admitted after a higher one was shed, in milliseconds.
const FLOOR_MS: u64 = 250;

impl Service {
    /// Takes what can no longer be on time and is not kept all the same.
    fn take_expired(&mut self, now_ms: u64, many_wait: bool) -> Vec<Waiting> {
        let is_kept =
            |waiting: &Waiting| !many_wait || waiting.job.returning || waiting.job.goes_on;
        let expired = self.queue.take_expired(now_ms);
        let (kept, shed): (Vec<_>, Vec<_>) = expired.into_iter().partition(is_kept);
        for waiting in kept {
            self.queue.push(now_ms, waiting);
        }
        shed
    }

    /// Tells whether so many slots are needed for long by all that waits.
    fn many_wait(&self, slots: usize) -> bool {
        self.queue.needed_ms() / slots.max(1) as u64 > SHORT_BACKLOG_MS
    }
}

impl Dispatcher {
    /// Returns why a new job is refused at once, if it is, with when there will be room.
    pub(super) fn overload_of(&mut self, now_ms: u64, waiting: &Waiting) -> Option<u64> {
        let job = &waiting.job;
        let queue_max = self.options.queue_max;
        let hopeless = self.is_hopeless(now_ms, waiting);
        let service = self.services.get_mut(&job.service)?;
        service.floor = service.floor.filter(|(_, until_ms)| now_ms < *until_ms);
        let below_floor = service.floor.is_some_and(|(tier, _)| job.tier > tier);
        let full = service.queue.len() >= queue_max;
        (below_floor || full || hopeless).then(|| return_after_ms(waiting))
    }

    /// Tells whether a new job cannot be done in time behind those that wait.
    fn is_hopeless(&self, now_ms: u64, waiting: &Waiting) -> bool {
        let name = &waiting.job.service;
        self.services.get(name).is_some_and(|service| {
            !service.queue.is_empty()
                && waiting.is_hopeless(now_ms, service.many_wait(self.slots_of(name)))
        })
    }

    pub(super) fn slots_of(&self, name: &ServiceName) -> usize {
        let Some(service) = self.services.get(name) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving());
        usable.map(|endpoint| endpoint.own_slots).sum()
    }

    /// Refuses what can no longer be done in time.
    pub(super) fn shed(&mut self, now_ms: u64, name: &ServiceName) {
        let slots = self.slots_of(name);
        let awaits_endpoints = slots == 0 && self.learns(now_ms);
        let Some(service) = self.services.get_mut(name) else { return };
        let many_wait = service.many_wait(slots);
        let mut shed = service.queue.take_if(|waiting| waiting.is_hopeless(now_ms, many_wait));
        if !awaits_endpoints {
            shed.extend(service.queue.take_overdue(now_ms));
            shed.extend(service.take_expired(now_ms, many_wait));
        }
        // One that came without the time that it needs says nothing of the load.
        let overloads = shed.iter().filter(|waiting| waiting.had_time());
        if let Some(highest) = overloads.map(|waiting| waiting.job.tier).min() {
            let tier = service.floor.map_or(highest, |(tier, _)| tier.min(highest));
            service.floor = Some((tier, now_ms + FLOOR_MS));
        }
        for waiting in shed {
            self.waiting.remove(&waiting.job.ticket);
            let reason = if slots == 0 { Reason::NoEndpoint } else { Reason::Overloaded };
            let after_ms = return_after_ms(&waiting).max(self.paused_ms(now_ms, &waiting.job));
            self.refuse_waiting(waiting, reason, after_ms);
        }
    }

    pub(super) fn refuse_waiting(&mut self, waiting: Waiting, reason: Reason, retry_after_ms: u64) {
        self.give_back(waiting.since_ms, &waiting.job, waiting.units);
        self.refuse(waiting.job.ticket, reason, retry_after_ms);
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after_ms: u64) {
        let retry_after_ms = retry_after_ms.max(RETRY_AFTER_MIN_MS);
        self.decisions.push(Decision::Refuse { ticket, reason, retry_after_ms });
    }

    /// Gives back what a request took of its account's quota when it came, at `since_ms`.
    pub(super) fn give_back(&mut self, since_ms: u64, job: &Job, units: f64) {
        if let Some(account) = job.account.as_ref().filter(|_| units > 0.0) {
            self.quotas.give_back(since_ms, job.ticket.instance, account, units);
        }
    }
}

/// Returns after how long the caller of a job is told to come back, in milliseconds: as late as it
/// is ready to, less a part that differs from job to job.
fn return_after_ms(waiting: &Waiting) -> u64 {
    let latest_ms = (waiting.job.deadline_left_ms as f64 * RETRY_AFTER_SHARE) as u64;
    let spread_ms = RETURN_SPREAD_MS.min(latest_ms / 2);
    let ticket = waiting.job.ticket;
    let drawn =
        (ticket.number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) + u64::from(ticket.instance);
    (latest_ms - drawn % spread_ms.max(1)).min(RETRY_AFTER_MAX_MS)
}
