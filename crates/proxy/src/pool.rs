//! Pool of idle connections to endpoints.
//!
//! An endpoint may close an idle connection while a request is being written to it; it is then
//! unknown whether the request ran. A request that may not be repeated therefore only uses a
//! connection that became idle very recently.

use crate::http1::{Connection, Error};
use lycheehub_clock::within;
use lycheehub_types::EndpointName;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Maximum number of idle connections per endpoint.
const IDLE_PER_ENDPOINT_MAX: usize = 6;
/// Idle timeout in milliseconds for endpoints that do not announce one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 1_500;
/// Time in milliseconds by which the pool closes a connection before the endpoint's idle timeout; it
/// covers a round trip and the granularity of timers.
const IDLE_MARGIN_MS: u64 = 400;
/// Maximum idle time of a connection used for a request that may not be repeated, in milliseconds.
const NOT_REPEATABLE_IDLE_MAX_MS: u64 = 400;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since_ms: u64,
    expires_ms: u64,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<EndpointName, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the most recently used connection, if it is usable for the request.
    pub async fn take(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        may_repeat: bool,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(endpoint)?.pop()?;
            let expires_ms = if may_repeat {
                idle.expires_ms
            } else {
                idle.since_ms + NOT_REPEATABLE_IDLE_MAX_MS
            };
            if now_ms >= expires_ms.min(idle.expires_ms) {
                // The connections below this one have been idle for longer.
                if may_repeat {
                    self.idle.borrow_mut().remove(endpoint);
                } else if let Some(others) = self.idle.borrow_mut().get_mut(endpoint) {
                    others.push(idle);
                }
                return None;
            }
            if idle.connection.is_idle().await {
                return Some(idle.connection);
            }
        }
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn put(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let timeout_ms =
            idle_timeout_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.clone()).or_default();
        connections.retain(|other| now_ms < other.expires_ms);
        if connections.len() < IDLE_PER_ENDPOINT_MAX && timeout_ms > 0 {
            connections.push(IdleConnection {
                connection,
                since_ms: now_ms,
                expires_ms: now_ms + timeout_ms,
            });
        }
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_expired(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now_ms < idle.expires_ms);
            !connections.is_empty()
        });
    }
}

/// Connects to an endpoint.
///
/// # Errors
/// Fails if the connection cannot be established within `timeout_ms`.
pub async fn connect(address: &str, timeout_ms: u64) -> Result<Connection, Error> {
    let connected = within(timeout_ms, TcpStream::connect(address)).await;
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = connected.unwrap_or_else(|| Err(timed_out()))?;
    stream.set_nodelay(true)?;
    metrics::counter!("lycheehub_endpoint_connections_total").increment(1);
    Ok(Connection::new(stream))
}
