//! Ends of callers' connections: a request that has arrived gets a response before its connection
//! closes.

use crate::support::{document, get, post, read_all, read_request, run, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_proxy::Stop;
use lycheehub_routes::{ClientLimits, Document};
use smol::net::TcpStream;
use std::net::Shutdown;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
/// An idle limit in milliseconds that passes in a test; the grace of a second is added to it.
const SHORT_IDLE_MS: u64 = 100;

fn with_limits(limits: ClientLimits) -> Document {
    Document { limits, ..document() }
}

fn with_idle_limit(idle_timeout_ms: u64) -> Document {
    with_limits(ClientLimits { idle_timeout_ms, ..ClientLimits::default() })
}

// A connection that waited under the old limit was closed while its caller counted on the new one.
#[gtest]
fn a_request_after_a_raised_idle_limit_is_answered() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        let mut caller = fixture.connect().await;
        sleep_ms(200).await;
        fixture.set_document(with_idle_limit(10_000));
        sleep_ms(1_300).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

// The caller of a connection that was idle when the limit fell may not know of it yet.
#[gtest]
fn a_request_after_a_lowered_idle_limit_is_answered() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.set_document(with_idle_limit(3_000));
        let mut caller = fixture.connect().await;
        sleep_ms(200).await;
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        sleep_ms(1_500).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_request_after_an_idle_limit_that_was_raised_for_a_moment_is_answered() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        let mut caller = fixture.connect().await;
        sleep_ms(200).await;
        fixture.set_document(with_idle_limit(10_000));
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        sleep_ms(1_300).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn an_idle_connection_is_closed_at_its_limit() {
    run(|fixture| async move {
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        let mut caller = fixture.connect().await;
        expect_that!(read_all(&mut caller).await, eq(""));
    });
}

#[gtest]
fn a_head_that_does_not_arrive_in_time_is_refused_as_not_run() {
    run(|fixture| async move {
        let limits = ClientLimits { head_timeout_ms: 200, ..ClientLimits::default() };
        fixture.set_document(with_limits(limits));
        let response = fixture.request("GET /safe/ HTTP/1.1\r\nHost: salto").await;
        expect_that!(response, starts_with("HTTP/1.1 408 "));
        expect_that!(response, contains_substring("Connection: close\r\n"));
    });
}

#[gtest]
fn a_body_that_does_not_arrive_in_time_is_refused_as_not_run() {
    run(|fixture| async move {
        let request = post("/unsafe/", "pay").replace("Content-Length: 3", "Content-Length: 9");
        expect_that!(fixture.request(&request).await, starts_with("HTTP/1.1 408 "));
    });
}

#[gtest]
fn a_request_whose_caller_stops_sending_in_the_middle_is_refused_as_not_run() {
    run(|fixture| async move {
        for request in [
            "GET /safe/ HTTP/1.1\r\nHost: salto",
            "POST /unsafe/ HTTP/1.1\r\nHost: salto.example\r\nContent-Length: 9\r\n\r\npay",
        ] {
            let mut caller = fixture.connect().await;
            caller.write_all(request.as_bytes()).await.unwrap();
            caller.shutdown(Shutdown::Write).unwrap();
            expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 408 "));
        }
    });
}

// A caller that has only closed its sending side cannot be told from one that has left, so its request
// is cancelled; it learns whether the request may have run.
#[gtest]
fn a_caller_that_closes_its_sending_side_is_told_whether_its_request_may_have_run() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(3_000).await;
            })
            .await;
        let mut caller = fixture.connect().await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        caller.shutdown(Shutdown::Write).unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 502 "));
        fixture.placement.never_decides.set(true);
        let mut caller = fixture.connect().await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        caller.shutdown(Shutdown::Write).unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 503 "));
    });
}

#[gtest]
fn a_request_on_a_connection_beyond_the_maximum_is_refused_with_a_retry_delay() {
    run(|fixture| async move {
        let mut open = Vec::new();
        while fixture.entry.connections.get() < fixture.entry.options.connections_max {
            open.push(fixture.connect().await);
            smol::future::yield_now().await;
        }
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 503 "));
        expect_that!(response, contains_substring("Retry-After: "));
    });
}

/// Sends bytes until the peer no longer takes them; returns the bytes received until the end of the
/// connection, or `None` if it was reset.
async fn send_and_read(mut caller: TcpStream, head: &str, body_bytes: usize) -> Option<String> {
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut writer = caller.clone();
    let write = async move {
        // The peer may stop reading; what counts is what it responds.
        let _ = writer.write_all(&vec![b'x'; body_bytes]).await;
        smol::future::pending().await
    };
    let read = async {
        let mut received = Vec::new();
        sleep_ms(300).await;
        caller.read_to_end(&mut received).await.ok()?;
        Some(String::from_utf8_lossy(&received).into_owned())
    };
    smol::future::or(read, write).await
}

// Closing a connection with unread bytes resets it, and the caller may lose the response.
#[gtest]
fn a_refusal_is_received_although_the_caller_still_sends_its_body() {
    run(|fixture| async move {
        let limits = ClientLimits { body_max_bytes: 1_000, ..ClientLimits::default() };
        fixture.set_document(with_limits(limits));
        let head =
            "POST /unsafe/ HTTP/1.1\r\nHost: salto.example\r\nContent-Length: 300000\r\n\r\n";
        let response = send_and_read(fixture.connect().await, head, 300_000).await;
        expect_that!(response, some(starts_with("HTTP/1.1 413 ")));
    });
}

#[gtest]
fn a_last_response_is_received_although_the_caller_has_sent_more() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        let response = send_and_read(fixture.connect().await, &get("/safe/"), 100_000).await;
        expect_that!(response, some(starts_with("HTTP/1.1 200 ")));
    });
}

#[gtest]
fn a_request_that_has_arrived_when_idle_connections_are_closed_is_answered() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        let mut caller = fixture.connect().await;
        sleep_ms(50).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        // The instance's task has not run since the bytes arrived.
        fixture.close_idle();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_first_half_of_a_head_that_has_arrived_when_idle_connections_are_closed_is_completed() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        let mut caller = fixture.connect().await;
        let request = get("/safe/");
        let (first, second) = request.split_at(20);
        caller.write_all(first.as_bytes()).await.unwrap();
        sleep_ms(50).await;
        fixture.close_idle();
        sleep_ms(50).await;
        caller.write_all(second.as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

// The load balancer uses a stopping instance if it has no better one; connections that were opened after
// the idle ones had been closed ended without a byte.
#[gtest]
fn a_request_on_a_new_connection_to_a_stopping_instance_is_refused_as_not_run() {
    run(|fixture| async move {
        let now_ms = fixture.entry.clock.now_ms();
        fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 1_000 });
        fixture.close_idle();
        let mut caller = fixture.connect().await;
        sleep_ms(100).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        let response = read_all(&mut caller).await;
        expect_that!(response, starts_with("HTTP/1.1 503 "));
        expect_that!(response, contains_substring("Retry-After: "));
    });
}

/// Reads one response; returns its head.
async fn read_response(caller: &mut TcpStream) -> String {
    read_request(caller).await.expect("a response")
}

fn keep_open(request: &str) -> String {
    request.replace("Connection: close\r\n", "")
}

// No response stated how long its connection may be idle: callers used it until it was closed, and a request
// that crossed the close had no response.
#[gtest]
fn each_response_states_an_idle_time_within_which_its_connection_is_not_closed() {
    run(|fixture| async move {
        fixture.add_responding_endpoint(OK_RESPONSE).await;
        fixture.set_document(with_idle_limit(1_000));
        let mut caller = fixture.connect().await;
        for path in ["/safe/", "/none/", "/safe/"] {
            caller.write_all(keep_open(&get(path)).as_bytes()).await.unwrap();
            let response = read_response(&mut caller).await;
            expect_that!(response, contains_substring("Keep-Alive: timeout=1\r\n"));
            // Longer than stated: the request of a caller that counts to the last moment is still under way.
            sleep_ms(1_500).await;
        }
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        let last = read_all(&mut caller).await;
        expect_that!(last, starts_with("HTTP/1.1 200 "));
        expect_that!(last, not(contains_substring("Keep-Alive")));
    });
}

// The document that lowers the limit arrives between the request and its response.
#[gtest]
fn a_connection_stays_open_for_the_idle_time_that_its_last_response_stated() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                while read_request(&mut stream).await.is_some() {
                    sleep_ms(200).await;
                    stream.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
                }
            })
            .await;
        fixture.set_document(with_idle_limit(2_000));
        let mut caller = fixture.connect().await;
        caller.write_all(keep_open(&get("/safe/")).as_bytes()).await.unwrap();
        sleep_ms(100).await;
        fixture.set_document(with_idle_limit(SHORT_IDLE_MS));
        // Another connection sees the new limit.
        expect_that!(fixture.request(&get("/none/")).await, starts_with("HTTP/1.1 404 "));
        expect_that!(read_response(&mut caller).await, contains_substring("timeout=2\r\n"));
        sleep_ms(1_900).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}

// Connections were counted by their tasks, so that a burst was accepted before any of it was counted.
#[gtest]
fn a_burst_of_connections_does_not_exceed_the_maximum() {
    run(|fixture| async move {
        let maximum = fixture.entry.options.connections_max;
        let mut open = Vec::new();
        while fixture.entry.connections.get() < maximum - 10 {
            open.push(fixture.connect().await);
            smol::future::yield_now().await;
        }
        // The instance's task does not run meanwhile.
        let connect = |_| std::net::TcpStream::connect(&fixture.address).unwrap();
        let burst = (0..100).map(connect).collect::<Vec<_>>();
        sleep_ms(100).await;
        // 64 beyond the maximum are accepted to refuse a request each.
        expect_that!(fixture.entry.connections.get(), le(maximum + 64));
        drop(burst);
    });
}

#[gtest]
fn a_head_on_a_connection_beyond_the_maximum_that_is_malformed_or_not_whole_gets_a_response() {
    run(|fixture| async move {
        let mut open = Vec::new();
        while fixture.entry.connections.get() < fixture.entry.options.connections_max {
            open.push(fixture.connect().await);
            smol::future::yield_now().await;
        }
        expect_that!(fixture.request("GET\r\n\r\n").await, starts_with("HTTP/1.1 400 "));
        let half = "GET /safe/ HTTP/1.1\r\nHost: salto";
        expect_that!(fixture.request(half).await, starts_with("HTTP/1.1 408 "));
        // Nothing was asked on this one, as far as the instance knows: a request may cross its close.
        let silent = fixture.request("").await;
        expect_that!(silent, starts_with("HTTP/1.1 408 "));
        expect_that!(silent, contains_substring("Connection: close\r\n"));
        expect_that!(silent.matches("HTTP/1.1").count(), eq(1));
    });
}

// A connection that a stopping instance refuses was closed without a byte if its request came late.
#[gtest]
fn a_late_request_on_a_new_connection_to_a_stopping_instance_is_told_that_it_has_not_run() {
    run(|fixture| async move {
        let now_ms = fixture.entry.clock.now_ms();
        fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 4_000 });
        fixture.entry.refuse_new_connections();
        let mut caller = fixture.connect().await;
        sleep_ms(1_200).await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 408 "));
        expect_that!(fixture.placement.returning.borrow().len(), eq(0));
    });
}
