//! What an instance may decide by itself after it was paused.

use googletest::prelude::*;
use lycheehub_peer::entry::PauseGuard;

/// Tells whether a request must wait at a process that runs.
fn must_wait(guard: &mut PauseGuard, now_ms: u64) -> bool {
    guard.note_running(now_ms);
    guard.must_wait(now_ms)
}

#[gtest]
fn an_instance_that_runs_decides_by_itself() {
    let mut guard = PauseGuard::new(1_000);
    for now_ms in (1_050..10_000).step_by(50) {
        expect_that!(must_wait(&mut guard, now_ms), eq(false));
    }
    // A busy machine.
    expect_that!(must_wait(&mut guard, 10_800), eq(false));
}

#[gtest]
fn an_instance_that_was_paused_decides_nothing_by_what_it_knew_before() {
    let mut guard = PauseGuard::new(1_000);
    // Its first act after the pause.
    expect_that!(must_wait(&mut guard, 4_500), eq(true));
    expect_that!(must_wait(&mut guard, 4_900), eq(true));
    expect_that!(must_wait(&mut guard, 5_550), eq(false));
}

#[gtest]
fn a_pause_is_noticed_whoever_runs_first_after_it() {
    let mut guard = PauseGuard::new(1_000);
    expect_that!(guard.note_running(4_500), eq(true));
    expect_that!(guard.note_running(4_550), eq(false));
    expect_that!(must_wait(&mut guard, 4_600), eq(true));
}
