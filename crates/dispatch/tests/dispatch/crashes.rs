//! Parts of prompts on which endpoints crash are kept from endpoints, and no sound part is.

use crate::replay::{document, finished, job, records_of};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{CrashReport, QuarantineEvent, RequestDigest, Suspect};
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, Job, JobId, Options, Outcome, PrefixPart, Reason, UsageReport,
};
use lycheehub_types::EndpointName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A part in every prompt.
const COMMON: u64 = 1;
/// Parts on which endpoints crash.
const CRASHING: [u64; 2] = [0xdead, 0xbeef];
/// How often the dispatcher is told the time, in milliseconds.
const TICK_MS: u64 = 10;
/// How long an endpoint is down after a crash, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// How long after the fifth crash by a part its requests may reach endpoints without bound, in
/// milliseconds, and how many may after that: the rule of the users' platform.
const CONTACT_MS: u64 = 3_000;
const FURTHER_MAX: usize = 3;

struct Running {
    endpoint: EndpointName,
    parts: Vec<u64>,
    begins_ms: u64,
    ends_ms: u64,
    has_begun: bool,
}

/// Engines that crash on some parts and for other reasons, and a dispatcher.
struct World {
    dispatcher: Dispatcher,
    rng: SmallRng,
    now_ms: u64,
    number: u64,
    /// The incarnation of each engine, and until when it is down, in milliseconds.
    engines: BTreeMap<EndpointName, (u64, u64)>,
    running: BTreeMap<JobId, Running>,
    parts_of: BTreeMap<JobId, Vec<u64>>,
    /// When requests with a crashing part were placed, and when engines crashed on it.
    placed_ms: BTreeMap<u64, Vec<u64>>,
    crashed_ms: BTreeMap<u64, Vec<u64>>,
    quarantined: BTreeSet<Vec<u64>>,
    refused: usize,
    /// From when on engines crash on the parts, in milliseconds.
    crashing_from_ms: u64,
    /// Requests have identities, so they may be accused too.
    has_identities: bool,
}

impl World {
    fn new(engines: usize, seed: u64, options: Options) -> Self {
        let names = (0..engines).map(|number| EndpointName::from(format!("e{number}")));
        let mut world = Self {
            dispatcher: Dispatcher::new(options),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 100_000,
            number: 0,
            engines: names.map(|name| (name, (1, 0))).collect(),
            running: BTreeMap::new(),
            parts_of: BTreeMap::new(),
            placed_ms: BTreeMap::new(),
            crashed_ms: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            refused: 0,
            crashing_from_ms: 0,
            has_identities: false,
        };
        world.dispatcher.set_document(1, &document(None));
        world.update_endpoints();
        world
    }

    fn update_endpoints(&mut self) {
        let records = records_of(&self.engines);
        self.dispatcher.set_endpoints(self.now_ms, records.iter());
    }

    fn submit(&mut self, parts: &[u64]) {
        self.number += 1;
        let mut parts = parts.to_vec();
        parts.push(0x1_0000_0000 + self.number);
        self.submit_prompt(parts, false);
    }

    fn submit_prompt(&mut self, parts: Vec<u64>, repeat: bool) -> JobId {
        self.number += 1;
        let job_id = JobId { instance: 1, number: self.number };
        let prefix = parts.iter().map(|id| PrefixPart { id: *id, tokens: 60 }).collect();
        self.parts_of.insert(job_id, parts);
        self.dispatcher.submit(self.now_ms, Job { job_id, prefix, repeat, ..job(self.number) });
        self.apply_decisions();
        job_id
    }

    /// Submits a request with an identity; the same one is the same request.
    fn submit_identified(&mut self, parts: &[u64], request: u64) {
        self.number += 1;
        let job_id = JobId { instance: 1, number: self.number };
        let mut parts = parts.to_vec();
        parts.push(0x2_0000_0000 + request);
        let prefix = parts.iter().map(|id| PrefixPart { id: *id, tokens: 60 }).collect();
        self.parts_of.insert(job_id, parts);
        self.has_identities = true;
        let digest = Some(RequestDigest::new(u128::from(request)));
        self.dispatcher.submit(self.now_ms, Job { job_id, prefix, digest, ..job(self.number) });
        self.apply_decisions();
    }

    fn apply_decisions(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            let (job_id, endpoint) = match decision {
                Decision::Place { job_id, endpoint, .. } => (job_id, endpoint),
                Decision::Refuse { reason, .. } => {
                    self.refused += usize::from(reason == Reason::Quarantined);
                    continue;
                }
            };
            let parts = self.parts_of.remove(&job_id).unwrap();
            if self.engines[&endpoint].1 > self.now_ms {
                let outcome =
                    Finished { first_byte_ms: None, ..finished(job_id, Outcome::NotConnected) };
                self.dispatcher.finish(self.now_ms, outcome);
                continue;
            }
            for crashing in CRASHING.iter().filter(|part| parts.contains(part)) {
                self.placed_ms.entry(*crashing).or_default().push(self.now_ms);
            }
            let begins_ms = self.now_ms + self.rng.random_range(30..200);
            let ends_ms = begins_ms + self.rng.random_range(100..900);
            let running = Running { endpoint, parts, begins_ms, ends_ms, has_begun: false };
            self.running.insert(job_id, running);
        }
    }

    fn crash(&mut self, name: &EndpointName) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        engine.1 = self.now_ms + DOWN_MS;
        let lost: Vec<JobId> = self
            .running
            .iter()
            .filter(|(_, running)| running.endpoint == *name)
            .map(|(job_id, _)| *job_id)
            .collect();
        for job_id in lost {
            let running = self.running.remove(&job_id).unwrap();
            let first_byte_ms = running.has_begun.then_some(20);
            let rest_ms = if running.has_begun { self.now_ms - running.begins_ms } else { 0 };
            let outcome = finished(job_id, Outcome::Broken);
            self.dispatcher.finish(
                self.now_ms,
                Finished {
                    first_byte_ms,
                    rest_ms: rest_ms as u32,
                    is_connection_lost: true,
                    ..outcome
                },
            );
        }
    }

    /// Advances time by a tick.
    fn step(&mut self) {
        self.now_ms += TICK_MS;
        let is_back = |(_, until_ms): &(u64, u64)| {
            *until_ms > 0 && self.now_ms >= *until_ms && self.now_ms < *until_ms + TICK_MS
        };
        if self.engines.values().any(is_back) {
            for engine in self.engines.values_mut().filter(|engine| is_back(engine)) {
                engine.0 += 1;
            }
            self.update_endpoints();
        }
        let begin: Vec<JobId> = self
            .running
            .iter()
            .filter(|(_, running)| !running.has_begun && self.now_ms >= running.begins_ms)
            .map(|(job_id, _)| *job_id)
            .collect();
        for job_id in begin {
            // The engine may have crashed on another request of this tick.
            let Some(running) = self.running.get_mut(&job_id) else { continue };
            let crashing = CRASHING
                .iter()
                .find(|part| running.parts.contains(part) && running.parts.last() != Some(part));
            if let Some(part) = crashing
                && self.now_ms >= self.crashing_from_ms
            {
                let name = running.endpoint.clone();
                self.crashed_ms.entry(*part).or_default().push(self.now_ms);
                self.crash(&name);
                continue;
            }
            running.has_begun = true;
            // Instances report begun answers with their next heartbeat.
            self.dispatcher.record_answer_begun(self.now_ms, job_id, 0);
        }
        let now_ms = self.now_ms;
        let ended = self.running.extract_if(.., |_, running| now_ms >= running.ends_ms);
        for (job_id, running) in ended {
            let rest_ms = (now_ms - running.begins_ms) as u32;
            let outcome = Finished { rest_ms, ..finished(job_id, Outcome::Answered) };
            self.dispatcher.finish(now_ms, outcome);
        }
        self.dispatcher.tick(self.now_ms);
        self.apply_decisions();
        for event in self.dispatcher.take_quarantine_events() {
            if let QuarantineEvent::Began { suspects, .. }
            | QuarantineEvent::Narrowed { suspects, .. } = event
                && !(self.has_identities && suspects.iter().any(is_request))
            {
                self.quarantined.insert(parts_of(&suspects));
            }
        }
    }

    /// Submits sound requests for a tick, `per_s` a second: all hold the common part, and one of
    /// `subjects` others.
    fn submit_sound(&mut self, per_s: f64, subjects: u64) {
        if self.rng.random_bool((per_s * TICK_MS as f64 / 1e3).min(1.0)) {
            let subject = 100 + self.rng.random_range(0..subjects);
            self.submit(&[COMMON, subject]);
        }
    }

    fn submit_crashing(&mut self, per_s: f64, part: u64) {
        if self.rng.random_bool((per_s * TICK_MS as f64 / 1e3).min(1.0)) {
            let subject = 100 + self.rng.random_range(0..20);
            match self.rng.random_range(0..3) {
                0 => self.submit(&[COMMON, part]),
                1 => self.submit(&[part, COMMON, subject]),
                _ => self.submit(&[COMMON, subject, part]),
            }
        }
    }

    /// Returns how many requests with a part were placed later than `CONTACT_MS` after its fifth crash.
    fn further(&self, part: u64) -> usize {
        let crashed_ms = self.crashed_ms.get(&part);
        let Some(fifth_ms) = crashed_ms.and_then(|at_ms| at_ms.get(4)) else { return 0 };
        let placed_ms = self.placed_ms.get(&part).into_iter().flatten();
        placed_ms.filter(|at_ms| **at_ms > fifth_ms + CONTACT_MS).count()
    }

    /// Returns the parts that are quarantined now.
    fn in_force(&self) -> Vec<Vec<u64>> {
        let in_force = self.dispatcher.quarantines(self.now_ms);
        in_force.into_iter().map(|quarantine| parts_of(&quarantine.suspects)).collect()
    }
}

fn is_request(suspect: &Suspect) -> bool {
    matches!(suspect, Suspect::Request(_))
}

fn parts_of(suspects: &[Suspect]) -> Vec<u64> {
    let part = |suspect: &Suspect| match suspect {
        Suspect::Part(part) => *part,
        Suspect::Request(digest) => panic!("a request is accused: {digest}"),
    };
    suspects.iter().map(part).collect()
}

#[gtest]
fn a_crashing_part_is_quarantined_alone_at_any_rate_and_in_any_place() {
    for seed in 0..4 {
        for (per_s, seconds) in [(0.1, 90), (1.0, 40), (5.0, 30), (20.0, 30)] {
            let mut world = World::new(18, seed, Options::default());
            for _ in 0..seconds * 100 {
                world.submit_sound(80.0, 20);
                world.submit_crashing(per_s, CRASHING[0]);
                world.step();
            }
            let further = world.further(CRASHING[0]);
            expect_that!(further, le(FURTHER_MAX), "seed {seed}, {per_s} a second");
            expect_that!(world.in_force(), elements_are![elements_are![eq(&CRASHING[0])]]);
        }
    }
}

/// Each request's own quarantine explained its crashes, and none was left that told of the part.
#[gtest]
fn a_crashing_part_is_quarantined_though_callers_repeat_its_requests() {
    for seed in 0..4 {
        for was_answered in [false, true] {
            for every_ticks in [60, 150, 400] {
                let mut world = World::new(18, seed, Options::default());
                world.crashing_from_ms = match was_answered {
                    true => world.now_ms + 3_000,
                    false => 0,
                };
                for tick in 0..9_000_u64 {
                    world.submit_sound(40.0, 20);
                    if tick % every_ticks == 0 {
                        // The caller sends each request six times.
                        world.submit_identified(&[COMMON, CRASHING[0]], tick / every_ticks / 6);
                    }
                    world.step();
                }
                let further = world.further(CRASHING[0]);
                let state =
                    format!("seed {seed}, answered {was_answered}, each {every_ticks} ticks");
                expect_that!(further, le(FURTHER_MAX), "{state}");
                let in_force = world.dispatcher.quarantines(world.now_ms);
                let of_parts =
                    in_force.iter().filter(|known| !known.suspects.iter().any(is_request));
                expect_that!(of_parts.count(), le(1), "{state}");
            }
        }
    }
}

#[gtest]
fn two_crashing_parts_at_once_are_quarantined_each() {
    for seed in 0..4 {
        let mut world = World::new(18, seed, Options::default());
        for _ in 0..4_000 {
            world.submit_sound(80.0, 20);
            CRASHING.into_iter().for_each(|part| world.submit_crashing(2.0, part));
            world.step();
        }
        for part in CRASHING {
            expect_that!(world.further(part), le(FURTHER_MAX), "seed {seed}");
        }
        let in_force: BTreeSet<Vec<u64>> = world.in_force().into_iter().collect();
        expect_that!(in_force, eq(&CRASHING.iter().map(|part| vec![*part]).collect()));
    }
}

#[gtest]
fn a_crashing_part_is_found_where_it_is_in_all_requests() {
    let mut world = World::new(8, 1, Options::default());
    for _ in 0..6_000 {
        world.submit_crashing(2.0, CRASHING[0]);
        world.step();
    }
    expect_that!(world.further(CRASHING[0]), le(FURTHER_MAX));
}

#[gtest]
fn crashes_with_other_causes_accuse_no_sound_part() {
    for seed in 0..6 {
        for per_s in [5.0, 80.0, 400.0] {
            for subjects in [1, 20, 5_000] {
                let mut world = World::new(18, seed, Options::default());
                let names: Vec<EndpointName> = world.engines.keys().cloned().collect();
                for tick in 0..4_000_u64 {
                    world.submit_sound(per_s, subjects);
                    // One engine after the other, then many at the same time, then all.
                    if tick % 150 == 100 && tick < 2_000 {
                        let crashed = world.rng.random_range(0..names.len());
                        world.crash(&names[crashed]);
                    }
                    if tick % 400 == 0 && tick >= 2_000 {
                        names[..9].iter().for_each(|name| world.crash(name));
                    }
                    if tick == 3_500 {
                        names.iter().for_each(|name| world.crash(name));
                    }
                    world.step();
                }
                let quarantined = &world.quarantined;
                expect_that!(quarantined, is_empty(), "seed {seed}, {per_s} of {subjects}");
            }
        }
    }
}

#[gtest]
fn a_quarantine_that_proves_wrong_ends_with_its_trial() {
    let mut world = World::new(12, 1, Options::default());
    // A part that is seen only where endpoints happen to crash.
    let unlucky = 77;
    for _ in 0..3 {
        for _ in 0..40 {
            world.submit_sound(30.0, 20);
            world.step();
        }
        world.submit(&[COMMON, unlucky]);
        let at = world.running.values().find(|running| running.parts.contains(&unlucky));
        let at = at.map(|running| running.endpoint.clone()).unwrap();
        world.crash(&at);
        for _ in 0..400 {
            world.submit_sound(30.0, 20);
            world.step();
        }
    }
    let accused = world.quarantined.iter().any(|parts| parts.contains(&unlucky));
    expect_that!(accused, eq(true));
    for _ in 0..1_500 {
        world.submit_sound(30.0, 20);
        world.submit(&[COMMON, unlucky]);
        world.step();
    }
    expect_that!(world.in_force(), is_empty());
}

#[gtest]
fn neither_a_retry_nor_a_callers_own_repeat_takes_a_suspect_prompt_to_a_second_endpoint() {
    let mut world = World::new(6, 1, Options::default());
    for _ in 0..200 {
        world.submit_sound(80.0, 20);
        world.step();
    }
    let prompt = vec![COMMON, CRASHING[0], 0x5000];
    world.submit_prompt(prompt.clone(), false);
    while world.crashed_ms.is_empty() {
        world.submit_sound(80.0, 20);
        world.step();
    }
    for repeat in [true, false] {
        let refused = world.refused;
        world.submit_prompt(prompt.clone(), repeat);
        expect_that!(world.refused, eq(refused + 1), "repeat {repeat}");
    }
    // A sound request that was lost at the same time is retried: its parts were answered before.
    let refused = world.refused;
    world.submit_prompt(vec![COMMON, 0x5001], true);
    expect_that!(world.refused, eq(refused));
}

#[gtest]
fn crashes_seen_by_several_instances_without_a_leader_are_known_to_the_next_one() {
    let options = Options::default().for_one_of(5, 1);
    let mut reports = Vec::new();
    for seed in 0..5 {
        let mut instance = World::new(18, seed, options);
        let before = 400 + 60 * seed;
        for _ in 0..before {
            instance.submit_sound(20.0, 5);
            instance.step();
        }
        instance.submit(&[COMMON, CRASHING[0]]);
        for _ in 0..400 - 60 * seed {
            instance.submit_sound(20.0, 5);
            instance.step();
        }
        // Alone, it keeps the part from endpoints after the first crash.
        let refused = instance.refused;
        instance.submit(&[COMMON, CRASHING[0]]);
        expect_that!(instance.refused, eq(refused + 1));
        reports.push(rename_endpoints(instance.dispatcher.usage(instance.now_ms, 1), seed));
    }
    let mut leader = World::new(18, 9, Options::default());
    for (number, report) in (1..).zip(&reports) {
        leader.dispatcher.restore_usage(leader.now_ms, number, report);
    }
    for _ in 0..200 {
        leader.submit_sound(80.0, 5);
        leader.step();
    }
    expect_that!(leader.in_force(), elements_are![elements_are![eq(&CRASHING[0])]]);
    // What it knows goes to a further leader and to instances.
    let told = leader.dispatcher.quarantines(leader.now_ms);
    let mut instance = World::new(18, 10, options);
    instance.dispatcher.set_quarantines(instance.now_ms, &told);
    instance.submit(&[COMMON, CRASHING[0]]);
    expect_that!(instance.refused, eq(1));
    let usage = instance.dispatcher.usage(instance.now_ms, 1);
    let mut next = World::new(18, 11, Options::default());
    next.dispatcher.restore_usage(next.now_ms, 1, &usage);
    next.submit(&[COMMON, CRASHING[0]]);
    expect_that!(next.refused, eq(1));
}

/// Gives the endpoints of a report names of their own: each instance saw another one crash.
fn rename_endpoints(mut usage: UsageReport, seed: u64) -> UsageReport {
    for crash in &mut usage.crashes.crashes {
        crash.start.endpoint = format!("{}-{seed}", crash.start.endpoint).into();
    }
    usage
}

#[gtest]
fn what_is_remembered_is_bounded_under_endless_distinct_parts() {
    let mut world = World::new(18, 1, Options::default());
    let names: Vec<EndpointName> = world.engines.keys().cloned().collect();
    for tick in 0..30_000_u64 {
        let base = 1_000 * tick;
        world.submit(&[COMMON, base, base + 1, base + 2]);
        if tick % 40 == 0 {
            let crashed = world.rng.random_range(0..names.len());
            world.crash(&names[crashed]);
        }
        world.step();
    }
    let CrashReport { crashes, answers, quarantines } =
        world.dispatcher.usage(world.now_ms, 1).crashes;
    expect_that!(crashes.len(), le(1_200));
    expect_that!(answers.len(), le(512));
    expect_that!(quarantines, is_empty());
}

#[gtest]
fn a_reset_connection_of_an_endpoint_that_answers_on_is_no_crash() {
    let mut world = World::new(4, 1, Options::default());
    for _ in 0..4_000 {
        world.submit_sound(60.0, 2_000);
        let unlucky = world.running.iter().find(|(_, running)| !running.has_begun);
        let unlucky = unlucky.map(|(job_id, _)| *job_id);
        if let Some(job_id) = unlucky.filter(|_| world.rng.random_bool(0.1)) {
            world.running.remove(&job_id);
            let outcome = finished(job_id, Outcome::Broken);
            let lost = Finished { first_byte_ms: None, is_connection_lost: true, ..outcome };
            world.dispatcher.finish(world.now_ms, lost);
        }
        world.step();
    }
    expect_that!(world.quarantined, is_empty());
}
