//! Graceful shutdown: requests in flight may finish until the stop timeout.

use crate::exit::{Code, Error};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lycheehub_gateway::Gateway;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The interval between checks for unfinished requests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Registers for the signals that stop the process.
pub(super) fn signals() -> Result<Signals, Error> {
    Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| Error::new(Code::Failed, format!("cannot register for signals: {error}")))
}

/// Waits for a signal.
pub(super) async fn wait(mut signals: Signals) {
    // An item, an error and the end of the stream all stop the instance.
    let _ = signals.next().await;
}

/// Stops the instance: it reports that it is not ready, refuses new requests after `drain_ms`, and
/// then waits up to `timeout_ms` for unfinished requests.
pub(super) async fn stop(
    gateway: &Arc<Gateway>,
    drain_ms: u64,
    timeout_ms: u64,
) -> Result<(), Error> {
    spdlog::info!("stopping: not ready", kv: { unfinished = gateway.unfinished() as u64 });
    gateway.draining.store(true, Ordering::Relaxed);
    gateway.control.stop().await;
    Timer::after(Duration::from_millis(drain_ms)).await;
    gateway.stopping.store(true, Ordering::Relaxed);
    spdlog::info!("stopping: refusing new requests", kv: { unfinished = gateway.unfinished() as u64 });
    let timeout_at_ms = gateway.clock.now_ms() + timeout_ms;
    while gateway.unfinished() > 0 {
        if gateway.clock.now_ms() >= timeout_at_ms {
            let message =
                format!("{} requests were unfinished at the stop timeout", gateway.unfinished());
            return Err(Error::new(Code::Failed, message));
        }
        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    spdlog::info!("stopped");
    Ok(())
}
