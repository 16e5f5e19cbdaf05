//! What operators are told of the revisions in force.

use googletest::prelude::*;
use lycheehub_types::instance::is_in_force_everywhere;

#[gtest]
fn a_revision_is_in_force_everywhere_once_each_live_instance_has_it() {
    expect_true!(is_in_force_everywhere(3, [3, 3, 3]));
    expect_false!(is_in_force_everywhere(3, [3, 0, 3]));
}

/// An instance that has not yet got a document must not call the state before it the one in force.
#[gtest]
fn a_revision_older_than_that_of_a_live_instance_is_not_in_force_everywhere() {
    expect_false!(is_in_force_everywhere(0, [0, 0, 3]));
}
