//! Admission control: queues or refuses new requests, and sheds waiting ones, lowest tier and
//! newest first.
//!
//! Load pattern: requests differ up to 100:1 in length, and overload lasts for many seconds. If a request
//! were admitted whenever its own time fits behind the queue, the queue would grow until only the shortest
//! fit. So no request is queued for more than a part of its time, whatever its length.

use super::{JobState, Pool, Scheduler};
use crate::{Decision, Job, JobKey};
use lycheehub_types::{Refusal, RefusalKind, ServiceName, Tier};

/// The minimum retry-after time of a refusal for overload, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 500;
/// The largest part of a request's time for which it is queued; the rest is for its answer.
const WAIT_SHARE_MAX: f64 = 0.2;
/// The retry-after time of a refusal because no endpoint is live, in milliseconds.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 2_000;

impl Scheduler {
    /// Submits a new request.
    ///
    /// The returned decisions include the one about this request, unless it has to wait.
    pub fn submit(&mut self, now_ms: u64, mut job: Job) -> (JobKey, Vec<Decision>) {
        if !self.options.tiers {
            job.tier = Tier::LOWEST;
        }
        let service = job.service.clone();
        let pool = self.pools.entry(service.clone()).or_default();
        pool.retry_budget.deposit();
        let work_ms = pool.work_ms(&job);
        let (tier, account, weight) = (job.tier, job.account.clone(), job.weight);
        let content = super::crashes::content_of(&job);
        let key = self.jobs.insert(JobState {
            job,
            content,
            queued_ms: now_ms,
            excluded: Vec::new(),
            running: None,
        });
        let mut decisions = Vec::new();
        let refusal = self.admission_refusal(now_ms, &service, key);
        if let Some(refusal) = refusal.or_else(|| self.crash_refusal(now_ms, key, false)) {
            self.jobs.remove(key);
            // Waiting requests below the shed floor are refused before the new one.
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

    /// Returns the refusal of a new request that must not be queued.
    fn admission_refusal(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        key: JobKey,
    ) -> Option<Refusal> {
        let pool = self.pools.get(service)?;
        let state = self.jobs.get(key)?;
        let tier = state.job.tier;
        let live = pool
            .endpoints
            .iter()
            .any(|key| self.endpoints.get(*key).is_some_and(|endpoint| endpoint.is_live(now_ms)));
        if !live {
            let message = format!("no endpoint of service {service} is live");
            return Some(Refusal::retry(
                RefusalKind::NoEndpoint,
                message,
                NO_ENDPOINT_RETRY_AFTER_MS,
            ));
        }
        let wait_ms = self.wait_ms(now_ms, service, tier);
        if pool.floor_at(now_ms).is_some_and(|floor| tier < floor) {
            return Some(overloaded(tier, wait_ms));
        }
        let left_ms = state.job.deadline_ms.saturating_sub(now_ms) as f64;
        let shortest_ms = self.shortest_work_ms(now_ms, &state.job);
        if shortest_ms > left_ms {
            let need_ms = shortest_ms.ceil();
            let message =
                format!("the answer takes about {need_ms} ms, and the deadline is nearer");
            return Some(Refusal::new(RefusalKind::DeadlineUnreachable, message));
        }
        if wait_ms > left_ms * WAIT_SHARE_MAX || wait_ms + shortest_ms > left_ms {
            self.raise_floor(now_ms, service, tier);
            return Some(overloaded(tier, wait_ms));
        }
        None
    }

    /// Returns the expected duration of a request at the fastest live endpoint, in milliseconds.
    fn shortest_work_ms(&self, now_ms: u64, job: &Job) -> f64 {
        let Some(pool) = self.pools.get(&job.service) else { return 0.0 };
        let tokens = pool.length_ratio.expected_tokens(job.max_tokens);
        let live = pool.endpoints.iter().filter_map(|key| self.endpoints.get(*key));
        let live = live.filter(|endpoint| endpoint.is_live(now_ms));
        let work_ms = live.map(|endpoint| endpoint.speed.request_ms(job.prompt_tokens, tokens));
        let shortest_ms = work_ms.fold(f64::INFINITY, f64::min);
        if shortest_ms.is_finite() { shortest_ms } else { pool.work_ms(job) }
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

    /// Raises the shed floor to at least `tier` and keeps it in force for `floor_ms` from now.
    pub(super) fn raise_floor(&mut self, now_ms: u64, service: &ServiceName, tier: Tier) {
        let until_ms = now_ms + self.options.floor_ms;
        let Some(pool) = self.pools.get_mut(service) else { return };
        let current = pool.floor.filter(|(_, until_ms)| now_ms < *until_ms);
        let floor = current.map_or(tier, |(floor, _)| floor.max(tier));
        pool.floor = Some((floor, until_ms));
    }

    /// Sheds waiting requests that exceed the queue limit.
    fn shed_overflow(&mut self, now_ms: u64, service: &ServiceName, decisions: &mut Vec<Decision>) {
        loop {
            let Some(pool) = self.pools.get_mut(service) else { return };
            if pool.queue.len() <= self.options.queue_max {
                break;
            }
            let Some((key, tier)) = pool.queue.pop_newest_of_lowest_tier() else { break };
            self.raise_floor(now_ms, service, tier);
            let wait_ms = self.wait_ms(now_ms, service, tier);
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, overloaded(tier, wait_ms)));
        }
        self.enforce_floor(now_ms, service, decisions);
    }

    /// Sheds waiting requests below the shed floor in force.
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
            if pool.queue.lowest_tier().is_none_or(|lowest| lowest >= floor) {
                return;
            }
            let Some((key, tier)) = pool.queue.pop_newest_of_lowest_tier() else { return };
            let wait_ms = self.wait_ms(now_ms, service, tier);
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, overloaded(tier, wait_ms)));
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline.
    ///
    /// All waiting requests of lower tiers are shed with them, so that no tier is shed while a
    /// lower one waits.
    pub(super) fn refuse_late(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pool) = self.pools.get(service) else { return };
        let late = |(key, _): &(JobKey, Tier)| {
            self.jobs.get(*key).is_some_and(|state| {
                let ends_ms = now_ms as f64 + self.shortest_work_ms(now_ms, &state.job);
                ends_ms > state.job.deadline_ms as f64
            })
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
    /// Returns the expected duration of a request, in milliseconds.
    pub(super) fn work_ms(&self, job: &Job) -> f64 {
        self.speed.request_ms(job.prompt_tokens, self.length_ratio.expected_tokens(job.max_tokens))
    }

    /// Returns the shed floor in force at `now_ms`, the lowest tier admitted: the higher one of
    /// this instance's own and the view's.
    pub(super) fn floor_at(&self, now_ms: u64) -> Option<Tier> {
        let own = self.floor.filter(|(_, until_ms)| now_ms < *until_ms).map(|(floor, _)| floor);
        own.max(self.remote_floor)
    }
}

fn overloaded(tier: Tier, wait_ms: f64) -> Refusal {
    let retry_after_ms = (wait_ms as u64).max(RETRY_AFTER_MIN_MS);
    let message = format!("capacity runs short for tier {tier}");
    Refusal::retry(RefusalKind::Overloaded, message, retry_after_ms)
}
