//! Strict and incremental parsing of heads and bodies.

use crate::support::{Fixture, run};
use googletest::prelude::*;

async fn expect_bad_request(fixture: &Fixture, request: &str) {
    let response = fixture.request(request).await;
    expect_that!(response, starts_with("HTTP/1.1 400 "), "{request}");
    expect_that!(fixture.placement.outcomes.borrow().len(), eq(0));
}

#[gtest]
fn ambiguous_requests_are_refused_and_not_forwarded() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
            .await;
        let head = "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\n";
        let both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        expect_bad_request(&fixture, &format!("{head}{both}")).await;
        let twice = "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
        expect_bad_request(&fixture, &format!("{head}{twice}")).await;
        let signed = "Content-Length: +3\r\n\r\nabc";
        expect_bad_request(&fixture, &format!("{head}{signed}")).await;
        let coding = "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n";
        expect_bad_request(&fixture, &format!("{head}{coding}")).await;
        let chunk = "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n";
        expect_bad_request(&fixture, &format!("{head}{chunk}")).await;
        expect_bad_request(&fixture, &format!("{head}Host: other.example\r\n\r\n")).await;
    });
}

#[gtest]
fn a_request_inside_a_body_is_not_parsed_as_a_request() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        let inner = "GET /unsafe/ HTTP/1.1\r\nHost: salto.example\r\nid: r2\r\n\r\n";
        let response = fixture.request(&crate::support::post("/safe/", inner)).await;
        expect_that!(response.matches("HTTP/1.1 ").count(), eq(1));
        expect_that!(fixture.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_chunked_body_is_forwarded_with_content_length() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                use futures_lite::AsyncWriteExt;
                let request = crate::support::read_request(&mut stream).await.unwrap();
                let received = request.ends_with("\r\n\r\nhello world")
                    && request.contains("Content-Length: 11")
                    && !request.to_lowercase().contains("transfer-encoding");
                let body = if received { "yes" } else { "no!" };
                let response =
                    format!("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\n{body:3}");
                stream.write_all(response.as_bytes()).await.unwrap();
            })
            .await;
        let request = "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\n\
                       Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
                       6\r\nhello \r\n5;x=y\r\nworld\r\n0\r\nT: t\r\n\r\n";
        expect_that!(fixture.request(request).await, ends_with("\r\n\r\nyes"));
    });
}

#[gtest]
fn pipelined_requests_on_one_connection_are_handled() {
    run(|fixture| async move {
        use futures_lite::AsyncWriteExt;
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        let keep_alive_request = crate::support::get("/safe/").replace("Connection: close\r\n", "");
        let mut stream = fixture.connect().await;
        let both = keep_alive_request + &crate::support::get("/unsafe/");
        stream.write_all(both.as_bytes()).await.unwrap();
        let responses = crate::support::read_all(&mut stream).await;
        expect_that!(responses.matches("HTTP/1.1 200 OK").count(), eq(2));
    });
}
