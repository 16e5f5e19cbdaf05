//! A control instance: holds a replica, hears endpoints and operators, and places requests while
//! it leads.

use super::{http, needed, serve_metrics, start_thread, wait_for_stop};
use crate::exit::{Code, Error};
use crate::serve::listen;
use lycheehub_clock::{Clock, TimerService};
use lycheehub_gateway::orders::OrderSender;
use lycheehub_gateway::responses::ResponseStore;
use lycheehub_peer::{Control, ControlRequest, Dependencies, Node, Views};
use lycheehub_platform::calls;
use lycheehub_platform::settings::Deployment;
use rand::RngCore;
use smol::channel::{Receiver, bounded, unbounded};
use smol::net::TcpListener;
use smol::{Executor, LocalExecutor};
use std::rc::Rc;
use std::sync::Arc;

/// Serves until the process is told to stop.
pub(super) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    deployment: Deployment,
) -> Result<(), Error> {
    let address = needed(deployment.control, "endpoints and operators")?;
    let calls = listen("endpoints and operators", address).await?;
    let peers = listen("peers", deployment.peers).await?;
    let (sender, requests) = unbounded();
    let control = Control::new(sender);
    serve_metrics(&executor, &deployment, Some(control.clone())).await?;
    start_control(&deployment, peers, requests).await?;
    spdlog::info!("control instance started", kv: {
        machine = deployment.machine,
        address: = address,
        may_found = deployment.peer.may_found,
        copies_min = deployment.peer.copies_min as u64,
    });
    let own: smol_str::SmolStr = address.to_string().into();
    let answering = control.clone();
    let answer = move |request| {
        let (control, own) = (answering.clone(), own.clone());
        async move { calls::answer_control(&control, &own, request).await }
    };
    executor.spawn(http::serve(executor.clone(), calls, answer)).detach();
    wait_for_stop(|| spdlog::info!("settings changed: nothing to reload")).await?;
    spdlog::info!("stopping");
    control.stop().await;
    spdlog::info!("stopped");
    Ok(())
}

/// Starts the control thread; returns once its state is open.
async fn start_control(
    deployment: &Deployment,
    listener: TcpListener,
    requests: Receiver<ControlRequest>,
) -> Result<(), Error> {
    let (opened, wait) = bounded(1);
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
        // The starting thread waits for this answer.
        let _ = opened.try_send(result);
        if let Ok(node) = node {
            node.run_with(listener, requests, async move { timers.run().await });
        }
    };
    start_thread("control", run)?;
    let opened = wait.recv().await;
    opened.unwrap_or_else(|_| Err("the control thread ended".to_owned())).map_err(|message| {
        Error::new(Code::Failed, format!("cannot open the data folder: {message}"))
    })
}
