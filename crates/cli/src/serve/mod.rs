//! Runs a standalone instance.

mod bounded;
mod line_limit;
pub(crate) mod log;
mod stop;
mod wire_up;

pub(crate) use wire_up::start_metrics;

use crate::arguments::Serve;
use crate::exit::{Code, Error};
use crate::settings::{self, InstanceSettings};
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// How many times binding to an address that is in use is attempted.
const LISTEN_ATTEMPTS_MAX: u32 = 20;
/// The delay between these attempts, in milliseconds.
const LISTEN_RETRY_MS: u64 = 100;

/// Runs an instance until a signal stops it.
pub fn run(options: &Serve) -> Result<(), Error> {
    let settings = match &options.settings {
        Some(path) => settings::load(path)?,
        None => settings::embedded()?,
    };
    log::start(settings.log_format, settings.log_debug)?;
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(serve(executor.clone(), settings)))
}

async fn serve(executor: Arc<Executor<'static>>, settings: InstanceSettings) -> Result<(), Error> {
    let signals = stop::signals()?;
    let http = listen("HTTP", settings.http).await?;
    let peer = listen("peers", settings.listen_peer).await?;
    let (drain_ms, stop_timeout_ms) = (settings.drain_ms, settings.stop_timeout_ms);
    let gateway = wire_up::start(executor, settings, http, peer).await?;
    stop::wait(signals).await;
    stop::stop(&gateway, drain_ms, stop_timeout_ms).await
}

/// Listens on an address; retries while it is in use, as an earlier process may be about to
/// release it.
pub(crate) async fn listen(
    purpose: &str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, Error> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && attempts < LISTEN_ATTEMPTS_MAX =>
            {
                Timer::after(Duration::from_millis(LISTEN_RETRY_MS)).await;
            }
            Err(error) => {
                let hint = "is another instance running there?";
                let message = format!("cannot listen for {purpose} on {address}: {error}; {hint}");
                return Err(Error::new(Code::Failed, message));
            }
        }
    }
}
