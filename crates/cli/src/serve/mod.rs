//! The daemon.

mod bounded;
pub(crate) mod log;
mod stop;
mod wire_up;

pub(crate) use wire_up::start_metrics;

use crate::arguments::Serve;
use crate::exit::{Code, Error};
use crate::settings::{self, Loaded};
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// How often an address in use is tried.
const LISTEN_TRIES: u32 = 20;
/// How long to wait before it is tried again, in milliseconds.
const LISTEN_AGAIN_MS: u64 = 100;

/// Runs an instance until it is told to stop.
pub fn run(options: &Serve) -> Result<(), Error> {
    let loaded = match &options.settings {
        Some(path) => settings::load(path)?,
        None => settings::embedded()?,
    };
    log::start(loaded.log_format, loaded.log_debug)?;
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(serve(executor.clone(), loaded)))
}

async fn serve(executor: Arc<Executor<'static>>, loaded: Loaded) -> Result<(), Error> {
    let http = listen("HTTP", loaded.http).await?;
    let peer = listen("peers", loaded.listen_peer).await?;
    let (drain_ms, stop_timeout_ms) = (loaded.drain_ms, loaded.stop_timeout_ms);
    let signals = stop::signals()?;
    let gateway = wire_up::start(executor, loaded, http, peer).await?;
    stop::wait(signals).await;
    stop::stop(&gateway, drain_ms, stop_timeout_ms).await
}

/// Listens on an address; one that an earlier process is just leaving is waited for.
pub(crate) async fn listen(
    what: &str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, Error> {
    let mut tries = 0;
    loop {
        tries += 1;
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == ErrorKind::AddrInUse && tries < LISTEN_TRIES => {
                Timer::after(Duration::from_millis(LISTEN_AGAIN_MS)).await;
            }
            Err(error) => {
                let hint = "is another instance running there?";
                let message = format!("cannot listen for {what} on {address}: {error}; {hint}");
                return Err(Error::new(Code::Failed, message));
            }
        }
    }
}
