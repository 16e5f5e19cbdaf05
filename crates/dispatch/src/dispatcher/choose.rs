//! Chooses endpoints for what waits.
//!
//! Load pattern: endpoints five to one in speed, prompts a hundred to one in length. A prompt that
//! is read delays the events of all streams beside it, longest on the slowest endpoint. So the
//! endpoint is chosen by when its first event is expected, after the prompts that were placed there
//! before.
//!
//! Load pattern: answers a hundred to one in length. A long one on a slow endpoint takes a slot for
//! as long as its caller waits, and ends unfinished. So it goes where it is likely to end in time,
//! or waits for a slot there.
//!
//! Load pattern: half of the endpoints lose some of their answers, the others none. Those that cannot be
//! sent elsewhere after a failure go to the others as long as these have room. Requests that fail
//! anywhere say nothing: what counts is how much more an endpoint fails than the better ones do. Where
//! these are full for the moment, such a request waits for one as long as it can be on time.
//!
//! Load pattern: many that wait for the fastest endpoints, while others have free slots. They are
//! passed over for those behind them. The first ones are weighed again at each event, so that a slot
//! that they wait for is theirs; the others a moment later.

use super::{Dispatcher, Placed};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::job::{Decision, Job};
use crate::queue::Waiting;
use lycheehub_types::ServiceName;

/// How many jobs at the head of the queue are weighed at each event.
const FIRST_COUNT: usize = 8;
/// How many jobs that no free endpoint suits are weighed in all at an event: one takes as long as a
/// look at each endpoint.
const WEIGHED_MAX: usize = 9;
/// How many are passed over in all: taking one from the queue and back takes time at each event.
const PASSED_OVER_MAX: usize = 24;
/// After how long a job that no free endpoint suited is weighed again, in milliseconds: some slots
/// are free again by then.
const WEIGH_AGAIN_MS: u64 = 20;
/// What an endpoint that fails all requests costs, in milliseconds of waiting: a request that can
/// move begins anew elsewhere.
const FAILURE_MS: f64 = 2_000.0;
/// The same for a request that cannot: its caller gets nothing.
const FINAL_FAILURE_MS: f64 = 8_000.0;
/// What an endpoint that has not answered since it failed costs, in milliseconds of waiting.
const PROBATION_MS: f64 = 300.0;
/// How long it takes until a slot of a full endpoint is free, in milliseconds.
const SLOT_WAIT_MS: f64 = 60.0;
/// What an answer costs that is not finished in its time, in milliseconds of waiting: some of the
/// slot's time that it takes from others.
const OVERRUN_MS: f64 = 3_000.0;
/// From which chance on of not being finished in time a job waits for a faster endpoint.
const OVERRUN_MAX: f64 = 0.5;
/// Below which chance an endpoint is worth waiting for.
const OVERRUN_LITTLE: f64 = 0.2;
/// What part of the chance at a free endpoint another one must have at most, where that is not little.
const OVERRUN_PART: f64 = 0.5;
/// How much further an endpoint may fail than the better ones of its service, as a share of
/// requests: the last few answers tell no more.
const FAILURE_TOLERANCE: f64 = 0.05;
/// How much further than usual an endpoint fails where a request that cannot move waits for a better
/// one, as a share of requests.
const FAILING_MUCH: f64 = 0.15;

impl Dispatcher {
    /// Places what waits for a service while an endpoint takes it.
    pub(super) fn fill(&mut self, now_ms: u64, name: &ServiceName) {
        let slots = self.slots_of(name);
        let mut passed_over = Vec::new();
        let mut weighed = 0;
        while weighed < WEIGHED_MAX
            && passed_over.len() < PASSED_OVER_MAX
            && self.has_room(now_ms, name)
        {
            let service = self.services.get_mut(name);
            let popped = service.and_then(|service| service.queue.pop(now_ms, slots));
            let Some(mut waiting) = popped else { break };
            let is_first = passed_over.len() < FIRST_COUNT;
            let just_now = |at_ms| now_ms < at_ms + WEIGH_AGAIN_MS;
            if !is_first && waiting.weighed_ms.is_some_and(just_now) {
                passed_over.push(waiting);
                continue;
            }
            match self.choose(now_ms, name, &waiting.job) {
                Some(key) if !self.waits_for_better(now_ms, key, &waiting) => {
                    self.place(now_ms, key, waiting);
                }
                _ => {
                    waiting.weighed_ms = Some(now_ms);
                    weighed += 1;
                    passed_over.push(waiting);
                }
            }
        }
        let Some(service) = self.services.get_mut(name) else { return };
        for waiting in passed_over {
            service.queue.push(now_ms, waiting);
        }
    }

    /// Tells whether a job that is too late at a free endpoint, or likely to be lost there, would be
    /// better off at another one that is full at the moment.
    fn waits_for_better(&self, now_ms: u64, key: EndpointKey, waiting: &Waiting) -> bool {
        let job = &waiting.job;
        let Some(service) = self.services.get(&job.service) else { return false };
        let events = service.events_of(job.output_tokens);
        let left_ms = waiting.objective_ms.saturating_sub(now_ms) as f64;
        let ends_ms = waiting.deadline_ms.saturating_sub(now_ms);
        let endpoint = &self.endpoints[key];
        let first_byte_ms = endpoint.first_byte_ms(now_ms, job);
        let is_late = left_ms > SLOT_WAIT_MS && first_byte_ms > left_ms;
        let overrun = endpoint.overrun_chance(first_byte_ms, events, ends_ms);
        let overruns = overrun > OVERRUN_MAX;
        let little = OVERRUN_LITTLE.max(overrun * OVERRUN_PART);
        let fails_much = |endpoint: &Endpoint| {
            endpoint.health.failure_share() > service.usual_failures + FAILING_MUCH
        };
        let fails = job.is_final && fails_much(endpoint);
        if !is_late && !overruns && !fails {
            return false;
        }
        let mut others = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        others.any(|other| {
            if other.is_leaving() || !other.health.is_open(now_ms) {
                return false;
            }
            let first_byte_ms = other.first_byte_ms(now_ms, job);
            let is_on_time = first_byte_ms + SLOT_WAIT_MS <= left_ms;
            let ends = || other.overrun_chance(first_byte_ms, events, ends_ms) < little;
            (!is_late || is_on_time)
                && (!overruns || ends())
                && (!fails || is_on_time && !fails_much(other))
        })
    }

    fn has_room(&self, now_ms: u64, name: &ServiceName) -> bool {
        let has_room = |endpoint: &Endpoint| {
            !endpoint.is_leaving() && endpoint.running.len() < endpoint.usable_slots(now_ms)
        };
        let Some(service) = self.services.get(name) else { return false };
        service.endpoints.iter().any(|key| has_room(&self.endpoints[*key]))
    }

    fn choose(&self, now_ms: u64, name: &ServiceName, job: &Job) -> Option<EndpointKey> {
        let service = self.services.get(name)?;
        let tolerated = service.usual_failures + FAILURE_TOLERANCE;
        let events = service.events_of(job.output_tokens);
        let best = |suits: &dyn Fn(&Endpoint) -> bool| {
            let usable = service.endpoints.iter().copied().filter(|key| {
                let endpoint = &self.endpoints[*key];
                endpoint.takes(now_ms, job)
                    && !self.is_barred(now_ms, job.ticket.instance, endpoint.name())
                    && suits(endpoint)
            });
            usable.min_by(|a, b| {
                let cost = |key: &EndpointKey| self.cost_ms(now_ms, *key, job, events, tolerated);
                cost(a).total_cmp(&cost(b))
            })
        };
        let Some(division) = &service.division else { return best(&|_| true) };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let side = division.next_side(endpoints);
        best(&|endpoint| division.suits(side, endpoint))
            .or_else(|| best(&|endpoint| division.suits_instead(side, endpoint)))
    }

    /// Returns what it costs to place `job` at an endpoint, in milliseconds of waiting.
    fn cost_ms(
        &self,
        now_ms: u64,
        key: EndpointKey,
        job: &Job,
        events: f64,
        tolerated: f64,
    ) -> f64 {
        let endpoint = &self.endpoints[key];
        let foreign = endpoint.record.failure_domain != job.failure_domain;
        let foreign_ms = if foreign { self.options.foreign_domain_ms } else { 0.0 };
        let failure_ms = if job.is_final { FINAL_FAILURE_MS } else { FAILURE_MS };
        let failure_ms = (endpoint.health.failure_share() - tolerated).max(0.0) * failure_ms;
        let doubt_ms = if endpoint.health.is_on_probation(now_ms) { PROBATION_MS } else { 0.0 };
        let load = endpoint.running.len() as f64 / f64::from(endpoint.record.slots.max(1));
        let first_byte_ms = endpoint.first_byte_ms(now_ms, job);
        let overrun = endpoint.overrun_chance(first_byte_ms, events, job.deadline_left_ms);
        let overrun_ms = overrun * OVERRUN_MS;
        first_byte_ms + foreign_ms + failure_ms + doubt_ms + overrun_ms + load
    }

    fn place(&mut self, now_ms: u64, key: EndpointKey, waiting: Waiting) {
        let job = waiting.job;
        self.waiting.remove(&job.ticket);
        if let Some(service) = self.services.get_mut(&job.service) {
            service.note_version_placed(&self.endpoints[key].record.version);
        }
        let endpoint = &mut self.endpoints[key];
        let first_byte_ms = endpoint.begin(now_ms, &job) as u64;
        self.decisions.push(Decision::Place {
            ticket: job.ticket,
            endpoint: endpoint.name().clone(),
            address: endpoint.record.address.clone(),
            first_byte_ms,
        });
        let is_stream = job.output_tokens > 0;
        self.placed.insert(job.ticket, Placed { endpoint: key, is_stream, rank: job.rank });
    }
}
