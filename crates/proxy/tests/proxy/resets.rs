//! Endpoints that reset their connection while a request is still being sent.

use crate::support::{post, reset, run, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// How often the reset is repeated that must meet a write.
const RESETS: u32 = 50;

/// Answers each connection with these bytes as soon as a part of a request has arrived, and resets it. The
/// thread ends with the process.
fn spawn_resetting_endpoint(bytes: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let reset_each = move || {
        for stream in listener.incoming() {
            let mut stream: TcpStream = stream.unwrap();
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
            stream.read_exact(&mut [0; 64]).unwrap();
            stream.write_all(bytes).unwrap();
        }
    };
    std::thread::spawn(reset_each);
    address
}

// The instance was in the middle of a write, which took the report of the reset.
#[gtest]
fn a_response_without_length_is_not_complete_if_a_write_of_the_request_met_the_reset() {
    run(|fixture| async move {
        let address = spawn_resetting_endpoint(b"HTTP/1.1 200 OK\r\nid: r1\r\n\r\npart");
        fixture.placement.addresses.borrow_mut().push(address);
        let body = "x".repeat(4_000_000);
        for _ in 0..RESETS {
            let response = fixture.request(&post("/unsafe/", &body)).await;
            expect_that!(response, starts_with("HTTP/1.1 502 "));
        }
    });
}

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
