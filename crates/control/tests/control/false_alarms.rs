//! The error rates of the version comparison over whole rollouts: 10,000 simulated rollouts each of
//! good, slow and failing versions, with the verdict checked after every request to the new
//! version.

use googletest::prelude::*;
use lycheehub_control::moves::{Comparison, Observation, Side, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ROLLOUTS: u64 = 10_000;
/// The shares of the new version, in thousandths, each held for [`STEP_REQUESTS`] requests.
const SHARES_PERMILLE: [u32; 7] = [20, 50, 100, 250, 500, 750, 980];
const STEP_REQUESTS: u32 = 200;
/// The same for bad versions, whose rollouts end sooner: the requests in half a minute at twenty
/// requests per second.
const BAD_STEP_REQUESTS: u32 = 600;
/// The fraction of requests to either version that meet a process pause, and the factor by which
/// the pause prolongs them.
const PAUSE_RATE: f64 = 0.01;
const PAUSE_FACTOR: f64 = 60.0;

/// The behaviour of the new version.
#[derive(Clone, Copy, Debug)]
struct Kind {
    slowdown: f64,
    failures: f64,
}

const BASELINE_FAILURES: f64 = 0.005;
const GOOD: Kind = Kind { slowdown: 1.0, failures: BASELINE_FAILURES };
const SLOW: Kind = Kind { slowdown: 1.5, failures: BASELINE_FAILURES };
const FAILING: Kind = Kind { slowdown: 1.0, failures: 0.1 };

fn draw(rng: &mut SmallRng, kind: Kind) -> Observation {
    const TOKEN_MS: f64 = 20.0;
    const SPREAD: f64 = 0.25;
    if rng.random_bool(kind.failures) {
        return Observation::failure();
    }
    // The sum of four uniform draws is close enough to a normal distribution.
    let sum: f64 = (0..4).map(|_| rng.random::<f64>()).sum();
    let normal = (sum - 2.0) * 3.0_f64.sqrt();
    let pause = if rng.random_bool(PAUSE_RATE) { PAUSE_FACTOR } else { 1.0 };
    Observation::success(TOKEN_MS * kind.slowdown * pause * (SPREAD * normal).exp())
}

/// Simulates a rollout; returns the number of requests to the new version before it was rolled
/// back, or `None` if it was not.
fn requests_until_rollback(seed: u64, kind: Kind, step_requests: u32) -> Option<u32> {
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

fn rollback_rate(kind: Kind, step_requests: u32) -> f64 {
    let is_taken = |seed: &u64| requests_until_rollback(*seed, kind, step_requests).is_some();
    let taken = (0..ROLLOUTS).filter(is_taken).count();
    taken as f64 / ROLLOUTS as f64
}

#[gtest]
fn good_version_is_rarely_rolled_back_despite_process_pauses() {
    // The stated false-alarm rate over a whole rollout: one in a thousand.
    expect_that!(rollback_rate(GOOD, STEP_REQUESTS), le(0.001));
}

#[gtest]
fn version_that_is_1_5_times_slower_is_rolled_back() {
    expect_that!(rollback_rate(SLOW, BAD_STEP_REQUESTS), ge(0.99));
}

#[gtest]
fn version_that_fails_one_in_ten_requests_is_rolled_back() {
    expect_that!(rollback_rate(FAILING, BAD_STEP_REQUESTS), ge(0.99));
}
