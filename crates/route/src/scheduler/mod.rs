//! The scheduler: all services and endpoints of one instance.

mod admit;
mod choose;
mod dispatch;
mod finish;
mod report;
mod update;

pub use report::Demands;

use crate::endpoint::Endpoint;
use crate::queue::TierQueue;
use crate::retry::Budget;
use crate::versions::Versions;
use crate::work::{LengthRatio, Speed};
use crate::{Decision, EndpointKey, Job, JobKey, Options};
use lycheehub_control::moves::Observations;
use lycheehub_types::{EndpointName, ServiceName, Tier, Version};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Decides for all requests of one instance.
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
    names: BTreeMap<EndpointName, EndpointKey>,
    jobs: SlotMap<JobKey, JobState>,
    observations: Observations,
    trips: BTreeMap<SmolStr, SmolStr>,
    windows_closed_ms: u64,
    rng: SmallRng,
}

/// What is kept for each service.
#[derive(Debug, Default)]
struct Pool {
    endpoints: Vec<EndpointKey>,
    queue: TierQueue,
    versions: Versions,
    retries: Budget,
    lengths: LengthRatio,
    /// The speed of all endpoints together, for estimates of waiting.
    speed: Speed,
    /// The speed of each hardware generation, from which new endpoints start.
    hardware: BTreeMap<SmolStr, Speed>,
    /// The lowest tier that this instance admits, and until when.
    floor: Option<(Tier, u64)>,
    /// The lowest tier that other instances admit.
    heard_floor: Option<Tier>,
    next_in_turn: usize,
}

#[derive(Debug)]
struct JobState {
    job: Job,
    queued_ms: u64,
    /// The expected time of the request, in milliseconds.
    work_ms: f64,
    excluded: Vec<EndpointName>,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointKey,
    version: Version,
    /// The prompt's tokens that were not believed to be cached.
    prefill_tokens: u64,
}

impl Scheduler {
    /// Makes a scheduler without endpoints; choices are drawn from a generator seeded by `seed`.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            pools: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            names: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            observations: Observations::new(),
            trips: BTreeMap::new(),
            windows_closed_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns how many requests wait or run.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many requests run at endpoints.
    pub fn running(&self) -> usize {
        self.jobs.values().filter(|state| state.running.is_some()).count()
    }

    /// Returns the endpoint of this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.names.get(name).and_then(|key| self.endpoints.get(*key))
    }

    /// Lets time pass: gives up requests that can no longer make their deadline, and dispatches
    /// what breakers and leases allow again.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        const WINDOW_MS: u64 = 5_000;
        if now_ms >= self.windows_closed_ms + WINDOW_MS {
            self.windows_closed_ms = now_ms;
            let trips = self.pools.values_mut().filter_map(|pool| pool.versions.close_windows());
            self.trips.extend(trips);
        }
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        let mut decisions = Vec::new();
        for service in &services {
            self.give_up_late(now_ms, service, &mut decisions);
            self.enforce_floor(now_ms, service, &mut decisions);
            self.dispatch_waiting(now_ms, service, &mut decisions);
        }
        decisions
    }
}
