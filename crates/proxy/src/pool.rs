//! Pool of idle connections to endpoints.
//!
//! An endpoint may close an idle connection while a request is being written to it; it is then
//! unknown whether the request ran. A request that may not be repeated therefore only uses a
//! connection that became idle very recently.
//!
//! Load pattern: hundreds of instances send to an endpoint in turn. If each kept several idle
//! connections, these alone would be more than the endpoint accepts from all of them, and it would
//! reset new ones. Each instance therefore keeps no more than its share.

use crate::http1::{Connection, Error};
use lycheehub_clock::within;
use lycheehub_net::keep_alive;
use lycheehub_types::EndpointName;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Maximum number of idle connections per endpoint.
const IDLE_PER_ENDPOINT_MAX: usize = 6;
/// Part of the connections accepted by an endpoint that may be idle; the rest is left for requests.
const IDLE_SHARE: f64 = 0.75;
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

/// Returns how many idle connections one of `instances` instances may keep to an endpoint that accepts
/// `connections_max` from all of them together.
///
/// # Examples
/// ```
/// use lycheehub_proxy::pool::idle_max;
///
/// assert_eq!(idle_max(Some(1_200), 380), 2);
/// assert!(idle_max(Some(1_200), 8) > 2);
/// ```
pub fn idle_max(connections_max: Option<u32>, instances: u32) -> usize {
    let share = connections_max
        .map(|connections| f64::from(connections) * IDLE_SHARE / f64::from(instances.max(1)));
    share.map_or(IDLE_PER_ENDPOINT_MAX, |share| (share as usize).min(IDLE_PER_ENDPOINT_MAX))
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

    /// Returns a connection to the pool after its response was read completely, unless `idle_max` are
    /// idle already.
    pub fn put(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        connection: Connection,
        (idle_timeout_ms, idle_max): (Option<u64>, usize),
    ) {
        let timeout_ms =
            idle_timeout_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.clone()).or_default();
        connections.retain(|other| now_ms < other.expires_ms);
        if connections.len() < idle_max && timeout_ms > 0 && !connection.is_relayed() {
            connections.push(IdleConnection {
                connection,
                since_ms: now_ms,
                expires_ms: now_ms.saturating_add(timeout_ms),
            });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn remove(&self, endpoint: &EndpointName) {
        self.idle.borrow_mut().remove(endpoint);
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
pub async fn connect(address: &str, timeout_ms: u64) -> Result<TcpStream, Error> {
    let connected = within(timeout_ms, TcpStream::connect(address)).await;
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = connected.unwrap_or_else(|| Err(timed_out()))?;
    stream.set_nodelay(true)?;
    keep_alive::enable(&stream)?;
    metrics::counter!("lycheehub_endpoint_connections_total").increment(1);
    Ok(stream)
}
