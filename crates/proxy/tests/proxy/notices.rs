//! Notices (leaving, pause) in responses of endpoints are reported to the placement and obeyed.

use crate::support::{get, post, run};
use googletest::prelude::*;
use lycheehub_dispatch::{Notice, Outcome};
use std::cell::RefCell;
use std::rc::Rc;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";

fn paused(pause_ms: u64) -> Notice {
    Notice { pause_ms: Some(pause_ms), ..Notice::default() }
}

/// Returns the notices reported for a response to a repeatable request.
fn reported_notices(response: &'static str) -> Vec<(String, Notice)> {
    let notices = Rc::new(RefCell::new(Vec::new()));
    let recorder = notices.clone();
    run(|fixture| async move {
        fixture.add_responding_endpoint(response).await;
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.request(&get("/safe/")).await;
        recorder.replace(fixture.placement.notices.take());
    });
    notices.take()
}

#[gtest]
fn a_leaving_notice_is_read_from_any_response() {
    let expected = ("endpoint-0".to_owned(), Notice { leaving: true, ..Notice::default() });
    for response in [
        "HTTP/1.1 200 OK\r\nid: r1\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 500 Failed\r\nid: r1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n",
    ] {
        expect_that!(reported_notices(response), elements_are![eq(&expected)], "{response:?}");
    }
    expect_that!(reported_notices(OK_RESPONSE), is_empty());
}

#[gtest]
fn a_pause_is_read_from_retry_after_of_a_503() {
    let expected = ("endpoint-0".to_owned(), paused(2_500));
    let full = "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: 2.5\r\n\
                Content-Length: 0\r\n\r\n";
    expect_that!(reported_notices(full), elements_are![eq(&expected)]);
    let failed = "HTTP/1.1 503 Failed\r\nid: r1\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n";
    expect_that!(reported_notices(failed), elements_are![eq(&expected)]);
}

#[gtest]
fn an_invalid_pause_is_ignored() {
    for response in [
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: NaN\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: inf\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: r1\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nok",
    ] {
        expect_that!(reported_notices(response), is_empty(), "{response:?}");
    }
}

#[gtest]
fn retry_after_is_limited_to_30_seconds() {
    run(|fixture| async move {
        let full = "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: 7200\r\n\
                    Content-Length: 0\r\n\r\n";
        fixture.add_responding_endpoint(full).await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, contains_substring("Retry-After: 30"));
    });
}

#[gtest]
fn nothing_is_sent_to_an_endpoint_that_was_excluded_after_placement() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\nbad")
            .await;
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.placement.excluded.borrow_mut().push("endpoint-0".to_owned());
        expect_that!(fixture.request(&post("/unsafe/", "pay")).await, ends_with("ok"));
        // The first attempt is given back: it is certain that it has not run.
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
        expect_that!(*fixture.placement.outcomes.borrow(), eq(&[Outcome::Answered]));
    });
}

/// Returns the limits reported for a response, and how many responses were reported without one.
fn reported_limits(response: &'static str) -> (Vec<(String, Option<f64>)>, usize) {
    let reported = Rc::new(RefCell::new(Default::default()));
    let recorder = reported.clone();
    run(|fixture| async move {
        fixture.add_responding_endpoint(response).await;
        fixture.request(&post("/unsafe/", "pay")).await;
        let notices = fixture.placement.notices.take().into_iter();
        let mut limits: Vec<_> = notices
            .map(|(endpoint, notice)| (endpoint, notice.limit.map(|limit| limit.per_s)))
            .collect();
        // A request that was not run is sent to the only endpoint again.
        limits.dedup();
        recorder.replace((limits, fixture.placement.unlimited.borrow().len()));
    });
    reported.take()
}

#[gtest]
fn a_limit_is_reported_from_any_response_of_the_endpoint() {
    let stated = vec![("endpoint-0".to_owned(), Some(2.5))];
    for response in [
        "HTTP/1.1 200 OK\r\nid: r1\r\nlimit: 2.5\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 500 Failed\r\nid: r1\r\nlimit: 2.5\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nlimit: 2.5\r\nContent-Length: 0\r\n\r\n",
    ] {
        expect_that!(reported_limits(response), eq(&(stated.clone(), 0)), "{response:?}");
    }
}

#[gtest]
fn only_a_success_without_a_limit_is_reported_to_state_none() {
    expect_that!(reported_limits(OK_RESPONSE), eq(&(vec![], 1)));
    for response in [
        "HTTP/1.1 500 Failed\r\nid: r1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
        // Another endpoint listens at the address.
        "HTTP/1.1 421 Misdirected\r\nid: r1\r\nlimit: 9\r\nContent-Length: 0\r\n\r\n",
    ] {
        expect_that!(reported_limits(response), eq(&(vec![], 0)), "{response:?}");
    }
}
