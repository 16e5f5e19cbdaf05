//! Runs entry and control instances on the deployment platform.

mod connections;
mod control;
mod ends;
mod entry;
mod evacuations;
mod http;
mod lists;
mod quarantines;
mod run_marker;

use crate::exit::{Code, Error};
use crate::serve::{listen, log, start_metrics};
use crate::settings::LogFormat;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lycheehub_budget::Budget;
use lycheehub_peer::Control;
use lycheehub_platform::settings::{self, Deployment};
use smol::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Runs an entry instance until a signal stops it.
pub fn run_entry() -> Result<(), Error> {
    run(entry::serve)
}

/// Runs a control instance until a signal stops it.
pub fn run_control() -> Result<(), Error> {
    run(control::serve)
}

/// The part of a machine's memory for the bodies that clients of a process send.
const ENTRY_BODY_SHARE: f64 = 1.0 / 3.0;
/// The same part on a control instance, where a document takes several times its size while it is read.
const CONTROL_BODY_SHARE: f64 = 1.0 / 8.0;
/// The memory for bodies if the settings do not name the memory of the machine, in bytes.
const BODY_MEMORY_DEFAULT_BYTES: u64 = 64 * 1024 * 1024;
/// The most connections for readiness checks, and for metrics and operators.
const WATCHING_CONNECTIONS_MAX: usize = 256;

/// Returns the memory for bodies on a machine, of which they may take a `share`.
fn body_memory_bytes(deployment: &Deployment, share: f64) -> u64 {
    let memory_bytes = deployment.memory_bytes;
    memory_bytes.map_or(BODY_MEMORY_DEFAULT_BYTES, |bytes| (bytes as f64 * share) as u64)
}

/// The metrics port, as set in the platform's deployment file.
const METRICS_PORT: u16 = 9464;

/// Loads the settings, starts the log and runs a role until it stops.
fn run<F>(serve: impl FnOnce(Rc<LocalExecutor<'static>>, Deployment) -> F) -> Result<(), Error>
where
    F: Future<Output = Result<(), Error>>,
{
    let deployment = load()?;
    log::start_bounded(LogFormat::Json, false)?;
    log::exit_on_panic();
    let executor = Rc::new(LocalExecutor::new());
    let result = smol::block_on(executor.run(serve(executor.clone(), deployment)));
    log::flush();
    result
}

/// Starts a named thread.
fn start_thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    let started = std::thread::Builder::new().name(name.to_owned()).spawn(run);
    started
        .map(drop)
        .map_err(|error| Error::new(Code::Failed, format!("cannot start a thread: {error}")))
}

/// Serves metrics to operators and, on a control instance, its lists of endpoints and
/// instances, the quarantines and the evacuations.
async fn serve_metrics(
    executor: &Rc<LocalExecutor<'static>>,
    deployment: &Deployment,
    bodies: Arc<Budget>,
    control: Option<Control>,
) -> Result<(), Error> {
    let listener = listen("metrics", SocketAddr::new(deployment.ip, METRICS_PORT)).await?;
    let handle = start_metrics()?;
    let domains = Rc::new(deployment.peer.regions.clone());
    let limits = http::Limits { bodies: bodies.clone(), connections_max: WATCHING_CONNECTIONS_MAX };
    let handler = move |request| {
        let (handle, control, domains) = (handle.clone(), control.clone(), domains.clone());
        let bodies = bodies.clone();
        async move {
            if let Some(control) = control {
                if let Some(response) = lists::answer(&control, &request).await {
                    return response;
                }
                if let Some(response) = evacuations::answer(&control, &domains, &request).await {
                    return response;
                }
                if let Some(response) = quarantines::answer(&control, &request).await {
                    return response;
                }
            }
            bodies.record_gauges();
            http::metrics(&handle, &request)
        }
    };
    executor.spawn(http::serve(executor.clone(), listener, limits, handler)).detach();
    Ok(())
}

/// Reads the settings file.
fn load() -> Result<Deployment, Error> {
    let path = settings::path();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let message = format!("cannot read settings {}: {error}", path.display());
        Error::new(Code::Invalid, message)
    })?;
    settings::read(&text).map_err(|error| Error::new(Code::Invalid, error.to_string()))
}

/// Returns an address that the role requires, or an error that names its purpose.
fn require_address(address: Option<SocketAddr>, purpose: &str) -> Result<SocketAddr, Error> {
    address.ok_or_else(|| Error::new(Code::Invalid, format!("settings: no address for {purpose}")))
}

/// Registers for the signals that stop the process or reload its settings. A role does so before it listens: until then a
/// signal ends the process, with all that has been accepted.
fn register_signals() -> Result<Signals, Error> {
    let fail = |error| Error::new(Code::Failed, format!("cannot register for signals: {error}"));
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(fail)
}

/// Waits for a signal that stops the process; calls `reload` on each SIGHUP.
async fn wait_for_stop(mut signals: Signals, mut reload: impl FnMut()) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        reload();
    }
}
