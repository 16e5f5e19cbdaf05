//! Version moves over many seeded runs of the controller; arrivals and outcomes are drawn at
//! random. `cargo test -p lycheehub-control -- moves --nocapture` prints the results table.

use lycheehub_control::State;
use lycheehub_control::moves::{
    MoveController, Observation, ObservationKey, Observations, SlotsByVersion,
};
use lycheehub_control::state::{Command, MoveStep, Phase, Submission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// 2026-12-04T00:00:00Z, in milliseconds since the Unix epoch.
const BEGIN_UNIX_MS: u64 = 1_796_342_400_000;
const RUNS: u64 = 200;
const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("completions", 0.3), ("labels", 0.1)];

/// The behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    Fails(f64),
    Slow(f64),
    /// Fails 10% of requests after this many seconds without faults.
    FailsLater(u64),
    /// Takes 1.5 times as long once it has a quarter of the traffic or more.
    SlowUnderLoad,
    /// Fails 10% of requests on the route with 10% of the traffic.
    FailsOnOneRoute,
    /// Is good, while both versions become three times slower for ten minutes.
    GoodInSlowdown,
}

/// The strategy that decides the steps.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decider {
    Controller,
    /// The controller, with a leader change every 90 seconds.
    ControllerWithLeaderChanges,
    /// Fixed steps; reverts if more than 5% of requests fail or the mean time is more than 1.5
    /// times as long.
    FixedSteps,
    /// All traffic at once, with the same revert rule.
    AllAtOnce,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    done_in_time: bool,
    reverted: bool,
    to_new: u64,
    requests: u64,
    /// Requests to the new version after its fault began.
    requests_after_fault: u64,
}

struct Run {
    kind: Kind,
    rate: f64,
    minutes: u64,
    rng: SmallRng,
    state: State,
    /// The accumulated share that each route still owes the new version, in thousandths.
    owed: [u32; 3],
}

impl Run {
    fn new(kind: Kind, rate: f64, minutes: u64, seed: u64) -> Self {
        let by = format!("2026-12-04T{:02}:{:02}:00Z", minutes / 60, minutes % 60);
        let text = format!(
            "owner = \"ana\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n[move.m]\nservice = \"writer\"\nto = \"v2\"\nby = \"{by}\"\n"
        );
        let mut state = State::default();
        let submission = Submission {
            section: "labels".into(),
            base_revision: 0,
            request_id: "r".into(),
            operator: "ana".into(),
            text,
        };
        state.apply(1, Command::Submit(submission));
        Self { kind, rate, minutes, rng: SmallRng::seed_from_u64(seed), state, owed: [500; 3] }
    }

    fn has_regressed(&self, second: u64) -> bool {
        match self.kind {
            Kind::Good | Kind::GoodInSlowdown => false,
            Kind::FailsLater(after) => second >= after,
            Kind::SlowUnderLoad => self.share() >= 250,
            _ => true,
        }
    }

    fn share(&self) -> u32 {
        self.state.moves["m"].share_permille
    }

    /// Draws the outcome of a request.
    fn outcome(&mut self, new: bool, route: &str, second: u64) -> Observation {
        const BASELINE_FAILURES: f64 = 0.002;
        const TOKEN_MS: f64 = 20.0;
        const SPREAD: f64 = 0.25;
        let bad = new && self.has_regressed(second);
        let (fails, slow) = match self.kind {
            Kind::Fails(part) if bad => (part, 1.0),
            Kind::FailsLater(_) if bad => (0.1, 1.0),
            Kind::FailsOnOneRoute if bad && route == "labels" => (0.1, 1.0),
            Kind::Slow(ratio) if bad => (BASELINE_FAILURES, ratio),
            Kind::SlowUnderLoad if bad => (BASELINE_FAILURES, 1.5),
            Kind::GoodInSlowdown if (600..1_200).contains(&second) => (BASELINE_FAILURES, 3.0),
            _ => (BASELINE_FAILURES, 1.0),
        };
        if self.rng.random_bool(fails) {
            return Observation::failure();
        }
        // The sum of twelve uniform draws is close to a normal distribution.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        Observation::success(TOKEN_MS * slow * (SPREAD * normal).exp())
    }

    /// Draws the requests of one second.
    fn second(&mut self, second: u64, result: &mut RunResult) -> Observations {
        let mut observations = Observations::new();
        let mut expected = self.rate;
        while expected > 0.0 {
            let arrives = self.rng.random::<f64>() < expected.min(0.5) / 0.5 * 0.5;
            expected -= 0.5;
            if !arrives {
                continue;
            }
            let drawn: f64 = self.rng.random();
            let route = if drawn < 0.6 {
                0
            } else if drawn < 0.9 {
                1
            } else {
                2
            };
            let share = self.share();
            let owed = &mut self.owed[route];
            *owed += share;
            let new = *owed >= 1_000;
            if new {
                *owed -= 1_000;
            }
            result.requests += 1;
            result.to_new += u64::from(new);
            result.requests_after_fault += u64::from(new && self.has_regressed(second));
            let name = ROUTES[route].0;
            let key = ObservationKey {
                service: "writer".into(),
                version: if new { "v2" } else { "v1" }.into(),
                route: name.into(),
            };
            *observations.entry(key).or_default() += self.outcome(new, name, second);
        }
        observations
    }

    fn run(mut self, decider: Decider) -> RunResult {
        let mut result = RunResult::default();
        let mut controller = MoveController::default();
        let mut threshold_rule = ThresholdRule::default();
        let supply: SlotsByVersion = ["v1", "v2"].map(|v| (("writer".into(), v.into()), 32)).into();
        for second in 0..self.minutes * 60 + 60 {
            let now_unix_ms = BEGIN_UNIX_MS + second * 1_000;
            let seen = self.second(second, &mut result);
            if decider == Decider::ControllerWithLeaderChanges && second % 90 == 89 {
                controller = MoveController::default();
            }
            controller.observe(now_unix_ms, &self.state, &seen);
            let steps = match decider {
                Decider::Controller | Decider::ControllerWithLeaderChanges => {
                    controller.tick(now_unix_ms, &self.state, &supply)
                }
                _ => threshold_rule.tick(decider, second, self.minutes * 60, &seen, &self.state),
            };
            for step in steps {
                self.state.apply(10 + second, Command::StepMove(step));
            }
            let record = &self.state.moves["m"];
            if record.phase.is_final() {
                result.reverted = record.phase == Phase::Reverted;
                result.done_in_time =
                    record.phase == Phase::Done && now_unix_ms <= record.spec.by_unix_ms;
                break;
            }
        }
        result
    }
}

/// The fixed thresholds by which the baseline strategies revert.
#[derive(Default)]
struct ThresholdRule {
    old: Observation,
    new: Observation,
}

impl ThresholdRule {
    fn tick(
        &mut self,
        decider: Decider,
        second: u64,
        seconds: u64,
        seen: &Observations,
        state: &State,
    ) -> Vec<MoveStep> {
        for (key, observation) in seen {
            if key.version.as_str() == "v2" {
                self.new += *observation
            } else {
                self.old += *observation
            }
        }
        let record = &state.moves["m"];
        let failed = self.new.failures as f64 / self.new.requests.max(1) as f64;
        let slower = (self.new.log_mean() - self.old.log_mean()).exp();
        let known = self.new.requests >= 20 && self.old.requests >= 20;
        let bad = known && (failed > 0.05 || slower > 1.5);
        let share = match decider {
            Decider::AllAtOnce => 1_000,
            _ => [50, 250, 500, 1_000][(second * 4 / seconds).min(3) as usize],
        };
        let (phase, share_permille) = if bad {
            (Phase::Reverted, 0)
        } else if second >= seconds {
            (Phase::Done, 1_000)
        } else if second > 30 && share != record.share_permille {
            (Phase::Ramp, share)
        } else {
            return Vec::new();
        };
        vec![MoveStep {
            id: "m".into(),
            after_step: record.step,
            phase,
            share_permille,
            reason: "".into(),
            now_unix_ms: BEGIN_UNIX_MS + second * 1_000,
        }]
    }
}

struct Measurement {
    done_in_time: f64,
    reverted: f64,
    /// The 95th percentile of requests to a bad version, and their share of the service's requests.
    to_bad: u64,
    share_to_bad: f64,
}

fn measure(decider: Decider, kind: Kind, rate: f64, minutes: u64, runs: u64) -> Measurement {
    let results: Vec<RunResult> =
        (0..runs).map(|seed| Run::new(kind, rate, minutes, seed * 31 + 7).run(decider)).collect();
    let part = |count: usize| count as f64 * 100.0 / runs as f64;
    let mut to_bad: Vec<(u64, u64)> =
        results.iter().map(|result| (result.requests_after_fault, result.requests)).collect();
    to_bad.sort_unstable();
    let (p95, requests) = to_bad[(runs as usize * 95).div_ceil(100) - 1];
    let measured = Measurement {
        done_in_time: part(results.iter().filter(|result| result.done_in_time).count()),
        reverted: part(results.iter().filter(|result| result.reverted).count()),
        to_bad: p95,
        share_to_bad: p95 as f64 * 100.0 / requests.max(1) as f64,
    };
    println!(
        "{decider:?} | {kind:?} | {rate}/s, {minutes} min | done in time {:.1}% | taken back {:.1}% | to the bad version (95 in 100 runs) {} = {:.1}%",
        measured.done_in_time, measured.reverted, measured.to_bad, measured.share_to_bad
    );
    measured
}

#[test]
fn good_versions_finish_in_time_and_are_not_reverted() {
    for (rate, minutes) in [(20.0, 20), (2.0, 30), (0.25, 60)] {
        for kind in [Kind::Good, Kind::GoodInSlowdown] {
            let measured = measure(Decider::Controller, kind, rate, minutes, RUNS);
            assert!(measured.done_in_time >= 99.0, "{kind:?} at {rate}/s");
            assert!(measured.reverted < 1.0, "{kind:?} at {rate}/s");
        }
    }
}

#[test]
fn clearly_bad_versions_are_reverted() {
    for (rate, minutes) in [(20.0, 20), (2.0, 30), (0.25, 60)] {
        for kind in [Kind::Fails(1.0), Kind::Fails(0.1), Kind::Slow(3.0), Kind::Slow(1.5)] {
            let measured = measure(Decider::Controller, kind, rate, minutes, RUNS);
            assert!(measured.reverted >= 99.0, "{kind:?} at {rate}/s");
        }
    }
}

#[test]
fn clearly_bad_version_gets_few_requests_at_sufficient_traffic() {
    for kind in [Kind::Fails(1.0), Kind::Fails(0.1), Kind::Slow(3.0), Kind::Slow(1.5)] {
        let measured = measure(Decider::Controller, kind, 20.0, 20, RUNS);
        assert!(
            measured.to_bad <= 20 || measured.share_to_bad <= 2.0,
            "{kind:?}: {}",
            measured.to_bad
        );
    }
}

#[test]
fn late_load_dependent_and_single_route_faults_are_detected() {
    let cases = [
        (Kind::FailsLater(600), 20.0, 20),
        (Kind::FailsLater(3_600), 2.0, 90),
        (Kind::SlowUnderLoad, 20.0, 20),
        (Kind::FailsOnOneRoute, 20.0, 20),
    ];
    for (kind, rate, minutes) in cases {
        let measured = measure(Decider::Controller, kind, rate, minutes, RUNS);
        assert!(measured.reverted >= 99.0, "{kind:?} at {rate}/s");
    }
}

#[test]
fn leader_changes_do_not_alter_the_outcome_of_a_move() {
    let changes = Decider::ControllerWithLeaderChanges;
    let good = measure(changes, Kind::Good, 20.0, 20, RUNS);
    assert!(good.done_in_time >= 99.0 && good.reverted < 1.0);
    let bad = measure(changes, Kind::Fails(0.1), 20.0, 20, RUNS);
    assert!(bad.reverted >= 99.0);
}

/// Prints the results for small regressions and for the baseline strategies; these are measured,
/// not asserted.
#[test]
fn print_small_regressions_and_baselines() {
    for kind in [Kind::Fails(0.02), Kind::Slow(1.2)] {
        measure(Decider::Controller, kind, 20.0, 20, 50);
        measure(Decider::Controller, kind, 2.0, 30, 50);
    }
    for decider in [Decider::FixedSteps, Decider::AllAtOnce] {
        for kind in [
            Kind::Good,
            Kind::GoodInSlowdown,
            Kind::Fails(0.1),
            Kind::Slow(1.5),
            Kind::FailsOnOneRoute,
        ] {
            measure(decider, kind, 20.0, 20, 50);
        }
        measure(decider, Kind::Fails(0.1), 0.25, 60, 50);
    }
}
