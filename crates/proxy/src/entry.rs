//! State shared by all connections of an entry instance.

use crate::dialect::Dialect;
use crate::labels::Labels;
use crate::line_bound::LineBound;
use crate::paths::{Paths, Relays};
use crate::pool::Pool;
use crate::server::IdleLimits;
use crate::shutdown::{Shutdown, Stop};
use lycheehub_auth::DigestKey;
use lycheehub_budget::Budget;
use lycheehub_clock::Clock;
use lycheehub_dispatch::Placement;
use lycheehub_routes::{ClientLimits, RouteTable};
use lycheehub_types::{FailureDomain, InstanceName};
use smol::LocalExecutor;
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of client accounts with their own metric label value. Each adds a line of about
/// 70 bytes to the metrics output.
const ACCOUNT_LABELS_MAX: usize = 256;

/// Identity and limits of an entry instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance's name.
    pub instance: InstanceName,
    /// The failure domain in which this instance runs.
    pub failure_domain: FailureDomain,
    /// Whether instances and endpoints are in more than one region.
    pub has_several_regions: bool,
    /// Maximum number of concurrent connections from callers.
    pub connections_max: usize,
    /// Time limit for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time limit for receiving a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The memory for the bodies of callers' requests, in bytes.
    pub body_memory_bytes: u64,
    /// The key of the identities of requests; the same at all instances.
    pub digest_key: DigestKey,
}

/// The routing state at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The routes, built from the route document.
    pub table: Arc<RouteTable>,
    /// The revision of the document, for logs.
    pub revision: u64,
    /// Whether the document is known to be recent.
    pub is_ready: bool,
}

/// Source of routing snapshots.
pub trait Snapshots {
    /// Returns the latest snapshot.
    fn latest(&self) -> Snapshot;
}

/// An entry instance.
pub struct Entry {
    /// Identity and limits.
    pub options: Options,
    /// The clock.
    pub clock: Clock,
    /// The deployment's header fields.
    pub dialect: Box<dyn Dialect>,
    /// Source of routing snapshots.
    pub snapshots: Box<dyn Snapshots>,
    /// Chooses an endpoint for each request.
    pub placement: Rc<dyn Placement>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// The memory for the bodies of callers' requests.
    pub bodies: Arc<Budget>,
    /// The paths to endpoints.
    pub paths: Paths,
    /// Connects to endpoints through other instances.
    pub relays: Rc<dyn Relays>,
    /// Executor for the connection tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Number of open connections from callers.
    pub connections: Cell<usize>,
    /// Number of connections from callers since this instance started.
    pub(crate) accepted: Cell<u64>,
    /// The bound on lines about connections that their callers closed.
    pub(crate) caller_close_lines: LineBound,
    /// The bound on lines about idle connections that this instance closed.
    pub(crate) idle_close_lines: LineBound,
    /// Number of requests in progress.
    pub exchanges: Cell<usize>,
    pub(crate) shutdown: Shutdown,
    idle_limits: RefCell<IdleLimits>,
    /// The longest deadline seen on each route, in milliseconds.
    deadlines_ms: RefCell<BTreeMap<SmolStr, u64>>,
    /// The client accounts that have their own metric label value.
    account_labels: RefCell<Labels>,
}

impl Entry {
    /// Creates an entry instance without connections.
    pub fn new(
        options: Options,
        clock: Clock,
        dialect: Box<dyn Dialect>,
        snapshots: Box<dyn Snapshots>,
        placement: Rc<dyn Placement>,
        relays: Rc<dyn Relays>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            bodies: Budget::new(clock, options.body_memory_bytes),
            options,
            clock,
            dialect,
            snapshots,
            placement,
            pool: Pool::default(),
            paths: Paths::default(),
            relays,
            executor,
            connections: Cell::new(0),
            accepted: Cell::new(0),
            caller_close_lines: LineBound::default(),
            idle_close_lines: LineBound::default(),
            exchanges: Cell::new(0),
            shutdown: Shutdown::default(),
            idle_limits: RefCell::default(),
            deadlines_ms: RefCell::default(),
            account_labels: RefCell::new(Labels::new(ACCOUNT_LABELS_MAX)),
        })
    }

    /// Returns whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.snapshots.latest().is_ready
    }

    /// Returns the limits on callers' connections and requests.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        self.snapshots.latest().table.document().limits
    }

    /// Returns the longest limit on the idle time of connections that held at some time from `since_ms`
    /// on, in milliseconds.
    pub(crate) fn idle_limit_ms(&self, since_ms: u64) -> u64 {
        let mut idle_limits = self.idle_limits.borrow_mut();
        idle_limits.record(self.clock.now_ms(), self.client_limits().idle_timeout_ms);
        idle_limits.longest_ms(since_ms)
    }

    /// Counts a request that was refused because its account exceeded its quota.
    pub(crate) fn count_quota_refusal(&self, account: &SmolStr) {
        let account = self.account_labels.borrow_mut().value(account).to_string();
        metrics::counter!("lycheehub_quota_refusals_total", "account" => account).increment(1);
    }

    /// Records the deadline of a request; returns the longest deadline seen on its route, in
    /// milliseconds.
    pub(crate) fn record_deadline(&self, route: &SmolStr, deadline_ms: u64) -> u64 {
        let mut deadlines_ms = self.deadlines_ms.borrow_mut();
        let longest_ms = deadlines_ms.entry(route.clone()).or_default();
        *longest_ms = deadline_ms.max(*longest_ms);
        *longest_ms
    }

    /// Begins a graceful shutdown: every response from now on closes its connection.
    pub fn begin_stop(&self, stop: Stop) {
        self.shutdown.begin(stop);
    }

    /// Returns whether the instance is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Returns whether a request that takes up to `duration_ms` may still run when the instance ends its
    /// requests. Always false before `refuses_from_ms`.
    pub(crate) fn would_outlast_stop(&self, duration_ms: u64) -> bool {
        self.shutdown.would_be_outlasted(self.clock.now_ms(), duration_ms)
    }

    /// Refuses the first request of each connection that is accepted from now on.
    pub fn refuse_new_connections(&self) {
        self.shutdown.refusing.set();
    }

    /// Returns the number of connections from callers that wait for a request.
    pub fn idle_connections(&self) -> usize {
        self.shutdown.idle.count()
    }

    /// Closes up to `count` connections that have been idle for `quiet_ms`, those that have been idle for
    /// longest first.
    pub fn close_longest_idle(&self, count: usize, quiet_ms: u64) {
        let until_ms = self.clock.now_ms().saturating_sub(quiet_ms);
        self.shutdown.idle.close_longest_idle(count, until_ms);
    }

    /// Ends all requests in progress: each gets a response that tells whether it may have run. Only a
    /// response that has begun is cut.
    pub fn end_exchanges(&self) {
        self.shutdown.ending.set();
    }

    /// Closes the listener, once the connections that it has are accepted.
    pub fn end_accepting(&self) {
        self.shutdown.accepting_ends.set();
    }
}
