//! Endpoints that answer before they have read a long body, without a length, and reset their connection: at
//! each byte of the response, at several steps of the request, after some moments.

use crate::paths::cut_off;
use crate::support::{Fixture, post, read_request, reset, run, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use smol::net::TcpStream;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\npart of the body";
const BODY_BYTES: usize = 1_500_000;
/// How much of the request the endpoint reads first, in bytes.
const READ_BYTES: [usize; 4] = [1, 64, 70_000, 1_200_000];
/// How long the endpoint waits between its response and the reset, in milliseconds.
const RESET_AFTER_MS: [u64; 3] = [0, 1, 20];

/// Reads `read_bytes` of a request, sends `sent` and resets the connection after some time.
async fn answer_early(mut stream: TcpStream, read_bytes: usize, sent: &str, reset_after_ms: u64) {
    let mut read = 0;
    let mut buffer = [0; 16 * 1024];
    while read < read_bytes {
        let most = buffer.len().min(read_bytes - read);
        let Ok(count @ 1..) = stream.read(&mut buffer[..most]).await else { return };
        read += count;
    }
    if stream.write_all(sent.as_bytes()).await.is_ok() && reset_after_ms > 0 {
        sleep_ms(reset_after_ms).await;
    }
    reset(stream);
}

/// Returns whether a caller takes the response for a whole answer of the endpoint.
fn is_whole_answer(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    if !head.starts_with("HTTP/1.1 200 ") {
        return false;
    }
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    match field("Content-Length: ") {
        Some(length) => length.parse() == Ok(body.len()),
        None if field("Transfer-Encoding: ").is_some() => body.ends_with("0\r\n\r\n"),
        None => true,
    }
}

/// Sends requests to an endpoint that answers early, cut at each byte of its response.
async fn check_each_cut(fixture: &Fixture, step: usize, reset_after_ms: u64, request: &str) {
    for length in 0..=RESPONSE.len() {
        fixture.placement.addresses.borrow_mut().clear();
        fixture
            .add_endpoint(move |stream, _| {
                answer_early(stream, step, &RESPONSE[..length], reset_after_ms)
            })
            .await;
        let response = fixture.request(request).await;
        let what = format!("{length} bytes after {step}, reset after {reset_after_ms} ms");
        expect_that!(is_whole_answer(&response), eq(false), "{what}: {response}");
    }
}

fn check(request: &str) {
    for step in READ_BYTES {
        for reset_after_ms in RESET_AFTER_MS {
            run(|fixture| async move {
                check_each_cut(&fixture, step, reset_after_ms, request).await;
            });
        }
    }
}

/// Guards against a part of an answer that is passed on as the whole, because the connection was reset while the
/// request was being written.
#[gtest]
fn a_part_of_an_early_response_is_no_answer() {
    let body = "x".repeat(BODY_BYTES);
    for path in ["/unsafe/", "/safe/", "/stream/"] {
        check(&post(path, &body));
    }
}

/// Guards against the same where the caller sends its body in chunks, after an interim response.
#[gtest]
fn a_part_of_an_early_response_is_no_answer_to_a_caller_that_waits_for_an_interim_one() {
    run(|fixture| async move {
        for step in READ_BYTES {
            fixture.placement.addresses.borrow_mut().clear();
            fixture.add_endpoint(move |stream, _| answer_early(stream, step, RESPONSE, 1)).await;
            let mut stream = fixture.connect().await;
            let head = "POST /unsafe/ HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\nConnection: close\r\n\
                        Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut interim = [0; 25];
            stream.read_exact(&mut interim).await.unwrap();
            expect_that!(interim.starts_with(b"HTTP/1.1 100 "), eq(true));
            let chunk = format!("{:x}\r\n{}\r\n0\r\n\r\n", BODY_BYTES, "x".repeat(BODY_BYTES));
            stream.write_all(chunk.as_bytes()).await.unwrap();
            let response = crate::support::read_all(&mut stream).await;
            expect_that!(is_whole_answer(&response), eq(false), "{step}: {response}");
        }
    });
}

/// Guards against the same on a connection that was kept from an earlier request, and against bytes of one
/// request that reach the endpoint as a part of another.
#[gtest]
fn a_part_of_an_early_response_on_a_kept_connection_is_no_answer() {
    for step in READ_BYTES {
        for reset_after_ms in RESET_AFTER_MS {
            run(|fixture| async move {
                fixture
                    .add_endpoint(move |mut stream, _| async move {
                        let whole = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                        let Some(request) = read_request(&mut stream).await else { return };
                        if request.starts_with("POST /unsafe/ ") {
                            stream.write_all(whole.as_bytes()).await.unwrap();
                        }
                        answer_early(stream, step, RESPONSE, reset_after_ms).await;
                    })
                    .await;
                for _ in 0..20 {
                    let first = fixture.request(&post("/unsafe/", "first")).await;
                    expect_that!(first, ends_with("\r\n\r\nok"));
                    let long = post("/unsafe/", &"x".repeat(BODY_BYTES));
                    let response = fixture.request(&long).await;
                    let is_part = response.contains("part") && is_whole_answer(&response);
                    expect_that!(is_part, eq(false), "{step} {reset_after_ms}: {response}");
                }
            });
        }
    }
}

/// Guards against the same where another instance relays the connection.
#[gtest]
fn a_part_of_an_early_response_that_is_relayed_is_no_answer() {
    let request = post("/unsafe/", &"x".repeat(BODY_BYTES));
    for step in READ_BYTES {
        for reset_after_ms in RESET_AFTER_MS {
            let request = &request;
            run(|fixture| async move {
                cut_off(&fixture, 2, move |stream, _| {
                    answer_early(stream, step, RESPONSE, reset_after_ms)
                })
                .await;
                for _ in 0..20 {
                    let response = fixture.request(request).await;
                    let what = format!("{step} {reset_after_ms}");
                    expect_that!(is_whole_answer(&response), eq(false), "{what}: {response}");
                }
            });
        }
    }
}
