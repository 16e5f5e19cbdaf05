//! What all requests of an instance share.

use crate::answers::KeptAnswers;
use crate::dispatcher::Dispatcher;
use crate::serve::Pool;
use crate::settings::Settings;
use lycheehub_clock::{Clock, Timers};
use lycheehub_peer::{Control, Views};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::Executor;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// How often demands are passed to the control thread, in milliseconds.
const DEMANDS_MS: u64 = 100;
/// How often the scheduler's time is moved on, in milliseconds.
const TICK_MS: u64 = 100;

/// What all requests of an instance share.
pub struct Gateway {
    /// Limits and keys.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The newest view of the control state.
    pub views: Views,
    /// The way to the control thread.
    pub control: Control,
    /// The scheduler.
    pub dispatcher: Arc<Dispatcher>,
    /// The answers kept for resends.
    pub answers: Arc<KeptAnswers>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Runs requests.
    pub executor: Arc<Executor<'static>>,
    /// This run's number, which grows with each start.
    pub incarnation: u64,
    /// Counts requests.
    pub requests: AtomicU64,
    /// Counts open connections.
    pub connections: AtomicUsize,
    /// Counts requests that are being answered.
    pub exchanges: AtomicUsize,
    /// Counts requests that run on after their caller left.
    pub background: AtomicUsize,
    /// The balancer is to send nothing more, but what comes is still taken.
    pub draining: AtomicBool,
    /// The instance is shutting down and takes no new requests.
    pub stopping: AtomicBool,
}

impl Gateway {
    /// Tells whether the instance is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the next request's number.
    pub fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns how many requests are not yet answered or still run.
    pub fn unfinished(&self) -> usize {
        self.exchanges.load(Ordering::Relaxed) + self.background.load(Ordering::Relaxed)
    }

    /// Passes views to the scheduler and its demands back, until the gateway is dropped.
    pub fn start(self: &Arc<Self>, timers: &dyn Timers) {
        let gateway = self.clone();
        let follow = async move {
            loop {
                gateway.dispatcher.update(&gateway.views.latest());
                gateway.views.changed().await;
            }
        };
        self.executor.spawn(follow).detach();
        let ticks = timers.subscribe(TICK_MS);
        let gateway = self.clone();
        let tick = async move {
            while ticks.recv().await.is_ok() {
                gateway.dispatcher.tick();
            }
        };
        self.executor.spawn(tick).detach();
        let ticks = timers.subscribe(DEMANDS_MS);
        let gateway = self.clone();
        let report = async move {
            while ticks.recv().await.is_ok() {
                gateway.control.report(gateway.dispatcher.demands()).await;
            }
        };
        self.executor.spawn(report).detach();
    }
}
