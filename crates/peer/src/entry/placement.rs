//! Places requests by the dispatcher at the leader, and by one of this instance's own while no
//! leader answers.
//!
//! Load pattern: the leader is lost under full load. Requests that wait for its word, and those
//! that come until another one leads, are placed here by what this instance has in flight itself
//! and by its part of the slots.

use super::{EntryView, PauseGuard};
use crate::link::{Links, within};
use crate::rollouts::{TrafficScope, version_rules};
use crate::settings::Settings;
use crate::views::Latest;
use capnp::capability::{FromTypelessPipeline, Request};
use capnp::traits::{Owned, Pipelined};
use lycheehub_clock::Clock;
use lycheehub_dispatch::placement::DecisionFuture;
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, InFlight, Job, JobId, Notice, Options, Placement, Usage,
};
use lycheehub_types::{AccountName, EndpointName, InstanceName, PeerError};
use lycheehub_wire::peer_capnp::{peer, placement};
use lycheehub_wire::{
    read_decision, write_finished, write_in_flight, write_job, write_notice, write_usage,
};
use smol::channel::{Receiver, Sender, bounded};
use smol::{LocalExecutor, Timer};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long the leader may take to answer, in milliseconds: some round trips between failure domains,
/// and a pause of the leader while it sends a large document to hundreds of instances.
const ANSWER_MS: u64 = 250;
/// How long a request waits until the leader is asked whether it is there, in milliseconds: several
/// times as long as a decision takes where there is room.
const DOUBT_MS: u64 = 30;
/// How often the leader is asked that at most, in milliseconds.
const ASK_BUSY_MS: u64 = 100;
/// How often it is asked where no request waits for it, in milliseconds.
const ASK_IDLE_MS: u64 = 500;
/// How long to wait before the leader is looked for again, in milliseconds.
const LOOK_AGAIN_MS: u64 = 100;
/// How often the own dispatcher's time is moved on while requests wait, in milliseconds.
const LOCAL_TICK_MS: u64 = 50;
/// How often a request that must wait for the leader looks for it, in milliseconds.
const LOOK_FOR_LEADER_MS: u64 = 20;
/// The number of this instance at its own dispatcher.
const OWN_NUMBER: u32 = 0;
/// How many instances there are where no leader has told it yet.
const INSTANCES_GUESS: u32 = 8;

/// The dispatcher at the leader, for as long as it answers.
struct Session {
    leader: InstanceName,
    client: placement::Client,
    /// Closed when the leader is given up.
    ended: Receiver<()>,
    _alive: Sender<()>,
}

/// Places requests of this instance.
pub struct LeaderPlacement {
    settings: Rc<Settings>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    links: Links,
    views: Arc<Latest<EntryView>>,
    session: RefCell<Option<Rc<Session>>>,
    local: RefCell<Dispatcher>,
    /// Those that wait for the own dispatcher.
    deciding: RefCell<BTreeMap<u64, Sender<Decision>>>,
    placed: RefCell<BTreeMap<u64, InFlight>>,
    /// Told where a request waits for the leader's word for long.
    doubts: (Sender<()>, Receiver<()>),
    pause_guard: RefCell<PauseGuard>,
    instances: Cell<u32>,
    last_number: Cell<u64>,
}

impl LeaderPlacement {
    /// Makes a placement; its tasks run on `executor`.
    pub fn new(
        settings: Settings,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        views: Arc<Latest<EntryView>>,
    ) -> Rc<Self> {
        let settings = Rc::new(settings);
        let links = Links::new(settings.clone(), clock, executor.clone());
        let local = RefCell::new(Dispatcher::new(local_options(&settings, INSTANCES_GUESS)));
        Rc::new(Self {
            settings,
            clock,
            executor,
            links,
            views,
            session: RefCell::default(),
            local,
            deciding: RefCell::default(),
            placed: RefCell::default(),
            doubts: bounded(1),
            pause_guard: RefCell::new(PauseGuard::new(clock.now_ms())),
            instances: Cell::new(INSTANCES_GUESS),
            last_number: Cell::new(0),
        })
    }

    /// Starts the tasks that keep the way to the leader and the own dispatcher up to date.
    pub fn start(self: &Rc<Self>) {
        self.executor.spawn(self.clone().follow_leader()).detach();
        self.executor.spawn(self.clone().tick_local()).detach();
    }

    /// Takes a new view.
    pub fn take_view(&self, view: &EntryView, document_changed: bool) {
        self.notice_pause();
        let now_ms = self.clock.now_ms();
        {
            let mut local = self.local.borrow_mut();
            if document_changed {
                local.set_document(now_ms, view.table.document());
            }
            local.set_version_rules(version_rules(&view.rollouts, TrafficScope::OneInstance));
            local.set_endpoints(now_ms, view.endpoints.iter());
        }
        self.deliver_local();
    }

    /// Returns how many requests are at endpoints.
    pub fn in_flight(&self) -> usize {
        self.placed.borrow().len()
    }

    /// Keeps a session with whoever leads.
    async fn follow_leader(self: Rc<Self>) {
        loop {
            let leader = self.views.get().leader.clone();
            if let Some((name, address)) = leader {
                match self.enter(&name, &address).await {
                    Ok(alive) => self.keep_session(alive).await,
                    Err(error) => spdlog::debug!("leader not entered", kv: { error: }),
                }
            }
            Timer::after(Duration::from_millis(LOOK_AGAIN_MS)).await;
        }
    }

    async fn enter(
        &self,
        name: &InstanceName,
        address: &SmolStr,
    ) -> Result<Rc<Session>, PeerError> {
        const STEP: &str = "enter";
        let peer = self.links.peer(name, address).await?;
        let in_flight: Vec<InFlight> = self.placed.borrow().values().cloned().collect();
        let usage = self.local.borrow().usage(self.clock.now_ms(), OWN_NUMBER);
        let entered = async {
            let client = enter_at(peer, self.settings.instance.as_str(), &in_flight, &usage).await;
            client.map_err(|error| PeerError::failed(STEP, name.as_str(), error))
        };
        let client = within(STEP, name, ANSWER_MS, entered).await;
        if client.is_err() {
            self.links.drop_peer(name);
        }
        let (alive, ended) = bounded(1);
        let session = Session { leader: name.clone(), client: client?, ended, _alive: alive };
        let session = Rc::new(session);
        spdlog::info!("requests are placed by the leader", kv: { leader: = name });
        *self.session.borrow_mut() = Some(session.clone());
        self.tell_notices(|_| true);
        self.hand_over();
        Ok(session)
    }

    /// Asks the leader whether it is there until it does not answer, or another one leads.
    async fn keep_session(&self, session: Rc<Session>) {
        loop {
            self.await_doubt().await;
            let leader = self.views.get().leader.clone();
            let moved = leader.is_some_and(|(name, _)| name != session.leader);
            let answer = if moved { None } else { self.ask_alive(&session).await };
            let Some((instances, tight)) = answer else { break };
            self.note_instances(instances);
            self.local.borrow_mut().set_accounts_near_quota(tight);
        }
        spdlog::warn!("leader lost: requests are placed here", kv: { leader: = session.leader });
        self.session.borrow_mut().take();
        session.ended.close();
        self.links.drop_peer(&session.leader);
    }

    /// Waits until the leader is to be asked whether it is there.
    async fn await_doubt(&self) {
        Timer::after(Duration::from_millis(ASK_BUSY_MS)).await;
        let doubted = async {
            // The channel is never closed: this placement holds both ends.
            let _ = self.doubts.1.recv().await;
        };
        lycheehub_clock::within(ASK_IDLE_MS - ASK_BUSY_MS, doubted).await;
    }

    /// Returns how many instances the leader serves, and which client accounts have used up most of
    /// their quota.
    async fn ask_alive(&self, session: &Session) -> Option<(u32, BTreeSet<AccountName>)> {
        let asked = async {
            let mut request = session.client.finish_request();
            request.get().init_finished(0);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            let mut tight = BTreeSet::new();
            for account in reply.get_tight()? {
                tight.insert(AccountName::from(account?.to_str()?));
            }
            Ok::<_, capnp::Error>((reply.get_instances(), tight))
        };
        within_own_time(ANSWER_MS, asked).await?.ok()
    }

    fn note_instances(&self, instances: u32) {
        if instances > 0 && instances != self.instances.replace(instances) {
            let options = local_options(&self.settings, instances);
            self.local.borrow_mut().set_options(options);
        }
    }

    /// Asks the leader; nothing where it is given up meanwhile.
    async fn place_at_leader(&self, session: &Session, job: &Job) -> Option<Decision> {
        let asked = async {
            let mut request = session.client.place_request();
            write_job(job, request.get().init_job());
            let reply = request.send().promise.await?;
            Ok::<Decision, capnp::Error>(read_decision(job.job_id, reply.get()?.get_decision()?)?)
        };
        let ended = async {
            // Nothing is ever sent: the channel closes when the leader is given up.
            let _ = session.ended.recv().await;
            None
        };
        let doubted = async {
            Timer::after(Duration::from_millis(DOUBT_MS)).await;
            // A full channel says the same.
            let _ = self.doubts.0.try_send(());
            smol::future::pending().await
        };
        let given_up = smol::future::or(ended, doubted);
        smol::future::or(async { asked.await.ok() }, given_up).await
    }

    /// Asks the own dispatcher; nothing where the request is handed over to a leader meanwhile.
    async fn place_here(&self, job: Job) -> Option<Decision> {
        let (sender, receiver) = bounded(1);
        self.deciding.borrow_mut().insert(job.job_id.number, sender);
        self.local.borrow_mut().submit(self.clock.now_ms(), job);
        self.deliver_local();
        receiver.recv().await.ok()
    }

    /// Looks whether this process was paused; what waits here by what it knew before is handed over.
    fn notice_pause(&self) {
        if self.pause_guard.borrow_mut().note_running(self.clock.now_ms()) {
            spdlog::warn!("paused: requests wait for the leader");
            self.hand_over();
        }
    }

    /// Hands all that waits here over to the leader, which has all slots to give.
    fn hand_over(&self) {
        let waiting = std::mem::take(&mut *self.deciding.borrow_mut());
        let now_ms = self.clock.now_ms();
        let mut local = self.local.borrow_mut();
        for number in waiting.keys() {
            local.withdraw(now_ms, JobId { instance: OWN_NUMBER, number: *number });
        }
        if !waiting.is_empty() {
            let count = waiting.len() as u64;
            spdlog::info!("waiting requests handed over to the leader", kv: { count });
        }
    }

    /// Tells the leader what the `wanted` endpoints have said to this instance.
    fn tell_notices(&self, wanted: impl Fn(&EndpointName) -> bool) {
        let notices = self.local.borrow().notices(self.clock.now_ms(), OWN_NUMBER);
        for (endpoint, incarnation, notice) in notices.into_iter().filter(|(name, ..)| wanted(name))
        {
            self.tell(|client| {
                let mut request = client.heed_request();
                request.get().set_endpoint(endpoint.as_str());
                write_notice(notice, incarnation, request.get());
                request
            });
        }
    }

    /// Tells whether a decision is for an endpoint that wants nothing from this instance, which its
    /// leader has not heard.
    ///
    /// Load pattern: a leader has just begun, or decided before the endpoint's word reached it.
    fn goes_astray(&self, decision: &Decision) -> Option<EndpointName> {
        let Decision::Place { endpoint, .. } = decision else { return None };
        self.is_excluded(endpoint).then(|| endpoint.clone())
    }

    fn deliver_local(&self) {
        let decisions = self.local.borrow_mut().take_decisions();
        for decision in decisions {
            let (Decision::Place { job_id, .. } | Decision::Refuse { job_id, .. }) = &decision;
            if let Some(sender) = self.deciding.borrow_mut().remove(&job_id.number) {
                // One that no longer waits has withdrawn.
                let _ = sender.try_send(decision);
            }
        }
    }

    async fn tick_local(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_millis(LOCAL_TICK_MS)).await;
            self.notice_pause();
            if !self.deciding.borrow().is_empty() {
                self.local.borrow_mut().tick(self.clock.now_ms());
                self.deliver_local();
            }
        }
    }

    fn note_placed(&self, job: &Job, decision: &Decision, by_leader: bool) {
        let Decision::Place { endpoint, .. } = decision else { return };
        let memory_tokens = u64::from(job.prompt_tokens) + u64::from(job.output_tokens);
        let in_flight = InFlight {
            number: job.job_id.number,
            endpoint: endpoint.clone(),
            memory_tokens,
            is_stream: job.output_tokens > 0,
        };
        if by_leader {
            let own = std::slice::from_ref(&in_flight);
            let now_ms = self.clock.now_ms();
            let mut local = self.local.borrow_mut();
            local.record_in_flight(now_ms, job.job_id.instance, own);
            local.record_usage(now_ms, job);
        }
        self.placed.borrow_mut().insert(job.job_id.number, in_flight);
    }

    /// Sends a word to the leader, if there is one, without waiting for its answer.
    fn tell<Params, Results>(
        &self,
        word: impl FnOnce(&placement::Client) -> Request<Params, Results>,
    ) where
        Results: Owned + Pipelined + Unpin + 'static,
        Results::Pipeline: FromTypelessPipeline,
    {
        let Some(session) = self.session.borrow().clone() else { return };
        let sent = word(&session.client).send().promise;
        let task = async move {
            if let Err(error) = sent.await {
                spdlog::debug!("word to the leader lost", kv: { error: });
            }
        };
        self.executor.spawn(task).detach();
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
            let asked_ms = self.clock.now_ms();
            loop {
                let job_now = || job.after(self.clock.now_ms() - asked_ms);
                let session = self.session.borrow().clone();
                if let Some(session) = session
                    && let Some(decision) = self.place_at_leader(&session, &job_now()).await
                {
                    if let Some(endpoint) = self.goes_astray(&decision) {
                        spdlog::info!("endpoint not used: it wants nothing", kv: { endpoint: });
                        self.withdraw(job.job_id);
                        self.tell_notices(|name| *name == endpoint);
                        job.tried.push(endpoint);
                        continue;
                    }
                    self.note_placed(&job, &decision, true);
                    return decision;
                }
                self.notice_pause();
                if self.pause_guard.borrow().must_wait(self.clock.now_ms()) {
                    Timer::after(Duration::from_millis(LOOK_FOR_LEADER_MS)).await;
                    continue;
                }
                if let Some(decision) = self.place_here(job_now()).await {
                    self.note_placed(&job, &decision, false);
                    return decision;
                }
            }
        })
    }

    fn finish(&self, finished: Finished) {
        self.notice_pause();
        self.placed.borrow_mut().remove(&finished.job_id.number);
        self.local.borrow_mut().finish(self.clock.now_ms(), finished);
        self.deliver_local();
        self.tell(|client| {
            let mut request = client.finish_request();
            write_finished(&[finished], request.get().init_finished(1));
            request
        });
    }

    fn report_stall(&self, job_id: JobId) {
        self.local.borrow_mut().report_stall(self.clock.now_ms(), job_id);
        self.tell(|client| {
            let mut request = client.stalled_request();
            request.get().set_number(job_id.number);
            request
        });
    }

    fn record_notice(&self, endpoint: &EndpointName, notice: Notice) {
        let now_ms = self.clock.now_ms();
        self.local.borrow_mut().record_notice(now_ms, OWN_NUMBER, (endpoint, None), notice);
        self.tell_notices(|name| name == endpoint);
    }

    fn is_excluded(&self, endpoint: &EndpointName) -> bool {
        self.local.borrow().is_excluded(self.clock.now_ms(), OWN_NUMBER, endpoint)
    }

    fn withdraw(&self, job_id: JobId) {
        self.deciding.borrow_mut().remove(&job_id.number);
        self.placed.borrow_mut().remove(&job_id.number);
        self.local.borrow_mut().withdraw(self.clock.now_ms(), job_id);
        self.deliver_local();
        self.tell(|client| {
            let mut request = client.withdraw_request();
            request.get().set_number(job_id.number);
            request
        });
    }
}

/// Does `work` for at most `bound_ms` in which this process runs: one that was paused itself takes the
/// answers that came meanwhile before it gives anybody up.
async fn within_own_time<T>(bound_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    for part_ms in [bound_ms / 2, bound_ms - bound_ms / 2] {
        if let Some(done) = lycheehub_clock::within(part_ms, &mut work).await {
            return Some(done);
        }
    }
    None
}

async fn enter_at(
    peer: peer::Client,
    own: &str,
    in_flight: &[InFlight],
    usage: &[Usage],
) -> Result<placement::Client, capnp::Error> {
    let mut request = peer.enter_request();
    request.get().set_instance(own);
    write_in_flight(in_flight, request.get().init_in_flight(in_flight.len() as u32));
    write_usage(usage, request.get().init_usage(usage.len() as u32));
    let reply = request.send().promise.await?;
    reply.get()?.get_placement()
}

/// Returns the options of an instance's own dispatcher among `instances`.
fn local_options(settings: &Settings, instances: u32) -> Options {
    let share = 1.0 / f64::from(instances.max(1));
    let slot_salt = xxh3_64(settings.instance.as_str().as_bytes());
    Options { slot_share: share, slot_salt, budget_share: share, ..settings.dispatch }
}
