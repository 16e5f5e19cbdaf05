//! Chooses the endpoints for queued jobs.
//!
//! Load pattern: endpoints differ up to 5:1 in speed and prompts up to 100:1 in length. Prefilling
//! a prompt delays the events of all other streams on the same endpoint, most on the slowest one.
//! The choice therefore minimizes the expected time to the first event, which includes the prompts
//! already placed on the endpoint.
//!
//! Load pattern: responses differ up to 100:1 in length. A long response on a slow endpoint holds a
//! slot until its caller gives up and is never finished. Such a job goes to an endpoint that is
//! likely to finish it before the deadline, or waits for a slot there.
//!
//! Load pattern: half of the endpoints lose some of their responses, the others none. Jobs that
//! cannot be retried after a failure go to the reliable endpoints while these have free slots; if
//! these are full, the jobs wait for one as long as they can still meet their objective. Failures
//! that occur on every endpoint carry no information, so an endpoint is judged by its excess over
//! the failure share of the better endpoints.
//!
//! Load pattern: many jobs wait for the fastest endpoints while other endpoints have free slots.
//! These jobs are skipped so that the jobs behind them can be placed. The first few are evaluated
//! again at every event, so that they get the next free slot of a fast endpoint; the others are
//! evaluated again only after a short delay.

use super::pauses::YIELDING_MAX;
use super::{Dispatcher, PlacedJob, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::job::{Decision, Job};
use crate::queue::QueuedJob;
use lycheehub_types::ServiceName;
use std::collections::BTreeSet;

/// The number of jobs at the head of the queue that are evaluated at every event.
const HEAD_COUNT: usize = 8;
/// The maximum number of unplaceable jobs evaluated per event; each evaluation scans all endpoints
/// of the service.
const EVALUATIONS_MAX: usize = 9;
/// The maximum number of jobs skipped per event; removing and reinserting a job has a cost.
const SKIPPED_MAX: usize = 24;
/// The delay before an unplaceable job beyond the head of the queue is evaluated again, in
/// milliseconds; some slots become free in that time.
const REEVALUATE_MS: u64 = 20;
/// The cost of an endpoint that fails every request, in milliseconds of waiting, for a job that can
/// be retried elsewhere from the beginning.
const FAILURE_COST_MS: f64 = 2_000.0;
/// The same cost for a job that cannot be retried: its caller gets no response.
const FINAL_FAILURE_COST_MS: f64 = 8_000.0;
/// The cost of an endpoint that is on probation after a failure, in milliseconds of waiting.
const PROBATION_COST_MS: f64 = 300.0;
/// The expected time until a full endpoint frees a slot, in milliseconds.
pub(super) const SLOT_WAIT_MS: f64 = 60.0;
/// The cost of a response that is not finished by its deadline, in milliseconds of waiting: part of
/// the slot time that it takes from other jobs.
const OVERRUN_COST_MS: f64 = 3_000.0;
/// The overrun probability above which a job waits for a faster endpoint.
const OVERRUN_LIMIT: f64 = 0.4;
/// An overrun probability below which an endpoint is always worth waiting for.
const OVERRUN_LOW: f64 = 0.2;
/// Above [`OVERRUN_LOW`], the overrun probability of an endpoint worth waiting for is at most this
/// fraction of that of the free endpoint.
const OVERRUN_RATIO: f64 = 0.5;
/// The excess over the baseline failure share that carries no cost; the failure share is an average
/// over too few responses to be more precise.
const FAILURE_TOLERANCE: f64 = 0.05;
/// The excess over the baseline failure share above which a job that cannot be retried waits for a
/// more reliable endpoint.
const HIGH_FAILURE_EXCESS: f64 = 0.15;

impl Dispatcher {
    /// Places queued jobs of a service while its endpoints accept them.
    pub(super) fn place_queued(&mut self, now_ms: u64, name: &ServiceName) {
        let slots = self.slots_of(now_ms, name);
        let service = self.services.get(name);
        let has_long_backlog = service.is_some_and(|service| service.has_long_backlog(slots));
        let mut skipped = Vec::new();
        let mut yielding = Vec::new();
        let mut unplaceable = BTreeSet::new();
        let mut evaluated = 0;
        while evaluated < EVALUATIONS_MAX
            && skipped.len() < SKIPPED_MAX
            && self.has_free_slot(now_ms, name)
        {
            let service = self.services.get_mut(name);
            let popped = service.and_then(|service| service.pop(now_ms, slots, &unplaceable));
            let Some(mut queued) = popped else { break };
            if let Some(service) = self.services.get_mut(name)
                && queued.is_behind
                && !service.is_behind(&queued)
            {
                // Its class has caught up since.
                service.push(now_ms, queued);
                continue;
            }
            let is_at_head = skipped.len() < HEAD_COUNT;
            let is_recent = |at_ms| now_ms < at_ms + REEVALUATE_MS;
            if !is_at_head && queued.evaluated_ms.is_some_and(is_recent) {
                skipped.push(queued);
                continue;
            }
            match self.choose(now_ms, name, &queued) {
                Some(key) if !self.should_wait(now_ms, key, &queued) => {
                    if yielding.len() < YIELDING_MAX && self.yields(now_ms, key, &queued) {
                        evaluated += 1;
                        yielding.push(queued);
                    } else {
                        self.place(now_ms, key, queued);
                    }
                }
                _ => {
                    queued.evaluated_ms = Some(now_ms);
                    if queued.is_behind {
                        unplaceable.insert(queued.classes);
                        self.reserve(now_ms, &queued);
                    }
                    evaluated += 1;
                    skipped.push(queued);
                }
            }
        }
        self.place_yielding(now_ms, name, yielding, has_long_backlog);
        let Some(service) = self.services.get_mut(name) else { return };
        for queued in skipped {
            service.push(now_ms, queued);
        }
    }

    /// Returns whether a job that would miss its objective, overrun its deadline or probably fail
    /// on the free endpoint `key` should wait for a better endpoint that is currently full, and that it may
    /// still get.
    fn should_wait(&self, now_ms: u64, key: EndpointKey, queued: &QueuedJob) -> bool {
        let job = &queued.job;
        let Some(service) = self.services.get(&job.service) else { return false };
        let events = service.events_of(job.output_tokens);
        let left_ms = queued.objective_ms.saturating_sub(now_ms) as f64;
        let ends_ms = queued.deadline_ms.saturating_sub(now_ms);
        let endpoint = &self.endpoints[key];
        let first_byte_ms = endpoint.first_byte_ms(now_ms, job);
        let is_late = left_ms > SLOT_WAIT_MS && first_byte_ms > left_ms;
        let overrun = endpoint.overrun_probability(first_byte_ms, events, ends_ms);
        let overruns = overrun > OVERRUN_LIMIT;
        let acceptable = OVERRUN_LOW.max(overrun * OVERRUN_RATIO);
        let fails_often = |endpoint: &Endpoint| {
            endpoint.health.failure_share() > service.baseline_failures + HIGH_FAILURE_EXCESS
        };
        let fails = job.is_last_attempt && fails_often(endpoint);
        if !is_late && !overruns && !fails {
            return false;
        }
        let mut others = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        others.any(|other| {
            let is_limited = self.limit_wait_ms(now_ms, other) as f64 > SLOT_WAIT_MS;
            if is_limited || !self.may_serve_later(now_ms, other, job) {
                return false;
            }
            let first_byte_ms = other.first_byte_ms(now_ms, job);
            let is_on_time = first_byte_ms + SLOT_WAIT_MS <= left_ms;
            let ends = || other.overrun_probability(first_byte_ms, events, ends_ms) < acceptable;
            (!is_late || is_on_time)
                && (!overruns || ends())
                && (!fails || is_on_time && !fails_often(other))
        })
    }

    /// Returns whether an endpoint may serve `job` once it has a free slot.
    pub(super) fn may_serve_later(&self, now_ms: u64, endpoint: &Endpoint, job: &Job) -> bool {
        endpoint.takes_requests()
            && endpoint.health.is_available(now_ms)
            && self.is_in_region(endpoint, job)
            && !job.tried.contains(endpoint.name())
    }

    pub(super) fn has_free_slot(&self, now_ms: u64, name: &ServiceName) -> bool {
        let has_free_slot = |endpoint: &Endpoint| {
            endpoint.takes_requests()
                && endpoint.running.len() < endpoint.usable_slots(now_ms)
                && self.is_permitted(now_ms, endpoint)
                && self.has_room(now_ms, endpoint)
        };
        let Some(service) = self.services.get(name) else { return false };
        service.endpoints.iter().any(|key| has_free_slot(&self.endpoints[*key]))
    }

    pub(super) fn choose(
        &self,
        now_ms: u64,
        name: &ServiceName,
        queued: &QueuedJob,
    ) -> Option<EndpointKey> {
        let job = &queued.job;
        let service = self.services.get(name)?;
        let best = |is_candidate: &dyn Fn(&Endpoint) -> bool| {
            let usable = service.endpoints.iter().copied().filter(|key| {
                let endpoint = &self.endpoints[*key];
                endpoint.accepts(now_ms, job)
                    && self.is_in_region(endpoint, job)
                    && !self.is_reserved(now_ms, endpoint, queued)
                    && self.is_permitted(now_ms, endpoint)
                    && self.has_room(now_ms, endpoint)
                    && !self.is_excluded(now_ms, job.job_id.instance, endpoint.name())
                    && !self.is_unreached(now_ms, job.job_id.instance, *key)
                    && is_candidate(endpoint)
            });
            let costs = usable.map(|key| (self.cost_ms(now_ms, service, key, job), key));
            costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, key)| key)
        };
        let Some(version_routing) = &service.version_routing else { return best(&|_| true) };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let group = version_routing.next_group(endpoints);
        best(&|endpoint| version_routing.accepts(group, endpoint))
            .or_else(|| best(&|endpoint| version_routing.accepts_as_fallback(group, endpoint)))
    }

    /// Returns the cost of placing `job` on an endpoint, in milliseconds of waiting.
    fn cost_ms(&self, now_ms: u64, service: &Service, key: EndpointKey, job: &Job) -> f64 {
        let endpoint = &self.endpoints[key];
        let is_cross_domain = endpoint.record.failure_domain != job.failure_domain;
        let cross_domain_ms = if is_cross_domain { self.options.cross_domain_cost_ms } else { 0.0 };
        let failure_ms = if job.is_last_attempt { FINAL_FAILURE_COST_MS } else { FAILURE_COST_MS };
        let tolerated_failures = service.baseline_failures + FAILURE_TOLERANCE;
        let failure_ms =
            (endpoint.health.failure_share() - tolerated_failures).max(0.0) * failure_ms;
        let probation_ms =
            if endpoint.health.is_on_probation(now_ms) { PROBATION_COST_MS } else { 0.0 };
        let load = endpoint.running.len() as f64 / f64::from(endpoint.record.slots.max(1));
        let first_byte_ms = endpoint.first_byte_ms(now_ms, job);
        let events = service.events_of(job.output_tokens);
        let overrun = endpoint.overrun_probability(first_byte_ms, events, job.deadline_left_ms);
        let overrun_ms = overrun * OVERRUN_COST_MS;
        let late_streams_ms = service.late_streams_cost_ms(now_ms, endpoint, job, first_byte_ms);
        let waits_ms = first_byte_ms + cross_domain_ms + load;
        waits_ms + failure_ms + probation_ms + overrun_ms + late_streams_ms
    }

    pub(super) fn place(&mut self, now_ms: u64, key: EndpointKey, queued: QueuedJob) {
        self.record_served(now_ms, &queued);
        let QueuedJob { job, content, .. } = queued;
        self.waiting.remove(&job.job_id);
        let cold_pace = self.cold_pace(key);
        let endpoint = &mut self.endpoints[key];
        let mut service = self.services.get_mut(&job.service);
        let pauses_ms = service.as_ref().map(|service| &service.pause_objectives_ms);
        let pause_ms = pauses_ms.and_then(|by_rank| by_rank.get(&job.rank)).copied();
        let begun = endpoint.begin(now_ms, &job, pause_ms);
        if let Some(service) = &mut service {
            service.record_version_placed(&endpoint.record.version);
            service.streams_made_late += begun.streams_made_late as u64;
        }
        endpoint.end_reservation(job.tier, job.rank);
        self.notices.take_permit(now_ms, endpoint.name());
        if let Some((cold_start, pace)) = cold_pace {
            endpoint.warmth.record_sent(now_ms, cold_start, pace);
        }
        self.decisions.push(Decision::Place {
            job_id: job.job_id,
            endpoint: endpoint.name().clone(),
            address: endpoint.record.address.clone(),
            first_byte_ms: begun.first_byte_ms as u64,
        });
        let is_stream = job.output_tokens > 0;
        self.record_sent_for_crashes(now_ms, (job.job_id, &job.service), &content);
        let placed = PlacedJob { endpoint: key, is_stream, rank: job.rank, content };
        self.placed.insert(job.job_id, placed);
    }
}
