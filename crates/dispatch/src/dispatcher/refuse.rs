//! Refuses what cannot be done in time.
//!
//! Load pattern: more work than the endpoints can do before the deadlines of what waits. A request
//! is refused when it comes, by what waits before it, so that its caller knows at once when to come
//! back; one that was overtaken by more urgent ones is refused as soon as that is certain.

use super::Dispatcher;
use crate::job::{Decision, Job, Reason, Ticket};
use crate::queue::Waiting;
use lycheehub_types::ServiceName;

/// The shortest time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// The longest time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

impl Dispatcher {
    /// Returns after how long there will be room, in milliseconds, where a job cannot be done.
    pub(super) fn overload_of(&self, now_ms: u64, waiting: &Waiting) -> Option<u64> {
        let service = self.services.get(&waiting.job.service)?;
        let slots = self.slots_of(&waiting.job.service).max(1) as u64;
        let ahead_ms = service.queue.ahead_ms(waiting.job.rank) / slots;
        let ends_ms = now_ms + ahead_ms + waiting.slot_ms;
        let full = service.queue.len() >= self.options.queue_max;
        let overloaded = !service.queue.is_empty() && ahead_ms > 0 && ends_ms > waiting.deadline_ms;
        (full || overloaded).then_some(ahead_ms)
    }

    fn slots_of(&self, name: &ServiceName) -> usize {
        let Some(service) = self.services.get(name) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| !endpoint.record.leaving);
        usable.map(|endpoint| endpoint.slots(self.options.slot_share)).sum()
    }

    /// Refuses what can no longer be done before its deadline.
    pub(super) fn shed(&mut self, now_ms: u64, name: &ServiceName) {
        let slots = self.slots_of(name).max(1) as u64;
        let Some(service) = self.services.get_mut(name) else { return };
        let hopeless = service.queue.take_if(|waiting| waiting.is_hopeless(now_ms));
        let ahead_ms = service.queue.ahead_ms(u8::MAX) / slots;
        for waiting in hopeless {
            self.waiting.remove(&waiting.job.ticket);
            self.refuse_waiting(now_ms, waiting, Reason::Overloaded, ahead_ms);
        }
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        waiting: Waiting,
        reason: Reason,
        retry_after_ms: u64,
    ) {
        self.give_back(now_ms, &waiting.job, waiting.units);
        self.refuse(waiting.job.ticket, reason, retry_after_ms);
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after_ms: u64) {
        let retry_after_ms = retry_after_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        self.decisions.push(Decision::Refuse { ticket, reason, retry_after_ms });
    }

    /// Gives back what a request took of its account's quota.
    pub(super) fn give_back(&mut self, now_ms: u64, job: &Job, units: f64) {
        if let Some(account) = job.account.as_ref().filter(|_| units > 0.0) {
            self.quotas.give_back(now_ms, job.ticket.instance, account, units);
        }
    }
}
