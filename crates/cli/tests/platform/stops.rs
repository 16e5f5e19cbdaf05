//! Callers that use their connections to an entry instance until it has exited.

use crate::deployment::http::field;
use crate::deployment::{Deployment, FRONT_PORT, StopOnDrop, eventually};
use crate::support::{Endpoint, announce, next_id};
use crate::{document, put_document, start_deployment};
use googletest::prelude::*;
use serde_json::json;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long callers wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long callers send before the signal.
const WARM_UP: Duration = Duration::from_millis(700);
/// The longest stop: the stop timeout of the deployment.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// What a caller asks for, and how long it leaves its connection idle before it uses it again.
#[derive(Clone, Copy)]
pub struct Pattern {
    pub path: &'static str,
    pub idle: Duration,
}

/// How one request ended for its caller.
#[derive(Clone, Debug)]
pub struct Ending {
    pub id: String,
    /// The status; 0 if no byte of a response came.
    pub status: u16,
    /// Whether the whole response came.
    is_whole: bool,
    /// Since the signal, in seconds; shown if a check fails.
    #[allow(dead_code, reason = "read by `Debug`")]
    sent_s: f64,
}

/// Reads one response; returns its head and whether its body is whole.
fn read_response(stream: &mut TcpStream) -> Result<(String, bool)> {
    let (mut bytes, mut byte) = (Vec::new(), [0; 1]);
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    if let Some(length) = field(&head, "content-length") {
        let mut body = vec![0; length.parse().expect("a number")];
        return Ok((head, stream.read_exact(&mut body).is_ok()));
    }
    let mut body = Vec::new();
    while !body.ends_with(b"0\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return Ok((head, false));
        }
        body.push(byte[0]);
    }
    Ok((head, true))
}

fn request(path: &str, id: &str, deadline_ms: Option<u64>) -> String {
    let deadline = deadline_ms.map(|ms| format!("Deadline-Ms: {ms}\r\n")).unwrap_or_default();
    format!(
        "POST {path} HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n{deadline}\
         X-Api-Key: key-1\r\nContent-Length: 5\r\n\r\nlabel"
    )
}

/// Sends requests one after the other, each on the connection of the one before unless its response ends
/// that, until no connection can be opened; returns how they ended.
pub fn use_connections(
    address: &str,
    pattern: Pattern,
    signalled: &Mutex<Option<Instant>>,
) -> Vec<Ending> {
    let mut endings = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        let mut keeps_alive = true;
        while keeps_alive {
            std::thread::sleep(pattern.idle);
            let id = next_id();
            let sent_s = signalled.lock().unwrap().map_or(-1.0, |at| at.elapsed().as_secs_f64());
            let sent = stream.write_all(request(pattern.path, &id, Some(5_000)).as_bytes());
            let response = sent.and_then(|()| read_response(&mut stream));
            let (status, is_whole) = match &response {
                Ok((head, is_whole)) => (head[9..12].parse().expect("a status"), *is_whole),
                Err(_) => (0, false),
            };
            let connection = response.ok().and_then(|(head, _)| field(&head, "connection"));
            keeps_alive = connection.is_some_and(|value| value == "keep-alive");
            endings.push(Ending { id, status, is_whole, sent_s });
        }
    }
    endings
}

/// Stops the first entry instance while callers use it; returns how their requests ended, and how long the
/// stop took.
fn stop_beside(
    deployment: &mut Deployment,
    endpoint: &Endpoint,
    patterns: &[Pattern],
    signals: &[&str],
) -> (Vec<Ending>, Duration) {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    let (signalled, is_stopped) = (Mutex::new(None), AtomicBool::new(false));
    let mut stopping = deployment.entries.remove(0);
    let deployment = &*deployment;
    std::thread::scope(|scope| {
        let (signalled, is_stopped) = (&signalled, &is_stopped);
        let stop = StopOnDrop(is_stopped);
        scope.spawn(move || {
            let mut sequence = 10;
            while !is_stopped.load(Ordering::Relaxed) {
                sequence += 1;
                announce(deployment, 0, endpoint, sequence, "ready");
                std::thread::sleep(Duration::from_millis(800));
            }
        });
        let send = |pattern: &Pattern| {
            let (address, pattern) = (address.clone(), *pattern);
            scope.spawn(move || use_connections(&address, pattern, signalled))
        };
        let callers: Vec<_> = patterns.iter().map(send).collect();
        std::thread::sleep(WARM_UP);
        let started = Instant::now();
        *signalled.lock().unwrap() = Some(started);
        for signal in signals {
            stopping.signal(signal);
            std::thread::sleep(Duration::from_millis(100));
        }
        let status = stopping.exits_within(STOP_TIMEOUT);
        let duration = started.elapsed();
        drop(stop);
        expect_that!(status.map(|status| status.success()), eq(Some(true)));
        let endings = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
        (endings, duration)
    })
}

/// Returns the requests that got neither a whole response nor a refusal.
pub fn unanswered(endings: &[Ending]) -> Vec<Ending> {
    endings.iter().filter(|ending| !ending.is_whole).cloned().collect()
}

/// Checks that each request ran as often as its status guarantees.
fn check_runs(endings: &[Ending], endpoint: &Endpoint) {
    for ending in endings {
        let runs = endpoint.runs_of(&ending.id);
        match ending.status {
            200 => expect_that!(runs, eq(1), "{ending:?}"),
            408 | 429 | 503 => expect_that!(runs, eq(0), "{ending:?}"),
            _ => expect_that!(runs, le(1), "{ending:?}"),
        }
    }
}

/// Callers that pause for 20 to 400 ms between requests.
fn pausing_callers(path: &'static str, count: u64) -> Vec<Pattern> {
    let idle_ms = |number| 20 + number * 380 / count;
    (0..count)
        .map(|number| Pattern { path, idle: Duration::from_millis(idle_ms(number)) })
        .collect()
}

// The idle connections of a stopping instance were closed all at once, whatever their callers were sending.
#[gtest]
fn a_request_on_an_open_connection_of_a_stopping_instance_gets_a_response() {
    let (mut deployment, endpoint) = start_deployment();
    let callers = pausing_callers("/print/1", 24);
    let (endings, _) = stop_beside(&mut deployment, &endpoint, &callers, &["TERM"]);
    expect_that!(unanswered(&endings), is_empty());
    check_runs(&endings, &endpoint);
}

// A stream that ended after the idle connections had been closed left a connection that was closed at once,
// although the head of its response promised to keep it open.
#[gtest]
fn a_request_after_a_stream_that_promised_to_keep_its_connection_gets_a_response() {
    let (mut deployment, endpoint) = start_deployment();
    let callers = pausing_callers("/draft/long", 6);
    let (endings, _) = stop_beside(&mut deployment, &endpoint, &callers, &["TERM"]);
    expect_that!(unanswered(&endings), is_empty());
    check_runs(&endings, &endpoint);
}

/// A request that is sent at some moment of a stop.
#[derive(Clone, Copy)]
struct Late {
    path: &'static str,
    deadline_ms: Option<u64>,
    /// Whether it is sent on a connection that was used before the stop.
    reuses: bool,
    /// How long sending its body takes.
    body_takes: Duration,
    /// When it is sent, after the signal.
    at: Duration,
}

fn connect_and_wait(address: &str, late: Late) -> Option<TcpStream> {
    let connect = || {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        Some(stream)
    };
    if !late.reuses {
        std::thread::sleep(WARM_UP + late.at);
        return connect();
    }
    let mut stream = connect()?;
    stream.write_all(request("/print/1", &next_id(), Some(5_000)).as_bytes()).ok()?;
    read_response(&mut stream).ok()?;
    std::thread::sleep(WARM_UP + late.at);
    Some(stream)
}

/// Sends a request in the stop; returns how it ended, unless no connection could be opened.
fn send_late(address: &str, late: Late) -> Option<Ending> {
    let mut stream = connect_and_wait(address, late)?;
    let id = next_id();
    let text = request(late.path, &id, late.deadline_ms);
    let (first, second) = text.split_at(text.len() - 2);
    let sent = stream.write_all(first.as_bytes()).and_then(|()| {
        std::thread::sleep(late.body_takes);
        // Refused before it was whole.
        let _ = stream.write_all(second.as_bytes());
        read_response(&mut stream)
    });
    let (status, is_whole) = match &sent {
        Ok((head, is_whole)) => (head[9..12].parse().expect("a status"), *is_whole),
        Err(_) => (0, false),
    };
    Some(Ending { id, status, is_whole, sent_s: late.at.as_secs_f64() })
}

/// Requests at each tenth of a second of a stop, on old and new connections, of five kinds in turn.
fn late_requests() -> Vec<Late> {
    const MOMENTS: u64 = 73;
    let kinds = [
        ("/print/1", Some(400)),
        ("/hold/1", None),
        ("/press/1", Some(1_000)),
        ("/print/slow", None),
        ("/draft/1", None),
    ];
    let late = |number: u64| {
        let (path, deadline_ms) = kinds[(number / 2 % 5) as usize];
        let body_takes = Duration::from_millis(if number.is_multiple_of(7) { 700 } else { 0 });
        let at = Duration::from_millis(number / 2 * 100);
        Late { path, deadline_ms, reuses: number.is_multiple_of(2), body_takes, at }
    };
    (0..MOMENTS * 2).map(late).collect()
}

/// Adds a route whose requests outlast a stop.
fn add_hold_route(deployment: &Deployment) {
    let mut with_hold = document(4);
    with_hold["routes"].as_array_mut().expect("a list").push(json!({
        "name": "hold", "hostname": "crates.example", "path_prefix": "/hold/", "kind": "unsafe",
        "timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "service": "labels",
        "max_attempts": 2,
    }));
    eventually("the document is acknowledged", || {
        put_document(deployment, 0, &with_hold).status == 200
    });
}

// Requests that nothing bounds were taken in the first seconds of a stop and cut without a response at its
// end, also those that must not be repeated; those on open connections met a close.
#[gtest]
fn a_request_that_comes_late_in_a_stop_ends_whole_or_is_told_whether_it_may_have_run() {
    let (deployment, endpoint) = start_deployment();
    add_hold_route(&deployment);
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    let mut deployment = deployment;
    let late = late_requests();
    let (endings, late_endings) = std::thread::scope(|scope| {
        let send = |late: &Late| {
            let (address, late) = (address.clone(), *late);
            scope.spawn(move || send_late(&address, late))
        };
        let callers: Vec<_> = late.iter().map(send).collect();
        let signals = ["TERM", "HUP", "TERM"];
        let (endings, _) = stop_beside(&mut deployment, &endpoint, &[], &signals);
        let late_endings: Vec<_> =
            callers.into_iter().filter_map(|caller| caller.join().unwrap()).collect();
        (endings, late_endings)
    });
    expect_that!(endings, is_empty());
    expect_that!(late_endings.len(), ge(late.len() * 9 / 10));
    expect_that!(unanswered(&late_endings), is_empty());
    let is_refused = |ending: &&Ending| ending.status == 503;
    expect_that!(late_endings.iter().filter(is_refused).count(), gt(0));
    check_runs(&late_endings, &endpoint);
}

/// Opens a connection that stays idle; returns what came on it, and how long after the signal it closed.
fn idle_until_closed(address: &str, signalled: Instant) -> (String, Duration) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    let mut last = String::new();
    stream.read_to_string(&mut last).expect("the end of the connection");
    (last, signalled.elapsed())
}

// One long request kept all idle connections open, and they were closed in one moment as the process exited.
#[gtest]
fn idle_connections_close_before_the_end_of_a_stop_although_a_request_still_runs() {
    const CLOSED_AFTER: Duration = Duration::from_secs(6);
    let (mut deployment, _endpoint) = start_deployment();
    add_hold_route(&deployment);
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    std::thread::sleep(WARM_UP);
    let mut long = TcpStream::connect(&address).unwrap();
    long.write_all(request("/hold/1", &next_id(), None).as_bytes()).unwrap();
    let mut stopping = deployment.entries.remove(0);
    std::thread::scope(|scope| {
        let signalled = Instant::now() + WARM_UP;
        let address = &address;
        let idle = move || idle_until_closed(address, signalled);
        let callers: Vec<_> = (0..12).map(|_| scope.spawn(idle)).collect();
        std::thread::sleep(WARM_UP);
        stopping.signal("TERM");
        for caller in callers {
            let (last, closed_after) = caller.join().unwrap();
            expect_that!(last, starts_with("HTTP/1.1 408 "));
            expect_that!(closed_after, lt(CLOSED_AFTER));
        }
        expect_that!(stopping.exits_within(STOP_TIMEOUT).is_some(), eq(true));
        expect_that!(signalled.elapsed(), gt(CLOSED_AFTER));
    });
}
