//! The dispatcher: a state machine that consumes events and returns decisions.

mod choose;
mod crashes;
mod evacuations;
mod fair_share;
mod notices;
mod pauses;
mod reach;
mod refuse;
mod regions;
mod rejections;
mod reserve;
mod share;
mod trials;
mod update;
mod versions;
mod warmth;

use crate::accounts::AccountUsage;
use crate::crashes::{Content, CrashReport, Crashes};
use crate::endpoints::{Endpoint, EndpointKey, Notices, Speed, is_failure};
use crate::job::{Decision, Finished, Job, JobId, Outcome, Reason};
use crate::options::Options;
use crate::paths::Paths;
use crate::queue::{Length, Queue, QueuedJob, SharesByRank};
use crate::quota::{Charge, Quotas, Usage};
use crate::refusal::{RefusalBasis, Rule};
use crate::retries::{Retries, RetryUsage};
use fair_share::classes_of;
use lycheehub_routes::{ColdStart, EngineSpec, Quota};
use lycheehub_types::{AccountName, EndpointName, FailureDomain, Region, ServiceName};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use trials::{SentTrial, WaitingTrial};
use versions::VersionRouting;
pub use versions::{PlacedRequests, VersionMode, VersionRule, VersionSample};

/// How long after the first endpoint list some endpoints may still be missing, in milliseconds;
/// endpoints announce themselves about once a second.
const DISCOVERY_MS: u64 = 1_500;

/// The baseline failure share of a service is the largest in the best quarter of its endpoints.
const BASELINE_DIVISOR: usize = 4;

/// A job that was placed on an endpoint.
#[derive(Clone, Debug)]
struct PlacedJob {
    endpoint: EndpointKey,
    is_stream: bool,
    /// The rank of the job.
    rank: u8,
    content: Content,
}

/// A service with its queue and its endpoints.
#[derive(Debug, Default)]
struct Service {
    queue: Queue,
    endpoints: BTreeSet<EndpointKey>,
    engine: Option<EngineSpec>,
    /// What endpoints bear after their start, if that is less than later.
    cold_start: Option<ColdStart>,
    /// The longest pause between two events with which a stream is on time, in milliseconds, by rank.
    pause_objectives_ms: BTreeMap<u8, u64>,
    /// The number of streams that became late by a pause as another job was placed beside them.
    streams_made_late: u64,
    /// The mean speed of the endpoints.
    speed: Speed,
    /// The best value of each speed estimate among the endpoints.
    fastest: Speed,
    /// The failure share of the better endpoints: requests that fail there are assumed to fail on
    /// any endpoint.
    baseline_failures: f64,
    /// The moving average of the expected slot time per job, in milliseconds; 0 before the first
    /// job.
    slot_ms: f64,
    /// The served shares of each tier and rank, by class of size.
    shares: SharesByRank,
    /// What client accounts have used lately.
    usage: AccountUsage,
    /// The highest tier that was shed recently, and until when jobs of lower tiers are not
    /// admitted, in milliseconds.
    tier_floor: Option<(u8, u64)>,
    /// How many requests a second each endpoint can reject; `None` if that is not limited.
    rejections_per_s: Option<f64>,
    /// How requests are divided between versions, if a rule applies.
    version_routing: Option<VersionRouting>,
}

impl Service {
    /// Adds the expected slot time of a job to the moving average and returns the new average, in
    /// milliseconds.
    fn update_mean_slot_ms(&mut self, slot_ms: f64) -> f64 {
        const WEIGHT: f64 = 0.02;
        let weight = if self.slot_ms == 0.0 { 1.0 } else { WEIGHT };
        self.slot_ms += weight * (slot_ms - self.slot_ms);
        self.slot_ms
    }

    /// Returns how long `job` holds a slot of an endpoint with the given speed, in milliseconds.
    fn slot_ms_at(&self, speed: Speed, job: &Job) -> f64 {
        let rest_ms = speed.events_ms(self.events_of(job.output_tokens));
        (first_byte_ms_at(speed, job) + rest_ms).max(1.0)
    }

    /// Returns the number of events in a response of `output_tokens`.
    fn events_of(&self, output_tokens: u32) -> f64 {
        (f64::from(output_tokens) / f64::from(self.tokens_per_event())).ceil()
    }

    fn tokens_per_event(&self) -> u32 {
        self.engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }
}

/// Returns the time to the first byte of `job` on an idle endpoint with the given speed, in
/// milliseconds.
fn first_byte_ms_at(speed: Speed, job: &Job) -> f64 {
    speed.prefill_ms(job.prompt_tokens) + speed.response_ms()
}

/// Returns the failure share of the better endpoints of a service.
fn baseline_of(mut failures: Vec<f64>) -> f64 {
    failures.sort_by(f64::total_cmp);
    failures.get(failures.len() / BASELINE_DIVISOR).copied().unwrap_or(0.0)
}

/// Returns the end of a job of which nothing more is known.
fn abandoned(job_id: JobId) -> Finished {
    Finished {
        job_id,
        outcome: Outcome::Abandoned,
        first_byte_ms: None,
        rest_ms: 0,
        events: 0,
        is_connection_lost: false,
        is_confirmed: false,
    }
}

/// The load of a service and the free capacity of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of queued jobs.
    pub waiting: usize,
    /// The number of jobs running on endpoints.
    pub running: usize,
    /// The number of slots that can take another job now.
    pub free_slots: usize,
    /// The number of slots that are unavailable because their endpoints are paused or on probation.
    pub closed_slots: usize,
    /// The number of endpoints that have stated a limit.
    pub limited_endpoints: usize,
    /// The number of endpoints that are cold.
    pub cold_endpoints: usize,
    /// The number of endpoints whose failure domain is evacuated.
    pub evacuated_endpoints: usize,
    /// By how much the class of size that is served the least often is behind, in thousandths of its
    /// requests.
    pub size_lag_permille: u32,
    /// The number of streams so far that became late by a pause as another job was placed beside them.
    pub streams_made_late: u64,
}

/// What an instance has used of the bounds for all instances, as it reports to a new dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// The use of the quotas of client accounts.
    pub quotas: Vec<Usage>,
    /// The requests and retries, by service.
    pub retries: Vec<RetryUsage>,
    /// The crashes of endpoints.
    pub crashes: CrashReport,
}

/// A request running on an endpoint, as an instance reports it to a new dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// The request's number at its instance.
    pub number: u64,
    /// The endpoint that runs the request.
    pub endpoint: EndpointName,
    /// The tokens that the request occupies in the endpoint's memory.
    pub memory_tokens: u64,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// How long ago the request was placed, in milliseconds.
    pub age_ms: u64,
    /// What the endpoint may crash on.
    pub content: Content,
}

/// Schedules the requests of one instance or, at the leader, of all instances.
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
    placed: BTreeMap<JobId, PlacedJob>,
    waiting: BTreeMap<JobId, ServiceName>,
    notices: Notices,
    crashes: Crashes,
    waiting_trials: BTreeMap<JobId, WaitingTrial>,
    sent_trials: BTreeMap<JobId, SentTrial>,
    paths: Paths,
    accounts: BTreeMap<AccountName, Quota>,
    /// The failure domains whose endpoints are sent no new requests.
    evacuated: BTreeSet<FailureDomain>,
    /// The regions of the failure domains.
    regions: BTreeMap<FailureDomain, Region>,
    quotas: Quotas,
    retries: Retries,
    /// Until when the endpoint list may be incomplete, in milliseconds; `None` before the first
    /// list.
    discovery_ends_ms: Option<u64>,
    decisions: Vec<Decision>,
    samples: Vec<VersionSample>,
}

impl Dispatcher {
    /// Creates a dispatcher without services or endpoints.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            services: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            placed: BTreeMap::new(),
            waiting: BTreeMap::new(),
            notices: Notices::default(),
            crashes: Crashes::default(),
            waiting_trials: BTreeMap::new(),
            sent_trials: BTreeMap::new(),
            paths: Paths::default(),
            accounts: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            regions: BTreeMap::new(),
            quotas: Quotas::default(),
            retries: Retries::default(),
            discovery_ends_ms: None,
            decisions: Vec::new(),
            samples: Vec::new(),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Replaces the options.
    pub fn set_options(&mut self, now_ms: u64, options: Options) {
        self.options = options;
        let share = options.present_rate_share();
        self.notices.set_limit_share(now_ms, share);
        self.endpoints.values_mut().for_each(|known| known.warmth.set_share(now_ms, share));
        self.assign_slots();
    }

    /// Submits a job; its decision is made during this call or a later one.
    pub fn submit(&mut self, now_ms: u64, job: Job) {
        let content = Content::from(&job);
        if let Some(retry_after_ms) = self.quarantine_retry_after_ms(now_ms, &job, &content) {
            let basis = RefusalBasis::default();
            return self.refuse(job.job_id, Reason::Quarantined, retry_after_ms, basis);
        }
        let units = match self.charge(now_ms, &job) {
            Ok(units) => units,
            Err((reason, retry_after_ms)) => {
                let basis = RefusalBasis::default();
                return self.refuse(job.job_id, reason, retry_after_ms, basis);
            }
        };
        let Some(queued) = self.prepare_job(now_ms, job, content, units) else { return };
        let rule = self.refusing_rule(now_ms, &queued);
        if rule != Some(Rule::Infeasible) {
            self.record_arrival(now_ms, &queued);
        }
        if let Some(rule) = rule {
            return self.refuse_new(now_ms, queued, rule);
        }
        let name = queued.job.service.clone();
        self.waiting.insert(queued.job.job_id, name.clone());
        if let Some(service) = self.services.get_mut(&name) {
            service.push(now_ms, queued);
        }
        self.place_queued(now_ms, &name);
    }

    /// Charges a job to the quota of its account, or to the retry budget if it is a retry. Returns
    /// the charged units.
    fn charge(&mut self, now_ms: u64, job: &Job) -> Result<f64, (Reason, u64)> {
        const RETRY_AFTER_MS: u64 = 1_000;
        if job.repeat {
            let request = (&job.service, job.job_id.instance);
            if !self.retries.try_acquire(now_ms, &self.options, request) {
                return Err((Reason::RetriesExhausted, RETRY_AFTER_MS));
            }
            return Ok(0.0);
        }
        let mut charged = 0.0;
        let account_quota =
            job.account.as_ref().and_then(|name| Some((name, self.accounts.get(name)?)));
        if let Some((name, quota)) = account_quota {
            let charge = Charge {
                instance: job.job_id.instance,
                rank: job.rank,
                units: quota.units_of(job.declared_tokens),
                is_returning: job.returning,
            };
            let result = self.quotas.charge(now_ms, &self.options, (name, quota), &charge);
            result.map_err(|wait_ms| (Reason::QuotaExceeded, wait_ms))?;
            charged = charge.units;
        }
        self.record_attempt(now_ms, job);
        Ok(charged)
    }

    /// Returns whether some endpoints may not have announced themselves yet.
    ///
    /// Load pattern: all instances restart. The endpoints announce themselves one by one while all
    /// callers reconnect at once.
    pub(super) fn is_discovering(&self, now_ms: u64) -> bool {
        self.discovery_ends_ms.is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Returns the reason to refuse a job at once, with the delay after which an endpoint may be
    /// available, if no endpoint can accept the job within its caller's patience.
    fn immediate_refusal(&self, now_ms: u64, job: &Job) -> Option<(Reason, u64)> {
        const RETRY_AFTER_MS: u64 = 1_000;
        let no_endpoint = Some((Reason::NoEndpoint, RETRY_AFTER_MS));
        let Some(service) = self.services.get(&job.service) else { return no_endpoint };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let mut usable = endpoints.filter(|endpoint| endpoint.takes_requests()).peekable();
        if !self.is_discovering(now_ms) {
            if usable.peek().is_none() {
                return no_endpoint;
            }
            if !usable.any(|known| self.is_in_region(known, job)) {
                return Some((Reason::NoEndpointInRegion, RETRY_AFTER_MS));
            }
        }
        let all_closed_ms = self.all_closed_ms(now_ms, job);
        let first_byte_ms = first_byte_ms_at(service.speed, job) as u64;
        let patience_ms = job.patience_left_ms.min(job.deadline_left_ms);
        let is_unavailable = all_closed_ms > 0 && all_closed_ms + first_byte_ms >= patience_ms;
        is_unavailable.then_some((Reason::Overloaded, all_closed_ms))
    }

    fn prepare_job(
        &mut self,
        now_ms: u64,
        job: Job,
        content: Content,
        units: f64,
    ) -> Option<QueuedJob> {
        if let Some((reason, retry_after_ms)) = self.immediate_refusal(now_ms, &job) {
            self.refund(now_ms, &job, units);
            let rule = if reason == Reason::Overloaded { Rule::Closed } else { Rule::Other };
            self.refuse(job.job_id, reason, retry_after_ms, rule.into());
            return None;
        }
        let service = self.services.get_mut(&job.service)?;
        let first_byte_ms = first_byte_ms_at(service.speed, &job);
        let min_first_byte_ms = first_byte_ms_at(service.fastest, &job);
        let slot_ms = service.slot_ms_at(service.speed, &job);
        let min_slot_ms = service.slot_ms_at(service.fastest, &job);
        let length = Length::of(slot_ms, service.update_mean_slot_ms(slot_ms));
        Some(QueuedJob {
            length,
            is_promoted: false,
            classes: classes_of(&job),
            is_behind: false,
            evaluated_ms: None,
            since_ms: now_ms,
            objective_ms: now_ms.saturating_add(job.objective_left_ms),
            patience_ms: now_ms.saturating_add(job.patience_left_ms),
            deadline_ms: now_ms.saturating_add(job.deadline_left_ms),
            first_byte_ms: first_byte_ms as u64,
            min_first_byte_ms: min_first_byte_ms as u64,
            slot_ms: slot_ms as u64,
            min_slot_ms: min_slot_ms as u64,
            units,
            content,
            job,
        })
    }

    /// Records how a job ended on its endpoint.
    pub fn finish(&mut self, now_ms: u64, finished: Finished) {
        if finished.outcome == Outcome::NotConnected {
            self.take_back_trial(now_ms, finished.job_id);
        }
        self.sent_trials.remove(&finished.job_id);
        let Some(placed) = self.placed.remove(&finished.job_id) else { return };
        self.record_end_for_crashes(now_ms, &placed, &finished);
        if self.is_believed(&finished) {
            self.record_sample(placed.endpoint, placed.rank, &finished);
        }
        let Some(endpoint) = self.endpoints.get_mut(placed.endpoint) else { return };
        let running = endpoint.end(finished.job_id);
        let since_ms = running.map_or(now_ms, |running| running.since_ms);
        self.record_end_for_health(now_ms, (placed.endpoint, since_ms), &finished);
        let Some(endpoint) = self.endpoints.get_mut(placed.endpoint) else { return };
        if let (Some(first_byte_ms), Some(running)) = (finished.first_byte_ms, running)
            && is_failure(finished.outcome) != Some(true)
            && !running.is_cold
        {
            if placed.is_stream {
                let observed_ms = f64::from(first_byte_ms);
                let (earlier, expected_ms) = (running.speed, running.expected_ms);
                endpoint.speed.learn_first_event(earlier, expected_ms, observed_ms);
                endpoint.speed.learn_events(finished.events, f64::from(finished.rest_ms));
            } else {
                let whole_ms = f64::from(first_byte_ms) + f64::from(finished.rest_ms);
                endpoint.speed.learn_response(whole_ms);
            }
        }
        let service = endpoint.record.service.clone();
        if finished.outcome == Outcome::Rejected {
            // The endpoint was filled by other traffic; assume that it is busy for about one more
            // request.
            endpoint.prefill_until_ms = endpoint.prefill_until_ms.max(now_ms as f64);
            self.record_rejection(now_ms, placed.endpoint);
        }
        self.place_queued(now_ms, &service);
    }

    fn record_end_for_health(
        &mut self,
        now_ms: u64,
        (key, since_ms): (EndpointKey, u64),
        finished: &Finished,
    ) {
        let instance = finished.job_id.instance;
        if reach::is_response(finished.outcome) {
            self.record_reached(now_ms, instance, key);
        } else if finished.is_connection_lost {
            self.paths.record_failure(instance, key);
        }
        let is_believed = match finished.outcome {
            Outcome::NotConnected => {
                self.record_unreached(now_ms, (instance, key), since_ms, finished.is_confirmed)
            }
            _ => self.is_believed(finished),
        };
        if let Some(endpoint) = self.endpoints.get_mut(key).filter(|_| is_believed) {
            endpoint.health.record(now_ms, since_ms, finished.outcome);
            if finished.outcome == Outcome::NotConnected {
                endpoint.warmth.record_refused_connection();
            }
        }
    }

    /// Reports that a job has had no response for much longer than expected.
    pub fn report_stall(&mut self, now_ms: u64, job_id: JobId) {
        let Some(key) = self.placed.get(&job_id).map(|placed| placed.endpoint) else { return };
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let since_ms = endpoint.running.get(&job_id).map_or(now_ms, |running| running.since_ms);
        let is_believed = self.record_unreached(now_ms, (job_id.instance, key), since_ms, false);
        if let Some(endpoint) = self.endpoints.get_mut(key).filter(|_| is_believed) {
            endpoint.health.pause(now_ms, since_ms);
        }
    }

    /// Removes a job that was sent to no endpoint: it is queued, or its instance has not used its decision.
    pub fn withdraw(&mut self, now_ms: u64, job_id: JobId) {
        self.release_trial(job_id);
        if let Some(name) = self.waiting.remove(&job_id) {
            let removed = self.services.get_mut(&name).and_then(|s| s.queue.remove(job_id));
            if let Some(queued) = removed {
                self.refund(queued.since_ms, &queued.job, queued.units);
            }
            return;
        }
        self.take_back_trial(now_ms, job_id);
        self.finish(now_ms, abandoned(job_id));
    }

    /// Records requests of an instance that another dispatcher has placed on endpoints.
    pub fn record_in_flight(&mut self, now_ms: u64, instance: u32, in_flight: &[InFlight]) {
        for request in in_flight {
            let Some(key) = self.by_name.get(&request.endpoint) else { continue };
            let job_id = JobId { instance, number: request.number };
            let since_ms = now_ms.saturating_sub(request.age_ms);
            self.endpoints[*key].add_external(since_ms, job_id, request.memory_tokens);
            // The rank is not reported; the earlier samples that it would be compared with are
            // unknown as well.
            let placed = PlacedJob {
                endpoint: *key,
                is_stream: request.is_stream,
                rank: 0,
                content: request.content.clone(),
            };
            self.placed.insert(job_id, placed);
        }
    }

    /// Restores what an instance reports of bounds for all instances, and of crashes.
    pub fn restore_usage(&mut self, now_ms: u64, instance: u32, usage: &UsageReport) {
        self.quotas.restore(now_ms, instance, &usage.quotas);
        self.retries.restore(now_ms, instance, &usage.retries);
        self.crashes.restore(now_ms, &usage.crashes);
    }

    /// Records the usage of a job that was placed by another dispatcher.
    pub fn record_usage(&mut self, now_ms: u64, job: &Job) {
        self.record_attempt(now_ms, job);
        let account_quota =
            job.account.as_ref().and_then(|name| Some((name, self.accounts.get(name)?)));
        if let Some((name, quota)) = account_quota.filter(|_| !job.repeat) {
            let units = quota.units_of(job.declared_tokens);
            self.quotas.record(now_ms, job.job_id.instance, name, units);
        }
    }

    fn record_attempt(&mut self, now_ms: u64, job: &Job) {
        let request = (&job.service, job.job_id.instance);
        self.retries.record(now_ms, &self.options, request, job.repeat);
    }

    /// Returns the client accounts that are close to their quota.
    pub fn accounts_near_quota(&mut self, now_ms: u64) -> Vec<AccountName> {
        self.quotas.near_quota(now_ms, &self.options)
    }

    /// Sets the client accounts that are close to their quota according to the leader.
    pub fn set_accounts_near_quota(&mut self, near_quota: BTreeSet<AccountName>) {
        self.quotas.set_near_quota(near_quota);
    }

    /// Returns the recent usage of an instance: of quotas by its client accounts, and of retries.
    pub fn usage(&self, now_ms: u64, instance: u32) -> UsageReport {
        UsageReport {
            quotas: self.quotas.usage(now_ms, &self.options, instance),
            retries: self.retries.usage(now_ms, &self.options, instance),
            crashes: self.crashes.report(now_ms),
        }
    }

    /// Removes all jobs of an instance that is gone.
    pub fn forget_instance(&mut self, now_ms: u64, instance: u32) {
        let range = JobId { instance, number: 0 }..=JobId { instance, number: u64::MAX };
        let waiting: Vec<JobId> = self.waiting.range(range.clone()).map(|(key, _)| *key).collect();
        let placed: Vec<JobId> = self.placed.range(range).map(|(key, _)| *key).collect();
        for job_id in waiting {
            self.withdraw(now_ms, job_id);
        }
        for job_id in placed {
            // It may have run.
            self.finish(now_ms, abandoned(job_id));
        }
        self.sent_trials.retain(|job_id, _| job_id.instance != instance);
        self.paths.forget(instance);
        self.endpoints.values_mut().for_each(|endpoint| endpoint.reach.forget(instance));
    }

    /// Advances time: refuses jobs that can no longer finish in time, and places jobs on endpoints
    /// whose pause has ended.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_crashes(now_ms);
        self.expire_trials(now_ms);
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.shed(now_ms, &name);
            self.update_behind(now_ms, &name);
            self.place_queued(now_ms, &name);
            self.update_estimates(now_ms, &name);
        }
        let by_name = &self.by_name;
        self.notices.expire(now_ms, |name| by_name.contains_key(name));
        self.update_rejection_limits(now_ms);
    }

    fn update_estimates(&mut self, now_ms: u64, name: &ServiceName) {
        let Some(service) = self.services.get_mut(name) else { return };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        service.speed = Speed::mean(endpoints.clone().map(|endpoint| &endpoint.speed));
        let usable = endpoints.clone().filter(|endpoint| endpoint.usable_slots(now_ms) > 0);
        let usable = usable.filter(|endpoint| endpoint.takes_requests());
        let has_usable = usable.clone().next().is_some();
        service.fastest = match has_usable {
            true => Speed::fastest(usable.map(|endpoint| &endpoint.speed)),
            false => Speed::fastest(endpoints.map(|endpoint| &endpoint.speed)),
        };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| endpoint.takes_requests());
        let failures = usable.map(|endpoint| endpoint.health.failure_share()).collect();
        service.baseline_failures = baseline_of(failures);
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
    /// assert_eq!(dispatcher.service_loads(1_000).count(), 0);
    /// ```
    pub fn service_loads(&self, now_ms: u64) -> impl Iterator<Item = ServiceLoad> {
        self.services.iter().map(move |(name, service)| {
            let mut load = ServiceLoad {
                service: name.clone(),
                waiting: service.queue.len(),
                running: 0,
                free_slots: 0,
                closed_slots: 0,
                limited_endpoints: 0,
                cold_endpoints: 0,
                evacuated_endpoints: 0,
                size_lag_permille: service.size_lag_permille(),
                streams_made_late: service.streams_made_late,
            };
            for endpoint in service.endpoints.iter().map(|key| &self.endpoints[*key]) {
                load.evacuated_endpoints += usize::from(endpoint.is_evacuated);
                if !endpoint.takes_requests() {
                    continue;
                }
                load.running += endpoint.running.len();
                load.cold_endpoints += usize::from(endpoint.warmth.is_cold(now_ms));
                let usable = endpoint.usable_slots(now_ms);
                let is_limited = self.notices.limit(endpoint.name()).is_some();
                load.limited_endpoints += usize::from(is_limited);
                load.closed_slots += endpoint.slot_limit - usable;
                load.free_slots += usable.saturating_sub(endpoint.running.len());
            }
            load
        })
    }

    /// Returns all known endpoints with their load.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}
