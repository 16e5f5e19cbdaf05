//! The session of an entry instance with the leader's dispatcher.

use super::{LeaderPlacement, OWN_NUMBER, PlacedRequest, local_options};
use crate::link::within;
use crate::settings::Settings;
use capnp::capability::{FromTypelessPipeline, Request};
use capnp::traits::{Owned, Pipelined};
use lycheehub_dispatch::crashes::Quarantine;
use lycheehub_dispatch::{InFlight, Limit, LimitKind, StatedLimit, UsageReport};
use lycheehub_types::{AccountName, EndpointName, InstanceName, PeerError};
use lycheehub_wire::peer_capnp::{peer, placement};
use lycheehub_wire::{read_limits, read_quarantines, write_begun, write_in_flight, write_usage};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The timeout for a reply of the leader, in milliseconds: several round trips between failure
/// domains, plus a stall of the leader while it sends a large document to hundreds of instances.
const REPLY_TIMEOUT_MS: u64 = 250;
/// The minimum interval between probes of the leader, in milliseconds.
const PROBE_INTERVAL_MIN_MS: u64 = 100;
/// The interval between probes of the leader while no request waits long for it, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;
/// How long the leader is not told again of an unchanged limit of an endpoint, in milliseconds.
const LIMIT_RESEND_MS: u64 = 500;
/// The delay between attempts to open a session with the leader, in milliseconds.
const SESSION_RETRY_MS: u64 = 100;

/// A session with the leader's dispatcher, which lasts as long as the leader answers.
pub(super) struct Session {
    leader: InstanceName,
    pub(super) client: placement::Client,
    /// Closed when the session ends.
    pub(super) ended: Receiver<()>,
    _alive: Sender<()>,
    /// The revision of the endpoints' limits that the leader has passed on; 0 before the first.
    limits_revision: Cell<u64>,
    /// The revision of the quarantines that the leader has passed on; 0 before the first.
    quarantines_revision: Cell<u64>,
    /// The limits that the leader was last told of by this instance, and when, in milliseconds.
    limits_sent: RefCell<BTreeMap<(EndpointName, LimitKind), (f64, u64)>>,
}

impl Session {
    /// Returns whether the leader must be told of a limit: it has not been, or not lately.
    pub(super) fn must_send_limit(
        &self,
        now_ms: u64,
        endpoint: &EndpointName,
        kind: LimitKind,
        limit: StatedLimit,
    ) -> bool {
        let mut limits_sent = self.limits_sent.borrow_mut();
        let key = (endpoint.clone(), kind);
        let is_known = limits_sent.get(&key).is_some_and(|(per_s, sent_ms)| {
            *per_s == limit.per_s && now_ms < sent_ms + LIMIT_RESEND_MS
        });
        if !is_known {
            limits_sent.insert(key, (limit.per_s, now_ms));
        }
        !is_known
    }
}

/// What the leader replies to a heartbeat.
struct HeartbeatReply {
    /// The number of instances.
    instances: u32,
    /// The client accounts that are near their quota.
    near_quota: BTreeSet<AccountName>,
    limits_revision: u64,
    /// The limits of endpoints; empty if the revision is the one already known.
    limits: Vec<Limit>,
    quarantines_revision: u64,
    /// The quarantines; empty if the revision is the one already known.
    quarantines: Vec<Quarantine>,
    /// The addresses of instances that relay connections.
    relays: Vec<SmolStr>,
}

impl LeaderPlacement {
    /// Maintains a session with the current leader.
    pub(super) async fn maintain_session(self: Rc<Self>) {
        loop {
            let leader = self.views.get().leader.clone();
            if let Some((name, address)) = leader {
                match self.open_session(&name, &address).await {
                    Ok(session) => self.probe_session(session).await,
                    Err(error) => spdlog::debug!("failed to open a leader session", kv: { error: }),
                }
            }
            Timer::after(Duration::from_millis(SESSION_RETRY_MS)).await;
        }
    }

    async fn open_session(
        &self,
        name: &InstanceName,
        address: &SmolStr,
    ) -> Result<Rc<Session>, PeerError> {
        const STEP: &str = "enter";
        let peer = self.links.peer(name, address).await?;
        let now_ms = self.clock.now_ms();
        let in_flight = self.requests_in_flight(now_ms);
        let usage = self.local.borrow().usage(now_ms, OWN_NUMBER);
        let call = async {
            let client = request_placement(peer, &self.settings, &in_flight, &usage).await;
            client.map_err(|error| PeerError::failed(STEP, name.as_str(), error))
        };
        let client = within(STEP, name, REPLY_TIMEOUT_MS, call).await;
        if client.is_err() {
            self.links.drop_peer(name);
        }
        let (alive, ended) = bounded(1);
        let session = Session {
            leader: name.clone(),
            client: client?,
            ended,
            _alive: alive,
            limits_revision: Cell::new(0),
            quarantines_revision: Cell::new(0),
            limits_sent: RefCell::default(),
        };
        let session = Rc::new(session);
        spdlog::info!("requests are placed by the leader", kv: { leader: = name });
        *self.session.borrow_mut() = Some(session.clone());
        self.send_notices(|_| true);
        self.withdraw_local();
        Ok(session)
    }

    fn requests_in_flight(&self, now_ms: u64) -> Vec<InFlight> {
        let placed = self.placed.borrow();
        let with_age = |request: &PlacedRequest| {
            let age_ms = now_ms - request.placed_ms;
            InFlight { age_ms, ..request.in_flight.clone() }
        };
        placed.values().map(with_age).collect()
    }

    /// Probes the leader until it stops answering or another leader is known, then ends the session.
    async fn probe_session(&self, session: Rc<Session>) {
        loop {
            self.wait_for_probe().await;
            let leader = self.views.get().leader.clone();
            let leader_changed = leader.is_some_and(|(name, _)| name != session.leader);
            let asked_ms = self.clock.now_ms();
            let reply = if leader_changed { None } else { self.probe_leader(&session).await };
            let Some(reply) = reply else { break };
            self.apply_heartbeat_reply(&session, asked_ms, reply);
        }
        spdlog::warn!("leader lost: requests are placed here", kv: { leader: = session.leader });
        self.session.borrow_mut().take();
        session.ended.close();
        self.links.drop_peer(&session.leader);
    }

    /// Waits until the next probe of the leader is due.
    async fn wait_for_probe(&self) {
        Timer::after(Duration::from_millis(PROBE_INTERVAL_MIN_MS)).await;
        let slow_decision = async {
            // The channel is never closed: this placement holds both ends.
            let _ = self.probe_requests.1.recv().await;
        };
        lycheehub_clock::within(PROBE_INTERVAL_MS - PROBE_INTERVAL_MIN_MS, slow_decision).await;
    }

    /// Applies a reply of the leader to a heartbeat sent at `asked_ms`.
    fn apply_heartbeat_reply(&self, session: &Session, asked_ms: u64, reply: HeartbeatReply) {
        self.update_instances(reply.instances);
        *self.relays.borrow_mut() = reply.relays;
        let mut local = self.local.borrow_mut();
        local.set_accounts_near_quota(reply.near_quota);
        if session.limits_revision.replace(reply.limits_revision) != reply.limits_revision {
            local.set_limits(self.clock.now_ms(), asked_ms, &reply.limits);
        }
        let revision = reply.quarantines_revision;
        if session.quarantines_revision.replace(revision) != revision {
            local.set_quarantines(self.clock.now_ms(), &reply.quarantines);
        }
    }

    /// Sends a heartbeat to the leader. Returns `None` if the leader does not answer.
    async fn probe_leader(&self, session: &Session) -> Option<HeartbeatReply> {
        let call = async {
            let mut request = session.client.finish_request();
            request.get().set_limits_revision(session.limits_revision.get());
            request.get().init_finished(0);
            request.get().set_quarantines_revision(session.quarantines_revision.get());
            request.get().set_path_lost(self.path_lost.get());
            let begun = self.take_begun();
            write_begun(&begun, request.get().init_begun(begun.len() as u32));
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            let mut near_quota = BTreeSet::new();
            for account in reply.get_tight()? {
                near_quota.insert(AccountName::from(account?.to_str()?));
            }
            let mut relays = Vec::new();
            for relay in reply.get_relays()? {
                relays.push(SmolStr::new(relay?.to_str()?));
            }
            Ok::<_, capnp::Error>(HeartbeatReply {
                relays,
                instances: reply.get_instances(),
                near_quota,
                limits_revision: reply.get_limits_revision(),
                limits: read_limits(reply.get_limits()?),
                quarantines_revision: reply.get_quarantines_revision(),
                quarantines: read_quarantines(reply.get_quarantines()?),
            })
        };
        within_running_time(REPLY_TIMEOUT_MS, call).await?.ok()
    }

    /// Takes the requests whose answers have begun since the last call, and how long ago, in
    /// milliseconds.
    fn take_begun(&self) -> Vec<(u64, u64)> {
        let now_ms = self.clock.now_ms();
        let begun = std::mem::take(&mut *self.begun.borrow_mut());
        begun.into_iter().map(|(number, at_ms)| (number, now_ms - at_ms)).collect()
    }

    fn update_instances(&self, instances: u32) {
        if instances > 0 && instances != self.instances.replace(instances) {
            let options = local_options(&self.settings, instances);
            self.local.borrow_mut().set_options(self.clock.now_ms(), options);
        }
    }

    /// Sends a request to the leader, if there is a session, without waiting for the reply.
    pub(super) fn send_to_leader<Params, Results>(
        &self,
        build: impl FnOnce(&placement::Client) -> Request<Params, Results>,
    ) where
        Results: Owned + Pipelined + Unpin + 'static,
        Results::Pipeline: FromTypelessPipeline,
    {
        let Some(session) = self.session.borrow().clone() else { return };
        let sent = build(&session.client).send().promise;
        let task = async move {
            if let Err(error) = sent.await {
                spdlog::debug!("failed to send a request to the leader", kv: { error: });
            }
        };
        self.executor.spawn(task).detach();
    }
}

/// Runs `work` with a timeout that is split in two halves, so that a process that was paused itself
/// handles the replies that arrived in the meantime before it reports a timeout.
async fn within_running_time<T>(timeout_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    for half_ms in [timeout_ms / 2, timeout_ms - timeout_ms / 2] {
        if let Some(output) = lycheehub_clock::within(half_ms, &mut work).await {
            return Some(output);
        }
    }
    None
}

async fn request_placement(
    peer: peer::Client,
    settings: &Settings,
    in_flight: &[InFlight],
    usage: &UsageReport,
) -> Result<placement::Client, capnp::Error> {
    let mut request = peer.enter_request();
    request.get().set_instance(settings.instance.as_str());
    request.get().set_relay_address(settings.peer_address.as_str());
    write_in_flight(in_flight, request.get().init_in_flight(in_flight.len() as u32));
    write_usage(usage, request.get());
    let reply = request.send().promise.await?;
    reply.get()?.get_placement()
}
