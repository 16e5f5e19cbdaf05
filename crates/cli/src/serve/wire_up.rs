//! Starts the control thread and the traffic threads, and connects them.

use crate::exit::{Code, Error};
use crate::settings::InstanceSettings;
use lycheehub_budget::Budget;
use lycheehub_clock::{Clock, Event, TimerService};
use lycheehub_gateway::orders::OrderSender;
use lycheehub_gateway::responses::ResponseStore;
use lycheehub_gateway::scheduler::SharedScheduler;
use lycheehub_gateway::serve::ConnectionPool;
use lycheehub_gateway::{Gateway, http};
use lycheehub_peer::{
    Control, ControlRequest, Dependencies, Node, Settings as PeerSettings, Views,
};
use lycheehub_route::Scheduler;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::RngCore;
use smol::Executor;
use smol::channel::{Receiver, Sender, bounded, unbounded};
use smol::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};

/// What the control thread runs with.
struct ControlParts {
    settings: PeerSettings,
    clock: Clock,
    timers: Arc<TimerService>,
    views: Views,
    outside: Dependencies,
    listener: TcpListener,
    requests: Receiver<ControlRequest>,
}

/// Starts all threads of an instance.
pub(super) async fn start(
    executor: Arc<Executor<'static>>,
    settings: InstanceSettings,
    http: TcpListener,
    peer: TcpListener,
) -> Result<Arc<Gateway>, Error> {
    let clock = Clock::new();
    let timers = Arc::new(TimerService::new(clock));
    let views = Views::default();
    let limits = &settings.gateway;
    let responses =
        Arc::new(ResponseStore::new(clock, limits.answer_retention_ms, limits.answers_max_bytes));
    let (sender, requests) = unbounded();
    let parts = ControlParts {
        settings: settings.peer,
        clock,
        timers: timers.clone(),
        views: views.clone(),
        outside: Dependencies {
            answers: responses.clone(),
            orders: Arc::new(OrderSender::new(clock, executor.clone())),
        },
        listener: peer,
        requests,
    };
    let incarnation = start_control(parts).await?;
    let scheduler = Scheduler::new(settings.route, rand::rng().next_u64());
    let bodies = Budget::new(clock, limits.body_memory_bytes);
    let gateway = Arc::new(Gateway {
        settings: settings.gateway,
        clock,
        views,
        control: Control::new(sender),
        scheduler: SharedScheduler::new(clock, scheduler),
        responses,
        bodies,
        pool: ConnectionPool::default(),
        metrics: start_metrics()?,
        executor,
        incarnation,
        last_request_number: AtomicU64::new(0),
        connections: AtomicUsize::new(0),
        exchanges: AtomicUsize::new(0),
        request_tasks: AtomicUsize::new(0),
        draining: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        accepting_ends: Event::default(),
        ending: Event::default(),
    });
    gateway.start(timers.as_ref());
    gateway.executor.spawn(http::serve(gateway.clone(), http)).detach();
    gateway.executor.spawn(async move { timers.run().await }).detach();
    // The main thread handles traffic as well.
    for number in 1..settings.traffic_threads {
        start_traffic_thread(number, gateway.executor.clone())?;
    }
    let name = &gateway.settings.instance;
    spdlog::info!("instance started", kv: { instance: = name, http: = settings.http, incarnation });
    Ok(gateway)
}

/// Installs the global metrics recorder; returns the handle that renders it.
pub(crate) fn start_metrics() -> Result<PrometheusHandle, Error> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)
        .map_err(|error| Error::new(Code::Failed, format!("cannot start metrics: {error}")))?;
    Ok(handle)
}

/// Starts the control thread and waits until its node is open; returns the node's incarnation.
async fn start_control(parts: ControlParts) -> Result<u64, Error> {
    let (result_sender, result_receiver) = bounded(1);
    let thread = std::thread::Builder::new().name("control".to_owned());
    let started = thread.spawn(move || run_control(parts, &result_sender));
    started.map_err(|error| Error::new(Code::Failed, format!("cannot start a thread: {error}")))?;
    let result = result_receiver.recv().await;
    result
        .unwrap_or_else(|_| Err("the control thread ended".to_owned()))
        .map_err(|message| Error::new(Code::Failed, message))
}

fn run_control(parts: ControlParts, result_sender: &Sender<Result<u64, String>>) {
    let seed = rand::rng().next_u64();
    let node =
        Node::open(parts.settings, parts.clock, parts.timers, parts.views, parts.outside, seed);
    let node = match node {
        Ok(node) => node,
        Err(error) => {
            // Ignored: sending fails only if the starting thread no longer waits for the result.
            let _ = result_sender.try_send(Err(format!("cannot open the data folder: {error}")));
            return;
        }
    };
    // Ignored: sending fails only if the starting thread no longer waits for the result.
    let _ = result_sender.try_send(Ok(node.incarnation()));
    node.run(parts.listener, parts.requests);
}

fn start_traffic_thread(number: usize, executor: Arc<Executor<'static>>) -> Result<(), Error> {
    let thread = std::thread::Builder::new().name(format!("traffic-{number}"));
    let run = move || smol::block_on(executor.run(std::future::pending::<()>()));
    let started = thread.spawn(run);
    started
        .map(drop)
        .map_err(|error| Error::new(Code::Failed, format!("cannot start a thread: {error}")))
}
