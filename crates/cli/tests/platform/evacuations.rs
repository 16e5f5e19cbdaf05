//! Evacuations of failure domains, and requests that are bound to regions, with real processes.

use crate::deployment::{Deployment, Process, Reply, StopOnDrop, eventually};
use crate::support::{Endpoint, announce_in, send_request};
use crate::{document, put_document, start_deployment, times_logged_ms};
use googletest::prelude::*;
use serde_json::json;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The interval between announcements of the endpoints.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long after its acknowledgement an order may take to be in force, plus some time to show it.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Runs `act` while the endpoint of the deployment, in `salto`, and a further one in `montevideo`
/// announce themselves at whichever control instance takes it.
fn with_two_domains(act: impl FnOnce(&mut Deployment, &Endpoint, &Endpoint)) {
    let (mut deployment, near) = start_deployment();
    let far = Endpoint::start(&deployment);
    let controls: Vec<String> =
        deployment.controls.iter().map(|control| control.ip.clone()).collect();
    let is_stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&is_stopped);
        let (near, far, is_stopped) = (&near, &far, &is_stopped);
        scope.spawn(move || {
            let mut sequence = 10;
            while !is_stopped.load(Ordering::Relaxed) {
                sequence += 1;
                for (domain, name, endpoint) in [("salto", "i-1", near), ("montevideo", "i-2", far)]
                {
                    let identity = (name, "v1");
                    let is_taken = |ip: &String| {
                        announce_in(ip, domain, identity, endpoint, sequence, "ready").status == 200
                    };
                    // A control instance that is down does not reply; the next one is tried.
                    let _ = controls.iter().any(is_taken);
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        act(&mut deployment, near, far);
    });
}

/// Sends more requests at once than one endpoint has slots for, until one is run by `endpoint`.
fn await_request(deployment: &Deployment, endpoint: &Endpoint) {
    const REQUESTS: usize = 16;
    let before = endpoint.count();
    eventually("the endpoint gets a request", || {
        std::thread::scope(|scope| {
            for number in 0..REQUESTS {
                scope.spawn(move || {
                    send_request(deployment, number % 2, "GET", "/press/1", "key-1", "")
                });
            }
        });
        endpoint.count() > before
    });
}

/// Sends ten requests through each entry instance; returns how many the endpoint got.
fn requests_to(deployment: &Deployment, endpoint: &Endpoint) -> u32 {
    let before = endpoint.count();
    for number in 0..20 {
        let reply = send_request(deployment, number % 2, "GET", "/print/1", "key-1", "");
        expect_that!(reply.status, eq(200));
    }
    endpoint.count() - before
}

fn order(deployment: &Deployment, place: usize, method: &str, domain: &str) -> Reply {
    deployment.control(place, method, &format!("/-/evacuations/{domain}"), "")
}

#[gtest]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back() {
    with_two_domains(|deployment, near, far| {
        await_request(deployment, far);
        expect_that!(order(deployment, 0, "POST", "salto").status, eq(200));
        // The order is acknowledged again, wherever it is resent.
        expect_that!(order(deployment, 1, "POST", "salto").status, eq(200));
        std::thread::sleep(IN_FORCE);
        expect_that!(requests_to(deployment, near), eq(0));
        // With both domains evacuated, which is obeyed, nothing is left.
        expect_that!(order(deployment, 2, "POST", "montevideo").status, eq(200));
        std::thread::sleep(IN_FORCE);
        let refused = send_request(deployment, 0, "GET", "/print/1", "key-1", "");
        expect_that!((refused.status, refused.head.contains("Retry-After: ")), eq((503, true)));
        for (place, domain) in [(2, "montevideo"), (1, "salto"), (0, "salto")] {
            expect_that!(order(deployment, place, "DELETE", domain).status, eq(200));
        }
        await_request(deployment, near);
    });
}

#[gtest]
fn an_evacuation_outlives_all_processes_and_a_lost_disk() {
    with_two_domains(|deployment, near, far| {
        await_request(deployment, far);
        expect_that!(order(deployment, 0, "POST", "salto").status, eq(200));
        let all = deployment.controls.iter_mut().chain(&mut deployment.entries);
        all.for_each(Process::kill);
        std::fs::remove_dir_all(deployment.controls[1].data()).unwrap();
        let all = deployment.controls.iter_mut().chain(&mut deployment.entries);
        all.for_each(|process| process.start(false));
        for entry in 0..2 {
            eventually("the entry instance is ready", || deployment.ready(entry) == 200);
        }
        await_request(deployment, far);
        expect_that!(requests_to(deployment, near), eq(0));
    });
}

#[gtest]
fn an_order_is_taken_while_the_leader_is_replaced() {
    with_two_domains(|deployment, near, far| {
        await_request(deployment, far);
        let is_leader = |control: &Process| {
            !times_logged_ms(control, "leadership gained: dispatching started").is_empty()
        };
        let leader = deployment.controls.iter().position(is_leader).expect("a leader");
        deployment.controls[leader].kill();
        let others = (0..3).filter(|place| *place != leader).cycle();
        let mut others = others.take(100);
        eventually("another control instance takes the order", || {
            order(deployment, others.next().unwrap(), "POST", "salto").status == 200
        });
        std::thread::sleep(IN_FORCE);
        expect_that!(requests_to(deployment, near), eq(0));
    });
}

#[gtest]
fn orders_that_name_no_domain_or_have_a_body_are_refused_and_change_nothing() {
    with_two_domains(|deployment, near, _| {
        for (path, body, named) in [
            ("/-/evacuations/nowhere", "", "zone: \\\"nowhere\\\" is not known"),
            ("/-/evacuations/salto", "{}", "body: an order to evacuate has none"),
        ] {
            for method in ["POST", "DELETE"] {
                let reply = deployment.control(0, method, path, body);
                expect_that!(reply.status, eq(400));
                expect_that!(reply.body, contains_substring(named));
            }
        }
        await_request(deployment, near);
    });
}

#[gtest]
fn operators_list_begin_and_end_evacuations() {
    with_two_domains(|deployment, near, far| {
        await_request(deployment, far);
        let at = format!("{}:9464", deployment.controls[0].ip);
        let run = |options: &[&str]| {
            let mut command = Command::new(crate::THIS_BUILD);
            let output = command.arg("evacuations").args(["--to", &at]).args(options).output();
            String::from_utf8(output.unwrap().stdout).unwrap()
        };
        let begun = run(&["--begin", "salto"]);
        expect_that!(begun, contains_substring("lycheehub evacuations from"));
        expect_that!(begun, contains_substring("labels   16     8"));
        expect_that!(run(&[]), contains_substring("salto"));
        std::thread::sleep(IN_FORCE);
        expect_that!(requests_to(deployment, near), eq(0));
        expect_that!(run(&["--end", "salto"]), not(contains_substring("salto")));
        expect_that!(run(&["--begin", "nowhere"]), eq(""));
        await_request(deployment, near);
    });
}

#[gtest]
fn requests_run_only_in_the_regions_of_their_route_and_account() {
    with_two_domains(|deployment, near, far| {
        await_request(deployment, far);
        // `salto` is in the region `north`, `montevideo` in `south`.
        let mut bound = document(4);
        bound["routes"][0]["allowed_regions"] = json!(["south"]);
        bound["routes"][1]["allowed_regions"] = json!(["south"]);
        bound["tenants"] = json!([
            { "name": "packhouse", "api_keys": ["key-1"] },
            { "name": "elsewhere", "api_keys": ["key-2"], "allowed_regions": ["north"] },
        ]);
        expect_that!(put_document(deployment, 0, &bound).status, eq(200));
        std::thread::sleep(IN_FORCE);
        expect_that!(requests_to(deployment, near), eq(0));
        // Where both are bound, both bind: no region is left.
        let refused = send_request(deployment, 1, "GET", "/print/1", "key-2", "");
        expect_that!(refused.status, eq(503));
        expect_that!(refused.body, contains_substring("regions to which"));
        // The third route is not bound, its account is.
        let before = far.count();
        for entry in [0, 1, 0, 1] {
            let reply = send_request(deployment, entry, "POST", "/draft/1", "key-2", "declare");
            expect_that!(reply.status, eq(200));
        }
        expect_that!(far.count(), eq(before));
        // With the only region evacuated, requests are refused and sent nowhere else.
        expect_that!(order(deployment, 0, "POST", "montevideo").status, eq(200));
        std::thread::sleep(IN_FORCE);
        let before = near.count();
        let refused = send_request(deployment, 0, "GET", "/print/1", "key-1", "");
        expect_that!(refused.status, eq(503));
        expect_that!(near.count(), eq(before));
    });
}
