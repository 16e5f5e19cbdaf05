//! Endless input from endpoints and callers: it is bounded in time and memory, and does not starve
//! other requests.

use crate::support::{Fixture, get, read_request, run, sleep_ms, stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use smol::net::TcpStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of the routes plus a margin for a busy machine, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 2_000 + 1_500;
/// Time limit for another request during a flood, in milliseconds.
const OTHER_REQUEST_MS: u64 = 1_500;
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";

/// The rate at which bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    /// As fast as the receiver reads them.
    Flood,
    /// One unit every 100 ms.
    Drip,
}

/// Endless input: a fixed start, and then a unit repeated without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    start: &'static str,
    unit: &'static str,
}

const fn endless(start: &'static str, unit: &'static str) -> Endless {
    Endless { start, unit }
}

const STATUS_LINE: Endless = endless("HTTP/1.1 200 ", "O");
const FIELD: Endless = endless("HTTP/1.1 200 OK\r\nid: r1\r\nx: ", "y");
const FIELDS: Endless = endless("HTTP/1.1 200 OK\r\nid: r1\r\n", "x: y\r\n");
const NOT_HTTP: Endless = endless("", "\u{1}");
const INTERIM: Endless = endless("", "HTTP/1.1 100 Continue\r\n\r\n");
const CHUNK_LINE: Endless =
    endless("HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "y");
const CHUNK_LENGTH: Endless =
    endless("HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
const TRAILER: Endless = endless(
    "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "x: y\r\n",
);
const STRAY_BODY: Endless = endless("HTTP/1.1 200 OK\r\nid: r0\r\n\r\n", "z");
const NOT_RUN_BODY: Endless = endless("HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\n\r\n", "z");

/// Input that never becomes a valid response.
const INVALID_RESPONSES: [Endless; 9] =
    [STATUS_LINE, FIELD, FIELDS, NOT_HTTP, INTERIM, CHUNK_LINE, CHUNK_LENGTH, TRAILER, STRAY_BODY];

/// Sends endless input until the peer closes the connection.
async fn send_until_closed(stream: &mut TcpStream, bytes: Endless, pace: Pace) {
    let repeats = if pace == Pace::Flood { 4_096 / bytes.unit.len() } else { 1 };
    let part = bytes.unit.repeat(repeats);
    let mut sent = stream.write_all(bytes.start.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(part.as_bytes()).await;
        if pace == Pace::Drip {
            sleep_ms(100).await;
        }
    }
}

/// Adds an endpoint that sends endless input; returns the count of its closed connections.
async fn add_endless_endpoint(fixture: &Fixture, bytes: Endless, pace: Pace) -> Rc<Cell<u32>> {
    let closed = Rc::new(Cell::new(0));
    let recorder = closed.clone();
    let script = move |mut stream: TcpStream, _| {
        let recorder = recorder.clone();
        async move {
            read_request(&mut stream).await;
            send_until_closed(&mut stream, bytes, pace).await;
            recorder.set(recorder.get() + 1);
        }
    };
    fixture.add_endpoint(script).await;
    closed
}

/// Requests `path` and returns the response; panics unless it ends by the route's timeout.
async fn request(fixture: &Fixture, path: &str) -> String {
    let request = get(path);
    let response = lycheehub_clock::within(ROUTE_TIMEOUT_MS, fixture.request(&request)).await;
    response.expect("the request does not end")
}

async fn wait_until_closed(closed: &Cell<u32>) {
    for _ in 0..50 {
        if closed.get() > 0 {
            return;
        }
        sleep_ms(20).await;
    }
    panic!("the connection stays open");
}

#[gtest]
fn a_safe_request_is_moved_after_an_endless_invalid_response() {
    for bytes in INVALID_RESPONSES {
        for pace in [Pace::Flood, Pace::Drip] {
            run(|fixture| async move {
                let closed = add_endless_endpoint(&fixture, bytes, pace).await;
                fixture.add_responding_endpoint(OK_RESPONSE).await;
                expect_that!(
                    request(&fixture, "/safe/").await,
                    ends_with("ok"),
                    "{bytes:?} {pace:?}"
                );
                wait_until_closed(&closed).await;
                let outcomes = fixture.placement.outcomes.borrow();
                let expected = [Outcome::Broken, Outcome::Answered];
                expect_that!(*outcomes, eq(&expected), "{bytes:?} {pace:?}");
            });
        }
    }
}

// The endpoint may have run the request, so the response must not state the contrary.
#[gtest]
fn an_unsafe_request_gets_502_or_504_after_an_endless_invalid_response() {
    for bytes in INVALID_RESPONSES {
        for pace in [Pace::Flood, Pace::Drip] {
            run(|fixture| async move {
                let closed = add_endless_endpoint(&fixture, bytes, pace).await;
                let response = request(&fixture, "/unsafe/").await;
                let is_unknown =
                    response.starts_with("HTTP/1.1 502 ") || response.starts_with("HTTP/1.1 504 ");
                expect_that!(is_unknown, eq(true), "{bytes:?} {pace:?}: {response}");
                wait_until_closed(&closed).await;
            });
        }
    }
}

#[gtest]
fn other_requests_are_served_during_a_flood_from_an_endpoint() {
    for bytes in [STRAY_BODY, INTERIM, TRAILER, FIELDS] {
        run(|fixture| async move {
            add_endless_endpoint(&fixture, bytes, Pace::Flood).await;
            fixture.add_responding_endpoint(OK_RESPONSE).await;
            let mut flooded = fixture.connect().await;
            flooded.write_all(get("/unsafe/").as_bytes()).await.unwrap();
            sleep_ms(20).await;
            let started = Instant::now();
            expect_that!(fixture.request(&get("/unsafe/")).await, ends_with("ok"), "{bytes:?}");
            let elapsed = started.elapsed();
            expect_that!(elapsed, lt(Duration::from_millis(OTHER_REQUEST_MS)), "{bytes:?}");
        });
    }
}

#[gtest]
fn bytes_beyond_content_length_are_dropped_and_the_connection_closed() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|fixture| async move {
            let longer = endless("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok", "x");
            let closed = add_endless_endpoint(&fixture, longer, pace).await;
            for _ in 0..2 {
                expect_that!(
                    request(&fixture, "/unsafe/").await,
                    ends_with("\r\n\r\nok"),
                    "{pace:?}"
                );
                sleep_ms(150).await;
            }
            wait_until_closed(&closed).await;
        });
    }
}

#[gtest]
fn an_endless_body_is_truncated_at_its_routes_timeout() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|fixture| async move {
            let closed = add_endless_endpoint(
                &fixture,
                endless("HTTP/1.1 200 OK\r\nid: r1\r\n\r\n", "x"),
                pace,
            )
            .await;
            let mut caller = fixture.connect().await;
            caller.write_all(get("/unsafe/").as_bytes()).await.unwrap();
            let mut last = Vec::new();
            let mut piece = vec![0; 65_536];
            let read = async {
                while let Ok(count @ 1..) = caller.read(&mut piece).await {
                    last.extend_from_slice(&piece[..count]);
                    last.drain(..last.len().saturating_sub(64));
                }
            };
            lycheehub_clock::within(ROUTE_TIMEOUT_MS, read).await.expect("the body does not end");
            let last = String::from_utf8_lossy(&last).into_owned();
            expect_that!(last, not(ends_with("0\r\n\r\n")), "{pace:?}");
            wait_until_closed(&closed).await;
        });
    }
}

#[gtest]
fn a_request_is_moved_after_a_refusal_with_an_endless_body() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|fixture| async move {
            let closed = add_endless_endpoint(&fixture, NOT_RUN_BODY, pace).await;
            fixture.add_responding_endpoint(OK_RESPONSE).await;
            expect_that!(request(&fixture, "/unsafe/").await, ends_with("ok"), "{pace:?}");
            wait_until_closed(&closed).await;
        });
    }
}

#[gtest]
fn an_endless_event_breaks_the_stream() {
    run(|fixture| async move {
        let start = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ";
        let closed = add_endless_endpoint(&fixture, endless(start, "b"), Pace::Flood).await;
        let rest = "HTTP/1.1 200 OK\r\nid: r1\r\nConnection: close\r\n\r\nid: 2\ndata: b\n\n";
        let script = move |mut stream: TcpStream, _| async move {
            read_request(&mut stream).await;
            stream.write_all(rest.as_bytes()).await.unwrap();
        };
        fixture.add_endpoint(script).await;
        let response =
            lycheehub_clock::within(ROUTE_TIMEOUT_MS, fixture.request(&stream("/resume/"))).await;
        let response = response.expect("the stream does not end");
        expect_that!(response, ends_with("id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
        wait_until_closed(&closed).await;
    });
}

/// Sends an endless request; returns how long the connection stayed open.
async fn send_endless_request(fixture: &Fixture, bytes: Endless, pace: Pace) -> Duration {
    let started = Instant::now();
    let mut caller = fixture.connect().await;
    send_until_closed(&mut caller, bytes, pace).await;
    started.elapsed()
}

#[gtest]
fn an_endless_request_is_aborted() {
    let chunked =
        "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    let trailer: &'static str = String::leak(format!("{chunked}0\r\n"));
    let line: &'static str = String::leak(format!("{chunked}1;x="));
    let requests = [
        endless("", "\r\n"),
        endless("GET /", "x"),
        endless("GET / HTTP/1.1\r\nx: ", "y"),
        endless("GET / HTTP/1.1\r\n", "x: y\r\n"),
        endless(line, "y"),
        endless(trailer, "x: y\r\n"),
    ];
    for bytes in requests {
        run(|fixture| async move {
            // The time limit for a head is 3 s by default; a flood reaches the size limit sooner.
            let elapsed = send_endless_request(&fixture, bytes, Pace::Flood).await;
            expect_that!(elapsed, lt(Duration::from_millis(2_500)), "{bytes:?}");
        });
    }
    for bytes in &requests[..4] {
        run(|fixture| async move {
            let elapsed = send_endless_request(&fixture, *bytes, Pace::Drip).await;
            expect_that!(elapsed, lt(Duration::from_millis(6_000)), "{bytes:?}");
        });
    }
}

#[gtest]
fn other_requests_are_served_during_a_flood_from_a_caller() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        let address = fixture.address.clone();
        let flood = async move {
            let mut caller = TcpStream::connect(&address).await.unwrap();
            let part = "\r\n".repeat(2_048);
            while caller.write_all(part.as_bytes()).await.is_ok() {}
        };
        fixture.executor.spawn(flood).detach();
        sleep_ms(20).await;
        let started = Instant::now();
        expect_that!(fixture.request(&get("/unsafe/")).await, ends_with("ok"));
        expect_that!(started.elapsed(), lt(Duration::from_millis(OTHER_REQUEST_MS)));
    });
}
