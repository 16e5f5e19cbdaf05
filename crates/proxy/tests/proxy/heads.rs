//! Endpoints whose response breaks off at any byte, directly and through another instance.

use crate::paths::{closed_address, cut_off};
use crate::support::{Fixture, get, post, read_request, reset, run, sleep_ms, stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_relay::frames;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

const SEED: u64 = 20_261_205;
/// How long an endpoint is silent within a head, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// The expected time to the first byte, in milliseconds: no attempt counts as stalled within a request's time.
const FIRST_BYTE_MS: u64 = 1_000;
/// How often a request whose endpoint was not reached in time is sent again.
const RESENDS_MAX: u32 = 20;

const LENGTH: &str =
    "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nContent-Length: 11\r\n\r\nfirst whole";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nTransfer-Encoding: chunked\r\n\r\n\
                       6\r\nfirst \r\n5\r\nwhole\r\n0\r\nsum: 1\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\n\r\nfirst whole";
const AFTER_INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nid: r1\r\n\r\n\
    HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nContent-Length: 11\r\n\r\nfirst whole";
const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: true\r\nContent-Length: 4\r\n\r\nfull";
const SECOND: &str =
    "HTTP/1.1 200 OK\r\nid: r1\r\nseal: second\r\nContent-Length: 12\r\n\r\nsecond whole";
const EVENTS: [&str; 3] =
    ["id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"];
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nContent-Type: text/event-stream\r\n";

/// How an endpoint ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
}

/// How the instance reaches its endpoints.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    Relayed,
}

/// What the endpoints do with the first attempt of a request; they answer a second one whole.
struct Plan {
    first: RefCell<Vec<u8>>,
    end: Cell<End>,
    /// Whether the next request is answered whole on a connection that stays open.
    answers_whole: Cell<bool>,
    attempts: Cell<u32>,
    connections: Cell<u32>,
    random: RefCell<SmallRng>,
}

impl Plan {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            first: RefCell::default(),
            end: Cell::new(End::Close),
            answers_whole: Cell::new(false),
            attempts: Cell::new(0),
            connections: Cell::new(0),
            random: RefCell::new(SmallRng::seed_from_u64(SEED)),
        })
    }

    fn set(&self, first: &[u8], end: End) {
        *self.first.borrow_mut() = first.to_vec();
        self.end.set(end);
        self.attempts.set(0);
    }

    async fn serve(self: Rc<Self>, mut connection: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        while let Some(request) = read_request(&mut connection).await {
            if self.answers_whole.get() {
                connection.write_all(LENGTH.as_bytes()).await.unwrap();
                continue;
            }
            self.attempts.set(self.attempts.get() + 1);
            if self.attempts.get() == 1 {
                return self.break_off(connection).await;
            }
            let whole = second_response(&request);
            connection.write_all(whole.as_bytes()).await.unwrap();
        }
    }

    /// Writes the first response in two pieces and ends the connection.
    async fn break_off(&self, mut connection: TcpStream) {
        let first = self.first.borrow().clone();
        connection.set_nodelay(true).unwrap();
        let split = self.random.borrow_mut().random_range(0..=first.len());
        connection.write_all(&first[..split]).await.unwrap();
        smol::future::yield_now().await;
        // The instance may have closed the connection after what it took for a whole response.
        let _ = connection.write_all(&first[split..]).await;
        if self.end.get() == End::Reset {
            reset(connection);
        }
    }
}

/// Returns the whole response to a second attempt: the rest of a stream if the request asks for one.
fn second_response(request: &str) -> String {
    if !request.contains("tokens: ") {
        return SECOND.to_owned();
    }
    let last = request.lines().find_map(|line| line.strip_prefix("last-event-id: "));
    let sent: usize = last.map_or(0, |id| id.parse().unwrap());
    let body = EVENTS[sent..].concat();
    format!("{STREAM_HEAD}Content-Length: {}\r\n\r\n{body}", body.len())
}

async fn add_endpoints(fixture: &Fixture, plan: &Rc<Plan>, way: Way) {
    fixture.placement.first_byte_ms.set(FIRST_BYTE_MS);
    let script = |plan: Rc<Plan>| move |connection, _| plan.clone().serve(connection);
    match way {
        Way::Direct => fixture.add_endpoint(script(plan.clone())).await,
        Way::Relayed => {
            cut_off(fixture, 1, script(plan.clone())).await;
        }
    }
}

/// Cuts a response at each byte, ends the connection in both ways, and passes each result to `check`.
fn cut_at_each_byte(
    recorded: &str,
    request: &str,
    way: Way,
    check: &impl Fn(&str, &Plan, usize, End),
) {
    for end in [End::Close, End::Reset] {
        run(|fixture| async move {
            let plan = Plan::new();
            add_endpoints(&fixture, &plan, way).await;
            for cut in 0..=recorded.len() {
                let response = send_until_reached(&fixture, &plan, request, || {
                    plan.set(&recorded.as_bytes()[..cut], end);
                });
                check(&response.await, &plan, cut, end);
            }
        });
    }
}

/// Sends a request, again if it did not reach its endpoint: on a busy machine a relayed connection is given up
/// before it is made.
async fn send_until_reached(
    fixture: &Fixture,
    plan: &Plan,
    request: &str,
    prepare: impl Fn(),
) -> String {
    for _ in 0..RESENDS_MAX {
        prepare();
        let response = fixture.request(request).await;
        if plan.attempts.get() > 0 {
            return response;
        }
        // What was given up may still arrive at the endpoint.
        sleep_ms(100).await;
    }
    panic!("no endpoint was reached in {RESENDS_MAX} requests");
}

fn cut_on_both_ways(recorded: &str, request: &str, check: impl Fn(&str, &Plan, usize, End)) {
    for way in [Way::Direct, Way::Relayed] {
        cut_at_each_byte(recorded, request, way, &check);
    }
}

fn head_length(response: &str) -> usize {
    response.find("\r\n\r\n").unwrap() + 4
}

/// Returns whether a response ends where its framing says.
fn is_complete(response: &str) -> bool {
    let (head, body) = response.split_at(head_length(response));
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Checks the result of a request that may run once; `is_whole` states whether its response was.
fn check_once(response: &str, plan: &Plan, is_whole: bool) {
    expect_that!(plan.attempts.get(), eq(1));
    if is_whole {
        expect_that!(response, starts_with("HTTP/1.1 200 "));
        expect_that!(response, contains_substring("seal: first"));
        expect_that!(response, ends_with("first whole"));
    } else {
        expect_that!(response, starts_with("HTTP/1.1 502 "));
        expect_that!(response, not(contains_substring("seal")));
    }
    expect_that!(is_complete(response), eq(true));
}

/// Checks the result of a request that may be repeated.
fn check_repeated(response: &str, plan: &Plan, is_whole: bool) {
    let (attempts, number) = if is_whole { (1, "first") } else { (2, "second") };
    expect_that!(plan.attempts.get(), eq(attempts));
    expect_that!(response, starts_with("HTTP/1.1 200 "));
    expect_that!(response, contains_substring(format!("seal: {number}\r\n")));
    expect_that!(response, ends_with(format!("\r\n\r\n{number} whole")));
}

#[gtest]
fn a_response_with_a_length_that_breaks_off_at_any_byte_is_no_answer() {
    let is_whole = |cut| cut == LENGTH.len();
    cut_on_both_ways(LENGTH, &post("/unsafe/", "pay"), |response, plan, cut, _| {
        check_once(response, plan, is_whole(cut));
    });
    cut_on_both_ways(LENGTH, &get("/safe/"), |response, plan, cut, _| {
        check_repeated(response, plan, is_whole(cut));
    });
}

#[gtest]
fn a_response_in_chunks_that_breaks_off_at_any_byte_is_no_answer() {
    let is_whole = |cut| cut == CHUNKED.len();
    cut_on_both_ways(CHUNKED, &post("/unsafe/", "pay"), |response, plan, cut, _| {
        check_once(response, plan, is_whole(cut));
    });
    cut_on_both_ways(CHUNKED, &get("/safe/"), |response, plan, cut, _| {
        check_repeated(response, plan, is_whole(cut));
    });
}

#[gtest]
fn a_response_without_length_is_no_answer_if_it_breaks_off_in_its_head_or_by_a_reset() {
    let head = head_length(UNTIL_CLOSE);
    cut_on_both_ways(UNTIL_CLOSE, &post("/unsafe/", "pay"), |response, plan, cut, end| {
        if end == End::Reset || cut < head {
            return check_once(response, plan, false);
        }
        // The close is the end of such a body.
        expect_that!(response, starts_with("HTTP/1.1 200 "));
        expect_that!(response, ends_with(format!("\r\n\r\n{}", &UNTIL_CLOSE[head..cut])));
    });
}

#[gtest]
fn a_response_after_interim_ones_that_breaks_off_at_any_byte_is_no_answer() {
    let is_whole = |cut| cut == AFTER_INTERIM.len();
    cut_on_both_ways(AFTER_INTERIM, &post("/unsafe/", "pay"), |response, plan, cut, _| {
        check_once(response, plan, is_whole(cut));
    });
    cut_on_both_ways(AFTER_INTERIM, &get("/safe/"), |response, plan, cut, _| {
        check_repeated(response, plan, is_whole(cut));
    });
}

#[gtest]
fn a_refusal_whose_head_breaks_off_does_not_state_that_the_request_has_not_run() {
    let head = head_length(REFUSAL);
    cut_on_both_ways(REFUSAL, &post("/unsafe/", "pay"), |response, plan, cut, _| {
        if cut < head {
            return check_once(response, plan, false);
        }
        expect_that!(plan.attempts.get(), eq(2));
        expect_that!(response, ends_with("second whole"));
    });
}

#[gtest]
fn a_response_that_breaks_off_after_another_one_on_its_connection_is_no_answer() {
    for (path, is_repeated) in [("/unsafe/", false), ("/safe/", true)] {
        for end in [End::Close, End::Reset] {
            run(|fixture| async move {
                let plan = Plan::new();
                add_endpoints(&fixture, &plan, Way::Direct).await;
                let mut reused = 0;
                for cut in 0..LENGTH.len() {
                    plan.answers_whole.set(true);
                    fixture.request(&get("/safe/")).await;
                    let connections = plan.connections.get();
                    plan.answers_whole.set(false);
                    plan.set(&LENGTH.as_bytes()[..cut], end);
                    let response = fixture.request(&post(path, "pay")).await;
                    if is_repeated {
                        check_repeated(&response, &plan, false);
                    } else {
                        check_once(&response, &plan, false);
                        reused += usize::from(plan.connections.get() == connections);
                    }
                }
                // A connection that was idle for too long is not used for a request that may run once.
                expect_that!(is_repeated || reused > LENGTH.len() / 2, eq(true));
            });
        }
    }
}

/// Returns the recorded streams: with a length, in chunks and without length.
fn streams() -> [String; 3] {
    let body = EVENTS.concat();
    let chunk = |event: &&str| format!("{:x}\r\n{event}\r\n", event.len());
    let chunks: String = EVENTS.iter().map(chunk).collect();
    [
        format!("{STREAM_HEAD}Content-Length: {}\r\n\r\n{body}", body.len()),
        format!("{STREAM_HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"),
        format!("{STREAM_HEAD}\r\n{body}"),
    ]
}

/// Returns whether a stream without length ends after an event.
fn ends_after_event(cut: &str) -> bool {
    cut.len() > head_length(STREAM_HEAD_ONLY) && cut.ends_with("\n\n")
}

const STREAM_HEAD_ONLY: &str =
    "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nContent-Type: text/event-stream\r\n\r\n";

fn is_stream_whole(recorded: &str, cut: usize, end: End) -> bool {
    let has_length = !recorded.starts_with(STREAM_HEAD_ONLY);
    if has_length {
        cut == recorded.len()
    } else {
        end == End::Close && ends_after_event(&recorded[..cut])
    }
}

#[gtest]
fn a_stream_that_breaks_off_at_any_byte_does_not_look_complete() {
    for recorded in streams() {
        cut_on_both_ways(&recorded, &stream("/stream/"), |response, plan, cut, end| {
            expect_that!(plan.attempts.get(), eq(1));
            if is_stream_whole(&recorded, cut, end) || response.starts_with("HTTP/1.1 502 ") {
                expect_that!(is_complete(response), eq(true));
                expect_that!(response.contains("seal"), eq(response.contains(EVENTS[0])));
                return;
            }
            expect_that!(response, starts_with("HTTP/1.1 200 "));
            expect_that!(response, contains_substring(EVENTS[0]));
            expect_that!(is_complete(response), eq(false), "{cut} {response}");
        });
    }
}

#[gtest]
fn a_stream_that_breaks_off_at_any_byte_is_continued_without_a_gap_or_a_repetition() {
    for recorded in streams() {
        cut_on_both_ways(&recorded, &stream("/resume/"), |response, plan, cut, end| {
            let is_whole = is_stream_whole(&recorded, cut, end);
            expect_that!(plan.attempts.get(), eq(if is_whole { 1 } else { 2 }), "{cut} {response}");
            expect_that!(response, starts_with("HTTP/1.1 200 "));
            // A second endpoint that has nothing to add does not show that the stream was whole.
            let has_rest = !EVENTS.iter().all(|event| recorded[..cut].contains(event));
            expect_that!(is_complete(response), eq(is_whole || has_rest), "{cut} {response}");
            let has_length = !recorded.starts_with(STREAM_HEAD_ONLY);
            for event in EVENTS {
                let expected =
                    usize::from(has_length || !is_whole || recorded[..cut].contains(event));
                expect_that!(response.matches(event).count(), eq(expected), "{cut} {response}");
            }
        });
    }
}

#[gtest]
fn a_head_that_comes_byte_by_byte_with_a_pause_of_a_second_is_waited_for() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut connection, _| async move {
                read_request(&mut connection).await;
                for (position, byte) in LENGTH.bytes().enumerate() {
                    connection.write_all(&[byte]).await.unwrap();
                    smol::future::yield_now().await;
                    if position == 40 {
                        sleep_ms(SILENCE_MS).await;
                    }
                }
            })
            .await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 200 "));
        expect_that!(response, ends_with("first whole"));
    });
}

#[gtest]
fn a_head_that_breaks_off_after_a_pause_of_a_second_is_no_answer() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut connection, _| async move {
                read_request(&mut connection).await;
                let (begun, rest) = LENGTH.as_bytes().split_at(40);
                connection.write_all(begun).await.unwrap();
                sleep_ms(SILENCE_MS).await;
                connection.write_all(&rest[..rest.len() / 2]).await.unwrap();
            })
            .await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 502 "));
        expect_that!(*fixture.placement.outcomes.borrow(), elements_are![eq(&Outcome::Broken)]);
    });
}

/// Returns a response as a relay passes it on, in two frames and the last one.
fn framed(response: &str) -> Vec<u8> {
    let (first, second) = response.as_bytes().split_at(response.len() / 2);
    let mut all = Vec::new();
    for part in [first, second, &[]] {
        all.extend_from_slice(&frames::header(part.len()));
        all.extend_from_slice(part);
    }
    all
}

#[gtest]
fn a_response_without_length_is_no_answer_if_its_relay_breaks_off_at_any_byte() {
    for end in [End::Close, End::Reset] {
        run(|fixture| async move {
            let plan = Plan::new();
            fixture.add_endpoint(|_, _| std::future::pending()).await;
            let script = plan.clone();
            fixture.add_endpoint(move |connection, _| script.clone().serve(connection)).await;
            let address = fixture.placement.addresses.borrow_mut().pop();
            *fixture.relays.framed_address.borrow_mut() = address;
            fixture.placement.addresses.replace(vec![closed_address().await]);
            let all = framed(UNTIL_CLOSE);
            for cut in 0..=all.len() {
                let request = post("/unsafe/", "pay");
                let prepare = || plan.set(&all[..cut], end);
                let response = send_until_reached(&fixture, &plan, &request, prepare).await;
                check_once(&response, &plan, cut == all.len());
            }
        });
    }
}

// The failed write took the report of the reset, with the head still incomplete.
#[gtest]
fn a_response_without_length_is_not_complete_if_a_write_met_the_reset_within_its_head() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut connection, _| async move {
                connection.read_exact(&mut [0; 64]).await.unwrap();
                let (begun, rest) = UNTIL_CLOSE.as_bytes().split_at(40);
                connection.write_all(begun).await.unwrap();
                sleep_ms(20).await;
                connection.write_all(rest).await.unwrap();
                reset(connection);
            })
            .await;
        let body = "x".repeat(4_000_000);
        for _ in 0..20 {
            let response = fixture.request(&post("/unsafe/", &body)).await;
            expect_that!(response, starts_with("HTTP/1.1 502 "));
        }
    });
}
