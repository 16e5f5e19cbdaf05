//! Endpoints whose response breaks off at any byte, or does not say where it ends.

use crate::endpoints::{End, Outcome, Plan, generation, get, post, run, run_each};
use googletest::prelude::*;
use lycheehub_control::state::ClaimState;

/// How long an endpoint is silent within a head, in milliseconds.
const SILENCE_MS: u64 = 1_000;

const LENGTH: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nfirst whole";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                       6\r\nfirst \r\n5\r\nwhole\r\n0\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nfirst whole";
const AFTER_INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
                             HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nfirst whole";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-not-run: true\r\nContent-Length: 4\r\n\r\nfull";
const SECOND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nsecond whole";
const EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"first \"}}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

fn head_length(response: &str) -> usize {
    response.find("\r\n\r\n").unwrap() + 4
}

/// Cuts a response at each byte and ends the connection in both ways.
fn cuts(recorded: &str, second: &str) -> Vec<Plan> {
    let bytes = recorded.as_bytes();
    let cuts = (0..=bytes.len()).map(|length| &bytes[..length]);
    let plans =
        cuts.flat_map(|cut| [End::Close, End::Reset].map(|end| Plan::new(cut, end, second)));
    plans.collect()
}

fn unsafe_request() -> String {
    post("/v1/services/invoices/1", "", "pay")
}

fn keyed_request() -> String {
    post("/v1/services/invoices/1", "Idempotency-Key: k1\r\n", "pay")
}

/// Returns the body of a response if it ends where its framing says.
fn whole_body(response: &str) -> Option<&str> {
    let (head, body) = response.split_at(head_length(response));
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => (length.parse() == Ok(body.len())).then_some(body),
        None => body.ends_with("0\r\n\r\n").then_some(body),
    }
}

/// Checks the result of a request that may run once; `is_whole` states whether its response was.
fn check_once(outcome: &Outcome, plan: &Plan, is_whole: bool) {
    let sent = String::from_utf8_lossy(&plan.first);
    expect_that!(outcome.attempts, eq(1), "{sent} {:?}", plan.end);
    if is_whole {
        expect_that!(outcome.response, starts_with("HTTP/1.1 200 "), "{sent} {:?}", plan.end);
        expect_that!(whole_body(&outcome.response), some(eq("first whole")));
    } else {
        expect_that!(outcome.response, starts_with("HTTP/1.1 502 "), "{sent} {:?}", plan.end);
        expect_that!(outcome.response, not(contains_substring("not_run")));
    }
    let settled = if is_whole { ClaimState::Answered } else { ClaimState::Unknown };
    expect_that!(outcome.settled.as_ref().is_none_or(|state| *state == settled), eq(true));
}

/// Checks the result of a request that may be repeated.
fn check_repeated(outcome: &Outcome, plan: &Plan, is_whole: bool) {
    let sent = String::from_utf8_lossy(&plan.first);
    let (attempts, body) = if is_whole { (1, "first whole") } else { (2, "second whole") };
    expect_that!(outcome.attempts, eq(attempts), "{sent} {:?}", plan.end);
    expect_that!(outcome.response, starts_with("HTTP/1.1 200 "), "{sent} {:?}", plan.end);
    expect_that!(whole_body(&outcome.response), some(eq(body)), "{sent} {:?}", plan.end);
}

fn check_each_cut(recorded: &str) {
    let plans = || cuts(recorded, SECOND);
    let is_whole = |plan: &Plan| plan.first == recorded.as_bytes();
    for request in [unsafe_request(), keyed_request(), generation("teller", false)] {
        run_each(plans(), &request, |plan, outcome| check_once(&outcome, plan, is_whole(plan)));
    }
    for request in [get("/v1/services/invoices/1"), generation("writer", false)] {
        run_each(plans(), &request, |plan, outcome| check_repeated(&outcome, plan, is_whole(plan)));
    }
}

#[gtest]
fn a_response_with_a_length_that_breaks_off_at_any_byte_is_no_answer() {
    check_each_cut(LENGTH);
}

// A part of the trailers stalled the decoder until the deadline.
#[gtest]
fn a_response_in_chunks_that_breaks_off_at_any_byte_is_no_answer() {
    check_each_cut(CHUNKED);
}

// The interim response was taken for the response, with an empty body.
#[gtest]
fn a_response_after_interim_ones_that_breaks_off_at_any_byte_is_no_answer() {
    check_each_cut(AFTER_INTERIM);
}

// The body was taken for empty, and the response for whole.
#[gtest]
fn a_response_without_length_ends_with_its_connection() {
    let head = head_length(UNTIL_CLOSE);
    run_each(cuts(UNTIL_CLOSE, SECOND), &unsafe_request(), |plan, outcome| {
        if plan.end == End::Reset || plan.first.len() < head {
            return check_once(&outcome, plan, false);
        }
        expect_that!(outcome.response, starts_with("HTTP/1.1 200 "));
        let sent = String::from_utf8_lossy(&plan.first[head..]).into_owned();
        expect_that!(whole_body(&outcome.response), some(eq(&sent)));
    });
}

#[gtest]
fn a_response_without_length_is_waited_for_until_its_connection_ends() {
    run(|fixture| async move {
        let (begun, rest) = UNTIL_CLOSE.split_at(head_length(UNTIL_CLOSE));
        let plan = Plan {
            late: rest.into(),
            late_after_ms: 50,
            ..Plan::new(begun.as_bytes(), End::Close, SECOND)
        };
        let outcome = fixture.request(plan, &get("/v1/services/invoices/1")).await;
        expect_that!(whole_body(&outcome.response), some(eq("first whole")));
    });
}

#[gtest]
fn a_response_whose_transfer_coding_is_unknown_is_no_answer() {
    let coded = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let plan = Plan::new(coded.as_bytes(), End::Close, SECOND);
    run_each([plan], &unsafe_request(), |plan, outcome| check_once(&outcome, plan, false));
}

#[gtest]
fn a_response_with_two_lengths_is_no_answer() {
    let two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde";
    let plan = Plan::new(two.as_bytes(), End::Close, SECOND);
    run_each([plan], &unsafe_request(), |plan, outcome| check_once(&outcome, plan, false));
}

#[gtest]
fn a_refusal_whose_head_breaks_off_does_not_state_that_the_request_has_not_run() {
    let head = head_length(REFUSAL);
    run_each(cuts(REFUSAL, SECOND), &unsafe_request(), |plan, outcome| {
        if plan.first.len() < head {
            return check_once(&outcome, plan, false);
        }
        expect_that!(outcome.attempts, eq(2));
        expect_that!(whole_body(&outcome.response), some(eq("second whole")));
    });
}

#[gtest]
fn a_response_that_breaks_off_after_another_one_on_its_connection_is_no_answer() {
    for plan in cuts(LENGTH, SECOND) {
        run(|fixture| async move {
            let safe = get("/v1/services/invoices/1");
            let whole = Plan::new(LENGTH.as_bytes(), End::Open, SECOND);
            fixture.request(whole, &safe).await;
            let is_whole = plan.first == LENGTH.as_bytes();
            let outcome = fixture.request(plan.clone(), &safe).await;
            check_repeated(&outcome, &plan, is_whole);
        });
    }
}

/// Returns the recorded streams: with a length, in chunks and without length.
fn streams() -> [String; 3] {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    let body = [EVENT, EVENT, DONE].concat();
    let chunk = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
    [
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
        format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{}{}{}0\r\n\r\n",
            chunk(EVENT),
            chunk(EVENT),
            chunk(DONE)
        ),
        format!("{head}\r\n{body}"),
    ]
}

#[gtest]
fn a_stream_that_breaks_off_at_any_byte_does_not_look_complete() {
    for recorded in streams() {
        run_each(cuts(&recorded, SECOND), &generation("teller", true), |plan, outcome| {
            let sent = String::from_utf8_lossy(&plan.first);
            expect_that!(outcome.attempts, eq(1));
            if !sent.contains(EVENT) {
                return check_once(&outcome, plan, false);
            }
            expect_that!(outcome.response, starts_with("HTTP/1.1 200 "), "{sent}");
            // The last event ends a stream.
            let is_whole = sent.contains(DONE);
            expect_that!(whole_body(&outcome.response).is_some(), eq(is_whole), "{sent}");
        });
    }
}

#[gtest]
fn a_head_that_breaks_off_after_a_pause_of_a_second_is_no_answer_and_a_whole_one_is() {
    for rest in [LENGTH.len(), 50] {
        let (begun, rest) = (&LENGTH.as_bytes()[..30], &LENGTH.as_bytes()[30..rest]);
        let plan = Plan {
            late: rest.into(),
            late_after_ms: SILENCE_MS,
            ..Plan::new(begun, End::Close, SECOND)
        };
        run_each([plan], &unsafe_request(), |plan, outcome| {
            check_once(&outcome, plan, begun.len() + plan.late.len() == LENGTH.len());
        });
    }
}

// The decoder took the head for complete, and a part of the body was lost with it.
#[gtest]
fn a_response_whose_head_ends_in_bare_line_feeds_is_no_answer() {
    let first = b"HTTP/1.1 200 OK\nContent-Type: text/plain\n\nfirst whole";
    let plans = || vec![Plan::new(first, End::Close, SECOND)];
    run_each(plans(), &unsafe_request(), |plan, outcome| check_once(&outcome, plan, false));
    let safe = get("/v1/services/invoices/1");
    run_each(plans(), &safe, |plan, outcome| check_repeated(&outcome, plan, false));
}

/// Guards against a response with a status that is none: it is passed on as an answer, or its caller waits for
/// another one until the time limit.
#[gtest]
fn a_response_whose_status_is_none_is_no_answer() {
    for status in ["000", "001", "099", "600", "700", "999", "2000"] {
        for rest in ["Content-Length: 2\r\n\r\nok", "\r\nok", "\r\n"] {
            let first = format!("HTTP/1.1 {status} Odd\r\n{rest}");
            let plans = || {
                [End::Close, End::Reset, End::Open]
                    .map(|end| Plan::new(first.as_bytes(), end, SECOND))
            };
            let started = std::time::Instant::now();
            for request in [unsafe_request(), keyed_request(), generation("teller", false)] {
                run_each(plans(), &request, |plan, outcome| check_once(&outcome, plan, false));
            }
            let safe = get("/v1/services/invoices/1");
            run_each(plans(), &safe, |plan, outcome| check_repeated(&outcome, plan, false));
            expect_that!(started.elapsed().as_millis(), lt(4_000), "{first:?}");
        }
    }
}
