//! What all connections of an entry instance share.

use crate::dialect::Dialect;
use crate::labels::Labels;
use crate::pool::Pool;
use lycheehub_clock::Clock;
use lycheehub_dispatch::Placement;
use lycheehub_routes::RouteTable;
use lycheehub_types::{FailureDomain, InstanceName};
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender, bounded};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// How many client accounts metrics name: with each a line of some 70 bytes.
const ACCOUNT_LABELS_MAX: usize = 256;

/// Bounds of an entry instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance's name.
    pub instance: InstanceName,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// The most connections of callers at once.
    pub connections_max: usize,
    /// How long an endpoint may take to accept a connection, in milliseconds.
    pub connect_timeout_ms: u64,
}

/// What requests are answered by at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The route document.
    pub table: Arc<RouteTable>,
    /// The revision of the document, for logs.
    pub revision: u64,
    /// The document is known to be recent.
    pub is_ready: bool,
}

/// Where snapshots come from.
pub trait Snapshots {
    /// Returns the newest snapshot.
    fn latest(&self) -> Snapshot;
}

/// When an instance that is being stopped does what, in milliseconds by its clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// From when on it takes only requests that end before its own end.
    pub refuses_from_ms: u64,
    /// When it ends.
    pub ends_ms: u64,
}

/// An entry instance.
pub struct Entry {
    /// Bounds.
    pub options: Options,
    /// The clock.
    pub clock: Clock,
    /// The names of header fields.
    pub dialect: Box<dyn Dialect>,
    /// Where snapshots come from.
    pub snapshots: Box<dyn Snapshots>,
    /// Who places requests.
    pub placement: Rc<dyn Placement>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Runs the tasks of connections.
    pub executor: Rc<LocalExecutor<'static>>,
    /// How many connections of callers are open.
    pub connections: Cell<usize>,
    /// How many requests are being answered.
    pub exchanges: Cell<usize>,
    stop: Cell<Option<Stop>>,
    idle_end: (Sender<()>, Receiver<()>),
    /// The longest deadline that callers of each route came with, in milliseconds.
    deadlines_ms: RefCell<BTreeMap<SmolStr, u64>>,
    /// The client accounts that metrics name.
    account_labels: RefCell<Labels>,
}

impl Entry {
    /// Makes an entry instance without any connections.
    pub fn new(
        options: Options,
        clock: Clock,
        dialect: Box<dyn Dialect>,
        snapshots: Box<dyn Snapshots>,
        placement: Rc<dyn Placement>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            options,
            clock,
            dialect,
            snapshots,
            placement,
            pool: Pool::default(),
            executor,
            connections: Cell::new(0),
            exchanges: Cell::new(0),
            stop: Cell::new(None),
            idle_end: bounded(1),
            deadlines_ms: RefCell::default(),
            account_labels: RefCell::new(Labels::new(ACCOUNT_LABELS_MAX)),
        })
    }

    /// Tells whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.snapshots.latest().is_ready
    }

    /// Counts a request that was refused for the quota of its account.
    pub(crate) fn count_over_quota(&self, account: &SmolStr) {
        let account = self.account_labels.borrow_mut().value(account).to_string();
        metrics::counter!("lycheehub_quota_refusals_total", "account" => account).increment(1);
    }

    /// Notes the deadline of a request; returns the longest one of its route, in milliseconds.
    pub(crate) fn note_deadline(&self, route: &SmolStr, deadline_ms: u64) -> u64 {
        let mut deadlines_ms = self.deadlines_ms.borrow_mut();
        let longest_ms = deadlines_ms.entry(route.clone()).or_default();
        *longest_ms = deadline_ms.max(*longest_ms);
        *longest_ms
    }

    /// Begins to stop: answers are the last ones on their connections from now on.
    pub fn begin_stop(&self, stop: Stop) {
        self.stop.set(Some(stop));
    }

    /// Tells whether the instance is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Tells whether a request that may take `for_ms` comes too late to be answered before the end.
    pub(crate) fn is_too_late(&self, for_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let stop = self.stop.get().filter(|stop| now_ms >= stop.refuses_from_ms);
        stop.is_some_and(|stop| now_ms + for_ms > stop.ends_ms)
    }

    /// Closes the connections that have no request, now and from now on.
    pub fn close_idle(&self) {
        self.idle_end.0.close();
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn idle_closed(&self) {
        // Nothing is ever sent: the channel closes.
        let _ = self.idle_end.1.recv().await;
    }
}

/// Counts something as long as it lives.
pub(crate) struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    pub(crate) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
