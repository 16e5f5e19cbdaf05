//! Tests of evacuated failure domains, and of requests that are bound to regions.

use crate::replay::{document, finished, job, most_in_window, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, Options, Outcome, Reason};
use lycheehub_routes::ColdStart;
use lycheehub_types::{EndpointRecord, Region};

fn in_domain(name: &str, domain: &str) -> EndpointRecord {
    EndpointRecord { failure_domain: domain.into(), ..record(name, 9) }
}

/// A dispatcher with the endpoints `a` in `salto` and `b` in `montevideo`.
fn two_domains() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    let mut document = document(None);
    document.services[0].cold_start = Some(ColdStart { duration_ms: 3_000, per_s: 9.0 });
    dispatcher.set_document(1, &document);
    let endpoints = [in_domain("a", "salto"), in_domain("b", "montevideo")];
    dispatcher.set_endpoints(1, endpoints.iter());
    // All endpoints are known from here on.
    dispatcher.tick(10_000);
    dispatcher
}

fn endpoints_of(decisions: &[Decision]) -> Vec<String> {
    let endpoint = |decision: &Decision| match decision {
        Decision::Place { endpoint, .. } => Some(endpoint.to_string()),
        Decision::Refuse { .. } => None,
    };
    decisions.iter().filter_map(endpoint).collect()
}

fn submit(dispatcher: &mut Dispatcher, now_ms: u64, jobs: impl Iterator<Item = Job>) {
    jobs.for_each(|job| dispatcher.submit(now_ms, job));
}

#[gtest]
fn nothing_new_is_sent_to_an_evacuated_domain_and_what_runs_there_goes_on() {
    let mut dispatcher = two_domains();
    submit(&mut dispatcher, 10_000, (1..=18).map(job));
    let before = dispatcher.take_decisions();
    expect_that!(before.len(), eq(18));
    dispatcher.set_evacuated(10_010, ["salto".into()].into());
    submit(&mut dispatcher, 10_020, (19..=24).map(job));
    for decision in before {
        let Decision::Place { job_id, endpoint, .. } = decision else { panic!("not placed") };
        dispatcher.finish(10_100, finished(job_id, Outcome::Answered));
        expect_that!(endpoint.as_str() == "a" || endpoint.as_str() == "b", eq(true));
    }
    expect_that!(endpoints_of(&dispatcher.take_decisions()), each(eq("b")));
    let load = dispatcher.service_loads(10_100).next().unwrap();
    expect_that!(load.evacuated_endpoints, eq(1));
}

#[gtest]
fn with_all_endpoints_evacuated_requests_are_refused_at_once() {
    let mut dispatcher = two_domains();
    dispatcher.set_evacuated(10_000, ["salto".into(), "montevideo".into()].into());
    submit(&mut dispatcher, 10_010, (1..=1).map(job));
    let decisions = dispatcher.take_decisions();
    let is_refused = matches!(decisions[..], [Decision::Refuse { reason: Reason::NoEndpoint, .. }]);
    expect_that!(is_refused, eq(true));
}

#[gtest]
fn an_endpoint_that_appears_in_an_evacuated_domain_gets_nothing() {
    let mut dispatcher = two_domains();
    dispatcher.set_evacuated(10_000, ["salto".into()].into());
    let endpoints = [in_domain("a2", "salto"), in_domain("b", "montevideo")];
    dispatcher.set_endpoints(10_010, endpoints.iter());
    submit(&mut dispatcher, 10_020, (1..=5).map(job));
    expect_that!(endpoints_of(&dispatcher.take_decisions()), each(eq("b")));
}

// The endpoints of a domain may have turned cold before the order that takes it back arrives.
#[gtest]
fn a_domain_that_is_taken_back_is_assumed_to_be_cold() {
    let mut dispatcher = two_domains();
    dispatcher.set_evacuated(10_000, ["salto".into()].into());
    dispatcher.set_evacuated(12_000, Default::default());
    let mut sent_ms = Vec::new();
    let mut number = 0;
    for now_ms in (12_000..15_000).step_by(20) {
        number += 2;
        submit(&mut dispatcher, now_ms, (number..number + 2).map(job));
        dispatcher.tick(now_ms);
        for decision in dispatcher.take_decisions() {
            let Decision::Place { job_id, endpoint, .. } = decision else { continue };
            if endpoint.as_str() == "a" {
                sent_ms.push(now_ms);
            }
            dispatcher.finish(now_ms, finished(job_id, Outcome::Answered));
        }
    }
    expect_that!(most_in_window(&sent_ms, 1_000), le(18));
    expect_that!(sent_ms.len(), ge(9));
}

fn bound_to(number: u64, regions: &[&str]) -> Job {
    let regions = regions.iter().map(|region| Region::from(*region)).collect();
    Job { regions: Some(regions), ..job(number) }
}

#[gtest]
fn requests_stay_in_the_regions_to_which_they_are_bound() {
    let mut dispatcher = two_domains();
    let regions = [("salto".into(), "north".into()), ("montevideo".into(), "south".into())];
    dispatcher.set_regions(regions.into());
    submit(&mut dispatcher, 10_000, (1..=12).map(|number| bound_to(number, &["north"])));
    let decisions = dispatcher.take_decisions();
    // Those that do not fit wait, though the other region has room.
    expect_that!(endpoints_of(&decisions), len(eq(9)));
    expect_that!(endpoints_of(&decisions), each(eq("a")));
    // What is not bound uses that room past those that wait.
    submit(&mut dispatcher, 10_010, (13..=16).map(job));
    expect_that!(endpoints_of(&dispatcher.take_decisions()), all![len(eq(4)), each(eq("b"))]);
}

#[gtest]
fn a_request_without_an_endpoint_in_its_regions_is_refused_for_that() {
    let mut dispatcher = two_domains();
    // The region of `montevideo` is unknown, so nothing that is bound may run there.
    dispatcher.set_regions([("salto".into(), "north".into())].into());
    for regions in [&["south"][..], &[]] {
        submit(&mut dispatcher, 10_000, [bound_to(1, regions)].into_iter());
        let decisions = dispatcher.take_decisions();
        let is_refused =
            matches!(decisions[..], [Decision::Refuse { reason: Reason::NoEndpointInRegion, .. }]);
        expect_that!(is_refused, eq(true), "{regions:?}");
    }
}
