//! Starts of instances: what they say about the end of the run before, and signals that meet them.

use crate::deployment::{CONTROL_PORT, Deployment, FRONT_PORT, Layout, PATIENCE, eventually};
use crate::times_logged_ms;
use googletest::prelude::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const NOT_IN_ORDER: &str = "the run before did not stop in order";
const STARTED: &str = "control instance started";

#[gtest]
fn a_control_instance_tells_after_its_start_that_it_did_not_stop_in_order() {
    let mut deployment =
        Deployment::start(Layout { controls: 1, entries: 0, losses: 0, proxied: false });
    let control = &mut deployment.controls[0];
    for (starts, signal, told) in [(1, "TERM", 0), (2, "ILL", 1), (3, "KILL", 2)] {
        eventually("it has started", || times_logged_ms(control, STARTED).len() == starts);
        control.signal(signal);
        expect_that!(control.exits_within(PATIENCE).is_some(), eq(true), "{signal}");
        control.start(false);
        eventually("it has started again", || times_logged_ms(control, STARTED).len() > starts);
        expect_that!(times_logged_ms(control, NOT_IN_ORDER).len(), eq(told), "{signal}");
    }
}

/// Guards against an instance that a reload ends, with all connections that it has accepted, because it registers for
/// signals only after it listens (soak, seed 141).
#[gtest]
fn a_reload_that_meets_a_start_does_not_end_the_instance() {
    let mut deployment =
        Deployment::start(Layout { controls: 1, entries: 1, losses: 0, proxied: false });
    let controls = deployment.controls.iter_mut().map(|process| (process, CONTROL_PORT));
    let entries = deployment.entries.iter_mut().map(|process| (process, FRONT_PORT));
    for (process, port) in controls.chain(entries) {
        for start in 0..3 {
            process.kill();
            process.start(false);
            let started = Instant::now();
            while TcpStream::connect((process.ip.as_str(), port)).is_err() {
                assert!(started.elapsed() < PATIENCE, "{} does not listen", process.role);
            }
            ["STOP", "HUP", "CONT"].into_iter().for_each(|signal| process.signal(signal));
            std::thread::sleep(Duration::from_millis(500));
            expect_that!(process.has_exited(), eq(false), "{} start {start}", process.role);
        }
    }
}
