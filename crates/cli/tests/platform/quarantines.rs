//! An operator lists quarantines and ends one on the command line, with real processes.

use crate::crashing_engine::{Reaction, start_with};
use crate::deployment::{Deployment, Reply, call, eventually};
use crate::support::next_id;
use crate::{FRONT_PORT, times_logged_ms};
use googletest::prelude::*;
use rustix::net::{self, AddressFamily, SocketType};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// The port on which control instances serve operators.
const OPERATORS_PORT: u16 = 9464;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the quarantines must last when the test begins with them, in milliseconds.
const KEPT_MS_MIN: u64 = 6_000;
/// The exit code of a call that an instance did not apply.
const NOT_APPLIED: i32 = 5;
/// The exit code of a call that was refused for good.
const UNKNOWN_ID: i32 = 1;
/// The exit code of a command line that is not valid.
const INVALID: i32 = 3;

static NUMBERS: AtomicU64 = AtomicU64::new(1);
/// The requests on which endpoints crash; the first is sent again once its quarantine is ended.
const CRASHING: [&str; 2] = ["crashing-1", "crashing-2"];
/// Whether endpoints answer the requests that crashed them before.
static IS_MENDED: AtomicBool = AtomicBool::new(false);

fn behavior(head: &str) -> (Reaction, String) {
    let is_crashing = head.contains("/crashing-") && !IS_MENDED.load(Ordering::Relaxed);
    (if is_crashing { Reaction::Crash } else { Reaction::Whole }, "commit".to_owned())
}

fn document() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "commit", "hostname": "crates.example", "path_prefix": "/commit/",
            "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 0,
            "service": "writer", "max_attempts": 2,
        }],
        "services": [{ "name": "writer", "health_path": "/health",
                       "engine": { "slots": 8, "kv_capacity_tokens": 400_000, "stride": 5 } }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] }],
    })
}

fn send(deployment: &Deployment, entry: usize, path: &str) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[entry].ip);
    let request = format!(
        "POST /commit/{path} HTTP/1.1\r\nHost: crates.example\r\nConnection: close\r\n\
         Request-Id: {}\r\nDeadline-Ms: 5000\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n",
        next_id()
    );
    call(&address, &request, CALL_TIMEOUT).unwrap_or_default()
}

fn send_sound(deployment: &Deployment, entry: usize) -> Reply {
    send(deployment, entry, &format!("sound-{}", NUMBERS.fetch_add(1, Ordering::Relaxed)))
}

fn address(deployment: &Deployment, place: usize) -> String {
    format!("{}:{OPERATORS_PORT}", deployment.controls[place].ip)
}

fn run(to: &str, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheehub"));
    let output = command.args(["quarantines", "--to", to]).args(options).output();
    output.expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the quarantines that the first of `places` that leads lists; `None` if none does.
fn list(deployment: &Deployment, places: &[usize]) -> Option<Vec<Value>> {
    let to: Vec<String> = places.iter().map(|place| address(deployment, *place)).collect();
    let output = run(&to.join(","), &["--json"]);
    let list: Value = serde_json::from_slice(&output.stdout).ok()?;
    list["quarantines"].as_array().cloned()
}

/// Repeats the crashing requests among sound ones until they are quarantined; returns the list.
fn quarantine_crashing(deployment: &Deployment) -> Vec<Value> {
    let mut found = Vec::new();
    eventually("the requests are quarantined", || {
        for number in 0..12 {
            send_sound(deployment, number % 2);
        }
        for path in CRASHING {
            send(deployment, 0, path);
        }
        found = list(deployment, &[0, 1, 2]).unwrap_or_default();
        // None is tried while the test looks at them.
        let is_kept = |entry: &Value| entry["next_trial_ms"].as_u64() >= Some(KEPT_MS_MIN);
        found.len() == CRASHING.len() && found.iter().all(is_kept)
    });
    found
}

/// Returns a field of each quarantine as text.
fn texts<'a>(quarantines: &'a [Value], field: &str) -> Vec<&'a str> {
    quarantines.iter().map(|entry| entry[field].as_str().unwrap_or_default()).collect()
}

#[gtest]
fn an_operator_ends_a_quarantine_and_one_that_was_answered_since_stays_ended_at_a_new_leader() {
    let (mut deployment, _observed) = start_with(&document(), behavior, |deployment, entry| {
        send_sound(deployment, entry).status == 200
    });
    let quarantines = quarantine_crashing(&deployment);
    let (ids, digests) = (texts(&quarantines, "id"), texts(&quarantines, "digest"));
    expect_that!(texts(&quarantines, "service"), each(eq(&"writer")));
    for quarantine in &quarantines {
        expect_that!(quarantine["endpoints"].as_array().map_or(0, Vec::len), ge(3));
    }
    for (entry, path) in CRASHING.iter().enumerate() {
        let refused = send(&deployment, entry, path);
        expect_that!(refused.status, eq(503));
        expect_that!(refused.body, contains_substring("endpoints crash on this request"));
    }

    // Only the leader ends it; the others name the leader.
    let leader = (0..3).find(|place| list(&deployment, &[*place]).is_some()).expect("one leads");
    let other = address(&deployment, (leader + 1) % 3);
    let refused = run(&other, &["--end", ids[0]]);
    expect_that!(refused.status.code(), some(eq(NOT_APPLIED)));
    let message = text(&refused.stderr);
    expect_that!(message, contains_substring(format!("{} does", deployment.controls[leader].ip)));
    let at_leader = address(&deployment, leader);
    let table = text(&run(&at_leader, &[]).stdout);
    for text in ids.iter().chain(&digests) {
        expect_that!(table, contains_substring(*text));
    }
    for (id, code) in [("0", UNKNOWN_ID), ("no-id", INVALID)] {
        expect_that!(run(&at_leader, &["--end", id]).status.code(), some(eq(code)), "{id}");
    }
    let count = |places: &[usize]| list(&deployment, places).map(|quarantines| quarantines.len());
    expect_that!(count(&[leader]), some(eq(2)));

    // The endpoints are mended.
    IS_MENDED.store(true, Ordering::Relaxed);
    expect_that!(send(&deployment, 1, CRASHING[0]).status, eq(503));
    for id in &ids {
        let ended = run(&format!("{other},{at_leader}"), &["--end", id]);
        let message = text(&ended.stderr);
        expect_that!(text(&ended.stdout), contains_substring("is ended"), "{message}");
    }
    for entry in 0..2 {
        expect_that!(send(&deployment, entry, CRASHING[0]).status, eq(200), "at {entry}");
    }
    let again = run(&at_leader, &["--end", ids[0]]);
    expect_that!(text(&again.stdout), contains_substring("was ended before"));
    expect_that!(count(&[leader]), some(eq(0)));
    let process = &deployment.controls[leader];
    let call_text = format!("quarantines --end {} from 127.", ids[1]);
    eventually("the call is logged", || !times_logged_ms(process, &call_text).is_empty());
    expect_that!(times_logged_ms(process, "quarantine ended: by an operator").len(), eq(2));
    let metrics = "GET /metrics HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
    let metrics = call(&at_leader, metrics, CALL_TIMEOUT).unwrap_or_default().body;
    let is_counted = |line: &str| {
        line.starts_with("lycheehub_quarantine_events_total") && line.contains("event=\"ended\"")
    };
    let counted: Vec<&str> = metrics.lines().filter(|line| is_counted(line)).collect();
    expect_that!(counted, elements_are![ends_with(" 2")]);

    // The instances tell the next leader of the answer.
    std::thread::sleep(Duration::from_secs(2));
    deployment.controls[leader].kill();
    let left: Vec<usize> = (0..3).filter(|place| *place != leader).collect();
    eventually("another control instance leads", || list(&deployment, &left).is_some());
    std::thread::sleep(Duration::from_secs(3));
    for entry in 0..2 {
        expect_that!(send(&deployment, entry, CRASHING[0]).status, eq(200), "new leader, {entry}");
    }
}

/// The address of another machine than that of any control instance.
const ELSEWHERE: &str = "127.9.9.9:0";

/// Sends the call that ends a quarantine from another machine.
fn end_from_elsewhere(to: &str, id: &str) -> String {
    let request = format!(
        "DELETE /v1/operators/quarantines/{id} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    net::bind(&socket, &ELSEWHERE.parse::<SocketAddr>().unwrap()).unwrap();
    net::connect(&socket, &to.parse::<SocketAddr>().unwrap()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

// The port has no key: whoever reached it could have let a crashing request through.
#[gtest]
fn a_quarantine_is_not_ended_from_another_machine() {
    let (deployment, _observed) = start_with(&document(), behavior, |deployment, entry| {
        send_sound(deployment, entry).status == 200
    });
    for place in 0..3 {
        let reply = end_from_elsewhere(&address(&deployment, place), "00000000000000ab");
        expect_that!(reply, starts_with("HTTP/1.1 401"));
    }
}
