//! A request on which endpoints crash reaches a few endpoints only, whatever its kind and whatever instance
//! it comes to, and sound requests are served on.

use crate::FRONT_PORT;
use crate::crashing_engine::{Observed, Reaction, start_with};
use crate::deployment::http::field;
use crate::deployment::{Deployment, Reply, call};
use crate::support::next_id;
use crate::trace::trace;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How many attempts may reach endpoints later than the platform's time of contact after the crash from
/// which on it counts.
const FURTHER_MAX: usize = 3;
const COUNTED_CRASH: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The routes: unsafe, safe, and streams that crash an endpoint as it begins, or after some events.
const ROUTES: [&str; 4] = ["commit", "lookup", "draft", "late"];

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Crashes on one path of each route, which is what it is counted under.
fn behavior(head: &str) -> (Reaction, String) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let route = path.split('/').nth(1).unwrap_or_default();
    let is_whole = matches!(route, "commit" | "lookup");
    let reaction = match path.contains("crashing") {
        false if is_whole => Reaction::Whole,
        false => Reaction::Stream,
        true if route == "late" => Reaction::CrashLate,
        true => Reaction::Crash,
    };
    (reaction, route.to_owned())
}

fn document() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "hostname": "crates.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 0,
            "service": "writer", "max_attempts": 2, "stream_resume": name == "late",
            "target_gap_ms": 250,
        })
    };
    json!({
        "version": 3,
        "routes": [route("commit", "unsafe"), route("lookup", "safe"), route("draft", "streaming"),
                   route("late", "streaming")],
        "services": [{ "name": "writer", "health_path": "/health",
                       "engine": { "slots": 8, "kv_capacity_tokens": 400_000, "stride": 5 } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] }],
    })
}

/// Sends a request; the order of its header fields differs from one to the next.
fn send(deployment: &Deployment, entry: usize, route: &str, (path, body): (&str, &str)) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[entry].ip);
    let id = next_id();
    let method = if route == "lookup" { "GET" } else { "POST" };
    let mut fields = vec![
        format!("Request-Id: {id}"),
        "Deadline-Ms: 5000".to_owned(),
        "X-Api-Key: key-1".to_owned(),
        format!("Content-Length: {}", body.len()),
    ];
    if matches!(route, "draft" | "late") {
        fields.push("Model: m".to_owned());
        fields.push("Token-Usage: 600,20".to_owned());
    }
    let count = fields.len();
    fields.rotate_left(id.len() % count);
    let request = format!(
        "{method} /{route}/{path} HTTP/1.1\r\nHost: crates.example\r\nConnection: close\r\n{}\r\n\r\n{body}",
        fields.join("\r\n")
    );
    call(&address, &request, CALL_TIMEOUT).unwrap_or_default()
}

fn send_sound(deployment: &Deployment, entry: usize, route: &str) -> Reply {
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    send(deployment, entry, route, (&format!("sound?number={number}"), ""))
}

fn is_served(reply: &Reply) -> bool {
    reply.status == 200 && (reply.body.ends_with("0\r\n\r\n") || reply.body == "done")
}

/// Starts a deployment whose entry instances serve sound requests.
fn start() -> (Deployment, Arc<Observed>) {
    start_with(&document(), behavior, |deployment, entry| {
        ROUTES.iter().all(|route| is_served(&send_sound(deployment, entry, route)))
    })
}

/// Sends the crashing request of each route, and sound requests, through all entry instances for
/// `duration`; returns the replies to the crashing ones, and how many sound ones were sent and served.
fn send_load(deployment: &Deployment, duration: Duration) -> (Vec<Reply>, usize, usize) {
    let until = Instant::now() + duration;
    let replies = Mutex::new(Vec::new());
    let (sent, served) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for entry in 0..deployment.entries.len() {
            let (replies, sent, served) = (&replies, &sent, &served);
            for route in ROUTES {
                scope.spawn(move || {
                    while Instant::now() < until {
                        let body = if route == "lookup" { "" } else { "the same body" };
                        let reply = send(deployment, entry, route, ("crashing?x=1", body));
                        replies.lock().unwrap().push(reply);
                        std::thread::sleep(Duration::from_millis(400));
                    }
                });
                scope.spawn(move || {
                    while Instant::now() < until {
                        let reply = send_sound(deployment, entry, route);
                        sent.fetch_add(1, Ordering::Relaxed);
                        served.fetch_add(u64::from(is_served(&reply)), Ordering::Relaxed);
                        std::thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        }
    });
    let (sent, served) = (sent.into_inner() as usize, served.into_inner() as usize);
    (replies.into_inner().unwrap(), sent, served)
}

#[gtest]
fn a_request_that_crashes_endpoints_is_kept_from_them_whatever_its_kind() {
    let (deployment, observed) = start();
    let (mut replies, ..) = send_load(&deployment, Duration::from_secs(8));
    let (more, sent, served) = send_load(&deployment, Duration::from_secs(8));
    replies.extend(more);
    for route in ROUTES {
        expect_that!(observed.crashes(route), ge(1), "{route}");
        expect_that!(observed.further(route, COUNTED_CRASH), le(FURTHER_MAX), "{route}");
    }
    expect_that!(sent, ge(100));
    expect_that!(served * 10, ge(sent * 9), "{served} of {sent}");
    let refused_id = replies.iter().rfind(|reply| reply.status == 503).expect("one is refused");
    let text = trace(&deployment, refused_id, &[]);
    expect_that!(text, contains_regex("crashed on (the|this) request"));
    expect_that!(refused_id.body, contains_substring("endpoints crash on this request"));
    for reply in replies.iter().filter(|reply| reply.status == 503) {
        expect_that!(field(&reply.head, "retry-after"), some(anything()));
    }
}
