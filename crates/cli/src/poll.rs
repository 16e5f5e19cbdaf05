//! Waits for a condition that nothing reports.

use lycheehub_clock::Clock;
use smol::Timer;
use std::time::Duration;

/// The interval between checks, in milliseconds.
pub(crate) const POLL_INTERVAL_MS: u64 = 20;

/// Waits until `condition` is true or the time `until_ms` has come; returns whether it is true.
pub(crate) async fn poll_until(
    clock: Clock,
    until_ms: u64,
    mut condition: impl FnMut() -> bool,
) -> bool {
    while !condition() {
        if clock.now_ms() >= until_ms {
            return false;
        }
        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    true
}
