//! Endpoints that reset their connection while a request is still being sent.

use crate::support::{post, reset, run, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;

// The failed write took the report of the reset, and the read then saw an end like that of a whole response.
#[gtest]
fn a_response_without_length_is_not_complete_if_its_connection_was_reset_during_the_request() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                stream.read_exact(&mut [0; 64]).await.unwrap();
                let part = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\npart";
                stream.write_all(part.as_bytes()).await.unwrap();
                reset(stream);
            })
            .await;
        let body = "x".repeat(4_000_000);
        let response = fixture.request(&post("/unsafe/", &body)).await;
        expect_that!(response, starts_with("HTTP/1.1 502 "));
        expect_that!(*fixture.placement.outcomes.borrow(), elements_are![eq(&Outcome::Broken)]);
    });
}

#[gtest]
fn a_response_with_a_length_is_relayed_although_its_connection_was_reset_during_the_request() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                stream.read_exact(&mut [0; 64]).await.unwrap();
                let response = "HTTP/1.1 413 Too Large\r\nid: r1\r\nContent-Length: 2\r\n\r\nno";
                stream.write_all(response.as_bytes()).await.unwrap();
                sleep_ms(50).await;
                reset(stream);
            })
            .await;
        let body = "x".repeat(4_000_000);
        let response = fixture.request(&post("/unsafe/", &body)).await;
        expect_that!(response, starts_with("HTTP/1.1 413 "));
    });
}
