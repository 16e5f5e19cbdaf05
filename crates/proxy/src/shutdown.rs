//! The graceful shutdown of an instance, as its connections and requests see it.

use lycheehub_clock::Event;
use lycheehub_types::{Refusal, RefusalKind};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Retry delay sent by an instance that is shutting down, in milliseconds: other instances are there.
const RETRY_AFTER_MS: u64 = 300;

/// Schedule of a graceful shutdown, in milliseconds of the instance's clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// From this time on, a request is refused if it may still run at `ends_ms`.
    pub refuses_from_ms: u64,
    /// The time at which requests that still run are ended.
    pub ends_ms: u64,
}

/// How far a graceful shutdown has come.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    stop: Cell<Option<Stop>>,
    /// The first request of each new connection is refused from then on.
    pub(crate) refusing: Event,
    /// All requests in progress are ended.
    pub(crate) ending: Event,
    /// The listener closes.
    pub(crate) accepting_ends: Event,
    pub(crate) idle: IdleConnections,
}

impl Shutdown {
    /// Begins the shutdown.
    pub(crate) fn begin(&self, stop: Stop) {
        self.stop.set(Some(stop));
    }

    /// Returns whether the shutdown has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns whether a request that takes up to `duration_ms` may still run when requests are ended.
    /// Always false before `refuses_from_ms`.
    pub(crate) fn would_be_outlasted(&self, now_ms: u64, duration_ms: u64) -> bool {
        let stop = self.stop.get().filter(|stop| now_ms >= stop.refuses_from_ms);
        stop.is_some_and(|stop| now_ms.saturating_add(duration_ms) > stop.ends_ms)
    }
}

/// Returns the refusal of a request that has not run by an instance that is shutting down.
pub(crate) fn refusal() -> Refusal {
    Refusal::retry(RefusalKind::Stopping, "this instance is being stopped", RETRY_AFTER_MS)
}

/// Returns the refusal of a request that crosses the close of its connection in a shutdown.
pub(crate) fn refusal_of_crossing() -> Refusal {
    let message = "this instance is being stopped and reads no more requests";
    Refusal::retry(RefusalKind::Incomplete, message, RETRY_AFTER_MS)
}

/// An idle connection: the time since which it is idle, in milliseconds, and its number. The one that has been
/// idle for longest is the least.
type IdleKey = (u64, u64);

/// The connections of callers that wait for a request.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    /// A connection closes once its sender is dropped.
    waiting: RefCell<BTreeMap<IdleKey, Sender<()>>>,
}

impl IdleConnections {
    /// Adds a connection for as long as the result is kept.
    pub(crate) fn add(&self, since_ms: u64, connection: u64) -> IdleConnection<'_> {
        let (sender, close_request) = bounded(1);
        let key = (since_ms, connection);
        self.waiting.borrow_mut().insert(key, sender);
        IdleConnection { connections: self, key, close_request }
    }

    /// Returns the number of idle connections.
    pub(crate) fn count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Closes up to `count` connections that have been idle since `until_ms` or before, those that have been
    /// idle for longest first.
    pub(crate) fn close_longest_idle(&self, count: usize, until_ms: u64) {
        let mut waiting = self.waiting.borrow_mut();
        for _ in 0..count {
            let Some(longest) = waiting.first_entry() else { return };
            if longest.key().0 > until_ms {
                return;
            }
            longest.remove();
        }
    }
}

/// A connection that is counted as idle until this is dropped.
#[derive(Debug)]
pub(crate) struct IdleConnection<'a> {
    connections: &'a IdleConnections,
    key: IdleKey,
    close_request: Receiver<()>,
}

impl IdleConnection<'_> {
    /// Waits until the connection is to be closed.
    pub(crate) async fn close_requested(&self) {
        // No value is ever sent; `recv` returns once the sender is dropped.
        let _ = self.close_request.recv().await;
    }
}

impl Drop for IdleConnection<'_> {
    fn drop(&mut self) {
        self.connections.waiting.borrow_mut().remove(&self.key);
    }
}
