//! Documents that change while jobs wait or run: each job gets one decision.

use crate::replay::{dispatcher, document, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Outcome, Reason};
use lycheehub_routes::{Document, Quota};
use std::collections::BTreeMap;

/// How long the jobs of these tests may wait, in milliseconds.
const DEADLINE_MS: u64 = 15_000;

fn job_id(number: u64) -> JobId {
    JobId { instance: 1, number }
}

/// Returns a job that waits for most of its time.
fn patient_job(number: u64) -> Job {
    Job { objective_left_ms: 10_000, patience_left_ms: DEADLINE_MS, ..job(number) }
}

/// Adds up how often each job was decided on.
fn count_decisions(dispatcher: &mut Dispatcher, counts: &mut BTreeMap<u64, u32>) {
    for decision in dispatcher.take_decisions() {
        let (Decision::Place { job_id, .. } | Decision::Refuse { job_id, .. }) = decision;
        *counts.entry(job_id.number).or_default() += 1;
    }
}

fn without_services() -> Document {
    Document { services: vec![], ..document(None) }
}

#[gtest]
fn waiting_jobs_of_a_service_that_is_dropped_are_refused_as_not_run() {
    let mut dispatcher = dispatcher(&[record("a", 1)]);
    for number in 1..=4 {
        dispatcher.submit(10, patient_job(number));
    }
    let placed = dispatcher.take_decisions();
    let running = placed.len() as u64;
    expect_that!(running, all![ge(1), lt(4)]);
    dispatcher.set_document(20, &without_services());
    let refused: Vec<(u64, Reason)> = dispatcher
        .take_decisions()
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Refuse { job_id, reason, .. } => Some((job_id.number, reason)),
            Decision::Place { .. } => None,
        })
        .collect();
    let expected: Vec<(u64, Reason)> =
        (running + 1..=4).map(|number| (number, Reason::NoEndpoint)).collect();
    expect_that!(refused, eq(&expected));
    // The job at its endpoint ends there, and the service can return.
    dispatcher.finish(30, finished(job_id(1), Outcome::Answered));
    dispatcher.set_document(40, &document(None));
    dispatcher.submit(50, patient_job(9));
    expect_that!(dispatcher.take_decisions(), elements_are![pat!(Decision::Place { .. })]);
}

#[gtest]
fn each_job_gets_one_decision_while_documents_and_endpoints_come_and_go() {
    let mut dispatcher = dispatcher(&[record("a", 2)]);
    let mut counts = BTreeMap::new();
    let documents = [without_services(), document(None), Document::default(), document(None)];
    for step in 0..200 {
        let now_ms = 100 + step * 50;
        dispatcher.submit(now_ms, patient_job(step));
        dispatcher.set_document(now_ms, &documents[(step as usize / 3) % documents.len()]);
        let endpoints = if step % 7 == 0 { vec![] } else { vec![record("a", 2)] };
        dispatcher.set_endpoints(now_ms, endpoints.iter());
        dispatcher.tick(now_ms + 10);
        count_decisions(&mut dispatcher, &mut counts);
    }
    dispatcher.tick(100 + 200 * 50 + DEADLINE_MS);
    count_decisions(&mut dispatcher, &mut counts);
    expect_that!(counts.len(), eq(200));
    expect_that!(counts.values().all(|count| *count == 1), eq(true));
}

#[gtest]
fn a_waiting_job_keeps_its_place_when_the_quota_of_its_account_falls() {
    let quota = |units| {
        Some(Quota { in_tokens: false, untold_tokens: 0, units_per_s: units, burst_units: units })
    };
    let mut dispatcher = dispatcher(&[record("a", 1)]);
    dispatcher.set_document(5, &document(quota(1_000.0)));
    let of_account = |number| Job { account: Some("large".into()), ..patient_job(number) };
    for number in 1..=4 {
        dispatcher.submit(10, of_account(number));
    }
    let running = dispatcher.take_decisions().len() as u64;
    dispatcher.set_document(20, &document(quota(0.001)));
    for number in 1..=running {
        dispatcher.finish(30, finished(job_id(number), Outcome::Answered));
    }
    let placed = dispatcher.take_decisions();
    expect_that!(placed, not(is_empty()));
    expect_that!(placed.iter().all(|one| matches!(one, Decision::Place { .. })), eq(true));
}
