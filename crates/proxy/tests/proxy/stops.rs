//! Requests in progress at an instance that shuts down.

use crate::support::{Fixture, document, get, post, read_all, read_request, run, sleep_ms};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_proxy::Stop;
use lycheehub_routes::Document;
use smol::net::TcpStream;

/// Begins a stop that refuses requests from now on if they may run for over a second.
fn begin_stop(fixture: &Fixture) {
    let now_ms = fixture.entry.clock.now_ms();
    fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 1_000 });
}

/// Sends a request and waits until the instance has it.
async fn send(fixture: &Fixture, request: &str) -> TcpStream {
    let mut caller = fixture.connect().await;
    caller.write_all(request.as_bytes()).await.unwrap();
    sleep_ms(100).await;
    caller
}

/// Adds an endpoint that never responds.
async fn add_silent_endpoint(fixture: &Fixture) {
    fixture
        .add_endpoint(|mut stream, _| async move {
            read_request(&mut stream).await;
            smol::future::pending::<()>().await;
        })
        .await;
}

fn expect_refused_as_not_run(response: &str) {
    expect_that!(response, starts_with("HTTP/1.1 503 "));
    expect_that!(response, contains_substring("Retry-After: "));
    expect_that!(response, contains_substring("Connection: close\r\n"));
}

// Requests in progress were cut without a response when the instance exited.
#[gtest]
fn a_request_that_runs_when_its_instance_exits_is_told_that_it_may_have_run() {
    run(|fixture| async move {
        add_silent_endpoint(&fixture).await;
        let mut caller = send(&fixture, &post("/unsafe/", "pay")).await;
        begin_stop(&fixture);
        fixture.entry.end_exchanges();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_request_that_waits_when_its_instance_exits_is_refused_as_not_run() {
    run(|fixture| async move {
        fixture.placement.never_decides.set(true);
        let mut caller = send(&fixture, &post("/unsafe/", "pay")).await;
        begin_stop(&fixture);
        fixture.entry.end_exchanges();
        expect_refused_as_not_run(&read_all(&mut caller).await);
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
    });
}

#[gtest]
fn a_request_that_is_not_whole_when_its_instance_exits_is_refused_as_not_run() {
    run(|fixture| async move {
        for request in ["POST /unsafe/ HTTP/1.1\r\nHost: salto", &post("/unsafe/", "pay")[..80]] {
            let mut caller = send(&fixture, request).await;
            begin_stop(&fixture);
            fixture.entry.end_exchanges();
            expect_refused_as_not_run(&read_all(&mut caller).await);
        }
    });
}

// A request that had waited for an endpoint was sent to it late in a stop, and was cut with the exit.
#[gtest]
fn a_waiting_request_that_may_outlast_the_stop_is_refused_before_it_is_sent() {
    run(|fixture| async move {
        fixture.placement.never_decides.set(true);
        let mut long = send(&fixture, &get("/safe/")).await;
        let short = get("/safe/").replace("id: r1", "deadline: 800\r\nid: r1");
        let mut short = send(&fixture, &short).await;
        begin_stop(&fixture);
        fixture.entry.refuse_new_connections();
        expect_refused_as_not_run(&read_all(&mut long).await);
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
        // This one ends before the exit, and waits on.
        expect_that!(read_all(&mut short).await, starts_with("HTTP/1.1 429 "));
    });
}

// A request that crossed the close of an idle connection had no response.
#[gtest]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_told_that_it_has_not_run() {
    run(|fixture| async move {
        add_silent_endpoint(&fixture).await;
        let mut caller = fixture.connect().await;
        sleep_ms(50).await;
        begin_stop(&fixture);
        fixture.close_idle();
        sleep_ms(50).await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        let response = read_all(&mut caller).await;
        expect_that!(response, starts_with("HTTP/1.1 408 "));
        expect_that!(response, contains_substring("Connection: close\r\n"));
        expect_that!(fixture.placement.returning.borrow().len(), eq(0));
    });
}

fn with_timeouts(timeout_ms: u64) -> Document {
    let mut document = document();
    document.routes.iter_mut().for_each(|route| route.timeout_ms = timeout_ms);
    document
}

#[gtest]
fn a_document_with_longer_timeouts_in_a_stop_lets_no_request_outlast_it() {
    run(|fixture| async move {
        let ok = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
        fixture.add_responding_endpoint(ok).await;
        fixture.set_document(with_timeouts(500));
        begin_stop(&fixture);
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
        fixture.set_document(with_timeouts(5_000));
        expect_refused_as_not_run(&fixture.request(&get("/safe/")).await);
    });
}

#[gtest]
fn a_request_of_a_stopping_instance_is_answered_although_a_document_drops_its_route() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(300).await;
                let ok = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(ok.as_bytes()).await.unwrap();
            })
            .await;
        fixture.set_document(with_timeouts(800));
        let mut caller = send(&fixture, &post("/unsafe/", "pay")).await;
        begin_stop(&fixture);
        fixture.entry.refuse_new_connections();
        fixture.set_document(Document::default());
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}
