//! Dispatches the requests of all instances while this one leads.

mod bounds;
mod quarantines;
mod relays;

pub use quarantines::{log_quarantine_event, suspect_texts};

use super::Node;
use crate::rollouts::{TrafficScope, version_rules};
use lycheehub_control::moves::RolloutController;
use lycheehub_dispatch::{Decision, Dispatcher, Finished, InFlight, Job, JobId, UsageReport};
use lycheehub_types::{AccountName, EndpointName, InstanceName};
use smol::channel::{Sender, bounded};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Interval between ticks of the dispatcher, in milliseconds.
pub(super) const DISPATCH_TICK_MS: u64 = 50;
/// Interval between load measurements, in milliseconds.
const LOAD_INTERVAL_MS: u64 = 500;
/// Time without a call after which the session of an instance ends, in milliseconds.
const SESSION_TIMEOUT_MS: u64 = 3_000;
/// Identifies a connection of an instance whose requests are dispatched here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SessionKey {
    /// The number that this leader gave to the instance, the same for all its connections.
    pub(crate) instance: u32,
    /// The number of the connection.
    connection: u64,
}

/// An instance that opens a session.
pub(crate) struct Entered {
    /// The name of the instance.
    pub(crate) instance: InstanceName,
    /// Where it relays connections to endpoints, as `address:port`.
    pub(crate) relay_address: SmolStr,
}

/// The session of an instance whose requests are dispatched here.
struct Session {
    instance: InstanceName,
    /// Where the instance relays connections to endpoints.
    relay_address: SmolStr,
    connection: u64,
    last_seen_ms: u64,
}

/// The dispatcher, the sessions of the instances, and the requests that wait for a decision.
pub(super) struct LeaderDispatch {
    pub(super) dispatcher: Dispatcher,
    decision_senders: BTreeMap<JobId, Sender<Decision>>,
    sessions: BTreeMap<u32, Session>,
    /// The numbers of all instances that have opened a session.
    instance_numbers: BTreeMap<InstanceName, u32>,
    last_connection: u64,
    load_recorded_ms: u64,
    /// Controls rollouts by comparing the versions of a service.
    pub(super) rollouts: RolloutController,
    /// The revision of the route document set in the dispatcher.
    document_revision: u64,
    /// When this dispatcher began, or its process went on after a pause, in milliseconds.
    started_ms: u64,
    ticked_ms: u64,
    /// The number of instances that may place requests, with a session here or without.
    instances: u32,
    /// The limits of endpoints as instances are told of them, by endpoint and its incarnation.
    limits: BTreeMap<(EndpointName, Option<u64>), f64>,
    /// Incremented when `limits` changes.
    limits_revision: u64,
    /// Incremented when the quarantines change.
    quarantines_revision: u64,
}

impl LeaderDispatch {
    /// Sends decisions to the calls that wait for them.
    fn deliver_decisions(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            let (Decision::Place { job_id, .. } | Decision::Refuse { job_id, .. }) = &decision;
            if let Some(sender) = self.decision_senders.remove(job_id) {
                // The send fails only if the request was withdrawn or its session ended.
                let _ = sender.try_send(decision);
            }
        }
    }

    /// Records the load of each service, and logs services with waiting requests.
    fn record_load(&mut self, now_ms: u64) {
        if now_ms < self.load_recorded_ms + LOAD_INTERVAL_MS {
            return;
        }
        self.load_recorded_ms = now_ms;
        for load in self.dispatcher.service_loads(now_ms) {
            let service = [("service", load.service.to_string())];
            metrics::gauge!("lycheehub_waiting_requests", &service).set(load.waiting as f64);
            metrics::gauge!("lycheehub_running_requests", &service).set(load.running as f64);
            metrics::gauge!("lycheehub_free_slots", &service).set(load.free_slots as f64);
            metrics::gauge!("lycheehub_closed_slots", &service).set(load.closed_slots as f64);
            metrics::gauge!("lycheehub_limited_endpoints", &service)
                .set(load.limited_endpoints as f64);
            metrics::gauge!("lycheehub_cold_endpoints", &service).set(load.cold_endpoints as f64);
            metrics::gauge!("lycheehub_evacuated_endpoints", &service)
                .set(load.evacuated_endpoints as f64);
            metrics::gauge!("lycheehub_size_lag_permille", &service)
                .set(f64::from(load.size_lag_permille));
            metrics::counter!("lycheehub_streams_made_late_total", &service)
                .absolute(load.streams_made_late);
            if load.waiting > 0 {
                spdlog::info!("requests wait", kv: {
                    service: = load.service,
                    waiting = load.waiting as u64,
                    running = load.running as u64,
                    free_slots = load.free_slots as u64,
                    closed_slots = load.closed_slots as u64,
                    cold_endpoints = load.cold_endpoints as u64,
                    evacuated_endpoints = load.evacuated_endpoints as u64,
                    size_lag_permille = load.size_lag_permille,
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

    fn remove_session(&mut self, now_ms: u64, session: u32) {
        let Some(removed) = self.sessions.remove(&session) else { return };
        spdlog::info!("instance left", kv: { instance: = removed.instance, session });
        self.dispatcher.forget_instance(now_ms, session);
        self.decision_senders.retain(|job_id, _| job_id.instance != session);
        self.deliver_decisions();
    }
}

impl Node {
    /// Starts and stops dispatching along with leadership, ends expired sessions and ticks the
    /// dispatcher.
    pub(super) fn tick_dispatch(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let is_leader = self.core.borrow().is_leader();
        let is_dispatching = self.dispatch.borrow().is_some();
        if is_leader && !is_dispatching {
            self.start_dispatch();
        }
        if !is_leader && is_dispatching {
            // Dropping the senders fails the waiting calls; the instances then retry elsewhere.
            self.dispatch.borrow_mut().take();
            spdlog::info!("leadership lost: dispatching stopped");
        }
        let mut dispatch = self.dispatch.borrow_mut();
        let Some(dispatch) = dispatch.as_mut() else { return };
        dispatch.record_tick(now_ms);
        self.update_instances(now_ms, dispatch);
        let expired: Vec<u32> = dispatch
            .sessions
            .iter()
            .filter(|(_, session)| now_ms >= session.last_seen_ms + SESSION_TIMEOUT_MS)
            .map(|(number, _)| *number)
            .collect();
        for session in expired {
            dispatch.remove_session(now_ms, session);
        }
        dispatch.dispatcher.tick(now_ms);
        dispatch.deliver_decisions();
        dispatch.update_limits(now_ms);
        dispatch.update_quarantines(now_ms);
        dispatch.record_load(now_ms);
    }

    fn start_dispatch(&self) {
        let mut dispatcher = Dispatcher::new(self.settings.dispatch);
        dispatcher.set_regions(self.settings.regions.clone());
        *self.dispatch.borrow_mut() = Some(LeaderDispatch {
            dispatcher,
            decision_senders: BTreeMap::new(),
            sessions: BTreeMap::new(),
            instance_numbers: BTreeMap::new(),
            last_connection: 0,
            load_recorded_ms: 0,
            rollouts: RolloutController::new(self.settings.rollouts),
            document_revision: 0,
            started_ms: self.clock.now_ms(),
            ticked_ms: self.clock.now_ms(),
            instances: 0,
            limits: BTreeMap::new(),
            limits_revision: 1,
            quarantines_revision: 1,
        });
        spdlog::info!("leadership gained: dispatching started");
        self.update_dispatcher();
    }

    /// Passes the current document, rollouts and directory to the dispatcher.
    pub(super) fn update_dispatcher(&self) {
        let now_ms = self.clock.now_ms();
        let core = self.core.borrow();
        let mut dispatch = self.dispatch.borrow_mut();
        let Some(dispatch) = dispatch.as_mut() else { return };
        let record = &core.state.document;
        if record.revision != dispatch.document_revision {
            dispatch.document_revision = record.revision;
            dispatch.dispatcher.set_document(now_ms, &record.document);
        }
        let rules = version_rules(&core.state.rollouts, TrafficScope::AllInstances);
        dispatch.dispatcher.set_version_rules(rules);
        let evacuated = core.state.evacuations.keys().cloned().collect();
        dispatch.dispatcher.set_evacuated(now_ms, evacuated);
        dispatch.dispatcher.set_endpoints(now_ms, core.directory.live());
        dispatch.deliver_decisions();
    }

    /// Opens a session for an instance; returns `None` if this instance does not lead.
    pub(crate) fn open_session(
        &self,
        Entered { instance, relay_address }: Entered,
        in_flight: &[InFlight],
        usage: &UsageReport,
    ) -> Option<SessionKey> {
        if !self.core.borrow().is_leader() {
            return None;
        }
        if self.dispatch.borrow().is_none() {
            self.start_dispatch();
        }
        let now_ms = self.clock.now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        let dispatch = dispatch.as_mut()?;
        let next = dispatch.instance_numbers.len() as u32 + 1;
        let number = *dispatch.instance_numbers.entry(instance.clone()).or_insert(next);
        dispatch.remove_session(now_ms, number);
        dispatch.last_connection += 1;
        let key = SessionKey { instance: number, connection: dispatch.last_connection };
        let count = in_flight.len() as u64;
        spdlog::info!("instance entered", kv: { instance: = instance, number, in_flight = count });
        let connection = key.connection;
        let session = Session { instance, relay_address, connection, last_seen_ms: now_ms };
        dispatch.sessions.insert(number, session);
        self.update_instances(now_ms, dispatch);
        dispatch.dispatcher.record_in_flight(now_ms, number, in_flight);
        dispatch.dispatcher.restore_usage(now_ms, number, usage);
        dispatch.quarantines_revision += 1;
        Some(key)
    }

    /// Waits for the decision on a request; returns `None` if the session ends or this instance
    /// stops leading first.
    pub(crate) async fn place(&self, session: SessionKey, job: Job) -> Option<Decision> {
        let receiver = {
            let now_ms = self.clock.now_ms();
            let mut dispatch = self.dispatch.borrow_mut();
            let dispatch = dispatch.as_mut()?;
            dispatch.session(session)?.last_seen_ms = now_ms;
            let (sender, receiver) = bounded(1);
            dispatch.decision_senders.insert(job.job_id, sender);
            dispatch.dispatcher.submit(now_ms, job);
            dispatch.deliver_decisions();
            receiver
        };
        receiver.recv().await.ok()
    }

    /// Runs a step of the dispatcher for a session; returns the number of instances.
    pub(crate) fn with_dispatcher(
        &self,
        session: SessionKey,
        step: impl FnOnce(&mut Dispatcher, u64),
    ) -> Option<u32> {
        let now_ms = self.clock.now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        let dispatch = dispatch.as_mut()?;
        dispatch.session(session)?.last_seen_ms = now_ms;
        step(&mut dispatch.dispatcher, now_ms);
        dispatch.deliver_decisions();
        Some(dispatch.instances)
    }

    /// Passes finished requests to the dispatcher.
    pub(crate) fn finish(&self, session: SessionKey, finished: Vec<Finished>) -> Option<u32> {
        self.with_dispatcher(session, |dispatcher, now_ms| {
            for finished in finished {
                dispatcher.finish(now_ms, finished);
            }
        })
    }

    /// Returns the client accounts that are close to their quota.
    pub(crate) fn accounts_near_quota(&self) -> Vec<AccountName> {
        let now_ms = self.clock.now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        let dispatch = dispatch.as_mut();
        dispatch.map_or_else(Vec::new, |dispatch| dispatch.dispatcher.accounts_near_quota(now_ms))
    }

    /// Withdraws a waiting request whose caller has disconnected.
    pub(crate) fn withdraw_job(&self, session: SessionKey, number: u64) -> Option<u32> {
        let job_id = JobId { instance: session.instance, number };
        let instances = self.with_dispatcher(session, |dispatcher, now_ms| {
            dispatcher.withdraw(now_ms, job_id);
        });
        if let Some(dispatch) = self.dispatch.borrow_mut().as_mut() {
            dispatch.decision_senders.remove(&job_id);
        }
        instances
    }

    /// Closes the session of a connection that has ended.
    pub(crate) fn close_session(&self, session: SessionKey) {
        let now_ms = self.clock.now_ms();
        let mut dispatch = self.dispatch.borrow_mut();
        if let Some(dispatch) = dispatch.as_mut().filter(|dispatch| dispatch.is_current(session)) {
            dispatch.remove_session(now_ms, session.instance);
        }
    }
}
