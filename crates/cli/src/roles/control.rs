//! A control instance: holds a replica, hears endpoints and operators, and places requests while
//! it leads.

use super::{METRICS_PORT, http, load, needed, start_metrics, wait_for_stop};
use crate::exit::{Code, Error};
use crate::serve::{listen, log};
use crate::settings::LogFormat;
use lycheehub_clock::{Clock, TimerService};
use lycheehub_gateway::answers::KeptAnswers;
use lycheehub_gateway::orders::OrderSender;
use lycheehub_peer::{Control, ControlRequest, Node, Outside, Views};
use lycheehub_platform::calls;
use lycheehub_platform::settings::Deployment;
use rand::RngCore;
use smol::channel::{Receiver, bounded, unbounded};
use smol::net::TcpListener;
use smol::{Executor, LocalExecutor};
use std::rc::Rc;
use std::sync::Arc;

/// Runs a control instance until it is told to stop.
pub fn run() -> Result<(), Error> {
    let deployment = load()?;
    log::start_bounded(LogFormat::Json, false)?;
    let executor = Rc::new(LocalExecutor::new());
    let result = smol::block_on(executor.run(serve(executor.clone(), deployment)));
    log::flush();
    result
}

async fn serve(executor: Rc<LocalExecutor<'static>>, deployment: Deployment) -> Result<(), Error> {
    let address = needed(deployment.control, "endpoints and operators")?;
    let calls = listen("endpoints and operators", address).await?;
    let peers = listen("peers", deployment.peers).await?;
    let metrics_address = std::net::SocketAddr::new(deployment.ip, METRICS_PORT);
    let metrics_listener = listen("metrics", metrics_address).await?;
    let metrics = start_metrics()?;
    let (sender, requests) = unbounded();
    let control = Control::new(sender);
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
    let render = move |request| {
        let response = http::metrics(&metrics, &request);
        async move { response }
    };
    executor.spawn(http::serve(executor.clone(), metrics_listener, render)).detach();
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
        let outside = Outside {
            answers: Arc::new(KeptAnswers::new(clock, 0, 0)),
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
    let thread = std::thread::Builder::new().name("control".to_owned());
    let started = thread.spawn(run);
    started.map_err(|error| Error::new(Code::Failed, format!("cannot start a thread: {error}")))?;
    let opened = wait.recv().await;
    opened.unwrap_or_else(|_| Err("the control thread ended".to_owned())).map_err(|message| {
        Error::new(Code::Failed, format!("cannot open the data folder: {message}"))
    })
}
