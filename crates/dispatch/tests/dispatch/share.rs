//! Replays of load without a leader: many dispatchers that do not communicate.

use crate::replay::{document, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Options};
use std::collections::BTreeMap;

/// Lets every dispatcher place as many jobs as it can. Returns the number of jobs per endpoint.
fn placed(instances: u32, endpoints: usize, slots: u32) -> BTreeMap<String, usize> {
    let records: Vec<_> = (0..endpoints).map(|n| record(&format!("i-{n}"), slots)).collect();
    let mut placed = BTreeMap::new();
    for instance in 0..instances {
        let share = 1.0 / f64::from(instances);
        let slot_salt = u64::from(instance) + 1;

        let options = Options { slot_share: share, slot_salt, ..Options::default() };
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_document(1, &document(None));
        dispatcher.set_endpoints(1, records.iter());
        for number in 0..500 {
            let job_id = JobId { instance, number };
            dispatcher.submit(1_000, Job { job_id, ..job(0) });
        }
        for decision in dispatcher.take_decisions() {
            if let Decision::Place { endpoint, .. } = decision {
                *placed.entry(endpoint.to_string()).or_default() += 1;
            }
        }
    }
    placed
}

#[gtest]
fn endpoints_get_about_what_they_can_run_from_many_instances() {
    let placed = placed(67, 90, 7);
    let all: usize = placed.values().sum();
    // Within a fifth of all slots, and no endpoint above about twice its own.
    expect_that!(all, all![ge(504), le(756)]);
    expect_that!(placed.values().max(), some(le(&15)));
}

#[gtest]
fn each_instance_can_serve_a_service_of_few_endpoints() {
    let placed = placed(67, 4, 6);
    expect_that!(placed.values().sum::<usize>(), ge(67));
}

#[gtest]
fn a_service_of_short_requests_is_oversubscribed() {
    let mut plain = document(None);
    plain.services[0].engine = None;
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1, &plain);
    dispatcher.set_endpoints(1, [record("i", 6)].iter());
    for number in 0..40 {
        let job_id = JobId { instance: 1, number };
        dispatcher.submit(1_000, Job { job_id, output_tokens: 0, ..job(0) });
    }
    let placed = dispatcher.take_decisions().into_iter();
    expect_that!(placed.filter(|it| matches!(it, Decision::Place { .. })).count(), eq(8));
}

#[gtest]
fn instances_without_a_leader_keep_the_memory_of_an_endpoint_together() {
    const INSTANCES: u32 = 2;
    const PROMPT_TOKENS: u32 = 100_000;
    let mut placed = 0;
    for instance in 0..INSTANCES {
        let options = Options::default().for_one_of(INSTANCES, instance.into());
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_document(1, &document(None));
        dispatcher.set_endpoints(1, [record("a", 8)].iter());
        for number in 0..20 {
            let job_id = JobId { instance, number };
            let large = Job { job_id, prompt_tokens: PROMPT_TOKENS, ..job(0) };
            let late = Job { objective_left_ms: 60_000, patience_left_ms: 60_000, ..large };
            dispatcher.submit(1_000, Job { deadline_left_ms: 120_000, ..late });
        }
        let decisions = dispatcher.take_decisions().into_iter();
        placed += decisions.filter(|it| matches!(it, Decision::Place { .. })).count();
    }
    // The endpoint has memory for five such prompts.
    expect_that!(placed, all![ge(2), le(5)]);
}
