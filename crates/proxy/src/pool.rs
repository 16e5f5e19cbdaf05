//! Idle connections to endpoints.
//!
//! An endpoint may close an idle connection just as a request is written to it, and then nobody
//! knows whether the request ran. So a request that may not be repeated only uses a connection that
//! was in use a moment ago.

use crate::http1::{Connection, Error};
use lycheehub_clock::within;
use lycheehub_types::EndpointName;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The most idle connections to one endpoint.
const IDLE_MAX: usize = 6;
/// How long a connection is kept where the endpoint does not say how long it keeps it, in
/// milliseconds.
const IDLE_MS: u64 = 1_500;
/// How much sooner than the endpoint this end gives a connection up, in milliseconds: a round trip
/// and the granularity of timers.
const MARGIN_MS: u64 = 400;
/// For how long an idle connection is as good as one in use, in milliseconds.
const FRESH_MS: u64 = 400;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since_ms: u64,
    until_ms: u64,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<EndpointName, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was idle for the shortest time and is good for the request.
    pub async fn take(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        may_repeat: bool,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(endpoint)?.pop()?;
            let until_ms = if may_repeat { idle.until_ms } else { idle.since_ms + FRESH_MS };
            if now_ms >= until_ms.min(idle.until_ms) {
                // Those below were idle for longer.
                if may_repeat {
                    self.idle.borrow_mut().remove(endpoint);
                } else if let Some(others) = self.idle.borrow_mut().get_mut(endpoint) {
                    others.push(idle);
                }
                return None;
            }
            if idle.connection.is_quiet().await {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let kept_ms = idle_timeout_ms.map_or(IDLE_MS, |ms| ms.saturating_sub(MARGIN_MS));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.clone()).or_default();
        connections.retain(|other| now_ms < other.until_ms);
        if connections.len() < IDLE_MAX && kept_ms > 0 {
            connections.push(Idle { connection, since_ms: now_ms, until_ms: now_ms + kept_ms });
        }
    }

    /// Closes the connections that were idle for too long.
    pub fn close_old(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now_ms < idle.until_ms);
            !connections.is_empty()
        });
    }
}

/// Connects to an endpoint.
///
/// # Errors
/// Fails where the endpoint does not accept within `timeout_ms`.
pub async fn connect(address: &str, timeout_ms: u64) -> Result<Connection, Error> {
    let connected = within(timeout_ms, TcpStream::connect(address)).await;
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = connected.unwrap_or_else(|| Err(late()))?;
    stream.set_nodelay(true)?;
    metrics::counter!("lycheehub_endpoint_connections_total").increment(1);
    Ok(Connection::new(stream))
}
