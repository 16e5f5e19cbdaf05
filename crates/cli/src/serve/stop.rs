//! Graceful shutdown: requests in flight may finish until the stop timeout.

use crate::exit::{Code, Error};
use crate::poll::poll_until;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lycheehub_gateway::Gateway;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long open connections are still answered once no request is unfinished, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// How long the last responses may take to be sent, in milliseconds.
const LAST_RESPONSES_MS: u64 = 150;

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
/// then waits up to `timeout_ms` for unfinished requests. Open connections are answered for a while after
/// that, so that no request meets the exit.
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
    let is_finished = || gateway.unfinished() == 0;
    poll_until(gateway.clock, timeout_at_ms, is_finished).await;
    gateway.accepting_ends.set();
    let quiet_at_ms = timeout_at_ms.min(gateway.clock.now_ms() + QUIET_MS);
    poll_until(gateway.clock, quiet_at_ms, || gateway.connections.load(Ordering::Relaxed) == 0)
        .await;
    if !poll_until(gateway.clock, timeout_at_ms, is_finished).await {
        return Err(end_requests(gateway).await);
    }
    let connections = gateway.connections.load(Ordering::Relaxed) as u64;
    spdlog::info!("stopped", kv: { connections });
    Ok(())
}

/// Ends the requests that are unfinished at the stop timeout, and waits until their responses are sent.
async fn end_requests(gateway: &Gateway) -> Error {
    let message = format!("{} requests were unfinished at the stop timeout", gateway.unfinished());
    gateway.ending.set();
    let last_ms = gateway.clock.now_ms() + LAST_RESPONSES_MS;
    poll_until(gateway.clock, last_ms, || gateway.exchanges.load(Ordering::Relaxed) == 0).await;
    Error::new(Code::Failed, message)
}
