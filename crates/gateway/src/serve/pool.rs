//! Idle connections to endpoints, for idempotent requests.
//!
//! An endpoint may close an idle connection just as a request is written to it, which leaves
//! unknown whether the request ran. So only idempotent requests reuse connections; any other
//! request opens a new one.

use smol::net::TcpStream;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// The maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// How long an idle connection can be reused, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Idle connections by address, each with the time at which it became idle.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SmolStr, Vec<(TcpStream, u64)>>>,
}

impl ConnectionPool {
    /// Takes the connection that became idle last, unless it has expired.
    pub(super) fn take(&self, now_ms: u64, address: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let (stream, since_ms) = idle.get_mut(address)?.pop()?;
        if now_ms < since_ms + IDLE_TIMEOUT_MS {
            return Some(stream);
        }
        // The remaining connections have been idle for longer, so they have expired too.
        idle.remove(address);
        None
    }

    /// Returns a connection whose response was read to its end.
    pub(super) fn put(&self, now_ms: u64, address: &str, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(address.into()).or_default();
        if streams.len() < MAX_IDLE_PER_ENDPOINT {
            streams.push((stream, now_ms));
        }
    }
}
