//! The control thread: the registry, the replica or a state copied from one, and the controllers.

mod bootstrap;
mod calls;
mod cluster_status;
mod departures;
mod directory;
mod dispatch;
mod driver;
mod follow;
mod gossip;
mod membership;
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
use crate::watch::ReplicaPositions;
pub use departures::DepartureStore;
pub(crate) use directory::WatchPosition;
use dispatch::LeaderDispatch;
pub(crate) use dispatch::{Entered, SessionKey};
pub use dispatch::{log_quarantine_event, suspect_texts};
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
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use smol::net::TcpListener;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// Interval between ticks of the replica, in milliseconds.
const REPLICA_TICK_MS: u64 = 50;
/// Interval between heartbeats, which also exchange records with peers, in milliseconds.
const HEARTBEAT_MS: u64 = 750;
/// Interval between periodic publications of a changed view, in milliseconds.
const PUBLISH_MS: u64 = 100;
/// Interval between runs of the leader's controllers, in milliseconds.
const CONTROLLER_TICK_MS: u64 = 250;
/// Time without contact to any peer after which an instance stops serving, in milliseconds.
const ISOLATION_TIMEOUT_MS: u64 = 8_000;
/// Interval between updates of the voter set, in milliseconds.
const MEMBERSHIP_TICK_MS: u64 = 100;

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
    /// Senders that wake the tasks waiting for a new revision or a directory change.
    change_waiters: RefCell<Vec<Sender<()>>>,
    started_ms: u64,
    /// The leader that was last announced to watchers.
    announced_leader: RefCell<Option<InstanceName>>,
    /// The number of watch requests that are waiting for a reply.
    watchers: Cell<usize>,
    /// The latest watch request of each watching instance that has no replica.
    polls: RefCell<cluster_status::Polls>,
    /// The replicas whose directories are watched.
    watched_replicas: RefCell<BTreeSet<InstanceName>>,
    /// What must outlive this instance of endpoints that leave.
    departures: RefCell<DepartureStore>,
    /// The position reached in the local changes of each watched replica.
    replica_positions: ReplicaPositions,
    /// Up to where other replicas have the local changes.
    copies: RefCell<directory::Copies>,
    /// Dispatches requests while this instance leads.
    dispatch: RefCell<Option<LeaderDispatch>>,
}

/// External services that the control thread calls.
pub struct Dependencies {
    /// Looks up the stored answers to this instance's requests.
    pub answers: Arc<dyn AnswerSource>,
    /// Sends load orders to endpoints.
    pub orders: Arc<dyn OrderSink>,
}

/// The mutable state that the control thread owns.
struct Core {
    registry: Registry,
    directory: Directory,
    /// The record that this instance publishes about itself.
    own_record: InstanceRecord,
    /// The position up to which each peer has been sent registry changes.
    cursors: BTreeMap<InstanceName, Cursor>,
    driver: Option<Driver>,
    /// The state applied by the local replica, or copied from another instance's replica.
    state: State,
    /// Whether a quorum has confirmed the state at least once since the start.
    state_confirmed: bool,
    /// Whether a peer has sent its records since the start, or the wait for them is over. Also true
    /// if the settings name no peer.
    records_received: bool,
    /// When a record exchange with a peer last succeeded, or the start time, in milliseconds.
    last_contact_ms: u64,
    /// Whether the settings name other instances.
    has_peers: bool,
    leader_hint: Option<InstanceName>,
    demands: Demands,
    /// The granted slots of each endpoint, and when the grant expires in milliseconds.
    grants: BTreeMap<EndpointName, (u32, u64)>,
    slot_allocator: SlotAllocator,
    move_controller: MoveController,
    placement_controller: PlacementController,
    /// When this instance became the leader, in milliseconds.
    leading_since_ms: Option<u64>,
    /// Encoded commands that wait to be proposed, with their reply senders.
    proposals: Vec<(Vec<u8>, Sender<ProposeReply>)>,
    /// Whether the published view is out of date.
    dirty: bool,
    seed: u64,
}

impl Node {
    /// Opens the data folder, if one is configured, and creates the control thread's state.
    ///
    /// # Errors
    /// Fails if the data folder cannot be used or contains corrupt files.
    pub fn open(
        settings: Settings,
        clock: Clock,
        timers: Arc<dyn Timers>,
        views: Views,
        dependencies: Dependencies,
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
        let mut directory = Directory::default();
        let mut departures = DepartureStore::open(settings.data_folder.as_deref())?;
        for departure in departures.load(clock.now_unix_ms())? {
            directory.restore(clock.now_ms(), departure);
        }
        let own_record = InstanceRecord {
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
        let has_peers = settings.seeds.iter().any(|seed| seed.instance != settings.instance);
        let core = Core {
            registry: Registry::default(),
            directory,
            own_record,
            cursors: BTreeMap::new(),
            driver,
            state,
            state_confirmed: false,
            records_received: !has_peers,
            last_contact_ms: clock.now_ms(),
            has_peers,
            leader_hint: None,
            demands: Demands::default(),
            grants: BTreeMap::new(),
            slot_allocator: SlotAllocator::default(),
            move_controller: MoveController::default(),
            placement_controller: PlacementController::default(),
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
            answers: dependencies.answers,
            orders: dependencies.orders,
            core: RefCell::new(core),
            change_waiters: RefCell::default(),
            started_ms: clock.now_ms(),
            announced_leader: RefCell::default(),
            watchers: Cell::new(0),
            polls: RefCell::default(),
            watched_replicas: RefCell::default(),
            replica_positions: ReplicaPositions::default(),
            copies: RefCell::default(),
            departures: RefCell::new(departures),
            dispatch: RefCell::default(),
        }))
    }

    /// Returns the incarnation of this run, which increases with each start of the instance.
    pub fn incarnation(&self) -> u64 {
        self.core.borrow().own_record.incarnation
    }

    /// Runs until the request channel closes.
    pub fn run(self: Rc<Self>, listener: TcpListener, requests: Receiver<ControlRequest>) {
        self.run_with(listener, requests, std::future::ready(()));
    }

    /// Runs until the request channel closes, and runs `background` on the same thread.
    pub fn run_with(
        self: Rc<Self>,
        listener: TcpListener,
        requests: Receiver<ControlRequest>,
        background: impl Future<Output = ()> + 'static,
    ) {
        let executor = self.executor.clone();
        executor.spawn(background).detach();
        executor.spawn(server::accept(self.clone(), listener)).detach();
        self.run_every(HEARTBEAT_MS, Self::send_heartbeat);
        self.run_every(PUBLISH_MS, |node| node.publish());
        self.run_every(MEMBERSHIP_TICK_MS, Self::tick_membership);
        if self.settings.runs_controllers {
            self.run_every(report::REPORT_MS, Self::report);
            self.run_every(CONTROLLER_TICK_MS, Self::run_controllers);
        } else {
            self.run_every(directory::DIRECTORY_TICK_MS, Self::tick_directory);
            self.run_every(dispatch::DISPATCH_TICK_MS, Self::tick_dispatch);
            self.run_every(dispatch::DISPATCH_TICK_MS, |node| node.announce_leader_change());
            self.run_every(rollouts::ROLLOUT_TICK_MS, Self::tick_rollouts);
        }
        if self.core.borrow().driver.is_some() {
            self.run_every(REPLICA_TICK_MS, Self::tick_replica);
            executor.spawn(self.clone().bootstrap()).detach();
        } else {
            executor.spawn(self.clone().follow()).detach();
        }
        executor.spawn(self.clone().confirm_state()).detach();
        self.send_heartbeat();
        smol::block_on(executor.run(async move {
            while let Ok(request) = requests.recv().await {
                self.handle_request(request);
            }
        }));
    }

    /// Spawns a task that runs `step` every `period_ms` milliseconds.
    fn run_every(self: &Rc<Self>, period_ms: u64, step: impl Fn(&Rc<Self>) + 'static) {
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

    /// Publishes the view and wakes waiting tasks after the state reached a new revision.
    fn notify_revision_changed(&self) {
        self.core.borrow_mut().dirty = true;
        self.publish();
        self.update_dispatcher();
        self.wake_waiters();
    }

    /// Wakes the tasks that wait for a new revision or a directory change.
    fn wake_waiters(&self) {
        for waiter in self.change_waiters.borrow_mut().drain(..) {
            // The send fails only if the task no longer waits.
            let _ = waiter.try_send(());
        }
    }
}

impl Core {
    fn replica(&self) -> Option<&Replica> {
        self.driver.as_ref().map(|driver| &driver.replica)
    }

    /// Returns whether this instance has had no contact to any peer for so long that it may have
    /// missed changes accepted since.
    fn is_isolated(&self, now_ms: u64) -> bool {
        self.has_peers && now_ms >= self.last_contact_ms + ISOLATION_TIMEOUT_MS
    }

    /// Returns whether the local replica has met a committed command that this build does not know,
    /// so that its state stays behind.
    fn lacks_commands(&self) -> bool {
        self.replica().is_some_and(|replica| replica.unknown_command().is_some())
    }

    /// Returns whether this instance holds the leader lease, so that no other instance can act as
    /// the leader.
    fn holds_lease(&self, now_ms: u64) -> bool {
        self.replica().is_some_and(|replica| replica.holds_lease(now_ms))
    }

    /// Returns the instance that most likely leads: the leader that the local replica follows, else
    /// the instance that last replied as the leader.
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
