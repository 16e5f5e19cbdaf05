//! A request on which endpoints crash is kept from them, whatever its kind, and no sound one is.

use crate::replay::{document, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{CrashReport, Quarantine, RequestDigest, Suspect};
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, Job, JobId, Options, Outcome, PrefixPart, Reason, UsageReport,
};
use lycheehub_types::{EndpointName, EndpointRecord};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The identity of the request on which endpoints crash.
const CRASHING: u128 = 0xdead;
/// The identity of a sound request that is sent again and again.
const POPULAR: u128 = 0x5afe;
/// A part of the prompts of all requests that have one.
const COMMON: u64 = 1;
const TICK_MS: u64 = 10;
/// How long an endpoint is down after a crash, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// How long after its third crash the request may reach endpoints without bound, in milliseconds, and
/// how many of its attempts may after that: the rule of the users' platform.
const CONTACT_MS: u64 = 3_000;
const FURTHER_MAX: usize = 3;
const COUNTED_CRASH: usize = 3;

/// What a request is, and when an endpoint crashes on it.
#[derive(Clone, Copy, Debug)]
struct Kind {
    is_stream: bool,
    has_prompt: bool,
    /// How often the instance sends it, until an endpoint has answered.
    attempts_max: u32,
    /// The endpoint has written events when it crashes.
    crashes_late: bool,
}

const UNSAFE: Kind =
    Kind { is_stream: false, has_prompt: false, attempts_max: 1, crashes_late: false };
const SAFE: Kind = Kind { attempts_max: 2, ..UNSAFE };
const STREAM: Kind = Kind { is_stream: true, has_prompt: true, ..SAFE };
const LATE_STREAM: Kind = Kind { crashes_late: true, ..STREAM };
const PROMPTLESS_STREAM: Kind = Kind { has_prompt: false, ..LATE_STREAM };

const PROMPTLESS_EARLY_STREAM: Kind = Kind { crashes_late: false, ..PROMPTLESS_STREAM };

/// A request as its instance sees it.
#[derive(Clone)]
struct Attempt {
    digest: u128,
    kind: Kind,
    sent_ms: u64,
    sends: u32,
}

struct Running {
    endpoint: EndpointName,
    attempt: Attempt,
    begins_ms: u64,
    ends_ms: u64,
    has_begun: bool,
}

/// The number of a dispatcher, and of a job there.
type Key = (usize, JobId);

/// Engines that crash on one request and for other reasons, and one dispatcher or several that do not
/// know of each other.
struct World {
    dispatchers: Vec<Dispatcher>,
    rng: SmallRng,
    now_ms: u64,
    number: u64,
    /// The incarnation of each engine, and until when it is down, in milliseconds.
    engines: BTreeMap<EndpointName, (u64, u64)>,
    running: BTreeMap<Key, Running>,
    waiting: BTreeMap<Key, Attempt>,
    crashed_ms: Vec<u64>,
    /// When the attempts of the crashing request that reached an endpoint were sent.
    reached_ms: Vec<u64>,
    /// When each dispatcher first saw a crash on that request.
    first_crash_ms: BTreeMap<usize, u64>,
    /// How many of its attempts were placed by a dispatcher that had seen one.
    placed_after_own_crash: usize,
    refused_crashing: usize,
    /// The delays after which its callers may retry, in milliseconds.
    told_ms: Vec<u64>,
    refused_sound: usize,
    answered: usize,
}

impl World {
    fn new(engines: usize, seed: u64) -> Self {
        Self::with_options(engines, seed, &[Options::default()])
    }

    fn with_options(engines: usize, seed: u64, options: &[Options]) -> Self {
        let names = (0..engines).map(|number| EndpointName::from(format!("e{number}")));
        let mut world = Self {
            dispatchers: options.iter().map(|options| Dispatcher::new(*options)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 100_000,
            number: 0,
            engines: names.map(|name| (name, (1, 0))).collect(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            crashed_ms: Vec::new(),
            reached_ms: Vec::new(),
            first_crash_ms: BTreeMap::new(),
            placed_after_own_crash: 0,
            refused_crashing: 0,
            told_ms: Vec::new(),
            refused_sound: 0,
            answered: 0,
        };
        for dispatcher in &mut world.dispatchers {
            dispatcher.set_document(1, &document(None));
        }
        world.update_endpoints();
        world
    }

    fn update_endpoints(&mut self) {
        // An endpoint that crashed is listed until it is up again under a new incarnation.
        let records: Vec<EndpointRecord> = self
            .engines
            .iter()
            .map(|(name, (incarnation, _))| EndpointRecord {
                incarnation: *incarnation,
                ..record(name.as_str(), 9)
            })
            .collect();
        for dispatcher in &mut self.dispatchers {
            dispatcher.set_endpoints(self.now_ms, records.iter());
        }
    }

    /// Sends a request through a random instance.
    fn send(&mut self, digest: u128, kind: Kind) {
        let chosen = self.rng.random_range(0..self.dispatchers.len());
        self.submit(chosen, Attempt { digest, kind, sent_ms: self.now_ms, sends: 0 });
    }

    fn submit(&mut self, chosen: usize, attempt: Attempt) {
        self.number += 1;
        // A dispatcher of its own has the requests of a single instance.
        let instance = if self.dispatchers.len() > 1 { 1 } else { 1 + (self.number % 4) as u32 };
        let job_id = JobId { instance, number: self.number };
        let kind = attempt.kind;
        let own = 0x1_0000_0000 + attempt.digest as u64;
        let parts: &[u64] = if kind.has_prompt { &[COMMON, own] } else { &[] };
        let job = Job {
            job_id,
            prefix: parts.iter().map(|id| PrefixPart { id: *id, tokens: 60 }).collect(),
            digest: Some(RequestDigest::new(attempt.digest)),
            output_tokens: if kind.is_stream { 300 } else { 0 },
            repeat: attempt.sends > 0,
            is_last_attempt: attempt.sends + 1 >= kind.attempts_max,
            ..job(self.number)
        };
        self.waiting.insert((chosen, job_id), attempt);
        self.dispatchers[chosen].submit(self.now_ms, job);
        self.apply_decisions();
    }

    fn apply_decisions(&mut self) {
        for chosen in 0..self.dispatchers.len() {
            for decision in self.dispatchers[chosen].take_decisions() {
                match decision {
                    Decision::Place { job_id, endpoint, .. } => {
                        self.begin((chosen, job_id), endpoint);
                    }
                    Decision::Refuse { job_id, reason, retry_after_ms } => {
                        let attempt = self.waiting.remove(&(chosen, job_id)).unwrap();
                        if reason == Reason::Quarantined && attempt.digest == CRASHING {
                            self.refused_crashing += 1;
                            self.told_ms.push(retry_after_ms);
                        } else if reason == Reason::Quarantined {
                            self.refused_sound += 1;
                        }
                    }
                }
            }
        }
    }

    fn begin(&mut self, key: Key, endpoint: EndpointName) {
        let attempt = self.waiting.remove(&key).unwrap();
        if self.engines[&endpoint].1 > self.now_ms {
            let not_connected =
                Finished { first_byte_ms: None, ..finished(key.1, Outcome::NotConnected) };
            self.dispatchers[key.0].finish(self.now_ms, not_connected);
            return;
        }
        let has_crashed = self.first_crash_ms.contains_key(&key.0);
        self.placed_after_own_crash += usize::from(attempt.digest == CRASHING && has_crashed);
        if attempt.digest == CRASHING && self.reached_ms.last() != Some(&attempt.sent_ms) {
            self.reached_ms.push(attempt.sent_ms);
        }
        let begins_ms = self.now_ms + self.rng.random_range(20..80);
        let ends_ms = begins_ms + self.rng.random_range(20..400);
        let running = Running { endpoint, attempt, begins_ms, ends_ms, has_begun: false };
        self.running.insert(key, running);
    }

    fn crash(&mut self, name: &EndpointName) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        engine.1 = self.now_ms + DOWN_MS;
        let at = |running: &Running| running.endpoint == *name;
        let lost: Vec<(Key, Running)> =
            self.running.extract_if(.., |_, running| at(running)).collect();
        let mut retried = Vec::new();
        for (key, running) in lost {
            let has_answer = running.has_begun && running.attempt.kind.is_stream;
            let broken = Finished {
                first_byte_ms: has_answer.then_some(20),
                rest_ms: if has_answer { (self.now_ms - running.begins_ms) as u32 } else { 0 },
                is_connection_lost: true,
                ..finished(key.1, Outcome::Broken)
            };
            self.dispatchers[key.0].finish(self.now_ms, broken);
            let sends = running.attempt.sends + 1;
            if sends < running.attempt.kind.attempts_max {
                retried.push((key.0, Attempt { sends, ..running.attempt }));
            }
        }
        for (chosen, attempt) in retried {
            self.submit(chosen, attempt);
        }
    }

    /// Advances time by a tick.
    fn step(&mut self) {
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        let is_back =
            |until_ms: u64| until_ms > 0 && now_ms >= until_ms && now_ms < until_ms + TICK_MS;
        if self.engines.values().any(|(_, until_ms)| is_back(*until_ms)) {
            for engine in self.engines.values_mut().filter(|(_, until_ms)| is_back(*until_ms)) {
                engine.0 += 1;
            }
            self.update_endpoints();
        }
        let keys: Vec<Key> = self.running.keys().copied().collect();
        for key in keys {
            self.advance(key);
        }
        for dispatcher in &mut self.dispatchers {
            dispatcher.tick(now_ms);
        }
        self.apply_decisions();
    }

    fn advance(&mut self, key: Key) {
        let now_ms = self.now_ms;
        // The engine may have crashed on another request of this tick.
        let Some(running) = self.running.get_mut(&key) else { return };
        let kind = running.attempt.kind;
        let is_crashing = running.attempt.digest == CRASHING;
        if is_crashing && now_ms >= running.begins_ms && (!kind.crashes_late || running.has_begun) {
            let name = running.endpoint.clone();
            self.crashed_ms.push(now_ms);
            // What was placed before the crash was known may crash further endpoints.
            self.first_crash_ms.entry(key.0).or_insert(now_ms);
            self.crash(&name);
        } else if !running.has_begun && now_ms >= running.begins_ms {
            running.has_begun = true;
            if kind.is_stream {
                self.dispatchers[key.0].record_answer_begun(now_ms, key.1, 0);
            }
        } else if now_ms >= running.ends_ms {
            let rest_ms = (now_ms - running.begins_ms) as u32;
            self.running.remove(&key);
            self.answered += 1;
            let answered = Finished { rest_ms, ..finished(key.1, Outcome::Answered) };
            self.dispatchers[key.0].finish(now_ms, answered);
        }
    }

    fn is_due(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * TICK_MS as f64 / 1e3).min(1.0))
    }

    /// Sends sound requests for a tick, `per_s` a second, no two alike.
    fn send_sound(&mut self, per_s: f64, kind: Kind) {
        if self.is_due(per_s) {
            self.send(0x1_0000 + u128::from(self.number), kind);
        }
    }

    fn send_crashing(&mut self, per_s: f64, kind: Kind) {
        if self.is_due(per_s) {
            self.send(CRASHING, kind);
        }
    }

    /// Returns how many attempts of the crashing request that were sent later than `CONTACT_MS` after the
    /// third crash reached an endpoint.
    fn further(&self) -> usize {
        let Some(third_ms) = self.crashed_ms.get(COUNTED_CRASH - 1) else { return 0 };
        self.reached_ms.iter().filter(|at_ms| **at_ms > third_ms + CONTACT_MS).count()
    }

    fn crash_random(&mut self) {
        let chosen = self.rng.random_range(0..self.engines.len());
        let name = self.engines.keys().nth(chosen).cloned().unwrap();
        self.crash(&name);
    }
}

#[gtest]
fn a_crashing_request_of_any_kind_reaches_few_endpoints_after_the_third_crash() {
    for kind in [UNSAFE, SAFE, STREAM, LATE_STREAM, PROMPTLESS_STREAM] {
        for engines in [4, 18, 60] {
            for per_s in [0.5, 2.0, 20.0] {
                let mut world = World::new(engines, 1);
                for _ in 0..6_000 {
                    world.send_sound(60.0, Kind { attempts_max: 2, ..kind });
                    world.send_crashing(per_s, kind);
                    world.step();
                }
                let load = format!("{kind:?}, {engines} engines, {per_s} a second");
                expect_that!(world.further(), le(FURTHER_MAX), "{load}");
                expect_that!(world.answered, ge(3_200), "{load}");
            }
        }
    }
}

#[gtest]
fn a_crashing_request_is_kept_away_where_hardly_anything_else_is_sent() {
    for kind in [UNSAFE, SAFE] {
        for per_s in [0.0, 1.0] {
            let mut world = World::new(4, 1);
            for _ in 0..9_000 {
                world.send_sound(per_s, kind);
                world.send_crashing(2.0, kind);
                world.step();
            }
            expect_that!(world.further(), le(FURTHER_MAX), "{kind:?}, {per_s} sound a second");
        }
    }
}

#[gtest]
fn an_instance_that_decides_alone_places_a_new_request_no_more_after_its_own_first_crash() {
    for kind in [UNSAFE, SAFE, STREAM, LATE_STREAM] {
        let options: Vec<Options> =
            (0..5).map(|salt| Options::default().for_one_of(5, salt)).collect();
        let mut world = World::with_options(18, 1, &options);
        for _ in 0..3_000 {
            world.send_sound(60.0, Kind { attempts_max: 2, ..kind });
            world.send_crashing(5.0, kind);
            world.step();
        }
        expect_that!(world.first_crash_ms.len(), eq(5), "{kind:?}");
        expect_that!(world.placed_after_own_crash, eq(0), "{kind:?}");
    }
}

#[gtest]
fn neither_a_retry_nor_a_callers_own_repeat_takes_a_request_that_was_alone_to_a_second_endpoint() {
    for kind in [UNSAFE, SAFE, PROMPTLESS_EARLY_STREAM] {
        let mut world = World::new(6, 1);
        // Another instance is known, so one lost connection alone proves no crash.
        for _ in 0..200 {
            world.send_sound(80.0, kind);
            world.step();
        }
        for _ in 0..100 {
            world.step();
        }
        world.send(CRASHING, kind);
        for _ in 0..200 {
            world.step();
        }
        world.send(CRASHING, kind);
        expect_that!(world.crashed_ms.len(), eq(1), "{kind:?}");
        expect_that!(world.refused_crashing, ge(1), "{kind:?}");
    }
}

#[gtest]
fn a_stream_that_a_reset_connection_broke_off_is_resumed() {
    let mut world = World::new(6, 1);
    for _ in 0..200 {
        world.send_sound(40.0, LATE_STREAM);
        world.step();
    }
    (0..200).for_each(|_| world.step());
    world.send(POPULAR, LATE_STREAM);
    while !world.running.values().any(|running| running.has_begun) {
        world.step();
    }
    let (key, running) = world.running.pop_first().unwrap();
    let broken = finished(key.1, Outcome::Broken);
    world.dispatchers[0].finish(world.now_ms, Finished { is_connection_lost: true, ..broken });
    world.submit(key.0, Attempt { sends: 1, ..running.attempt });
    expect_that!(world.refused_sound, eq(0));
    expect_that!(world.running.len(), eq(1));
}

#[gtest]
fn a_stream_that_crashes_an_idle_endpoint_is_resumed_at_one_further() {
    let mut world = World::new(6, 1);
    for _ in 0..200 {
        world.send_sound(40.0, LATE_STREAM);
        world.step();
    }
    (0..200).for_each(|_| world.step());
    for _ in 0..10 {
        world.send(CRASHING, LATE_STREAM);
        (0..50).for_each(|_| world.step());
    }
    expect_that!(world.crashed_ms.len(), eq(2));
}

#[gtest]
fn crashes_with_other_causes_accuse_no_popular_request_and_refuse_few_others() {
    for seed in 0..4 {
        for kind in [SAFE, PROMPTLESS_STREAM, STREAM] {
            let mut world = World::new(18, seed);
            for tick in 0..4_000_u64 {
                if world.is_due(20.0) {
                    world.send(POPULAR, kind);
                }
                world.send_sound(80.0, kind);
                if tick % 150 == 100 {
                    world.crash_random();
                }
                world.step();
            }
            let accused = world.dispatchers[0].quarantines(world.now_ms);
            expect_that!(accused, is_empty(), "seed {seed}, {kind:?}");
            // A request that was alone at a crash is not sent again.
            expect_that!(world.refused_sound, le(26), "seed {seed}, {kind:?}");
        }
    }
}

#[gtest]
fn reset_connections_of_endpoints_that_answer_on_accuse_no_request() {
    let mut world = World::new(4, 1);
    for _ in 0..4_000 {
        world.send_sound(60.0, UNSAFE);
        if world.is_due(5.0) {
            world.send(POPULAR, SAFE);
        }
        let unlucky = world.running.keys().next().copied();
        if let Some(key) = unlucky.filter(|_| world.is_due(5.0)) {
            world.running.remove(&key);
            let broken = finished(key.1, Outcome::Broken);
            let lost = Finished { first_byte_ms: None, is_connection_lost: true, ..broken };
            world.dispatchers[0].finish(world.now_ms, lost);
        }
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms), is_empty());
}

#[gtest]
fn a_wrongly_accused_request_is_served_again_after_its_trial() {
    let mut world = World::new(12, 1);
    // It is sent only where endpoints happen to crash.
    for _ in 0..6 {
        for _ in 0..1_100 {
            world.send_sound(60.0, SAFE);
            world.step();
        }
        world.send(POPULAR, UNSAFE);
        let at = world.running.values().find(|running| running.attempt.digest == POPULAR);
        let Some(at) = at.map(|running| running.endpoint.clone()) else { continue };
        world.crash(&at);
    }
    for _ in 0..200 {
        world.send_sound(60.0, SAFE);
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms).len(), eq(1));
    for _ in 0..5_000 {
        world.send_sound(60.0, SAFE);
        if world.is_due(2.0) {
            world.send(POPULAR, UNSAFE);
        }
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms), is_empty());
}

#[gtest]
fn crashes_seen_by_three_instances_without_a_leader_are_known_to_the_next_one() {
    let mut reports: Vec<UsageReport> = Vec::new();
    for seed in 0..3 {
        let options = [Options::default().for_one_of(5, seed)];
        let mut world = World::with_options(18, seed, &options);
        for _ in 0..200 {
            world.send_sound(20.0, SAFE);
            world.step();
        }
        world.send(CRASHING, UNSAFE);
        for _ in 0..400 {
            world.send_sound(20.0, SAFE);
            world.step();
        }
        expect_that!(world.crashed_ms.len(), eq(1));
        let mut usage = world.dispatchers[0].usage(world.now_ms, 1);
        for crash in &mut usage.crashes.crashes {
            crash.start.endpoint = format!("{}-{seed}", crash.start.endpoint).into();
        }
        reports.push(usage);
    }
    let mut leader = World::new(18, 9);
    for (number, report) in (1..).zip(&reports) {
        leader.dispatchers[0].restore_usage(leader.now_ms, number, report);
    }
    leader.send(CRASHING, UNSAFE);
    expect_that!(leader.refused_crashing, eq(1), "at once");
    for _ in 0..200 {
        leader.send_sound(80.0, SAFE);
        leader.step();
    }
    let told = leader.dispatchers[0].quarantines(leader.now_ms);
    expect_that!(told.len(), eq(1));
    // An instance that is added, and the next leader that it tells.
    let options = [Options::default().for_one_of(5, 7)];
    let mut instance = World::with_options(18, 10, &options);
    instance.dispatchers[0].set_quarantines(instance.now_ms, &told);
    instance.send(CRASHING, UNSAFE);
    expect_that!(instance.refused_crashing, eq(1));
    let usage = instance.dispatchers[0].usage(instance.now_ms, 1);
    let mut next = World::new(18, 11);
    next.dispatchers[0].restore_usage(next.now_ms, 1, &usage);
    next.send(CRASHING, UNSAFE);
    expect_that!(next.refused_crashing, eq(1));
}

#[gtest]
fn a_crashing_request_waits_for_no_endpoint_once_it_is_suspect() {
    // All endpoints are down: what comes meanwhile waits for the first that is back.
    let mut world = World::new(2, 1);
    for _ in 0..200 {
        world.send_sound(40.0, UNSAFE);
        world.step();
    }
    for _ in 0..1_000 {
        world.send_crashing(20.0, UNSAFE);
        world.step();
    }
    expect_that!(world.crashed_ms.len(), le(COUNTED_CRASH + FURTHER_MAX));
}

#[gtest]
fn a_request_that_waited_is_told_the_same_time_as_one_that_comes_then() {
    let mut world = World::new(1, 1);
    (0..12).for_each(|_| world.send(CRASHING, UNSAFE));
    while world.crashed_ms.is_empty() {
        world.step();
    }
    let waited_ms = std::mem::take(&mut world.told_ms);
    world.send(CRASHING, UNSAFE);
    expect_that!(world.told_ms, len(eq(1)));
    expect_that!(waited_ms, not(is_empty()));
    expect_that!(waited_ms, each(ge(&world.told_ms[0])));
}

#[gtest]
fn a_request_that_was_answered_before_is_not_suspect_after_two_crashes_with_other_causes() {
    for sees_all_requests in [true, false] {
        let options = Options { sees_all_requests, ..Options::default() };
        let mut world = World::with_options(8, 1, &[options]);
        for _ in 0..5 {
            world.send(POPULAR, SAFE);
            (0..100).for_each(|_| world.step());
        }
        for _ in 0..2 {
            world.send(POPULAR, UNSAFE);
            let name = world.running.values().next().map(|running| running.endpoint.clone());
            world.crash(&name.unwrap());
            (0..40).for_each(|_| world.step());
        }
        world.send(POPULAR, SAFE);
        expect_that!(world.refused_sound, eq(0), "sees all requests: {sees_all_requests}");
    }
}

#[gtest]
fn a_request_met_by_two_quarantines_waits_for_the_later_trial() {
    let mut world = World::new(4, 1);
    let quarantine = |suspect, next_trial_ms| Quarantine {
        service: "writer".into(),
        suspects: vec![suspect],
        first_crash_ago_ms: 20_000,
        next_trial_ms,
        trials: 0,
    };
    let request = quarantine(Suspect::Request(RequestDigest::new(CRASHING)), 0);
    let part = quarantine(Suspect::Part(COMMON), 30_000);
    world.dispatchers[0].set_quarantines(world.now_ms, &[request, part]);
    world.send(CRASHING, STREAM);
    expect_that!(world.told_ms, elements_are![eq(&30_000)]);
}

#[gtest]
fn callers_that_come_back_together_after_a_suspicion_reach_one_endpoint() {
    let mut world = World::new(60, 1);
    world.send(CRASHING, UNSAFE);
    for tick in 0..3_000 {
        world.send_sound(60.0, SAFE);
        // All that were refused come back as soon as they may.
        if tick >= 100 {
            (0..5).for_each(|_| world.send(CRASHING, UNSAFE));
        }
        world.step();
    }
    let crashed_ms = &world.crashed_ms;
    let is_apart = crashed_ms.windows(2).all(|pair| pair[1] > pair[0] + 1_000);
    expect_that!(is_apart, eq(true), "{crashed_ms:?}");
    expect_that!(crashed_ms.len(), ge(2));
}

#[gtest]
fn what_is_remembered_is_bounded_under_endless_distinct_requests() {
    let mut world = World::new(18, 1);
    for tick in 0..20_000 {
        world.send_sound(100.0, LATE_STREAM);
        if tick % 40 == 0 {
            world.crash_random();
        }
        world.step();
    }
    let CrashReport { crashes, answers, quarantines } =
        world.dispatchers[0].usage(world.now_ms, 1).crashes;
    expect_that!(crashes.len(), le(1_200));
    expect_that!(answers.len(), le(512 + 128));
    expect_that!(quarantines, is_empty());
}
