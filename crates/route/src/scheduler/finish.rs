//! The end of requests: slots come free, speeds and versions are learned of.

use super::{Running, Scheduler};
use crate::{Decision, EndpointKey, JobKey, Outcome};
use lycheehub_control::moves::{Observation, ObservationKey};

impl Scheduler {
    /// Ends a request that ran, and dispatches what waited for its slot.
    pub fn finish(&mut self, now_ms: u64, key: JobKey, outcome: Outcome) -> Vec<Decision> {
        let Some(state) = self.jobs.get_mut(key) else { return Vec::new() };
        let service = state.job.service.clone();
        let Some(running) = state.running.take() else {
            return self.cancel(now_ms, key);
        };
        self.free_slot(key, &running);
        self.learn(now_ms, key, &running, outcome);
        self.jobs.remove(key);
        let mut decisions = Vec::new();
        self.dispatch_waiting(now_ms, &service, &mut decisions);
        decisions
    }

    /// Forgets a request whose caller left while it waited.
    fn cancel(&mut self, now_ms: u64, key: JobKey) -> Vec<Decision> {
        let Some(state) = self.jobs.remove(key) else { return Vec::new() };
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&state.job.service) {
            pool.queue.remove(key, state.job.tier, &state.job.account);
        }
        self.dispatch_waiting(now_ms, &state.job.service, &mut decisions);
        decisions
    }

    /// Frees the slot of a request that goes back to the queue; returns its endpoint.
    ///
    /// Where the request may have run, its failure counts against the endpoint and the version.
    pub(super) fn release(&mut self, now_ms: u64, key: JobKey, ran: bool) -> Option<EndpointKey> {
        let running = self.jobs.get_mut(key)?.running.take()?;
        self.free_slot(key, &running);
        if ran {
            self.learn(now_ms, key, &running, Outcome::Failed);
        } else if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.breaker.failed(now_ms);
        }
        Some(running.endpoint)
    }

    fn free_slot(&mut self, key: JobKey, running: &Running) {
        let Some(state) = self.jobs.get(key) else { return };
        let rank = usize::from(state.job.tier.rank());
        if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.in_flight[rank] = endpoint.in_flight[rank].saturating_sub(1);
        }
    }

    fn learn(&mut self, now_ms: u64, key: JobKey, running: &Running, outcome: Outcome) {
        let Some(state) = self.jobs.get(key) else { return };
        let job = &state.job;
        let Some(pool) = self.pools.get_mut(&job.service) else { return };
        let observation = match outcome {
            Outcome::Cancelled => return,
            Outcome::Failed => {
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.breaker.failed(now_ms);
                }
                Observation::failure()
            }
            Outcome::Answered { tokens, first_token_ms, total_ms } => {
                let prefill = running.prefill_tokens;
                pool.lengths.learn(job.max_tokens, tokens);
                pool.speed.learn(prefill, tokens, first_token_ms, total_ms);
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.breaker.answered();
                    endpoint.speed.learn(prefill, tokens, first_token_ms, total_ms);
                    let hardware = endpoint.record.hardware.clone();
                    let hardware = pool.hardware.entry(hardware).or_default();
                    hardware.learn(prefill, tokens, first_token_ms, total_ms);
                }
                observation_of(tokens, first_token_ms, total_ms)
            }
        };
        let key = ObservationKey {
            service: job.service.clone(),
            version: running.version.clone(),
            route: job.route.clone(),
        };
        let trip = pool.versions.observe(&job.route, &running.version, observation);
        self.trips.extend(trip);
        *self.observations.entry(key).or_default() += observation;
    }
}

/// A stream is timed between its tokens; an answer that came whole, over all of its tokens.
fn observation_of(tokens: u64, first_token_ms: Option<f64>, total_ms: f64) -> Observation {
    match first_token_ms {
        Some(first_token_ms) if tokens > 1 => {
            Observation::success((total_ms - first_token_ms) / (tokens - 1) as f64)
        }
        _ => Observation::success(total_ms / tokens.max(1) as f64),
    }
}
