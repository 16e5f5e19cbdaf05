//! Dispatches waiting requests while endpoints have free slots, and retries failed attempts.

use super::{Running, Scheduler};
use crate::{Assignment, Decision, JobKey};
use lycheehub_dispatch::crashes::EndpointStart;
use lycheehub_types::{Refusal, RefusalKind, ServiceName};

/// The maximum number of attempts of one request, including the first.
const ATTEMPTS_MAX: usize = 3;

impl Scheduler {
    /// Dispatches waiting requests, highest tier first, until no endpoint is open to the next one.
    pub(super) fn dispatch_waiting(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        decisions: &mut Vec<Decision>,
    ) {
        loop {
            let Some(pool) = self.pools.get(service) else { return };
            let Some(key) = pool.queue.peek() else { return };
            let Some(assignment) = self.choose(now_ms, key) else { return };
            self.start(now_ms, service, key, &assignment);
            decisions.push(Decision::Dispatch(key, assignment));
        }
    }

    fn start(&mut self, now_ms: u64, service: &ServiceName, key: JobKey, assignment: &Assignment) {
        let Some(state) = self.jobs.get_mut(key) else { return };
        let Some(pool) = self.pools.get_mut(service) else { return };
        let Some(endpoint) = self.endpoints.get_mut(assignment.endpoint) else { return };
        let job = &state.job;
        pool.queue.dequeue(key, job.tier, &job.account);
        pool.split.record_dispatch(&job.route, &assignment.version);
        let cached_tokens = endpoint.prefix.cached_tokens(now_ms, &job.prefix);
        let prefill_tokens = job.prompt_tokens.saturating_sub(cached_tokens);
        endpoint.prefix.record(now_ms, &job.prefix);
        endpoint.in_flight[usize::from(job.tier.rank())] += 1;
        let version = assignment.version.clone();
        let (name, incarnation) = (assignment.name.clone(), endpoint.record.incarnation);
        let trials = self.crashes.service(service).record_sent(now_ms, &state.content);
        state.running = Some(Running {
            endpoint: assignment.endpoint,
            version,
            start: EndpointStart { endpoint: name, incarnation },
            since_ms: now_ms,
            trials,
            prefill_tokens,
        });
    }

    /// Ends a failed attempt, and retries the request at another endpoint within the retry budget.
    ///
    /// `progress_tokens` is `None` if the request did not run. Otherwise it is the number of tokens
    /// already relayed to the caller; the next attempt continues after them.
    pub fn retry(
        &mut self,
        now_ms: u64,
        key: JobKey,
        progress_tokens: Option<u64>,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(endpoint) = self.release(now_ms, key, progress_tokens.is_some()) else {
            return decisions;
        };
        let relayed_tokens = progress_tokens.unwrap_or(0);
        let excluded = self.endpoints.get(endpoint).map(|known| known.record.endpoint.clone());
        let Some(state) = self.jobs.get_mut(key) else { return decisions };
        state.excluded.extend(excluded);
        state.job.max_tokens = state.job.max_tokens.saturating_sub(relayed_tokens);
        let attempts = state.excluded.len();
        let job = state.job.clone();
        let Some(pool) = self.pools.get_mut(&job.service) else { return decisions };
        let has_alternative =
            pool.endpoints.iter().filter_map(|key| self.endpoints.get(*key)).any(|known| {
                known.is_live(now_ms) && !state.excluded.contains(&known.record.endpoint)
            });
        if attempts >= ATTEMPTS_MAX || !has_alternative || !pool.retry_budget.try_withdraw() {
            let work_ms = pool.work_ms(&job);
            self.jobs.remove(key);
            let message = "endpoints cannot be reached";
            let refusal =
                Refusal::retry(RefusalKind::NoEndpoint, message, (work_ms as u64).max(1_000));
            decisions.push(Decision::Refuse(key, refusal));
        } else if let Some(refusal) = self.crash_refusal(now_ms, key, true) {
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, refusal));
        } else if let Some(pool) = self.pools.get_mut(&job.service) {
            let work_ms = pool.work_ms(&job);
            pool.queue.push_front(key, job.tier, &job.account, job.weight, work_ms);
        }
        self.dispatch_waiting(now_ms, &job.service, &mut decisions);
        decisions
    }
}
