//! Rollouts and moves over 10,000 simulated runs each while endpoints of either version pause, so
//! that all requests that run there are slow together.

use googletest::prelude::*;
use lycheehub_control::moves::{
    Comparison, MoveController, Observation, ObservationKey, Observations, RolloutController, Side,
    SlotsByVersion, Verdict, VersionCapacity,
};
use lycheehub_control::state::{Command, Phase, RolloutOrder, RolloutState, State, Submission};
use lycheehub_types::{Route, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use std::collections::BTreeMap;

const RUNS: u64 = 10_000;
/// 2026-12-04T00:00:00Z, in milliseconds since the Unix epoch.
const BEGIN_UNIX_MS: u64 = 1_796_342_400_000;
const ROLLOUT_MS: u64 = 12_000;
/// The time limit of a move, also in the document below.
const MOVE_MS: u64 = 45_000;
/// The interval of the leader's rollout ticks and of the reports of instances.
const STEP_MS: u64 = 200;
const BASELINE_FAILURES: f64 = 0.002;
/// The endpoints of each version and their slots.
const ENDPOINTS: usize = 5;
const SLOTS: u32 = 8;
/// The mean time between the pauses of one endpoint, and between those of the whole machine.
const ENDPOINT_PAUSE_INTERVAL_MS: f64 = 60_000.0;
const MACHINE_PAUSE_INTERVAL_MS: f64 = 120_000.0;
/// The shortest and the longest pause.
const PAUSE_MS: (f64, f64) = (500.0, 2_500.0);

/// The instances, each of which compares its own requests during a move.
const INSTANCES: usize = 3;
/// The interval at which instances close windows with little traffic.
const INSTANCE_WINDOW_MS: u64 = 5_000;

const OLD: usize = 0;
const NEW: usize = 1;

/// The behaviour of the new version.
#[derive(Clone, Copy, Debug)]
struct Kind {
    slowdown: f64,
    failures: f64,
}

const GOOD: Kind = Kind { slowdown: 1.0, failures: BASELINE_FAILURES };

/// The requests to the service.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    requests_per_s: f64,
    /// The least and the greatest number of tokens of an answer.
    tokens: (u32, u32),
    token_ms: f64,
}

/// Answers of 0.1 to 0.9 s.
const MIXED: Traffic = Traffic { requests_per_s: 80.0, tokens: (4, 60), token_ms: 15.0 };
/// Answers of a hundredth of a second.
const SHORT: Traffic = Traffic { requests_per_s: 200.0, tokens: (4, 4), token_ms: 2.5 };
/// Answers of 1 to 8 s.
const LONG: Traffic = Traffic { requests_per_s: 40.0, tokens: (60, 400), token_ms: 20.0 };

/// How a simulated run ended.
#[derive(Clone, Debug)]
struct RunResult {
    taken_back: bool,
    ended_ms: u64,
    to_new: u64,
    /// The first word of the reason.
    reason: SmolStr,
}

/// The pauses of one endpoint: beginning and end, in milliseconds, ordered and disjoint.
type Pauses = Vec<(f64, f64)>;

/// The outcomes that one instance sees, by version and route.
type Outcomes = [[Observation; 2]; 2];

/// The endpoints of both versions and their requests.
struct Service {
    rng: SmallRng,
    kind: Kind,
    traffic: Traffic,
    /// By version and endpoint.
    pauses: [Vec<Pauses>; 2],
    /// When the last pause that an endpoint's requests met began, and the requests it holds.
    held: [[(f64, u32); ENDPOINTS]; 2],
    /// The outcomes by the step in which they are known.
    outcomes: Vec<[Outcomes; INSTANCES]>,
    to_new: u64,
    to_old: u64,
}

fn draw_pauses(rng: &mut SmallRng, interval_ms: f64, until_ms: f64) -> Pauses {
    let mut pauses = Pauses::new();
    let mut at_ms = 0.0;
    loop {
        at_ms -= interval_ms * (1.0 - rng.random::<f64>()).ln();
        if at_ms >= until_ms {
            return pauses;
        }
        let end_ms = at_ms + rng.random_range(PAUSE_MS.0..PAUSE_MS.1);
        pauses.push((at_ms, end_ms));
        at_ms = end_ms;
    }
}

fn merge(mut pauses: Pauses, others: &Pauses) -> Pauses {
    pauses.extend(others);
    pauses.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut merged = Pauses::new();
    for (begin_ms, end_ms) in pauses {
        match merged.last_mut() {
            Some(last) if begin_ms <= last.1 => last.1 = last.1.max(end_ms),
            _ => merged.push((begin_ms, end_ms)),
        }
    }
    merged
}

impl Service {
    fn new(seed: u64, kind: Kind, traffic: Traffic, duration_ms: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let until_ms = duration_ms as f64;
        let of_machine = draw_pauses(&mut rng, MACHINE_PAUSE_INTERVAL_MS, until_ms);
        let pauses = [OLD, NEW].map(|_| {
            let mut draw = |_| draw_pauses(&mut rng, ENDPOINT_PAUSE_INTERVAL_MS, until_ms);
            (0..ENDPOINTS).map(&mut draw).map(|own| merge(own, &of_machine)).collect()
        });
        Self {
            rng,
            kind,
            traffic,
            pauses,
            held: [[(0.0, 0); ENDPOINTS]; 2],
            outcomes: vec![Default::default(); (duration_ms / STEP_MS) as usize + 1],
            to_new: 0,
            to_old: 0,
        }
    }

    /// Returns an endpoint with a free slot. The canary's requests go to as few as its share fills.
    fn endpoint(&mut self, version: usize, share_permille: u32, at_ms: f64) -> Option<usize> {
        let used = match version {
            NEW => (ENDPOINTS * share_permille as usize).div_ceil(1_000).max(1),
            _ => ENDPOINTS,
        };
        let first = self.rng.random_range(0..used);
        (0..used).map(|turn| (first + turn) % used).find(|endpoint| {
            let pause = self.pauses[version][*endpoint]
                .iter()
                .find(|(begin_ms, end_ms)| (*begin_ms..*end_ms).contains(&at_ms));
            let Some((begin_ms, _)) = pause else { return true };
            let held = &mut self.held[version][*endpoint];
            if held.0 != *begin_ms {
                *held = (*begin_ms, 0);
            }
            held.1 += 1;
            held.1 <= SLOTS
        })
    }

    /// Returns when a request that needs `work_ms` of an endpoint's time ends.
    fn end_ms(&self, version: usize, endpoint: usize, begin_ms: f64, work_ms: f64) -> f64 {
        let (mut at_ms, mut left_ms) = (begin_ms, work_ms);
        for (pause_ms, resume_ms) in &self.pauses[version][endpoint] {
            if *resume_ms <= at_ms {
                continue;
            }
            if *pause_ms >= at_ms + left_ms {
                break;
            }
            left_ms -= (pause_ms - at_ms).max(0.0);
            at_ms = *resume_ms;
        }
        at_ms + left_ms
    }

    fn send(&mut self, at_ms: f64, share_permille: u32) {
        const SPREAD: f64 = 0.25;
        let mut version = usize::from(self.rng.random_range(0..1_000) < share_permille);
        let route = usize::from(self.rng.random_bool(0.3));
        let mut endpoint = self.endpoint(version, share_permille, at_ms);
        if endpoint.is_none() {
            version = 1 - version;
            endpoint = self.endpoint(version, share_permille, at_ms);
        }
        let Some(endpoint) = endpoint else { return };
        self.to_new += u64::from(version == NEW && share_permille > 0);
        self.to_old += u64::from(version != NEW);
        let kind = if version == NEW { self.kind } else { GOOD };
        let tokens =
            f64::from(self.rng.random_range(self.traffic.tokens.0..=self.traffic.tokens.1));
        // The sum of four uniform draws is close enough to a normal distribution.
        let sum: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum();
        let pace = (SPREAD * (sum - 2.0) * 3.0_f64.sqrt()).exp();
        let work_ms = tokens * self.traffic.token_ms * kind.slowdown * pace;
        let end_ms = self.end_ms(version, endpoint, at_ms, work_ms);
        let outcome = if self.rng.random_bool(kind.failures) {
            Observation::failure()
        } else {
            Observation::success((end_ms - at_ms) / tokens)
        };
        let instance = self.rng.random_range(0..INSTANCES);
        // What ends after the run is not seen.
        if let Some(step) = self.outcomes.get_mut((end_ms / STEP_MS as f64) as usize) {
            step[instance][version][route] += outcome;
        }
    }

    /// Sends the requests of the step that begins at `at_ms`; returns the outcomes known in it by
    /// instance.
    fn step(&mut self, at_ms: u64, share_permille: u32) -> [Observations; INSTANCES] {
        let mean = self.traffic.requests_per_s * STEP_MS as f64 / 1e3;
        for _ in 0..self.rng.random_range(0..=(2.0 * mean) as u32) {
            let offset_ms = self.rng.random_range(0.0..STEP_MS as f64);
            self.send(at_ms as f64 + offset_ms, share_permille);
        }
        self.outcomes[(at_ms / STEP_MS) as usize].map(observations)
    }
}

fn observations(outcomes: Outcomes) -> Observations {
    let mut observations = Observations::new();
    for (version, routes) in outcomes.iter().enumerate() {
        for (route, outcome) in routes.iter().enumerate() {
            if outcome.requests > 0 {
                observations.insert(key(version, route), *outcome);
            }
        }
    }
    observations
}

/// Adds what an instance sees to its own comparison; returns the reason why it stops sending to the
/// new version.
fn compare_at_instance(
    comparison: &mut Comparison,
    at_ms: u64,
    seen: &Observations,
) -> Option<SmolStr> {
    for (key, observation) in seen {
        let side = if key.version.as_str() == "v2" { Side::New } else { Side::Old };
        comparison.add(side, &key.route, *observation);
    }
    comparison.advance(at_ms);
    if at_ms.is_multiple_of(INSTANCE_WINDOW_MS) {
        comparison.close_windows();
    }
    let Verdict::Regressed(reason) = comparison.verdict() else { return None };
    Some(reason)
}

fn key(version: usize, route: usize) -> ObservationKey {
    ObservationKey {
        service: "writer".into(),
        version: ["v1", "v2"][version].into(),
        route: Route::from(["chat", "labels"][route]),
    }
}

fn first_word(reason: &str) -> SmolStr {
    reason.split(' ').next().unwrap_or_default().into()
}

/// Simulates a rollout with a time limit of seconds.
fn rollout(seed: u64, kind: Kind, traffic: Traffic) -> RunResult {
    let mut service = Service::new(seed, kind, traffic, ROLLOUT_MS);
    let mut state = State::default();
    let order = RolloutOrder {
        service: "writer".into(),
        target: "v2".into(),
        duration_ms: ROLLOUT_MS,
        now_unix_ms: BEGIN_UNIX_MS,
    };
    state.apply(1, Command::StartRollout(order));
    let writer = ServiceName::from("writer");
    let mut controller = RolloutController::default();
    for at_ms in (0..ROLLOUT_MS).step_by(STEP_MS as usize) {
        let share_permille = state.rollouts[&writer].share_permille;
        let seen = service.step(at_ms, share_permille);
        seen.iter().for_each(|seen| controller.observe(&state, seen));
        let new_slots = if at_ms < 1_500 { 0 } else { ENDPOINTS as u32 * SLOTS };
        let old_slots = ENDPOINTS as u32 * SLOTS;
        let (new_placed, old_placed) = (service.to_new, service.to_old);
        let capacity =
            |_: &_| VersionCapacity { new_slots, cold_slots: 0, old_slots, new_placed, old_placed };
        let mut reason = SmolStr::default();
        for step in controller.tick(BEGIN_UNIX_MS + at_ms, &state, capacity) {
            reason = first_word(&step.reason);
            state.apply(2 + at_ms, Command::StepRollout(step));
        }
        let ended = state.rollouts[&writer].state;
        if ended != RolloutState::Running {
            let taken_back = ended == RolloutState::RolledBack;
            return RunResult { taken_back, ended_ms: at_ms, to_new: service.to_new, reason };
        }
    }
    let reason = "late".into();
    RunResult { taken_back: true, ended_ms: ROLLOUT_MS, to_new: service.to_new, reason }
}

/// Simulates a move to another version, with a leader change at some time in every second run.
fn moved(seed: u64, kind: Kind, traffic: Traffic) -> RunResult {
    let mut service = Service::new(seed, kind, traffic, MOVE_MS + 2_000);
    let text = "owner = \"ana\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n[move.m]\nservice = \"writer\"\nto = \"v2\"\nby = \"2026-12-04T00:00:45Z\"\n";
    let submission = Submission {
        section: "labels".into(),
        base_revision: 0,
        request_id: "r".into(),
        operator: "ana".into(),
        text: text.to_owned(),
    };
    let mut state = State::default();
    state.apply(1, Command::Submit(submission));
    let slots = ENDPOINTS as u32 * SLOTS;
    let supply: SlotsByVersion = ["v1", "v2"].map(|v| (("writer".into(), v.into()), slots)).into();
    let leader_change = service.rng.random_range(0..MOVE_MS / STEP_MS) * STEP_MS;
    let mut controller = MoveController::default();
    let mut comparisons = [(); INSTANCES].map(|()| Comparison::default());
    for at_ms in (0..MOVE_MS + 2_000).step_by(STEP_MS as usize) {
        let now_unix_ms = BEGIN_UNIX_MS + at_ms;
        let seen = service.step(at_ms, state.moves["m"].share_permille);
        if at_ms == leader_change && seed.is_multiple_of(2) {
            controller = MoveController::default();
        }
        for (comparison, seen) in comparisons.iter_mut().zip(&seen) {
            controller.observe(now_unix_ms, &state, seen);
            if let Some(reason) = compare_at_instance(comparison, at_ms, seen) {
                controller.trip(now_unix_ms, &"m".into(), reason);
            }
        }
        for step in controller.tick(now_unix_ms, &state, &supply) {
            state.apply(2 + at_ms, Command::StepMove(step));
        }
        let record = &state.moves["m"];
        if record.phase.is_final() {
            let taken_back = record.phase == Phase::Reverted;
            let reason = first_word(&record.reason);
            return RunResult { taken_back, ended_ms: at_ms, to_new: service.to_new, reason };
        }
    }
    let reason = "late".into();
    RunResult { taken_back: true, ended_ms: MOVE_MS, to_new: service.to_new, reason }
}

type Run = fn(u64, Kind, Traffic) -> RunResult;

/// Returns the part of the runs that took the version back; prints when they did.
fn taken_back(what: &str, run: Run, kind: Kind, traffic: Traffic) -> f64 {
    let results = (0..RUNS).map(|seed| run(seed, kind, traffic));
    let taken: Vec<RunResult> = results.filter(|result| result.taken_back).collect();
    let percentiles = |value: fn(&RunResult) -> u64| {
        let mut sorted: Vec<u64> = taken.iter().map(value).collect();
        sorted.sort_unstable();
        [50, 95].map(|percent| sorted.get(sorted.len() * percent / 100).copied().unwrap_or(0))
    };
    let mut reasons = BTreeMap::<&str, u32>::new();
    taken.iter().for_each(|result| *reasons.entry(&result.reason).or_default() += 1);
    println!(
        "{what} | {kind:?} | {}/s | taken back {} of {RUNS} | after ms (50, 95 in 100) {:?} | requests to it {:?} | {reasons:?}",
        traffic.requests_per_s,
        taken.len(),
        percentiles(|result| result.ended_ms),
        percentiles(|result| result.to_new),
    );
    taken.len() as f64 / RUNS as f64
}

// Eight requests that one pause slowed down together took a good version back.
#[gtest]
fn good_version_is_rarely_taken_back_by_a_rollout_while_endpoints_pause() {
    expect_that!(taken_back("rollout", rollout, GOOD, MIXED), le(0.001));
}

#[gtest]
fn good_version_is_rarely_taken_back_by_a_move_while_endpoints_pause() {
    expect_that!(taken_back("move", moved, GOOD, MIXED), le(0.001));
}

#[gtest]
fn good_version_with_short_answers_is_rarely_taken_back_while_endpoints_pause() {
    expect_that!(taken_back("move", moved, GOOD, SHORT), le(0.001));
}

#[gtest]
fn good_version_with_long_answers_is_rarely_taken_back_while_endpoints_pause() {
    expect_that!(taken_back("move", moved, GOOD, LONG), le(0.001));
}

#[gtest]
fn slow_version_is_taken_back_by_a_rollout_while_endpoints_pause() {
    expect_that!(taken_back("rollout", rollout, Kind { slowdown: 3.0, ..GOOD }, MIXED), ge(0.99));
}

#[gtest]
fn slow_version_is_taken_back_by_a_move_while_endpoints_pause() {
    expect_that!(taken_back("move", moved, Kind { slowdown: 1.5, ..GOOD }, MIXED), ge(0.99));
}

#[gtest]
fn failing_version_is_taken_back_while_endpoints_pause() {
    let half = Kind { failures: 0.5, ..GOOD };
    expect_that!(taken_back("rollout", rollout, half, MIXED), ge(0.99));
    expect_that!(taken_back("move", moved, Kind { failures: 0.1, ..GOOD }, MIXED), ge(0.99));
}

/// Prints how soon other versions are taken back; measured, not asserted.
#[test]
#[ignore = "measures only"]
fn print_when_bad_versions_are_taken_back() {
    for traffic in [MIXED, SHORT, LONG] {
        for slowdown in [1.0, 1.2, 1.5, 3.0] {
            taken_back("rollout", rollout, Kind { slowdown, ..GOOD }, traffic);
            taken_back("move", moved, Kind { slowdown, ..GOOD }, traffic);
        }
        for failures in [0.1, 1.0] {
            taken_back("rollout", rollout, Kind { failures, ..GOOD }, traffic);
            taken_back("move", moved, Kind { failures, ..GOOD }, traffic);
        }
    }
}
