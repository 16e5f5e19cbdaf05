//! State shared by all requests of an instance.

use crate::responses::ResponseStore;
use crate::scheduler::SharedScheduler;
use crate::serve::ConnectionPool;
use crate::settings::Settings;
use lycheehub_budget::Budget;
use lycheehub_clock::{Clock, Event, Timers};
use lycheehub_peer::{Control, Views};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::Executor;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// The interval at which slot demands are reported to the control thread, in milliseconds.
const DEMANDS_INTERVAL_MS: u64 = 100;
/// The interval of the scheduler's ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// State shared by all requests of an instance.
pub struct Gateway {
    /// Limits and keys.
    pub settings: Settings,
    /// The clock of this instance.
    pub clock: Clock,
    /// The newest view of the control state.
    pub views: Views,
    /// Sends commands and queries to the control thread.
    pub control: Control,
    /// The scheduler of this instance.
    pub scheduler: Arc<SharedScheduler>,
    /// The responses kept for resends.
    pub responses: Arc<ResponseStore>,
    /// The memory for request bodies.
    pub bodies: Arc<Budget>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Renders the metrics in the Prometheus text format.
    pub metrics: PrometheusHandle,
    /// Runs the tasks of connections and requests.
    pub executor: Arc<Executor<'static>>,
    /// The incarnation of this process, which grows with each start.
    pub incarnation: u64,
    /// The number of the newest caller's request.
    pub last_request_number: AtomicU64,
    /// The number of open connections.
    pub connections: AtomicUsize,
    /// The number of HTTP exchanges whose head has arrived and whose response is not yet written.
    pub exchanges: AtomicUsize,
    /// The number of callers' requests that run, including those whose caller has disconnected.
    pub request_tasks: AtomicUsize,
    /// The instance reports that it is not ready, so that load balancers stop sending to it, but
    /// still accepts requests.
    pub draining: AtomicBool,
    /// The instance is shutting down and refuses new requests.
    pub stopping: AtomicBool,
    /// The instance accepts no more connections.
    pub accepting_ends: Event,
    /// The instance ends all exchanges: its stop timeout has passed.
    pub ending: Event,
}

impl Gateway {
    /// Returns whether the instance is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether each response is the last one of its connection, since the instance exits soon.
    pub fn is_leaving(&self) -> bool {
        self.draining.load(Ordering::Relaxed) || self.is_stopping()
    }

    /// Allocates the number of the next caller's request.
    pub fn next_request_number(&self) -> u64 {
        self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the sum of open exchanges and running request tasks; it is zero only when no request
    /// is left. A request whose caller is connected counts twice.
    pub fn unfinished(&self) -> usize {
        self.exchanges.load(Ordering::Relaxed) + self.request_tasks.load(Ordering::Relaxed)
    }

    /// Spawns the tasks that pass new views to the scheduler, tick it, and report its demands to
    /// the control thread.
    pub fn start(self: &Arc<Self>, timers: &dyn Timers) {
        let gateway = self.clone();
        let watch_views = async move {
            loop {
                gateway.scheduler.update(&gateway.views.latest());
                gateway.views.changed().await;
            }
        };
        self.executor.spawn(watch_views).detach();
        let ticks = timers.subscribe(TICK_INTERVAL_MS);
        let gateway = self.clone();
        let tick = async move {
            while ticks.recv().await.is_ok() {
                gateway.scheduler.tick();
            }
        };
        self.executor.spawn(tick).detach();
        let ticks = timers.subscribe(DEMANDS_INTERVAL_MS);
        let gateway = self.clone();
        let report_demands = async move {
            while ticks.recv().await.is_ok() {
                gateway.control.report(gateway.scheduler.demands()).await;
            }
        };
        self.executor.spawn(report_demands).detach();
    }
}
