//! The dispatcher: takes events, returns decisions.

mod choose;
mod notices;
mod refuse;
mod share;
mod update;
mod versions;

use crate::endpoints::{Endpoint, EndpointKey, Notices, Speed, is_failure};
use crate::job::{Decision, Finished, Job, Outcome, Reason, Ticket};
use crate::options::Options;
use crate::queue::{Queue, Waiting};
use crate::quota::{Quotas, Usage};
use crate::retries::Retries;
use lycheehub_routes::{EngineSpec, Quota};
use lycheehub_types::{AccountName, EndpointName, ServiceName};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use versions::Division;
pub use versions::{VersionMode, VersionRule, VersionSample};

/// How long after the first news of endpoints others may not have been heard, in milliseconds: they
/// announce themselves about once a second.
const LEARNING_MS: u64 = 1_500;

/// How many times as long as a short job the mean one holds a slot.
const SHORT_FACTOR: f64 = 4.0;

/// Which part of a service's endpoints tells what is usual: the best quarter.
const BETTER_PART: usize = 4;

/// A request at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Placed {
    endpoint: EndpointKey,
    is_stream: bool,
    /// The rank of its route.
    rank: u8,
}

/// A service with what waits for it.
#[derive(Debug, Default)]
struct Service {
    queue: Queue,
    endpoints: BTreeSet<EndpointKey>,
    engine: Option<EngineSpec>,
    /// The mean speed of its endpoints.
    speed: Speed,
    /// The speed of the fastest of them.
    fastest: Speed,
    /// The share of requests that fail at its better endpoints: what fails there fails anywhere.
    usual_failures: f64,
    /// How long a job is likely to hold a slot, as a mean, in milliseconds; 0 until one came.
    slot_ms: f64,
    /// The highest tier that was shed of late, with until when nothing below it is admitted, in
    /// milliseconds.
    floor: Option<(u8, u64)>,
    /// How requests are divided between versions, where they are.
    division: Option<Division>,
}

impl Service {
    /// Takes how long a job is likely to hold a slot into the mean; returns the mean, in
    /// milliseconds.
    fn note_slot_ms(&mut self, slot_ms: f64) -> f64 {
        const WEIGHT: f64 = 0.02;
        let weight = if self.slot_ms == 0.0 { 1.0 } else { WEIGHT };
        self.slot_ms += weight * (slot_ms - self.slot_ms);
        self.slot_ms
    }

    /// Returns how long `job` holds a slot of an endpoint that is so fast, in milliseconds.
    fn slot_ms_at(&self, speed: Speed, job: &Job) -> f64 {
        let rest_ms = speed.events_ms(self.events_of(job.output_tokens));
        (first_byte_ms_at(speed, job) + rest_ms).max(1.0)
    }

    /// Returns how many events an answer of `output_tokens` has.
    fn events_of(&self, output_tokens: u32) -> f64 {
        let per_event = self.engine.map_or(1, |engine| engine.tokens_per_event.max(1));
        (f64::from(output_tokens) / f64::from(per_event)).ceil()
    }
}

/// Returns how long an endpoint that is so fast takes to the first byte of `job`, in milliseconds.
fn first_byte_ms_at(speed: Speed, job: &Job) -> f64 {
    speed.prefill_ms(job.prompt_tokens) + speed.answer_ms()
}

/// Returns the share of failures that the better endpoints of a service have.
fn usual_of(mut failures: Vec<f64>) -> f64 {
    failures.sort_by(f64::total_cmp);
    failures.get(failures.len() / BETTER_PART).copied().unwrap_or(0.0)
}

/// How much a service has to do, and what is left of its endpoints' slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// How many requests wait.
    pub waiting: usize,
    /// How many run.
    pub running: usize,
    /// Slots in which one more could run now.
    pub free_slots: usize,
    /// Slots of endpoints that are left alone, or tried again, after they failed.
    pub closed_slots: usize,
}

/// A request that runs at an endpoint, as an instance tells it to a new dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// The request's number at its instance.
    pub number: u64,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The tokens that it takes of the endpoint's memory.
    pub memory_tokens: u64,
    /// Whether its answer is a stream of events.
    pub is_stream: bool,
}

/// Decides for the requests of one or of all instances.
///
/// # Examples
/// ```
/// use lycheehub_dispatch::{Decision, Dispatcher, Options};
///
/// let mut dispatcher = Dispatcher::new(Options::default());
/// dispatcher.tick(1_000);
/// assert_eq!(dispatcher.take_decisions(), Vec::<Decision>::new());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    services: BTreeMap<ServiceName, Service>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: BTreeMap<EndpointName, EndpointKey>,
    placed: BTreeMap<Ticket, Placed>,
    waiting: BTreeMap<Ticket, ServiceName>,
    notices: Notices,
    accounts: BTreeMap<AccountName, Quota>,
    quotas: Quotas,
    retries: Retries,
    /// Until when endpoints may not have been heard that are there, in milliseconds; nothing before
    /// the first news of them.
    learns_until_ms: Option<u64>,
    decisions: Vec<Decision>,
    samples: Vec<VersionSample>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no services yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            services: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            placed: BTreeMap::new(),
            waiting: BTreeMap::new(),
            notices: Notices::default(),
            accounts: BTreeMap::new(),
            quotas: Quotas::default(),
            retries: Retries::default(),
            learns_until_ms: None,
            decisions: Vec::new(),
            samples: Vec::new(),
        }
    }

    /// Returns the options in force.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
        self.share_out();
    }

    /// Takes a request; a decision follows, now or later.
    pub fn submit(&mut self, now_ms: u64, job: Job) {
        let units = match self.charge(now_ms, &job) {
            Ok(units) => units,
            Err((reason, retry_after_ms)) => {
                return self.refuse(job.ticket, reason, retry_after_ms);
            }
        };
        let Some(waiting) = self.waiting_of(now_ms, job, units) else { return };
        if let Some(retry_after_ms) = self.overload_of(now_ms, &waiting) {
            return self.refuse_waiting(waiting, Reason::Overloaded, retry_after_ms);
        }
        let name = waiting.job.service.clone();
        self.waiting.insert(waiting.job.ticket, name.clone());
        if let Some(service) = self.services.get_mut(&name) {
            service.queue.push(now_ms, waiting);
        }
        self.fill(now_ms, &name);
    }

    /// Takes what a job counts from its account's quota and from the budget of repeats.
    fn charge(&mut self, now_ms: u64, job: &Job) -> Result<f64, (Reason, u64)> {
        const RETRY_AFTER_MS: u64 = 1_000;
        if job.repeat {
            if !self.retries.take(now_ms, &self.options, &job.service) {
                return Err((Reason::RetriesExhausted, RETRY_AFTER_MS));
            }
            return Ok(0.0);
        }
        let mut taken = 0.0;
        let limited = job.account.as_ref().and_then(|name| Some((name, self.accounts.get(name)?)));
        if let Some((name, quota)) = limited {
            let units = quota.units_of(job.told_tokens);
            let instance = job.ticket.instance;
            let limited = (name, quota);
            let result =
                self.quotas.take(now_ms, &self.options, instance, limited, (job.rank, units));
            result.map_err(|wait_ms| (Reason::QuotaExceeded, wait_ms))?;
            taken = units;
        }
        self.retries.note_request(now_ms, &self.options, &job.service);
        Ok(taken)
    }

    /// Tells whether there may be endpoints that have not been heard yet.
    ///
    /// Load pattern: all instances have started again. Endpoints announce themselves to one after the
    /// other, while all callers come back at once.
    pub(super) fn learns(&self, now_ms: u64) -> bool {
        self.learns_until_ms.is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Returns why no endpoint will take a job while its caller waits, if that is certain, with when one
    /// may.
    fn closed_to(&self, now_ms: u64, job: &Job) -> Option<(Reason, u64)> {
        const RETRY_AFTER_MS: u64 = 1_000;
        let no_endpoint = Some((Reason::NoEndpoint, RETRY_AFTER_MS));
        let Some(service) = self.services.get(&job.service) else { return no_endpoint };
        let mut endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        if !self.learns(now_ms) && endpoints.all(Endpoint::is_leaving) {
            return no_endpoint;
        }
        let paused_ms = self.paused_ms(now_ms, job);
        let first_byte_ms = first_byte_ms_at(service.speed, job) as u64;
        let patience_ms = job.patience_left_ms.min(job.deadline_left_ms);
        let is_closed = paused_ms > 0 && paused_ms + first_byte_ms >= patience_ms;
        is_closed.then_some((Reason::Overloaded, paused_ms))
    }

    fn waiting_of(&mut self, now_ms: u64, job: Job, units: f64) -> Option<Waiting> {
        if let Some((reason, retry_after_ms)) = self.closed_to(now_ms, &job) {
            self.give_back(now_ms, &job, units);
            self.refuse(job.ticket, reason, retry_after_ms);
            return None;
        }
        let service = self.services.get_mut(&job.service)?;
        let first_byte_ms = first_byte_ms_at(service.speed, &job);
        let slot_ms = service.slot_ms_at(service.speed, &job);
        let least_slot_ms = service.slot_ms_at(service.fastest, &job);
        let is_short = slot_ms * SHORT_FACTOR <= service.note_slot_ms(slot_ms);
        Some(Waiting {
            is_short,
            weighed_ms: None,
            since_ms: now_ms,
            objective_ms: now_ms + job.objective_left_ms,
            patience_ms: now_ms + job.patience_left_ms,
            deadline_ms: now_ms + job.deadline_left_ms,
            first_byte_ms: first_byte_ms as u64,
            slot_ms: slot_ms as u64,
            least_slot_ms: least_slot_ms as u64,
            units,
            job,
        })
    }

    /// Takes the end of a request at its endpoint.
    pub fn finish(&mut self, now_ms: u64, finished: Finished) {
        let Some(placed) = self.placed.remove(&finished.ticket) else { return };
        self.note_sample(placed.endpoint, placed.rank, &finished);
        let Some(endpoint) = self.endpoints.get_mut(placed.endpoint) else { return };
        let running = endpoint.end(finished.ticket);
        let since_ms = running.map_or(now_ms, |running| running.since_ms);
        endpoint.health.note(now_ms, since_ms, finished.outcome);
        if let (Some(first_byte_ms), Some(running)) = (finished.first_byte_ms, running)
            && is_failure(finished.outcome) != Some(true)
        {
            if placed.is_stream {
                endpoint.speed.learn_first_event(running.expected_ms, f64::from(first_byte_ms));
                endpoint.speed.learn_events(finished.events, f64::from(finished.rest_ms));
            } else {
                endpoint.speed.learn_answer(f64::from(first_byte_ms + finished.rest_ms));
            }
        }
        if finished.outcome == Outcome::Rejected {
            // Whoever fills the endpoint besides, it is busy for about one more request.
            endpoint.prefill_until_ms = endpoint.prefill_until_ms.max(now_ms as f64);
        }
        let service = endpoint.record.service.clone();
        self.fill(now_ms, &service);
    }

    /// Takes the news that a request has not had an answer for much longer than expected.
    pub fn stalled(&mut self, now_ms: u64, ticket: Ticket) {
        let Some(placed) = self.placed.get(&ticket) else { return };
        let Some(endpoint) = self.endpoints.get_mut(placed.endpoint) else { return };
        let since_ms = endpoint.running.get(&ticket).map_or(now_ms, |running| running.since_ms);
        endpoint.health.pause(now_ms, since_ms);
    }

    /// Takes back a request that waits or runs, since its caller has left.
    pub fn withdraw(&mut self, now_ms: u64, ticket: Ticket) {
        if let Some(name) = self.waiting.remove(&ticket) {
            let removed = self.services.get_mut(&name).and_then(|s| s.queue.remove(ticket));
            if let Some(waiting) = removed {
                self.give_back(waiting.since_ms, &waiting.job, waiting.units);
            }
            return;
        }
        let outcome = Outcome::Abandoned;
        self.finish(
            now_ms,
            Finished { ticket, outcome, first_byte_ms: None, rest_ms: 0, events: 0 },
        );
    }

    /// Takes over what an instance has sent to endpoints by the word of an earlier dispatcher.
    pub fn adopt(&mut self, now_ms: u64, instance: u32, in_flight: &[InFlight]) {
        for request in in_flight {
            let Some(key) = self.by_name.get(&request.endpoint) else { continue };
            let ticket = Ticket { instance, number: request.number };
            self.endpoints[*key].adopt(now_ms, ticket, request.memory_tokens);
            // The rank is not told: what it is compared with is not known either.
            let placed = Placed { endpoint: *key, is_stream: request.is_stream, rank: 0 };
            self.placed.insert(ticket, placed);
        }
    }

    /// Takes over what client accounts have used at an instance by its own word.
    pub fn adopt_usage(&mut self, now_ms: u64, instance: u32, usage: &[Usage]) {
        self.quotas.adopt(now_ms, instance, usage);
    }

    /// Notes that another dispatcher has placed a job, so that this one counts its use.
    pub fn note_use(&mut self, now_ms: u64, job: &Job) {
        let limited = job.account.as_ref().and_then(|name| Some((name, self.accounts.get(name)?)));
        if let Some((name, quota)) = limited.filter(|_| !job.repeat) {
            let units = quota.units_of(job.told_tokens);
            self.quotas.note(now_ms, job.ticket.instance, name, units);
        }
    }

    /// Returns the client accounts that have used up most of their quota.
    pub fn tight_accounts(&mut self, now_ms: u64) -> Vec<AccountName> {
        self.quotas.tight(now_ms, &self.options)
    }

    /// Takes the leader's word which client accounts have used up most of their quota.
    pub fn set_tight_accounts(&mut self, tight: BTreeSet<AccountName>) {
        self.quotas.set_tight(tight);
    }

    /// Returns what client accounts have used at an instance of late.
    pub fn usage(&self, now_ms: u64, instance: u32) -> Vec<Usage> {
        self.quotas.usage(now_ms, &self.options, instance)
    }

    /// Forgets all requests of an instance that is gone.
    pub fn forget_instance(&mut self, now_ms: u64, instance: u32) {
        let range = Ticket { instance, number: 0 }..=Ticket { instance, number: u64::MAX };
        let waiting: Vec<Ticket> = self.waiting.range(range.clone()).map(|(key, _)| *key).collect();
        let placed: Vec<Ticket> = self.placed.range(range).map(|(key, _)| *key).collect();
        for ticket in waiting.into_iter().chain(placed) {
            self.withdraw(now_ms, ticket);
        }
    }

    /// Lets time pass: refuses what can no longer be done in time, and uses endpoints that are open
    /// again.
    pub fn tick(&mut self, now_ms: u64) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.shed(now_ms, &name);
            self.fill(now_ms, &name);
            self.learn_mean(&name);
        }
        let by_name = &self.by_name;
        self.notices.forget_old(now_ms, |name| by_name.contains_key(name));
    }

    fn learn_mean(&mut self, name: &ServiceName) {
        let Some(service) = self.services.get_mut(name) else { return };
        let speeds = service.endpoints.iter().map(|key| &self.endpoints[*key].speed);
        service.speed = Speed::mean(speeds.clone());
        service.fastest = Speed::fastest(speeds);
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving());
        let failures = usable.map(|endpoint| endpoint.health.failure_share()).collect();
        service.usual_failures = usual_of(failures);
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the load of each service.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Dispatcher, Options};
    ///
    /// let dispatcher = Dispatcher::new(Options::default());
    /// assert_eq!(dispatcher.loads(1_000).count(), 0);
    /// ```
    pub fn loads(&self, now_ms: u64) -> impl Iterator<Item = ServiceLoad> {
        self.services.iter().map(move |(name, service)| {
            let mut load = ServiceLoad {
                service: name.clone(),
                waiting: service.queue.len(),
                running: 0,
                free_slots: 0,
                closed_slots: 0,
            };
            let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
            for endpoint in endpoints.filter(|endpoint| !endpoint.is_leaving()) {
                load.running += endpoint.running.len();
                let usable = endpoint.usable_slots(now_ms);
                load.closed_slots += endpoint.own_slots - usable;
                load.free_slots += usable.saturating_sub(endpoint.running.len());
            }
            load
        })
    }

    /// Returns a line about each endpoint's load, for operators.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}
