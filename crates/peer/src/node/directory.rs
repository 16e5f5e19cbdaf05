//! The directory of endpoints: local announcements and changes relayed by other replicas.

use super::{Core, Node};
use crate::watch::{self, REVISION_FROM_LOG, ReplicaPositions, WatchUpdate, Watcher};
use lycheehub_clock::within;
use lycheehub_control::directory::batching::{self, Backlog};
use lycheehub_control::directory::{Announced, ChangePosition, Changes, LEASE_MS, Listing};
use lycheehub_types::{CountGuard, EndpointName, EndpointRecord, InstanceName};
use smol::Timer;
use smol::channel::{Sender, bounded};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for expired leases, in milliseconds.
pub(super) const DIRECTORY_TICK_MS: u64 = 250;
/// Time without leader contact after which a replica reports neither a leader nor its revision to
/// watchers, in milliseconds: it may have missed changes accepted since.
const LEADER_CONTACT_MS: u64 = 1_500;

/// The longest time for which changes for other replicas are batched, in milliseconds: endpoints that
/// leave wait until replicas hold that.
const REPLICA_BATCH_DELAY_MAX_MS: u64 = 20;
/// How long an endpoint that leaves waits for other replicas to hold that, in milliseconds. An endpoint
/// asks elsewhere after a second.
const COPIES_TIMEOUT_MS: u64 = 700;
/// The time to store departures from which on a line says so, in milliseconds.
const SLOW_STORE_MS: u64 = 200;

/// Up to where other replicas have this instance's local changes, as their watch requests state.
#[derive(Debug, Default)]
pub(super) struct Copies {
    reached: BTreeMap<InstanceName, u64>,
    /// Senders that wake the tasks waiting for a replica to reach a change.
    waiters: Vec<Sender<()>>,
}

impl Copies {
    fn record(&mut self, replica: InstanceName, change: u64) {
        self.reached.insert(replica, change);
        for waiter in self.waiters.drain(..) {
            // The send fails only if the task no longer waits.
            let _ = waiter.try_send(());
        }
    }

    /// Returns the number of other replicas that have reached a change.
    fn holders(&self, change: u64) -> usize {
        self.reached.values().filter(|reached| **reached >= change).count()
    }
}

/// What a watcher already knows.
#[derive(Clone, Debug)]
pub(crate) struct WatchPosition {
    /// Its position in this instance's local changes.
    pub(crate) local: ChangePosition,
    /// The number of the last relayed change that this instance has sent to it.
    pub(crate) relayed: u64,
    /// Its position in each replica's local changes.
    pub(crate) replica_positions: BTreeMap<InstanceName, ChangePosition>,
    /// The state revision that it has.
    pub(crate) revision: u64,
    /// The leader that it was last told of.
    pub(crate) leader: Option<InstanceName>,
}

/// The reply of a replica to a watcher.
pub(crate) struct WatchReply {
    /// The position in the replica's local changes that this reply reaches.
    pub(crate) local: ChangePosition,
    pub(crate) listings: Vec<Listing>,
    /// The number of the last relayed change that this reply covers.
    pub(crate) relayed: u64,
    pub(crate) relays: Vec<Listing>,
    pub(crate) revision: u64,
    pub(crate) leader: Option<InstanceName>,
    pub(crate) replicas: Vec<(InstanceName, SmolStr)>,
}

impl Node {
    /// Applies an announcement that an endpoint sent to this instance; returns whether it may be
    /// acknowledged. One that says that the endpoint leaves may be only once enough replicas hold it.
    pub(super) async fn announce_endpoint(self: Rc<Self>, record: EndpointRecord) -> bool {
        let (endpoint, leaving) = (record.endpoint.clone(), record.leaving);
        let announced = self.apply_endpoint(record);
        if !leaving {
            return true;
        }
        match announced {
            Announced::Listed | Announced::Renewed | Announced::Left => {
                self.is_held(&endpoint).await
            }
            // Another incarnation is listed, and may still get requests.
            Announced::Outdated => {
                spdlog::warn!("endpoint's leaving not acknowledged: it looks outdated", kv: {
                    endpoint: = endpoint,
                });
                false
            }
        }
    }

    fn apply_endpoint(&self, record: EndpointRecord) -> Announced {
        let now_ms = self.clock.now_ms();
        let (endpoint, leaving) = (record.endpoint.clone(), record.leaving);
        let (incarnation, sequence) = record.freshness();
        let (announced, change) = {
            let directory = &mut self.core.borrow_mut().directory;
            (directory.announce(now_ms, record), directory.change())
        };
        if announced == Announced::Listed {
            spdlog::info!("endpoint announced", kv: {
                endpoint: = endpoint, leaving, change, incarnation, sequence,
            });
            self.notify_directory_changed();
        }
        announced
    }

    /// Withdraws an endpoint that leaves permanently, known or not; returns whether that may be acknowledged:
    /// whether enough replicas hold it.
    ///
    /// Within one lease after the start of a replica, entry instances may still send requests to an endpoint that
    /// it does not know, and may not have heard of it again themselves. It takes the farewell, but does not
    /// acknowledge it.
    pub(super) async fn withdraw(self: Rc<Self>, endpoint: EndpointName) -> bool {
        let now_ms = self.clock.now_ms();
        let now_unix_ms = self.clock.now_unix_ms();
        let (is_known, change) = {
            let directory = &mut self.core.borrow_mut().directory;
            let is_known = directory.contains(&endpoint);
            directory.withdraw(now_ms, &endpoint, now_unix_ms);
            (is_known, directory.change())
        };
        spdlog::info!("endpoint withdrawn", kv: { endpoint: = endpoint, is_known, change });
        self.notify_directory_changed();
        let has_full_directory = now_ms >= self.started_ms + LEASE_MS;
        if !is_known && !has_full_directory {
            spdlog::info!("farewell not acknowledged: endpoint not known yet", kv: {
                endpoint: = endpoint,
            });
            return false;
        }
        self.is_held(&endpoint).await
    }

    /// Stores what endpoints that leave have said since the last call; returns whether all of it is stored.
    fn save_departures(&self) -> bool {
        let (began_ms, now_unix_ms) = (self.clock.now_ms(), self.clock.now_unix_ms());
        let directory = &mut self.core.borrow_mut().directory;
        let unsaved = directory.unsaved_departures(now_unix_ms);
        if unsaved.is_empty() {
            return true;
        }
        let saved = self.departures.borrow_mut().save(&unsaved, now_unix_ms);
        let took_ms = self.clock.now_ms().saturating_sub(began_ms);
        if took_ms >= SLOW_STORE_MS {
            spdlog::warn!("departures of endpoints stored slowly", kv: { took_ms });
        }
        match saved {
            Ok(()) => directory.mark_saved(),
            Err(error) => {
                let count = unsaved.len() as u64;
                spdlog::warn!("departures of endpoints not stored", kv: { count, error: });
                return false;
            }
        }
        true
    }

    /// Waits until as many replicas hold that an endpoint leaves as must survive the losses that the settings
    /// name; returns false if that takes too long, or if another start of it holds meanwhile. Each replica
    /// stores first that the endpoint leaves.
    async fn is_held(&self, endpoint: &EndpointName) -> bool {
        if !self.save_departures() {
            return false;
        }
        let copies_min = self.settings.copies_min;
        let give_up_ms = self.clock.now_ms() + COPIES_TIMEOUT_MS;
        loop {
            if self.core.borrow().directory.is_in_service(endpoint) {
                spdlog::warn!("endpoint's leaving not acknowledged: another start is listed", kv: {
                    endpoint: = endpoint,
                });
                return false;
            }
            let Some(change) = self.propagate_listing(endpoint) else { return true };
            // This replica holds one copy.
            let copies = 1 + self.copies.borrow().holders(change);
            if copies >= copies_min {
                return true;
            }
            let left_ms = give_up_ms.saturating_sub(self.clock.now_ms());
            if left_ms == 0 {
                let copies = copies as u64;
                spdlog::warn!("endpoint's leaving not acknowledged: too few replicas hold it", kv: {
                    endpoint: = endpoint, change, copies,
                });
                return false;
            }
            let (sender, receiver) = bounded(1);
            self.copies.borrow_mut().waiters.push(sender);
            // Without a report of a replica the time ends the wait.
            let _ = within(left_ms, receiver.recv()).await;
        }
    }

    /// Returns the number of the local change that lists an endpoint, which watchers are sent; `None` if the
    /// endpoint is unknown.
    fn propagate_listing(&self, endpoint: &EndpointName) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let (change, is_new) = {
            let directory = &mut self.core.borrow_mut().directory;
            let before = directory.change();
            (directory.propagate(now_ms, endpoint), directory.change() != before)
        };
        if is_new {
            self.wake_waiters();
        }
        change
    }

    /// Records the position that another replica has reached in this instance's local changes. One that has
    /// restarted has none.
    pub(crate) fn record_copies(&self, replica: InstanceName, position: ChangePosition) {
        let is_this_run = position.epoch == self.incarnation();
        let change = if is_this_run { position.change } else { 0 };
        self.copies.borrow_mut().record(replica, change);
    }

    fn notify_directory_changed(&self) {
        self.update_dispatcher();
        self.wake_waiters();
    }

    /// Expires leases and starts watching newly discovered replicas.
    pub(super) fn tick_directory(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let expired = self.core.borrow_mut().directory.expire(now_ms);
        for endpoint in &expired {
            spdlog::warn!("endpoint lost: its lease has ended", kv: { endpoint: = endpoint });
        }
        if !expired.is_empty() {
            self.notify_directory_changed();
        }
        for replica in self.replica_instances() {
            if self.watched_replicas.borrow_mut().insert(replica.clone()) {
                let node = self.clone();
                let task = async move {
                    watch::watch(node.clone(), &node.links, node.clock, replica).await;
                };
                self.executor.spawn(task).detach();
            }
        }
    }

    /// Wakes watchers if the local replica follows a different leader than last announced.
    pub(super) fn announce_leader_change(&self) {
        let leader = self.recent_leader(&self.core.borrow());
        if leader.is_some() && *self.announced_leader.borrow() != leader {
            *self.announced_leader.borrow_mut() = leader;
            self.wake_waiters();
        }
    }

    /// Returns the leader that the local replica follows, if it had recent contact.
    pub(super) fn recent_leader(&self, core: &Core) -> Option<InstanceName> {
        let is_recent = core.has_leader_contact(self.clock.now_ms(), LEADER_CONTACT_MS);
        if is_recent { core.followed_leader(&self.settings.instance) } else { None }
    }

    /// Waits up to `wait_ms` for changes that a watcher does not know, and returns them.
    ///
    /// Changes of other replicas do not end the wait, because those replicas most likely send them
    /// to the watcher directly. Changes that the watcher still lacks at its next request are
    /// relayed at once.
    pub(crate) async fn wait_for_changes(
        &self,
        position: &WatchPosition,
        wait_ms: u64,
    ) -> WatchReply {
        let _watching = CountGuard::new(&self.watchers);
        let relays = self.relayed_changes(position);
        if relays.listings.is_empty() {
            self.batch_changes(position, wait_ms).await;
        }
        let core = self.core.borrow();
        let epoch = core.own_record.incarnation;
        let known_change = if epoch == position.local.epoch { position.local.change } else { 0 };
        let local_changes =
            core.directory.local_changes_after(known_change, batching::MAX_CHANGES_PER_REPLY);
        WatchReply {
            local: ChangePosition { epoch, change: local_changes.up_to },
            listings: local_changes.listings,
            relayed: relays.up_to,
            relays: relays.listings,
            revision: core.recent_revision(self.clock.now_ms()),
            leader: self.recent_leader(&core),
            replicas: self.live_replicas(&core),
        }
    }

    /// Waits for a change, then for the batching delay so that one reply covers more changes.
    async fn batch_changes(&self, position: &WatchPosition, wait_ms: u64) {
        if self.backlog(position) == Backlog::Empty {
            self.wait_for_change(wait_ms).await;
        }
        let mut delay_ms = batching::batch_delay_ms(self.backlog(position), self.watchers.get());
        if position.revision == REVISION_FROM_LOG {
            delay_ms = delay_ms.min(REPLICA_BATCH_DELAY_MAX_MS);
        }
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Returns changes of other replicas that the watcher has not received from them.
    fn relayed_changes(&self, position: &WatchPosition) -> Changes {
        let core = self.core.borrow();
        if core.own_record.incarnation != position.local.epoch {
            // The watcher has just started to watch this run of the instance, and it watches the
            // other replicas as well.
            return Changes::default();
        }
        let relay_delay_ms = batching::relay_delay_ms(self.watchers.get());
        let before_ms = self.clock.now_ms().saturating_sub(relay_delay_ms);
        core.directory.relayed_changes_after(
            position.relayed,
            batching::MAX_CHANGES_PER_REPLY,
            before_ms,
            &position.replica_positions,
        )
    }

    /// Returns the backlog of changes that the watcher does not know yet.
    fn backlog(&self, position: &WatchPosition) -> Backlog {
        let core = self.core.borrow();
        let now_ms = self.clock.now_ms();
        let leader = self.recent_leader(&core);
        let is_other_leader = leader.is_some() && leader != position.leader;
        let is_first = core.own_record.incarnation != position.local.epoch;
        if is_first || is_other_leader || core.recent_revision(now_ms) > position.revision {
            return Backlog::Immediate;
        }
        match core
            .directory
            .pending_local_changes(position.local.change, batching::MAX_CHANGES_PER_REPLY)
        {
            Some((count, since_ms)) => {
                Backlog::Changes { count, oldest_ms: now_ms.saturating_sub(since_ms) }
            }
            None => Backlog::Empty,
        }
    }

    /// Waits up to `wait_ms` for a new revision or a directory change.
    pub(super) async fn wait_for_change(&self, wait_ms: u64) {
        let (sender, receiver) = bounded(1);
        self.change_waiters.borrow_mut().push(sender);
        let timeout = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        let notification = async {
            // A closed channel ends the wait as well.
            let _ = receiver.recv().await;
        };
        smol::future::or(notification, timeout).await;
        drop(receiver);
        self.change_waiters.borrow_mut().retain(|sender| !sender.is_closed());
    }

    /// Returns the live replicas with their peer addresses.
    fn live_replicas(&self, core: &Core) -> Vec<(InstanceName, SmolStr)> {
        let live = core.registry.live_instances(self.clock.now_ms());
        let replicas = live.filter(|known| known.record.replica_id != 0);
        let entry = |record: &lycheehub_types::InstanceRecord| {
            (record.instance.clone(), record.peer_address.clone())
        };
        replicas.map(|known| entry(&known.record)).collect()
    }
}

impl Core {
    fn has_leader_contact(&self, now_ms: u64, within_ms: u64) -> bool {
        self.replica().is_some_and(|replica| replica.has_leader_contact(now_ms, within_ms))
    }

    /// Returns the local revision, or 0 without recent leader contact, because the other replicas
    /// may have accepted changes since.
    fn recent_revision(&self, now_ms: u64) -> u64 {
        if self.has_leader_contact(now_ms, LEADER_CONTACT_MS) { self.state.revision } else { 0 }
    }

    /// Returns this instance if it leads, else the leader that its replica follows.
    fn followed_leader(&self, own: &InstanceName) -> Option<InstanceName> {
        if self.is_leader() {
            return Some(own.clone());
        }
        let replica = self.replica()?;
        let leader = replica.leader().filter(|id| *id != replica.id())?;
        replica.config().voters.get(&leader).cloned()
    }
}

impl Watcher for Node {
    fn replica_positions(&self) -> &ReplicaPositions {
        &self.replica_positions
    }

    fn revision(&self) -> u64 {
        REVISION_FROM_LOG
    }

    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr> {
        self.core.borrow().address_of(self, peer)
    }

    fn apply_update(&self, from: &InstanceName, update: WatchUpdate) -> bool {
        let now_ms = self.clock.now_ms();
        let changed = {
            let mut core = self.core.borrow_mut();
            if update.restarted {
                core.directory.mark_restarted(now_ms, from);
            }
            let directory = &mut core.directory;
            directory.apply_direct(now_ms, from, update.position, update.listings)
                | directory.apply_relayed(now_ms, from, update.relays)
        };
        if changed {
            // No watcher is woken: watchers get the change from the replica that accepted it, or as
            // a relayed change with their next request.
            self.update_dispatcher();
        }
        self.save_departures()
    }

    fn mark_unreachable(&self, peer: &InstanceName) {
        let now_ms = self.clock.now_ms();
        self.core.borrow_mut().directory.mark_unreachable(now_ms, peer);
    }
}
