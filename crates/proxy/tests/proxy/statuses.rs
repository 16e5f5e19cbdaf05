//! Responses of endpoints whose status code is none.

use crate::support::{get, post, read_request, run, sleep_ms};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use std::time::Instant;

const STATUSES: [&str; 7] = ["000", "001", "099", "600", "700", "999", "2000"];
/// Well below the time limit of the requests, in milliseconds.
const SOON_MS: u128 = 1_000;

/// Guards against a response with a status that is none: it is passed on as an answer, or its caller waits for
/// another one until the time limit.
#[gtest]
fn a_response_whose_status_is_none_is_no_answer() {
    for status in STATUSES {
        for body in ["\r\nContent-Length: 2\r\n\r\nok", "\r\n\r\nok", "\r\n\r\n"] {
            for stays_open in [false, true] {
                run(|fixture| async move {
                    fixture
                        .add_endpoint(move |mut stream, _| async move {
                            read_request(&mut stream).await;
                            let response = format!("HTTP/1.1 {status} Odd\r\nid: r1{body}");
                            stream.write_all(response.as_bytes()).await.unwrap();
                            if stays_open {
                                sleep_ms(60_000).await;
                            }
                        })
                        .await;
                    let started = Instant::now();
                    let response = fixture.request(&post("/unsafe/", "pay")).await;
                    let what = format!("{status} {body:?} {stays_open}");
                    expect_that!(response, starts_with("HTTP/1.1 502 "), "{what}");
                    expect_that!(started.elapsed().as_millis(), lt(SOON_MS), "{what}");
                    let outcomes = fixture.placement.outcomes.borrow();
                    expect_that!(*outcomes, elements_are![eq(&Outcome::Broken)], "{what}");
                });
            }
        }
    }
}

/// Guards against a request that may be repeated and gets a response with a status that is none instead.
#[gtest]
fn a_request_whose_response_has_no_status_is_repeated() {
    for status in STATUSES {
        run(|fixture| async move {
            fixture
                .add_endpoint(move |mut stream, _| async move {
                    read_request(&mut stream).await;
                    let response =
                        format!("HTTP/1.1 {status} Odd\r\nid: r1\r\nContent-Length: 0\r\n\r\n");
                    stream.write_all(response.as_bytes()).await.unwrap();
                    sleep_ms(60_000).await;
                })
                .await;
            let sound = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
            fixture.add_responding_endpoint(sound).await;
            let response = fixture.request(&get("/safe/")).await;
            expect_that!(response, ends_with("\r\n\r\nok"), "{status}");
        });
    }
}
