//! What is known of endpoints: their load, as placed here, their speed and their health.

mod health;
mod memory;
mod notices;
mod speed;

pub use health::Health;
pub use memory::PrefixMemory;
pub use notices::{Notice, Notices};
pub use speed::Speed;

use crate::job::{Job, Outcome, Ticket};
use lycheehub_types::{EndpointName, EndpointRecord};
use std::collections::BTreeMap;

slotmap::new_key_type! {
    /// The place of an endpoint in the dispatcher's arena.
    pub struct EndpointKey;
}

/// A request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// The tokens that it takes of the endpoint's memory.
    pub memory_tokens: u64,
    /// When its first byte was expected, in milliseconds after it was placed.
    pub expected_ms: f64,
    /// When it was placed, in milliseconds.
    pub since_ms: u64,
}

/// An endpoint with all that is known of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it says of itself when it announces itself.
    pub record: EndpointRecord,
    /// It said in an answer that it leaves.
    pub said_leaving: bool,
    /// How many requests of this dispatcher may run there.
    pub own_slots: usize,
    /// How much memory it has for prompts and answers, in tokens; unbounded where it is not known.
    pub memory_tokens: Option<u64>,
    /// What was placed there and has not ended.
    pub running: BTreeMap<Ticket, Running>,
    /// The sum of what the running requests take of its memory.
    pub used_tokens: u64,
    /// When it will have read the prompts that were placed there.
    pub prefill_until_ms: f64,
    /// How fast it is.
    pub speed: Speed,
    /// How often it fails.
    pub health: Health,
    /// The parts of prompts that it has read of late.
    pub prefixes: PrefixMemory,
}

impl Endpoint {
    /// Makes an endpoint of which nothing is known but its record.
    pub fn new(record: EndpointRecord, memory_tokens: Option<u64>, speed: Speed) -> Self {
        Self {
            own_slots: record.slots as usize,
            record,
            said_leaving: false,
            memory_tokens,
            running: BTreeMap::new(),
            used_tokens: 0,
            prefill_until_ms: 0.0,
            speed,
            health: Health::default(),
            prefixes: PrefixMemory::default(),
        }
    }

    /// Returns the endpoint's name.
    pub fn name(&self) -> &EndpointName {
        &self.record.endpoint
    }

    /// Tells whether it takes no new requests for good.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.said_leaving
    }

    /// Returns how many requests of this dispatcher may run there now, by its health.
    pub fn usable_slots(&self, now_ms: u64) -> usize {
        if !self.health.is_open(now_ms) {
            0
        } else if self.health.is_on_probation(now_ms) {
            self.own_slots.min(1)
        } else {
            self.own_slots
        }
    }

    /// Tells whether the endpoint takes `job` now.
    pub fn takes(&self, now_ms: u64, job: &Job) -> bool {
        !self.is_leaving()
            && self.running.len() < self.usable_slots(now_ms)
            && self.has_memory_for(job)
            && !job.tried.contains(&self.record.endpoint)
    }

    /// Tells whether a job fits into the memory beside what runs; an empty endpoint takes any.
    fn has_memory_for(&self, job: &Job) -> bool {
        let Some(memory_tokens) = self.memory_tokens else { return true };
        self.running.is_empty() || self.used_tokens + tokens_of(job) <= memory_tokens
    }

    /// Returns when the first byte of `job` may be expected, in milliseconds from now.
    pub fn first_byte_ms(&self, now_ms: u64, job: &Job) -> f64 {
        let cached = self.prefixes.cached_tokens(&job.prefix);
        let waits_ms = (self.prefill_until_ms - now_ms as f64).max(0.0);
        waits_ms + self.speed.prefill_ms(job.prompt_tokens.saturating_sub(cached)) + self.queue_ms()
    }

    /// Returns how likely it is that an answer of about `events` events, the first of them after
    /// `first_byte_ms`, is not finished within `left_ms`, from 0 to 1.
    pub fn overrun_chance(&self, first_byte_ms: f64, events: f64, left_ms: u64) -> f64 {
        // Lengths are told to within a factor of 1.8 in nine of ten cases.
        const STEEPNESS: i32 = 4;
        if events == 0.0 {
            return 0.0;
        }
        let left_ms = left_ms as f64 - first_byte_ms;
        let room = left_ms.max(0.0) / self.speed.events_ms(events).max(1.0);
        1.0 / (1.0 + room.powi(STEEPNESS))
    }

    /// Returns how long a request waits for others that do not generate, in milliseconds.
    fn queue_ms(&self) -> f64 {
        self.speed.answer_ms() * (self.running.len() as f64 / f64::from(self.record.slots.max(1)))
    }

    /// Notes that `job` was placed here; returns when its first byte is expected, in milliseconds
    /// from now.
    pub fn begin(&mut self, now_ms: u64, job: &Job) -> f64 {
        let expected_ms = self.first_byte_ms(now_ms, job);
        let cached = self.prefixes.cached_tokens(&job.prefix);
        let prefill_ms = self.speed.prefill_ms(job.prompt_tokens.saturating_sub(cached));
        self.prefill_until_ms = self.prefill_until_ms.max(now_ms as f64) + prefill_ms;
        self.prefixes.note(&job.prefix);
        self.add(
            job.ticket,
            Running { memory_tokens: tokens_of(job), expected_ms, since_ms: now_ms },
        );
        expected_ms
    }

    /// Notes a request that was placed here by another dispatcher.
    pub fn adopt(&mut self, now_ms: u64, ticket: Ticket, memory_tokens: u64) {
        self.add(ticket, Running { memory_tokens, expected_ms: 0.0, since_ms: now_ms });
    }

    fn add(&mut self, ticket: Ticket, running: Running) {
        self.used_tokens += running.memory_tokens;
        if let Some(before) = self.running.insert(ticket, running) {
            self.used_tokens -= before.memory_tokens;
        }
    }

    /// Notes that a request is no longer here.
    pub fn end(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        self.used_tokens -= running.memory_tokens;
        Some(running)
    }
}

/// Returns the tokens that a job takes of an endpoint's memory.
fn tokens_of(job: &Job) -> u64 {
    u64::from(job.prompt_tokens) + u64::from(job.output_tokens)
}

/// Tells whether an outcome says something against the endpoint.
pub fn is_failure(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Answered => Some(false),
        Outcome::Failed | Outcome::Rejected | Outcome::Broken | Outcome::NotConnected => Some(true),
        Outcome::Misdirected | Outcome::Abandoned => None,
    }
}
