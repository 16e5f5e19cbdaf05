//! An endpoint that is silent for a second or so and goes on is sound: nothing that it holds is lost.

use crate::support::{Fixture, get, read_all, read_request, reset, run, sleep_ms, stream};
use futures_lite::AsyncWriteExt;
use futures_lite::future::poll_once;
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_proxy::Stop;
use lycheehub_routes::Document;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A silence after which a response that is not the last attempt counts as stalled, in milliseconds.
const SILENCE_MS: u64 = 1_500;
/// A silence in which a further endpoint is requested, in milliseconds. The routes' timeout is longer.
const LONG_SILENCE_MS: u64 = 1_800;
const HEAD: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns both parts of a stream, and the whole body that its caller gets.
fn two_events() -> (String, String, String) {
    let (first, last) = (chunk("id: 1\ndata: a\n\n"), chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    (HEAD.to_owned() + &first, last.clone(), first + &last)
}

/// Adds an endpoint that receives a request, sends `first`, is silent and sends `rest`.
async fn add_silent(fixture: &Fixture, silence_ms: u64, first: String, rest: String) {
    let script = move |mut stream: TcpStream, _| {
        let (first, rest) = (first.clone(), rest.clone());
        async move {
            read_request(&mut stream).await;
            stream.write_all(first.as_bytes()).await.unwrap();
            sleep_ms(silence_ms).await;
            // The instance may have closed the connection.
            let _ = stream.write_all(rest.as_bytes()).await;
        }
    };
    fixture.add_endpoint(script).await;
}

#[gtest]
fn a_response_after_a_silence_is_received_although_nothing_may_be_repeated() {
    run(|fixture| async move {
        fixture.placement.refuses_repeats.set(true);
        add_silent(&fixture, SILENCE_MS, String::new(), ANSWER.to_owned()).await;
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, ends_with("ok"));
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, elements_are![eq(&Outcome::Answered)]);
    });
}

#[gtest]
fn a_body_that_goes_on_after_a_silence_is_received_although_nothing_may_be_repeated() {
    run(|fixture| async move {
        fixture.placement.refuses_repeats.set(true);
        let (first, rest) = ANSWER.split_at(ANSWER.len() - 1);
        add_silent(&fixture, SILENCE_MS, first.to_owned(), rest.to_owned()).await;
        expect_that!(fixture.request(&get("/safe/")).await, ends_with("ok"));
    });
}

#[gtest]
fn a_stream_that_begins_after_a_silence_is_received_although_nothing_may_be_repeated() {
    run(|fixture| async move {
        fixture.placement.refuses_repeats.set(true);
        let (first, rest, whole) = two_events();
        add_silent(&fixture, SILENCE_MS, String::new(), first + &rest).await;
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
    });
}

#[gtest]
fn a_stream_that_goes_on_after_a_silence_is_whole_although_nothing_may_be_repeated() {
    run(|fixture| async move {
        fixture.placement.refuses_repeats.set(true);
        let (first, rest, whole) = two_events();
        add_silent(&fixture, SILENCE_MS, first, rest).await;
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, elements_are![eq(&Outcome::Answered)]);
    });
}

#[gtest]
fn a_stream_goes_on_where_it_is_while_no_other_endpoint_is_free() {
    run(|fixture| async move {
        let (first, rest, whole) = two_events();
        let placement = fixture.placement.clone();
        let script = move |mut stream: TcpStream, _| {
            let (first, rest, placement) = (first.clone(), rest.clone(), placement.clone());
            async move {
                read_request(&mut stream).await;
                placement.never_decides.set(true);
                stream.write_all(first.as_bytes()).await.unwrap();
                sleep_ms(SILENCE_MS).await;
                stream.write_all(rest.as_bytes()).await.unwrap();
            }
        };
        fixture.add_endpoint(script).await;
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
    });
}

#[gtest]
fn a_stalled_request_has_left_its_endpoint_before_another_one_gets_it() {
    run(|fixture| async move {
        let first = Rc::new(RefCell::new(None));
        let holder = first.clone();
        let script = move |mut stream: TcpStream, _| {
            let holder = holder.clone();
            async move {
                read_request(&mut stream).await;
                holder.replace(Some(stream));
            }
        };
        fixture.add_endpoint(script).await;
        let was_closed = Rc::new(Cell::new(false));
        let recorder = was_closed.clone();
        let script = move |mut stream: TcpStream, _| {
            let (first, recorder) = (first.clone(), recorder.clone());
            async move {
                read_request(&mut stream).await;
                let first: TcpStream = first.take().unwrap();
                let peeked = poll_once(first.peek(&mut [0; 1])).await;
                recorder.set(matches!(peeked, Some(Ok(0))));
                stream.write_all(ANSWER.as_bytes()).await.unwrap();
            }
        };
        fixture.add_endpoint(script).await;
        expect_that!(fixture.request(&get("/safe/")).await, ends_with("ok"));
        expect_that!(was_closed.get(), eq(true));
    });
}

#[gtest]
fn requests_that_run_once_wait_for_an_endpoint_that_is_silent() {
    for silence_ms in [800, SILENCE_MS] {
        run(|fixture| async move {
            add_silent(&fixture, silence_ms, String::new(), ANSWER.to_owned()).await;
            expect_that!(fixture.request(&get("/unsafe/")).await, ends_with("ok"));
            let (first, rest, whole) = two_events();
            fixture.placement.addresses.borrow_mut().clear();
            add_silent(&fixture, silence_ms, first, rest).await;
            expect_that!(fixture.request(&stream("/stream/")).await, ends_with(whole));
            let outcomes = fixture.placement.outcomes.borrow();
            expect_that!(*outcomes, each(eq(&Outcome::Answered)));
        });
    }
}

/// Expects that requests of each kind are answered whole whose endpoint is silent while `event` happens, and
/// that nothing may be repeated.
fn expect_answered_beside(event: impl Fn(&Fixture) + Copy + 'static) {
    const EVENT_AFTER_MS: u64 = 500;
    let (first, rest, whole) = two_events();
    let streamed = |path| (stream(path), first.clone(), rest.clone(), whole.clone());
    let plain = |path| (get(path), String::new(), ANSWER.to_owned(), "ok".to_owned());
    for (request, first, rest, expected) in
        [plain("/safe/"), plain("/unsafe/"), streamed("/stream/"), streamed("/resume/")]
    {
        run(|fixture| async move {
            fixture.placement.refuses_repeats.set(true);
            add_silent(&fixture, SILENCE_MS, first, rest).await;
            let mut caller = fixture.connect().await;
            caller.write_all(request.as_bytes()).await.unwrap();
            sleep_ms(EVENT_AFTER_MS).await;
            event(&fixture);
            expect_that!(read_all(&mut caller).await, ends_with(expected), "{request}");
            let outcomes = fixture.placement.outcomes.borrow();
            expect_that!(*outcomes, elements_are![eq(&Outcome::Answered)]);
        });
    }
}

#[gtest]
fn a_document_that_drops_everything_beside_a_silence_loses_nothing() {
    expect_answered_beside(|fixture| fixture.set_document(Document::default()));
}

#[gtest]
fn a_stop_beside_a_silence_loses_nothing() {
    expect_answered_beside(|fixture| {
        let now_ms = fixture.entry.clock.now_ms();
        fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 4_000 });
        fixture.close_idle();
    });
}

#[gtest]
fn an_endpoint_that_is_taken_for_leaving_or_pausing_beside_a_silence_still_answers() {
    expect_answered_beside(|fixture| {
        fixture.placement.excluded.borrow_mut().push("endpoint-0".to_owned());
        fixture.entry.pool.remove(&"endpoint-0".into());
    });
}

/// Adds an endpoint that states that it did not run what it gets, on each connection.
async fn add_rejecting(fixture: &Fixture) {
    let script = |mut stream: TcpStream, _| async move {
        read_request(&mut stream).await;
        let rejection = "HTTP/1.1 429 No\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(rejection.as_bytes()).await.unwrap();
    };
    fixture.add_endpoint(script).await;
}

/// Adds an endpoint that sends the first event of a stream, is silent and sends the rest; on its next
/// connection it sends the rest at once. Records how many requests it gets.
async fn add_silent_once(fixture: &Fixture, silence_ms: u64, received: Rc<Cell<u32>>) {
    let (first, rest, _) = two_events();
    let script = move |mut stream: TcpStream, _| {
        let (first, rest, received) = (first.clone(), rest.clone(), received.clone());
        async move {
            let request = read_request(&mut stream).await.unwrap();
            received.set(received.get() + 1);
            if request.contains("last-event-id: 1") {
                return stream.write_all((HEAD.to_owned() + &rest).as_bytes()).await.unwrap();
            }
            stream.write_all(first.as_bytes()).await.unwrap();
            sleep_ms(silence_ms).await;
            // The instance may have closed the connection.
            let _ = stream.write_all(rest.as_bytes()).await;
        }
    };
    fixture.add_endpoint(script).await;
}

/// What an endpoint does that does not take a stream.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// It states with this status that it did not run it.
    NotRun(&'static str),
    /// It fails.
    Fails,
    /// It resets the connection.
    Resets,
    /// It sends nothing.
    IsSilent,
}

async fn add_refusing(fixture: &Fixture, refusal: Refusal) {
    let script = move |mut stream: TcpStream, _| async move {
        read_request(&mut stream).await;
        let head = match refusal {
            Refusal::NotRun(status) => format!("{status}\r\nnot-run: 1"),
            Refusal::Fails => "500 Broke".to_owned(),
            Refusal::Resets => return reset(stream),
            Refusal::IsSilent => return sleep_ms(SILENCE_MS * 2).await,
        };
        let response = format!("HTTP/1.1 {head}\r\nid: r1\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(response.as_bytes()).await.unwrap();
    };
    fixture.add_endpoint(script).await;
}

/// Guards against a stream that is cut in a planned stop: its sound endpoint was left before the next one
/// had taken the stream (review/2).
#[gtest]
fn a_stream_keeps_its_silent_endpoint_until_another_one_has_taken_it() {
    let refusals = [
        Refusal::NotRun("503 Full"),
        Refusal::NotRun("421 Other"),
        Refusal::Fails,
        Refusal::Resets,
        Refusal::IsSilent,
    ];
    for refusal in refusals {
        run(move |fixture| async move {
            let received = Rc::new(Cell::new(0));
            add_silent_once(&fixture, SILENCE_MS, received.clone()).await;
            add_refusing(&fixture, refusal).await;
            let (_, _, whole) = two_events();
            let mut caller = fixture.connect().await;
            caller.write_all(stream("/resume/").as_bytes()).await.unwrap();
            sleep_ms(SILENCE_MS / 10).await;
            let now_ms = fixture.entry.clock.now_ms();
            fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms, ends_ms: now_ms + 8_000 });
            expect_that!(read_all(&mut caller).await, ends_with(whole), "{refusal:?}");
            expect_that!(received.get(), eq(1), "{refusal:?}");
            let outcomes = fixture.placement.outcomes.borrow();
            expect_that!(*outcomes, contains(eq(&Outcome::Answered)), "{refusal:?}");
        });
    }
}

/// Guards against a stream that has not begun and is given up for an endpoint that does not take it
/// (review/2).
#[gtest]
fn a_stream_without_an_event_keeps_its_silent_endpoint_until_another_one_has_taken_it() {
    run(|fixture| async move {
        let (first, rest, whole) = two_events();
        add_silent(&fixture, SILENCE_MS, String::new(), first + &rest).await;
        add_refusing(&fixture, Refusal::NotRun("503 Full")).await;
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
    });
}

/// Guards against a stream that is moved to a connection which the endpoint dropped while it was idle
/// (review/2).
#[gtest]
fn a_stream_moves_on_a_connection_of_its_own() {
    run(|fixture| async move {
        let (first, rest, whole) = two_events();
        // The first connection serves one request and resets the next one.
        let script = move |mut stream: TcpStream, number| {
            let rest = rest.clone();
            async move {
                read_request(&mut stream).await;
                if number > 1 {
                    return stream.write_all((HEAD.to_owned() + &rest).as_bytes()).await.unwrap();
                }
                stream.write_all(ANSWER.as_bytes()).await.unwrap();
                if read_request(&mut stream).await.is_some() {
                    reset(stream);
                }
            }
        };
        fixture.add_endpoint(script).await;
        expect_that!(fixture.request(&get("/safe/")).await, ends_with("ok"));
        add_silent(&fixture, SILENCE_MS * 2, first, String::new()).await;
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
    });
}

#[gtest]
fn a_stream_returns_to_its_silent_endpoint_if_the_other_one_rejects_it() {
    run(|fixture| async move {
        let received = Rc::new(Cell::new(0));
        add_silent_once(&fixture, SILENCE_MS * 2, received.clone()).await;
        add_rejecting(&fixture).await;
        let (_, _, whole) = two_events();
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
        expect_that!(received.get(), eq(2));
        let outcomes = fixture.placement.outcomes.borrow();
        let expected = [Outcome::Rejected, Outcome::Broken, Outcome::Answered];
        expect_that!(*outcomes, container_eq(expected));
    });
}

/// A request is sent to no more endpoints than its route allows, those that reject it included.
#[gtest]
fn a_stream_that_was_rejected_goes_to_no_third_endpoint() {
    run(|fixture| async move {
        let received = Rc::new(Cell::new(0));
        add_silent_once(&fixture, LONG_SILENCE_MS, received.clone()).await;
        add_rejecting(&fixture).await;
        let third = Rc::new(Cell::new(0));
        add_silent_once(&fixture, LONG_SILENCE_MS, third.clone()).await;
        let (_, _, whole) = two_events();
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(whole));
        expect_that!((received.get(), third.get()), eq((1, 0)));
        // The grant of the third one is given back.
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, container_eq([Outcome::Rejected, Outcome::Answered]));
    });
}

/// Guards against one endpoint too many: the silent one breaks off after another one has rejected the stream.
#[gtest]
fn a_stream_that_breaks_off_after_a_rejection_goes_to_no_third_endpoint() {
    run(|fixture| async move {
        let (first, _, _) = two_events();
        add_silent(&fixture, SILENCE_MS, first, String::new()).await;
        add_rejecting(&fixture).await;
        let third = Rc::new(Cell::new(0));
        add_silent_once(&fixture, 0, third.clone()).await;
        let first_event = chunk("id: 1\ndata: a\n\n");
        expect_that!(fixture.request(&stream("/resume/")).await, ends_with(first_event));
        expect_that!(third.get(), eq(0));
    });
}

#[gtest]
fn a_stream_that_was_rejected_is_not_sent_again_to_an_endpoint_that_takes_nothing() {
    run(|fixture| async move {
        let received = Rc::new(Cell::new(0));
        add_silent_once(&fixture, LONG_SILENCE_MS, received.clone()).await;
        add_rejecting(&fixture).await;
        let mut caller = fixture.connect().await;
        caller.write_all(stream("/resume/").as_bytes()).await.unwrap();
        sleep_ms(SILENCE_MS / 10).await;
        fixture.placement.excluded.borrow_mut().push("endpoint-0".to_owned());
        let (_, _, whole) = two_events();
        expect_that!(read_all(&mut caller).await, ends_with(whole));
        expect_that!(received.get(), eq(1));
    });
}

/// A request without a response is refused when the endpoint that it moved to rejects it: its caller can
/// come again sooner than the silence may end.
#[gtest]
fn a_request_that_moved_and_was_rejected_is_refused_at_once() {
    run(|fixture| async move {
        add_silent(&fixture, SILENCE_MS * 4, String::new(), ANSWER.to_owned()).await;
        add_rejecting(&fixture).await;
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 502"));
        expect_that!(fixture.placement.outcomes.borrow().len(), eq(2));
    });
}
