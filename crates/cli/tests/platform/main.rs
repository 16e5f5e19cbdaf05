//! The whole path over the platform's protocol with the real programs as separate processes: three
//! control instances, two entry instances, a stand-in for an endpoint, an operator and callers.

#[path = "../deployment/mod.rs"]
mod deployment;
mod handover;
mod lists;
mod notices;
mod rollouts;
mod support;
mod trace;

use deployment::{Deployment, Layout, Process, Reply, eventually};
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Endpoint, announce, ask};

fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            { "name": "print", "hostname": "crates.example", "path_prefix": "/print/",
              "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1,
              "service": "labels", "max_attempts": 2 },
            { "name": "press", "hostname": "crates.example", "path_prefix": "/press/",
              "kind": "safe", "timeout_ms": 8000, "target_latency_ms": 5000, "priority": 1,
              "service": "labels", "max_attempts": 2 },
            { "name": "draft", "hostname": "crates.example", "path_prefix": "/draft/",
              "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 0,
              "service": "labels", "max_attempts": 1, "stream_resume": false },
        ],
        "services": [{ "name": "labels", "health_path": "/health" }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] }],
    })
}

fn put(network: &Deployment, control: usize, document: &Value) -> Reply {
    network.control(control, "PUT", "/-/config", &document.to_string())
}

/// Starts everything and waits until the path is open.
fn open() -> (Deployment, Endpoint) {
    let network = Deployment::start(Layout { controls: 3, entries: 2, losses: 1, proxied: false });
    eventually("the document is acknowledged", || put(&network, 0, &document(3)).status == 200);
    let endpoint = Endpoint::start(&network);
    eventually("the announcement is taken", || {
        announce(&network, 1, &endpoint, 1, "ready").status == 200
    });
    for entry in 0..2 {
        eventually("the entry instance is ready", || network.ready(entry) == 200);
        eventually("a request is answered", || {
            ask(&network, entry, "GET", "/print/warm", "key-1", "").status == 200
        });
    }
    (network, endpoint)
}

#[gtest]
fn requests_and_streams_go_the_whole_way() {
    let (network, endpoint) = open();
    let answer = ask(&network, 0, "POST", "/print/7?copies=2", "key-1", "a crate label");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.head, contains_substring("Response-Seal: seal-1"));
    expect_that!(answer.body, eq("printed a crate label"));
    let seen = endpoint.last_request();
    expect_that!(seen, starts_with("POST /print/7?copies=2 HTTP/1.1\r\n"));
    for line in ["Tenant: packhouse", "Expect-Instance: i-1", "Request-Id: r-", "Deadline-Ms: "] {
        expect_that!(seen, contains_substring(line));
    }
    expect_that!(seen, not(contains_substring("key-1")));

    let stream = ask(&network, 1, "POST", "/draft/1", "key-1", "declare");
    expect_that!(stream.status, eq(200));
    let events = stream.body.matches("data: ").count();
    expect_that!((events, stream.body.ends_with("0\r\n\r\n")), eq((3, true)));

    expect_that!(ask(&network, 0, "GET", "/print/1", "forged", "").status, eq(401));
    expect_that!(ask(&network, 0, "GET", "/other/1", "key-1", "").status, eq(404));
}

#[gtest]
fn documents_are_acknowledged_read_back_and_refused() {
    let (network, _endpoint) = open();
    let held = document(3).to_string();
    let read = || network.control(2, "GET", "/-/config", "");
    expect_that!(read().body, eq(&held));
    // Not higher: acknowledged, and nothing is changed.
    let mut other = document(3);
    other["tenants"] = json!([]);
    expect_that!(put(&network, 1, &other).status, eq(200));
    expect_that!(put(&network, 2, &document(2)).status, eq(200));
    expect_that!(read().body, eq(&held));
    let mut invalid = document(9);
    invalid["routes"][0]["service"] = json!("unknown");
    for control in 0..3 {
        expect_that!(put(&network, control, &invalid).status, eq(400));
    }
    expect_that!(read().body, eq(&held));
    // A key that is taken away is refused at every entry instance within two seconds.
    let mut revoked = document(4);
    revoked["tenants"][0]["api_keys"] = json!(["key-2"]);
    expect_that!(put(&network, 0, &revoked).status, eq(200));
    std::thread::sleep(std::time::Duration::from_secs(2));
    for entry in 0..2 {
        expect_that!(ask(&network, entry, "GET", "/print/1", "key-1", "").status, eq(401));
        expect_that!(ask(&network, entry, "GET", "/print/1", "key-2", "").status, eq(200));
    }
}

#[gtest]
fn the_path_stays_open_while_a_control_instance_is_lost_and_closes_with_the_endpoint() {
    let (mut network, endpoint) = open();
    network.controls[0].kill();
    for number in 0..20 {
        let answer = ask(&network, number % 2, "POST", "/print/1", "key-1", "label");
        expect_that!(answer.status, eq(200));
    }
    eventually("another control instance takes documents", || {
        put(&network, 1, &document(5)).status == 200
    });
    eventually("the endpoint's word is taken", || {
        announce(&network, 2, &endpoint, 2, "draining").status == 200
    });
    eventually("nothing goes to an endpoint that leaves", || {
        ask(&network, 0, "GET", "/print/1", "key-1", "").status == 503
    });
    let refused = ask(&network, 1, "GET", "/print/1", "key-1", "");
    expect_that!(refused.head, contains_substring("Retry-After: "));
}

#[gtest]
fn an_entry_instance_stops_by_itself_and_cuts_nothing() {
    let (mut network, _endpoint) = open();
    network.entries[0].signal("TERM");
    eventually("it says that it is not ready", || network.ready(0) == 503);
    expect_that!(ask(&network, 0, "POST", "/print/1", "key-1", "label").status, eq(200));
    let status = network.entries[0].exits_within(std::time::Duration::from_secs(8));
    expect_that!(status.map(|status| status.success()), eq(Some(true)));
    expect_that!(ask(&network, 1, "POST", "/print/1", "key-1", "label").status, eq(200));
}

#[gtest]
fn what_waits_while_no_leader_is_there_gets_all_slots_once_one_is_back() {
    const BURST: usize = 40;
    // Each entry instance has half of what the endpoint gets by itself: eight slots and two ahead.
    const OWN_SLOTS: u32 = 5;
    let (network, endpoint) = open();
    eventually("the leader places requests", || has_logged(&network, "placed by the leader"));
    for _ in 0..3 {
        expect_that!(ask(&network, 0, "GET", "/press/1", "key-1", "").status, eq(200));
    }
    network.controls.iter().for_each(|control| control.signal("STOP"));
    eventually("the leader is given up", || has_logged(&network, "leader lost"));
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let send = || scope.spawn(|| ask(&network, 0, "GET", "/press/1", "key-1", "").status);
        let callers: Vec<_> = (0..BURST).map(|_| send()).collect();
        eventually("the burst has begun", || endpoint.most_at_once() == OWN_SLOTS);
        network.controls.iter().for_each(|control| control.signal("CONT"));
        callers.into_iter().map(|caller| caller.join().expect("it ends")).collect()
    });
    expect_that!(statuses, each(eq(&200)));
    expect_that!(endpoint.most_at_once(), gt(OWN_SLOTS));
}

#[gtest]
fn a_farewell_is_acknowledged_only_where_it_takes_effect() {
    let (mut network, endpoint) = open();
    let farewell =
        |network: &Deployment| network.control(0, "DELETE", "/-/instances/i-1", "").status;
    network.controls.iter_mut().for_each(Process::kill);
    network.controls.iter_mut().for_each(|control| control.start(false));
    eventually("control is back", || network.control(0, "GET", "/-/config", "").status == 200);
    // Entry instances still send to it, and control does not know it yet.
    expect_that!(farewell(&network), eq(503));
    expect_that!(announce(&network, 0, &endpoint, 2, "ready").status, eq(200));
    expect_that!(farewell(&network), eq(200));
    eventually("nothing goes to an endpoint that has left", || {
        ask(&network, 0, "GET", "/print/1", "key-1", "").status == 503
    });
}

#[gtest]
fn a_new_leader_places_requests_soon_after_its_election() {
    const BOUND_MS: u64 = 500;
    let (mut network, _endpoint) = open();
    eventually("the leader places requests", || has_logged(&network, "placed by the leader"));
    let leads = |control: &Process| times_logged_ms(control, "became the leader").pop();
    let old = network.controls.iter().position(|control| leads(control).is_some());
    network.controls[old.expect("a leader")].kill();
    let newest = |network: &Deployment| {
        let others = network.controls.iter().enumerate().filter(|(place, _)| Some(*place) != old);
        others.filter_map(|(_, control)| leads(control)).max()
    };
    eventually("another one leads", || newest(&network).is_some());
    let entered = |network: &Deployment| {
        times_logged_ms(&network.entries[0], "requests are placed by the leader")
    };
    eventually("it places requests", || entered(&network).len() > 1);
    let elected_ms = newest(&network).expect("a leader");
    let entered_ms = entered(&network)[1];
    expect_that!(entered_ms.saturating_sub(elected_ms), lt(BOUND_MS));
}

/// Tells whether the first entry instance has logged a line.
fn has_logged(network: &Deployment, text: &str) -> bool {
    !times_logged_ms(&network.entries[0], text).is_empty()
}

/// Returns when a process logged a line, in milliseconds since the Unix epoch.
fn times_logged_ms(process: &Process, text: &str) -> Vec<u64> {
    let log = std::fs::read_to_string(process.log()).unwrap_or_default();
    let lines = log.lines().filter(|line| line.contains(text));
    let line = |line| serde_json::from_str::<Value>(line).ok()?["timestamp"].as_u64();
    lines.filter_map(line).collect()
}
