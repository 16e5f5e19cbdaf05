//! Tests of the handling of failing endpoints.

use crate::replay::{dispatcher, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Outcome};
use std::collections::VecDeque;

/// Submits a job and returns the endpoint that it is placed on.
fn place(dispatcher: &mut Dispatcher, now_ms: u64, number: u64) -> Option<String> {
    dispatcher.submit(now_ms, job(number));
    dispatcher.take_decisions().into_iter().find_map(|decision| match decision {
        Decision::Place { endpoint, .. } => Some(endpoint.to_string()),
        Decision::Refuse { .. } => None,
    })
}

fn job_id(number: u64) -> JobId {
    JobId { instance: 1, number }
}

#[gtest]
fn an_unreachable_endpoint_is_paused() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    let first = place(&mut dispatcher, 10, 1).unwrap();
    dispatcher.finish(210, finished(job_id(1), Outcome::NotConnected));
    for number in 2..8 {
        expect_that!(place(&mut dispatcher, 220, number), some(not(eq(&first))));
    }
}

#[gtest]
fn a_stalled_request_does_not_pause_an_endpoint_that_answers_others() {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    place(&mut dispatcher, 10, 1);
    place(&mut dispatcher, 20, 2);
    dispatcher.finish(60, finished(job_id(2), Outcome::Answered));
    dispatcher.report_stall(400, job_id(1));
    expect_that!(place(&mut dispatcher, 410, 3), some(eq("a")));
}

#[gtest]
fn an_endpoint_that_fails_more_than_others_gets_less() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9), record("c", 9)]);
    let mut to_a = 0;
    for number in 0..300 {
        let now_ms = 1_000 + number * 20;
        let Some(endpoint) = place(&mut dispatcher, now_ms, number) else { continue };
        let is_bad = endpoint == "a" && number % 2 == 0;
        to_a += u32::from(endpoint == "a" && number >= 100);
        let outcome = if is_bad { Outcome::Failed } else { Outcome::Answered };
        dispatcher.finish(now_ms + 10, finished(job_id(number), outcome));
    }
    expect_that!(to_a, lt(30));
}

#[gtest]
fn a_service_whose_endpoints_all_fail_partly_is_still_used() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    let mut placed = 0;
    for number in 0..200 {
        let now_ms = 1_000 + number * 20;
        placed += u32::from(place(&mut dispatcher, now_ms, number).is_some());
        let outcome = if number % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        dispatcher.finish(now_ms + 10, finished(job_id(number), outcome));
    }
    expect_that!(placed, eq(200));
}

/// Places requests, of which every third fails on the endpoints selected by `fails`. Returns the
/// number of failures of jobs that can be retried and of those that cannot.
fn failures(names: &[&str], fails: impl Fn(&str) -> bool) -> [u32; 2] {
    let records: Vec<_> = names.iter().map(|name| record(name, 9)).collect();
    let mut dispatcher = dispatcher(&records);
    let mut failed = [0; 2];
    let mut running = VecDeque::new();
    for number in 0..2_000_u64 {
        let now_ms = 1_000 + number * 5;
        dispatcher.tick(now_ms);
        let is_last_attempt = number % 2 == 0;
        dispatcher.submit(now_ms, Job { is_last_attempt, ..job(number) });
        for decision in dispatcher.take_decisions() {
            if let Decision::Place { job_id, endpoint, .. } = decision {
                running.push_back((now_ms + 200, job_id, endpoint.to_string()));
            }
        }
        while let Some((ends_ms, job_id, endpoint)) = running.pop_front() {
            if now_ms < ends_ms {
                running.push_front((ends_ms, job_id, endpoint));
                break;
            }
            let is_failure = fails(&endpoint) && job_id.number % 3 == 0;
            if is_failure && number > 300 {
                failed[usize::from(job_id.number % 2 == 0)] += 1;
            }
            let outcome = if is_failure { Outcome::Broken } else { Outcome::Answered };
            dispatcher.finish(now_ms, finished(job_id, outcome));
        }
    }
    failed
}

#[gtest]
fn jobs_without_retry_go_to_reliable_endpoints() {
    // Two thirds of the slots are used; four of eight endpoints lose a third of their responses.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let [retryable, last] = failures(&names, |name| name < "e");
    // With even placement, one in six would fail: about 140 of each kind.
    expect_that!(last, lt(30));
    expect_that!(retryable, lt(140));
}

#[gtest]
fn a_last_attempt_does_not_wait_for_endpoints_that_have_been_tried() {
    let names = ["a", "b", "c", "d"];
    let mut dispatcher = dispatcher(&names.map(|name| record(name, 9)));
    let only_a = |number| {
        let tried = ["b", "c", "d"].map(Into::into).to_vec();
        Job { tried, objective_left_ms: 5_000, patience_left_ms: 5_000, ..job(number) }
    };
    for number in 0..60 {
        let now_ms = 1_000 + number * 20;
        let job = if number % 2 == 0 { only_a(number) } else { job(number) };
        dispatcher.submit(now_ms, job);
        let fails = number % 4 == 0;
        let outcome = if fails { Outcome::Failed } else { Outcome::Answered };
        dispatcher.finish(now_ms + 10, finished(job_id(number), outcome));
    }
    dispatcher.take_decisions();
    dispatcher.submit(2_400, Job { is_last_attempt: true, ..only_a(60) });
    let decisions = dispatcher.take_decisions();
    let placed = decisions.iter().filter_map(|decision| match decision {
        Decision::Place { endpoint, .. } => Some(endpoint.as_str()),
        Decision::Refuse { .. } => None,
    });
    expect_that!(placed.collect::<Vec<_>>(), elements_are![eq(&"a")]);
}

#[gtest]
fn equal_failures_on_all_endpoints_exclude_none() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let all: u32 = failures(&names, |_| true).iter().sum();
    expect_that!(all, all![gt(500), lt(620)]);
}

/// Places nine requests on the only endpoint and reports all of them as stalled, from 1,000 ms on.
fn stalled_endpoint() -> Dispatcher {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    for number in 1..=9 {
        expect_that!(place(&mut dispatcher, 10, number), some(eq("a")));
    }
    for number in 1..=9 {
        dispatcher.report_stall(1_000 + number, job_id(number));
    }
    expect_that!(place(&mut dispatcher, 1_020, 10), none());
    dispatcher.withdraw(1_021, job_id(10));
    dispatcher
}

#[gtest]
fn an_endpoint_that_was_silent_gets_requests_as_soon_as_it_goes_on() {
    let mut dispatcher = stalled_endpoint();
    dispatcher.record_answer_begun(1_100, job_id(1), 0);
    dispatcher.finish(1_110, finished(job_id(2), Outcome::Answered));
    expect_that!(place(&mut dispatcher, 1_120, 11), some(eq("a")));
}

#[gtest]
fn one_silence_pauses_an_endpoint_once_however_many_requests_wait_there() {
    let mut dispatcher = stalled_endpoint();
    for number in 1..=9 {
        dispatcher.finish(1_030, finished(job_id(number), Outcome::Broken));
    }
    expect_that!(place(&mut dispatcher, 1_320, 11), some(eq("a")));
}

#[gtest]
fn an_endpoint_that_stays_silent_is_left_for_longer_each_time() {
    let mut dispatcher = stalled_endpoint();
    let mut now_ms = 1_030;
    for number in 1..=9 {
        dispatcher.finish(now_ms, finished(job_id(number), Outcome::Broken));
    }
    let mut waits_ms = Vec::new();
    for number in 11..15 {
        let patient = Job { objective_left_ms: 9_000, patience_left_ms: 9_000, ..job(number) };
        dispatcher.submit(now_ms, patient);
        let paused_ms = now_ms;
        while !dispatcher.take_decisions().iter().any(|d| matches!(d, Decision::Place { .. })) {
            now_ms += 10;
            dispatcher.tick(now_ms);
        }
        waits_ms.push(now_ms - paused_ms);
        now_ms += 1_000;
        dispatcher.report_stall(now_ms, job_id(number));
        dispatcher.finish(now_ms, finished(job_id(number), Outcome::Broken));
    }
    expect_that!(waits_ms, elements_are![le(&300), ge(&500), ge(&1_000), ge(&2_000)]);
}
