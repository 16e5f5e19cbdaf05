//! End-to-end tests over the platform's protocol with real processes: three control instances, two
//! entry instances, a stand-in endpoint, an operator and callers.

mod builds;
mod crashing_engine;
mod crashing_kinds;
mod crashing_prompts;
mod crashing_requests;
#[path = "../deployment/mod.rs"]
mod deployment;
mod endless_heads;
mod evacuations;
mod farewells;
mod handover;
mod limits;
mod lists;
mod log_output;
mod notices;
mod odd_entries;
mod planned_work;
mod quarantines;
mod rejections;
mod replacements;
mod restarts;
mod rollouts;
mod stops;
mod support;
mod trace;

use deployment::{Deployment, FRONT_PORT, Layout, Process, Reply, THIS_BUILD, eventually};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::path::Path;
use support::{Endpoint, announce, send_request};

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

fn put_document(deployment: &Deployment, control: usize, document: &Value) -> Reply {
    deployment.control(control, "PUT", "/-/config", &document.to_string())
}

/// Starts a deployment with one endpoint and waits until both entry instances serve requests.
fn start_deployment() -> (Deployment, Endpoint) {
    start_deployment_of(Path::new(THIS_BUILD))
}

/// Starts such a deployment with the program of a build.
fn start_deployment_of(binary: &Path) -> (Deployment, Endpoint) {
    let layout = Layout { controls: 3, entries: 2, losses: 1, proxied: false };
    let deployment = Deployment::start_build(layout, binary);
    eventually("the document is acknowledged", || {
        put_document(&deployment, 0, &document(3)).status == 200
    });
    let endpoint = Endpoint::start(&deployment);
    eventually("the announcement is accepted", || {
        announce(&deployment, 1, &endpoint, 1, "ready").status == 200
    });
    for entry in 0..2 {
        eventually("the entry instance is ready", || deployment.ready(entry) == 200);
        eventually("a request is answered", || {
            send_request(&deployment, entry, "GET", "/print/warm", "key-1", "").status == 200
        });
    }
    (deployment, endpoint)
}

#[gtest]
fn requests_and_streams_are_served_end_to_end() {
    let (deployment, endpoint) = start_deployment();
    let reply = send_request(&deployment, 0, "POST", "/print/7?copies=2", "key-1", "a crate label");
    expect_that!(reply.status, eq(200));
    expect_that!(reply.head, contains_substring("Response-Seal: seal-1"));
    expect_that!(reply.body, eq("printed a crate label"));
    let received = endpoint.last_request();
    expect_that!(received, starts_with("POST /print/7?copies=2 HTTP/1.1\r\n"));
    for line in ["Tenant: packhouse", "Expect-Instance: i-1", "Request-Id: r-", "Deadline-Ms: "] {
        expect_that!(received, contains_substring(line));
    }
    expect_that!(received, not(contains_substring("key-1")));

    let stream = send_request(&deployment, 1, "POST", "/draft/1", "key-1", "declare");
    expect_that!(stream.status, eq(200));
    let events = stream.body.matches("data: ").count();
    expect_that!((events, stream.body.ends_with("0\r\n\r\n")), eq((3, true)));

    expect_that!(send_request(&deployment, 0, "GET", "/print/1", "forged", "").status, eq(401));
    expect_that!(send_request(&deployment, 0, "GET", "/other/1", "key-1", "").status, eq(404));
}

#[gtest]
fn documents_are_acknowledged_read_back_and_refused() {
    let (deployment, _endpoint) = start_deployment();
    let current = document(3).to_string();
    let read = || deployment.control(2, "GET", "/-/config", "");
    expect_that!(read().body, eq(&current));
    // A version that is not higher is acknowledged and has no effect.
    let mut other = document(3);
    other["tenants"] = json!([]);
    expect_that!(put_document(&deployment, 1, &other).status, eq(200));
    expect_that!(put_document(&deployment, 2, &document(2)).status, eq(200));
    expect_that!(read().body, eq(&current));
    let mut invalid = document(9);
    invalid["routes"][0]["service"] = json!("unknown");
    for control in 0..3 {
        expect_that!(put_document(&deployment, control, &invalid).status, eq(400));
    }
    expect_that!(read().body, eq(&current));
    // Every entry instance refuses a revoked key within two seconds.
    let mut revoked = document(4);
    revoked["tenants"][0]["api_keys"] = json!(["key-2"]);
    expect_that!(put_document(&deployment, 0, &revoked).status, eq(200));
    std::thread::sleep(std::time::Duration::from_secs(2));
    for entry in 0..2 {
        expect_that!(
            send_request(&deployment, entry, "GET", "/print/1", "key-1", "").status,
            eq(401)
        );
        expect_that!(
            send_request(&deployment, entry, "GET", "/print/1", "key-2", "").status,
            eq(200)
        );
    }
}

#[gtest]
fn requests_are_served_without_one_control_instance_but_not_without_an_endpoint() {
    let (mut deployment, endpoint) = start_deployment();
    deployment.controls[0].kill();
    for number in 0..20 {
        let reply = send_request(&deployment, number % 2, "POST", "/print/1", "key-1", "label");
        expect_that!(reply.status, eq(200));
    }
    eventually("another control instance accepts documents", || {
        put_document(&deployment, 1, &document(5)).status == 200
    });
    eventually("the announcement of draining is accepted", || {
        announce(&deployment, 2, &endpoint, 2, "draining").status == 200
    });
    eventually("no request goes to a draining endpoint", || {
        send_request(&deployment, 0, "GET", "/print/1", "key-1", "").status == 503
    });
    let refused = send_request(&deployment, 1, "GET", "/print/1", "key-1", "");
    expect_that!(refused.head, contains_substring("Retry-After: "));
}

#[gtest]
fn a_stopping_entry_instance_serves_requests_until_it_exits() {
    let (mut deployment, _endpoint) = start_deployment();
    deployment.entries[0].signal("TERM");
    eventually("the stopping instance reports that it is not ready", || deployment.ready(0) == 503);
    expect_that!(
        send_request(&deployment, 0, "POST", "/print/1", "key-1", "label").status,
        eq(200)
    );
    let status = deployment.entries[0].exits_within(std::time::Duration::from_secs(8));
    expect_that!(status.map(|status| status.success()), eq(Some(true)));
    expect_that!(
        send_request(&deployment, 1, "POST", "/print/1", "key-1", "label").status,
        eq(200)
    );
}

#[gtest]
fn requests_waiting_without_a_leader_get_all_slots_once_there_is_one() {
    const BURST: usize = 40;
    // Without a leader each entry instance may use half of the endpoint's capacity, which is its eight
    // slots and two requests in its queue.
    const SLOTS_WITHOUT_LEADER: u32 = 5;
    let (deployment, endpoint) = start_deployment();
    eventually("the leader places requests", || has_logged(&deployment, "placed by the leader"));
    for _ in 0..3 {
        expect_that!(send_request(&deployment, 0, "GET", "/press/1", "key-1", "").status, eq(200));
    }
    deployment.controls.iter().for_each(|control| control.signal("STOP"));
    eventually("the entry instance loses the leader", || has_logged(&deployment, "leader lost"));
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let send =
            || scope.spawn(|| send_request(&deployment, 0, "GET", "/press/1", "key-1", "").status);
        let callers: Vec<_> = (0..BURST).map(|_| send()).collect();
        eventually("the burst fills the slots", || {
            endpoint.max_concurrent() == SLOTS_WITHOUT_LEADER
        });
        deployment.controls.iter().for_each(|control| control.signal("CONT"));
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller does not panic"))
            .collect()
    });
    expect_that!(statuses, each(eq(&200)));
    expect_that!(endpoint.max_concurrent(), gt(SLOTS_WITHOUT_LEADER));
}

#[gtest]
fn a_deregistration_is_acknowledged_only_if_it_takes_effect() {
    let (mut deployment, endpoint) = start_deployment();
    let deregister =
        |deployment: &Deployment| deployment.control(0, "DELETE", "/-/instances/i-1", "").status;
    deployment.controls.iter_mut().for_each(Process::kill);
    deployment.controls.iter_mut().for_each(|control| control.start(false));
    eventually("the control instance serves documents again", || {
        deployment.control(0, "GET", "/-/config", "").status == 200
    });
    // Entry instances still send requests to the endpoint, but the restarted control instances don't
    // know the endpoint yet.
    expect_that!(deregister(&deployment), eq(503));
    expect_that!(announce(&deployment, 0, &endpoint, 2, "ready").status, eq(200));
    expect_that!(deregister(&deployment), eq(200));
    eventually("no request goes to a deregistered endpoint", || {
        send_request(&deployment, 0, "GET", "/print/1", "key-1", "").status == 503
    });
}

#[gtest]
fn a_new_leader_places_requests_soon_after_its_election() {
    const BOUND_MS: u64 = 500;
    let (mut deployment, _endpoint) = start_deployment();
    eventually("the leader places requests", || has_logged(&deployment, "placed by the leader"));
    let election_ms = |control: &Process| times_logged_ms(control, "became the leader").pop();
    let old = deployment.controls.iter().position(|control| election_ms(control).is_some());
    deployment.controls[old.expect("a leader")].kill();
    let last_election_ms = |deployment: &Deployment| {
        let others =
            deployment.controls.iter().enumerate().filter(|(place, _)| Some(*place) != old);
        others.filter_map(|(_, control)| election_ms(control)).max()
    };
    eventually("another control instance becomes the leader", || {
        last_election_ms(&deployment).is_some()
    });
    let handover_times = |deployment: &Deployment| {
        times_logged_ms(&deployment.entries[0], "requests are placed by the leader")
    };
    eventually("the new leader places requests", || handover_times(&deployment).len() > 1);
    let elected_ms = last_election_ms(&deployment).expect("a leader");
    let placed_ms = handover_times(&deployment)[1];
    expect_that!(placed_ms.saturating_sub(elected_ms), lt(BOUND_MS));
}

/// Tells whether the first entry instance has logged a line with this text.
fn has_logged(deployment: &Deployment, text: &str) -> bool {
    !times_logged_ms(&deployment.entries[0], text).is_empty()
}

/// Returns when a process logged lines with this text, in milliseconds since the Unix epoch.
fn times_logged_ms(process: &Process, text: &str) -> Vec<u64> {
    let log = std::fs::read_to_string(process.log()).unwrap_or_default();
    let lines = log.lines().filter(|line| line.contains(text));
    let line = |line| serde_json::from_str::<Value>(line).ok()?["timestamp"].as_u64();
    lines.filter_map(line).collect()
}
