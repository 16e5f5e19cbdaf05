//! Versions that turn bad at any moment of a rollout: while requests are counted by its time limit, they
//! get no more than a bad version may get.

use googletest::prelude::*;
use lycheehub_control::moves::{
    Observation, ObservationKey, Observations, RolloutController, RolloutOptions, VersionCapacity,
};
use lycheehub_control::state::{Command, RolloutOrder, RolloutState, State};
use lycheehub_types::{Route, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BEGIN_UNIX_MS: u64 = 1_000_000;
const STEP_MS: u64 = 10;
/// The interval between the leader's decisions, in milliseconds.
const TICK_MS: u64 = 100;
/// The time until a step is committed, in milliseconds.
const COMMIT_MS: u64 = 30;
/// When the new version's endpoints are there, in milliseconds after the order.
const ENDPOINTS_MS: u64 = 1_000;
const OPTIONS: RolloutOptions = RolloutOptions { exposure_share: 0.1, exposure_slack: 50.0 };
/// A bad version gets nothing that is sent later than this after its 50th bad answer, in milliseconds.
const ROLLBACK_MS: u64 = 5_000;
const BAD_ANSWERS: u64 = 50;
const SEEDS: u64 = 10;
/// The endpoints of the new version; a request goes to the one that runs the fewest.
const NEW_ENDPOINTS: usize = 3;
/// An endpoint is under load while it runs this many requests.
const LOADED_REQUESTS: usize = 2;

/// A rollout and what is wrong with its version.
#[derive(Clone, Copy, Debug)]
struct Case {
    requests_per_s: f64,
    duration_ms: u64,
    /// How long a request lasts, in milliseconds.
    request_ms: u64,
    failures_percent: u32,
    bad_from_ms: u64,
    /// The version fails only while it gets more than this share, in thousandths.
    bad_above_permille: u32,
    /// How many times as long a request to the new version takes at an endpoint under load.
    slowdown_under_load: f64,
    /// When the leader is lost, and how long it takes until another one leads, which knows nothing of what
    /// was observed.
    leader_lost_ms: Option<u64>,
    leaderless_ms: u64,
}

const CASE: Case = Case {
    requests_per_s: 83.0,
    duration_ms: 12_000,
    request_ms: 20,
    failures_percent: 0,
    bad_from_ms: 0,
    bad_above_permille: 0,
    slowdown_under_load: 1.0,
    leader_lost_ms: None,
    leaderless_ms: 0,
};

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct Request {
    ends_ms: u64,
    is_failed: bool,
    slowdown: f64,
    /// The endpoint of the new version, unless it runs at the old one.
    endpoint: Option<usize>,
}

#[derive(Debug)]
struct Outcome {
    state: RolloutState,
    /// The requests that the new version got until the time limit, and those that it may get.
    received: f64,
    allowed: f64,
    /// The requests that it got too long after its 50th bad answer.
    late: u64,
}

fn simulate(seed: u64, case: Case) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut state = State::default();
    let writer = ServiceName::from("writer");
    let order = RolloutOrder {
        service: writer.clone(),
        target: "v2".into(),
        duration_ms: case.duration_ms,
        now_unix_ms: BEGIN_UNIX_MS,
    };
    state.apply(1, Command::StartRollout(order));
    let mut rollouts = RolloutController::new(OPTIONS);
    let mut in_flight: Vec<Request> = Vec::new();
    let mut committing: Vec<(u64, Command)> = Vec::new();
    let (mut new_placed, mut old_placed) = (0, 0);
    // The requests since the last step.
    let (mut revision, mut all_since, mut new_since) = (0, 0, 0);
    let (mut all, mut received, mut late, mut bad, mut fiftieth_ms) = (0.0, 0.0, 0, 0, None);
    for at_ms in (0..case.duration_ms + 2 * ROLLBACK_MS).step_by(STEP_MS as usize) {
        for (_, command) in committing.extract_if(.., |(ready_ms, _)| *ready_ms <= at_ms) {
            state.apply(2 + at_ms, command);
        }
        let record = state.rollouts[&writer].clone();
        if record.revision != revision {
            (revision, all_since, new_since) = (record.revision, 0, 0);
        }
        let is_led = case
            .leader_lost_ms
            .is_none_or(|lost_ms| !(lost_ms..lost_ms + case.leaderless_ms).contains(&at_ms));
        let share_permille = match record.state {
            // Instances without a leader withhold a version under comparison.
            RolloutState::Running if !is_led && record.share_permille < 1_000 => 0,
            RolloutState::Running => record.share_permille,
            RolloutState::Completed => 1_000,
            RolloutState::RolledBack => 0,
        };
        if rng.random_bool(case.requests_per_s * STEP_MS as f64 / 1e3) {
            // The dispatcher divides requests exactly.
            let is_new = (1 + new_since) * 1_000 <= (1 + all_since) * u64::from(share_permille);
            all_since += 1;
            new_since += u64::from(is_new);
            let is_failed = is_new
                && at_ms >= case.bad_from_ms
                && share_permille > case.bad_above_permille
                && rng.random_ratio(case.failures_percent, 100);
            let running = |endpoint: usize| {
                in_flight.iter().filter(|request| request.endpoint == Some(endpoint)).count()
            };
            let endpoint = (0..NEW_ENDPOINTS).min_by_key(|endpoint| running(*endpoint));
            let endpoint = endpoint.filter(|_| is_new);
            let is_loaded =
                endpoint.is_some_and(|endpoint| running(endpoint) + 1 >= LOADED_REQUESTS);
            let slowdown = if is_loaded { case.slowdown_under_load } else { 1.0 };
            let ends_ms = at_ms + (case.request_ms as f64 * slowdown) as u64;
            new_placed += u64::from(is_new);
            old_placed += u64::from(!is_new);
            in_flight.push(Request { ends_ms, is_failed, slowdown, endpoint });
            if at_ms < case.duration_ms {
                all += 1.0;
                received += f64::from(u8::from(is_new));
            }
            late += u64::from(is_new && fiftieth_ms.is_some_and(|ms| at_ms > ms + ROLLBACK_MS));
        }
        let mut seen = Observations::new();
        for request in in_flight.extract_if(.., |request| request.ends_ms <= at_ms) {
            bad += u64::from(request.is_failed || request.slowdown > 1.0);
            if bad == BAD_ANSWERS {
                fiftieth_ms.get_or_insert(at_ms);
            }
            let version = if request.endpoint.is_some() { "v2" } else { "v1" }.into();
            let route = Route::new("rank 0");
            let key = ObservationKey { service: writer.clone(), version, route };
            let pace_ms = rng.random_range(15.0..25.0) * request.slowdown;
            *seen.entry(key).or_default() += match request.is_failed {
                true => Observation::failure(),
                false => Observation::success(pace_ms),
            };
        }
        if !is_led {
            continue;
        }
        rollouts.observe(&state, &seen);
        if !at_ms.is_multiple_of(TICK_MS) {
            continue;
        }
        let new_slots = if at_ms < ENDPOINTS_MS { 0 } else { 9 };
        let capacity = |_: &_| VersionCapacity {
            new_slots,
            cold_slots: 0,
            old_slots: 9,
            new_placed,
            old_placed,
        };
        let steps = rollouts.tick(BEGIN_UNIX_MS + at_ms, &state, capacity);
        committing
            .extend(steps.into_iter().map(|step| (at_ms + COMMIT_MS, Command::StepRollout(step))));
    }
    let allowed = OPTIONS.exposure_share * all + OPTIONS.exposure_slack;
    Outcome { state: state.rollouts[&writer].state, received, allowed, late }
}

/// Expects that the version is rolled back and gets no more than it may.
fn expect_rolled_back(case: Case) {
    for seed in 0..SEEDS {
        let outcome = simulate(seed, case);
        expect_that!(outcome.state, eq(RolloutState::RolledBack), "{case:?} {seed} {outcome:?}");
        expect_that!(outcome.received, le(outcome.allowed), "{case:?} {seed}");
        expect_that!(outcome.late, eq(0), "{case:?} {seed}");
    }
}

/// Guards against a version that is completed before its time limit and turns bad in the rest of the time
/// (review/4).
#[gtest]
fn a_version_that_turns_bad_late_is_rolled_back() {
    for bad_from_ms in [0, 6_000, 9_000, 10_000, 11_000, 11_300] {
        for failures_percent in [40, 100] {
            expect_rolled_back(Case { bad_from_ms, failures_percent, ..CASE });
        }
    }
    for requests_per_s in [50.0, 95.0] {
        expect_rolled_back(Case {
            requests_per_s,
            bad_from_ms: 10_000,
            failures_percent: 40,
            ..CASE
        });
    }
}

/// Guards against a version that fails only under load and is judged by its small share (review/4).
#[gtest]
fn a_version_that_fails_only_at_most_of_the_traffic_is_rolled_back() {
    let bad_above_permille = 500;
    expect_rolled_back(Case { bad_above_permille, failures_percent: 40, ..CASE });
}

/// Guards against a version that is judged where it is not loaded, and is slow where it is (review/7).
#[gtest]
fn a_version_that_is_slow_only_under_load_is_rolled_back() {
    let case = Case { requests_per_s: 60.0, request_ms: 60, slowdown_under_load: 4.0, ..CASE };
    for duration_ms in [6_000, 12_000, 20_000, 60_000, 600_000] {
        for slowdown_under_load in [3.0, 4.0, 6.0] {
            expect_rolled_back(Case { duration_ms, slowdown_under_load, ..case });
        }
    }
    for lost_before_ms in [10_500, 8_000, 6_000, 1_000, 600] {
        let leader_lost_ms = Some(case.duration_ms - lost_before_ms);
        expect_rolled_back(Case { leader_lost_ms, leaderless_ms: 800, ..case });
    }
}

/// Guards against a new leader that completes a rollout of which it has seen nothing (review/6).
#[gtest]
fn a_version_that_fails_under_load_is_rolled_back_though_the_leader_is_lost() {
    let case = Case { bad_above_permille: 500, failures_percent: 50, ..CASE };
    for lost_before_ms in (300..=1_500).step_by(100) {
        for leaderless_ms in [0, 200, 800] {
            let leader_lost_ms = Some(case.duration_ms - lost_before_ms);
            expect_rolled_back(Case { leader_lost_ms, leaderless_ms, ..case });
        }
    }
}

/// Guards against too many requests at a version that has not shown yet whether it is bad, whatever comes of
/// it (review/4).
#[gtest]
fn a_version_gets_no_more_before_its_time_limit_than_a_bad_one_may() {
    for (requests_per_s, duration_ms) in
        [(83.0, 12_000), (5.0, 12_000), (83.0, 3_000), (83.0, 60_000), (95.0, 30_000)]
    {
        for request_ms in [20, 1_000, 8_000] {
            for leader_lost_ms in [None, Some(duration_ms - 2_000), Some(duration_ms - 700)] {
                let case = Case { requests_per_s, duration_ms, request_ms, leader_lost_ms, ..CASE };
                for seed in 0..SEEDS {
                    let outcome = simulate(seed, case);
                    expect_that!(outcome.received, le(outcome.allowed), "{case:?} {seed}");
                }
            }
        }
    }
}

/// Guards against sound versions that are taken back because their leader is lost (review/6).
#[gtest]
fn good_versions_are_completed_though_the_leader_is_lost() {
    for (requests_per_s, duration_ms, request_ms) in
        [(60.0, 12_000, 60), (20.0, 12_000, 60), (60.0, 6_000, 60), (83.0, 12_000, 20)]
    {
        for lost_before_ms in [6_000, 4_000, 2_000, 1_000, 950, 900, 800, 600, 400] {
            if lost_before_ms + 1_000 > duration_ms {
                continue;
            }
            let leader_lost_ms = Some(duration_ms - lost_before_ms);
            let case = Case { requests_per_s, duration_ms, request_ms, leader_lost_ms, ..CASE };
            let case = Case { leaderless_ms: 800, ..case };
            for seed in 0..SEEDS {
                let outcome = simulate(seed, case);
                expect_that!(outcome.state, eq(RolloutState::Completed), "{case:?} {seed}");
                expect_that!(outcome.received, le(outcome.allowed), "{case:?} {seed}");
            }
        }
    }
}

#[gtest]
fn good_versions_are_completed_by_their_time_limit() {
    for (requests_per_s, duration_ms) in
        [(83.0, 12_000), (5.0, 12_000), (83.0, 3_000), (83.0, 60_000), (95.0, 30_000)]
    {
        let case = Case { requests_per_s, duration_ms, ..CASE };
        for seed in 0..SEEDS {
            let outcome = simulate(seed, case);
            expect_that!(outcome.state, eq(RolloutState::Completed), "{case:?} {seed}");
        }
    }
}
