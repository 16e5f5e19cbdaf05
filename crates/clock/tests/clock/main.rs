//! Tests of the clock.

use googletest::prelude::*;
use lycheehub_clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The time of the simulated boot-time clock, in milliseconds.
static BOOT_TIME_MS: AtomicU64 = AtomicU64::new(1_000);

fn boot_time() -> Duration {
    Duration::from_millis(BOOT_TIME_MS.load(Ordering::Relaxed))
}

#[gtest]
fn time_during_suspension_counts() {
    let clock = Clock::with_source(boot_time);
    let instant = Instant::now();
    let before_ms = clock.now_ms();

    // Simulates a suspension of 5 s: `Instant` does not count it, the boot-time clock does.
    BOOT_TIME_MS.fetch_add(5_000, Ordering::Relaxed);

    expect_that!(clock.now_ms() - before_ms, eq(5_000));
    expect_that!(instant.elapsed().as_millis(), lt(5_000));
}
