//! Instances of an earlier build are replaced one after the other while requests run.

use crate::deployment::{Deployment, PATIENCE, Process, THIS_BUILD, eventually};
use crate::handover::{STOPPED, await_more_served, await_stop, run_under_load};
use crate::{document, put_document, start_deployment_of, times_logged_ms};
use googletest::prelude::*;
use std::path::PathBuf;
use std::sync::RwLock;

/// Names the program of an earlier build, for runs by hand; by default it is this build.
const EARLIER_BUILD: &str = "LYCHEEHUB_EARLIER_BUILD";
/// The instances in the order in which they are replaced, by role and place.
const ORDER: [(&str, usize); 5] =
    [("control", 0), ("entry", 0), ("control", 1), ("control", 2), ("entry", 1)];

fn process<'a>(deployment: &'a mut Deployment, role: &str, place: usize) -> &'a mut Process {
    match role {
        "control" => &mut deployment.controls[place],
        _ => &mut deployment.entries[place],
    }
}

#[gtest]
fn requests_run_once_while_instances_are_replaced_by_another_build() {
    let earlier = std::env::var_os(EARLIER_BUILD).map_or_else(|| THIS_BUILD.into(), PathBuf::from);
    let (deployment, endpoint) = start_deployment_of(&earlier);
    let deployment = RwLock::new(deployment);
    let replies = run_under_load(&deployment, &endpoint, |replies| {
        for (version, (role, place)) in (4..).zip(ORDER) {
            await_more_served(replies);
            process(&mut deployment.write().unwrap(), role, place).signal("TERM");
            await_stop(|| {
                let mut deployment = deployment.write().unwrap();
                times_logged_ms(process(&mut deployment, role, place), STOPPED)
            });
            {
                let mut deployment = deployment.write().unwrap();
                let process = process(&mut deployment, role, place);
                expect_that!(process.exits_within(PATIENCE).is_some(), eq(true));
                process.binary = THIS_BUILD.into();
                process.start(false);
            }
            let deployment = || deployment.read().unwrap();
            eventually("the entry instances are ready", || {
                (0..2).all(|entry| deployment().ready(entry) == 200)
            });
            eventually("a document is acknowledged between builds", || {
                put_document(&deployment(), version as usize % 3, &document(version)).status == 200
            });
            let current = document(version).to_string();
            eventually("all control instances have the document", || {
                let read = |control| deployment().control(control, "GET", "/-/config", "").body;
                (0..3).all(|control| read(control) == current)
            });
        }
        await_more_served(replies);
    });
    replies.check(&endpoint);
}
