//! The lists of endpoints and instances on the command line, with real processes.

use crate::deployment::{Deployment, eventually};
use crate::start_deployment;
use crate::support::announce;
use googletest::prelude::*;
use serde_json::Value;
use std::process::Command;

/// The port on which control instances serve operators.
const OPERATORS_PORT: u16 = 9464;

fn list(deployment: &Deployment, place: usize, what: &str, options: &[&str]) -> String {
    let address = format!("{}:{OPERATORS_PORT}", deployment.controls[place].ip);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheehub"));
    let output = command.arg(what).args(["--to", &address]).args(options).output();
    let output = output.expect("the binary runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn list_json(deployment: &Deployment, place: usize, what: &str) -> Value {
    serde_json::from_str(&list(deployment, place, what, &["--json"])).unwrap_or_default()
}

#[gtest]
fn operators_see_endpoints_and_instances_at_any_control_instance() {
    let (deployment, endpoint) = start_deployment();
    for place in 0..3 {
        eventually("the endpoint is listed", || {
            let found = list_json(&deployment, place, "endpoints");
            let heard_by = found["endpoints"][0]["heard_by"].as_str().unwrap_or_default();
            found["endpoints"][0]["endpoint"] == "i-1" && heard_by == deployment.controls[1].ip
        });
        // Three control instances and two entry instances.
        eventually("all instances are listed with the newest document", || {
            let found = list_json(&deployment, place, "instances");
            let instances = found["instances"].as_array().cloned().unwrap_or_default();
            let live = instances.iter().filter(|instance| instance["live"] == true).count();
            // Without the document the revision is 0.
            let has_document = found["revision"].as_u64() > Some(0);
            live == 5 && has_document && found["in_force_everywhere"] == true
        });
    }
    let text = list(&deployment, 0, "endpoints", &[]);
    expect_that!(text, contains_substring("HEARD BY"));
    expect_that!(text, contains_substring("live"));
    let text = list(&deployment, 0, "instances", &[]);
    expect_that!(text, contains_substring("is in force on every live instance"));
    announce(&deployment, 0, &endpoint, 9, "draining");
    eventually("the endpoint is listed as leaving", || {
        list(&deployment, 2, "endpoints", &[]).contains("leaving")
    });
}

#[gtest]
fn a_killed_instance_is_listed_as_silent() {
    let (mut deployment, _endpoint) = start_deployment();
    deployment.entries[1].kill();
    eventually("the killed instance is listed as silent", || {
        list(&deployment, 0, "instances", &[]).contains("silent")
    });
}
