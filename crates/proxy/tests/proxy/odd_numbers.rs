//! Numbers in header fields that no sound endpoint or caller sends.

use crate::support::{get, read_all, run};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;

pub const ODD_NUMBERS: [&str; 12] = [
    "18446744073709551615",
    "18446744073709551614",
    "18446744073709551616",
    "9223372036854775807",
    "18446744073709552",
    "99999999999999999999999999",
    "1e400",
    "1e308",
    "NaN",
    "-1",
    "-0",
    "0",
];

#[gtest]
fn an_odd_idle_timeout_of_an_endpoint_loses_no_request() {
    for number in ODD_NUMBERS {
        let response = format!(
            "HTTP/1.1 200 OK\r\nid: r1\r\nKeep-Alive: timeout={number}\r\nContent-Length: 0\r\n\r\n"
        );
        let response: &'static str = response.leak();
        run(|fixture| async move {
            fixture.add_responding_endpoint(response).await;
            let mut caller = fixture.connect().await;
            let kept = get("/safe/").replace("Connection: close\r\n", "");
            caller.write_all(format!("{kept}{kept}{}", get("/safe/")).as_bytes()).await.unwrap();
            let responses = read_all(&mut caller).await;
            expect_that!(responses.matches("HTTP/1.1 200 ").count(), eq(3), "{number}");
        });
    }
}

#[gtest]
fn an_odd_pause_of_an_endpoint_loses_no_request() {
    for number in ODD_NUMBERS {
        let full = format!(
            "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nRetry-After: {number}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let full: &'static str = full.leak();
        run(|fixture| async move {
            fixture.add_responding_endpoint(full).await;
            fixture
                .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
                .await;
            let response = fixture.request(&get("/safe/")).await;
            expect_that!(response, starts_with("HTTP/1.1 200 "), "{number}");
        });
        run(|fixture| async move {
            fixture.add_responding_endpoint(full).await;
            let response = fixture.request(&get("/safe/")).await;
            expect_that!(response, starts_with("HTTP/1.1 429 "), "{number}");
            let waits = response.lines().find_map(|line| line.strip_prefix("Retry-After: "));
            let wait_s: Option<f64> = waits.and_then(|wait_s| wait_s.parse().ok());
            expect_that!(wait_s, some(all![ge(0.0), le(60.0)]), "{number}");
        });
    }
}

#[gtest]
fn an_odd_length_is_refused_and_the_next_caller_served() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
            .await;
        for length in ["18446744073709551615", "18446744073709551616", "-1", "+1", "1e3", "1.5", ""]
        {
            let request =
                get("/safe/").replace("id: r1", &format!("Content-Length: {length}\r\nid: r1"));
            let response = fixture.request(&request).await;
            expect_that!(response, starts_with("HTTP/1.1 4"), "{length}");
        }
        for chunk in ["fffffffffffffffff", "ffffffffffffffff", "7fffffffffffffff", "-1", "", "x"] {
            let head = get("/safe/").replace("id: r1", "Transfer-Encoding: chunked\r\nid: r1");
            let response = fixture.request(&format!("{head}{chunk}\r\n")).await;
            expect_that!(response, starts_with("HTTP/1.1 4"), "{chunk}");
        }
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
    });
}
