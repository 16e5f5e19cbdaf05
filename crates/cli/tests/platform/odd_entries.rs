//! Odd entries of other writers, sent to real processes: each is refused and counted, no process ends,
//! and all other entries stay in force.

use crate::deployment::{CONTROL_PORT, Deployment, call, eventually};
use crate::support::{announce, send_request};
use crate::{document, put_document, start_deployment};
use googletest::prelude::*;
use std::time::Duration;

const METRICS_PORT: u16 = 9464;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the number of refused announcements that a control instance has counted.
fn refused(deployment: &Deployment, place: usize) -> u64 {
    let address = format!("{}:{METRICS_PORT}", deployment.controls[place].ip);
    let request = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
    let metrics = call(&address, request, CALL_TIMEOUT).unwrap_or_default().body;
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.strip_prefix("lycheehub_refused_announcements_total "));
    count.and_then(|count| count.parse().ok()).unwrap_or_default()
}

/// Sends raw bytes to a control instance; returns the status, 0 if there is no reply.
fn send_raw(deployment: &Deployment, place: usize, request: &str) -> u16 {
    let address = format!("{}:{CONTROL_PORT}", deployment.controls[place].ip);
    call(&address, request, CALL_TIMEOUT).unwrap_or_default().status
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

#[gtest]
fn odd_announcements_end_no_process_and_the_others_hold() {
    let (deployment, endpoint) = start_deployment();
    let odd = |fields: &str| {
        format!(
            "{{\"service\":\"labels\",\"address\":\"{}\",\"zone\":\"salto\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\"{fields}}}",
            endpoint.address
        )
    };
    let bodies = [
        String::new(),
        "\u{0}".to_owned(),
        nested(30_000),
        nested(100_000),
        odd(&format!(",\"sequence\":9,\"born\":1,\"x\":{}", nested(30_000))),
        odd(",\"sequence\":18446744073709551615,\"born\":1"),
        odd(",\"sequence\":9,\"born\":18446744073709551615"),
        odd(",\"sequence\":1e400,\"born\":1"),
        odd(",\"sequence\":9,\"born\":1").replace(&endpoint.address, "10.0.0.1:0"),
        odd(",\"sequence\":9,\"born\":1").replace(&endpoint.address, "10.0.0.1:65536"),
        odd(",\"sequence\":9,\"born\":1").replace(":8,", ":4294967295,"),
    ];
    for place in 0..3 {
        for body in &bodies {
            let reply = deployment.control(place, "PUT", "/-/instances/i-1", body);
            expect_that!(reply.status, eq(400), "{:.100}", body);
        }
        // A path or a length that cannot be read gets any reply or none.
        for head in [
            "PUT /-/instances/%00 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n",
            "PUT /-/instances/i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999999999999999\r\n",
            "PUT /-/instances/i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: -1\r\n",
            "PUT /-/instances/i-1 HTTP/1.1\r\nHost: \u{1}:99999\r\nContent-Length: 0\r\n",
            "PUT //-//instances//i-1 HTTP/1.1\r\nContent-Length: 0\r\n",
            "PUT http://[::1/-/instances/i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n",
        ] {
            send_raw(&deployment, place, &format!("{head}Connection: close\r\n\r\n"));
        }
        let chunked = "PUT /-/instances/i-1 HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\
                       Transfer-Encoding: chunked\r\n\r\n";
        for chunks in ["fffffffffffffffff\r\nx", "ffffffffffffffff\r\nx", "-1\r\nx", "0"] {
            let address = format!("{}:{CONTROL_PORT}", deployment.controls[place].ip);
            // The body never ends, so no reply is expected.
            let _ = call(&address, &format!("{chunked}{chunks}"), Duration::from_millis(200));
        }
        expect_that!(refused(&deployment, place), ge(bodies.len() as u64), "instance {place}");
    }
    // The true endpoint announces itself as before, and every instance still follows the list.
    expect_that!(announce(&deployment, 2, &endpoint, 2, "ready").status, eq(200));
    for entry in 0..2 {
        let reply = send_request(&deployment, entry, "GET", "/print/after", "key-1", "");
        expect_that!(reply.status, eq(200));
    }
    expect_that!(announce(&deployment, 0, &endpoint, 3, "draining").status, eq(200));
    for entry in 0..2 {
        eventually("the entry instance follows the list", || {
            send_request(&deployment, entry, "GET", "/print/after", "key-1", "").status == 503
        });
    }
}

#[gtest]
fn an_odd_document_is_refused_and_the_former_one_stays_in_force() {
    let (deployment, _endpoint) = start_deployment();
    let sound = document(4).to_string();
    let with = |odd: &str| sound.replacen('{', &format!("{{\"x\":{odd},"), 1);
    let bodies = [with(&nested(100_000)), with("1e400"), nested(100_000), with("\"\\ud800\"")];
    for place in 0..3 {
        for body in &bodies {
            let reply = deployment.control(place, "PUT", "/-/config", body);
            expect_that!(reply.status, eq(400), "{:.100}", body);
        }
    }
    for entry in 0..2 {
        let reply = send_request(&deployment, entry, "GET", "/print/after", "key-1", "");
        expect_that!(reply.status, eq(200));
    }
    eventually("the next document is acknowledged", || {
        put_document(&deployment, 1, &document(4)).status == 200
    });
}
