//! Control instances that leave for good, with successors that have run for long.

use crate::deployment::{Deployment, Layout, PATIENCE, eventually};
use crate::{document, put_document};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// The pause between two replacements: less than a silent voter takes to be noticed.
const PAUSE: Duration = Duration::from_millis(300);
/// How long an instance that starts counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// The stop timeout of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// How long the operator waits for a quorum.
const RECOVERY: Duration = Duration::from_secs(12);

/// Starts five control instances, and `spares` more that run for as long as a new one counts as lost.
fn start_core(spares: usize) -> Deployment {
    let mut deployment =
        Deployment::start(Layout { controls: 5, entries: 0, losses: 2, proxied: false });
    eventually("the document is acknowledged", || {
        put_document(&deployment, 0, &document(3)).status == 200
    });
    deployment.spares.iter_mut().take(spares).for_each(|spare| spare.start(false));
    std::thread::sleep(CATCH_UP);
    deployment
}

/// Asks the first control instance until it reads the document with a quorum.
fn is_read_back(deployment: &Deployment, version: u64) -> bool {
    let started = Instant::now();
    let expected = document(version).to_string();
    while started.elapsed() < RECOVERY {
        let reply = deployment.control(0, "GET", "/-/config", "");
        if reply.status == 200 {
            return reply.body == expected;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Guards against a quorum that is lost for good when three voters leave as planned (review/1).
#[gtest]
fn the_document_outlives_three_planned_replacements_in_quick_succession() {
    let mut deployment = start_core(3);
    for place in [4, 3, 2] {
        let leaver = &mut deployment.controls[place];
        leaver.signal("TERM");
        let status = leaver.exits_within(GRACE);
        expect_that!(status.is_some_and(|status| status.success()), eq(true), "{place}");
        std::thread::sleep(PAUSE);
    }
    expect_that!(is_read_back(&deployment, 3), eq(true));
    expect_that!(put_document(&deployment, 1, &document(5)).status, eq(200));
}

/// Guards against a quorum that is lost for good when two disks go after a planned replacement (review/1).
#[gtest]
fn the_document_outlives_two_lost_disks_after_a_planned_replacement() {
    let mut deployment = start_core(1);
    let leaver = &mut deployment.controls[4];
    leaver.signal("TERM");
    expect_that!(leaver.exits_within(GRACE).is_some(), eq(true));
    for lost in &mut deployment.controls[2..4] {
        lost.kill();
        std::fs::remove_dir_all(lost.data()).unwrap();
    }
    deployment.controls[2..4].iter_mut().for_each(|lost| lost.start(false));
    expect_that!(is_read_back(&deployment, 3), eq(true));
    eventually("a new document is acknowledged", || {
        put_document(&deployment, 0, &document(5)).status == 200
    });
}

/// Guards against stops that last for their whole grace where no other replica can take over (review/1).
#[gtest]
fn a_control_instance_without_a_successor_stops_at_once() {
    const STOP_MAX: Duration = Duration::from_secs(2);
    let mut deployment = start_core(0);
    for place in 0..5 {
        let control = &mut deployment.controls[place];
        let started = Instant::now();
        control.signal("TERM");
        expect_that!(control.exits_within(PATIENCE).is_some(), eq(true));
        expect_that!(started.elapsed(), lt(STOP_MAX), "{place}");
        control.start(false);
        eventually("a quorum reads", || {
            deployment.control(place, "GET", "/-/config", "").status == 200
        });
    }
}
