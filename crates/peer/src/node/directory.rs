//! The directory of endpoints: announcements heard here, and what other replicas pass on.

use super::{Core, Node};
use crate::count_guard::CountGuard;
use crate::watch::{self, HeardFrom, News, REVISION_BY_LOG, Watcher};
use lycheehub_control::directory::batching::{self, Backlog};
use lycheehub_control::directory::{Changes, Heard, LEASE_MS, Listing};
use lycheehub_types::{EndpointName, EndpointRecord, InstanceName};
use smol::Timer;
use smol::channel::bounded;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How often leases are looked at, in milliseconds.
pub(super) const DIRECTORY_MS: u64 = 250;
/// How long a replica that hears no leader answers those that watch it, in milliseconds: it may not
/// know what was accepted since.
const LEADER_SILENT_MS: u64 = 1_500;

/// What one that watches has been told already.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// How far it was told what this instance has heard.
    pub(crate) here: Heard,
    /// The number of the last change of which it was told what others told this instance.
    pub(crate) relayed: u64,
    /// How far replicas have told it what they heard.
    pub(crate) heard: BTreeMap<InstanceName, Heard>,
    pub(crate) revision: u64,
    pub(crate) leader: Option<InstanceName>,
}

/// What a replica answers to those that watch it.
pub(crate) struct Watched {
    /// How far this tells what the replica has heard.
    pub(crate) here: Heard,
    pub(crate) listings: Vec<Listing>,
    /// The number of the last change of which this tells what others told the replica.
    pub(crate) relayed: u64,
    pub(crate) relays: Vec<Listing>,
    pub(crate) revision: u64,
    pub(crate) leader: Option<InstanceName>,
    pub(crate) replicas: Vec<(InstanceName, SmolStr)>,
}

impl Node {
    /// Takes an announcement that was made here.
    pub(super) fn hear(self: &Rc<Self>, record: EndpointRecord) {
        let now_ms = self.clock.now_ms();
        let (endpoint, leaving) = (record.endpoint.clone(), record.leaving);
        let change = {
            let mut core = self.core.borrow_mut();
            core.directory.announce(now_ms, record).then(|| core.directory.change())
        };
        if let Some(change) = change {
            spdlog::info!("endpoint announced", kv: { endpoint: = endpoint, leaving, change });
            self.note_directory();
        }
    }

    /// Takes the word of an endpoint that it leaves for good; tells whether that takes effect.
    ///
    /// A replica that has just started may not have heard of an endpoint that entry instances still
    /// send to: it could not tell them that the endpoint leaves.
    pub(super) fn withdraw(self: &Rc<Self>, endpoint: &EndpointName) -> bool {
        let now_ms = self.clock.now_ms();
        let (is_known, changed) = {
            let directory = &mut self.core.borrow_mut().directory;
            (directory.contains(endpoint), directory.withdraw(now_ms, endpoint))
        };
        if changed {
            spdlog::info!("endpoint withdrawn", kv: { endpoint: = endpoint });
            self.note_directory();
        }
        let has_heard_all = now_ms >= self.started_ms + LEASE_MS;
        if !is_known && !has_heard_all {
            spdlog::info!("farewell not taken: endpoint not known yet", kv: { endpoint: = endpoint });
        }
        is_known || has_heard_all
    }

    fn note_directory(&self) {
        self.update_placing();
        self.wake_watchers();
    }

    /// Ends leases, and watches replicas that are not watched yet.
    pub(super) fn look_after_directory(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let over = self.core.borrow_mut().directory.expire(now_ms);
        for endpoint in &over {
            spdlog::warn!("endpoint lost: its lease has ended", kv: { endpoint: = endpoint });
        }
        if !over.is_empty() {
            self.note_directory();
        }
        for replica in self.replica_instances() {
            if self.watched.borrow_mut().insert(replica.clone()) {
                let node = self.clone();
                let task = async move {
                    watch::watch(node.clone(), &node.links, node.clock, replica).await;
                };
                self.executor.spawn(task).detach();
            }
        }
    }

    /// Tells those that watch where the replica here follows another leader than it did.
    pub(super) fn look_after_leader(&self) {
        let leader = self.recent_leader(&self.core.borrow());
        if leader.is_some() && *self.announced_leader.borrow() != leader {
            *self.announced_leader.borrow_mut() = leader;
            self.wake_watchers();
        }
    }

    /// Returns the leader that the replica here has heard of late.
    fn recent_leader(&self, core: &Core) -> Option<InstanceName> {
        let is_recent = core.hears_leader(self.clock.now_ms(), LEADER_SILENT_MS);
        if is_recent { core.known_leader(&self.settings.instance) } else { None }
    }

    /// Waits until there is news for one that watches, at most `wait_ms`.
    ///
    /// What others told this instance is no news to wait for: they most likely tell it themselves.
    /// What they have not told by the next question is passed on with its answer.
    pub(crate) async fn watched(&self, told: &Told, wait_ms: u64) -> Watched {
        let _watching = CountGuard::new(&self.watchers);
        let relays = self.relays(told);
        if relays.listings.is_empty() {
            self.gather_news(told, wait_ms).await;
        }
        let core = self.core.borrow();
        let epoch = core.own.incarnation;
        let known = if epoch == told.here.epoch { told.here.change } else { 0 };
        let own = core.directory.local_changes_after(known, batching::MAX_CHANGES_PER_REPLY);
        Watched {
            here: Heard { epoch, change: own.up_to },
            listings: own.listings,
            relayed: relays.up_to,
            relays: relays.listings,
            revision: core.recent_revision(self.clock.now_ms()),
            leader: self.recent_leader(&core),
            replicas: self.neighbours(&core),
        }
    }

    /// Waits until there is news, and until more has come together.
    async fn gather_news(&self, told: &Told, wait_ms: u64) {
        if self.behind(told) == Backlog::Empty {
            self.wait_for_news(wait_ms).await;
        }
        let gather_ms = batching::batch_delay_ms(self.behind(told), self.watchers.get());
        if gather_ms > 0 {
            Timer::after(Duration::from_millis(gather_ms)).await;
        }
    }

    /// Returns what others told this instance and one that watches has not heard from them.
    fn relays(&self, told: &Told) -> Changes {
        let core = self.core.borrow();
        if core.own.incarnation != told.here.epoch {
            // It has just begun to ask, others as well.
            return Changes::default();
        }
        let kept_ms = batching::relay_delay_ms(self.watchers.get());
        let before_ms = self.clock.now_ms().saturating_sub(kept_ms);
        core.directory.relayed_changes_after(
            told.relayed,
            batching::MAX_CHANGES_PER_REPLY,
            before_ms,
            &told.heard,
        )
    }

    /// Tells what one that watches does not know yet.
    fn behind(&self, told: &Told) -> Backlog {
        let core = self.core.borrow();
        let now_ms = self.clock.now_ms();
        let leader = self.recent_leader(&core);
        let is_other_leader = leader.is_some() && leader != told.leader;
        let is_first = core.own.incarnation != told.here.epoch;
        if is_first || is_other_leader || core.recent_revision(now_ms) > told.revision {
            return Backlog::Immediate;
        }
        match core
            .directory
            .pending_local_changes(told.here.change, batching::MAX_CHANGES_PER_REPLY)
        {
            Some((count, since_ms)) => {
                Backlog::Changes { count, oldest_ms: now_ms.saturating_sub(since_ms) }
            }
            None => Backlog::Empty,
        }
    }

    /// Waits until a revision or the directory changes, at most `wait_ms`.
    pub(super) async fn wait_for_news(&self, wait_ms: u64) {
        let (sender, receiver) = bounded(1);
        self.revised.borrow_mut().push(sender);
        let timeout = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        let news = async {
            // A closed channel is as good as the end of the wait.
            let _ = receiver.recv().await;
        };
        smol::future::or(news, timeout).await;
        drop(receiver);
        self.revised.borrow_mut().retain(|sender| !sender.is_closed());
    }

    fn neighbours(&self, core: &Core) -> Vec<(InstanceName, SmolStr)> {
        let live = core.registry.live_instances(self.clock.now_ms());
        let replicas = live.filter(|known| known.record.replica_id != 0);
        let entry = |record: &lycheehub_types::InstanceRecord| {
            (record.instance.clone(), record.peer_address.clone())
        };
        replicas.map(|known| entry(&known.record)).collect()
    }
}

impl Core {
    fn hears_leader(&self, now_ms: u64, within_ms: u64) -> bool {
        self.replica().is_some_and(|replica| replica.has_leader_contact(now_ms, within_ms))
    }

    /// Returns the revision here, or 0 without a leader: others may have accepted more since.
    fn recent_revision(&self, now_ms: u64) -> u64 {
        if self.hears_leader(now_ms, LEADER_SILENT_MS) { self.state.revision } else { 0 }
    }

    /// Returns the leader that the replica here follows.
    fn known_leader(&self, own: &InstanceName) -> Option<InstanceName> {
        if self.is_leader() {
            return Some(own.clone());
        }
        let replica = self.replica()?;
        let leader = replica.leader().filter(|id| *id != replica.id())?;
        replica.config().voters.get(&leader).cloned()
    }
}

impl Watcher for Node {
    fn heard_from(&self) -> &HeardFrom {
        &self.heard_from
    }

    fn revision(&self) -> u64 {
        REVISION_BY_LOG
    }

    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr> {
        self.core.borrow().address_of(self, peer)
    }

    fn take(&self, from: &InstanceName, news: News) {
        let now_ms = self.clock.now_ms();
        let changed = {
            let mut core = self.core.borrow_mut();
            if news.restarted {
                core.directory.mark_restarted(now_ms, from);
            }
            let directory = &mut core.directory;
            directory.apply_direct(now_ms, from, news.heard, news.listings)
                | directory.apply_relayed(now_ms, from, news.relays)
        };
        if changed {
            // Those that watch this replica are told by the one that heard it, or as they ask again.
            self.update_placing();
        }
    }

    fn silent(&self, peer: &InstanceName) {
        let now_ms = self.clock.now_ms();
        self.core.borrow_mut().directory.mark_unreachable(now_ms, peer);
    }
}
