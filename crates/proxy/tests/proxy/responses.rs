//! Responses of endpoints: truncation is passed on, and responses are matched to their requests.

use crate::support::{get, post, read_request, reset, run, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::time::Duration;

#[gtest]
fn a_truncated_response_is_not_relayed() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                let truncated = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 100\r\n\r\nhalf";
                stream.write_all(truncated.as_bytes()).await.unwrap();
            })
            .await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_response_without_length_is_complete_only_after_an_orderly_close() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, count| async move {
                read_request(&mut stream).await;
                stream.write_all(b"HTTP/1.1 200 OK\r\nid: r1\r\n\r\nbody").await.unwrap();
                sleep_ms(20).await;
                if count == 1 {
                    reset(stream);
                }
            })
            .await;
        let truncated = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(truncated, starts_with("HTTP/1.1 502 "));
        let whole = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(whole, ends_with("\r\n\r\nbody"));
        expect_that!(whole, contains_substring("Content-Length: 4\r\n"));
    });
}

#[gtest]
fn bytes_after_a_response_are_discarded() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint(
                "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok\
                 HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 5\r\n\r\nwrong",
            )
            .await;
        for _ in 0..3 {
            let response = fixture.request(&get("/safe/")).await;
            expect_that!(response, ends_with("\r\n\r\nok"));
        }
    });
}

#[gtest]
fn a_late_response_to_an_earlier_request_is_discarded() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                let first = read_request(&mut stream).await.unwrap();
                let response = |id: &str, body: &str| {
                    let length = body.len();
                    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
                };
                assert!(first.contains("id: r1"));
                stream.write_all(response("r1", "first").as_bytes()).await.unwrap();
                if read_request(&mut stream).await.is_some() {
                    let late = response("r1", "again") + &response("r2", "second");
                    stream.write_all(late.as_bytes()).await.unwrap();
                }
            })
            .await;
        expect_that!(fixture.request(&get("/safe/")).await, ends_with("first"));
        let second = get("/safe/").replace("id: r1", "id: r2");
        expect_that!(fixture.request(&second).await, ends_with("second"));
    });
}

#[gtest]
fn bytes_that_are_no_response_are_not_relayed() {
    run(|fixture| async move {
        fixture.add_responding_endpoint("rubbish\r\n\r\n").await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_connection_is_not_reused_after_a_response_before_the_request_was_sent() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, count| async move {
                stream.read_exact(&mut [0; 1]).await.unwrap();
                let early =
                    format!("HTTP/1.1 413 Long\r\nid: r1\r\nContent-Length: 1\r\n\r\n{count}");
                stream.write_all(early.as_bytes()).await.unwrap();
                sleep_ms(100).await;
                while read_request(&mut stream).await.is_some() {}
            })
            .await;
        // More than the system takes for an endpoint that does not read.
        let long = "x".repeat(12 * 1024 * 1024);
        expect_that!(fixture.request(&post("/safe/", &long)).await, ends_with("1"));
        expect_that!(fixture.request(&post("/safe/", "short")).await, ends_with("2"));
    });
}

/// A response that is too long to be buffered.
const LONG_BYTES: usize = 16 * 1024 * 1024;

/// Reads a part of a long response, of which the endpoint sends `sent_bytes` at once, and leaves; returns how
/// the request ended and what was reported of the endpoint.
fn leave_a_long_response(sent_bytes: usize) -> (String, Vec<Outcome>) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let outcomes = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let reported = outcomes.clone();
    metrics::with_local_recorder(&recorder, || {
        run(|fixture| async move {
            fixture
                .add_endpoint(move |mut stream, _| async move {
                    read_request(&mut stream).await;
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: {LONG_BYTES}\r\n\r\n"
                    );
                    stream.write_all(head.as_bytes()).await.unwrap();
                    // The instance closes the connection before it has taken all.
                    let _ = stream.write_all(&vec![b'x'; sent_bytes]).await;
                    let _ = stream.read(&mut [0; 1]).await;
                })
                .await;
            let mut caller = fixture.connect().await;
            caller.write_all(get("/safe/").as_bytes()).await.unwrap();
            caller.read_exact(&mut vec![0; 64 * 1024]).await.unwrap();
            drop(caller);
            while fixture.placement.outcomes.borrow().is_empty() {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            sleep_ms(20).await;
            reported.borrow_mut().clone_from(&fixture.placement.outcomes.borrow());
        });
    });
    let ends = recorder.handle().render();
    let ends =
        ends.lines().find(|line| line.starts_with("lycheehub_requests_total")).unwrap_or_default();
    (ends.to_owned(), outcomes.take())
}

#[gtest]
fn a_long_response_whose_caller_leaves_while_it_is_written_is_not_reported_as_broken() {
    let (end, outcomes) = leave_a_long_response(LONG_BYTES);
    expect_that!(end, contains_substring("end=\"caller left\""));
    expect_that!(outcomes, elements_are![eq(&Outcome::Abandoned)]);
}

#[gtest]
fn a_long_response_whose_caller_leaves_while_it_is_waited_for_is_not_reported_as_answered() {
    let (end, outcomes) = leave_a_long_response(LONG_BYTES / 16);
    expect_that!(end, contains_substring("end=\"caller left\""));
    expect_that!(outcomes, elements_are![eq(&Outcome::Abandoned)]);
}
