//! What a control instance acknowledges of an endpoint that leaves outlives that instance.

use crate::deployment::{Deployment, Layout, eventually};
use crate::support::{Endpoint, announce, send_request};
use crate::{document, put_document};
use googletest::prelude::*;
use lycheehub_standin::proxy::Mode;
use serde_json::json;
use std::time::{Duration, Instant};

/// The time after which a leaving endpoint gets nothing new.
const DRAIN: Duration = Duration::from_secs(2);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(4);
/// An endpoint asks another control instance after this time.
const ACK_MAX: Duration = Duration::from_secs(1);
/// The control instance to which the endpoint announces itself.
const MONITOR: usize = 2;

/// Starts a deployment whose endpoint announces itself at the monitor and gets requests.
fn start(layout: Layout) -> (Deployment, Endpoint) {
    let deployment = Deployment::start(layout);
    eventually("the document is acknowledged", || {
        put_document(&deployment, 0, &document(3)).status == 200
    });
    let endpoint = Endpoint::start(&deployment);
    eventually("a request is answered", || {
        announce(&deployment, MONITOR, &endpoint, 1, "ready");
        send_request(&deployment, 0, "GET", "/press/1", "key-1", "").status == 200
    });
    (deployment, endpoint)
}

fn layout(controls: usize, losses: usize, proxied: bool) -> Layout {
    Layout { controls, entries: 1, losses, proxied }
}

/// Sends what the endpoint says last to the monitor: that it drains, or its farewell.
fn say_last(deployment: &Deployment, endpoint: &Endpoint, drains: bool) -> u16 {
    match drains {
        true => announce(deployment, MONITOR, endpoint, 9, "draining").status,
        false => deployment.control(MONITOR, "DELETE", "/-/instances/i-1", "").status,
    }
}

/// Expects that the endpoint gets nothing once its time to drain is over.
fn expect_no_requests_after_drain(deployment: &Deployment, endpoint: &Endpoint, drains: bool) {
    std::thread::sleep(DRAIN);
    let before = endpoint.count();
    let watched = Instant::now();
    while watched.elapsed() < WATCHED {
        send_request(deployment, 0, "GET", "/press/1", "key-1", "");
    }
    expect_that!(endpoint.count(), eq(before), "drains: {drains}");
}

/// Guards against an acknowledged farewell that only the control instance knows that took it (review/3).
#[gtest]
fn what_a_leaving_endpoint_says_is_acknowledged_only_if_others_hold_it() {
    for drains in [false, true] {
        let (deployment, endpoint) = start(layout(3, 1, true));
        let ip = deployment.controls[MONITOR].ip.clone();
        deployment.paths_of(&ip).for_each(|path| path.set_mode(Mode::Silent));
        expect_that!(say_last(&deployment, &endpoint, drains), eq(503), "drains: {drains}");
        deployment.paths_of(&ip).for_each(|path| path.set_mode(Mode::Open));
        // It says so again until it is acknowledged.
        eventually("it is acknowledged", || say_last(&deployment, &endpoint, drains) == 200);
    }
}

/// Guards against requests at an endpoint whose farewell was acknowledged by an instance that was killed
/// right after that (review/3).
#[gtest]
fn an_acknowledged_farewell_outlives_the_control_instance_that_took_it() {
    for drains in [false, true] {
        let (mut deployment, endpoint) = start(layout(5, 2, false));
        let started = Instant::now();
        expect_that!(say_last(&deployment, &endpoint, drains), eq(200), "drains: {drains}");
        deployment.controls[MONITOR].kill();
        expect_that!(started.elapsed(), lt(ACK_MAX));
        expect_no_requests_after_drain(&deployment, &endpoint, drains);
    }
}

/// Guards against an endpoint's word that it drains, which is acknowledged though it was dropped: another writer's
/// entry with later numbers is listed (review/13).
#[gtest]
fn a_word_that_is_dropped_is_not_acknowledged() {
    let (deployment, endpoint) = start(layout(3, 1, false));
    let later = json!({
        "service": "foreign", "address": endpoint.address, "zone": "salto", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 9_000,
    });
    let path = "/-/instances/i-1";
    let written = deployment.control(MONITOR, "PUT", path, &later.to_string());
    expect_that!(written.status, eq(200));
    expect_that!(say_last(&deployment, &endpoint, true), eq(503));
    // It goes on to say so, and is heard once nothing renews the other entry.
    let mut sequence = 9;
    eventually("it is acknowledged", || {
        sequence += 1;
        announce(&deployment, MONITOR, &endpoint, sequence, "draining").status == 200
    });
    expect_no_requests_after_drain(&deployment, &endpoint, true);
}

/// Guards against an endpoint that gets no acknowledgement because one control instance is suspended.
#[gtest]
fn a_farewell_is_acknowledged_in_time_beside_suspended_control_instances() {
    for (controls, losses) in [(5, 2), (9, 2)] {
        let (deployment, endpoint) = start(layout(controls, losses, false));
        deployment.controls[controls - 1].signal("STOP");
        let started = Instant::now();
        expect_that!(say_last(&deployment, &endpoint, false), eq(200), "{controls}");
        expect_that!(started.elapsed(), lt(ACK_MAX), "{controls}");
    }
}

/// Guards against requests at an endpoint whose farewell, or whose word that it drains, was acknowledged
/// before all control instances were killed, because an older announcement arrives late (review/9).
#[gtest]
fn what_was_acknowledged_of_a_leaving_endpoint_outlives_all_control_instances() {
    for drains in [false, true] {
        let (mut deployment, endpoint) = start(layout(3, 1, false));
        eventually("it is acknowledged", || say_last(&deployment, &endpoint, drains) == 200);
        for control in &mut deployment.controls {
            control.kill();
        }
        for control in &mut deployment.controls {
            control.start(false);
        }
        eventually("the late announcement arrives", || {
            announce(&deployment, MONITOR, &endpoint, 8, "ready").status == 200
        });
        expect_no_requests_after_drain(&deployment, &endpoint, drains);
    }
}
