//! The state of endpoints: the load placed on them, their speed and their health.

mod health;
mod notices;
mod pauses;
mod prefix_cache;
mod rate_limit;
mod reach;
mod room;
mod speed;
mod statement;
mod warmth;

pub use health::Health;
pub use notices::{Limit, Notice, Notices};
pub use pauses::{Prefill, StreamPauses};
pub use prefix_cache::PrefixCache;
pub use rate_limit::{Pace, RateLimit, StatedLimit};
pub use reach::Reach;
pub use room::{Room, is_current, is_on_the_way, on_the_way_max};
pub use speed::Speed;
pub use statement::{LimitKind, Statement};
pub use warmth::Warmth;

use crate::job::{Job, JobId, Outcome};
use crate::queue::Classes;
use lycheehub_types::{EndpointName, EndpointRecord};
use std::collections::BTreeMap;

/// The most tokens that a job can occupy: those of the longest prompt and the longest response.
const JOB_TOKENS_MAX: u64 = 2 * u32::MAX as u64;

/// How many tokens of prompts an endpoint prefills between two tokens of a stream, as engines usually do.
const PREFILL_CHUNK_TOKENS: u32 = 2_048;

slotmap::new_key_type! {
    /// The key of an endpoint in the dispatcher's arena.
    pub struct EndpointKey;
}

/// A request running on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// The tokens that the request occupies in the endpoint's memory.
    pub memory_tokens: u64,
    /// The expected time from placing the request to its first byte, in milliseconds.
    pub expected_ms: f64,
    /// The estimated speed of the endpoint from which this was expected.
    pub speed: Speed,
    /// When the request was placed, in milliseconds.
    pub since_ms: u64,
    /// Whether the endpoint was cold then, so that its speed says nothing about later requests.
    pub is_cold: bool,
    /// The pauses of its stream, if they are limited.
    pub pauses: Option<StreamPauses>,
}

/// What follows from placing a request on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    /// The expected time to its first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// How many streams on the endpoint become late by a pause.
    pub streams_made_late: usize,
}

/// The memory of an endpoint is kept for the large jobs of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The tier of the jobs.
    pub tier: u8,
    /// Their rank within the tier.
    pub rank: u8,
    /// The classes of their sizes.
    pub classes: Classes,
    /// Until when it is kept, in milliseconds.
    pub until_ms: u64,
}

/// The state of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The record that the endpoint announced.
    pub record: EndpointRecord,
    /// The endpoint announced in a response that it is leaving.
    pub announced_leaving: bool,
    /// The failure domain of the endpoint is evacuated.
    pub is_evacuated: bool,
    /// Whether the endpoint is cold, and the pace of its requests meanwhile.
    pub warmth: Warmth,
    /// The maximum number of requests that this dispatcher may run on the endpoint.
    pub slot_limit: usize,
    /// The same number while the endpoint fails by rejecting too many requests: those that it runs at
    /// once, without any that wait there.
    pub sparing_slot_limit: usize,
    /// The memory for prompts and responses, in tokens; `None` if it is unlimited or unknown.
    pub memory_tokens: Option<u64>,
    /// The number of tokens per event of a stream.
    pub tokens_per_event: u32,
    /// The requests that are placed on the endpoint and have not ended.
    pub running: BTreeMap<JobId, Running>,
    /// The memory occupied by the running requests, in tokens.
    pub used_tokens: u64,
    /// For whom the memory is kept, if a large job found no room.
    pub reservation: Option<Reservation>,
    /// When the endpoint will have prefilled the prompts placed on it, in milliseconds.
    pub prefill_until_ms: f64,
    /// The estimated speed.
    pub speed: Speed,
    /// The failure state.
    pub health: Health,
    /// The instances that did not reach the endpoint.
    pub reach: Reach,
    /// The room of the endpoint, if it fails by rejecting too many requests.
    pub room: Room,
    /// The prompt parts that the endpoint has probably cached.
    pub prefix_cache: PrefixCache,
}

impl Endpoint {
    /// Creates an endpoint from its record, without load or failures.
    pub fn new(record: EndpointRecord, memory_tokens: Option<u64>, speed: Speed) -> Self {
        Self {
            slot_limit: record.slots as usize,
            sparing_slot_limit: record.slots as usize,
            record,
            announced_leaving: false,
            is_evacuated: false,
            warmth: Warmth::default(),
            memory_tokens,
            tokens_per_event: 1,
            running: BTreeMap::new(),
            used_tokens: 0,
            reservation: None,
            prefill_until_ms: 0.0,
            speed,
            health: Health::default(),
            reach: Reach::default(),
            room: Room::default(),
            prefix_cache: PrefixCache::default(),
        }
    }

    /// Returns the name of the endpoint.
    pub fn name(&self) -> &EndpointName {
        &self.record.endpoint
    }

    /// Returns whether the endpoint permanently accepts no new requests.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.announced_leaving
    }

    /// Returns whether the endpoint may be sent new requests at all: it neither leaves nor is its failure
    /// domain evacuated.
    pub fn takes_requests(&self) -> bool {
        !self.is_leaving() && !self.is_evacuated
    }

    /// Returns the number of requests that this dispatcher may run on the endpoint given its
    /// health.
    pub fn usable_slots(&self, now_ms: u64) -> usize {
        if !self.health.is_available(now_ms) {
            0
        } else if self.health.is_on_probation(now_ms) {
            self.slot_limit.min(1)
        } else {
            self.slot_limit
        }
    }

    /// Returns whether the endpoint accepts `job` now.
    pub fn accepts(&self, now_ms: u64, job: &Job) -> bool {
        self.takes_requests()
            && self.running.len() < self.usable_slots(now_ms)
            && self.has_memory_for(job)
            && !job.tried.contains(&self.record.endpoint)
    }

    /// Returns how much of the memory this dispatcher may use: the part of the slots that it may use.
    fn memory_limit(&self) -> Option<u64> {
        let slots = u128::from(self.record.slots.max(1));
        let limit = |tokens: u64| u128::from(tokens) * slots.min(self.slot_limit as u128) / slots;
        self.memory_tokens.map(|tokens| u64::try_from(limit(tokens)).unwrap_or(u64::MAX))
    }

    /// Returns whether a job fits into the free memory; an idle endpoint accepts any job.
    pub fn has_memory_for(&self, job: &Job) -> bool {
        let Some(memory_tokens) = self.memory_limit() else { return true };
        self.running.is_empty() || self.used_tokens + memory_tokens_of(job) <= memory_tokens
    }

    /// Returns the part of its memory that this dispatcher may still use, in tokens; `None` if it is
    /// unlimited or unknown.
    pub fn free_memory_tokens(&self) -> Option<u64> {
        self.memory_limit().map(|limit| limit.saturating_sub(self.used_tokens))
    }

    /// Returns how many tokens of the prompt of `job` the endpoint has to prefill.
    fn prefill_tokens(&self, job: &Job) -> u32 {
        job.prompt_tokens.saturating_sub(self.prefix_cache.cached_tokens(&job.prefix))
    }

    /// Returns the expected time to the first byte of `job`, in milliseconds from now.
    pub fn first_byte_ms(&self, now_ms: u64, job: &Job) -> f64 {
        let waits_ms = (self.prefill_until_ms - now_ms as f64).max(0.0);
        waits_ms + self.speed.prefill_ms(self.prefill_tokens(job)) + self.queue_ms()
    }

    /// Returns the probability, from 0 to 1, that a response of about `events` events is not
    /// finished within `left_ms` if its first event arrives after `first_byte_ms`.
    pub fn overrun_probability(&self, first_byte_ms: f64, events: f64, left_ms: u64) -> f64 {
        // In nine of ten cases, the expected length is correct to within a factor of 1.8.
        const STEEPNESS: i32 = 4;
        if events == 0.0 {
            return 0.0;
        }
        let left_ms = left_ms as f64 - first_byte_ms;
        let room = left_ms.max(0.0) / self.speed.events_ms(events).max(1.0);
        1.0 / (1.0 + room.powi(STEEPNESS))
    }

    /// Returns the expected wait behind running requests that are not streams, in milliseconds.
    fn queue_ms(&self) -> f64 {
        self.speed.response_ms() * (self.running.len() as f64 / f64::from(self.record.slots.max(1)))
    }

    /// Returns when the endpoint will have prefilled the prompts placed on it and that of `job`, in
    /// milliseconds.
    fn prefill_ends_ms(&self, now_ms: u64, job: &Job) -> f64 {
        let prefill_ms = self.speed.prefill_ms(self.prefill_tokens(job));
        self.prefill_until_ms.max(now_ms as f64) + prefill_ms
    }

    /// Returns what the endpoint is at work on if `job` is placed there.
    fn prefill_with(&self, now_ms: u64, job: &Job) -> Prefill {
        let per_event = PREFILL_CHUNK_TOKENS.saturating_mul(self.tokens_per_event);
        Prefill {
            now_ms,
            ends_ms: self.prefill_ends_ms(now_ms, job),
            event_ms: self.speed.events_ms(1.0),
            most_per_event_ms: self.speed.prefill_ms(per_event),
        }
    }

    /// Returns how many streams that run on the endpoint are on time so far and would be late by a pause
    /// if `job` was placed there.
    pub fn streams_made_late(&self, now_ms: u64, job: &Job) -> usize {
        let prefill = self.prefill_with(now_ms, job);
        let pauses = self.running.values().filter_map(|running| running.pauses);
        pauses.filter(|pauses| pauses.becomes_late(prefill)).count()
    }

    /// Records that `job` was placed on the endpoint; its pauses are limited to `pause_ms`, if they are.
    pub fn begin(&mut self, now_ms: u64, job: &Job, pause_ms: Option<u64>) -> Begun {
        let expected_ms = self.first_byte_ms(now_ms, job);
        let prefill = self.prefill_with(now_ms, job);
        self.prefill_until_ms = prefill.ends_ms;
        let pauses = self.running.values_mut().filter_map(|running| running.pauses.as_mut());
        let became_late = pauses.map(|pauses| pauses.record(prefill));
        let streams_made_late = became_late.filter(|became_late| *became_late).count();
        self.prefix_cache.record(&job.prefix);
        self.add(
            job.job_id,
            Running {
                memory_tokens: memory_tokens_of(job),
                expected_ms,
                speed: self.speed,
                since_ms: now_ms,
                is_cold: self.warmth.is_cold(now_ms),
                pauses: pause_ms.map(|limit_ms| StreamPauses::new(prefill.ends_ms, limit_ms)),
            },
        );
        Begun { first_byte_ms: expected_ms, streams_made_late }
    }

    /// Ends the reservation for a rank, as a job of the rank was placed.
    pub fn end_reservation(&mut self, tier: u8, rank: u8) {
        self.reservation.take_if(|known| (known.tier, known.rank) == (tier, rank));
    }

    /// Records a request that another dispatcher placed on the endpoint at `since_ms`.
    pub fn add_external(&mut self, since_ms: u64, job_id: JobId, memory_tokens: u64) {
        let memory_tokens = memory_tokens.min(JOB_TOKENS_MAX);
        let is_cold = self.warmth.is_cold(since_ms);
        let running = Running {
            memory_tokens,
            expected_ms: 0.0,
            speed: self.speed,
            since_ms,
            is_cold,
            pauses: None,
        };
        self.add(job_id, running);
    }

    fn add(&mut self, job_id: JobId, running: Running) {
        self.used_tokens += running.memory_tokens;
        if let Some(before) = self.running.insert(job_id, running) {
            self.used_tokens -= before.memory_tokens;
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, job_id: JobId) -> Option<Running> {
        let running = self.running.remove(&job_id)?;
        self.used_tokens -= running.memory_tokens;
        Some(running)
    }
}

/// Returns the tokens that a job occupies in an endpoint's memory.
fn memory_tokens_of(job: &Job) -> u64 {
    u64::from(job.prompt_tokens) + u64::from(job.output_tokens)
}

/// Returns whether an outcome is a failure of the endpoint; `None` if it says nothing about it.
pub fn is_failure(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Answered => Some(false),
        Outcome::Failed | Outcome::Rejected | Outcome::Broken | Outcome::NotConnected => Some(true),
        Outcome::Misdirected | Outcome::Abandoned => None,
    }
}
