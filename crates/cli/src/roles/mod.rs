//! The daemons on the users' platform: entry instances and control instances.

mod control;
mod entry;
mod http;

pub use control::run as run_control;
pub use entry::run as run_entry;

use crate::exit::{Code, Error};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lycheehub_platform::settings::{self, Deployment};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;

/// The port at which metrics are served on the platform, as its deploy file says.
const METRICS_PORT: u16 = 9464;

/// Reads the settings file.
fn load() -> Result<Deployment, Error> {
    let path = settings::path();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let message = format!("cannot read settings {}: {error}", path.display());
        Error::new(Code::Invalid, message)
    })?;
    settings::read(&text).map_err(|error| Error::new(Code::Invalid, error.to_string()))
}

/// Returns an address that the role needs.
fn needed(address: Option<SocketAddr>, what: &str) -> Result<SocketAddr, Error> {
    address.ok_or_else(|| Error::new(Code::Invalid, format!("settings: no address for {what}")))
}

/// Waits for a signal that stops the process; calls `reload` at each that asks for a reload.
async fn wait_for_stop(mut reload: impl FnMut()) -> Result<(), Error> {
    let fail = |error| Error::new(Code::Failed, format!("cannot take signals: {error}"));
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(fail)?;
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        reload();
    }
    Ok(())
}

fn start_metrics() -> Result<PrometheusHandle, Error> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|error| Error::new(Code::Failed, format!("cannot start metrics: {error}")))?;
    Ok(handle)
}
