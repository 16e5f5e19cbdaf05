//! Ends attempts: frees slots, and updates speeds, breakers and version observations.

use super::{Running, Scheduler};
use crate::endpoint::BLOCK_TOKENS;
use crate::work::Speed;
use crate::{Decision, EndpointKey, JobKey, Outcome};
use lycheehub_control::moves::{Observation, ObservationKey};

impl Scheduler {
    /// Ends a request and dispatches waiting requests to the slot that it frees.
    pub fn finish(&mut self, now_ms: u64, key: JobKey, outcome: Outcome) -> Vec<Decision> {
        let Some(state) = self.jobs.get_mut(key) else { return Vec::new() };
        let service = state.job.service.clone();
        let Some(running) = state.running.take() else {
            return self.cancel(now_ms, key);
        };
        self.free_slot(key, &running);
        if matches!(outcome, Outcome::Answered { .. }) {
            self.record_answered(now_ms, key, &running);
        }
        self.record_outcome(now_ms, key, &running, outcome);
        self.jobs.remove(key);
        let mut decisions = Vec::new();
        self.dispatch_waiting(now_ms, &service, &mut decisions);
        decisions
    }

    /// Removes a waiting request whose caller disconnected.
    fn cancel(&mut self, now_ms: u64, key: JobKey) -> Vec<Decision> {
        let Some(state) = self.jobs.remove(key) else { return Vec::new() };
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&state.job.service) {
            pool.queue.remove(key, state.job.tier, &state.job.account);
        }
        self.dispatch_waiting(now_ms, &state.job.service, &mut decisions);
        decisions
    }

    /// Frees the slot of an attempt that is to be retried; returns the attempt's endpoint.
    ///
    /// The failure counts against the endpoint, and if the request may have run, also against the
    /// version.
    pub(super) fn release(&mut self, now_ms: u64, key: JobKey, ran: bool) -> Option<EndpointKey> {
        let running = self.jobs.get_mut(key)?.running.take()?;
        self.free_slot(key, &running);
        if ran {
            self.record_outcome(now_ms, key, &running, Outcome::Failed);
        } else if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.breaker.record_failure(now_ms);
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

    fn record_outcome(&mut self, now_ms: u64, key: JobKey, running: &Running, outcome: Outcome) {
        let Some(state) = self.jobs.get(key) else { return };
        let job = &state.job;
        let Some(pool) = self.pools.get_mut(&job.service) else { return };
        let observation = match outcome {
            Outcome::Cancelled => return,
            Outcome::Failed => {
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.breaker.record_failure(now_ms);
                }
                Observation::failure()
            }
            Outcome::Answered { tokens, first_token_ms, total_ms } => {
                pool.length_ratio.learn(job.max_tokens, tokens);
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.breaker.record_success();
                    let prompt =
                        PromptTokens { total: job.prompt_tokens, prefill: running.prefill_tokens };
                    if prompt.missed_cache(&endpoint.speed, first_token_ms) {
                        endpoint.prefix.remove(&job.prefix);
                    } else if prompt.is_speed_sample() {
                        let hardware = endpoint.record.hardware.clone();
                        let hardware_speed = pool.speed_by_hardware.entry(hardware).or_default();
                        for speed in [&mut endpoint.speed, &mut pool.speed, hardware_speed] {
                            speed.learn(prompt.prefill, tokens, first_token_ms, total_ms);
                        }
                    }
                }
                observation_of(tokens, first_token_ms, total_ms)
            }
        };
        let key = ObservationKey {
            service: job.service.clone(),
            version: running.version.clone(),
            route: job.route.clone(),
        };
        let trip = pool.split.observe(&job.route, &running.version, observation);
        self.trips.extend(trip);
        *self.observations.entry(key).or_default() += observation;
    }
}

/// The number of tokens of a prompt, and how many of them were expected to need prefill.
struct PromptTokens {
    total: u64,
    prefill: u64,
}

impl PromptTokens {
    /// Returns whether the first token came as late as if little of the prompt had been cached.
    fn missed_cache(&self, speed: &Speed, first_token_ms: Option<f64>) -> bool {
        const CACHED_MIN: u64 = 2 * BLOCK_TOKENS;
        const MISS_RATIO: f64 = 0.7;
        let cached = self.total - self.prefill.min(self.total);
        let whole_ms = speed.request_ms(self.total, 0);
        cached >= CACHED_MIN
            && first_token_ms.is_some_and(|first_ms| first_ms > MISS_RATIO * whole_ms)
    }

    /// Returns whether the attempt can be used to learn the speed.
    ///
    /// If part of the prompt was expected to be cached, the actual prefill length is uncertain, so
    /// the time to the first token does not measure the speed.
    fn is_speed_sample(&self) -> bool {
        self.prefill == self.total
    }
}

/// Returns the observation of a complete answer: the mean time between tokens of a stream, or the
/// total time per token of an answer that was not streamed.
fn observation_of(tokens: u64, first_token_ms: Option<f64>, total_ms: f64) -> Observation {
    match first_token_ms {
        Some(first_token_ms) if tokens > 1 => {
            Observation::success((total_ms - first_token_ms) / (tokens - 1) as f64)
        }
        _ => Observation::success(total_ms / tokens.max(1) as f64),
    }
}
