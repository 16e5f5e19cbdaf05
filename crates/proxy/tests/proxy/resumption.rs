//! A stream that has begun and broke off: only a sound continuation is relayed, and without one the
//! caller's stream ends as broken.

use crate::support::{Fixture, get, read_all, read_request, reset, run, sleep_ms, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_proxy::Stop;
use smol::net::TcpStream;

const TYPE: &str = "Content-Type: text/event-stream\r\n";
const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
const SECOND_EVENT: &str = "id: 2\ndata: b\n\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a response head with these fields.
fn head(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nid: r1\r\nseal: second\r\n{fields}\r\n")
}

/// Returns a stream of these events, in chunks.
fn events(events: &str) -> String {
    let chunks = if events.is_empty() { String::new() } else { chunk(events) };
    head("200 OK", &format!("{TYPE}Transfer-Encoding: chunked\r\n")) + &chunks + "0\r\n\r\n"
}

fn with_length(status: &str, fields: &str, body: &str) -> String {
    head(status, &format!("{fields}Content-Length: {}\r\n", body.len())) + body
}

/// Returns the first endpoint's stream, as far as it gets.
fn begun(sent: &str) -> String {
    let head = head("200 OK", &format!("{TYPE}Transfer-Encoding: chunked\r\n"));
    head.replace("second", "first") + &chunk(sent)
}

/// Adds an endpoint that answers with these bytes and closes the connection.
async fn add_closing(fixture: &Fixture, bytes: String) {
    let script = move |mut stream: TcpStream, _| {
        let bytes = bytes.clone();
        async move {
            read_request(&mut stream).await;
            // The instance closes connections on which it needs nothing more.
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
    };
    fixture.add_endpoint(script).await;
}

/// Returns what the caller gets whose stream `first` has begun, and whose second endpoint answers with
/// `second`. The caller would keep its connection for another request.
async fn response(fixture: &Fixture, first: String, second: String) -> String {
    fixture.add_resetting_endpoint(first).await;
    add_closing(fixture, second).await;
    let mut caller = fixture.connect().await;
    let request = stream("/resume/").replace("Connection: close\r\n", "");
    caller.write_all(request.as_bytes()).await.unwrap();
    read_all(&mut caller).await
}

/// Expects that the caller's stream ends as broken after the first event.
fn expect_broken(first: String, second: String) {
    run(|fixture| async move {
        let name = second.clone();
        let response = response(&fixture, first, second).await;
        expect_that!(response.matches("HTTP/1.1").count(), eq(1), "{name}");
        expect_that!(response, contains_substring("seal: first"), "{name}");
        expect_that!(response, ends_with(chunk(FIRST_EVENT)), "{name}");
    });
}

/// Expects that the caller's stream is completed by the second event.
fn expect_completed(second: String) {
    run(|fixture| async move {
        let name = second.clone();
        fixture.add_resetting_endpoint(begun(FIRST_EVENT)).await;
        add_closing(&fixture, second).await;
        let response = fixture.request(&stream("/resume/")).await;
        let whole = chunk(FIRST_EVENT) + &chunk(SECOND_EVENT) + "0\r\n\r\n";
        expect_that!(response, ends_with(whole), "{name}");
    });
}

#[gtest]
fn an_answer_that_is_no_continuation_leaves_the_stream_broken() {
    let error = "{\"error\":\"oops\"}\n\n";
    let json = "Content-Type: application/json\r\n";
    for status in ["400 Bad", "404 None", "409 No", "500 Broke", "503 Full", "504 Late"] {
        expect_broken(begun(FIRST_EVENT), with_length(status, json, error));
        expect_broken(begun(FIRST_EVENT), with_length(status, TYPE, SECOND_EVENT));
    }
    for status in ["503 Full", "429 Many", "421 Other", "400 Bad"] {
        let not_run = format!("{json}not-run: 1\r\n");
        expect_broken(begun(FIRST_EVENT), with_length(status, &not_run, error));
    }
    expect_broken(begun(FIRST_EVENT), head("204 None", TYPE));
    expect_broken(begun(FIRST_EVENT), with_length("206 Part", TYPE, SECOND_EVENT));
}

#[gtest]
fn a_success_without_an_event_leaves_the_stream_broken() {
    expect_broken(begun(FIRST_EVENT), with_length("200 OK", TYPE, ""));
    expect_broken(begun(FIRST_EVENT), events(""));
    expect_broken(begun(FIRST_EVENT), events(": nothing left\n\n"));
    expect_broken(begun(FIRST_EVENT), head("200 OK", TYPE));
}

#[gtest]
fn text_without_an_id_is_no_continuation() {
    expect_broken(begun(FIRST_EVENT), events("HTTP/1.1 500 Broke\r\nContent-Length: 4\r\n\r\n"));
    expect_broken(begun(FIRST_EVENT), events("event: error\ndata: oops\n\n"));
}

#[gtest]
fn a_success_of_another_type_leaves_the_stream_broken() {
    let json = "Content-Type: application/json\r\n";
    expect_broken(begun(FIRST_EVENT), with_length("200 OK", json, "{\"error\":\"oops\"}\n\n"));
    expect_broken(begun(FIRST_EVENT), with_length("200 OK", json, SECOND_EVENT));
    expect_broken(begun(FIRST_EVENT), with_length("200 OK", "", SECOND_EVENT));
    let packed = format!("{TYPE}Content-Encoding: gzip\r\n");
    expect_broken(begun(FIRST_EVENT), with_length("200 OK", &packed, SECOND_EVENT));
}

#[gtest]
fn events_of_another_run_are_not_joined() {
    let both = format!("{FIRST_EVENT}{SECOND_EVENT}");
    expect_broken(begun(FIRST_EVENT), events(&both));
    expect_broken(begun(FIRST_EVENT), events(&format!(": hello\n\n{both}")));
    expect_broken(begun(FIRST_EVENT), events(&both.replace("id: 1", "id: 0")));
}

// A run that starts again would repeat what the caller has: no id tells where to go on.
#[gtest]
fn a_stream_of_data_without_ids_is_not_continued() {
    run(|fixture| async move {
        let (first, second) = (begun("data: a\n\n"), events("data: a\n\ndata: b\n\n"));
        let response = response(&fixture, first, second).await;
        expect_that!(response, ends_with(chunk("data: a\n\n")));
        expect_that!(fixture.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_sound_continuation_completes_the_stream() {
    let charset = "Content-Type: Text/Event-Stream; charset=utf-8\r\n";
    expect_completed(events(SECOND_EVENT));
    expect_completed(events(&format!("retry: 5\n\n: hello\n\n{SECOND_EVENT}")));
    expect_completed(with_length("200 OK", charset, SECOND_EVENT));
    expect_completed(head("200 OK", TYPE) + SECOND_EVENT);
}

// The length that the first endpoint announced is not that of the events from two.
#[gtest]
fn a_stream_with_a_length_is_completed_by_a_second_endpoint() {
    for (announced, second) in [
        (FIRST_EVENT.len() + 5, events(SECOND_EVENT)),
        (FIRST_EVENT.len() + 500, with_length("200 OK", TYPE, SECOND_EVENT)),
    ] {
        run(|fixture| async move {
            let length = format!("{TYPE}Content-Length: {announced}\r\n");
            fixture.add_resetting_endpoint(head("200 OK", &length) + FIRST_EVENT).await;
            add_closing(&fixture, second).await;
            let response = fixture.request(&stream("/resume/")).await;
            let whole = chunk(FIRST_EVENT) + &chunk(SECOND_EVENT) + "0\r\n\r\n";
            expect_that!(response, ends_with(whole), "{announced}");
            expect_that!(response, not(contains_substring("Content-Length")), "{announced}");
        });
    }
}

#[gtest]
fn a_stream_with_a_length_that_nobody_continues_is_broken() {
    let length = format!("{TYPE}Content-Length: 500\r\n");
    let first = head("200 OK", &length).replace("second", "first") + FIRST_EVENT;
    expect_broken(first, with_length("500 Broke", "", "oops"));
}

#[gtest]
fn a_continuation_that_breaks_off_leaves_the_stream_broken() {
    run(|fixture| async move {
        let second = begun(&format!("{SECOND_EVENT}id: 3\nda"));
        let response = response(&fixture, begun(FIRST_EVENT), second).await;
        expect_that!(response, ends_with(chunk(FIRST_EVENT) + &chunk(SECOND_EVENT)));
    });
}

#[gtest]
fn a_stream_whose_deadline_passes_before_it_is_continued_is_broken() {
    run(|fixture| async move {
        fixture.add_resetting_endpoint(begun(FIRST_EVENT)).await;
        let _closed = fixture.add_close_detecting_endpoint("").await;
        let mut caller = fixture.connect().await;
        let request = stream("/resume/").replace("Connection: close", "deadline: 300");
        caller.write_all(request.as_bytes()).await.unwrap();
        expect_that!(read_all(&mut caller).await, ends_with(chunk(FIRST_EVENT)));
    });
}

// The connection was closed with the caller's next request read and discarded, although the head of the
// stream promised to keep it open.
#[gtest]
fn a_request_after_a_stream_that_another_endpoint_ends_in_a_stop_gets_a_response() {
    run(|fixture| async move {
        let first = begun(FIRST_EVENT);
        let script = move |mut endpoint: TcpStream, number| {
            let first = first.clone();
            async move {
                read_request(&mut endpoint).await;
                if number > 1 {
                    let ok = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                    return endpoint.write_all(ok.as_bytes()).await.unwrap();
                }
                endpoint.write_all(first.as_bytes()).await.unwrap();
                sleep_ms(200).await;
                reset(endpoint);
            }
        };
        fixture.add_endpoint(script).await;
        add_closing(&fixture, events(SECOND_EVENT)).await;
        let mut caller = fixture.connect().await;
        let request = stream("/resume/").replace("Connection: close\r\n", "");
        caller.write_all(request.as_bytes()).await.unwrap();
        sleep_ms(100).await;
        let now_ms = fixture.entry.clock.now_ms();
        let stop = Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 5_000 };
        fixture.entry.begin_stop(stop);
        fixture.entry.refuse_new_connections();
        let response = read_request(&mut caller).await.expect("a response");
        expect_that!(response, contains_substring("Connection: keep-alive\r\n"));
        sleep_ms(300).await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        let rest = read_all(&mut caller).await;
        expect_that!(rest, contains_substring("0\r\n\r\nHTTP/1.1 200 "));
    });
}
