//! Whether this instance reaches endpoints itself, or through another instance.
//!
//! Load pattern: an instance is partitioned from all endpoints for seconds, while callers and other
//! instances still reach it. Its callers would wait for connections that hang or are refused. Where a
//! connection fails and another instance reaches the endpoint, the path is lost and not the endpoint:
//! the endpoint is then reached through other instances, and probed until the path is back. Once that
//! holds for several endpoints, and none was reached directly, it is assumed for all.

use crate::entry::Entry;
use crate::http1::Error;
use crate::pool;
use lycheehub_types::EndpointName;
use smol::Timer;
use smol::net::TcpStream;
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The number of endpoints with a lost path from which on all paths are assumed lost.
const ALL_LOST_MIN: usize = 2;
/// The interval between probes of lost paths, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;
/// How long a lost path that no request needs is remembered, in milliseconds.
const KEPT_MS: u64 = 10_000;
/// How long a response of any endpoint proves that this instance reaches endpoints, in milliseconds.
const PROVEN_MS: u64 = 300;
/// How long other instances are not asked for an endpoint again that they did not reach either, in
/// milliseconds.
const UNREACHABLE_MS: u64 = 500;

/// Why an endpoint was not reached through another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// An instance that reaches other endpoints did not reach this one.
    Unreachable,
    /// No instance could tell.
    Unable,
}

/// The future of a connection through another instance.
pub type RelayFuture<'a> = Pin<Box<dyn Future<Output = Result<TcpStream, RelayError>> + 'a>>;

/// Connects to endpoints through other instances.
pub trait Relays {
    /// Connects to an endpoint.
    fn connect<'a>(&'a self, endpoint: &'a EndpointName) -> RelayFuture<'a>;
}

/// An endpoint that is not reached directly.
#[derive(Clone, Debug)]
struct LostPath {
    address: SmolStr,
    /// When a request last needed it, in milliseconds.
    used_ms: u64,
}

/// What this instance knows of its paths to endpoints.
#[derive(Debug, Default)]
pub struct Paths {
    lost: RefCell<BTreeMap<EndpointName, LostPath>>,
    all_lost: Cell<bool>,
    is_probing: Cell<bool>,
    /// When an endpoint last responded directly, in milliseconds.
    reached_ms: Cell<Option<u64>>,
    /// Until when other instances are not asked for an endpoint, in milliseconds.
    unreachable: RefCell<BTreeMap<EndpointName, u64>>,
}

impl Paths {
    /// Returns whether all paths are assumed lost.
    pub fn all_lost(&self) -> bool {
        self.all_lost.get()
    }

    /// Returns whether an endpoint has lately responded directly.
    pub fn is_proven(&self, now_ms: u64) -> bool {
        let is_recent = self.reached_ms.get().is_some_and(|at_ms| now_ms < at_ms + PROVEN_MS);
        is_recent && !self.all_lost()
    }

    /// Records that an endpoint responded on a direct connection.
    pub(crate) fn record_reached(&self, now_ms: u64) {
        self.reached_ms.set(Some(now_ms));
    }

    /// Returns whether requests to an endpoint go through other instances.
    pub(crate) fn is_lost(&self, endpoint: &EndpointName) -> bool {
        self.all_lost() || self.lost.borrow().contains_key(endpoint)
    }

    fn record_lost(&self, now_ms: u64, endpoint: &EndpointName, address: &SmolStr) {
        let path = LostPath { address: address.clone(), used_ms: now_ms };
        let mut lost = self.lost.borrow_mut();
        lost.insert(endpoint.clone(), path);
        if lost.len() >= ALL_LOST_MIN && !self.is_proven(now_ms) {
            self.all_lost.set(true);
        }
    }

    /// Records that a connection to an endpoint succeeded; returns whether all paths were lost.
    fn record_found(&self, now_ms: u64, endpoint: &EndpointName) -> bool {
        self.record_reached(now_ms);
        self.lost.borrow_mut().remove(endpoint);
        self.all_lost.replace(false)
    }

    fn record_unreachable(&self, now_ms: u64, endpoint: &EndpointName) {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, until_ms| now_ms < *until_ms);
        unreachable.insert(endpoint.clone(), now_ms + UNREACHABLE_MS);
    }

    fn is_unreachable(&self, now_ms: u64, endpoint: &EndpointName) -> bool {
        self.unreachable.borrow().get(endpoint).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Returns the lost path after `previous`, in the order of names.
    fn next_lost(
        &self,
        now_ms: u64,
        previous: &Option<EndpointName>,
    ) -> Option<(EndpointName, SmolStr)> {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|_, path| now_ms < path.used_ms + KEPT_MS);
        let later = lost.iter().find(|(name, _)| Some(*name) > previous.as_ref());
        let (name, path) = later.or_else(|| lost.iter().next())?;
        Some((name.clone(), path.address.clone()))
    }
}

/// How an endpoint was not reached.
#[derive(Debug)]
pub(crate) struct Unreached {
    pub(crate) error: Error,
    /// Another instance did not reach it either.
    pub(crate) is_confirmed: bool,
}

/// Connects to an endpoint: directly, or through another instance if the path is lost and the request
/// `may_relay`. Returns the stream, and whether it is relayed.
pub(crate) async fn connect(
    entry: &Rc<Entry>,
    endpoint: &EndpointName,
    address: &SmolStr,
    may_relay: bool,
) -> Result<(TcpStream, bool), Unreached> {
    let paths = &entry.paths;
    if may_relay
        && paths.is_lost(endpoint)
        && let Ok(stream) = connect_relayed(entry, endpoint, address).await
    {
        return Ok((stream, true));
    }
    let error = match pool::connect(address, entry.options.connect_timeout_ms).await {
        Ok(stream) => return Ok((stream, false)),
        Err(error) => error,
    };
    if !may_relay {
        return Err(Unreached { error, is_confirmed: false });
    }
    match connect_relayed(entry, endpoint, address).await {
        Ok(stream) => {
            spdlog::info!("path to endpoint lost", kv: {
                endpoint: = endpoint, error: = error, all_lost = paths.all_lost(),
            });
            Ok((stream, true))
        }
        Err(relay_error) => {
            let is_confirmed = relay_error == RelayError::Unreachable;
            Err(Unreached { error, is_confirmed })
        }
    }
}

/// Connects to an endpoint through another instance.
async fn connect_relayed(
    entry: &Rc<Entry>,
    endpoint: &EndpointName,
    address: &SmolStr,
) -> Result<TcpStream, RelayError> {
    let paths = &entry.paths;
    if paths.is_unreachable(entry.clock.now_ms(), endpoint) {
        return Err(RelayError::Unreachable);
    }
    let connected = entry.relays.connect(endpoint).await;
    let now_ms = entry.clock.now_ms();
    match &connected {
        Ok(_) => {
            let were_lost = paths.all_lost();
            paths.record_lost(now_ms, endpoint, address);
            entry.pool.remove(endpoint);
            if paths.all_lost() && !were_lost {
                spdlog::warn!("no path to endpoints: requests go through other instances");
                entry.placement.set_path_lost(true);
            }
            start_probing(entry);
        }
        Err(RelayError::Unreachable) => paths.record_unreachable(now_ms, endpoint),
        Err(RelayError::Unable) => {}
    }
    connected
}

/// Starts the task that probes lost paths, unless it runs.
fn start_probing(entry: &Rc<Entry>) {
    if entry.paths.is_probing.replace(true) {
        return;
    }
    let probed = entry.clone();
    entry.executor.spawn(async move { probe_lost(&probed).await }).detach();
}

/// Probes lost paths one after the other until there are none. After a success the next one follows at
/// once.
async fn probe_lost(entry: &Rc<Entry>) {
    let paths = &entry.paths;
    let mut previous = None;
    let mut is_found = false;
    loop {
        if !is_found {
            Timer::after(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
        let Some((endpoint, address)) = paths.next_lost(entry.clock.now_ms(), &previous) else {
            break;
        };
        let connected = pool::connect(&address, entry.options.connect_timeout_ms).await;
        is_found = connected.is_ok();
        if is_found && paths.record_found(entry.clock.now_ms(), &endpoint) {
            spdlog::info!("path to endpoints found again", kv: { endpoint: = endpoint });
            entry.placement.set_path_lost(false);
        }
        previous = Some(endpoint);
    }
    paths.is_probing.set(false);
    if paths.all_lost.replace(false) {
        entry.placement.set_path_lost(false);
    }
}
