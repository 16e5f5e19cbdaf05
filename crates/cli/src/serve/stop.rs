//! The planned stop: it cuts off no request in flight.

use crate::exit::{Code, Error};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lycheehub_gateway::Gateway;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often the end of the last request is looked for, in milliseconds.
const LOOK_MS: u64 = 20;

/// Takes over the signals that stop the process.
pub(super) fn signals() -> Result<Signals, Error> {
    Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| Error::new(Code::Failed, format!("cannot take signals: {error}")))
}

/// Waits for a signal.
pub(super) async fn wait(mut signals: Signals) {
    // Whatever the stream gives, also its end, asks for a stop.
    let _ = signals.next().await;
}

/// Stops the instance: first not ready, then nothing new, then the end of all that runs.
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
    spdlog::info!("stopping: nothing new", kv: { unfinished = gateway.unfinished() as u64 });
    let give_up_ms = gateway.clock.now_ms() + timeout_ms;
    while gateway.unfinished() > 0 {
        if gateway.clock.now_ms() >= give_up_ms {
            let message = format!("{} requests did not end in time", gateway.unfinished());
            return Err(Error::new(Code::Failed, message));
        }
        Timer::after(Duration::from_millis(LOOK_MS)).await;
    }
    spdlog::info!("stopped");
    Ok(())
}
