//! A control instance: it holds a control replica, serves endpoints and operators, and places
//! requests while it is the leader.

use super::run_marker::RunMarker;
use super::{
    CONTROL_BODY_SHARE, body_memory_bytes, http, register_signals, require_address, serve_metrics,
    start_thread, wait_for_stop,
};
use crate::exit::{Code, Error};
use crate::serve::listen;
use lycheehub_budget::Budget;
use lycheehub_clock::{Clock, TimerService};
use lycheehub_gateway::orders::OrderSender;
use lycheehub_gateway::responses::ResponseStore;
use lycheehub_peer::{Control, ControlRequest, Dependencies, Node, Views};
use lycheehub_platform::calls::ControlCalls;
use lycheehub_platform::settings::Deployment;
use rand::RngCore;
use smol::channel::{Receiver, bounded, unbounded};
use smol::net::TcpListener;
use smol::{Executor, LocalExecutor};
use std::rc::Rc;
use std::sync::Arc;

/// Serves until a signal stops the process.
pub(super) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    deployment: Deployment,
) -> Result<(), Error> {
    let signals = register_signals()?;
    let address = require_address(deployment.control, "endpoints and operators")?;
    let calls = listen("endpoints and operators", address).await?;
    let peers = listen("peers", deployment.peers).await?;
    let (sender, requests) = unbounded();
    let control = Control::new(sender);
    let bodies = Budget::new(Clock::new(), body_memory_bytes(&deployment, CONTROL_BODY_SHARE));
    serve_metrics(&executor, &deployment, bodies.clone(), Some(control.clone())).await?;
    start_control(&deployment, peers, requests).await?;
    // The data folder exists now.
    let marker = deployment.peer.data_folder.as_deref();
    let marker = marker.map(|folder| RunMarker::begin(folder, Clock::new().now_unix_ms()));
    spdlog::info!("control instance started", kv: {
        machine = deployment.machine,
        address: = address,
        may_found = deployment.peer.may_found,
        copies_min = deployment.peer.copies_min as u64,
    });
    let regions = deployment.peer.regions.clone();
    let answers = ControlCalls::new(control.clone(), address.to_string(), regions, Clock::new());
    let answers = Rc::new(answers);
    let handler = move |request| {
        let answers = answers.clone();
        async move { answers.answer(request).await }
    };
    let limits = http::Limits { bodies, connections_max: deployment.connections_max };
    executor.spawn(http::serve(executor.clone(), calls, limits, handler)).detach();
    let reload = || spdlog::info!("reload ignored: a control instance has no settings to reload");
    wait_for_stop(signals, reload).await;
    spdlog::info!("stopping");
    control.stop().await;
    if let Some(marker) = marker {
        marker.end();
    }
    spdlog::info!("stopped");
    Ok(())
}

/// Starts the control thread and waits until its node is open.
async fn start_control(
    deployment: &Deployment,
    listener: TcpListener,
    requests: Receiver<ControlRequest>,
) -> Result<(), Error> {
    let (result_sender, result_receiver) = bounded(1);
    let settings = deployment.peer.clone();
    let run = move || {
        let clock = Clock::new();
        let timers = Arc::new(TimerService::new(clock));
        let outside = Dependencies {
            answers: Arc::new(ResponseStore::new(clock, 0, 0)),
            orders: Arc::new(OrderSender::new(clock, Arc::new(Executor::new()))),
        };
        let seed = rand::rng().next_u64();
        let node = Node::open(settings, clock, timers.clone(), Views::default(), outside, seed);
        let result = node.as_ref().map(|_| ()).map_err(ToString::to_string);
        // Ignored: sending fails only if the starting thread no longer waits for the result.
        let _ = result_sender.try_send(result);
        if let Ok(node) = node {
            node.run_with(listener, requests, async move { timers.run().await });
        }
    };
    start_thread("control", run)?;
    let result = result_receiver.recv().await;
    result.unwrap_or_else(|_| Err("the control thread ended".to_owned())).map_err(|message| {
        Error::new(Code::Failed, format!("cannot open the data folder: {message}"))
    })
}
