//! Tests of the limits that endpoints state for all instances together.

use crate::replay::{document, finished, job, most_in_window, record};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::Content;
use lycheehub_dispatch::{
    Decision, Dispatcher, InFlight, Job, JobId, Limit, LimitKind, Notice, Options, Outcome,
    StatedLimit,
};
use lycheehub_types::EndpointRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 40;
/// How often a dispatcher is told the time, in milliseconds.
const TICK_MS: u64 = 20;

/// Returns the most requests that may arrive in a window: the rule of the users' platform.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1e3 + 5.0) as usize
}

fn states(per_s: f64) -> Notice {
    Notice { limit: Some(StatedLimit { per_s, age_ms: 0 }), ..Notice::default() }
}

/// A dispatcher whose service always has more requests than fit, with the requests it has sent to
/// the endpoint `a`.
struct Instance {
    dispatcher: Dispatcher,
    number: u64,
    running: Vec<(u64, JobId)>,
    /// When a request was sent to `a`, in milliseconds.
    sent_ms: Vec<u64>,
    names_limit: bool,
}

impl Instance {
    fn new(options: Options, endpoints: &[EndpointRecord]) -> Self {
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_document(1, &document(None));
        dispatcher.set_endpoints(1, endpoints.iter());
        Self { dispatcher, number: 0, running: vec![], sent_ms: vec![], names_limit: true }
    }

    /// Submits requests from `from_ms` to `to_ms`; each response of `a` states a limit if
    /// `names_limit` is set.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: f64) {
        for now_ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            for _ in 0..2 {
                self.number += 1;
                let job_id = JobId { instance: 1, number: self.number };
                self.dispatcher.submit(now_ms, Job { job_id, ..job(self.number) });
            }
            self.dispatcher.tick(now_ms);
            for decision in self.dispatcher.take_decisions() {
                if let Decision::Place { job_id, endpoint, .. } = decision {
                    if endpoint == "a".into() {
                        self.sent_ms.push(now_ms);
                    }
                    self.running.push((now_ms, job_id));
                }
            }
            self.answer(now_ms, per_s);
        }
    }

    fn answer(&mut self, now_ms: u64, per_s: f64) {
        let is_done = |(since_ms, _): &(u64, JobId)| now_ms >= since_ms + RUN_MS;
        let (done, running) = self.running.iter().copied().partition(is_done);
        self.running = running;
        for (_, job_id) in done as Vec<(u64, JobId)> {
            if self.names_limit {
                self.dispatcher.record_notice(now_ms, 1, (&"a".into(), None), states(per_s));
            } else {
                self.dispatcher.record_unlimited(job_id, LimitKind::Requests);
            }
            self.dispatcher.finish(now_ms, finished(job_id, Outcome::Answered));
        }
    }
}

#[gtest]
fn one_dispatcher_keeps_and_uses_the_limit() {
    for per_s in [0.3, 1.0, 2.6, 12.0, 60.0] {
        let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
        leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(per_s));
        leader.run(1_000, 41_000, per_s);
        expect_that!(most_in_window(&leader.sent_ms, WINDOW_MS), le(allowed(per_s)), "{per_s}");
        expect_that!(leader.sent_ms.len() as f64, ge(40.0 * per_s * 0.9 - 1.0), "{per_s}");
    }
}

#[gtest]
fn a_limit_holds_after_a_time_without_requests() {
    let mut leader = Instance::new(Options::default(), &[record("a", 90)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(20.0));
    leader.run(60_000, 70_000, 20.0);
    expect_that!(most_in_window(&leader.sent_ms, WINDOW_MS), le(allowed(20.0)));
}

#[gtest]
fn instances_without_a_leader_keep_the_limit_together() {
    for instances in [1_u32, 8, 100, 380] {
        for per_s in [0.5, 1.5, 12.0] {
            let mut sent_ms = Vec::new();
            for instance in 0..instances {
                let options = Options::default().for_one_of(instances, instance.into());
                // The share of slots is not the subject.
                let options = Options { slot_share: 1.0, ..options };
                let mut local = Instance::new(options, &[record("a", 9)]);
                // The limit was passed on long before the leader was lost.
                local.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(per_s));
                local.run(60_000, 72_000, per_s);
                sent_ms.extend(local.sent_ms);
            }
            let most = most_in_window(&sent_ms, WINDOW_MS);
            expect_that!(most, le(allowed(per_s)), "{instances} {per_s}");
            let expected = 12.0 * per_s;
            expect_that!(sent_ms.len() as f64, ge(expected * 0.6 - 1.0), "{instances} {per_s}");
        }
    }
}

#[gtest]
fn a_new_leader_continues_with_the_limit_that_instances_report() {
    let mut before = Instance::new(Options::default(), &[record("a", 9)]);
    before.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(2.0));
    before.run(1_000, 11_000, 2.0);
    let mut after = Instance::new(Options::default(), &[record("a", 9)]);
    for (name, incarnation, notice) in before.dispatcher.notices(11_000, 1) {
        after.dispatcher.record_notice(11_000, 1, (&name, incarnation), notice);
    }
    after.run(11_000, 21_000, 2.0);
    let sent_ms = [before.sent_ms, after.sent_ms].concat();
    expect_that!(most_in_window(&sent_ms, WINDOW_MS), le(allowed(2.0)));
}

#[gtest]
fn a_changed_limit_applies_from_then_on() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(20.0));
    leader.run(1_000, 9_000, 20.0);
    leader.sent_ms.clear();
    leader.dispatcher.record_notice(9_000, 1, (&"a".into(), None), states(1.0));
    leader.run(9_000, 19_000, 1.0);
    expect_that!(leader.sent_ms.len(), all![ge(8), le(allowed(1.0))]);
    leader.sent_ms.clear();
    leader.run(19_000, 27_000, 20.0);
    expect_that!(leader.sent_ms.len(), ge(120));
}

#[gtest]
fn a_limit_ends_when_responses_no_longer_state_it() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(2.0));
    leader.run(1_000, 9_000, 2.0);
    leader.names_limit = false;
    leader.sent_ms.clear();
    leader.run(9_000, 15_000, 2.0);
    expect_that!(leader.dispatcher.limit(15_000, &"a".into()), none());
    expect_that!(leader.sent_ms.len(), gt(4 * allowed(2.0)));
}

#[gtest]
fn responses_to_requests_sent_before_do_not_end_a_limit() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    let placed = (1..=4).map(|number| JobId { instance: 1, number });
    for job_id in placed.clone() {
        leader.dispatcher.submit(1_000, Job { job_id, ..job(job_id.number) });
    }
    leader.dispatcher.record_notice(1_010, 1, (&"a".into(), None), states(2.0));
    for job_id in placed {
        leader.dispatcher.record_unlimited(job_id, LimitKind::Requests);
    }
    // The same with requests that another dispatcher had placed.
    let in_flight: Vec<InFlight> = (11..=14)
        .map(|number| {
            let endpoint = "a".into();
            InFlight {
                number,
                endpoint,
                memory_tokens: 0,
                is_stream: true,
                age_ms: 900,
                content: Content::default(),
            }
        })
        .collect();
    leader.dispatcher.record_in_flight(1_500, 1, &in_flight);
    for number in 11..=14 {
        leader.dispatcher.record_unlimited(JobId { instance: 1, number }, LimitKind::Requests);
    }
    expect_that!(leader.dispatcher.limit(2_000, &"a".into()), some(anything()));
}

#[gtest]
fn an_older_statement_does_not_replace_a_newer_one() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    leader.dispatcher.record_notice(9_000, 1, (&"a".into(), None), states(2.0));
    let older = Notice { limit: Some(StatedLimit { per_s: 50.0, age_ms: 4_000 }), ..states(0.0) };
    leader.dispatcher.record_notice(9_500, 2, (&"a".into(), None), older);
    let known = leader.dispatcher.limit(9_500, &"a".into());
    expect_that!(known, some(eq(StatedLimit { per_s: 2.0, age_ms: 500 })));
}

#[gtest]
fn a_limit_of_an_earlier_incarnation_is_forgotten() {
    let first = record("a", 9);
    let mut leader = Instance::new(Options::default(), std::slice::from_ref(&first));
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(2.0));
    let renewed = EndpointRecord { sequence: 5, ..first.clone() };
    leader.dispatcher.set_endpoints(1_100, [renewed].iter());
    expect_that!(leader.dispatcher.limit(1_200, &"a".into()), some(anything()));
    let restarted = EndpointRecord { incarnation: 2, ..first };
    leader.dispatcher.set_endpoints(3_001, [restarted].iter());
    expect_that!(leader.dispatcher.limit(3_001, &"a".into()), none());
}

#[gtest]
fn limits_passed_on_replace_those_known_except_newer_statements() {
    let endpoints = [record("a", 9), record("b", 9), record("c", 9)];
    let mut local = Instance::new(Options::default(), &endpoints);
    local.dispatcher.record_notice(1_000, 0, (&"a".into(), None), states(2.0));
    local.dispatcher.record_notice(2_500, 0, (&"b".into(), None), states(3.0));
    let stated = StatedLimit { per_s: 4.0, age_ms: 100 };
    let passed_on = [Limit { endpoint: "c".into(), incarnation: Some(1), stated }];
    local.dispatcher.set_limits(2_600, 2_400, &passed_on);
    let known: BTreeMap<String, f64> = local
        .dispatcher
        .limits(2_600)
        .into_iter()
        .map(|limit| (limit.endpoint.to_string(), limit.stated.per_s))
        .collect();
    expect_that!(known, eq(&BTreeMap::from([("b".to_owned(), 3.0), ("c".to_owned(), 4.0)])));
}

#[gtest]
fn requests_beyond_a_limit_go_to_other_endpoints_or_are_refused_in_time() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9), record("b", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(0.2));
    let mut placed = BTreeSet::new();
    for number in 1..=9 {
        leader
            .dispatcher
            .submit(1_001, Job { job_id: JobId { instance: 1, number }, ..job(number) });
    }
    for decision in leader.dispatcher.take_decisions() {
        if let Decision::Place { endpoint, .. } = decision {
            placed.insert(endpoint.to_string());
        }
    }
    expect_that!(placed, eq(&BTreeSet::from(["b".to_owned()])));

    let mut alone = Instance::new(Options::default(), &[record("a", 9)]);
    alone.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(0.2));
    alone.dispatcher.submit(1_001, Job { patience_left_ms: 300, ..job(1) });
    let decisions = alone.dispatcher.take_decisions();
    expect_that!(decisions, elements_are![matches_pattern!(Decision::Refuse { .. })]);
}

#[gtest]
fn a_limit_of_zero_leaves_single_requests_that_can_tell_its_end() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(0.0));
    leader.run(1_000, 61_000, 0.0);
    expect_that!(leader.sent_ms.len(), all![ge(3), le(7)]);
}

#[gtest]
fn a_leader_leaves_absent_instances_their_share_of_a_limit() {
    let mut leader = Instance::new(Options::default(), &[record("a", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(8.0));
    let half = Options { absent_share: 0.5, ..Options::default() };
    leader.dispatcher.set_options(1_000, half);
    leader.run(1_000, 11_000, 8.0);
    expect_that!(leader.sent_ms.len(), all![ge(36), le(44)]);
}

#[gtest]
fn retries_and_moved_streams_count_towards_a_limit() {
    const PER_S: f64 = 2.6;
    let options = Options { retry_slack: 10_000.0, ..Options::default() };
    let mut leader = Instance::new(options, &[record("a", 9)]);
    leader.dispatcher.record_notice(1_000, 1, (&"a".into(), None), states(PER_S));
    let mut sent_ms = Vec::new();
    for number in 0..1_000 {
        let now_ms = 1_000 + number * TICK_MS;
        let sent = Job { job_id: JobId { instance: 1, number }, ..job(number) };
        let sent = match number % 3 {
            0 => sent,
            1 => Job { repeat: true, tried: vec!["b".into()], ..sent },
            _ => Job { repeat: true, resumes_stream: true, is_last_attempt: true, ..sent },
        };
        leader.dispatcher.submit(now_ms, sent);
        leader.dispatcher.tick(now_ms);
        for decision in leader.dispatcher.take_decisions() {
            if let Decision::Place { job_id, .. } = decision {
                sent_ms.push(now_ms);
                leader.dispatcher.finish(now_ms, finished(job_id, Outcome::Answered));
            }
        }
    }
    expect_that!(most_in_window(&sent_ms, WINDOW_MS), le(allowed(PER_S)));
    expect_that!(sent_ms.len() as f64, ge(20.0 * PER_S * 0.8));
}
