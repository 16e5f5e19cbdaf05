//! Tests of the division of requests between versions.

use crate::replay::{dispatcher, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Outcome, VersionMode, VersionRule};
use lycheehub_types::EndpointRecord;
use std::collections::BTreeMap;

/// Returns a dispatcher with two endpoints of version v1 and one of version v2, started later.
fn divided(mode: VersionMode) -> Dispatcher {
    let rule = VersionRule { mode, excluded: vec![] };
    let new = EndpointRecord { version: "v2".into(), incarnation: 50, ..record("new", 100) };
    let mut dispatcher = dispatcher(&[record("old-1", 100), record("old-2", 100), new]);
    dispatcher.set_version_rules(BTreeMap::from([("writer".into(), rule)]));
    dispatcher
}

/// Sends requests one after the other. Returns how many went to the new version.
fn placed_new(dispatcher: &mut Dispatcher, count: u64) -> usize {
    let mut new = 0;
    for number in 1..=count {
        let job_id = JobId { instance: 1, number };
        dispatcher.submit(1_000 + number, Job { job_id, ..job(0) });
        for decision in dispatcher.take_decisions() {
            let Decision::Place { endpoint, .. } = decision else { continue };
            new += usize::from(endpoint.as_str() == "new");
            dispatcher.finish(1_000 + number, finished(job_id, Outcome::Answered));
        }
    }
    new
}

fn split(share: f64) -> VersionMode {
    VersionMode::Split { target: "v2".into(), share }
}

#[gtest]
fn a_new_version_gets_its_share_and_no_more() {
    for (share, expected) in [(0.0, 0), (0.06, 60), (0.5, 500), (1.0, 1_000)] {
        let mut dispatcher = divided(split(share));
        let new = placed_new(&mut dispatcher, 1_000);
        expect_that!(new, all![ge(expected * 9 / 10), le(expected)], "share {share}");
        // Samples of both versions are recorded for the comparison.
        expect_that!(dispatcher.take_samples().len(), eq(1_000));
    }
}

#[gtest]
fn a_full_new_version_leaves_requests_to_the_old_one() {
    let mut dispatcher = divided(split(1.0));
    for number in 1..=250 {
        let job_id = JobId { instance: 1, number };
        let short = Job { prompt_tokens: 1, output_tokens: 5, job_id, ..job(0) };
        dispatcher.submit(1_000, short);
    }
    let decisions = dispatcher.take_decisions();
    let placed = |decision: &&Decision| matches!(decision, Decision::Place { .. });
    expect_that!(decisions.iter().filter(placed).count(), eq(250));
}

#[gtest]
fn an_excluded_version_gets_no_requests() {
    for mode in [VersionMode::Any, split(1.0)] {
        let mut dispatcher = divided(mode.clone());
        let rule = VersionRule { mode, excluded: vec!["v2".into()] };
        dispatcher.set_version_rules(BTreeMap::from([("writer".into(), rule)]));
        expect_that!(placed_new(&mut dispatcher, 300), eq(0));
    }
}

#[gtest]
fn once_completed_only_old_endpoints_of_other_versions_get_nothing() {
    let mode = VersionMode::Only { target: "v2".into(), since_unix_ms: 100 };
    let mut dispatcher = divided(mode);
    expect_that!(placed_new(&mut dispatcher, 300), eq(300));
    let later = EndpointRecord { version: "v3".into(), incarnation: 200, ..record("later", 9) };
    dispatcher.set_endpoints(9_000, [later].iter());
    dispatcher.submit(9_001, job(7_000));
    let decision = dispatcher.take_decisions().pop();
    expect_that!(decision, some(matches_pattern!(Decision::Place { .. })));
}

#[gtest]
fn samples_are_limited_if_they_are_not_taken() {
    let mut dispatcher = divided(split(0.5));
    placed_new(&mut dispatcher, 10_000);
    expect_that!(dispatcher.take_samples().len(), lt(5_000));
}
