//! Idle connections to endpoints, for requests that may be sent twice.
//!
//! An idle connection may be closed by the endpoint just as a request is written to it, and then
//! nobody knows whether the request ran. So only idempotent requests use one; any other gets a
//! connection of its own.

use smol::net::TcpStream;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// The most idle connections to one endpoint.
const IDLE_MAX: usize = 64;
/// How long a connection may be idle, in milliseconds.
const IDLE_MS: u64 = 5_000;

/// Idle connections by address, each with the time since which it is idle.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SmolStr, Vec<(TcpStream, u64)>>>,
}

impl Pool {
    /// Takes the connection that was idle for the shortest time.
    pub(super) fn take(&self, now_ms: u64, address: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let (stream, since_ms) = idle.get_mut(address)?.pop()?;
        if now_ms < since_ms + IDLE_MS {
            return Some(stream);
        }
        idle.remove(address);
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put(&self, now_ms: u64, address: &str, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(address.into()).or_default();
        if streams.len() < IDLE_MAX {
            streams.push((stream, now_ms));
        }
    }
}
