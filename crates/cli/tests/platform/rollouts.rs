//! Versions moved by the operator's order, with real processes.

use crate::deployment::{Deployment, eventually};
use crate::open;
use crate::support::{Endpoint, announce, announce_as, ask};
use googletest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Callers that ask one after the other while versions move.
const CALLERS: usize = 6;
/// How often endpoints announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(800);

fn order(deployment: &Deployment, target: &str, duration_s: u32) -> u16 {
    let body = format!(r#"{{"service":"labels","target":"{target}","duration_s":{duration_s}}}"#);
    deployment.control(0, "POST", "/-/rollouts", &body).status
}

fn state(deployment: &Deployment) -> String {
    deployment.control(1, "GET", "/-/rollouts/labels", "").body
}

#[gtest]
fn a_good_version_takes_over_and_a_bad_one_is_taken_back() {
    let (deployment, old) = open();
    let (good, bad) = (Endpoint::start(&deployment), Endpoint::start(&deployment));
    bad.fail();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (deployment, is_over) = (&deployment, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // The bad version's failures are passed on.
                    ask(deployment, caller % 2, "POST", "/print/1", "key-1", "label");
                }
            });
        }
        scope.spawn(|| {
            let mut sequence = 10;
            while !is_over.load(Ordering::Relaxed) {
                sequence += 1;
                announce(&deployment, 0, &old, sequence, "ready");
                announce_as(&deployment, 0, ("i-2", "v2"), &good, sequence, "ready");
                announce_as(&deployment, 0, ("i-3", "v3"), &bad, sequence, "ready");
                std::thread::sleep(HEARTBEAT);
            }
        });
        // The bad version is ordered first: it gets little, and nothing once it is taken back.
        eventually("the order is taken", || order(&deployment, "v3", 6) == 200);
        eventually("it is taken back", || state(&deployment).contains("rolled_back"));
        let before = bad.count();
        std::thread::sleep(Duration::from_millis(500));
        expect_that!(bad.count(), eq(before));

        eventually("the order is taken", || order(&deployment, "v2", 4) == 200);
        expect_that!(state(&deployment), contains_substring("\"target\":\"v2\""));
        eventually("it is completed", || state(&deployment).contains("completed"));
        std::thread::sleep(Duration::from_millis(300));
        let (old_count, good_count) = (old.count(), good.count());
        expect_that!(bad.count(), eq(before));
        std::thread::sleep(Duration::from_millis(500));
        is_over.store(true, Ordering::Relaxed);
        expect_that!(old.count(), eq(old_count));
        expect_that!(good.count(), gt(good_count));
    });
    // An order that is sent again is acknowledged and changes nothing.
    expect_that!(order(&deployment, "v2", 4), eq(200));
    expect_that!(state(&deployment), contains_substring("completed"));
}
