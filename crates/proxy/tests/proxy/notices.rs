//! What endpoints say of themselves in their answers is passed on, and heeded.

use crate::support::{get, post, run};
use googletest::prelude::*;
use lycheehub_dispatch::{Notice, Outcome};
use std::cell::RefCell;
use std::rc::Rc;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";

fn paused(pause_ms: u64) -> Notice {
    Notice { leaving: false, pause_ms: Some(pause_ms) }
}

/// Returns what is passed on of an answer to a request that may be repeated.
fn notices_of(answer: &'static str) -> Vec<(String, Notice)> {
    let notices = Rc::new(RefCell::new(Vec::new()));
    let note = notices.clone();
    run(|world| async move {
        world.answering(answer).await;
        world.answering(WHOLE).await;
        world.ask(&get("/safe/")).await;
        note.replace(world.placement.notices.take());
    });
    notices.take()
}

#[gtest]
fn an_endpoint_that_leaves_says_so_in_any_answer() {
    let expected = ("endpoint-0".to_owned(), Notice { leaving: true, pause_ms: None });
    for answer in [
        "HTTP/1.1 200 OK\r\nid: r1\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 500 Failed\r\nid: r1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n",
    ] {
        expect_that!(notices_of(answer), elements_are![eq(&expected)], "{answer:?}");
    }
    expect_that!(notices_of(WHOLE), is_empty());
}

#[gtest]
fn an_endpoint_says_for_how_long_it_wants_nothing() {
    let expected = ("endpoint-0".to_owned(), paused(2_500));
    let full = "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: 2.5\r\n\
                Content-Length: 0\r\n\r\n";
    expect_that!(notices_of(full), elements_are![eq(&expected)]);
    let failed = "HTTP/1.1 503 Failed\r\nid: r1\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n";
    expect_that!(notices_of(failed), elements_are![eq(&expected)]);
}

#[gtest]
fn a_pause_that_makes_no_sense_says_nothing() {
    for answer in [
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: NaN\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: inf\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: r1\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nok",
    ] {
        expect_that!(notices_of(answer), is_empty(), "{answer:?}");
    }
}

#[gtest]
fn a_caller_is_not_told_to_come_back_hours_later() {
    run(|world| async move {
        let full = "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: 7200\r\n\
                    Content-Length: 0\r\n\r\n";
        world.answering(full).await;
        let answer = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(answer, contains_substring("Retry-After: 30"));
    });
}

#[gtest]
fn nothing_is_sent_to_an_endpoint_that_has_said_meanwhile_that_it_wants_nothing() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\nbad").await;
        world.answering(WHOLE).await;
        world.placement.barred.borrow_mut().push("endpoint-0".to_owned());
        expect_that!(world.ask(&post("/unsafe/", "pay")).await, ends_with("ok"));
        let expected = [Outcome::Abandoned, Outcome::Answered];
        expect_that!(*world.placement.outcomes.borrow(), eq(&expected));
    });
}
