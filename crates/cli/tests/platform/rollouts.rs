//! Rollouts ordered by an operator, with real processes.

use crate::deployment::{Deployment, StopOnDrop, eventually};
use crate::start_deployment;
use crate::support::{Endpoint, announce_as, send_request};
use googletest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The number of concurrent callers during a rollout.
const CALLERS: usize = 6;
/// The interval between announcements of an endpoint.
const HEARTBEAT: Duration = Duration::from_millis(800);

fn start_rollout(deployment: &Deployment, target: &str, duration_s: u32) -> u16 {
    let body = format!(r#"{{"service":"labels","target":"{target}","duration_s":{duration_s}}}"#);
    deployment.control(0, "POST", "/-/rollouts", &body).status
}

fn rollout_state(deployment: &Deployment) -> String {
    deployment.control(1, "GET", "/-/rollouts/labels", "").body
}

/// Runs `act` while callers send requests and these endpoints, each with its name and version, announce
/// themselves.
fn run_under_requests(
    deployment: &Deployment,
    endpoints: &[(&str, &str, &Endpoint)],
    act: impl FnOnce(),
) {
    let is_stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&is_stopped);
        for caller in 0..CALLERS {
            let is_stopped = &is_stopped;
            scope.spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    // Replies of a failing version reach the callers; their status is not checked.
                    send_request(deployment, caller % 2, "POST", "/print/1", "key-1", "label");
                }
            });
        }
        scope.spawn(|| {
            let mut sequence = 10;
            while !is_stopped.load(Ordering::Relaxed) {
                sequence += 1;
                for (name, version, endpoint) in endpoints {
                    announce_as(deployment, 0, (name, version), endpoint, sequence, "ready");
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        act();
    });
}

#[gtest]
fn a_good_version_is_rolled_out_and_a_bad_one_is_rolled_back() {
    let (deployment, old) = start_deployment();
    let (good, bad) = (Endpoint::start(&deployment), Endpoint::start(&deployment));
    bad.fail_requests();
    let endpoints = [("i-1", "v1", &old), ("i-2", "v2", &good), ("i-3", "v3", &bad)];
    run_under_requests(&deployment, &endpoints, || {
        // The failing version is rolled out first; once rolled back, it gets no requests.
        eventually("the rollout is accepted", || start_rollout(&deployment, "v3", 6) == 200);
        eventually("the rollout is rolled back", || {
            rollout_state(&deployment).contains("rolled_back")
        });
        let before = bad.count();
        std::thread::sleep(Duration::from_millis(500));
        expect_that!(bad.count(), eq(before));

        eventually("the rollout is accepted", || start_rollout(&deployment, "v2", 4) == 200);
        expect_that!(rollout_state(&deployment), contains_substring("\"target\":\"v2\""));
        eventually("the rollout is completed", || rollout_state(&deployment).contains("completed"));
        std::thread::sleep(Duration::from_millis(300));
        let (old_count, good_count) = (old.count(), good.count());
        expect_that!(bad.count(), eq(before));
        std::thread::sleep(Duration::from_millis(500));
        expect_that!(old.count(), eq(old_count));
        expect_that!(good.count(), gt(good_count));
    });
    // A repeated order is acknowledged and has no effect.
    expect_that!(start_rollout(&deployment, "v2", 4), eq(200));
    expect_that!(rollout_state(&deployment), contains_substring("completed"));
}

/// Guards against an order for the version in service that sends most requests to the one on trial
/// (review/4, second order).
#[gtest]
fn an_order_for_the_version_in_service_takes_back_the_one_on_trial() {
    let (deployment, old) = start_deployment();
    let new = Endpoint::start(&deployment);
    run_under_requests(&deployment, &[("i-1", "v1", &old), ("i-2", "v2", &new)], || {
        eventually("the rollout is accepted", || start_rollout(&deployment, "v2", 20) == 200);
        let before = new.count();
        eventually("the new version gets requests", || new.count() > before + 5);
        eventually("the old version is ordered", || start_rollout(&deployment, "v1", 20) == 200);
        std::thread::sleep(Duration::from_millis(500));
        let (old_count, new_count) = (old.count(), new.count());
        std::thread::sleep(Duration::from_secs(2));
        expect_that!(new.count(), eq(new_count));
        expect_that!(old.count(), gt(old_count));
    });
}
