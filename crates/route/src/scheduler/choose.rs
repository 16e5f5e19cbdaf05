//! Endpoint choice.

use super::Scheduler;
use crate::endpoint::BLOCK_TOKENS;
use crate::{Assignment, Candidate, EndpointKey, JobKey, Policy};
use lycheehub_types::Version;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many endpoints are drawn for comparison, besides the one with the longest cached prefix and
/// the prefix's home.
const DRAWN: usize = 2;
/// How much of a prompt's prefix is taken to be cached at its home, where other instances send it
/// too, in thousandths.
const HOME_CACHED_PERMILLE: u64 = 500;
/// How many leading blocks decide a prompt's home.
const HOME_BLOCKS: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Scored {
    endpoint: EndpointKey,
    score_ms: f64,
    cached_tokens: u64,
}

impl Scheduler {
    /// Chooses an endpoint for a request that waits, if one is open to it.
    pub(super) fn choose(&mut self, now_ms: u64, key: JobKey) -> Option<Assignment> {
        let state = self.jobs.get(key)?;
        let pool = self.pools.get(&state.job.service)?;
        let preference = pool.versions.prefer(&state.job.route)?;
        let mut open = self.open_endpoints(now_ms, key, &preference.first);
        if open.is_empty()
            && let Some(second) = &preference.second
        {
            open = self.open_endpoints(now_ms, key, second);
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
        let (compared, reason) = match self.options.policy {
            Policy::ExpectedTime => (self.draw(now_ms, key, open), "least expected time"),
            Policy::Random => (vec![open[self.rng.random_range(0..open.len())]], "random"),
            Policy::RoundRobin => (vec![self.next_in_turn(key, open)?], "in turn"),
            Policy::LeastInFlight => (vec![self.least_in_flight(open)?], "least in flight"),
        };
        let home = self.home(key, &self.pools.get(&self.jobs.get(key)?.job.service)?.endpoints);
        let score = |endpoint| self.score(now_ms, key, endpoint, home == Some(endpoint));
        let scored: Vec<Scored> = compared.into_iter().filter_map(score).collect();
        let best = scored.iter().min_by(|a, b| a.score_ms.total_cmp(&b.score_ms))?.endpoint;
        let endpoint = self.endpoints.get(best)?;
        let state = self.jobs.get(key)?;
        Some(Assignment {
            endpoint: best,
            name: endpoint.record.endpoint.clone(),
            address: endpoint.record.address.clone(),
            version: endpoint.record.version.clone(),
            candidates: scored.iter().filter_map(|scored| self.describe(scored)).collect(),
            reason,
            waited_ms: now_ms.saturating_sub(state.queued_ms),
        })
    }

    /// Returns the endpoints of a version that may take the request now.
    ///
    /// A version with a small share gets only as many endpoints as that share fills, so that each
    /// carries the load that it will have after the move.
    fn open_endpoints(&self, now_ms: u64, key: JobKey, version: &Version) -> Vec<EndpointKey> {
        let Some(state) = self.jobs.get(key) else { return Vec::new() };
        let Some(pool) = self.pools.get(&state.job.service) else { return Vec::new() };
        let serves = |key: &&EndpointKey| {
            self.endpoints.get(**key).is_some_and(|endpoint| {
                endpoint.record.version == *version && endpoint.is_live(now_ms)
            })
        };
        let mut serving: Vec<EndpointKey> = pool.endpoints.iter().filter(serves).copied().collect();
        if let Some((candidate, share_permille)) = pool.versions.candidate()
            && candidate == version
        {
            let filled = (serving.len() * share_permille as usize).div_ceil(1_000);
            serving.truncate(filled.max(1));
        }
        let open = |key: &EndpointKey| {
            self.endpoints.get(*key).is_some_and(|endpoint| {
                endpoint.is_open(now_ms) && !state.excluded.contains(&endpoint.record.endpoint)
            })
        };
        serving.retain(open);
        serving
    }

    fn draw(&mut self, now_ms: u64, key: JobKey, open: &[EndpointKey]) -> Vec<EndpointKey> {
        let mut drawn = Vec::with_capacity(DRAWN + 1);
        for _ in 0..DRAWN {
            let endpoint = open[self.rng.random_range(0..open.len())];
            if !drawn.contains(&endpoint) {
                drawn.push(endpoint);
            }
        }
        let Some(state) = self.jobs.get(key) else { return drawn };
        let cached = |endpoint: &EndpointKey| {
            let known = self.endpoints.get(*endpoint);
            known.map_or(0, |known| known.prefix.cached_tokens(now_ms, &state.job.prefix))
        };
        let nearest = open.iter().copied().max_by_key(cached);
        if let Some(nearest) = nearest
            && cached(&nearest) > 0
            && !drawn.contains(&nearest)
        {
            drawn.push(nearest);
        }
        if let Some(home) = self.home(key, open)
            && !drawn.contains(&home)
        {
            drawn.push(home);
        }
        drawn
    }

    /// Returns the endpoint that all instances prefer for a prompt's beginning, without a word
    /// between them: the highest by a hash of both.
    fn home(&self, key: JobKey, endpoints: &[EndpointKey]) -> Option<EndpointKey> {
        let prefix = &self.jobs.get(key)?.job.prefix;
        let beginning = *prefix.get(..HOME_BLOCKS)?.last()?;
        let rank = |endpoint: &EndpointKey| {
            let name = self.endpoints.get(*endpoint).map(|known| known.record.endpoint.as_str());
            xxh3_64_with_seed(name.unwrap_or("").as_bytes(), beginning)
        };
        endpoints.iter().copied().max_by_key(rank)
    }

    fn next_in_turn(&mut self, key: JobKey, open: &[EndpointKey]) -> Option<EndpointKey> {
        let service = &self.jobs.get(key)?.job.service;
        let pool = self.pools.get_mut(service)?;
        pool.next_in_turn += 1;
        open.get(pool.next_in_turn % open.len()).copied()
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
        is_home: bool,
    ) -> Option<Scored> {
        let job = &self.jobs.get(key)?.job;
        let known = self.endpoints.get(endpoint)?;
        let lengths = self.pools.get(&job.service)?.lengths;
        let believed = known.prefix.cached_tokens(now_ms, &job.prefix);
        let at_home = if is_home {
            job.prefix.len() as u64 * BLOCK_TOKENS * HOME_CACHED_PERMILLE / 1_000
        } else {
            0
        };
        let cached_tokens = believed.max(at_home).min(job.prompt_tokens);
        let tokens = lengths.expected_tokens(job.max_tokens);
        let score_ms = known.expected_ms(job.prompt_tokens, cached_tokens, tokens);
        Some(Scored { endpoint, score_ms, cached_tokens })
    }

    fn describe(&self, scored: &Scored) -> Option<Candidate> {
        let endpoint = self.endpoints.get(scored.endpoint)?;
        Some(Candidate {
            name: endpoint.record.endpoint.clone(),
            score_ms: scored.score_ms as u64,
            cached_tokens: scored.cached_tokens,
            in_flight: endpoint.in_flight(),
        })
    }
}
