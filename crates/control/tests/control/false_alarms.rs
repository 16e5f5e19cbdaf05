//! The error of the comparison of versions over whole rollouts: 10,000 simulated ones each of good, slow
//! and failing versions, looked at after every request of the new version.

use googletest::prelude::*;
use lycheehub_control::moves::{Comparison, Observation, Side, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ROLLOUTS: u64 = 10_000;
/// The shares of the new version, in thousandths, each for as many requests as [`STEP_REQUESTS`].
const SHARES_PERMILLE: [u32; 7] = [20, 50, 100, 250, 500, 750, 980];
const STEP_REQUESTS: u32 = 200;
/// The same for versions that are bad, which end sooner: as many as come in half a minute to a service of
/// twenty requests a second.
const STEP_REQUESTS_BAD: u32 = 600;
/// The part of requests, of either version, that meet a pause of a process, and how many times as long
/// they take.
const PAUSED: f64 = 0.01;
const PAUSE_FACTOR: f64 = 60.0;

/// How the new version behaves.
#[derive(Clone, Copy, Debug)]
struct Kind {
    slowdown: f64,
    failures: f64,
}

const USUAL_FAILURES: f64 = 0.005;
const GOOD: Kind = Kind { slowdown: 1.0, failures: USUAL_FAILURES };
const SLOW: Kind = Kind { slowdown: 1.5, failures: USUAL_FAILURES };
const FAILING: Kind = Kind { slowdown: 1.0, failures: 0.1 };

fn draw(rng: &mut SmallRng, kind: Kind) -> Observation {
    const TOKEN_MS: f64 = 20.0;
    const SPREAD: f64 = 0.25;
    if rng.random_bool(kind.failures) {
        return Observation::failure();
    }
    // The sum of four draws is near enough to a normal distribution.
    let sum: f64 = (0..4).map(|_| rng.random::<f64>()).sum();
    let normal = (sum - 2.0) * 3.0_f64.sqrt();
    let pause = if rng.random_bool(PAUSED) { PAUSE_FACTOR } else { 1.0 };
    Observation::success(TOKEN_MS * kind.slowdown * pause * (SPREAD * normal).exp())
}

/// Plays a rollout; returns after how many requests of the new version it was taken back, if it was.
fn taken_back(seed: u64, kind: Kind, step_requests: u32) -> Option<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut comparison = Comparison::default();
    let route = "chat".into();
    let mut to_new = 0;
    for share_permille in SHARES_PERMILLE {
        for _ in 0..step_requests {
            let is_new = rng.random_range(0..1_000) < share_permille;
            let (side, kind) = if is_new { (Side::New, kind) } else { (Side::Old, GOOD) };
            comparison.add(side, &route, draw(&mut rng, kind));
            to_new += u32::from(is_new);
            if is_new && matches!(comparison.verdict(), Verdict::Regressed(_)) {
                return Some(to_new);
            }
        }
    }
    None
}

fn share_taken_back(kind: Kind, step_requests: u32) -> f64 {
    let is_taken = |seed: &u64| taken_back(*seed, kind, step_requests).is_some();
    let taken = (0..ROLLOUTS).filter(is_taken).count();
    taken as f64 / ROLLOUTS as f64
}

#[gtest]
fn a_good_version_is_hardly_ever_taken_back_though_single_requests_are_any_times_slower() {
    // The alarm's stated error over a whole rollout: one in a thousand.
    expect_that!(share_taken_back(GOOD, STEP_REQUESTS), le(0.001));
}

#[gtest]
fn a_version_half_as_slow_again_is_taken_back() {
    expect_that!(share_taken_back(SLOW, STEP_REQUESTS_BAD), ge(0.99));
}

#[gtest]
fn a_version_that_fails_one_in_ten_is_taken_back() {
    expect_that!(share_taken_back(FAILING, STEP_REQUESTS_BAD), ge(0.99));
}
