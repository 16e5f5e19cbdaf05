//! Admission: which requests wait, and which are shed, lowest tier and newest first.

use super::{JobState, Pool, Scheduler};
use crate::{Decision, Job, JobKey};
use lycheehub_types::{Refusal, RefusalKind, ServiceName, Tier};

/// The shortest time after which a refused caller is asked to come back, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 500;
/// The time after which a caller is asked to come back where no endpoint is live, in milliseconds.
const NO_ENDPOINT_RETRY_MS: u64 = 2_000;

impl Scheduler {
    /// Takes a new request; its own decision is among those returned, unless it waits.
    pub fn submit(&mut self, now_ms: u64, mut job: Job) -> (JobKey, Vec<Decision>) {
        if !self.options.tiers {
            job.tier = Tier::LOWEST;
        }
        let service = job.service.clone();
        let pool = self.pools.entry(service.clone()).or_default();
        pool.retries.earn();
        let work_ms = pool.work_ms(&job);
        let (tier, account, weight) = (job.tier, job.account.clone(), job.weight);
        let key = self.jobs.insert(JobState {
            job,
            queued_ms: now_ms,
            work_ms,
            excluded: Vec::new(),
            running: None,
        });
        let mut decisions = Vec::new();
        if let Some(refusal) = self.refusal(now_ms, &service, key) {
            self.jobs.remove(key);
            // What waits below a tier that is shed goes first.
            self.enforce_floor(now_ms, &service, &mut decisions);
            decisions.push(Decision::Refuse(key, refusal));
            return (key, decisions);
        }
        let Some(pool) = self.pools.get_mut(&service) else { return (key, decisions) };
        pool.queue.push(key, tier, &account, weight, work_ms);
        self.dispatch_waiting(now_ms, &service, &mut decisions);
        self.shed_overflow(now_ms, &service, &mut decisions);
        (key, decisions)
    }

    /// Tells why a new request is refused at once, if it is.
    fn refusal(&mut self, now_ms: u64, service: &ServiceName, key: JobKey) -> Option<Refusal> {
        let pool = self.pools.get(service)?;
        let state = self.jobs.get(key)?;
        let tier = state.job.tier;
        let live = pool
            .endpoints
            .iter()
            .any(|key| self.endpoints.get(*key).is_some_and(|endpoint| endpoint.is_live(now_ms)));
        if !live {
            let message = format!("no endpoint of service {service} is live");
            return Some(Refusal::retry(RefusalKind::NoEndpoint, message, NO_ENDPOINT_RETRY_MS));
        }
        let wait_ms = self.wait_ms(now_ms, service, tier);
        if pool.floor_at(now_ms).is_some_and(|floor| tier < floor) {
            return Some(overloaded(tier, wait_ms));
        }
        let left_ms = state.job.deadline_ms.saturating_sub(now_ms) as f64;
        if state.work_ms > left_ms {
            let need_ms = state.work_ms.ceil();
            let message =
                format!("the answer takes about {need_ms} ms, and the deadline is nearer");
            return Some(Refusal::new(RefusalKind::DeadlineUnreachable, message));
        }
        if wait_ms + state.work_ms > left_ms {
            self.raise_floor(now_ms, service, tier);
            return Some(overloaded(tier, wait_ms));
        }
        None
    }

    /// Estimates how long a new request of `tier` would wait, in milliseconds.
    fn wait_ms(&self, now_ms: u64, service: &ServiceName, tier: Tier) -> f64 {
        let Some(pool) = self.pools.get(service) else { return 0.0 };
        let live = pool.endpoints.iter().filter_map(|key| self.endpoints.get(*key));
        let live = live.filter(|endpoint| endpoint.is_live(now_ms));
        let (mut slots, mut running) = (0, 0);
        for endpoint in live {
            slots += endpoint.granted_slots;
            running += endpoint.in_flight();
        }
        let ahead_ms = pool.queue.work_ahead_ms(tier);
        if running < slots && ahead_ms == 0.0 {
            return 0.0;
        }
        let typical_ms = pool.speed.request_ms(0, 1);
        (ahead_ms + typical_ms) / f64::from(slots.max(1))
    }

    /// Notes that `tier` is shed: nothing lower is admitted for a while.
    pub(super) fn raise_floor(&mut self, now_ms: u64, service: &ServiceName, tier: Tier) {
        let until_ms = now_ms + self.options.floor_ms;
        let Some(pool) = self.pools.get_mut(service) else { return };
        let held = pool.floor.filter(|(_, until_ms)| now_ms < *until_ms);
        let floor = held.map_or(tier, |(floor, _)| floor.max(tier));
        pool.floor = Some((floor, until_ms));
    }

    /// Sheds what the queue has no room for.
    fn shed_overflow(&mut self, now_ms: u64, service: &ServiceName, decisions: &mut Vec<Decision>) {
        loop {
            let Some(pool) = self.pools.get_mut(service) else { return };
            if pool.queue.len() <= self.options.queue_max {
                break;
            }
            let Some((key, tier)) = pool.queue.pop_newest_of_lowest() else { break };
            self.raise_floor(now_ms, service, tier);
            let wait_ms = self.wait_ms(now_ms, service, tier);
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, overloaded(tier, wait_ms)));
        }
        self.enforce_floor(now_ms, service, decisions);
    }

    /// Sheds what waits below the floor, this instance's own or one heard from others.
    pub(super) fn enforce_floor(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(floor) = self.pools.get(service).and_then(|pool| pool.floor_at(now_ms)) else {
            return;
        };
        while let Some(pool) = self.pools.get_mut(service) {
            if pool.queue.lowest().is_none_or(|lowest| lowest >= floor) {
                return;
            }
            let Some((key, tier)) = pool.queue.pop_newest_of_lowest() else { return };
            let wait_ms = self.wait_ms(now_ms, service, tier);
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, overloaded(tier, wait_ms)));
        }
    }

    /// Gives up requests that wait and can no longer make their deadline.
    ///
    /// A request is given up only together with all that wait below its tier.
    pub(super) fn give_up_late(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pool) = self.pools.get(service) else { return };
        let late = |(key, _): &(JobKey, Tier)| {
            self.jobs
                .get(*key)
                .is_some_and(|state| now_ms as f64 + state.work_ms > state.job.deadline_ms as f64)
        };
        let mut late: Vec<(JobKey, Tier)> = pool.queue.iter().filter(late).collect();
        late.sort_by_key(|(_, tier)| *tier);
        let Some(highest) = late.iter().map(|(_, tier)| *tier).max() else { return };
        self.raise_floor(now_ms, service, highest);
        self.enforce_floor(now_ms, service, decisions);
        for (key, tier) in late {
            let Some(state) = self.jobs.remove(key) else { continue };
            if let Some(pool) = self.pools.get_mut(service) {
                pool.queue.remove(key, tier, &state.job.account);
            }
            let wait_ms = self.wait_ms(now_ms, service, tier);
            decisions.push(Decision::Refuse(key, overloaded(tier, wait_ms)));
        }
    }
}

impl Pool {
    /// Returns the expected time of a request, in milliseconds.
    pub(super) fn work_ms(&self, job: &Job) -> f64 {
        self.speed.request_ms(job.prompt_tokens, self.lengths.expected_tokens(job.max_tokens))
    }

    /// Returns the lowest tier admitted at `now_ms`.
    pub(super) fn floor_at(&self, now_ms: u64) -> Option<Tier> {
        let own = self.floor.filter(|(_, until_ms)| now_ms < *until_ms).map(|(floor, _)| floor);
        own.max(self.heard_floor)
    }
}

fn overloaded(tier: Tier, wait_ms: f64) -> Refusal {
    let retry_after_ms = (wait_ms as u64).max(RETRY_AFTER_MIN_MS);
    let message = format!("capacity runs short for tier {tier}");
    Refusal::retry(RefusalKind::Overloaded, message, retry_after_ms)
}
