//! Tests of endpoints that are cold: they bear few requests per second from all instances together.

use crate::replay::{document, finished, job, most_in_window, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Options, Outcome};
use lycheehub_routes::{ColdStart, Document};
use lycheehub_types::EndpointRecord;

/// The window in which an endpoint counts its requests, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// The requests per second that a cold endpoint names.
const PER_S: f64 = 9.0;
/// How long it is cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// How long a request runs, in milliseconds: so short that slots do not limit the rate.
const RUN_MS: u64 = 40;
/// How often a dispatcher is told the time, in milliseconds.
const TICK_MS: u64 = 20;

/// Returns the most requests that a cold endpoint may get in a window: the rule of the users' platform.
fn allowed() -> usize {
    (1.5 * PER_S + 5.0) as usize
}

fn cold_document() -> Document {
    let mut document = document(None);
    document.services[0].cold_start = Some(ColdStart { duration_ms: COLD_MS, per_s: PER_S });
    document
}

fn cold(name: &str, cold_ms: u64) -> EndpointRecord {
    EndpointRecord { cold_ms: cold_ms as u32, ..record(name, 9) }
}

/// A dispatcher whose service always has more requests than fit, and when it has sent requests to the
/// endpoint `a`, in milliseconds.
struct Instance {
    dispatcher: Dispatcher,
    number: u64,
    running: Vec<(u64, JobId)>,
    sent_ms: Vec<u64>,
}

impl Instance {
    fn new(options: Options, now_ms: u64, endpoints: &[EndpointRecord]) -> Self {
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_document(now_ms, &cold_document());
        dispatcher.set_endpoints(now_ms, endpoints.iter());
        Self { dispatcher, number: 0, running: vec![], sent_ms: vec![] }
    }

    fn leader(endpoints: &[EndpointRecord]) -> Self {
        Self::new(Options::default(), 1_000, endpoints)
    }

    fn announce(&mut self, now_ms: u64, endpoint: EndpointRecord) {
        self.dispatcher.set_endpoints(now_ms, [endpoint].iter());
    }

    /// Submits requests from `from_ms` to `to_ms`; `is_up` tells whether `a` accepts connections.
    fn run_while(&mut self, from_ms: u64, to_ms: u64, is_up: impl Fn(u64) -> bool) {
        for now_ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            for _ in 0..3 {
                self.number += 1;
                let job_id = JobId { instance: 1, number: self.number };
                self.dispatcher.submit(now_ms, Job { job_id, ..job(self.number) });
            }
            self.dispatcher.tick(now_ms);
            for decision in self.dispatcher.take_decisions() {
                let Decision::Place { job_id, .. } = decision else { continue };
                if is_up(now_ms) {
                    self.sent_ms.push(now_ms);
                    self.running.push((now_ms, job_id));
                } else {
                    self.dispatcher.finish(now_ms, finished(job_id, Outcome::NotConnected));
                }
            }
            let is_done = |(since_ms, _): &(u64, JobId)| now_ms >= since_ms + RUN_MS;
            let (done, running) = self.running.iter().copied().partition(is_done);
            self.running = running;
            for (_, job_id) in done as Vec<(u64, JobId)> {
                self.dispatcher.finish(now_ms, finished(job_id, Outcome::Answered));
            }
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        self.run_while(from_ms, to_ms, |_| true);
    }

    fn sent_in(&self, from_ms: u64, to_ms: u64) -> Vec<u64> {
        self.sent_ms.iter().copied().filter(|at_ms| (from_ms..to_ms).contains(at_ms)).collect()
    }
}

#[gtest]
fn a_cold_endpoint_is_paced_until_it_is_warm() {
    let mut leader = Instance::leader(&[cold("a", COLD_MS)]);
    leader.run(1_000, 8_000);
    let while_cold = leader.sent_in(1_000, 4_000);
    expect_that!(most_in_window(&while_cold, WINDOW_MS), le(allowed()));
    expect_that!(while_cold.len(), ge((PER_S * 3.0 * 0.9) as usize));
    // Once it is warm only its slots bound it.
    expect_that!(leader.sent_in(5_000, 6_000).len(), gt(3 * PER_S as usize));
}

#[gtest]
fn a_service_without_a_cold_rate_is_not_paced() {
    let mut leader = Instance::leader(&[cold("a", COLD_MS)]);
    leader.dispatcher.set_document(1_000, &document(None));
    let mut fresh = Dispatcher::new(Options::default());
    fresh.set_document(1_000, &document(None));
    fresh.set_endpoints(1_000, [cold("a", COLD_MS)].iter());
    leader.dispatcher = fresh;
    leader.run(1_000, 2_000);
    expect_that!(leader.sent_ms.len(), gt(3 * PER_S as usize));
}

#[gtest]
fn what_was_sent_before_an_endpoint_turned_cold_counts() {
    let mut leader = Instance::leader(&[cold("a", 0)]);
    leader.run(1_000, 3_000);
    leader.announce(3_000, EndpointRecord { sequence: 2, ..cold("a", COLD_MS) });
    let before = leader.sent_ms.len();
    leader.run(3_000, 6_000);
    // Far more than allowed was sent in the last second, so nothing is for as long as that takes.
    expect_that!(before, gt(2 * allowed()));
    expect_that!(leader.sent_in(3_000, 3_900), is_empty());
}

#[gtest]
fn repeated_and_late_statements_do_not_start_the_pace_anew() {
    let mut leader = Instance::leader(&[cold("a", COLD_MS)]);
    for (step, left_ms) in [(1, 2_900), (2, 2_700), (3, 2_300)] {
        let from_ms = 1_000 + (step - 1) * 200;
        leader.run(from_ms, from_ms + 200);
        leader.announce(from_ms + 200, EndpointRecord { sequence: step, ..cold("a", left_ms) });
    }
    leader.run(1_600, 4_000);
    expect_that!(most_in_window(&leader.sent_ms, WINDOW_MS), le(allowed()));
    expect_that!(leader.sent_ms.len(), ge((PER_S * 3.0 * 0.9) as usize));
}

#[gtest]
fn an_endpoint_that_turns_cold_again_and_restarts_is_paced_again() {
    let mut leader = Instance::leader(&[cold("a", COLD_MS)]);
    leader.run(1_000, 3_000);
    leader.announce(3_000, EndpointRecord { sequence: 2, ..cold("a", COLD_MS) });
    leader.run(3_000, 5_000);
    leader.announce(5_000, EndpointRecord { incarnation: 2, ..cold("a", COLD_MS) });
    leader.run(5_000, 8_000);
    expect_that!(most_in_window(&leader.sent_ms, WINDOW_MS), le(allowed()));
}

#[gtest]
fn an_endpoint_that_refused_connections_is_assumed_to_have_restarted() {
    let mut leader = Instance::leader(&[cold("a", 0)]);
    // It is down for two seconds, and its announcement of the new start is late.
    leader.run_while(1_000, 6_000, |now_ms| !(1_500..3_500).contains(&now_ms));
    let after = leader.sent_in(3_500, 6_000);
    expect_that!(most_in_window(&after, WINDOW_MS), le(allowed()));
    expect_that!(after.len(), ge(PER_S as usize));
}

#[gtest]
fn instances_without_a_leader_pace_a_cold_endpoint_together() {
    for instances in [1_u32, 8, 100, 380] {
        let mut sent_ms = Vec::new();
        for instance in 0..instances {
            let options = Options::default().for_one_of(instances, instance.into());
            // The share of slots is not the subject.
            let options = Options { slot_share: 1.0, ..options };
            let mut local = Instance::new(options, 1_000, &[cold("a", 9_000)]);
            local.run(1_000, 10_000);
            sent_ms.extend(local.sent_ms);
        }
        expect_that!(most_in_window(&sent_ms, WINDOW_MS), le(allowed()), "{instances}");
        expect_that!(sent_ms.len() as f64, ge(9.0 * PER_S * 0.5), "{instances}");
    }
}

#[gtest]
fn a_new_leader_continues_the_pace() {
    let mut before = Instance::leader(&[cold("a", COLD_MS)]);
    before.run(1_000, 2_500);
    let mut after = Instance::new(Options::default(), 2_500, &[cold("a", COLD_MS - 1_500)]);
    after.run(2_500, 4_000);
    let sent_ms = [before.sent_ms, after.sent_ms].concat();
    expect_that!(most_in_window(&sent_ms, WINDOW_MS), le(allowed()));
}

#[gtest]
fn the_slow_answers_of_a_cold_endpoint_do_not_change_its_learned_speed() {
    let speed_after = |cold_ms| {
        let mut leader = Instance::leader(&[cold("a", cold_ms)]);
        leader.run(1_000, 3_000);
        leader.dispatcher.endpoints().next().unwrap().speed
    };
    expect_that!(speed_after(COLD_MS), eq(lycheehub_dispatch::endpoints::Speed::default()));
    expect_that!(speed_after(0), not(eq(lycheehub_dispatch::endpoints::Speed::default())));
}
