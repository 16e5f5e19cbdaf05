//! Places the requests of all instances while this one leads.

use super::Node;
use crate::rollouts::{Sight, version_rules};
use lycheehub_control::moves::RolloutController;
use lycheehub_dispatch::{Decision, Dispatcher, Finished, InFlight, Job, JobId, Usage};
use lycheehub_types::{AccountName, InstanceName};
use smol::channel::{Sender, bounded};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How often what waits is looked at, in milliseconds.
pub(super) const PLACING_MS: u64 = 50;
/// How often the load is measured, in milliseconds.
const LOAD_MS: u64 = 500;
/// How long an instance may be silent before its requests are forgotten, in milliseconds.
const SILENT_MS: u64 = 3_000;

/// The connection of an instance whose requests are placed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SessionKey {
    /// The instance's number here, the same for all its connections.
    pub(crate) instance: u32,
    /// The number of the connection.
    connection: u64,
}

/// An instance whose requests are placed here.
struct Session {
    instance: InstanceName,
    connection: u64,
    heard_ms: u64,
}

/// The dispatcher with those that wait for it.
pub(super) struct Placing {
    pub(super) dispatcher: Dispatcher,
    deciding: BTreeMap<JobId, Sender<Decision>>,
    sessions: BTreeMap<u32, Session>,
    /// The numbers of all instances that ever entered.
    numbers: BTreeMap<InstanceName, u32>,
    last_connection: u64,
    load_noted_ms: u64,
    /// Compares the versions of services that are rolled out.
    pub(super) rollouts: RolloutController,
    /// The revision of the route document that the dispatcher has.
    document_revision: u64,
}

impl Placing {
    fn deliver(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            let (Decision::Place { job_id, .. } | Decision::Refuse { job_id, .. }) = &decision;
            if let Some(sender) = self.deciding.remove(job_id) {
                // One that no longer waits has withdrawn, or its instance is gone.
                let _ = sender.try_send(decision);
            }
        }
    }

    /// Measures what waits, and says so where anything does.
    fn note_load(&mut self, now_ms: u64) {
        if now_ms < self.load_noted_ms + LOAD_MS {
            return;
        }
        self.load_noted_ms = now_ms;
        for load in self.dispatcher.service_loads(now_ms) {
            let service = [("service", load.service.to_string())];
            metrics::gauge!("lycheehub_waiting_requests", &service).set(load.waiting as f64);
            metrics::gauge!("lycheehub_running_requests", &service).set(load.running as f64);
            metrics::gauge!("lycheehub_free_slots", &service).set(load.free_slots as f64);
            metrics::gauge!("lycheehub_closed_slots", &service).set(load.closed_slots as f64);
            if load.waiting > 0 {
                spdlog::info!("requests wait", kv: {
                    service: = load.service,
                    waiting = load.waiting as u64,
                    running = load.running as u64,
                    free_slots = load.free_slots as u64,
                    closed_slots = load.closed_slots as u64,
                });
            }
        }
    }

    fn is_current(&self, key: SessionKey) -> bool {
        let session = self.sessions.get(&key.instance);
        session.is_some_and(|session| session.connection == key.connection)
    }

    fn session(&mut self, key: SessionKey) -> Option<&mut Session> {
        let session = self.sessions.get_mut(&key.instance);
        session.filter(|session| session.connection == key.connection)
    }

    fn forget(&mut self, now_ms: u64, session: u32) {
        let Some(gone) = self.sessions.remove(&session) else { return };
        spdlog::info!("instance left", kv: { instance: = gone.instance, session });
        self.dispatcher.forget_instance(now_ms, session);
        self.deciding.retain(|job_id, _| job_id.instance != session);
        self.deliver();
    }
}

impl Node {
    /// Begins to place requests with leadership, and ends with it; lets the dispatcher's time pass.
    pub(super) fn look_after_placing(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let leads = self.core.borrow().is_leader();
        let places = self.placing.borrow().is_some();
        if leads && !places {
            self.begin_placing();
        }
        if !leads && places {
            // Those that wait see their calls fail and turn elsewhere.
            self.placing.borrow_mut().take();
            spdlog::info!("placing ended with leadership");
        }
        let mut placing = self.placing.borrow_mut();
        let Some(placing) = placing.as_mut() else { return };
        let silent: Vec<u32> = placing
            .sessions
            .iter()
            .filter(|(_, session)| now_ms >= session.heard_ms + SILENT_MS)
            .map(|(number, _)| *number)
            .collect();
        for session in silent {
            placing.forget(now_ms, session);
        }
        placing.dispatcher.tick(now_ms);
        placing.deliver();
        placing.note_load(now_ms);
    }

    fn begin_placing(&self) {
        let dispatcher = Dispatcher::new(self.settings.dispatch);
        *self.placing.borrow_mut() = Some(Placing {
            dispatcher,
            deciding: BTreeMap::new(),
            sessions: BTreeMap::new(),
            numbers: BTreeMap::new(),
            last_connection: 0,
            load_noted_ms: 0,
            rollouts: RolloutController::default(),
            document_revision: 0,
        });
        spdlog::info!("placing begins with leadership");
        self.update_placing();
    }

    /// Passes the newest document and directory on to the dispatcher.
    pub(super) fn update_placing(&self) {
        let now_ms = self.clock.now_ms();
        let core = self.core.borrow();
        let mut placing = self.placing.borrow_mut();
        let Some(placing) = placing.as_mut() else { return };
        let record = &core.state.document;
        if record.revision != placing.document_revision {
            placing.document_revision = record.revision;
            placing.dispatcher.set_document(now_ms, &record.document);
        }
        let rules = version_rules(&core.state.rollouts, Sight::Whole);
        placing.dispatcher.set_version_rules(rules);
        placing.dispatcher.set_endpoints(now_ms, core.directory.live());
        placing.deliver();
    }

    /// Takes an instance whose requests are placed here; nothing where this one does not lead.
    pub(crate) fn enter(
        &self,
        instance: InstanceName,
        in_flight: &[InFlight],
        usage: &[Usage],
    ) -> Option<SessionKey> {
        if !self.core.borrow().is_leader() {
            return None;
        }
        if self.placing.borrow().is_none() {
            self.begin_placing();
        }
        let now_ms = self.clock.now_ms();
        let mut placing = self.placing.borrow_mut();
        let placing = placing.as_mut()?;
        let next = placing.numbers.len() as u32 + 1;
        let number = *placing.numbers.entry(instance.clone()).or_insert(next);
        placing.forget(now_ms, number);
        placing.last_connection += 1;
        let key = SessionKey { instance: number, connection: placing.last_connection };
        let count = in_flight.len() as u64;
        spdlog::info!("instance entered", kv: { instance: = instance, number, in_flight = count });
        let connection = key.connection;
        placing.sessions.insert(number, Session { instance, connection, heard_ms: now_ms });
        placing.dispatcher.record_in_flight(now_ms, number, in_flight);
        placing.dispatcher.restore_usage(now_ms, number, usage);
        Some(key)
    }

    /// Decides about a request; nothing where this instance stops leading meanwhile.
    pub(crate) async fn place(&self, session: SessionKey, job: Job) -> Option<Decision> {
        let receiver = {
            let now_ms = self.clock.now_ms();
            let mut placing = self.placing.borrow_mut();
            let placing = placing.as_mut()?;
            placing.session(session)?.heard_ms = now_ms;
            let (sender, receiver) = bounded(1);
            placing.deciding.insert(job.job_id, sender);
            placing.dispatcher.submit(now_ms, job);
            placing.deliver();
            receiver
        };
        receiver.recv().await.ok()
    }

    /// Runs a step of the dispatcher for an instance; answers how many instances are served.
    pub(crate) fn with_dispatcher(
        &self,
        session: SessionKey,
        step: impl FnOnce(&mut Dispatcher, u64),
    ) -> Option<u32> {
        let now_ms = self.clock.now_ms();
        let mut placing = self.placing.borrow_mut();
        let placing = placing.as_mut()?;
        placing.session(session)?.heard_ms = now_ms;
        step(&mut placing.dispatcher, now_ms);
        placing.deliver();
        u32::try_from(placing.sessions.len()).ok()
    }

    /// Takes the ends of requests.
    pub(crate) fn finish(&self, session: SessionKey, finished: Vec<Finished>) -> Option<u32> {
        self.with_dispatcher(session, |dispatcher, now_ms| {
            for finished in finished {
                dispatcher.finish(now_ms, finished);
            }
        })
    }

    /// Returns the client accounts that have used up most of their quota.
    pub(crate) fn tight_accounts(&self) -> Vec<AccountName> {
        let now_ms = self.clock.now_ms();
        let mut placing = self.placing.borrow_mut();
        let placing = placing.as_mut();
        placing.map_or_else(Vec::new, |placing| placing.dispatcher.accounts_near_quota(now_ms))
    }

    /// Takes the news that the caller of a request that waits has left.
    pub(crate) fn withdraw_job(&self, session: SessionKey, number: u64) -> Option<u32> {
        let job_id = JobId { instance: session.instance, number };
        let instances = self.with_dispatcher(session, |dispatcher, now_ms| {
            dispatcher.withdraw(now_ms, job_id);
        });
        if let Some(placing) = self.placing.borrow_mut().as_mut() {
            placing.deciding.remove(&job_id);
        }
        instances
    }

    /// Forgets an instance whose connection has ended.
    pub(crate) fn leave(&self, session: SessionKey) {
        let now_ms = self.clock.now_ms();
        let mut placing = self.placing.borrow_mut();
        if let Some(placing) = placing.as_mut().filter(|placing| placing.is_current(session)) {
            placing.forget(now_ms, session.instance);
        }
    }
}
