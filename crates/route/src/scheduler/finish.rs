//! The end of requests: slots come free, speeds and versions are learned of.

use super::{Running, Scheduler};
use crate::endpoint::BLOCK_TOKENS;
use crate::work::Speed;
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
                pool.lengths.learn(job.max_tokens, tokens);
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.breaker.answered();
                    let prompt =
                        Prompt { tokens: job.prompt_tokens, prefill: running.prefill_tokens };
                    if prompt.was_misjudged(&endpoint.speed, first_token_ms) {
                        endpoint.prefix.forget(&job.prefix);
                    } else if prompt.tells_speed() {
                        let hardware = endpoint.record.hardware.clone();
                        let hardware = pool.hardware.entry(hardware).or_default();
                        for speed in [&mut endpoint.speed, &mut pool.speed, hardware] {
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
        let trip = pool.versions.observe(&job.route, &running.version, observation);
        self.trips.extend(trip);
        *self.observations.entry(key).or_default() += observation;
    }
}

/// A prompt, and how much of it was taken to need prefill.
struct Prompt {
    tokens: u64,
    prefill: u64,
}

impl Prompt {
    /// Tells whether the first token came as late as if little of the prompt had been cached.
    fn was_misjudged(&self, speed: &Speed, first_token_ms: Option<f64>) -> bool {
        const CACHED_MIN: u64 = 2 * BLOCK_TOKENS;
        const MISJUDGED: f64 = 0.7;
        let cached = self.tokens - self.prefill.min(self.tokens);
        let whole_ms = speed.request_ms(self.tokens, 0);
        cached >= CACHED_MIN
            && first_token_ms.is_some_and(|first_ms| first_ms > MISJUDGED * whole_ms)
    }

    /// What was believed to be cached makes the time of the first token a bad measure of speed.
    fn tells_speed(&self) -> bool {
        self.prefill == self.tokens
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
