//! Refuses jobs that cannot finish in time.
//!
//! Load pattern: a burst exceeds the capacity for several seconds. A job that can no longer meet
//! its objective is refused as soon as that is certain, unless the backlog is short: its caller
//! learns at once when to retry, and the job takes no slot from one that can still meet its
//! objective. Retries are spread over some seconds after the usual end of a burst. A job whose
//! caller has already retried is kept for a moment although it is late. While a tier is shed, no
//! job of a lower tier is admitted.
//!
//! Load pattern: responses differ up to 100:1 in length and endpoints 5:1 in speed. A response that
//! only the fastest endpoints can finish in time waits for one of them, however long the backlog is; one
//! that no endpoint can finish is refused at once. The retry delay leaves the time that the response
//! needs.

use super::{Dispatcher, Service};
use crate::job::{Decision, Job, JobId, Reason};
use crate::queue::QueuedJob;
use crate::refusal::{RefusalBasis, Rule};
use lycheehub_types::ServiceName;

/// The minimum retry delay sent with a refusal, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 150;
/// The maximum retry delay sent with an overload refusal, in milliseconds; bursts have ended by
/// then.
const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// The maximum retry delay as a fraction of the time left to the deadline: callers wait for at most
/// a third of it.
const RETRY_AFTER_SHARE: f64 = 0.32;
/// The interval over which retries after an overload are spread, in milliseconds; the shorter
/// bursts last as long.
const RETRY_SPREAD_MS: u64 = 2_500;
/// How much longer than on the fastest endpoint a response may take for which a caller returns.
const RETURN_SLOT_FACTOR: f64 = 1.25;
/// The backlog up to which late jobs are kept, in milliseconds.
const SHORT_BACKLOG_MS: u64 = 300;
/// How long lower tiers are not admitted after a higher tier was shed, in milliseconds.
const TIER_FLOOR_MS: u64 = 250;

impl Service {
    /// Removes the jobs that can no longer meet their objective, except those that are kept
    /// although they are late.
    fn take_expired(&mut self, now_ms: u64, has_long_backlog: bool) -> Vec<QueuedJob> {
        let is_kept = |queued: &QueuedJob| {
            !has_long_backlog || queued.job.returning || queued.job.resumes_stream
        };
        let expired = self.queue.take_expired(now_ms);
        let (kept, shed): (Vec<_>, Vec<_>) = expired.into_iter().partition(is_kept);
        for queued in kept {
            self.queue.push(now_ms, queued);
        }
        shed
    }

    /// Returns whether the queued jobs need the given number of slots for longer than a short
    /// backlog.
    pub(super) fn has_long_backlog(&self, slots: usize) -> bool {
        self.backlog_ms(slots) > SHORT_BACKLOG_MS
    }

    /// Returns how long the queued jobs need the given number of slots, in milliseconds.
    fn backlog_ms(&self, slots: usize) -> u64 {
        self.queue.backlog_slot_ms() / slots.max(1) as u64
    }
}

impl Dispatcher {
    /// Returns the rule by which a new job is refused at once because of overload, if any.
    pub(super) fn refusing_rule(&mut self, now_ms: u64, queued: &QueuedJob) -> Option<Rule> {
        let job = &queued.job;
        let queue_max = self.options.queue_max;
        let is_infeasible = self.is_infeasible(now_ms, queued);
        let service = self.services.get_mut(&job.service)?;
        service.tier_floor = service.tier_floor.filter(|(_, until_ms)| now_ms < *until_ms);
        if service.tier_floor.is_some_and(|(tier, _)| job.tier > tier) {
            return Some(Rule::TierShed);
        }
        if service.queue.len() >= queue_max {
            return Some(Rule::QueueFull);
        }
        is_infeasible.then_some(Rule::Infeasible)
    }

    /// Refuses a new job because of overload.
    pub(super) fn refuse_new(&mut self, now_ms: u64, queued: QueuedJob, rule: Rule) {
        let name = &queued.job.service;
        let slots = self.slots_of(now_ms, name);
        let backlog_ms = self.services.get(name).map_or(0, |service| service.backlog_ms(slots));
        let basis = queued.refusal_basis(rule, backlog_ms);
        let retry_after_ms = spread_retry_after_ms(now_ms, &queued);
        self.refuse_queued(queued, Reason::Overloaded, retry_after_ms, basis);
    }

    /// Returns whether a new job cannot finish in time behind the queued jobs.
    fn is_infeasible(&self, now_ms: u64, queued: &QueuedJob) -> bool {
        let name = &queued.job.service;
        self.services
            .get(name)
            .is_some_and(|service| !service.queue.is_empty() && queued.is_infeasible(now_ms))
    }

    pub(super) fn slots_of(&self, now_ms: u64, name: &ServiceName) -> usize {
        let Some(service) = self.services.get(name) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| endpoint.takes_requests());
        usable.map(|endpoint| self.fillable_slots(now_ms, endpoint, service.slot_ms)).sum()
    }

    /// Refuses the jobs of a service that can no longer finish in time.
    pub(super) fn shed(&mut self, now_ms: u64, name: &ServiceName) {
        let slots = self.slots_of(now_ms, name);
        let may_discover_endpoints = slots == 0 && self.is_discovering(now_ms);
        let Some(service) = self.services.get_mut(name) else { return };
        let has_long_backlog = service.has_long_backlog(slots);
        let backlog_ms = service.backlog_ms(slots);
        let infeasible = service.queue.take_if(|queued| queued.is_infeasible(now_ms));
        let mut shed = with_rule(infeasible, Rule::Infeasible);
        if !may_discover_endpoints {
            shed.extend(with_rule(service.queue.take_overdue(now_ms), Rule::Overdue));
            shed.extend(with_rule(service.take_expired(now_ms, has_long_backlog), Rule::Late));
        }
        // A job that arrived with too little time is no sign of overload.
        let overloads = shed.iter().filter(|(queued, _)| queued.was_feasible());
        if let Some(highest) = overloads.map(|(queued, _)| queued.job.tier).min() {
            let tier = service.tier_floor.map_or(highest, |(tier, _)| tier.min(highest));
            service.tier_floor = Some((tier, now_ms + TIER_FLOOR_MS));
        }
        for (queued, rule) in shed {
            self.waiting.remove(&queued.job.job_id);
            let reason = if slots == 0 { Reason::NoEndpoint } else { Reason::Overloaded };
            let after_ms =
                spread_retry_after_ms(now_ms, &queued).max(self.all_closed_ms(now_ms, &queued.job));
            let basis = queued.refusal_basis(rule, backlog_ms);
            self.refuse_queued(queued, reason, after_ms, basis);
        }
    }

    pub(super) fn refuse_queued(
        &mut self,
        queued: QueuedJob,
        reason: Reason,
        retry_after_ms: u64,
        basis: RefusalBasis,
    ) {
        self.refund(queued.since_ms, &queued.job, queued.units);
        self.refuse(queued.job.job_id, reason, retry_after_ms, basis);
    }

    pub(super) fn refuse(
        &mut self,
        job_id: JobId,
        reason: Reason,
        retry_after_ms: u64,
        basis: RefusalBasis,
    ) {
        self.release_trial(job_id);
        let retry_after_ms = retry_after_ms.max(RETRY_AFTER_MIN_MS);
        self.decisions.push(Decision::Refuse { job_id, reason, retry_after_ms, basis });
    }

    /// Refunds the units or the retry that a job was charged when it arrived at `since_ms`.
    pub(super) fn refund(&mut self, since_ms: u64, job: &Job, units: f64) {
        if job.repeat {
            self.retries.release(since_ms, (&job.service, job.job_id.instance));
        }
        if let Some(account) = job.account.as_ref().filter(|_| units > 0.0) {
            self.quotas.refund(since_ms, job.job_id.instance, account, units);
        }
    }
}

fn with_rule(jobs: Vec<QueuedJob>, rule: Rule) -> Vec<(QueuedJob, Rule)> {
    jobs.into_iter().map(|queued| (queued, rule)).collect()
}

/// Returns the retry delay for the caller of a job, in milliseconds: the longest delay that the
/// caller accepts and after which there is time for the response, minus a pseudo-random part that spreads
/// the retries.
fn spread_retry_after_ms(now_ms: u64, queued: &QueuedJob) -> u64 {
    let accepted_ms = (queued.job.deadline_left_ms as f64 * RETRY_AFTER_SHARE) as u64;
    let needed_ms = (queued.min_slot_ms as f64 * RETURN_SLOT_FACTOR) as u64;
    let latest_ms = match queued.deadline_ms.saturating_sub(now_ms + needed_ms) {
        0 => accepted_ms,
        spare_ms => accepted_ms.min(spare_ms),
    };
    let spread_ms = RETRY_SPREAD_MS.min(latest_ms / 2);
    let job_id = queued.job.job_id;
    let drawn =
        (job_id.number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) + u64::from(job_id.instance);
    (latest_ms - drawn % spread_ms.max(1)).min(RETRY_AFTER_MAX_MS)
}
