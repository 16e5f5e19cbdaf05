//! Version moves over many seeded runs of the pure controller; arrivals and outcomes are drawn
//! directly. `cargo test -p lycheehub-control -- moves --nocapture` prints the table.

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

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    Fails(f64),
    Slow(f64),
    /// Fails one in ten after this many seconds of clean traffic.
    FailsLater(u64),
    /// Takes half as long again once it has a quarter of the traffic or more.
    SlowUnderLoad,
    /// Fails one in ten on the route that has a tenth of the traffic.
    FailsOnOneRoute,
    /// Good, while old and new alike get three times slower for ten minutes.
    GoodInSlowdown,
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decider {
    Controller,
    /// A new leader takes over every 90 seconds.
    ControllerWithLeaderChanges,
    /// Fixed steps, taken back where more than 5 in 100 fail or the mean time is half as long again.
    FixedSteps,
    /// All traffic at once, taken back by the same rule.
    AllAtOnce,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    done_in_time: bool,
    reverted: bool,
    to_new: u64,
    requests: u64,
    /// Requests to the new version after its badness began.
    after_bad: u64,
}

struct Run {
    kind: Kind,
    rate: f64,
    minutes: u64,
    rng: SmallRng,
    state: State,
    /// What each route owes the new version, in thousandths.
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

    fn is_bad(&self, second: u64) -> bool {
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
        const USUAL_FAILURES: f64 = 0.002;
        const TOKEN_MS: f64 = 20.0;
        const SPREAD: f64 = 0.25;
        let bad = new && self.is_bad(second);
        let (fails, slow) = match self.kind {
            Kind::Fails(part) if bad => (part, 1.0),
            Kind::FailsLater(_) if bad => (0.1, 1.0),
            Kind::FailsOnOneRoute if bad && route == "labels" => (0.1, 1.0),
            Kind::Slow(ratio) if bad => (USUAL_FAILURES, ratio),
            Kind::SlowUnderLoad if bad => (USUAL_FAILURES, 1.5),
            Kind::GoodInSlowdown if (600..1_200).contains(&second) => (USUAL_FAILURES, 3.0),
            _ => (USUAL_FAILURES, 1.0),
        };
        if self.rng.random_bool(fails) {
            return Observation::failure();
        }
        // The sum of twelve draws is close to a normal distribution.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        Observation::success(TOKEN_MS * slow * (SPREAD * normal).exp())
    }

    /// Draws one second's requests.
    fn second(&mut self, second: u64, ended: &mut Ended) -> Observations {
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
            ended.requests += 1;
            ended.to_new += u64::from(new);
            ended.after_bad += u64::from(new && self.is_bad(second));
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

    fn run(mut self, decider: Decider) -> Ended {
        let mut ended = Ended::default();
        let mut controller = MoveController::default();
        let mut plain = Plain::default();
        let supply: SlotsByVersion = ["v1", "v2"].map(|v| (("writer".into(), v.into()), 32)).into();
        for second in 0..self.minutes * 60 + 60 {
            let now_unix_ms = BEGIN_UNIX_MS + second * 1_000;
            let seen = self.second(second, &mut ended);
            if decider == Decider::ControllerWithLeaderChanges && second % 90 == 89 {
                controller = MoveController::default();
            }
            controller.observe(now_unix_ms, &self.state, &seen);
            let steps = match decider {
                Decider::Controller | Decider::ControllerWithLeaderChanges => {
                    controller.tick(now_unix_ms, &self.state, &supply)
                }
                _ => plain.tick(decider, second, self.minutes * 60, &seen, &self.state),
            };
            for step in steps {
                self.state.apply(10 + second, Command::StepMove(step));
            }
            let record = &self.state.moves["m"];
            if record.phase.is_final() {
                ended.reverted = record.phase == Phase::Reverted;
                ended.done_in_time =
                    record.phase == Phase::Done && now_unix_ms <= record.spec.by_unix_ms;
                break;
            }
        }
        ended
    }
}

/// The baselines' rule.
#[derive(Default)]
struct Plain {
    old: Observation,
    new: Observation,
}

impl Plain {
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

struct Row {
    done_in_time: f64,
    reverted: f64,
    /// The most requests to a bad version in 95 of 100 runs, and their share of the service's.
    to_bad: u64,
    share_to_bad: f64,
}

fn measure(decider: Decider, kind: Kind, rate: f64, minutes: u64, runs: u64) -> Row {
    let ended: Vec<Ended> =
        (0..runs).map(|seed| Run::new(kind, rate, minutes, seed * 31 + 7).run(decider)).collect();
    let part = |count: usize| count as f64 * 100.0 / runs as f64;
    let mut to_bad: Vec<(u64, u64)> =
        ended.iter().map(|end| (end.after_bad, end.requests)).collect();
    to_bad.sort_unstable();
    let (at_95, requests) = to_bad[(runs as usize * 95).div_ceil(100) - 1];
    let row = Row {
        done_in_time: part(ended.iter().filter(|end| end.done_in_time).count()),
        reverted: part(ended.iter().filter(|end| end.reverted).count()),
        to_bad: at_95,
        share_to_bad: at_95 as f64 * 100.0 / requests.max(1) as f64,
    };
    println!(
        "{decider:?} | {kind:?} | {rate}/s, {minutes} min | done in time {:.1}% | taken back {:.1}% | to the bad version (95 in 100 runs) {} = {:.1}%",
        row.done_in_time, row.reverted, row.to_bad, row.share_to_bad
    );
    row
}

#[test]
fn good_versions_are_done_in_time_and_not_taken_back() {
    for (rate, minutes) in [(20.0, 20), (2.0, 30), (0.25, 60)] {
        for kind in [Kind::Good, Kind::GoodInSlowdown] {
            let row = measure(Decider::Controller, kind, rate, minutes, RUNS);
            assert!(row.done_in_time >= 99.0, "{kind:?} at {rate}/s");
            assert!(row.reverted < 1.0, "{kind:?} at {rate}/s");
        }
    }
}

#[test]
fn clearly_bad_versions_are_taken_back() {
    for (rate, minutes) in [(20.0, 20), (2.0, 30), (0.25, 60)] {
        for kind in [Kind::Fails(1.0), Kind::Fails(0.1), Kind::Slow(3.0), Kind::Slow(1.5)] {
            let row = measure(Decider::Controller, kind, rate, minutes, RUNS);
            assert!(row.reverted >= 99.0, "{kind:?} at {rate}/s");
        }
    }
}

#[test]
fn a_clearly_bad_version_gets_few_requests_where_traffic_allows_to_tell() {
    for kind in [Kind::Fails(1.0), Kind::Fails(0.1), Kind::Slow(3.0), Kind::Slow(1.5)] {
        let row = measure(Decider::Controller, kind, 20.0, 20, RUNS);
        assert!(row.to_bad <= 20 || row.share_to_bad <= 2.0, "{kind:?}: {}", row.to_bad);
    }
}

#[test]
fn badness_that_comes_late_or_under_load_or_on_one_route_is_found() {
    let cases = [
        (Kind::FailsLater(600), 20.0, 20),
        (Kind::FailsLater(3_600), 2.0, 90),
        (Kind::SlowUnderLoad, 20.0, 20),
        (Kind::FailsOnOneRoute, 20.0, 20),
    ];
    for (kind, rate, minutes) in cases {
        let row = measure(Decider::Controller, kind, rate, minutes, RUNS);
        assert!(row.reverted >= 99.0, "{kind:?} at {rate}/s");
    }
}

#[test]
fn leader_changes_neither_stop_a_good_move_nor_save_a_bad_one() {
    let changes = Decider::ControllerWithLeaderChanges;
    let good = measure(changes, Kind::Good, 20.0, 20, RUNS);
    assert!(good.done_in_time >= 99.0 && good.reverted < 1.0);
    let bad = measure(changes, Kind::Fails(0.1), 20.0, 20, RUNS);
    assert!(bad.reverted >= 99.0);
}

/// Prints what is only measured: small badness, and the baselines.
#[test]
fn small_badness_and_baselines_for_the_table() {
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
