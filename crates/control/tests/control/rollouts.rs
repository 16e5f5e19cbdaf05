//! Rollouts with a time limit of seconds: good versions complete in time, bad ones are rolled back,
//! and neither receives many requests until then.

use googletest::prelude::*;
use lycheehub_control::moves::{
    Observation, ObservationKey, Observations, RolloutController, VersionCapacity,
};
use lycheehub_control::state::{
    Command, RolloutEvidence, RolloutOrder, RolloutState, RolloutStep, State,
};
use lycheehub_types::{Route, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BEGIN_UNIX_MS: u64 = 1_000_000;
const DURATION_MS: u64 = 12_000;
const REQUESTS_PER_S: f64 = 150.0;

/// A fault of the new version and when it begins.
#[derive(Clone, Copy)]
struct Fault {
    failure_rate: f64,
    slowdown: f64,
    from_ms: u64,
    /// Whether the fault affects only one of five routes.
    on_one_route: bool,
}

const GOOD: Fault = Fault { failure_rate: 0.0, slowdown: 1.0, from_ms: 0, on_one_route: false };

struct RolloutResult {
    state: RolloutState,
    /// When the rollout ended, in milliseconds after the order.
    ended_ms: u64,
    /// The fraction of all requests up to the time limit that went to the new version.
    exposure: f64,
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "writer".into(),
        target: "v2".into(),
        duration_ms: DURATION_MS,
        now_unix_ms: BEGIN_UNIX_MS,
    }
}

fn key(version: &str, route: u32) -> ObservationKey {
    let route = Route::new(format!("rank {route}"));
    ObservationKey { service: "writer".into(), version: version.into(), route }
}

/// Simulates a rollout. The new version's endpoints become available after 1.5 s.
fn simulate(seed: u64, fault: Fault) -> RolloutResult {
    const STEP_MS: u64 = 50;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut state = State::default();
    state.apply(1, Command::StartRollout(order()));
    let mut rollouts = RolloutController::default();
    let (mut index, mut all, mut new) = (1, 0.0, 0.0);
    let writer: ServiceName = "writer".into();
    let mut ended_ms = DURATION_MS;
    let (mut new_placed, mut old_placed) = (0, 0);
    for at_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let record = state.rollouts[&writer].clone();
        let mut seen = Observations::new();
        for _ in 0..(REQUESTS_PER_S * STEP_MS as f64 / 1e3) as u32 {
            let route = rng.random_range(0..5);
            let is_new = match record.state {
                RolloutState::Running => rng.random_ratio(record.share_permille, 1_000),
                state => state == RolloutState::Completed,
            };
            all += 1.0;
            new += f64::from(u8::from(is_new));
            new_placed += u64::from(is_new);
            old_placed += u64::from(!is_new);
            let is_bad = is_new && at_ms >= fault.from_ms && (!fault.on_one_route || route == 0);
            // The baseline failure rate is 1%, and engine speeds differ by a factor of five.
            let failure_rate = 0.01 + if is_bad { fault.failure_rate } else { 0.0 };
            let pace_ms = [70.0, 25.0, 14.0][rng.random_range(0..3)] * rng.random_range(0.7..1.4);
            let pace_ms = pace_ms * if is_bad { fault.slowdown } else { 1.0 };
            let version = if is_new { "v2" } else { "v1" };
            let failed = rng.random::<f64>() < failure_rate;
            let observation =
                if failed { Observation::failure() } else { Observation::success(pace_ms) };
            *seen.entry(key(version, route)).or_default() += observation;
        }
        rollouts.observe(&state, &seen);
        let new_slots = if at_ms < 1_500 { 0 } else { 9 };
        let versions = |_: &_| VersionCapacity {
            new_slots,
            cold_slots: 0,
            old_slots: 9,
            new_placed,
            old_placed,
        };
        let now_unix_ms = BEGIN_UNIX_MS + at_ms;
        for step in rollouts.tick(now_unix_ms, &state, versions) {
            index += 1;
            state.apply(index, Command::StepRollout(step));
        }
        if record.state == RolloutState::Running
            && state.rollouts[&writer].state != RolloutState::Running
        {
            ended_ms = at_ms;
        }
    }
    let state = state.rollouts[&writer].state;
    RolloutResult { state, ended_ms, exposure: new / all }
}

#[gtest]
fn good_version_completes_in_time() {
    for seed in 0..40 {
        let result = simulate(seed, GOOD);
        expect_that!(result.state, eq(RolloutState::Completed), "seed {seed}");
        expect_that!(result.ended_ms, lt(DURATION_MS));
    }
}

#[gtest]
fn bad_version_is_rolled_back_and_gets_at_most_a_tenth() {
    let faults = [
        Fault { failure_rate: 0.4, ..GOOD },
        Fault { failure_rate: 0.4, from_ms: 5_000, ..GOOD },
        Fault { slowdown: 5.0, ..GOOD },
        Fault { failure_rate: 0.8, on_one_route: true, ..GOOD },
    ];
    // Allows 50 requests more, as a fraction of the requests up to the time limit.
    let slack = 50.0 / (REQUESTS_PER_S * DURATION_MS as f64 / 1e3);
    for (number, fault) in faults.into_iter().enumerate() {
        for seed in 0..20 {
            let result = simulate(seed, fault);
            expect_that!(result.state, eq(RolloutState::RolledBack), "fault {number} {seed}");
            expect_that!(result.exposure, lt(0.1 + slack), "fault {number} {seed}");
        }
    }
}

#[gtest]
fn version_without_endpoints_is_rolled_back_at_the_deadline() {
    let mut state = State::default();
    state.apply(1, Command::StartRollout(order()));
    let mut rollouts = RolloutController::default();
    let no_endpoints = |_: &_| VersionCapacity::default();
    expect_that!(rollouts.tick(BEGIN_UNIX_MS + 6_000, &state, no_endpoints), is_empty());
    let steps = rollouts.tick(BEGIN_UNIX_MS + DURATION_MS, &state, no_endpoints);
    expect_that!(steps.len(), eq(1));
    expect_that!(steps[0].state, eq(RolloutState::RolledBack));
}

#[gtest]
fn step_based_on_an_older_record_is_ignored() {
    let mut state = State::default();
    state.apply(4, Command::StartRollout(order()));
    let step = |after_revision, state| RolloutStep {
        service: "writer".into(),
        after_revision,
        state,
        share_permille: 0,
        reason: "".into(),
        now_unix_ms: BEGIN_UNIX_MS + 100,
        evidence: RolloutEvidence::default(),
    };
    state.apply(5, Command::StepRollout(step(4, RolloutState::RolledBack)));
    state.apply(6, Command::StepRollout(step(4, RolloutState::Completed)));
    state.apply(7, Command::StepRollout(step(5, RolloutState::Completed)));
    let record = state.rollouts[&"writer".into()].clone();
    expect_that!(record.state, eq(RolloutState::RolledBack));
    expect_that!(record.ended_unix_ms, eq(BEGIN_UNIX_MS + 100));
    // A rolled-back version stays barred while another version is rolled out.
    let next = RolloutOrder { target: "v3".into(), ..order() };
    state.apply(8, Command::StartRollout(next));
    expect_that!(state.rollouts[&"writer".into()].barred, elements_are![eq(&"v2".into())]);
    state.apply(9, Command::StartRollout(order()));
    expect_that!(state.rollouts[&"writer".into()].barred, is_empty());
}

// An order of an endless duration ended the leader (overflow in debug builds) or was rolled back at once.
#[gtest]
fn an_endless_rollout_runs_from_its_first_step() {
    for duration_ms in [u64::MAX, u64::MAX / 250, 1_000_000_000_000] {
        let mut state = State::default();
        state.apply(1, Command::StartRollout(RolloutOrder { duration_ms, ..order() }));
        let mut rollouts = RolloutController::default();
        let versions =
            |_: &_| VersionCapacity { new_slots: 9, old_slots: 9, ..VersionCapacity::default() };
        // The share depends on the rate of requests, which takes a moment to measure.
        for (index, at_ms) in [(2, 1), (3, 601)] {
            for step in rollouts.tick(BEGIN_UNIX_MS + at_ms, &state, versions) {
                expect_that!(step.state, eq(RolloutState::Running), "{duration_ms}");
                state.apply(index, Command::StepRollout(step));
            }
        }
        let record = &state.rollouts[&"writer".into()];
        expect_that!(record.share_permille, all![gt(0), lt(1_000)], "{duration_ms}");
    }
}
