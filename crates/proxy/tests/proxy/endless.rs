//! Bytes that never end, from endpoints and from callers: in time, memory and for others nothing is
//! lost by them.

use crate::support::{World, get, read_request, run, sleep_ms, stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use smol::net::TcpStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of the routes, in milliseconds, with what a busy machine takes besides.
const ROUTE_MS: u64 = 2_000 + 1_500;
/// How long another caller may wait beside a flood, in milliseconds.
const BESIDE_MS: u64 = 1_500;
const WHOLE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";

/// How bytes come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    /// As fast as they are taken.
    Flood,
    /// One after the other, with 100 ms between them.
    Drip,
}

/// What an endpoint sends: a beginning, and then a part over and over.
#[derive(Clone, Copy, Debug)]
struct Endless {
    begin: &'static str,
    over: &'static str,
}

const fn endless(begin: &'static str, over: &'static str) -> Endless {
    Endless { begin, over }
}

const STATUS_LINE: Endless = endless("HTTP/1.1 200 ", "O");
const FIELD: Endless = endless("HTTP/1.1 200 OK\r\nid: r1\r\nx: ", "y");
const FIELDS: Endless = endless("HTTP/1.1 200 OK\r\nid: r1\r\n", "x: y\r\n");
const NO_HTTP: Endless = endless("", "\u{1}");
const INTERIM: Endless = endless("", "HTTP/1.1 100 Continue\r\n\r\n");
const CHUNK_LINE: Endless =
    endless("HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "y");
const CHUNK_LENGTH: Endless =
    endless("HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
const TRAILER: Endless = endless(
    "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "x: y\r\n",
);
const STRAY_BODY: Endless = endless("HTTP/1.1 200 OK\r\nid: r0\r\n\r\n", "z");
const NOT_RUN_BODY: Endless = endless("HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\n\r\n", "z");

/// All that is no answer, however long one reads.
const NO_ANSWERS: [Endless; 9] =
    [STATUS_LINE, FIELD, FIELDS, NO_HTTP, INTERIM, CHUNK_LINE, CHUNK_LENGTH, TRAILER, STRAY_BODY];

/// Sends bytes without end until the other end closes the connection.
async fn send_until_closed(stream: &mut TcpStream, bytes: Endless, pace: Pace) {
    let again = if pace == Pace::Flood { 4_096 / bytes.over.len() } else { 1 };
    let part = bytes.over.repeat(again);
    let mut sent = stream.write_all(bytes.begin.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(part.as_bytes()).await;
        if pace == Pace::Drip {
            sleep_ms(100).await;
        }
    }
}

/// Adds an endpoint that never ends; the number tells how many of its connections were closed.
async fn add(world: &World, bytes: Endless, pace: Pace) -> Rc<Cell<u32>> {
    let closed = Rc::new(Cell::new(0));
    let note = closed.clone();
    let script = move |mut stream: TcpStream, _| {
        let note = note.clone();
        async move {
            read_request(&mut stream).await;
            send_until_closed(&mut stream, bytes, pace).await;
            note.set(note.get() + 1);
        }
    };
    world.endpoint(script).await;
    closed
}

/// Asks for `path` of a world whose first endpoint never ends; returns the answer.
async fn ask(world: &World, path: &str) -> String {
    let request = get(path);
    let answer = lycheehub_clock::within(ROUTE_MS, world.ask(&request)).await;
    answer.expect("the request does not end")
}

async fn until_closed(closed: &Cell<u32>) {
    for _ in 0..50 {
        if closed.get() > 0 {
            return;
        }
        sleep_ms(20).await;
    }
    panic!("the connection stays open");
}

#[gtest]
fn what_is_no_answer_and_never_ends_moves_a_safe_request() {
    for bytes in NO_ANSWERS {
        for pace in [Pace::Flood, Pace::Drip] {
            run(|world| async move {
                let closed = add(&world, bytes, pace).await;
                world.answering(WHOLE).await;
                expect_that!(ask(&world, "/safe/").await, ends_with("ok"), "{bytes:?} {pace:?}");
                until_closed(&closed).await;
                let outcomes = world.placement.outcomes.borrow();
                let expected = [Outcome::Broken, Outcome::Answered];
                expect_that!(*outcomes, eq(&expected), "{bytes:?} {pace:?}");
            });
        }
    }
}

#[gtest]
fn a_request_that_may_not_be_repeated_is_not_said_to_have_not_run() {
    for bytes in NO_ANSWERS {
        for pace in [Pace::Flood, Pace::Drip] {
            run(|world| async move {
                let closed = add(&world, bytes, pace).await;
                let answer = ask(&world, "/unsafe/").await;
                let is_unknown =
                    answer.starts_with("HTTP/1.1 502 ") || answer.starts_with("HTTP/1.1 504 ");
                expect_that!(is_unknown, eq(true), "{bytes:?} {pace:?}: {answer}");
                until_closed(&closed).await;
            });
        }
    }
}

#[gtest]
fn others_are_answered_beside_a_flood() {
    for bytes in [STRAY_BODY, INTERIM, TRAILER, FIELDS] {
        run(|world| async move {
            add(&world, bytes, Pace::Flood).await;
            world.answering(WHOLE).await;
            let mut flooded = world.connect().await;
            flooded.write_all(get("/unsafe/").as_bytes()).await.unwrap();
            sleep_ms(20).await;
            let began = Instant::now();
            expect_that!(world.ask(&get("/unsafe/")).await, ends_with("ok"), "{bytes:?}");
            let took = began.elapsed();
            expect_that!(took, lt(Duration::from_millis(BESIDE_MS)), "{bytes:?}");
        });
    }
}

#[gtest]
fn a_body_beyond_its_length_is_cut_off_and_its_connection_closed() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|world| async move {
            let longer = endless("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok", "x");
            let closed = add(&world, longer, pace).await;
            for _ in 0..2 {
                expect_that!(ask(&world, "/unsafe/").await, ends_with("\r\n\r\nok"), "{pace:?}");
                sleep_ms(150).await;
            }
            until_closed(&closed).await;
        });
    }
}

#[gtest]
fn a_body_without_end_ends_with_its_routes_time_and_does_not_look_whole() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|world| async move {
            let closed = add(&world, endless("HTTP/1.1 200 OK\r\nid: r1\r\n\r\n", "x"), pace).await;
            let mut caller = world.connect().await;
            caller.write_all(get("/unsafe/").as_bytes()).await.unwrap();
            let mut last = Vec::new();
            let mut piece = vec![0; 65_536];
            let read = async {
                while let Ok(count @ 1..) = caller.read(&mut piece).await {
                    last.extend_from_slice(&piece[..count]);
                    last.drain(..last.len().saturating_sub(64));
                }
            };
            lycheehub_clock::within(ROUTE_MS, read).await.expect("the body does not end");
            let last = String::from_utf8_lossy(&last).into_owned();
            expect_that!(last, not(ends_with("0\r\n\r\n")), "{pace:?}");
            until_closed(&closed).await;
        });
    }
}

#[gtest]
fn a_refusal_whose_body_never_ends_moves_the_request() {
    for pace in [Pace::Flood, Pace::Drip] {
        run(|world| async move {
            let closed = add(&world, NOT_RUN_BODY, pace).await;
            world.answering(WHOLE).await;
            expect_that!(ask(&world, "/unsafe/").await, ends_with("ok"), "{pace:?}");
            until_closed(&closed).await;
        });
    }
}

#[gtest]
fn an_event_without_end_counts_as_broken_and_fills_no_memory() {
    run(|world| async move {
        let begin = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ";
        let closed = add(&world, endless(begin, "b"), Pace::Flood).await;
        let rest = "HTTP/1.1 200 OK\r\nid: r1\r\nConnection: close\r\n\r\nid: 2\ndata: b\n\n";
        let script = move |mut stream: TcpStream, _| async move {
            read_request(&mut stream).await;
            stream.write_all(rest.as_bytes()).await.unwrap();
        };
        world.endpoint(script).await;
        let answer = lycheehub_clock::within(ROUTE_MS, world.ask(&stream("/resume/"))).await;
        let answer = answer.expect("the stream does not end");
        expect_that!(answer, ends_with("id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
        until_closed(&closed).await;
    });
}

/// Sends a caller's request that never ends; tells for how long the connection stayed open.
async fn press(world: &World, bytes: Endless, pace: Pace) -> Duration {
    let began = Instant::now();
    let mut caller = world.connect().await;
    send_until_closed(&mut caller, bytes, pace).await;
    began.elapsed()
}

#[gtest]
fn what_a_caller_never_ends_is_given_up() {
    let chunked =
        "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    let trailer: &'static str = String::leak(format!("{chunked}0\r\n"));
    let line: &'static str = String::leak(format!("{chunked}1;x="));
    let requests = [
        endless("", "\r\n"),
        endless("GET /", "x"),
        endless("GET / HTTP/1.1\r\nx: ", "y"),
        endless("GET / HTTP/1.1\r\n", "x: y\r\n"),
        endless(line, "y"),
        endless(trailer, "x: y\r\n"),
    ];
    for bytes in requests {
        run(|world| async move {
            // The limit for a head is 3 s by default; a flood meets that for bytes sooner.
            let took = press(&world, bytes, Pace::Flood).await;
            expect_that!(took, lt(Duration::from_millis(2_500)), "{bytes:?}");
        });
    }
    for bytes in &requests[..4] {
        run(|world| async move {
            let took = press(&world, *bytes, Pace::Drip).await;
            expect_that!(took, lt(Duration::from_millis(6_000)), "{bytes:?}");
        });
    }
}

#[gtest]
fn others_are_answered_beside_a_caller_that_floods() {
    run(|world| async move {
        world.answering(WHOLE).await;
        let address = world.address.clone();
        let flood = async move {
            let mut caller = TcpStream::connect(&address).await.unwrap();
            let part = "\r\n".repeat(2_048);
            while caller.write_all(part.as_bytes()).await.is_ok() {}
        };
        world.executor.spawn(flood).detach();
        sleep_ms(20).await;
        let began = Instant::now();
        expect_that!(world.ask(&get("/unsafe/")).await, ends_with("ok"));
        expect_that!(began.elapsed(), lt(Duration::from_millis(BESIDE_MS)));
    });
}
