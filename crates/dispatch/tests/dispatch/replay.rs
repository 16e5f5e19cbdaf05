//! Simulated engines and callers for load replays, in steps of a millisecond and with a fixed
//! random seed.

use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, Job, JobId, Options, Outcome, PrefixPart, Reason,
};
use lycheehub_routes::{AccountSpec, Document, EngineSpec, Quota, ServiceSpec};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointName, EndpointRecord};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The prefill time per prompt token on an engine of speed 1, in milliseconds.
const PREFILL_MS: f64 = 0.016;
/// The time per event on an engine of speed 1, in milliseconds.
const EVENT_MS: f64 = 21.0;
/// The longest pause between two events that callers accept, in milliseconds.
pub const PAUSE_MS: u64 = 150;
/// How many tokens of prompts an engine prefills within an event of a stream.
const PREFILL_PER_EVENT: f64 = 2_048.0 * TOKENS_PER_EVENT as f64;
/// The number of tokens per event.
pub const TOKENS_PER_EVENT: u32 = 5;

/// Returns the records of engines, each with its incarnation first. An endpoint that crashed is listed until it is
/// up again under a new one.
pub fn records_of(engines: &BTreeMap<EndpointName, (u64, u64)>) -> Vec<EndpointRecord> {
    let record = |(name, (incarnation, _)): (&EndpointName, &(u64, u64))| EndpointRecord {
        incarnation: *incarnation,
        ..record(name.as_str(), 9)
    };
    engines.iter().map(record).collect()
}

pub fn record(name: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        endpoint: name.into(),
        address: format!("{name}:1").into(),
        service: "writer".into(),
        version: "v1".into(),
        kind: EndpointKind::Engine,
        hardware: "".into(),
        failure_domain: "salto".into(),
        slots,
        fencing: false,
        takes_orders: false,
        incarnation: 1,
        sequence: 1,
        leaving: false,
        load: EndpointLoad::default(),
        cold_ms: 0,
    }
}

pub fn document(quota: Option<Quota>) -> Document {
    document_with_memory(quota, 500_000)
}

/// Returns the document of a service whose engines have memory for this many tokens each.
pub fn document_with_memory(quota: Option<Quota>, memory_tokens: u64) -> Document {
    let engine = EngineSpec { slots: 9, memory_tokens, tokens_per_event: TOKENS_PER_EVENT };
    let writer = ServiceSpec {
        cold_start: None,
        name: "writer".into(),
        health_path: "/health".into(),
        connections_max: None,
        engine: Some(engine),
    };
    let account =
        AccountSpec { regions: vec![], name: "large".into(), keys: vec![], tier: None, quota };
    Document { version: 1, services: vec![writer], accounts: vec![account], ..Document::default() }
}

pub fn job(number: u64) -> Job {
    Job {
        job_id: JobId { instance: 1, number },
        service: "writer".into(),
        tier: 1,
        rank: 1,
        account: None,
        declared_tokens: None,
        prompt_tokens: 600,
        output_tokens: 300,
        prefix: Vec::<PrefixPart>::new(),
        digest: None,
        objective_left_ms: 300,
        patience_left_ms: 2_000,
        deadline_left_ms: 15_000,
        returning: false,
        resumes_stream: false,
        is_last_attempt: false,
        failure_domain: "salto".into(),
        tried: vec![],
        regions: None,
        repeat: false,
    }
}

pub fn dispatcher(endpoints: &[EndpointRecord]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1, &document(None));
    dispatcher.set_endpoints(1, endpoints.iter());
    dispatcher
}

pub fn finished(job_id: JobId, outcome: Outcome) -> Finished {
    Finished {
        job_id,
        outcome,
        first_byte_ms: Some(20),
        rest_ms: 100,
        events: 5,
        is_connection_lost: false,
        is_confirmed: false,
    }
}

/// Returns the largest number of these times, in milliseconds, within any window.
pub fn most_in_window(at_ms: &[u64], window_ms: u64) -> usize {
    let in_window = |first: &u64| {
        let window = *first..*first + window_ms;
        at_ms.iter().filter(|at_ms| window.contains(at_ms)).count()
    };
    at_ms.iter().map(in_window).max().unwrap_or(0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    OnTime,
    Late,
    Left,
    Refused(Refusal),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    Overloaded,
    Other,
}

struct Engine {
    speed: f64,
    slots: usize,
    running: usize,
    queue: Vec<(JobId, u32, u32)>,
    prefill_until_ms: f64,
    /// The first events of the running streams that are on time so far, in milliseconds.
    streams: BTreeMap<JobId, f64>,
}

impl Engine {
    /// Prefills prompts until `ends_ms`: returns the streams that become late by the pause.
    fn take_paused(&mut self, now_ms: u64, ends_ms: f64) -> Vec<JobId> {
        let most_ms = PREFILL_PER_EVENT * PREFILL_MS / self.speed;
        let pause_ms = |first_ms: f64| (ends_ms - first_ms.max(now_ms as f64)).min(most_ms);
        let is_paused = |_: &JobId, first_ms: &mut f64| pause_ms(*first_ms) > PAUSE_MS as f64;
        self.streams.extract_if(.., is_paused).map(|(job_id, _)| job_id).collect()
    }
}

/// An event of a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    First,
    End,
    /// The deadline of the request passes before its end.
    Cut,
}

struct Asked {
    job: Job,
    since_ms: u64,
    class: usize,
    /// The request is counted in [`Replay::requests`].
    is_counted: bool,
}

/// A class of requests with its arrival rate.
#[derive(Clone)]
pub struct Class {
    pub job: Job,
    pub per_s: f64,
}

/// How many requests of a class came, and how many of them were answered in full.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requests {
    pub came: u32,
    pub completed: u32,
}

/// A caller that returns after a refusal.
struct Return {
    job: Job,
    class: usize,
    is_counted: bool,
}

/// A load replay in progress.
pub struct Replay {
    pub dispatcher: Dispatcher,
    engines: BTreeMap<String, Engine>,
    asked: BTreeMap<JobId, Asked>,
    /// Scheduled events, by millisecond.
    events: BTreeMap<u64, Vec<(JobId, String, Event, u32)>>,
    returns: BTreeMap<u64, Vec<Return>>,
    /// Whether the requests that come now are counted in `requests`.
    pub is_counting: bool,
    /// The requests of each class and how many of them were served to the end; one that returns is the
    /// same request.
    pub requests: BTreeMap<usize, Requests>,
    /// Results, by second of arrival and class.
    pub ends: BTreeMap<(u64, usize), BTreeMap<End, u32>>,
    pub longest_hold_ms: u64,
    /// The largest fraction of its patience for which a request was held before it was refused.
    pub largest_held_part: f64,
    /// The number of streams of each class that were cut off at their deadline.
    pub overran: BTreeMap<usize, u32>,
    /// The number of streams of each class with a pause longer than [`PAUSE_MS`].
    pub paused: BTreeMap<usize, u32>,
    rng: SmallRng,
    number: u64,
    now_ms: u64,
}

impl Replay {
    /// Creates a replay with engines of the given speeds, 9 slots each.
    pub fn new(speeds: &[f64]) -> Self {
        let records: Vec<EndpointRecord> =
            (0..speeds.len()).map(|place| record(&format!("e{place}"), 9)).collect();
        let engine = |speed: &f64| Engine {
            speed: *speed,
            slots: 9,
            running: 0,
            queue: vec![],
            prefill_until_ms: 0.0,
            streams: BTreeMap::new(),
        };
        let engines = speeds.iter().enumerate().map(|(p, speed)| (format!("e{p}"), engine(speed)));
        Self {
            dispatcher: dispatcher(&records),
            engines: engines.collect(),
            asked: BTreeMap::new(),
            events: BTreeMap::new(),
            returns: BTreeMap::new(),
            is_counting: true,
            requests: BTreeMap::new(),
            ends: BTreeMap::new(),
            longest_hold_ms: 0,
            largest_held_part: 0.0,
            overran: BTreeMap::new(),
            paused: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(7),
            number: 0,
            now_ms: 1_000,
        }
    }

    /// Returns the replay with another random seed.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), ..self }
    }

    /// Replaces the endpoints known to the dispatcher.
    pub fn set_endpoints(&mut self, places: impl Iterator<Item = usize>) {
        let records: Vec<EndpointRecord> =
            places.map(|place| record(&format!("e{place}"), 9)).collect();
        self.dispatcher.set_endpoints(self.now_ms, records.iter());
    }

    /// Submits requests for `for_ms`, each class at `x` times its rate.
    pub fn run(&mut self, for_ms: u64, classes: &[Class], x: f64) {
        for _ in 0..for_ms {
            self.now_ms += 1;
            for (place, class) in classes.iter().enumerate() {
                if self.rng.random::<f64>() < class.per_s * x / 1e3 {
                    self.ask(class.job.clone(), place, self.is_counting);
                }
            }
            for Return { job, class, is_counted } in
                self.returns.remove(&self.now_ms).unwrap_or_default()
            {
                self.ask(Job { returning: true, ..job }, class, is_counted);
            }
            for (job_id, engine, event, first_ms) in
                self.events.remove(&self.now_ms).unwrap_or_default()
            {
                match event {
                    Event::First => self.first(job_id),
                    Event::End => self.end(job_id, &engine, first_ms, Outcome::Answered),
                    Event::Cut => self.end(job_id, &engine, first_ms, Outcome::Abandoned),
                }
            }
            if self.now_ms.is_multiple_of(50) {
                self.dispatcher.tick(self.now_ms);
            }
            self.carry_out();
        }
    }

    fn ask(&mut self, job: Job, class: usize, is_counted: bool) {
        self.number += 1;
        let job_id = JobId { instance: 1, number: self.number };
        let job = Job { job_id, ..job };
        let is_first = is_counted && !job.returning;
        self.requests.entry(class).or_default().came += u32::from(is_first);
        let asked = Asked { job: job.clone(), since_ms: self.now_ms, class, is_counted };
        self.asked.insert(job_id, asked);
        self.dispatcher.submit(self.now_ms, job);
    }

    fn note(&mut self, class: usize, since_ms: u64, end: End) {
        *self.ends.entry((since_ms / 1_000, class)).or_default().entry(end).or_default() += 1;
    }

    fn carry_out(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            match decision {
                Decision::Place { job_id, endpoint, .. } => self.send(job_id, endpoint.as_str()),
                Decision::Refuse { job_id, reason, retry_after_ms, .. } => {
                    self.refused(job_id, reason, retry_after_ms);
                }
            }
        }
    }

    fn refused(&mut self, job_id: JobId, reason: Reason, retry_after_ms: u64) {
        let asked = self.asked.remove(&job_id).unwrap();
        let held_ms = self.now_ms - asked.since_ms;
        self.longest_hold_ms = self.longest_hold_ms.max(held_ms);
        let held_part = held_ms as f64 / asked.job.patience_left_ms as f64;
        self.largest_held_part = self.largest_held_part.max(held_part);
        let overloaded = reason == Reason::Overloaded;
        let reason = if overloaded { Refusal::Overloaded } else { Refusal::Other };
        self.note(asked.class, asked.since_ms, End::Refused(reason));
        if !asked.job.returning {
            let left_ms = asked.job.deadline_left_ms.saturating_sub(held_ms + retry_after_ms);
            let patience_left_ms = asked.job.patience_left_ms.min(left_ms);
            let job = Job { objective_left_ms: 0, deadline_left_ms: left_ms, ..asked.job };
            let job = Job { patience_left_ms, ..job };
            let at_ms = self.now_ms + retry_after_ms;
            let returns = Return { job, class: asked.class, is_counted: asked.is_counted };
            self.returns.entry(at_ms).or_default().push(returns);
        }
    }

    fn send(&mut self, job_id: JobId, name: &str) {
        let job = &self.asked[&job_id].job;
        let engine = self.engines.get_mut(name).unwrap();
        engine.queue.push((job_id, job.prompt_tokens, job.output_tokens / TOKENS_PER_EVENT));
        self.admit(name);
    }

    fn admit(&mut self, name: &str) {
        let engine = self.engines.get_mut(name).unwrap();
        while engine.running < engine.slots && !engine.queue.is_empty() {
            let (job_id, prompt, events) = engine.queue.remove(0);
            engine.running += 1;
            let begins_ms = engine.prefill_until_ms.max(self.now_ms as f64);
            let first_ms = begins_ms + f64::from(prompt) * PREFILL_MS / engine.speed;
            engine.prefill_until_ms = first_ms;
            for paused in engine.take_paused(self.now_ms, first_ms) {
                *self.paused.entry(self.asked[&paused].class).or_default() += 1;
            }
            engine.streams.insert(job_id, first_ms);
            let ends_ms = first_ms + f64::from(events) * EVENT_MS / engine.speed;
            let took_ms = (first_ms - self.now_ms as f64) as u32;
            let asked = &self.asked[&job_id];
            let deadline_ms = (asked.since_ms + asked.job.deadline_left_ms) as f64;
            let at = |ms: f64| (ms as u64).max(self.now_ms + 1);
            if first_ms <= deadline_ms {
                let first = (job_id, name.to_owned(), Event::First, took_ms);
                self.events.entry(at(first_ms)).or_default().push(first);
            }
            let event = if ends_ms > deadline_ms { Event::Cut } else { Event::End };
            let end = (job_id, name.to_owned(), event, took_ms);
            self.events.entry(at(ends_ms.min(deadline_ms)) + 1).or_default().push(end);
        }
    }

    fn first(&mut self, job_id: JobId) {
        let asked = &self.asked[&job_id];
        let (class, since_ms) = (asked.class, asked.since_ms);
        let took_ms = self.now_ms - since_ms;
        let end = match took_ms {
            _ if took_ms <= asked.job.objective_left_ms => End::OnTime,
            _ if took_ms <= asked.job.patience_left_ms => End::Late,
            _ => End::Left,
        };
        self.note(class, since_ms, end);
    }

    fn end(&mut self, job_id: JobId, name: &str, first_ms: u32, outcome: Outcome) {
        let asked = self.asked.remove(&job_id).unwrap();
        let engine = self.engines.get_mut(name).unwrap();
        engine.running -= 1;
        engine.streams.remove(&job_id);
        let mut events = asked.job.output_tokens / TOKENS_PER_EVENT;
        let mut rest_ms = f64::from(events) * EVENT_MS / self.engines[name].speed;
        if outcome == Outcome::Answered && asked.is_counted {
            self.requests.entry(asked.class).or_default().completed += 1;
        }
        if outcome == Outcome::Abandoned {
            *self.overran.entry(asked.class).or_default() += 1;
            let had_ms = (self.now_ms - asked.since_ms) as f64 - f64::from(first_ms);
            events = (f64::from(events) * had_ms / rest_ms) as u32;
            rest_ms = had_ms;
        }
        let finished = Finished {
            job_id,
            outcome,
            first_byte_ms: Some(first_ms + 2),
            rest_ms: rest_ms as u32,
            events,
            is_connection_lost: false,
            is_confirmed: false,
        };
        self.dispatcher.finish(self.now_ms, finished);
        self.admit(name);
    }

    /// Returns the number of requests of a class that arrived from second `from` until before `to`
    /// and whose result is `wanted`.
    pub fn count(&self, class: usize, from: u64, to: u64, wanted: impl Fn(End) -> bool) -> u32 {
        let seconds = self
            .ends
            .iter()
            .filter(|((second, c), _)| *c == class && (from + 1..to + 1).contains(second));
        seconds.flat_map(|(_, ends)| ends).filter(|(end, _)| wanted(**end)).map(|(_, n)| n).sum()
    }
}
