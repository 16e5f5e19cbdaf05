//! Endpoints that fail.

use crate::replay::{dispatcher, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Outcome, Ticket};

/// Submits a job and returns where it goes.
fn place(dispatcher: &mut Dispatcher, now_ms: u64, number: u64) -> Option<String> {
    dispatcher.submit(now_ms, job(number));
    dispatcher.take_decisions().into_iter().find_map(|decision| match decision {
        Decision::Place { endpoint, .. } => Some(endpoint.to_string()),
        Decision::Refuse { .. } => None,
    })
}

fn ticket(number: u64) -> Ticket {
    Ticket { instance: 1, number }
}

#[gtest]
fn an_endpoint_that_cannot_be_reached_is_left_alone() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    let first = place(&mut dispatcher, 10, 1).unwrap();
    dispatcher.finish(210, finished(ticket(1), Outcome::NotConnected));
    for number in 2..8 {
        expect_that!(place(&mut dispatcher, 220, number), some(not(eq(&first))));
    }
}

#[gtest]
fn one_lost_answer_says_nothing_of_an_endpoint_that_answers_others() {
    let mut dispatcher = dispatcher(&[record("a", 9)]);
    place(&mut dispatcher, 10, 1);
    place(&mut dispatcher, 20, 2);
    dispatcher.finish(60, finished(ticket(2), Outcome::Answered));
    dispatcher.stalled(400, ticket(1));
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
        dispatcher.finish(now_ms + 10, finished(ticket(number), outcome));
    }
    expect_that!(to_a, lt(30));
}

#[gtest]
fn a_service_of_which_every_endpoint_fails_a_part_is_still_used() {
    let mut dispatcher = dispatcher(&[record("a", 9), record("b", 9)]);
    let mut placed = 0;
    for number in 0..200 {
        let now_ms = 1_000 + number * 20;
        placed += u32::from(place(&mut dispatcher, now_ms, number).is_some());
        let outcome = if number % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        dispatcher.finish(now_ms + 10, finished(ticket(number), outcome));
    }
    expect_that!(placed, eq(200));
}
