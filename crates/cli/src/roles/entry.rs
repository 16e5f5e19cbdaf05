//! An entry instance: it serves the requests of callers.

use super::{
    ENTRY_BODY_SHARE, WATCHING_CONNECTIONS_MAX, body_memory_bytes, http, load, register_signals,
    require_address, serve_metrics, start_thread, wait_for_stop,
};
use crate::exit::Error;
use crate::poll::{POLL_INTERVAL_MS, poll_until};
use crate::serve::listen;
use lycheehub_auth::DigestKey;
use lycheehub_clock::{Clock, TimerService};
use lycheehub_peer::entry::{EntryNode, EntryView, LeaderPlacement};
use lycheehub_peer::{Latest, Seed};
use lycheehub_platform::calls;
use lycheehub_platform::headers::PlatformHeaders;
use lycheehub_platform::settings::Deployment;
use lycheehub_proxy::{
    Entry, Options, RelayError, RelayFuture, Relays, Snapshot, Snapshots, Stop, server,
};
use lycheehub_relay::{Endpoints, Server};
use lycheehub_types::EndpointName;
use smol::channel::{Receiver, bounded};
use smol::{LocalExecutor, Timer};
use smol_str::SmolStr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for connecting to an endpoint, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// The timeout for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// How long the load balancer takes to stop using an instance that is not ready, in milliseconds:
/// two readiness checks, one per second, and some delay.
const BALANCER_DELAY_MS: u64 = 2_700;
/// How long before the stop timeout the process ends, in milliseconds.
const STOP_RESERVE_MS: u64 = 400;
/// How long a connection is idle before a stopping instance closes it, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// The time in which a stopping instance closes its idle connections one after the other, in milliseconds.
const CLOSING_MS: u64 = 500;
/// How long the last responses may take to be sent, in milliseconds.
const LAST_RESPONSES_MS: u64 = 150;
/// How long requests on the last connections may take to arrive, in milliseconds.
const LAST_REQUESTS_MS: u64 = 1_000;
/// The interval between checks of idle connections to endpoints, in milliseconds.
const POOL_SWEEP_MS: u64 = 1_000;

/// Takes a snapshot of the latest view for each request.
struct ViewSnapshots(Arc<Latest<EntryView>>);

impl Snapshots for ViewSnapshots {
    fn latest(&self) -> Snapshot {
        let view = self.0.get();
        Snapshot { table: view.table.clone(), revision: view.revision, is_ready: view.is_ready() }
    }
}

/// The maximum number of instances that are asked to relay a connection.
const RELAYS_ASKED_MAX: usize = 3;

/// Connects to endpoints through the instances that the leader names.
struct NamedRelays {
    placement: Rc<LeaderPlacement>,
    key: Vec<u8>,
    own: SmolStr,
}

impl Relays for NamedRelays {
    fn connect<'a>(&'a self, endpoint: &'a EndpointName) -> RelayFuture<'a> {
        Box::pin(async move {
            for relay in self.placement.relays().iter().take(RELAYS_ASKED_MAX) {
                match lycheehub_relay::connect(relay, &self.key, &self.own, endpoint).await {
                    Ok(stream) => return Ok(stream),
                    Err(lycheehub_relay::Error::Unreachable(_)) => {
                        return Err(RelayError::Unreachable);
                    }
                    Err(error) => spdlog::debug!("not relayed", kv: { error: }),
                }
            }
            Err(RelayError::Unable)
        })
    }
}

/// What this instance knows of endpoints when it relays connections to them.
struct RelayedEndpoints {
    views: Arc<Latest<EntryView>>,
    entry: Rc<Entry>,
}

impl Endpoints for RelayedEndpoints {
    fn address(&self, endpoint: &EndpointName) -> Option<SmolStr> {
        let view = self.views.get();
        let record = view.endpoints.iter().find(|record| record.endpoint == *endpoint)?;
        Some(record.address.clone())
    }

    fn is_path_proven(&self) -> bool {
        self.entry.paths.is_proven(self.entry.clock.now_ms())
    }

    fn is_accepting(&self) -> bool {
        !self.entry.is_stopping() && !self.entry.paths.all_lost()
    }
}

/// Serves until a signal stops the process.
pub(super) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    deployment: Deployment,
) -> Result<(), Error> {
    let signals = register_signals()?;
    let callers_address = require_address(deployment.callers, "callers")?;
    let callers = listen("callers", callers_address).await?;
    let readiness =
        listen("readiness", require_address(deployment.readiness, "readiness")?).await?;
    let clock = Clock::new();
    let views = Arc::new(Latest::new(EntryView::default()));
    let (seeds, seed_changes) = bounded(1);
    start_control(&deployment, clock, views.clone(), seed_changes)?;
    let placement =
        LeaderPlacement::new(deployment.peer.clone(), clock, executor.clone(), views.clone());
    placement.start();
    executor.spawn(follow_views(views.clone(), placement.clone())).detach();
    let options = Options {
        instance: deployment.peer.instance.clone(),
        failure_domain: deployment.peer.failure_domain.clone(),
        has_several_regions: deployment.peer.has_several_regions(),
        connections_max: deployment.connections_max,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        body_timeout_ms: BODY_TIMEOUT_MS,
        body_memory_bytes: body_memory_bytes(&deployment, ENTRY_BODY_SHARE),
        digest_key: DigestKey::derive(&deployment.peer.peer_key),
    };
    let entry = Entry::new(
        options,
        clock,
        Box::new(PlatformHeaders),
        Box::new(ViewSnapshots(views.clone())),
        placement.clone(),
        Rc::new(NamedRelays {
            placement,
            key: deployment.peer.peer_key.clone(),
            own: deployment.peer.instance.as_str().into(),
        }),
        executor.clone(),
    );
    serve_metrics(&executor, &deployment, entry.bodies.clone(), None).await?;
    let relay_listener = listen("relayed connections", deployment.peers).await?;
    let endpoints = RelayedEndpoints { views, entry: entry.clone() };
    let relay = Server::new(deployment.peer.peer_key.clone(), Box::new(endpoints));
    executor.spawn(relay.clone().serve(executor.clone(), relay_listener)).detach();
    executor.spawn(server::serve(entry.clone(), callers)).detach();
    executor.spawn(sweep_idle_connections(entry.clone())).detach();
    let readiness_entry = entry.clone();
    let handler = move |request| {
        let response = calls::answer_ready(readiness_entry.is_ready(), &request);
        async move { response }
    };
    let limits =
        http::Limits { bodies: entry.bodies.clone(), connections_max: WATCHING_CONNECTIONS_MAX };
    executor.spawn(http::serve(executor.clone(), readiness, limits, handler)).detach();
    spdlog::info!("entry instance started", kv: {
        machine = deployment.machine,
        callers: = callers_address,
        seeds = deployment.peer.seeds.len() as u64,
    });
    wait_for_stop(signals, || reload(&seeds)).await;
    stop(&entry, &relay, deployment.stop_timeout_ms).await;
    Ok(())
}

/// Reloads the settings and sends the seed addresses to the control thread.
fn reload(seeds: &smol::channel::Sender<Vec<Seed>>) {
    match load() {
        Ok(deployment) => {
            spdlog::info!("settings read again", kv: { seeds = deployment.peer.seeds.len() as u64 });
            // A full channel holds seeds of a reload that the control thread has not read yet.
            let _ = seeds.try_send(deployment.peer.seeds);
        }
        Err(error) => spdlog::error!("settings not read again", kv: { error: = error }),
    }
}

fn start_control(
    deployment: &Deployment,
    clock: Clock,
    views: Arc<Latest<EntryView>>,
    seeds: Receiver<Vec<Seed>>,
) -> Result<(), Error> {
    let settings = deployment.peer.clone();
    let run = move || {
        let timers = Arc::new(TimerService::new(clock));
        let node = EntryNode::new(settings, clock, timers.clone(), views);
        node.run(seeds, async move { timers.run().await });
    };
    start_thread("control", run)
}

/// Passes each new view to the placement.
async fn follow_views(views: Arc<Latest<EntryView>>, placement: Rc<LeaderPlacement>) {
    let mut document_revision = 0;
    loop {
        views.changed().await;
        let view = views.get();
        placement.apply_view(&view, view.document_revision != document_revision);
        document_revision = view.document_revision;
    }
}

async fn sweep_idle_connections(entry: Rc<Entry>) {
    loop {
        Timer::after(Duration::from_millis(POOL_SWEEP_MS)).await;
        entry.pool.close_expired(entry.clock.now_ms());
    }
}

/// Stops the instance: it reports that it is not ready, refuses new connections once the balancer has stopped
/// using it, and then waits for unfinished requests and relayed connections. Meanwhile it closes the connections
/// that are idle for long, one after the other; those in use stay open, and requests on them are answered.
async fn stop(entry: &Entry, relay: &Server, timeout_ms: u64) {
    let started_ms = entry.clock.now_ms();
    let unfinished = entry.exchanges.get() as u64;
    spdlog::info!("stopping: not ready", kv: { unfinished, timeout_ms });
    let ends_ms = started_ms + timeout_ms.saturating_sub(STOP_RESERVE_MS);
    let refuses_from_ms = started_ms + BALANCER_DELAY_MS;
    entry.begin_stop(Stop { refuses_from_ms, ends_ms });
    poll_until(entry.clock, refuses_from_ms.min(ends_ms), || false).await;
    entry.refuse_new_connections();
    let is_finished = || entry.exchanges.get() == 0 && relay.connections() == 0;
    close_idle_connections(entry, ends_ms, QUIET_MS, is_finished).await;
    entry.end_exchanges();
    entry.end_accepting();
    let last_ms = (entry.clock.now_ms() + LAST_REQUESTS_MS).min(ends_ms + LAST_RESPONSES_MS);
    close_idle_connections(entry, last_ms, 0, || entry.connections.get() == 0).await;
    spdlog::info!("stopped", kv: {
        unfinished = entry.exchanges.get() as u64, connections = entry.connections.get() as u64,
    });
}

/// Closes connections that have been idle for `quiet_ms`, the longest idle first, until there are none and
/// `is_finished`, or until `until_ms`.
async fn close_idle_connections(
    entry: &Entry,
    until_ms: u64,
    quiet_ms: u64,
    is_finished: impl Fn() -> bool,
) {
    let idle = entry.idle_connections();
    let closing_ms = until_ms.saturating_sub(entry.clock.now_ms()).min(CLOSING_MS);
    if closing_ms == 0 {
        return;
    }
    if idle > 0 {
        spdlog::info!("stopping: idle connections are closed", kv: { idle = idle as u64 });
    }
    let steps = (closing_ms / POLL_INTERVAL_MS).max(1) as usize;
    let per_step = idle.div_ceil(steps).max(1);
    let is_done = || {
        entry.close_longest_idle(per_step, quiet_ms);
        entry.idle_connections() == 0 && is_finished()
    };
    poll_until(entry.clock, until_ms, is_done).await;
}
