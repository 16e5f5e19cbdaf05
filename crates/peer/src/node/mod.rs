//! The control thread: registry, replica or learned state, and controllers.

mod calls;
mod census;
mod directory;
mod driver;
mod follow;
mod founding;
mod gossip;
mod membership;
mod placing;
mod propose;
mod publish;
mod report;
mod requests;
mod rollouts;

use crate::control::{AnswerSource, ControlRequest, OrderSink};
use crate::link::Links;
use crate::server;
use crate::settings::Settings;
use crate::views::Views;
use crate::watch::HeardFrom;
pub(crate) use directory::Told;
use driver::Driver;
use lycheehub_clock::{Clock, Timers};
use lycheehub_consensus::Replica;
use lycheehub_consensus::storage::{Disk, Error as StorageError};
use lycheehub_control::directory::Directory;
use lycheehub_control::moves::MoveController;
use lycheehub_control::placement::PlacementController;
use lycheehub_control::registry::{Cursor, Registry};
use lycheehub_control::slots::SlotAllocator;
use lycheehub_control::{State, View};
use lycheehub_route::Demands;
use lycheehub_types::{EndpointName, InstanceName, InstanceRecord};
use lycheehub_wire::ProposeReply;
use placing::Placing;
pub(crate) use placing::SessionKey;
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use smol::net::TcpListener;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// How often the replica's time is moved on, in milliseconds.
const REPLICA_TICK_MS: u64 = 50;
/// How often records are exchanged, in milliseconds.
const GOSSIP_MS: u64 = 750;
/// How often the view is replaced at most, in milliseconds.
const PUBLISH_MS: u64 = 100;
/// How often the leader's controllers run, in milliseconds.
const CONTROLLER_MS: u64 = 250;
/// How long an instance serves without hearing any other, in milliseconds.
const ISOLATED_MS: u64 = 8_000;
/// How often membership is looked after, in milliseconds.
const MEMBERSHIP_MS: u64 = 300;

/// The control thread's state and tasks.
pub struct Node {
    settings: Rc<Settings>,
    clock: Clock,
    timers: Arc<dyn Timers>,
    executor: Rc<LocalExecutor<'static>>,
    links: Links,
    views: Views,
    answers: Arc<dyn AnswerSource>,
    orders: Arc<dyn OrderSink>,
    core: RefCell<Core>,
    /// Wakes those that wait for a new revision or a change of the directory.
    revised: RefCell<Vec<Sender<()>>>,
    started_ms: u64,
    /// The leader of which those that watch were told last.
    announced_leader: RefCell<Option<InstanceName>>,
    /// How many watch this instance.
    watchers: Cell<usize>,
    /// The last questions of instances without a replica that watch this one.
    polls: RefCell<census::Polls>,
    /// The replicas whose directories are watched.
    watched: RefCell<BTreeSet<InstanceName>>,
    /// How far those have told what they heard.
    heard_from: HeardFrom,
    /// Places requests while this instance leads.
    placing: RefCell<Option<Placing>>,
}

/// What the control thread calls outside itself.
pub struct Outside {
    /// Where answers to this instance's requests are kept.
    pub answers: Arc<dyn AnswerSource>,
    /// Where orders to endpoints are sent from.
    pub orders: Arc<dyn OrderSink>,
}

/// What the control thread owns.
struct Core {
    registry: Registry,
    directory: Directory,
    own: InstanceRecord,
    cursors: BTreeMap<InstanceName, Cursor>,
    driver: Option<Driver>,
    /// The state of the replica, or learned from one.
    state: State,
    /// A quorum has confirmed the state once since the start.
    confirmed: bool,
    /// Another instance has told its records once since the start, or there is none to tell them.
    heard: bool,
    /// When another instance was last heard, in milliseconds.
    heard_ms: u64,
    /// The settings name other instances.
    has_others: bool,
    leader_hint: Option<InstanceName>,
    demands: Demands,
    grants: BTreeMap<EndpointName, (u32, u64)>,
    slot_book: SlotAllocator,
    controller: MoveController,
    placer: PlacementController,
    /// When this instance began to lead, in milliseconds.
    leading_since_ms: Option<u64>,
    proposals: Vec<(Vec<u8>, Sender<ProposeReply>)>,
    dirty: bool,
    seed: u64,
}

impl Node {
    /// Opens the data folder, if there is one, and makes the control thread's state.
    ///
    /// # Errors
    /// Fails where the data folder cannot be used or holds damaged files.
    pub fn open(
        settings: Settings,
        clock: Clock,
        timers: Arc<dyn Timers>,
        views: Views,
        outside: Outside,
        seed: u64,
    ) -> Result<Rc<Self>, StorageError> {
        let settings = Rc::new(settings);
        let executor = Rc::new(LocalExecutor::new());
        let mut state = State::default();
        let driver = match &settings.data_folder {
            Some(folder) => {
                let disk = Box::new(Disk::open(folder)?);
                let (driver, restored) =
                    Driver::open(disk, settings.consensus, seed, clock.now_ms())?;
                state = restored;
                Some(driver)
            }
            None => None,
        };
        let own = InstanceRecord {
            instance: settings.instance.clone(),
            peer_address: settings.peer_address.clone(),
            http_address: settings.http_address.clone(),
            failure_domain: settings.failure_domain.clone(),
            incarnation: clock.now_unix_ms(),
            sequence: 0,
            replica_id: driver.as_ref().map_or(0, |driver| driver.replica.id().0),
            revision_in_force: 0,
            stopping: false,
            shed_floor: BTreeMap::new(),
        };
        let has_others = settings.seeds.iter().any(|seed| seed.instance != settings.instance);
        let core = Core {
            registry: Registry::default(),
            directory: Directory::default(),
            own,
            cursors: BTreeMap::new(),
            driver,
            state,
            confirmed: false,
            heard: !has_others,
            heard_ms: clock.now_ms(),
            has_others,
            leader_hint: None,
            demands: Demands::default(),
            grants: BTreeMap::new(),
            slot_book: SlotAllocator::default(),
            controller: MoveController::default(),
            placer: PlacementController::default(),
            leading_since_ms: None,
            proposals: Vec::new(),
            dirty: true,
            seed,
        };
        let links = Links::new(settings.clone(), clock, executor.clone());
        Ok(Rc::new(Self {
            settings,
            clock,
            timers,
            executor,
            links,
            views,
            answers: outside.answers,
            orders: outside.orders,
            core: RefCell::new(core),
            revised: RefCell::default(),
            started_ms: clock.now_ms(),
            announced_leader: RefCell::default(),
            watchers: Cell::new(0),
            polls: RefCell::default(),
            watched: RefCell::default(),
            heard_from: HeardFrom::default(),
            placing: RefCell::default(),
        }))
    }

    /// Returns this run's number, which grows with each start of the instance.
    pub fn incarnation(&self) -> u64 {
        self.core.borrow().own.incarnation
    }

    /// Runs until the channel of requests closes.
    pub fn run(self: Rc<Self>, listener: TcpListener, requests: Receiver<ControlRequest>) {
        self.run_with(listener, requests, std::future::ready(()));
    }

    /// Runs until the channel of requests closes, and `beside` on the same thread.
    pub fn run_with(
        self: Rc<Self>,
        listener: TcpListener,
        requests: Receiver<ControlRequest>,
        beside: impl Future<Output = ()> + 'static,
    ) {
        let executor = self.executor.clone();
        executor.spawn(beside).detach();
        executor.spawn(server::accept(self.clone(), listener)).detach();
        self.every(GOSSIP_MS, Self::beat);
        self.every(PUBLISH_MS, |node| node.publish());
        self.every(MEMBERSHIP_MS, Self::look_after_membership);
        if self.settings.runs_controllers {
            self.every(report::REPORT_MS, Self::report);
            self.every(CONTROLLER_MS, Self::run_controllers);
        } else {
            self.every(directory::DIRECTORY_MS, Self::look_after_directory);
            self.every(placing::PLACING_MS, Self::look_after_placing);
            self.every(placing::PLACING_MS, |node| node.look_after_leader());
            self.every(rollouts::ROLLOUTS_MS, Self::look_after_rollouts);
        }
        if self.core.borrow().driver.is_some() {
            self.every(REPLICA_TICK_MS, Self::tick_replica);
            executor.spawn(self.clone().found()).detach();
        } else {
            executor.spawn(self.clone().follow()).detach();
        }
        executor.spawn(self.clone().confirm()).detach();
        self.beat();
        smol::block_on(executor.run(async move {
            while let Ok(request) = requests.recv().await {
                self.take_request(request);
            }
        }));
    }

    /// Runs `step` each `period_ms` milliseconds.
    fn every(self: &Rc<Self>, period_ms: u64, step: impl Fn(&Rc<Self>) + 'static) {
        let ticks = self.timers.subscribe(period_ms);
        let node = self.clone();
        let task = async move {
            while ticks.recv().await.is_ok() {
                step(&node);
            }
        };
        self.executor.spawn(task).detach();
    }

    pub(crate) fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Notes that the state has a new revision.
    fn note_revision(&self) {
        self.core.borrow_mut().dirty = true;
        self.publish();
        self.update_placing();
        self.wake_watchers();
    }

    /// Wakes those that wait for a new revision or a change of the directory.
    fn wake_watchers(&self) {
        for waiting in self.revised.borrow_mut().drain(..) {
            // One that no longer waits needs no word.
            let _ = waiting.try_send(());
        }
    }
}

impl Core {
    fn replica(&self) -> Option<&Replica> {
        self.driver.as_ref().map(|driver| &driver.replica)
    }

    /// Tells whether nothing was heard of any other instance for so long that what was accepted
    /// since may not be in force here.
    fn is_isolated(&self, now_ms: u64) -> bool {
        self.has_others && now_ms >= self.heard_ms + ISOLATED_MS
    }

    /// Tells whether this instance may act as the only leader.
    fn holds_lease(&self, now_ms: u64) -> bool {
        self.replica().is_some_and(|replica| replica.holds_lease(now_ms))
    }

    /// Returns the instance that most likely leads: the one that the replica here follows, else the
    /// one that last answered as the leader.
    fn likely_leader(&self) -> Option<InstanceName> {
        let followed = self.replica().and_then(|replica| {
            replica.leader().and_then(|id| replica.config().voters.get(&id)).cloned()
        });
        followed.or_else(|| self.leader_hint.clone())
    }

    fn is_leader(&self) -> bool {
        self.replica().is_some_and(Replica::is_established)
    }

    fn view(&self, now_ms: u64) -> View {
        publish::view_of(self, now_ms)
    }
}
