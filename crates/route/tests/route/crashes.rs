//! Requests and parts of prompts on which endpoints crash are kept from them, and sound ones are tried elsewhere.

use crate::fixtures::{endpoint, job, view};
use googletest::prelude::*;
use lycheehub_control::View;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_route::{Decision, Job, JobKey, Options, Outcome, Scheduler};
use lycheehub_types::RefusalKind;

const ENDPOINTS: u64 = 4;
/// How often an endpoint is announced anew, in milliseconds: after each crash as a new incarnation.
const ROUND_MS: u64 = 11_000;
const ROUNDS: u64 = 12;
const DIGEST: u128 = 0xdead;

fn view_of(incarnation: u64) -> View {
    let names = (0..ENDPOINTS).map(|number| {
        let mut live = endpoint(&format!("e{number}"), "v1", 8, u64::MAX);
        live.record.incarnation = incarnation;
        live
    });
    view(names.collect())
}

fn numbered(number: u64, prefix: &[u64]) -> Job {
    let digest = Some(RequestDigest::new(u128::from(number)));
    Job { digest, prefix: prefix.to_vec(), ..job(0, "a", u64::MAX) }
}

fn answer(scheduler: &mut Scheduler, now_ms: u64, number: u64) {
    let (key, _) = scheduler.submit(now_ms, numbered(number, &[1, number, number + 1]));
    let answered = Outcome::Answered { tokens: 5, first_token_ms: Some(10.0), total_ms: 50.0 };
    scheduler.finish(now_ms + 50, key, answered);
}

fn refusal(decisions: &[Decision], key: JobKey) -> Option<RefusalKind> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Refuse(refused, refusal) if *refused == key => Some(refusal.kind()),
        _ => None,
    })
}

/// Sends one request a round, on which its endpoint crashes; returns how many reached an endpoint.
fn crash_rounds(job_of: impl Fn(u64) -> Job) -> u64 {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    scheduler.update(0, &view_of(1));
    let mut reached = 0;
    for round in 1..=ROUNDS {
        let now_ms = round * ROUND_MS;
        scheduler.update(now_ms, &view_of(round));
        (0..5).for_each(|number| answer(&mut scheduler, now_ms, round * 1_000 + number * 10));
        let (key, decisions) = scheduler.submit(now_ms + 100, job_of(round));
        if refusal(&decisions, key).is_none() {
            reached += 1;
            scheduler.record_connection_lost(now_ms + 200, key, false);
            scheduler.finish(now_ms + 200, key, Outcome::Failed);
        } else {
            expect_that!(refusal(&decisions, key), some(eq(RefusalKind::Quarantined)));
        }
        // The endpoint is announced again as a new start, and the crash is known.
        scheduler.update(now_ms + 500, &view_of(round + 1));
        scheduler.tick(now_ms + 2_000);
    }
    reached
}

#[gtest]
fn a_request_on_which_endpoints_crash_is_quarantined() {
    let digest = Some(RequestDigest::new(DIGEST));
    let reached = crash_rounds(|_| Job { digest, ..job(0, "a", u64::MAX) });
    expect_that!(reached, le(3 + 2), "three crashes, and two trials in the time of the test");
}

#[gtest]
fn a_part_of_prompts_on_which_endpoints_crash_is_quarantined() {
    let reached = crash_rounds(|round| numbered(round, &[1, DIGEST as u64, round, round + 1]));
    expect_that!(reached, le(3 + 2), "three crashes, and two trials in the time of the test");
}

/// A sound request at an endpoint's crash costs its caller nothing.
#[gtest]
fn a_request_that_was_at_one_crash_is_tried_elsewhere_at_once() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    scheduler.update(0, &view_of(1));
    let (key, _) = scheduler.submit(1_000, numbered(7, &[1, 7]));
    scheduler.record_connection_lost(1_100, key, false);
    let decisions = scheduler.retry(1_100, key, Some(0));
    expect_that!(refusal(&decisions, key), none());
    expect_that!(decisions.len(), eq(1));
}

/// Connections that a path loses are no crashes: the endpoints accept connections and are not started anew.
#[gtest]
fn a_path_that_loses_connections_accuses_no_part() {
    const PART: u64 = 77;
    let mut scheduler = Scheduler::new(Options::default(), 1);
    scheduler.update(0, &view_of(1));
    for round in 1..=6 {
        let now_ms = round * ROUND_MS;
        scheduler.update(now_ms, &view_of(1));
        (0..5).for_each(|number| answer(&mut scheduler, now_ms, round * 1_000 + number * 10));
        let keys: Vec<JobKey> = (0..8)
            .map(|number| numbered(round * 100 + number, &[PART, round * 100 + number]))
            .map(|job| scheduler.submit(now_ms + 100, job))
            .inspect(|(key, decisions)| {
                expect_that!(refusal(decisions, *key), none(), "round {round}");
            })
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            scheduler.record_connection_lost(now_ms + 200, key, false);
            scheduler.finish(now_ms + 200, key, Outcome::Failed);
        }
        scheduler.tick(now_ms + 2_000);
    }
}
