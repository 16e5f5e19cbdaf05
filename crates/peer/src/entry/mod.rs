//! The control thread of an entry instance, which accepts requests and holds no control replica.
//!
//! It watches every reachable replica, so that it learns of endpoints and of the route document from
//! any replica that is left when others fail.

mod pause;
mod placement;
mod view;

pub use pause::PauseGuard;
pub use placement::LeaderPlacement;
pub use view::EntryView;

use crate::feeds;
use crate::link::Links;
use crate::settings::Settings;
use crate::views::Latest;
use crate::watch::{self, ReplicaPositions, WatchUpdate, Watcher};
use lycheehub_clock::{Clock, Timers};
use lycheehub_control::State;
use lycheehub_control::directory::Directory;
use lycheehub_control::state::Feed;
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::peer;
use smol::channel::Receiver;
use smol::{LocalExecutor, Timer};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How often orphaned endpoints are expired, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 500;
/// The timeout for a request to a replica for state changes, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_500;
/// How long a replica may wait until it has applied a revision that another replica has, in
/// milliseconds: several heartbeats of the leader.
const SOURCE_WAIT_MS: u32 = 500;
/// The additional time for its reply, in milliseconds: several round trips between failure domains.
const SOURCE_REPLY_MS: u64 = 100;
/// The delay between attempts to have the leader confirm the state, in milliseconds.
const CONFIRM_RETRY_MS: u64 = 50;

/// The control thread's state.
pub struct EntryNode {
    clock: Clock,
    timers: Arc<dyn Timers>,
    executor: Rc<LocalExecutor<'static>>,
    links: Links,
    views: Arc<Latest<EntryView>>,
    known: RefCell<Known>,
    replica_positions: ReplicaPositions,
}

/// What the control thread has learned from replicas.
#[derive(Default)]
struct Known {
    state: State,
    directory: Directory,
    addresses: BTreeMap<InstanceName, SmolStr>,
    /// The replicas whose addresses come from the settings.
    seeds: BTreeSet<InstanceName>,
    watched: BTreeSet<InstanceName>,
    /// The replicas that are reachable.
    reachable: BTreeSet<InstanceName>,
    leader: Option<InstanceName>,
    /// Whether a quorum has confirmed the state since this process started.
    confirmed: bool,
    /// The revision that is being fetched, if any.
    fetching: Option<u64>,
}

impl Known {
    /// Returns the newest revision that is applied or being fetched.
    fn newest_revision(&self) -> u64 {
        self.state.revision.max(self.fetching.unwrap_or(0))
    }

    /// Returns the reachable replica from which the instance `own` fetches changes. Rendezvous hashing
    /// spreads the instances about evenly over the replicas.
    fn preferred_source(&self, own: &str) -> Option<InstanceName> {
        let seed = xxh3_64(own.as_bytes());
        let score = |replica: &InstanceName| xxh3_64_with_seed(replica.as_str().as_bytes(), seed);
        self.reachable.iter().max_by_key(|replica| score(replica)).cloned()
    }

    fn add_seeds(&mut self, seeds: &[crate::Seed]) {
        self.seeds.extend(seeds.iter().map(|seed| seed.instance.clone()));
        let addresses = seeds.iter().map(|seed| (seed.instance.clone(), seed.address.clone()));
        self.addresses.extend(addresses);
    }

    /// Adds replicas reported by other replicas. Addresses from the settings take precedence.
    fn add_replicas(&mut self, replicas: impl IntoIterator<Item = (InstanceName, SmolStr)>) {
        for (name, address) in replicas {
            if !self.seeds.contains(&name) {
                self.addresses.insert(name, address);
            }
        }
    }
}

impl EntryNode {
    /// Creates the control thread's state.
    pub fn new(
        settings: Settings,
        clock: Clock,
        timers: Arc<dyn Timers>,
        views: Arc<Latest<EntryView>>,
    ) -> Rc<Self> {
        let settings = Rc::new(settings);
        let executor = Rc::new(LocalExecutor::new());
        let mut known = Known::default();
        known.add_seeds(&settings.seeds);
        let links = Links::new(settings, clock, executor.clone());
        let known = RefCell::new(known);
        let replica_positions = ReplicaPositions::default();
        Rc::new(Self { clock, timers, executor, links, views, known, replica_positions })
    }

    /// Runs the control thread, with `background` on the same thread, until the channel `seeds` closes.
    /// The channel delivers changed seed addresses.
    pub fn run(
        self: Rc<Self>,
        seeds: Receiver<Vec<crate::Seed>>,
        background: impl Future<Output = ()> + 'static,
    ) {
        self.executor.spawn(background).detach();
        self.watch_all();
        self.executor.spawn(self.clone().confirm_state()).detach();
        self.executor.spawn(self.clone().expire_endpoints()).detach();
        let executor = self.executor.clone();
        smol::block_on(executor.run(async move {
            while let Ok(seeds) = seeds.recv().await {
                self.add_seeds(&seeds);
            }
        }));
    }

    fn add_seeds(self: &Rc<Self>, seeds: &[crate::Seed]) {
        self.known.borrow_mut().add_seeds(seeds);
        self.watch_all();
    }

    /// Starts watching all known replicas that are not watched yet.
    fn watch_all(self: &Rc<Self>) {
        let names: Vec<InstanceName> = self.known.borrow().addresses.keys().cloned().collect();
        for name in names {
            if !self.known.borrow_mut().watched.insert(name.clone()) {
                continue;
            }
            let watcher = Rc::new(NodeWatcher(self.clone()));
            let task = async move {
                let node = watcher.0.clone();
                watch::watch(watcher, &node.links, node.clock, name).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    async fn expire_endpoints(self: Rc<Self>) {
        let ticks = self.timers.subscribe(EXPIRE_INTERVAL_MS);
        while ticks.recv().await.is_ok() {
            let expired = {
                let mut known = self.known.borrow_mut();
                // Without a reachable replica, the instance keeps the endpoints it knows.
                if known.reachable.is_empty() {
                    continue;
                }
                known.directory.expire(self.clock.now_ms())
            };
            for endpoint in &expired {
                spdlog::warn!("endpoint forgotten: nobody watches over it", kv: { endpoint: = endpoint });
            }
            if !expired.is_empty() {
                self.publish();
            }
        }
    }

    fn publish(&self) {
        let known = self.known.borrow();
        let previous = self.views.get();
        let leader = known.leader.clone().and_then(|name| {
            let address = known.addresses.get(&name)?.clone();
            Some((name, address))
        });
        self.views.publish(EntryView::new(
            &known.state,
            &known.directory,
            leader,
            known.confirmed,
            &previous,
        ));
    }

    /// Fetches the state changes that the replica `from` has announced.
    ///
    /// When a document of several hundred routes changes, hundreds of instances learn of it from the
    /// leader first. If all of them fetched it there, the leader would place no requests in the
    /// meantime. Each instance therefore asks its assigned replica, which has the change one heartbeat
    /// later, and falls back to `from` if that fails.
    async fn fetch(self: Rc<Self>, from: InstanceName) {
        let revision = self.known.borrow().state.revision;
        let preferred_source = self.known.borrow().preferred_source(self.links.own_name());
        let mut source = preferred_source.unwrap_or_else(|| from.clone());
        let mut fetched = self.follow(&source, revision, SOURCE_WAIT_MS).await;
        let has_changes = fetched.as_ref().is_ok_and(|feed| feed.revision > revision);
        if !has_changes && source != from {
            source = from;
            fetched = self.follow(&source, revision, 0).await;
        }
        self.known.borrow_mut().fetching = None;
        match fetched {
            Ok(feed) => self.apply_feed_from(feed, &source),
            Err(error) => spdlog::warn!("failed to fetch state changes", kv: { error: }),
        }
    }

    /// Requests the changes after `revision` from a replica, which waits up to `wait_ms` until it has
    /// some.
    async fn follow(
        &self,
        source: &InstanceName,
        revision: u64,
        wait_ms: u32,
    ) -> Result<Feed, PeerError> {
        let timeout_ms = match wait_ms {
            0 => FETCH_TIMEOUT_MS,
            wait_ms => u64::from(wait_ms) + SOURCE_REPLY_MS,
        };
        let call = |peer| feeds::follow(peer, revision, wait_ms);
        self.call("follow", source, timeout_ms, call).await
    }

    fn apply_feed_from(&self, feed: Feed, from: &InstanceName) {
        let (applied, revision, version) = {
            let mut known = self.known.borrow_mut();
            let applied = known.state.apply_feed(feed);
            (applied, known.state.revision, known.state.document.document.version)
        };
        if applied {
            spdlog::info!("state taken", kv: { revision, document_version = version, from: = from });
            self.publish();
        }
    }

    /// Reads the state through a quorum once, so that a restarted instance does not serve a state older
    /// than the one in force before the restart.
    async fn confirm_state(self: Rc<Self>) {
        loop {
            let leader = self.known.borrow().leader.clone();
            if let Some(name) = leader
                && self.confirm_at(&name).await
            {
                spdlog::info!("state confirmed by a quorum", kv: { leader: = name });
                self.known.borrow_mut().confirmed = true;
                return self.publish();
            }
            Timer::after(Duration::from_millis(CONFIRM_RETRY_MS)).await;
        }
    }

    async fn confirm_at(&self, name: &InstanceName) -> bool {
        let revision = self.known.borrow().state.revision;
        let call = |peer| feeds::read(peer, revision);
        match self.call("read", name, FETCH_TIMEOUT_MS, call).await {
            Ok(Some(feed)) => {
                self.apply_feed_from(feed, name);
                true
            }
            Ok(None) => false,
            Err(error) => {
                spdlog::debug!("failed to confirm the state at the leader", kv: { error: });
                false
            }
        }
    }

    async fn call<T, F>(
        &self,
        step: &'static str,
        to: &InstanceName,
        timeout_ms: u64,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let address = self.known.borrow().addresses.get(to).cloned();
        self.links.call(step, to, address, timeout_ms, call).await
    }
}

/// Applies what watched replicas report to the control thread's state.
struct NodeWatcher(Rc<EntryNode>);

impl Watcher for NodeWatcher {
    fn replica_positions(&self) -> &ReplicaPositions {
        &self.0.replica_positions
    }

    fn revision(&self) -> u64 {
        self.0.known.borrow().newest_revision()
    }

    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr> {
        self.0.known.borrow().addresses.get(peer).cloned()
    }

    fn apply_update(&self, from: &InstanceName, update: WatchUpdate) -> bool {
        let node = &self.0;
        let now_ms = node.clock.now_ms();
        let (changed, must_fetch, new_replicas) = {
            let mut known = node.known.borrow_mut();
            let mut changed = known.reachable.insert(from.clone());
            if update.restarted {
                known.directory.mark_restarted(now_ms, from);
            }
            changed |= known.directory.apply_direct(now_ms, from, update.position, update.listings);
            changed |= known.directory.apply_relayed(now_ms, from, update.relays);
            // An entry instance stores nothing.
            known.directory.mark_saved();
            if update.leader.is_some() && known.leader != update.leader {
                known.leader = update.leader;
                changed = true;
            }
            let known_before = known.addresses.len();
            known.add_replicas(update.replicas);
            let must_fetch = update.revision > known.state.revision && known.fetching.is_none();
            if must_fetch {
                known.fetching = Some(update.revision);
            }
            (changed, must_fetch, known.addresses.len() > known_before)
        };
        if changed {
            node.publish();
        }
        if new_replicas {
            node.watch_all();
        }
        if must_fetch {
            node.executor.spawn(node.clone().fetch(from.clone())).detach();
        }
        true
    }

    fn mark_unreachable(&self, peer: &InstanceName) {
        let mut known = self.0.known.borrow_mut();
        known.reachable.remove(peer);
        known.directory.mark_unreachable(self.0.clock.now_ms(), peer);
    }
}
