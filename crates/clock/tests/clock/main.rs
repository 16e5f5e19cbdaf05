//! Tests of the clock.

use googletest::prelude::*;
use lycheehub_clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What the stand-in for the machine's clock shows, in milliseconds.
static MACHINE_MS: AtomicU64 = AtomicU64::new(1_000);

fn machine_time() -> Duration {
    Duration::from_millis(MACHINE_MS.load(Ordering::Relaxed))
}

#[gtest]
fn time_in_suspension_counts() {
    let clock = Clock::with_source(machine_time);
    let steady = Instant::now();
    let before_ms = clock.now_ms();

    // The machine is suspended: its steady clock stands still, the other one goes on.
    MACHINE_MS.fetch_add(5_000, Ordering::Relaxed);

    expect_that!(clock.now_ms() - before_ms, eq(5_000));
    expect_that!(steady.elapsed().as_millis(), lt(5_000));
}
