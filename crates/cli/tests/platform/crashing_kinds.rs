//! Kinds of requests on which endpoints crash beside the plain ones: with an idempotency key, of a batch, of
//! an endpoint, continuing a stream; and requests that must not be taken for one.

use crate::crashing_engine::{Engine, Observed, Reaction};
use crate::deployment::http::field;
use crate::deployment::{Deployment, Layout, Reply, call, eventually};
use crate::support::next_id;
use crate::{FRONT_PORT, has_logged, put_document};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How many attempts may reach endpoints later than the platform's time of contact after the crash from
/// which on it counts.
const FURTHER_MAX: usize = 3;
const COUNTED_CRASH: usize = 3;
const ENDPOINTS: usize = 8;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The kinds that crash endpoints, each with a route of its own.
const CRASHING_KINDS: [&str; 4] = ["keyed", "batch", "call", "resumed"];

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Crashes on one path of each route if the request comes from the first client account.
fn behavior(head: &str) -> (Reaction, String) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let route = path.split('/').nth(1).unwrap_or_default();
    let is_first_account = field(head, "tenant").as_deref() == Some("packhouse");
    let reaction = match path.rsplit('/').next().unwrap_or_default() {
        "crashing" if !is_first_account => Reaction::Whole,
        "unframed" => Reaction::CrashUnframed,
        "crashing" if route == "resumed" => Reaction::CrashLate,
        "crashing" => Reaction::Crash,
        "freezing" => Reaction::Freeze,
        _ if route == "resumed" => Reaction::Stream,
        _ => Reaction::Whole,
    };
    (reaction, route.to_owned())
}

fn document() -> Value {
    let route = |name: &str, kind: &str, timeout_ms: u64, priority: u8| {
        json!({
            "name": name, "hostname": "crates.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 1000,
            "priority": priority, "service": "writer", "max_attempts": 2,
            "stream_resume": true, "target_gap_ms": 250,
        })
    };
    json!({
        "version": 3,
        "routes": [route("keyed", "unsafe", 5_000, 1), route("batch", "safe", 60_000, 4),
                   route("call", "safe", 3_000, 0), route("resumed", "streaming", 5_000, 0)],
        "services": [{ "name": "writer", "health_path": "/health",
                       "engine": { "slots": 8, "kv_capacity_tokens": 400_000, "stride": 5 } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] },
                    { "name": "orchard", "api_keys": ["key-2"] }],
    })
}

/// Returns the header fields that a kind has beside the usual ones; they differ from one repeat to the next.
fn fields_of(route: &str) -> String {
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    match route {
        "keyed" => format!("Idempotency-Key: k{number}\r\n"),
        "batch" => format!("Deadline-Ms: {}\r\n", 50_000 - number),
        "call" => format!("Deadline-Ms: 2500\r\nX-Called-By: e{number}\r\n"),
        _ => format!(
            "Deadline-Ms: 5000\r\nModel: m\r\nToken-Usage: 600,20\r\nLast-Event-Id: {}\r\n",
            number % 3
        ),
    }
}

fn send(deployment: &Deployment, entry: usize, key: &str, (path, body): (&str, &str)) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[entry].ip);
    let fields = fields_of(path.split('/').nth(1).unwrap_or_default());
    let id = next_id();
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: crates.example\r\nConnection: close\r\nRequest-Id: {id}\r\n\
         X-Api-Key: {key}\r\nContent-Length: {length}\r\n{fields}\r\n{body}"
    );
    call(&address, &request, CALL_TIMEOUT).unwrap_or_default()
}

fn is_quarantined(reply: &Reply) -> bool {
    reply.body.contains("endpoints crash on this request")
}

/// Starts a deployment whose entry instances serve requests of all routes.
fn start() -> (Deployment, Arc<Observed>) {
    let deployment =
        Deployment::start(Layout { controls: 3, entries: 2, losses: 1, proxied: false });
    eventually("the document is acknowledged", || {
        put_document(&deployment, 0, &document()).status == 200
    });
    let observed = Arc::new(Observed::default());
    (0..ENDPOINTS).for_each(|number| Engine::run(number, &deployment, &observed, behavior));
    for entry in 0..2 {
        eventually("the entry instance is ready", || deployment.ready(entry) == 200);
        eventually("a request is answered", || {
            send(&deployment, entry, "key-1", ("/batch/sound", "")).status == 200
        });
    }
    eventually("the leader places requests", || has_logged(&deployment, "placed by the leader"));
    (deployment, observed)
}

/// Repeats requests through both entry instances for `duration`; returns the replies to each.
fn repeat(
    deployment: &Deployment,
    requests: &[(&str, (&str, &str))],
    duration: Duration,
) -> Vec<Vec<Reply>> {
    let until = Instant::now() + duration;
    let replies: Vec<Mutex<Vec<Reply>>> = requests.iter().map(|_| Mutex::default()).collect();
    std::thread::scope(|scope| {
        for entry in 0..deployment.entries.len() {
            for (&(key, target), replies) in requests.iter().zip(&replies) {
                scope.spawn(move || {
                    while Instant::now() < until {
                        let reply = send(deployment, entry, key, target);
                        replies.lock().unwrap().push(reply);
                        std::thread::sleep(REPEAT_INTERVAL);
                    }
                });
            }
        }
    });
    replies.into_iter().map(|replies| replies.into_inner().unwrap()).collect()
}

#[gtest]
fn a_crashing_request_with_a_key_of_a_batch_of_an_endpoint_or_of_a_resumed_stream_is_kept_away() {
    let (deployment, observed) = start();
    let paths = CRASHING_KINDS.map(|kind| format!("/{kind}/crashing"));
    let requests: Vec<(&str, (&str, &str))> =
        paths.iter().map(|path| ("key-1", (path.as_str(), "the same body"))).collect();
    let replies = repeat(&deployment, &requests, Duration::from_secs(20));
    for (kind, replies) in CRASHING_KINDS.iter().zip(&replies) {
        expect_that!(observed.crashes(kind), ge(COUNTED_CRASH), "{kind}");
        expect_that!(observed.further(kind, COUNTED_CRASH), le(FURTHER_MAX), "{kind}");
        expect_that!(replies.iter().filter(|reply| is_quarantined(reply)).count(), ge(1), "{kind}");
    }
}

#[gtest]
fn a_request_that_differs_from_a_crashing_one_in_account_path_or_body_is_served() {
    let (deployment, observed) = start();
    let requests = [
        ("key-1", ("/batch/crashing", "the same body")),
        ("key-2", ("/batch/crashing", "the same body")),
        ("key-1", ("/batch/sound", "the same body")),
        ("key-1", ("/batch/sound", "another body")),
    ];
    let replies = repeat(&deployment, &requests, Duration::from_secs(12));
    expect_that!(observed.crashes("batch"), ge(2));
    for (request, replies) in requests.iter().zip(&replies).skip(1) {
        let served = replies.iter().filter(|reply| reply.status == 200).count();
        expect_that!(replies.iter().filter(|reply| is_quarantined(reply)).count(), eq(0));
        expect_that!(served * 10, ge(replies.len() * 9), "{request:?}: {served}");
    }
}

#[gtest]
fn a_request_whose_endpoints_are_silent_for_a_second_is_not_taken_for_a_crashing_one() {
    let (deployment, _observed) = start();
    let paths = ["/keyed/freezing", "/batch/freezing"];
    let requests = paths.map(|path| ("key-1", (path, "the same body")));
    let replies = repeat(&deployment, &requests, Duration::from_secs(12));
    for replies in &replies {
        expect_that!(replies.iter().filter(|reply| reply.status == 200).count(), ge(5));
        expect_that!(replies.iter().filter(|reply| is_quarantined(reply)).count(), eq(0));
    }
    expect_that!(has_logged(&deployment, "request quarantined"), eq(false));
}

#[gtest]
fn a_crash_within_an_answer_without_length_does_not_clear_its_request() {
    let (deployment, observed) = start();
    let requests = [("key-1", ("/batch/unframed", "the same body"))];
    repeat(&deployment, &requests, Duration::from_secs(16));
    expect_that!(observed.crashes("batch"), ge(COUNTED_CRASH));
    expect_that!(observed.further("batch", COUNTED_CRASH), le(FURTHER_MAX));
}
