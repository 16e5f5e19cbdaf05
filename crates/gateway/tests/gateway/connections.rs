//! Ends of connections: a request that has arrived gets a response before its connection closes.

use crate::support::{CONNECTIONS_MAX, read_all, run, run_with_header_timeout};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use smol::Timer;
use smol::net::TcpStream;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::Duration;

const BODY_TOO_SHORT: &str = "POST /v1/services/invoices/1 HTTP/1.1\r\nHost: salto.example\r\n\
                              Content-Length: 9\r\n\r\npay";

#[gtest]
fn a_head_that_does_not_arrive_in_time_is_refused_as_not_run() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(b"GET /healthz HTTP/1.1\r\nHost: salto").await.unwrap();
        expect_that!(read_all(caller).await, some(starts_with("HTTP/1.1 408 ")));
    });
}

#[gtest]
fn a_head_that_ends_too_soon_is_refused_as_not_run() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(b"GET /healthz HTTP/1.1\r\nHost: salto").await.unwrap();
        caller.shutdown(Shutdown::Write).unwrap();
        expect_that!(read_all(caller).await, some(starts_with("HTTP/1.1 408 ")));
    });
}

#[gtest]
fn a_head_that_does_not_decode_is_refused() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(b"GET\r\n\r\n").await.unwrap();
        expect_that!(read_all(caller).await, some(starts_with("HTTP/1.1 400 ")));
    });
}

#[gtest]
fn a_body_that_does_not_arrive_in_time_is_refused_as_not_run() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(BODY_TOO_SHORT.as_bytes()).await.unwrap();
        let mut response = [0; 13];
        futures_lite::AsyncReadExt::read_exact(&mut caller, &mut response).await.unwrap();
        expect_that!(&response[..], eq(b"HTTP/1.1 408 "));
    });
}

#[gtest]
fn a_body_that_ends_too_soon_is_refused_as_not_run() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(BODY_TOO_SHORT.as_bytes()).await.unwrap();
        caller.shutdown(Shutdown::Write).unwrap();
        expect_that!(read_all(caller).await, some(starts_with("HTTP/1.1 408 ")));
    });
}

#[gtest]
fn a_request_on_a_connection_beyond_the_maximum_is_refused_with_a_retry_delay() {
    run(|gateway, address| async move {
        let mut open = Vec::new();
        while gateway.connections.load(Ordering::Relaxed) < CONNECTIONS_MAX {
            open.push(TcpStream::connect(&address).await.unwrap());
            smol::future::yield_now().await;
        }
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let response = read_all(caller).await.unwrap_or_default();
        expect_that!(response, starts_with("HTTP/1.1 503 "));
        expect_that!(response, contains_substring("retry-after: "));
    });
}

#[gtest]
fn an_idle_connection_is_closed_without_a_response() {
    run(|_, address| async move {
        let caller = TcpStream::connect(&address).await.unwrap();
        expect_that!(read_all(caller).await, some(eq("")));
    });
}

// What had been received behind a request was dropped with its buffer.
#[gtest]
fn requests_that_are_sent_in_one_piece_are_all_answered() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        let get = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
        let post =
            "POST /v1/services/invoices/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\npay";
        let all = [get, post, get].concat();
        caller.write_all(all.as_bytes()).await.unwrap();
        let responses = read_all(caller).await.unwrap_or_default();
        expect_that!(responses.matches("HTTP/1.1 ").count(), eq(3));
    });
}

// Callers used a connection until it was closed, and a request that crossed the close had no response.
#[gtest]
fn each_response_states_an_idle_time_within_which_its_connection_is_not_closed() {
    run_with_header_timeout(1_000, |_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        // Longer than stated: the request of a caller that counts to the last moment is still under way.
        Timer::after(Duration::from_millis(1_500)).await;
        let last = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.write_all(last).await.unwrap();
        let responses = read_all(caller).await.unwrap_or_default();
        expect_that!(responses.matches("HTTP/1.1 200").count(), eq(2));
        expect_that!(responses.matches("keep-alive: timeout=1\r\n").count(), eq(1));
    });
}

// What had been received behind a body in chunks was dropped with the buffer of its decoder.
#[gtest]
fn a_request_behind_a_body_in_chunks_is_answered() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        let post = "POST /v1/services/invoices/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                    3\r\npay\r\na\r\n0123456789\r\n0\r\nsum: 1\r\n\r\n";
        let get = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
        caller.write_all([post, get].concat().as_bytes()).await.unwrap();
        let responses = read_all(caller).await.unwrap_or_default();
        expect_that!(responses.matches("HTTP/1.1 ").count(), eq(2));
        expect_that!(responses, contains_substring("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_body_in_chunks_whose_end_comes_in_parts_is_received() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.set_nodelay(true).unwrap();
        let head = "POST /v1/services/invoices/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        for part in [head, "3\r\npay\r\n0\r\n", "su", "m: 1\r\n\r", "\n"] {
            caller.write_all(part.as_bytes()).await.unwrap();
            Timer::after(Duration::from_millis(10)).await;
        }
        let response = read_all(caller).await.unwrap_or_default();
        // The fixture has no document.
        expect_that!(response, starts_with("HTTP/1.1 503 "));
    });
}

// The rest of a refused body was waited for without a limit.
#[gtest]
fn a_connection_whose_refused_body_does_not_come_is_closed() {
    run(|_, address| async move {
        let mut caller = TcpStream::connect(&address).await.unwrap();
        caller.write_all(BODY_TOO_SHORT.as_bytes()).await.unwrap();
        let response = lycheehub_clock::within(3_000, read_all(caller)).await;
        expect_that!(response, some(some(starts_with("HTTP/1.1 408 "))));
    });
}
