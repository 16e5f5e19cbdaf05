//! The daemon.

mod log;
mod stop;
mod wire_up;

use crate::arguments::Serve;
use crate::exit::{Code, Error};
use crate::settings::{self, Loaded};
use smol::net::TcpListener;

/// Runs an instance until it is told to stop.
pub fn run(options: &Serve) -> Result<(), Error> {
    let loaded = match &options.settings {
        Some(path) => settings::load(path)?,
        None => settings::embedded()?,
    };
    log::start(loaded.log_format, loaded.log_debug)?;
    smol::block_on(serve(loaded))
}

async fn serve(loaded: Loaded) -> Result<(), Error> {
    let http = listen("HTTP", loaded.http).await?;
    let peer = listen("peers", loaded.listen_peer).await?;
    let (drain_ms, stop_timeout_ms) = (loaded.drain_ms, loaded.stop_timeout_ms);
    let signals = stop::signals()?;
    let gateway = wire_up::start(loaded, http, peer).await?;
    stop::wait(signals).await;
    stop::stop(&gateway, drain_ms, stop_timeout_ms).await
}

async fn listen(what: &str, address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| {
        let message = format!(
            "cannot listen for {what} on {address}: {error}; is another instance running there?"
        );
        Error::new(Code::Failed, message)
    })
}
