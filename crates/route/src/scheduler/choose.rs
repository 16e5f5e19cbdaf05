//! Endpoint choice: samples a few open endpoints and takes the one with the least expected time.

use super::Scheduler;
use crate::endpoint::BLOCK_TOKENS;
use crate::{Assignment, Candidate, EndpointKey, JobKey, Policy};
use lycheehub_types::Version;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many endpoints are sampled at random, besides the one with the longest cached prefix and the
/// prefix's affinity endpoint.
const RANDOM_SAMPLES: usize = 2;
/// The part of a prompt's prefix that is assumed to be cached at its affinity endpoint, where other
/// instances send it too, in thousandths.
const AFFINITY_CACHED_PERMILLE: u64 = 500;
/// How many leading blocks determine a prompt's affinity endpoint.
const AFFINITY_BLOCKS: usize = 4;

/// An endpoint with its expected time for the request.
#[derive(Clone, Copy, Debug)]
struct ScoredEndpoint {
    endpoint: EndpointKey,
    score_ms: f64,
    cached_tokens: u64,
}

impl Scheduler {
    /// Chooses an endpoint for a waiting request; returns `None` if no endpoint is open to it.
    pub(super) fn choose(&mut self, now_ms: u64, key: JobKey) -> Option<Assignment> {
        let state = self.jobs.get(key)?;
        let pool = self.pools.get(&state.job.service)?;
        let preference = pool.split.preference(&state.job.route)?;
        let mut open = self.open_endpoints(now_ms, key, &preference.preferred);
        if open.is_empty()
            && let Some(fallback) = &preference.fallback
        {
            open = self.open_endpoints(now_ms, key, fallback);
        }
        self.choose_among(now_ms, key, &open)
    }

    fn choose_among(
        &mut self,
        now_ms: u64,
        key: JobKey,
        open: &[EndpointKey],
    ) -> Option<Assignment> {
        if open.is_empty() {
            return None;
        }
        let (considered, reason) = match self.options.policy {
            Policy::ExpectedTime => {
                let in_time = self.endpoints_in_time(now_ms, key, open);
                (self.sample_endpoints(now_ms, key, &in_time), "least expected time")
            }
            Policy::Random => (vec![open[self.rng.random_range(0..open.len())]], "random"),
            Policy::RoundRobin => (vec![self.round_robin(key, open)?], "in turn"),
            Policy::LeastInFlight => (vec![self.least_in_flight(open)?], "least in flight"),
        };
        let affinity = self
            .affinity_endpoint(key, &self.pools.get(&self.jobs.get(key)?.job.service)?.endpoints);
        let score = |endpoint| self.score(now_ms, key, endpoint, affinity == Some(endpoint));
        let scored: Vec<ScoredEndpoint> = considered.into_iter().filter_map(score).collect();
        let best = scored.iter().min_by(|a, b| a.score_ms.total_cmp(&b.score_ms))?.endpoint;
        let endpoint = self.endpoints.get(best)?;
        let state = self.jobs.get(key)?;
        Some(Assignment {
            endpoint: best,
            name: endpoint.record.endpoint.clone(),
            address: endpoint.record.address.clone(),
            version: endpoint.record.version.clone(),
            candidates: scored.iter().filter_map(|scored| self.candidate(scored)).collect(),
            reason,
            waited_ms: now_ms.saturating_sub(state.queued_ms),
        })
    }

    /// Returns the endpoints of a version that may receive the request now.
    ///
    /// A candidate version uses only the part of its endpoints that equals its share of traffic, so
    /// that each of them carries the load that it will have after the move.
    fn open_endpoints(&self, now_ms: u64, key: JobKey, version: &Version) -> Vec<EndpointKey> {
        let Some(state) = self.jobs.get(key) else { return Vec::new() };
        let Some(pool) = self.pools.get(&state.job.service) else { return Vec::new() };
        let serves = |key: &&EndpointKey| {
            self.endpoints.get(**key).is_some_and(|endpoint| {
                endpoint.record.version == *version && endpoint.is_live(now_ms)
            })
        };
        let mut serving: Vec<EndpointKey> = pool.endpoints.iter().filter(serves).copied().collect();
        if let Some((candidate, share_permille)) = pool.split.candidate()
            && candidate == version
        {
            let used = (serving.len() * share_permille as usize).div_ceil(1_000);
            serving.truncate(used.max(1));
        }
        let open = |key: &EndpointKey| {
            self.endpoints.get(*key).is_some_and(|endpoint| {
                endpoint.is_open(now_ms) && !state.excluded.contains(&endpoint.record.endpoint)
            })
        };
        serving.retain(open);
        serving
    }

    /// Returns the open endpoints that are expected to end the request by its deadline; all open ones if
    /// none is.
    fn endpoints_in_time(
        &self,
        now_ms: u64,
        key: JobKey,
        open: &[EndpointKey],
    ) -> Vec<EndpointKey> {
        let Some(state) = self.jobs.get(key) else { return open.to_vec() };
        let Some(pool) = self.pools.get(&state.job.service) else { return open.to_vec() };
        let tokens = pool.length_ratio.expected_tokens(state.job.max_tokens);
        let left_ms = state.job.deadline_ms.saturating_sub(now_ms) as f64;
        let ends_in_time = |key: &&EndpointKey| {
            let known = self.endpoints.get(**key);
            known.is_some_and(|known| {
                known.speed.request_ms(state.job.prompt_tokens, tokens) <= left_ms
            })
        };
        let in_time: Vec<EndpointKey> = open.iter().filter(ends_in_time).copied().collect();
        if in_time.is_empty() { open.to_vec() } else { in_time }
    }

    /// Samples endpoints at random, and adds the one with the longest cached prefix and the
    /// prefix's affinity endpoint.
    fn sample_endpoints(
        &mut self,
        now_ms: u64,
        key: JobKey,
        open: &[EndpointKey],
    ) -> Vec<EndpointKey> {
        let mut sampled = Vec::with_capacity(RANDOM_SAMPLES + 1);
        for _ in 0..RANDOM_SAMPLES {
            let endpoint = open[self.rng.random_range(0..open.len())];
            if !sampled.contains(&endpoint) {
                sampled.push(endpoint);
            }
        }
        let Some(state) = self.jobs.get(key) else { return sampled };
        let cached = |endpoint: &EndpointKey| {
            let known = self.endpoints.get(*endpoint);
            known.map_or(0, |known| known.prefix.cached_tokens(now_ms, &state.job.prefix))
        };
        let longest_cached = open.iter().copied().max_by_key(cached);
        if let Some(longest_cached) = longest_cached
            && cached(&longest_cached) > 0
            && !sampled.contains(&longest_cached)
        {
            sampled.push(longest_cached);
        }
        if let Some(affinity) = self.affinity_endpoint(key, open)
            && !sampled.contains(&affinity)
        {
            sampled.push(affinity);
        }
        sampled
    }

    /// Returns the affinity endpoint of a prompt's leading blocks, chosen by rendezvous hashing.
    ///
    /// All instances choose the same one for the same endpoints, without coordination.
    fn affinity_endpoint(&self, key: JobKey, endpoints: &[EndpointKey]) -> Option<EndpointKey> {
        let prefix = &self.jobs.get(key)?.job.prefix;
        let leading_blocks = *prefix.get(..AFFINITY_BLOCKS)?.last()?;
        let hash = |endpoint: &EndpointKey| {
            let name = self.endpoints.get(*endpoint).map(|known| known.record.endpoint.as_str());
            xxh3_64_with_seed(name.unwrap_or("").as_bytes(), leading_blocks)
        };
        endpoints.iter().copied().max_by_key(hash)
    }

    fn round_robin(&mut self, key: JobKey, open: &[EndpointKey]) -> Option<EndpointKey> {
        let service = &self.jobs.get(key)?.job.service;
        let pool = self.pools.get_mut(service)?;
        pool.round_robin_index += 1;
        open.get(pool.round_robin_index % open.len()).copied()
    }

    fn least_in_flight(&self, open: &[EndpointKey]) -> Option<EndpointKey> {
        let in_flight = |key: &EndpointKey| self.endpoints.get(*key).map(|known| known.in_flight());
        open.iter().copied().min_by_key(in_flight)
    }

    fn score(
        &self,
        now_ms: u64,
        key: JobKey,
        endpoint: EndpointKey,
        is_affinity: bool,
    ) -> Option<ScoredEndpoint> {
        let job = &self.jobs.get(key)?.job;
        let known = self.endpoints.get(endpoint)?;
        let length_ratio = self.pools.get(&job.service)?.length_ratio;
        let estimated = known.prefix.cached_tokens(now_ms, &job.prefix);
        let assumed = if is_affinity {
            job.prefix.len() as u64 * BLOCK_TOKENS * AFFINITY_CACHED_PERMILLE / 1_000
        } else {
            0
        };
        let cached_tokens = estimated.max(assumed).min(job.prompt_tokens);
        let tokens = length_ratio.expected_tokens(job.max_tokens);
        let score_ms = known.expected_ms(job.prompt_tokens, cached_tokens, tokens);
        Some(ScoredEndpoint { endpoint, score_ms, cached_tokens })
    }

    fn candidate(&self, scored: &ScoredEndpoint) -> Option<Candidate> {
        let endpoint = self.endpoints.get(scored.endpoint)?;
        Some(Candidate {
            name: endpoint.record.endpoint.clone(),
            score_ms: scored.score_ms as u64,
            cached_tokens: scored.cached_tokens,
            in_flight: endpoint.in_flight(),
        })
    }
}
