//! Tests of the choice of endpoints.

use crate::replay::{Class, End, Replay, dispatcher, document, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::Content;
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, InFlight, Job, JobId, Options, Outcome, PrefixPart, Reason,
};
use std::collections::BTreeMap;

fn placed(dispatcher: &mut Dispatcher) -> Vec<String> {
    let decisions = dispatcher.take_decisions().into_iter();
    let endpoint = |decision| match decision {
        Decision::Place { endpoint, .. } => endpoint.to_string(),
        Decision::Refuse { .. } => "refused".to_owned(),
    };
    decisions.map(endpoint).collect()
}

#[gtest]
fn long_prompts_go_to_fast_engines_once_their_speed_is_known() {
    let long = Job { prompt_tokens: 30_000, objective_left_ms: 1_000, ..job(0) };
    let long = Class { job: Job { patience_left_ms: 4_000, ..long }, per_s: 4.0 };
    let short = Class { job: job(0), per_s: 20.0 };
    let mut replay = Replay::new(&[0.55, 0.55, 1.0, 1.0, 2.8, 2.8]);
    replay.run(20_000, &[short, long], 1.0);
    // On an engine of speed 0.55, the prefill of such a prompt alone takes 870 ms.
    let all = replay.count(1, 5, 20, |_| true);
    let on_time = replay.count(1, 5, 20, |end| end == End::OnTime);
    expect_that!(f64::from(on_time) / f64::from(all), gt(0.95));
}

#[gtest]
fn an_endpoint_gets_no_more_than_its_slots() {
    let mut dispatcher = dispatcher(&[record("a", 2), record("b", 1)]);
    for number in 0..5 {
        dispatcher.submit(10, job(number));
    }
    expect_that!(placed(&mut dispatcher).len(), eq(3));
    let job_id = JobId { instance: 1, number: 0 };
    dispatcher.finish(20, finished(job_id, Outcome::Answered));
    expect_that!(placed(&mut dispatcher).len(), eq(1));
}

#[gtest]
fn a_request_placed_by_an_earlier_dispatcher_holds_its_slot() {
    let mut dispatcher = dispatcher(&[record("a", 1)]);
    let running = InFlight {
        number: 9,
        endpoint: "a".into(),
        memory_tokens: 1_000,
        is_stream: true,
        age_ms: 0,
        content: Content::default(),
    };
    dispatcher.record_in_flight(5, 1, &[running]);
    dispatcher.submit(10, job(1));
    expect_that!(placed(&mut dispatcher), is_empty());
    dispatcher.forget_instance(20, 1);
    dispatcher.submit(30, Job { job_id: JobId { instance: 2, number: 1 }, ..job(1) });
    expect_that!(placed(&mut dispatcher).len(), eq(1));
}

#[gtest]
fn a_leaving_endpoint_gets_no_new_work() {
    let mut dispatcher = dispatcher(&[record("a", 4), record("b", 4)]);
    let mut leaving = record("a", 4);
    leaving.leaving = true;
    dispatcher.set_endpoints(5, [leaving, record("b", 4)].iter());
    for number in 0..4 {
        dispatcher.submit(10, job(number));
    }
    expect_that!(placed(&mut dispatcher), each(eq("b")));
}

#[gtest]
fn a_prompt_whose_beginning_was_read_goes_where_it_was_read() {
    let mut dispatcher = dispatcher(&[record("a", 4), record("b", 4), record("c", 4)]);
    let shared = |number| Job {
        prompt_tokens: 5_000,
        prefix: vec![PrefixPart { id: 1, tokens: 4_800 }, PrefixPart { id: number, tokens: 200 }],
        ..job(number)
    };
    dispatcher.submit(10, shared(2));
    let first = placed(&mut dispatcher);
    dispatcher.finish(200, finished(JobId { instance: 1, number: 2 }, Outcome::Answered));
    for number in 3..6 {
        dispatcher.submit(1_000 * number, shared(number));
        expect_that!(placed(&mut dispatcher), eq(&first));
    }
}

#[gtest]
fn a_job_that_does_not_fit_into_memory_waits() {
    let mut dispatcher = dispatcher(&[record("a", 4)]);
    let large = |number| Job {
        prompt_tokens: 300_000,
        objective_left_ms: 60_000,
        patience_left_ms: 60_000,
        deadline_left_ms: 600_000,
        ..job(number)
    };
    dispatcher.submit(10, large(1));
    dispatcher.submit(10, large(2));
    expect_that!(placed(&mut dispatcher).len(), eq(1));
}

#[test]
fn a_burst_at_a_quick_endpoint_gets_all_its_slots() {
    let mut dispatcher = dispatcher(&[record("e1", 8)]);
    let plain = |number| Job { prompt_tokens: 0, output_tokens: 0, ..job(number) };
    dispatcher.submit(1_000, plain(1));
    assert_eq!(placed(&mut dispatcher).len(), 1);
    let job_id = JobId { instance: 1, number: 1 };
    let outcome = Outcome::Answered;
    let first_byte_ms = Some(1);
    let rejected = Finished { first_byte_ms, rest_ms: 0, events: 0, ..finished(job_id, outcome) };
    dispatcher.finish(1_001, rejected);
    for number in 2..62 {
        dispatcher.submit(1_010, plain(number));
    }
    assert_eq!(placed(&mut dispatcher).len(), 8);
}

#[gtest]
fn long_answers_go_where_they_end_in_time() {
    // Such a response takes 18 s on an engine of speed 0.55 and 3.6 s on one of speed 2.8.
    let long = Job { output_tokens: 2_400, deadline_left_ms: 15_000, ..job(0) };
    let long = Class { job: long, per_s: 3.0 };
    let short = Class { job: job(0), per_s: 30.0 };
    let mut replay = Replay::new(&[0.55, 0.55, 1.0, 1.0, 2.8, 2.8]);
    replay.run(40_000, &[short, long], 1.0);
    let all = replay.count(1, 0, 25, |end| !matches!(end, End::Refused(_)));
    let overran = replay.overran.get(&1).copied().unwrap_or(0);
    // The first few arrive before the engine speeds are known.
    expect_that!(overran, le(all / 20));
    let short = replay.count(0, 5, 40, |_| true);
    let on_time = replay.count(0, 5, 40, |end| end == End::OnTime);
    expect_that!(on_time, ge(short * 9 / 10));
}

#[gtest]
fn a_long_answer_is_not_refused_where_one_endpoint_can_end_it() {
    let mut dispatcher = dispatcher(&[record("fast", 1), record("slow", 1)]);
    let job_id = |number| JobId { instance: 1, number };
    // The dispatcher learns that an event takes 10 ms on one endpoint and 100 ms on the other.
    for round in 0..40 {
        let now_ms = 1_000 + round * 10_000;
        for number in [2 * round, 2 * round + 1] {
            dispatcher.submit(now_ms, Job { job_id: job_id(number), ..job(0) });
        }
        for (decision, number) in dispatcher.take_decisions().iter().zip(2 * round..) {
            let Decision::Place { endpoint, .. } = decision else { panic!("not placed") };
            let rest_ms = if endpoint.as_str() == "fast" { 600 } else { 6_000 };
            let finished = finished(job_id(number), Outcome::Answered);
            dispatcher.finish(now_ms + 7_000, Finished { rest_ms, events: 60, ..finished });
        }
        dispatcher.tick(now_ms + 7_050);
    }
    let now_ms = 500_000;
    for number in 100..102 {
        dispatcher.submit(now_ms, Job { job_id: job_id(number), ..job(0) });
    }
    let placed_at = |decision: &Decision| match decision {
        Decision::Place { job_id, endpoint, .. } => (endpoint.to_string(), *job_id),
        Decision::Refuse { .. } => ("refused".to_owned(), job_id(0)),
    };
    let running: BTreeMap<String, JobId> =
        dispatcher.take_decisions().iter().map(placed_at).collect();
    // Queue a short job and one of 300 events: 16.5 s on the mean endpoint, 3 s on the fast one.
    dispatcher.submit(now_ms + 1, Job { job_id: job_id(102), output_tokens: 5, ..job(0) });
    dispatcher.submit(now_ms + 2, Job { job_id: job_id(103), output_tokens: 1_500, ..job(0) });
    expect_that!(placed(&mut dispatcher), is_empty());
    dispatcher.finish(now_ms + 3, finished(running["slow"], Outcome::Answered));
    expect_that!(placed(&mut dispatcher), elements_are![eq("slow")]);
    dispatcher.finish(now_ms + 4, finished(running["fast"], Outcome::Answered));
    expect_that!(placed(&mut dispatcher), elements_are![eq("fast")]);
}

#[gtest]
fn jobs_waiting_for_a_faster_engine_do_not_block_others() {
    let mut dispatcher = dispatcher(&[record("fast", 1), record("slow", 9)]);
    let job_id = |number| JobId { instance: 1, number };
    // The dispatcher learns the speeds: the second of two jobs goes to the slow endpoint.
    for round in 0..40 {
        let now_ms = 1_000 + round * 1_000;
        for number in [2 * round, 2 * round + 1] {
            let job_id = job_id(number);
            dispatcher.submit(now_ms, Job { job_id, prompt_tokens: 5_000, ..job(0) });
        }
        expect_that!(placed(&mut dispatcher).len(), eq(2));
        for (number, first_byte_ms) in [(2 * round, 30), (2 * round + 1, 150)] {
            let (job_id, first_byte_ms) = (job_id(number), Some(first_byte_ms));
            let outcome = Outcome::Answered;
            let finished = Finished { first_byte_ms, ..finished(job_id, outcome) };
            dispatcher.finish(now_ms + 90, finished);
        }
    }
    let now_ms = 50_000;
    dispatcher.submit(now_ms, Job { job_id: job_id(100), prompt_tokens: 100, ..job(0) });
    expect_that!(placed(&mut dispatcher), elements_are![eq("fast")]);
    // These can be on time only on the fast endpoint, whose slot is taken.
    for number in 200..220 {
        let job_id = job_id(number);
        let long = Job { job_id, prompt_tokens: 35_000, objective_left_ms: 900, ..job(0) };
        dispatcher.submit(now_ms, long);
    }
    expect_that!(placed(&mut dispatcher), is_empty());
    let other = Job { job_id: job_id(300), rank: 2, ..job(0) };
    dispatcher.submit(now_ms + 1, other);
    dispatcher.tick(now_ms + 2);
    dispatcher.tick(now_ms + 3);
    expect_that!(placed(&mut dispatcher), elements_are![eq("slow")]);
    // They get the next free slot of the fast endpoint although other jobs have arrived meanwhile.
    dispatcher.submit(now_ms + 4, Job { job_id: job_id(301), rank: 2, ..job(0) });
    expect_that!(placed(&mut dispatcher), elements_are![eq("slow")]);
    dispatcher.finish(now_ms + 5, finished(job_id(100), Outcome::Answered));
    let decisions = dispatcher.take_decisions();
    let is_long = |decision: &Decision| match decision {
        Decision::Place { job_id, .. } => (200..220).contains(&job_id.number),
        Decision::Refuse { .. } => false,
    };
    expect_that!(decisions.iter().map(is_long).collect::<Vec<_>>(), elements_are![eq(&true)]);
}

#[gtest]
fn a_job_waits_for_endpoints_to_announce_themselves() {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1_000, &document(None));
    dispatcher.set_endpoints(1_000, [].iter());
    let short = Job { objective_left_ms: 100, patience_left_ms: 900, ..job(1) };
    dispatcher.submit(1_050, Job { deadline_left_ms: 900, output_tokens: 0, ..short });
    for now_ms in (1_050..1_600).step_by(50) {
        dispatcher.tick(now_ms);
        expect_that!(dispatcher.take_decisions(), is_empty(), "{now_ms}");
    }
    dispatcher.set_endpoints(1_600, [record("a", 9)].iter());
    let decisions = dispatcher.take_decisions();
    expect_that!(decisions, elements_are![matches_pattern!(Decision::Place { .. })]);
}

#[gtest]
fn a_job_without_endpoints_is_refused_before_its_caller_leaves() {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1_000, &document(None));
    dispatcher.set_endpoints(1_000, [].iter());
    dispatcher.submit(1_050, Job { patience_left_ms: 1_000, ..job(1) });
    let mut refused_ms = None;
    for now_ms in (1_050..3_000).step_by(50) {
        dispatcher.tick(now_ms);
        if let Some(Decision::Refuse { reason, .. }) = dispatcher.take_decisions().pop() {
            expect_that!(reason, eq(Reason::NoEndpoint));
            refused_ms.get_or_insert(now_ms);
        }
    }
    expect_that!(refused_ms, some(all![gt(1_800), lt(2_050)]));
    // The time for endpoints to announce themselves is over: the job is refused at once.
    dispatcher.submit(3_000, job(2));
    let decisions = dispatcher.take_decisions();
    expect_that!(decisions, elements_are![matches_pattern!(Decision::Refuse { .. })]);
}
