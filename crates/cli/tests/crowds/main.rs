//! Clients that nobody controls: many at once send bodies that are large, do not end or are over the
//! limit, and stay open. No process ends or grows beyond its machine's memory, and ordinary callers are
//! served.
//!
//! The tests run one at a time: their bounds are on memory, which other tests of this program share.

mod crowd;
#[path = "../deployment/mod.rs"]
mod deployment;
mod own_interface;
#[allow(dead_code, reason = "only the site is used")]
#[path = "../cli/support.rs"]
mod site;
#[allow(dead_code, reason = "only the stand-in endpoint is used")]
#[path = "../platform/support.rs"]
mod support;

use crowd::{Crowd, Form};
use deployment::{CONTROL_PORT, Deployment, FRONT_PORT, Layout, Process, READY_PORT, eventually};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use support::{Endpoint, announce, send_request};

/// The memory of the machine of an entry instance, as its settings name it.
const ENTRY_MEMORY_MIB: u64 = 48;
/// The memory of the machine of a control instance.
const CONTROL_MEMORY_MIB: u64 = 64;
/// The largest body of a caller that the document allows, in bytes.
const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;
/// The connections of a crowd at an entry instance: twice what its machine has memory for.
const ENTRY_CROWD: usize = 48;
/// The largest document, in bytes, and the connections of a crowd at a control instance.
const DOCUMENT_BYTES: usize = 6 * 1024 * 1024;
const CONTROL_CROWD: usize = 24;
/// The descriptors of a process beside those of a crowd, each member of which may cost two.
const OTHER_DESCRIPTORS: usize = 100;
/// The connections that a crowd holds at the readiness port: more than it takes at once.
const HELD_CONNECTIONS: usize = 400;
const MIB: u64 = 1024 * 1024;

/// Lets one test run at a time.
fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn document() -> Value {
    json!({
        "version": 3,
        "routes": [
            { "name": "print", "hostname": "crates.example", "path_prefix": "/print/",
              "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
              "service": "labels", "max_attempts": 2 },
        ],
        "services": [{ "name": "labels", "health_path": "/health" }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": BODY_MAX_BYTES,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": ["key-1"] }],
    })
}

/// Starts three control instances and an entry instance on machines with little memory, and an endpoint.
fn start() -> (Deployment, Endpoint) {
    let layout = Layout { controls: 3, entries: 1, losses: 1, proxied: false };
    let mut deployment = Deployment::lay_out(layout);
    deployment.controls.iter_mut().for_each(|control| {
        control.set_machine_memory(CONTROL_MEMORY_MIB);
        control.start(true);
    });
    deployment.entries[0].set_machine_memory(ENTRY_MEMORY_MIB);
    deployment.entries[0].start(true);
    eventually("the document is acknowledged", || {
        deployment.control(0, "PUT", "/-/config", &document().to_string()).status == 200
    });
    let endpoint = Endpoint::start(&deployment);
    eventually("the announcement is accepted", || {
        announce(&deployment, 1, &endpoint, 1, "ready").status == 200
    });
    eventually("a request is answered", || {
        send_request(&deployment, 0, "POST", "/print/1", "key-1", "label").status == 200
    });
    (deployment, endpoint)
}

/// Checks that a process lives within its machine's memory, with few descriptors beside those of the
/// crowd.
fn check(process: &mut Process, memory_mib: u64, crowd: usize, most_bytes: u64) {
    expect_that!(process.has_exited(), eq(false));
    let most_bytes = most_bytes.max(process.memory_used());
    expect_that!(most_bytes / MIB, le(memory_mib), "memory in MiB");
    expect_that!(process.open_descriptors(), le(2 * crowd + OTHER_DESCRIPTORS));
}

/// Lets a crowd send bodies of this form to the entry instance, and then an ordinary caller a request.
fn crowd_at_entry(form: Form) {
    let _turn = turn();
    let (mut deployment, endpoint) = start();
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    let head = "POST /print/crowd HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: crowd\r\n\
                X-Api-Key: key-1\r\nDeadline-Ms: 5000\r\n";
    let crowd = Crowd::start(&address, head, form, ENTRY_CROWD, BODY_MAX_BYTES);
    let most_bytes = crowd.most_memory_while_sending(|| deployment.entries[0].memory_used());
    check(&mut deployment.entries[0], ENTRY_MEMORY_MIB, ENTRY_CROWD, most_bytes);
    // While all of them are still open.
    let mut sequence = 1;
    eventually("an ordinary request is answered", || {
        sequence += 1;
        announce(&deployment, 1, &endpoint, sequence, "ready");
        send_request(&deployment, 0, "POST", "/print/1", "key-1", "label").status == 200
    });
    check(&mut deployment.entries[0], ENTRY_MEMORY_MIB, ENTRY_CROWD, 0);
    drop(crowd);
}

/// Lets a crowd send bodies of this form to a control instance, and then an operator read the document.
fn crowd_at_control(form: Form) {
    let _turn = turn();
    let (mut deployment, _endpoint) = start();
    let address = format!("{}:{CONTROL_PORT}", deployment.controls[0].ip);
    let head = "PUT /-/config HTTP/1.1\r\nHost: control.example\r\n";
    let crowd = Crowd::start(&address, head, form, CONTROL_CROWD, DOCUMENT_BYTES);
    let most_bytes = crowd.most_memory_while_sending(|| deployment.controls[0].memory_used());
    check(&mut deployment.controls[0], CONTROL_MEMORY_MIB, CONTROL_CROWD, most_bytes);
    eventually("an operator reads the document", || {
        deployment.control(0, "GET", "/-/config", "").status == 200
    });
    check(&mut deployment.controls[0], CONTROL_MEMORY_MIB, CONTROL_CROWD, 0);
    drop(crowd);
}

#[gtest]
fn whole_large_bodies_at_once_stay_within_memory() {
    crowd_at_entry(Form::Whole);
}

#[gtest]
fn large_bodies_that_stop_just_short_of_their_end_stay_within_memory() {
    crowd_at_entry(Form::Short);
}

#[gtest]
fn large_bodies_in_pieces_that_stop_short_stay_within_memory() {
    crowd_at_entry(Form::Pieces);
}

#[gtest]
fn bodies_in_large_chunks_that_stop_short_stay_within_memory() {
    crowd_at_entry(Form::LargeChunks);
}

#[gtest]
fn bodies_in_small_chunks_that_stop_short_stay_within_memory() {
    crowd_at_entry(Form::SmallChunks);
}

#[gtest]
fn bodies_that_announce_far_too_much_stay_within_memory() {
    crowd_at_entry(Form::AnnouncedTooLong);
}

#[gtest]
fn bodies_that_send_far_too_much_stay_within_memory() {
    crowd_at_entry(Form::SentTooLong);
}

#[gtest]
fn documents_that_stop_short_stay_within_memory() {
    crowd_at_control(Form::Short);
}

#[gtest]
fn documents_in_chunks_that_stop_short_stay_within_memory() {
    crowd_at_control(Form::LargeChunks);
}

#[gtest]
fn documents_that_send_far_too_much_stay_within_memory() {
    crowd_at_control(Form::SentTooLong);
}

#[gtest]
fn readiness_is_told_beside_a_crowd_that_holds_connections() {
    let _turn = turn();
    let (mut deployment, _endpoint) = start();
    let address = format!("{}:{READY_PORT}", deployment.entries[0].ip);
    let silent: Vec<TcpStream> =
        (0..HELD_CONNECTIONS).filter_map(|_| TcpStream::connect(&address).ok()).collect();
    expect_that!(silent.len(), eq(HELD_CONNECTIONS));
    // They came first, and none has ended by itself yet.
    expect_that!(deployment.ready(0), eq(200));
    check(&mut deployment.entries[0], ENTRY_MEMORY_MIB, HELD_CONNECTIONS, 0);
}

#[gtest]
fn one_request_of_the_largest_size_is_served_in_calm() {
    let _turn = turn();
    let (deployment, endpoint) = start();
    let body = "a".repeat(BODY_MAX_BYTES);
    let reply = send_request(&deployment, 0, "POST", "/print/1", "key-1", &body);
    expect_that!(reply.status, eq(200));
    expect_that!(endpoint.last_request(), contains_substring("2097152"));
}
