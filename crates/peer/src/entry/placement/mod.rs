//! Places requests with the leader's dispatcher, or with the local one while no leader answers.
//!
//! If the leader is lost under full load, the requests that wait for its decision, and those that
//! arrive before another leader is elected, are placed by the local dispatcher. It knows the requests
//! that this instance has in flight and uses this instance's share of the slots.

mod session;

use super::{EntryView, PauseGuard};
use crate::link::Links;
use crate::rollouts::{TrafficScope, version_rules};
use crate::settings::Settings;
use crate::views::Latest;
use lycheehub_clock::Clock;
use lycheehub_dispatch::crashes::Content;
use lycheehub_dispatch::placement::DecisionFuture;
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, InFlight, Job, JobId, LimitKind, Notice, Options, Placement,
    StatedLimit,
};
use lycheehub_types::EndpointName;
use lycheehub_wire::{read_decision, write_finished, write_job, write_notice};
use session::Session;
use smol::channel::{Receiver, Sender, bounded};
use smol::{LocalExecutor, Timer};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a request waits for the leader's decision before it triggers a probe of the leader, in
/// milliseconds: several times the duration of a decision while slots are free.
const SLOW_DECISION_MS: u64 = 30;
/// The tick interval of the local dispatcher while requests wait there, in milliseconds.
const LOCAL_TICK_MS: u64 = 50;
/// How often a request that must wait for the leader checks for a session, in milliseconds.
const SESSION_CHECK_MS: u64 = 20;
/// The number of this instance at its local dispatcher.
const OWN_NUMBER: u32 = 0;
/// The maximum number of begun answers that wait for the next heartbeat.
const BEGUN_MAX: usize = 4_096;
/// The assumed number of instances until a leader reports it.
const DEFAULT_INSTANCES: u32 = 8;

/// A request that is placed on an endpoint.
struct PlacedRequest {
    in_flight: InFlight,
    placed_ms: u64,
}

/// Places the requests of this instance, with the leader if possible and locally otherwise.
pub struct LeaderPlacement {
    settings: Rc<Settings>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    links: Links,
    views: Arc<Latest<EntryView>>,
    session: RefCell<Option<Rc<Session>>>,
    /// The local dispatcher, which places requests while no leader answers.
    local: RefCell<Dispatcher>,
    /// The requests that wait for a decision of the local dispatcher, by number.
    pending_decisions: RefCell<BTreeMap<u64, Sender<Decision>>>,
    /// The requests that are placed and not finished, by number.
    placed: RefCell<BTreeMap<u64, PlacedRequest>>,
    /// The requests whose answers have begun since the last heartbeat, by number, and when, in
    /// milliseconds.
    begun: RefCell<Vec<(u64, u64)>>,
    /// Signalled when a request waits long for the leader's decision.
    probe_requests: (Sender<()>, Receiver<()>),
    pause_guard: RefCell<PauseGuard>,
    instances: Cell<u32>,
    /// Whether this instance has lost its path to the endpoints.
    path_lost: Cell<bool>,
    /// The addresses of instances that relay connections to endpoints, as the leader last named them.
    relays: RefCell<Vec<SmolStr>>,
    /// The number of times that relays were asked for.
    relay_turn: Cell<usize>,
    last_number: Cell<u64>,
}

impl LeaderPlacement {
    /// Creates a placement whose tasks run on `executor`.
    pub fn new(
        settings: Settings,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        views: Arc<Latest<EntryView>>,
    ) -> Rc<Self> {
        let settings = Rc::new(settings);
        let links = Links::new(settings.clone(), clock, executor.clone());
        let mut local = Dispatcher::new(local_options(&settings, DEFAULT_INSTANCES));
        local.set_regions(settings.regions.clone());
        Rc::new(Self {
            settings,
            clock,
            executor,
            links,
            views,
            session: RefCell::default(),
            local: RefCell::new(local),
            pending_decisions: RefCell::default(),
            placed: RefCell::default(),
            begun: RefCell::default(),
            probe_requests: bounded(1),
            pause_guard: RefCell::new(PauseGuard::new(clock.now_ms())),
            instances: Cell::new(DEFAULT_INSTANCES),
            path_lost: Cell::new(false),
            relays: RefCell::default(),
            relay_turn: Cell::new(0),
            last_number: Cell::new(0),
        })
    }

    /// Starts the tasks that maintain the session with the leader and tick the local dispatcher.
    pub fn start(self: &Rc<Self>) {
        self.executor.spawn(self.clone().maintain_session()).detach();
        self.executor.spawn(self.clone().tick_local()).detach();
    }

    /// Applies a new view to the local dispatcher.
    pub fn apply_view(&self, view: &EntryView, document_changed: bool) {
        self.check_pause();
        let now_ms = self.clock.now_ms();
        {
            let mut local = self.local.borrow_mut();
            if document_changed {
                local.set_document(now_ms, view.table.document());
            }
            local.set_version_rules(version_rules(&view.rollouts, TrafficScope::OneInstance));
            local.set_evacuated(now_ms, view.evacuated.clone());
            local.set_endpoints(now_ms, view.endpoints.iter());
        }
        self.deliver_local();
    }

    /// Returns the number of requests in flight at endpoints.
    pub fn in_flight(&self) -> usize {
        self.placed.borrow().len()
    }

    /// Returns the addresses of instances that relay connections to endpoints, another one first each
    /// time.
    pub fn relays(&self) -> Vec<SmolStr> {
        let mut relays = self.relays.borrow().clone();
        let turn = self.relay_turn.get();
        self.relay_turn.set(turn.wrapping_add(1));
        let first = turn % relays.len().max(1);
        relays.rotate_left(first);
        relays
    }

    /// Requests a decision from the leader. Returns `None` if the session ends first.
    async fn place_at_leader(&self, session: &Session, job: &Job) -> Option<Decision> {
        let call = async {
            let mut request = session.client.place_request();
            write_job(job, request.get().init_job());
            let reply = request.send().promise.await?;
            Ok::<Decision, capnp::Error>(read_decision(job.job_id, reply.get()?.get_decision()?)?)
        };
        let ended = async {
            // Nothing is ever sent on this channel; it closes when the session ends.
            let _ = session.ended.recv().await;
            None
        };
        let slow_decision = async {
            Timer::after(Duration::from_millis(SLOW_DECISION_MS)).await;
            // If the channel is full, a probe is already requested.
            let _ = self.probe_requests.0.try_send(());
            smol::future::pending().await
        };
        let session_lost = smol::future::or(ended, slow_decision);
        smol::future::or(async { call.await.ok() }, session_lost).await
    }

    /// Requests a decision from the local dispatcher. Returns `None` if the request is withdrawn first,
    /// for example to be placed by the leader.
    async fn place_locally(&self, job: Job) -> Option<Decision> {
        let (sender, receiver) = bounded(1);
        self.pending_decisions.borrow_mut().insert(job.job_id.number, sender);
        self.local.borrow_mut().submit(self.clock.now_ms(), job);
        self.deliver_local();
        receiver.recv().await.ok()
    }

    /// Checks whether the process was paused. If so, withdraws the requests that wait here, because the
    /// local state is stale.
    fn check_pause(&self) {
        if self.pause_guard.borrow_mut().record_running(self.clock.now_ms()) {
            spdlog::warn!("paused: requests wait for the leader");
            self.withdraw_local();
        }
    }

    /// Withdraws all requests that wait at the local dispatcher, so that [`Placement::place`] submits
    /// them to the leader, which can grant all slots.
    fn withdraw_local(&self) {
        let withdrawn = std::mem::take(&mut *self.pending_decisions.borrow_mut());
        let now_ms = self.clock.now_ms();
        let mut local = self.local.borrow_mut();
        for number in withdrawn.keys() {
            local.withdraw(now_ms, JobId { instance: OWN_NUMBER, number: *number });
        }
        if !withdrawn.is_empty() {
            let count = withdrawn.len() as u64;
            spdlog::info!("waiting requests handed over to the leader", kv: { count });
        }
    }

    /// Sends the leader the notices that this instance has received from the `wanted` endpoints.
    fn send_notices(&self, wanted: impl Fn(&EndpointName) -> bool) {
        let notices = self.local.borrow().notices(self.clock.now_ms(), OWN_NUMBER);
        for (endpoint, incarnation, notice) in notices.into_iter().filter(|(name, ..)| wanted(name))
        {
            self.send_to_leader(|client| {
                let mut request = client.heed_request();
                request.get().set_endpoint(endpoint.as_str());
                write_notice(notice, incarnation, request.get());
                request
            });
        }
    }

    /// Returns the endpoint of a decision if this instance excludes that endpoint.
    ///
    /// This happens when a new leader has not received the endpoint's notice yet, or decided before the
    /// notice reached it.
    fn excluded_endpoint(&self, decision: &Decision) -> Option<EndpointName> {
        let Decision::Place { endpoint, .. } = decision else { return None };
        self.is_excluded(endpoint).then(|| endpoint.clone())
    }

    fn deliver_local(&self) {
        let decisions = self.local.borrow_mut().take_decisions();
        for decision in decisions {
            let (Decision::Place { job_id, .. } | Decision::Refuse { job_id, .. }) = &decision;
            if let Some(sender) = self.pending_decisions.borrow_mut().remove(&job_id.number) {
                // The receiver is gone if the request was withdrawn.
                let _ = sender.try_send(decision);
            }
        }
    }

    async fn tick_local(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_millis(LOCAL_TICK_MS)).await;
            self.check_pause();
            if !self.pending_decisions.borrow().is_empty() {
                self.local.borrow_mut().tick(self.clock.now_ms());
                self.deliver_local();
            }
        }
    }

    fn record_placed(&self, job: &Job, decision: &Decision, by_leader: bool) {
        let Decision::Place { endpoint, .. } = decision else { return };
        let memory_tokens = u64::from(job.prompt_tokens) + u64::from(job.output_tokens);
        let in_flight = InFlight {
            number: job.job_id.number,
            endpoint: endpoint.clone(),
            memory_tokens,
            is_stream: job.output_tokens > 0,
            age_ms: 0,
            content: Content::from(job),
        };
        let now_ms = self.clock.now_ms();
        if by_leader {
            let own = std::slice::from_ref(&in_flight);
            let mut local = self.local.borrow_mut();
            local.record_in_flight(now_ms, job.job_id.instance, own);
            local.record_usage(now_ms, job);
        }
        let placed = PlacedRequest { in_flight, placed_ms: now_ms };
        self.placed.borrow_mut().insert(job.job_id.number, placed);
    }
}

impl Placement for LeaderPlacement {
    fn next_job_id(&self) -> JobId {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        JobId { instance: OWN_NUMBER, number }
    }

    fn place(&self, mut job: Job) -> DecisionFuture<'_> {
        Box::pin(async move {
            let submitted_ms = self.clock.now_ms();
            loop {
                let aged_job = || job.after(self.clock.now_ms() - submitted_ms);
                let session = self.session.borrow().clone();
                if let Some(session) = session
                    && let Some(decision) = self.place_at_leader(&session, &aged_job()).await
                {
                    if let Some(endpoint) = self.excluded_endpoint(&decision) {
                        spdlog::info!("endpoint not used: it wants nothing", kv: { endpoint: });
                        self.withdraw(job.job_id);
                        self.send_notices(|name| *name == endpoint);
                        job.tried.push(endpoint);
                        continue;
                    }
                    self.record_placed(&job, &decision, true);
                    return decision;
                }
                self.check_pause();
                if self.pause_guard.borrow().must_wait(self.clock.now_ms()) {
                    Timer::after(Duration::from_millis(SESSION_CHECK_MS)).await;
                    continue;
                }
                if let Some(decision) = self.place_locally(aged_job()).await {
                    self.record_placed(&job, &decision, false);
                    return decision;
                }
            }
        })
    }

    fn finish(&self, finished: Finished) {
        self.check_pause();
        self.placed.borrow_mut().remove(&finished.job_id.number);
        self.local.borrow_mut().finish(self.clock.now_ms(), finished);
        self.deliver_local();
        self.send_to_leader(|client| {
            let mut request = client.finish_request();
            write_finished(&[finished], request.get().init_finished(1));
            request
        });
    }

    fn record_answer_begun(&self, job_id: JobId) {
        let now_ms = self.clock.now_ms();
        self.local.borrow_mut().record_answer_begun(now_ms, job_id, 0);
        let mut begun = self.begun.borrow_mut();
        if begun.len() < BEGUN_MAX {
            begun.push((job_id.number, now_ms));
        }
    }

    fn set_path_lost(&self, is_lost: bool) {
        self.path_lost.set(is_lost);
        // If the channel is full, a heartbeat is already requested.
        let _ = self.probe_requests.0.try_send(());
    }

    fn report_stall(&self, job_id: JobId) {
        self.local.borrow_mut().report_stall(self.clock.now_ms(), job_id);
        self.send_to_leader(|client| {
            let mut request = client.stalled_request();
            request.get().set_number(job_id.number);
            request
        });
    }

    fn record_notice(&self, endpoint: &EndpointName, notice: Notice) {
        let now_ms = self.clock.now_ms();
        self.local.borrow_mut().record_notice(now_ms, OWN_NUMBER, (endpoint, None), notice);
        let Some(session) = self.session.borrow().clone() else { return };
        let is_only_limit = !notice.leaving && notice.pause_ms.is_none();
        let must_send = |kind, limit: Option<StatedLimit>| {
            limit.is_some_and(|limit| session.must_send_limit(now_ms, endpoint, kind, limit))
        };
        let has_new_limit = must_send(LimitKind::Requests, notice.limit);
        let has_new_rejections = must_send(LimitKind::Rejections, notice.rejections);
        if has_new_limit || has_new_rejections || !is_only_limit {
            self.send_notices(|name| name == endpoint);
        }
    }

    fn record_unlimited(&self, job_id: JobId, kind: LimitKind) {
        if !self.local.borrow_mut().record_unlimited(job_id, kind) {
            return;
        }
        self.send_to_leader(|client| {
            let mut request = client.unlimited_request();
            request.get().set_number(job_id.number);
            request.get().set_kind(kind.into());
            request
        });
    }

    fn instances(&self) -> u32 {
        self.instances.get()
    }

    fn is_excluded(&self, endpoint: &EndpointName) -> bool {
        self.local.borrow().is_excluded(self.clock.now_ms(), OWN_NUMBER, endpoint)
    }

    fn withdraw(&self, job_id: JobId) {
        self.check_pause();
        self.pending_decisions.borrow_mut().remove(&job_id.number);
        self.placed.borrow_mut().remove(&job_id.number);
        self.local.borrow_mut().withdraw(self.clock.now_ms(), job_id);
        self.deliver_local();
        self.send_to_leader(|client| {
            let mut request = client.withdraw_request();
            request.get().set_number(job_id.number);
            request
        });
    }
}

/// Returns the options of the local dispatcher of one of `instances` instances.
fn local_options(settings: &Settings, instances: u32) -> Options {
    let salt = xxh3_64(settings.instance.as_str().as_bytes());
    settings.dispatch.for_one_of(instances, salt)
}
