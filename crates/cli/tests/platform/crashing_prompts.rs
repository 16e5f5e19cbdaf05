//! A part of prompts on which endpoints crash reaches a few endpoints only, whatever instance its
//! requests come to, and sound requests are served on.

use crate::crashing_engine::{Observed, Reaction, start_with};
use crate::deployment::http::field;
use crate::deployment::{Deployment, Process, Reply, call, eventually};
use crate::support::next_id;
use crate::trace::trace;
use crate::{FRONT_PORT, times_logged_ms};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The part on which endpoints crash.
const CRASHING_PART: &str = "dead0001";
/// A part that crashing and sound requests share.
const SHARED_PART: &str = "5afe0001";
/// How many requests with the part may reach endpoints after that.
const FURTHER_MAX: usize = 3;
/// The crash from which on the time counts, of those on the part.
const COUNTED_CRASH: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Crashes on the part.
fn behavior(head: &str) -> (Reaction, String) {
    let prefix = field(head, "prompt-prefix").unwrap_or_default();
    match prefix.contains(CRASHING_PART) {
        true => (Reaction::Crash, CRASHING_PART.to_owned()),
        false => (Reaction::Stream, String::new()),
    }
}

fn document() -> Value {
    let route = |name: &str, is_resumable: bool| {
        json!({
            "name": name, "hostname": "crates.example", "path_prefix": format!("/{name}/"),
            "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 0,
            "service": "writer", "max_attempts": 2, "stream_resume": is_resumable,
            "target_gap_ms": 250,
        })
    };
    json!({
        "version": 3,
        "routes": [route("draft", false), route("tell", true)],
        "services": [{ "name": "writer", "health_path": "/health",
                       "engine": { "slots": 8, "kv_capacity_tokens": 400_000, "stride": 5 } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] }],
    })
}

fn send_prompt(deployment: &Deployment, entry: usize, route: &str, prefix: &str) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[entry].ip);
    let id = next_id();
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 5000\r\nX-Api-Key: key-1\r\nModel: m\r\nToken-Usage: 600,20\r\n\
         Prompt-Prefix: {prefix}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    call(&address, &request, CALL_TIMEOUT).unwrap_or_default()
}

/// Returns a part that no other prompt has.
fn own_part() -> String {
    format!("{:x}:40", 0x1000_0000 + NUMBERS.fetch_add(1, Ordering::Relaxed))
}

fn sound_prompt() -> String {
    format!("{SHARED_PART}:60,{}", own_part())
}

/// Returns the prompts with the crashing part: in the first or a middle place.
fn crashing_prompt(number: usize) -> String {
    match number % 2 {
        0 => format!("{SHARED_PART}:60,{CRASHING_PART}:80,{}", own_part()),
        _ => format!("{CRASHING_PART}:80,{SHARED_PART}:60,{},{}", own_part(), own_part()),
    }
}

/// Returns whether a stream arrived whole.
fn is_served(reply: &Reply) -> bool {
    reply.status == 200 && reply.body.ends_with("0\r\n\r\n")
}

/// Starts a deployment whose entry instances serve sound requests.
fn start() -> (Deployment, Arc<Observed>) {
    start_with(&document(), behavior, |deployment, entry| {
        is_served(&send_prompt(deployment, entry, "draft", &sound_prompt()))
    })
}

/// How many sound requests were sent, and how many were served.
#[derive(Default)]
struct Sound {
    sent: AtomicU64,
    served: AtomicU64,
}

/// Sends crashing and sound requests through all entry instances for `duration`; returns the replies to
/// the crashing ones.
fn send_load(deployment: &Deployment, duration: Duration, sound: &Sound) -> Vec<Reply> {
    let until = Instant::now() + duration;
    let replies = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for entry in 0..deployment.entries.len() {
            let replies = &replies;
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let route = if number % 3 == 0 { "tell" } else { "draft" };
                    let reply = send_prompt(deployment, entry, route, &crashing_prompt(number));
                    replies.lock().unwrap().push(reply);
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
            for _ in 0..4 {
                scope.spawn(move || {
                    while Instant::now() < until {
                        let reply = send_prompt(deployment, entry, "draft", &sound_prompt());
                        sound.sent.fetch_add(1, Ordering::Relaxed);
                        sound.served.fetch_add(u64::from(is_served(&reply)), Ordering::Relaxed);
                        std::thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        }
    });
    replies.into_inner().unwrap()
}

fn expect_mostly_served(sound: &Sound) {
    let (sent, served) = (sound.sent.load(Ordering::Relaxed), sound.served.load(Ordering::Relaxed));
    expect_that!(sent, ge(100));
    expect_that!(served * 10, ge(sent * 9), "{served} of {sent}");
}

#[gtest]
fn a_part_that_crashes_endpoints_is_kept_from_them_and_sound_requests_are_served() {
    let (deployment, observed) = start();
    send_load(&deployment, Duration::from_secs(8), &Sound::default());
    let sound = Sound::default();
    let replies = send_load(&deployment, Duration::from_secs(6), &sound);
    expect_that!(observed.crashes(CRASHING_PART), ge(1));
    expect_that!(observed.further(CRASHING_PART, COUNTED_CRASH), le(FURTHER_MAX));
    expect_mostly_served(&sound);
    let refused_id = replies.iter().rfind(|reply| reply.status == 503).expect("one is refused");
    let text = trace(&deployment, refused_id, &[]);
    expect_that!(text, contains_substring("endpoints crashed on prompts with the parts dead0001"));
    // Refused as not run, and truthfully so; the caller is told when to come back.
    let refused = replies.iter().filter(|reply| reply.status == 503);
    expect_that!(refused.clone().count(), ge(replies.len().saturating_sub(FURTHER_MAX)));
    for reply in refused {
        expect_that!(field(&reply.head, "retry-after"), some(anything()));
    }
}

#[gtest]
fn a_crashing_part_stays_known_through_a_change_of_leader_a_restart_and_without_a_leader() {
    let (mut deployment, observed) = start();
    send_load(&deployment, Duration::from_secs(8), &Sound::default());
    let is_leader = |process: &Process| !times_logged_ms(process, "became the leader").is_empty();
    let leader = deployment.controls.iter().position(is_leader).expect("a leader");
    deployment.controls[leader].kill();
    send_load(&deployment, Duration::from_secs(3), &Sound::default());
    deployment.controls.iter().for_each(|control| control.signal("STOP"));
    send_load(&deployment, Duration::from_secs(3), &Sound::default());
    deployment.controls.iter().for_each(|control| control.signal("CONT"));
    eventually("the leader places requests again", || {
        is_served(&send_prompt(&deployment, 0, "draft", &sound_prompt()))
    });
    deployment.entries[1].kill();
    deployment.entries[1].start(false);
    eventually("the entry instance is ready", || deployment.ready(1) == 200);
    let sound = Sound::default();
    send_load(&deployment, Duration::from_secs(4), &sound);
    expect_that!(observed.further(CRASHING_PART, COUNTED_CRASH), le(FURTHER_MAX));
    expect_mostly_served(&sound);
}
