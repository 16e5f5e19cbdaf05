//! What endpoints say of themselves in their answers.

use crate::replay::{dispatcher, document, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Notice, Options, Outcome, Reason};
use lycheehub_types::EndpointRecord;

const LEAVES: Notice = Notice { leaving: true, pause_ms: None };

fn pause(pause_ms: u64) -> Notice {
    Notice { leaving: false, pause_ms: Some(pause_ms) }
}

/// Returns where a job of an instance goes, if it goes anywhere; it ends at once.
fn place(dispatcher: &mut Dispatcher, now_ms: u64, instance: u32, number: u64) -> Option<String> {
    let job_id = JobId { instance, number };
    dispatcher.submit(now_ms, Job { job_id, ..job(number) });
    let decisions = dispatcher.take_decisions();
    let placed = decisions.iter().find_map(|decision| match decision {
        Decision::Place { endpoint, .. } => Some(endpoint.to_string()),
        Decision::Refuse { .. } => None,
    });
    dispatcher.withdraw(now_ms, job_id);
    dispatcher.take_decisions();
    placed
}

#[gtest]
fn an_endpoint_that_said_that_it_leaves_gets_nothing_new_from_anybody() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), LEAVES);
    for number in 0..9 {
        let instance = 1 + number as u32 % 2;
        expect_that!(place(&mut dispatcher, 1_001 + number, instance, number), some(eq("b")));
    }
    expect_that!(dispatcher.is_excluded(600_000, 2, &"a".into()), eq(true));
}

#[gtest]
fn leaving_outlasts_later_news_of_the_same_incarnation_and_a_gap_in_them() {
    let (a, b) = (record("a", 9), record("b", 9));
    let mut dispatcher = dispatcher(&[a.clone(), b.clone()]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), LEAVES);
    dispatcher.set_endpoints(1_100, [&b].into_iter());
    let again = EndpointRecord { sequence: 7, ..a.clone() };
    dispatcher.set_endpoints(1_200, [&again, &b].into_iter());
    expect_that!(place(&mut dispatcher, 1_300, 1, 1), some(eq("b")));
    let restarted = EndpointRecord { incarnation: 2, ..a };
    dispatcher.set_endpoints(1_400, [&restarted].into_iter());
    expect_that!(place(&mut dispatcher, 1_500, 1, 2), some(eq("a")));
    expect_that!(dispatcher.is_excluded(1_500, 1, &"a".into()), eq(false));
}

#[gtest]
fn what_an_endpoint_says_before_it_is_known_here_holds() {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1, &document(None));
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), LEAVES);
    dispatcher.set_endpoints(1_100, [record("a", 9), record("b", 9)].iter());
    expect_that!(place(&mut dispatcher, 1_200, 1, 1), some(eq("b")));
}

#[gtest]
fn a_pause_holds_for_its_instance_until_its_end() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), pause(2_000));
    dispatcher.record_notice(1_000, 1, (&"b".into(), None), pause(500));
    expect_that!(place(&mut dispatcher, 1_499, 1, 1), none());
    for number in 0..20 {
        let now_ms = 1_500 + 75 * number;
        dispatcher.tick(now_ms);
        expect_that!(place(&mut dispatcher, now_ms, 1, 2 + number), some(eq("b")), "{now_ms}");
    }
    expect_that!(dispatcher.is_excluded(2_999, 1, &"a".into()), eq(true));
    expect_that!(dispatcher.is_excluded(3_000, 1, &"a".into()), eq(false));
    expect_that!(dispatcher.is_excluded(1_001, 2, &"a".into()), eq(false));
}

#[gtest]
fn all_stay_away_from_an_endpoint_that_told_two_instances_to() {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), pause(2_000));
    expect_that!(place(&mut dispatcher, 1_100, 3, 1), some(eq("a")));
    dispatcher.record_notice(1_200, 2, (&"a".into(), None), pause(300));
    expect_that!(place(&mut dispatcher, 1_300, 3, 2), none());
    expect_that!(place(&mut dispatcher, 1_500, 3, 3), some(eq("a")));
}

#[gtest]
fn after_a_pause_an_endpoint_gets_one_request_at_a_time_until_it_answers() {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), pause(500));
    for number in 1..=9 {
        dispatcher.submit(1_450, job(number));
    }
    let placed = |dispatcher: &mut Dispatcher, now_ms| {
        dispatcher.tick(now_ms);
        let decisions = dispatcher.take_decisions().into_iter();
        let job_ids = decisions.filter_map(|decision| match decision {
            Decision::Place { job_id, .. } => Some(job_id),
            Decision::Refuse { .. } => None,
        });
        job_ids.collect::<Vec<_>>()
    };
    let mut first = placed(&mut dispatcher, 1_499);
    expect_that!(first, is_empty());
    for now_ms in [1_500, 1_520] {
        first = placed(&mut dispatcher, now_ms);
        expect_that!(first.len(), eq(1), "{now_ms}");
        dispatcher.finish(now_ms + 10, finished(first[0], Outcome::Answered));
    }
    expect_that!(placed(&mut dispatcher, 1_540).len(), gt(3));
}

#[gtest]
fn a_service_whose_endpoints_all_pause_for_long_tells_the_earliest_end() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), pause(9_000));
    dispatcher.record_notice(1_000, 1, (&"b".into(), None), pause(6_000));
    dispatcher.submit(2_000, job(1));
    let job_id = JobId { instance: 1, number: 1 };
    let expected = Decision::Refuse { job_id, reason: Reason::Overloaded, retry_after_ms: 5_000 };
    expect_that!(dispatcher.take_decisions(), elements_are![eq(&expected)]);
    // Others are not told to stay away.
    expect_that!(place(&mut dispatcher, 2_001, 2, 1), some(anything()));
}

#[gtest]
fn a_pause_of_hours_is_bounded_and_a_long_time_leaves_no_trace() {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    dispatcher.record_notice(1_000, 1, (&"a".into(), None), pause(u64::MAX));
    expect_that!(dispatcher.is_excluded(600_000, 1, &"a".into()), eq(true));
    dispatcher.tick(601_001);
    expect_that!(dispatcher.notices(601_001, 1), is_empty());
    expect_that!(place(&mut dispatcher, 601_002, 1, 1), some(eq("a")));
}

#[gtest]
fn what_an_earlier_incarnation_said_is_not_held_against_a_later_one() {
    let restarted = EndpointRecord { incarnation: 2, ..record("a", 9) };
    let mut dispatcher = dispatcher(&[restarted]);
    // An instance that has not heard of the new one yet passes on what it knows.
    dispatcher.record_notice(1_000, 1, (&"a".into(), Some(1)), LEAVES);
    expect_that!(dispatcher.is_excluded(1_001, 1, &"a".into()), eq(false));
    expect_that!(place(&mut dispatcher, 1_002, 1, 1), some(eq("a")));
    dispatcher.record_notice(1_003, 1, (&"a".into(), Some(2)), LEAVES);
    expect_that!(place(&mut dispatcher, 1_004, 1, 2), none());
}

#[gtest]
fn what_a_later_incarnation_said_waits_for_the_news_of_it() {
    let first = record("a", 9);
    let mut dispatcher = dispatcher(std::slice::from_ref(&first));
    dispatcher.record_notice(1_000, 1, (&"a".into(), Some(2)), LEAVES);
    let restarted = EndpointRecord { incarnation: 2, ..first };
    dispatcher.set_endpoints(1_100, [restarted].iter());
    expect_that!(place(&mut dispatcher, 1_200, 1, 1), none());
}
