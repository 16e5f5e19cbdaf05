//! Rollouts with a time limit of seconds: good versions in time, bad ones back, little for either
//! until then.

use googletest::prelude::*;
use lycheehub_control::moves::{
    Observation, ObservationKey, Observations, RolloutController, VersionCapacity,
};
use lycheehub_control::state::{Command, RolloutOrder, RolloutState, RolloutStep, State};
use lycheehub_types::{Route, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BEGIN_UNIX_MS: u64 = 1_000_000;
const DURATION_MS: u64 = 12_000;
const PER_S: f64 = 150.0;

/// What is wrong with the new version, from when on.
#[derive(Clone, Copy)]
struct Fault {
    fails: f64,
    slower: f64,
    from_ms: u64,
    /// On one route of five only.
    on_one_route: bool,
}

const GOOD: Fault = Fault { fails: 0.0, slower: 1.0, from_ms: 0, on_one_route: false };

struct Played {
    state: RolloutState,
    /// When it ended, in milliseconds after the order.
    ended_ms: u64,
    /// The share of all requests until the time limit that went to the new version.
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

/// Plays a rollout; the new version's endpoints are there after 1.5 s.
fn play(seed: u64, fault: Fault) -> Played {
    const STEP_MS: u64 = 50;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut state = State::default();
    state.apply(1, Command::StartRollout(order()));
    let mut rollouts = RolloutController::default();
    let (mut index, mut all, mut new) = (1, 0.0, 0.0);
    let writer: ServiceName = "writer".into();
    let mut ended_ms = DURATION_MS;
    for at_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let record = state.rollouts[&writer].clone();
        let mut seen = Observations::new();
        for _ in 0..(PER_S * STEP_MS as f64 / 1e3) as u32 {
            let route = rng.random_range(0..5);
            let is_new = match record.state {
                RolloutState::Running => rng.random_ratio(record.share_permille, 1_000),
                state => state == RolloutState::Completed,
            };
            all += 1.0;
            new += f64::from(u8::from(is_new));
            let is_bad = is_new && at_ms >= fault.from_ms && (!fault.on_one_route || route == 0);
            // One in a hundred fails anyway, and engines are five to one in speed.
            let fails = 0.01 + if is_bad { fault.fails } else { 0.0 };
            let pace_ms = [70.0, 25.0, 14.0][rng.random_range(0..3)] * rng.random_range(0.7..1.4);
            let pace_ms = pace_ms * if is_bad { fault.slower } else { 1.0 };
            let version = if is_new { "v2" } else { "v1" };
            let failed = rng.random::<f64>() < fails;
            let observation =
                if failed { Observation::failure() } else { Observation::success(pace_ms) };
            *seen.entry(key(version, route)).or_default() += observation;
        }
        rollouts.observe(&state, &seen);
        let new_slots = if at_ms < 1_500 { 0 } else { 9 };
        let old_running = if record.share_permille == 1_000 { 0 } else { 100 };
        let versions = |_: &_| VersionCapacity { new_slots, old_running };
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
    Played { state, ended_ms, exposure: new / all }
}

#[gtest]
fn a_good_version_is_completed_in_time() {
    for seed in 0..40 {
        let played = play(seed, GOOD);
        expect_that!(played.state, eq(RolloutState::Completed), "seed {seed}");
        expect_that!(played.ended_ms, lt(DURATION_MS));
    }
}

#[gtest]
fn a_bad_version_is_taken_back_and_gets_a_tenth_at_most() {
    let faults = [
        Fault { fails: 0.4, ..GOOD },
        Fault { fails: 0.4, from_ms: 5_000, ..GOOD },
        Fault { slower: 5.0, ..GOOD },
        Fault { fails: 0.8, on_one_route: true, ..GOOD },
    ];
    // Fifty requests besides, of those that come until the time limit.
    let slack = 50.0 / (PER_S * DURATION_MS as f64 / 1e3);
    for (number, fault) in faults.into_iter().enumerate() {
        for seed in 0..20 {
            let played = play(seed, fault);
            expect_that!(played.state, eq(RolloutState::RolledBack), "fault {number} {seed}");
            expect_that!(played.exposure, lt(0.1 + slack), "fault {number} {seed}");
        }
    }
}

#[gtest]
fn a_version_without_endpoints_is_taken_back_at_its_time() {
    let mut state = State::default();
    state.apply(1, Command::StartRollout(order()));
    let mut rollouts = RolloutController::default();
    let none = |_: &_| VersionCapacity::default();
    expect_that!(rollouts.tick(BEGIN_UNIX_MS + 6_000, &state, none), is_empty());
    let steps = rollouts.tick(BEGIN_UNIX_MS + DURATION_MS, &state, none);
    expect_that!(steps.len(), eq(1));
    expect_that!(steps[0].state, eq(RolloutState::RolledBack));
}

#[gtest]
fn a_step_that_was_decided_by_an_older_record_changes_nothing() {
    let mut state = State::default();
    state.apply(4, Command::StartRollout(order()));
    let step = |after_revision, state| RolloutStep {
        service: "writer".into(),
        after_revision,
        state,
        share_permille: 0,
        reason: "".into(),
        now_unix_ms: BEGIN_UNIX_MS + 100,
    };
    state.apply(5, Command::StepRollout(step(4, RolloutState::RolledBack)));
    state.apply(6, Command::StepRollout(step(4, RolloutState::Completed)));
    state.apply(7, Command::StepRollout(step(5, RolloutState::Completed)));
    let record = state.rollouts[&"writer".into()].clone();
    expect_that!(record.state, eq(RolloutState::RolledBack));
    expect_that!(record.ended_unix_ms, eq(BEGIN_UNIX_MS + 100));
    // What was taken back gets nothing while another version is rolled out.
    let next = RolloutOrder { target: "v3".into(), ..order() };
    state.apply(8, Command::StartRollout(next));
    expect_that!(state.rollouts[&"writer".into()].barred, elements_are![eq(&"v2".into())]);
    state.apply(9, Command::StartRollout(order()));
    expect_that!(state.rollouts[&"writer".into()].barred, is_empty());
}
