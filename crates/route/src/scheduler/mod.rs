//! The scheduler: all services and endpoints of one instance.

mod admit;
mod choose;
mod crashes;
mod dispatch;
mod finish;
mod report;
mod update;

pub use report::Demands;

use crate::endpoint::Endpoint;
use crate::queue::TierQueue;
use crate::retry::RetryBudget;
use crate::versions::TrafficSplit;
use crate::work::{LengthRatio, Speed};
use crate::{Decision, EndpointKey, Job, JobKey, Options};
use lycheehub_control::moves::Observations;
use lycheehub_dispatch::crashes::{Content, Crashes, EndpointStart, Trial};
use lycheehub_types::{EndpointName, ServiceName, Tier, Version};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Schedules all requests of one instance.
///
/// # Examples
/// ```
/// use lycheehub_route::{Options, Scheduler};
///
/// let mut scheduler = Scheduler::new(Options::default(), 1);
/// assert!(scheduler.tick(0).is_empty());
/// ```
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    pools: BTreeMap<ServiceName, Pool>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    keys_by_name: BTreeMap<EndpointName, EndpointKey>,
    jobs: SlotMap<JobKey, JobState>,
    crashes: Crashes,
    observations: Observations,
    /// Moves whose candidate this instance stopped sending to, with the reason.
    trips: BTreeMap<SmolStr, SmolStr>,
    /// When comparison windows were last closed.
    windows_closed_ms: u64,
    rng: SmallRng,
}

/// The state of one service: its endpoints, its queue and what was learned of it.
#[derive(Debug, Default)]
struct Pool {
    endpoints: Vec<EndpointKey>,
    queue: TierQueue,
    split: TrafficSplit,
    retry_budget: RetryBudget,
    length_ratio: LengthRatio,
    /// The average speed of all endpoints, used to estimate waiting times.
    speed: Speed,
    /// The speed of each hardware generation, the initial speed of its new endpoints.
    speed_by_hardware: BTreeMap<SmolStr, Speed>,
    /// The lowest tier that this instance itself admits, and until when, in milliseconds.
    floor: Option<(Tier, u64)>,
    /// The lowest tier admitted according to the control state's view.
    remote_floor: Option<Tier>,
    /// The round-robin position.
    round_robin_index: usize,
}

#[derive(Debug)]
struct JobState {
    job: Job,
    /// When the request was submitted.
    queued_ms: u64,
    /// Endpoints at which an attempt failed; retries avoid them.
    excluded: Vec<EndpointName>,
    /// What endpoints may crash on.
    content: Content,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointKey,
    version: Version,
    start: EndpointStart,
    since_ms: u64,
    /// The trials of quarantines that it is.
    trials: Vec<Trial>,
    /// The prompt tokens that were not expected to be cached.
    prefill_tokens: u64,
}

impl Scheduler {
    /// Creates a scheduler without endpoints; `seed` seeds the generator of its random choices.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            pools: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            keys_by_name: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            crashes: Crashes::default(),
            observations: Observations::new(),
            trips: BTreeMap::new(),
            windows_closed_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of waiting and running requests.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of requests that are running at endpoints.
    pub fn running(&self) -> usize {
        self.jobs.values().filter(|state| state.running.is_some()).count()
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.keys_by_name.get(name).and_then(|key| self.endpoints.get(*key))
    }

    /// Advances the time to `now_ms`: refuses requests that can no longer meet their deadline or
    /// are below the shed floor, and dispatches waiting requests to endpoints that have become
    /// available.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        const WINDOW_MS: u64 = 5_000;
        let trips = self.pools.values_mut().filter_map(|pool| pool.split.advance(now_ms));
        self.trips.extend(trips);
        if now_ms >= self.windows_closed_ms + WINDOW_MS {
            self.windows_closed_ms = now_ms;
            let trips = self.pools.values_mut().filter_map(|pool| pool.split.close_windows());
            self.trips.extend(trips);
        }
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        let mut decisions = Vec::new();
        self.advance_crashes(now_ms, &mut decisions);
        for service in &services {
            self.refuse_late(now_ms, service, &mut decisions);
            self.enforce_floor(now_ms, service, &mut decisions);
            self.dispatch_waiting(now_ms, service, &mut decisions);
        }
        decisions
    }
}
