//! Tests when an instance may decide on requests locally after its process was paused.

use googletest::prelude::*;
use lycheehub_peer::entry::PauseGuard;

/// Records that the process runs, then returns whether a request must wait.
fn must_wait(guard: &mut PauseGuard, now_ms: u64) -> bool {
    guard.record_running(now_ms);
    guard.must_wait(now_ms)
}

#[gtest]
fn a_running_instance_decides_locally() {
    let mut guard = PauseGuard::new(1_000);
    for now_ms in (1_050..10_000).step_by(50) {
        expect_that!(must_wait(&mut guard, now_ms), eq(false));
    }
    // A delay below the limit of 1,000 ms, as on a busy machine, is no pause.
    expect_that!(must_wait(&mut guard, 10_800), eq(false));
}

#[gtest]
fn a_paused_instance_makes_no_decision_from_stale_state() {
    let mut guard = PauseGuard::new(1_000);
    // The first check after the pause.
    expect_that!(must_wait(&mut guard, 4_500), eq(true));
    expect_that!(must_wait(&mut guard, 4_900), eq(true));
    expect_that!(must_wait(&mut guard, 5_550), eq(false));
}

#[gtest]
fn a_pause_is_detected_by_the_first_call_after_it() {
    let mut guard = PauseGuard::new(1_000);
    expect_that!(guard.record_running(4_500), eq(true));
    expect_that!(guard.record_running(4_550), eq(false));
    expect_that!(must_wait(&mut guard, 4_600), eq(true));
}
