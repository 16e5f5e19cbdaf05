//! What a control instance says about the end of its run before.

use crate::deployment::{Deployment, Layout, PATIENCE, eventually};
use crate::times_logged_ms;
use googletest::prelude::*;

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
