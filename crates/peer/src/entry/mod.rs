//! The control thread of an instance that takes requests and holds no replica.
//!
//! It watches all replicas that it can reach, so that what any of them knows of endpoints and of
//! the route document is known here, whichever of them are lost.

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

/// How often leases are looked at, in milliseconds.
const DIRECTORY_MS: u64 = 500;
/// How long a replica may take to answer with changes of the state, in milliseconds.
const FETCH_MS: u64 = 1_500;
/// How long a replica may take until it has what another one has, in milliseconds: some heartbeats of
/// the leader.
const SOURCE_WAIT_MS: u32 = 500;
/// How long it may take to answer besides, in milliseconds: some round trips between failure domains.
const SOURCE_ANSWER_MS: u64 = 100;
/// How long to wait before it is looked again whether a leader can confirm the state, in
/// milliseconds.
const CONFIRM_AGAIN_MS: u64 = 50;

/// The control thread's state.
pub struct EntryNode {
    clock: Clock,
    timers: Arc<dyn Timers>,
    executor: Rc<LocalExecutor<'static>>,
    links: Links,
    views: Arc<Latest<EntryView>>,
    known: RefCell<Known>,
    heard_from: ReplicaPositions,
}

/// What the control thread has learned.
#[derive(Default)]
struct Known {
    state: State,
    directory: Directory,
    addresses: BTreeMap<InstanceName, SmolStr>,
    /// The replicas whose addresses come from the settings.
    seeds: BTreeSet<InstanceName>,
    watched: BTreeSet<InstanceName>,
    /// The replicas that answer.
    heard: BTreeSet<InstanceName>,
    leader: Option<InstanceName>,
    /// A quorum has confirmed the state once since the start.
    confirmed: bool,
    /// The revision that is being fetched.
    fetching: Option<u64>,
}

impl Known {
    /// Returns the newest revision that is here or on its way.
    fn newest_revision(&self) -> u64 {
        self.state.revision.max(self.fetching.unwrap_or(0))
    }

    /// Returns the replica that the instance `own` fetches changes from: another one for each, so that
    /// all have about as many.
    fn own_source(&self, own: &str) -> Option<InstanceName> {
        let seed = xxh3_64(own.as_bytes());
        let draw = |replica: &InstanceName| xxh3_64_with_seed(replica.as_str().as_bytes(), seed);
        self.heard.iter().max_by_key(|replica| draw(replica)).cloned()
    }

    fn take_seeds(&mut self, seeds: &[crate::Seed]) {
        self.seeds.extend(seeds.iter().map(|seed| seed.instance.clone()));
        let addresses = seeds.iter().map(|seed| (seed.instance.clone(), seed.address.clone()));
        self.addresses.extend(addresses);
    }

    /// Takes replicas that others name; addresses from the settings go before theirs.
    fn take_replicas(&mut self, replicas: impl IntoIterator<Item = (InstanceName, SmolStr)>) {
        for (name, address) in replicas {
            if !self.seeds.contains(&name) {
                self.addresses.insert(name, address);
            }
        }
    }
}

impl EntryNode {
    /// Makes the control thread's state.
    pub fn new(
        settings: Settings,
        clock: Clock,
        timers: Arc<dyn Timers>,
        views: Arc<Latest<EntryView>>,
    ) -> Rc<Self> {
        let settings = Rc::new(settings);
        let executor = Rc::new(LocalExecutor::new());
        let mut known = Known::default();
        known.take_seeds(&settings.seeds);
        let links = Links::new(settings, clock, executor.clone());
        let known = RefCell::new(known);
        let heard_from = ReplicaPositions::default();
        Rc::new(Self { clock, timers, executor, links, views, known, heard_from })
    }

    /// Runs until `seeds`, by which new addresses of seeds come, closes, and `beside` on the same
    /// thread.
    pub fn run(
        self: Rc<Self>,
        seeds: Receiver<Vec<crate::Seed>>,
        beside: impl Future<Output = ()> + 'static,
    ) {
        self.executor.spawn(beside).detach();
        self.watch_all();
        self.executor.spawn(self.clone().confirm()).detach();
        self.executor.spawn(self.clone().look_after_directory()).detach();
        let executor = self.executor.clone();
        smol::block_on(executor.run(async move {
            while let Ok(seeds) = seeds.recv().await {
                self.take_seeds(&seeds);
            }
        }));
    }

    fn take_seeds(self: &Rc<Self>, seeds: &[crate::Seed]) {
        self.known.borrow_mut().take_seeds(seeds);
        self.watch_all();
    }

    /// Watches all replicas that are not watched yet.
    fn watch_all(self: &Rc<Self>) {
        let names: Vec<InstanceName> = self.known.borrow().addresses.keys().cloned().collect();
        for name in names {
            if !self.known.borrow_mut().watched.insert(name.clone()) {
                continue;
            }
            let watcher = Rc::new(Watching(self.clone()));
            let task = async move {
                let node = watcher.0.clone();
                watch::watch(watcher, &node.links, node.clock, name).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    async fn look_after_directory(self: Rc<Self>) {
        let ticks = self.timers.subscribe(DIRECTORY_MS);
        while ticks.recv().await.is_ok() {
            let over = {
                let mut known = self.known.borrow_mut();
                // An instance that hears no replica goes on with what it knows.
                if known.heard.is_empty() {
                    continue;
                }
                known.directory.expire(self.clock.now_ms())
            };
            for endpoint in &over {
                spdlog::warn!("endpoint forgotten: nobody watches over it", kv: { endpoint: = endpoint });
            }
            if !over.is_empty() {
                self.publish();
            }
        }
    }

    fn publish(&self) {
        let known = self.known.borrow();
        let before = self.views.get();
        let leader = known.leader.clone().and_then(|name| {
            let address = known.addresses.get(&name)?.clone();
            Some((name, address))
        });
        self.views.publish(EntryView::new(
            &known.state,
            &known.directory,
            leader,
            known.confirmed,
            &before,
        ));
    }

    /// Fetches what changed in the state, which the replica `from` has.
    ///
    /// Load pattern: a document of some hundred routes changes, and hundreds of instances hear of it
    /// from the leader first. Were all to fetch it there, no request would be placed meanwhile. So each
    /// asks a replica of its own, which has it a heartbeat later, and `from` only where that fails.
    async fn fetch(self: Rc<Self>, from: InstanceName) {
        let revision = self.known.borrow().state.revision;
        let own_source = self.known.borrow().own_source(self.links.own_name());
        let mut source = own_source.unwrap_or_else(|| from.clone());
        let mut fetched = self.follow(&source, revision, SOURCE_WAIT_MS).await;
        let has_changes = fetched.as_ref().is_ok_and(|feed| feed.revision > revision);
        if !has_changes && source != from {
            source = from;
            fetched = self.follow(&source, revision, 0).await;
        }
        self.known.borrow_mut().fetching = None;
        match fetched {
            Ok(feed) => self.take_feed(feed, &source),
            Err(error) => spdlog::warn!("changes not received", kv: { error: }),
        }
    }

    /// Asks a replica for what changed after `revision`, which it may not have for `wait_ms` yet.
    async fn follow(
        &self,
        source: &InstanceName,
        revision: u64,
        wait_ms: u32,
    ) -> Result<Feed, PeerError> {
        let timeout_ms = match wait_ms {
            0 => FETCH_MS,
            wait_ms => u64::from(wait_ms) + SOURCE_ANSWER_MS,
        };
        let call = |peer| feeds::follow(peer, revision, wait_ms);
        self.call("follow", source, timeout_ms, call).await
    }

    fn take_feed(&self, feed: Feed, from: &InstanceName) {
        let (taken, revision, version) = {
            let mut known = self.known.borrow_mut();
            let taken = known.state.apply_feed(feed);
            (taken, known.state.revision, known.state.document.document.version)
        };
        if taken {
            spdlog::info!("state taken", kv: { revision, document_version = version, from: = from });
            self.publish();
        }
    }

    /// Reads the state through a quorum once, so that a restarted instance serves nothing older
    /// than what was in force before.
    async fn confirm(self: Rc<Self>) {
        loop {
            let leader = self.known.borrow().leader.clone();
            if let Some(name) = leader
                && self.confirm_at(&name).await
            {
                spdlog::info!("state confirmed by a quorum", kv: { leader: = name });
                self.known.borrow_mut().confirmed = true;
                return self.publish();
            }
            Timer::after(Duration::from_millis(CONFIRM_AGAIN_MS)).await;
        }
    }

    async fn confirm_at(&self, name: &InstanceName) -> bool {
        let revision = self.known.borrow().state.revision;
        let call = |peer| feeds::read(peer, revision);
        match self.call("read", name, FETCH_MS, call).await {
            Ok(Some(feed)) => {
                self.take_feed(feed, name);
                true
            }
            Ok(None) => false,
            Err(error) => {
                spdlog::debug!("state not confirmed", kv: { error: });
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

/// The control thread as a watcher of replicas.
struct Watching(Rc<EntryNode>);

impl Watcher for Watching {
    fn replica_positions(&self) -> &ReplicaPositions {
        &self.0.heard_from
    }

    fn revision(&self) -> u64 {
        self.0.known.borrow().newest_revision()
    }

    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr> {
        self.0.known.borrow().addresses.get(peer).cloned()
    }

    fn apply_update(&self, from: &InstanceName, news: WatchUpdate) {
        let node = &self.0;
        let now_ms = node.clock.now_ms();
        let (changed, fetches, new_replicas) = {
            let mut known = node.known.borrow_mut();
            let mut changed = known.heard.insert(from.clone());
            if news.restarted {
                known.directory.mark_restarted(now_ms, from);
            }
            changed |= known.directory.apply_direct(now_ms, from, news.heard, news.listings);
            changed |= known.directory.apply_relayed(now_ms, from, news.relays);
            if news.leader.is_some() && known.leader != news.leader {
                known.leader = news.leader;
                changed = true;
            }
            let before = known.addresses.len();
            known.take_replicas(news.replicas);
            let fetches = news.revision > known.state.revision && known.fetching.is_none();
            if fetches {
                known.fetching = Some(news.revision);
            }
            (changed, fetches, known.addresses.len() > before)
        };
        if changed {
            node.publish();
        }
        if new_replicas {
            node.watch_all();
        }
        if fetches {
            node.executor.spawn(node.clone().fetch(from.clone())).detach();
        }
    }

    fn mark_unreachable(&self, peer: &InstanceName) {
        let mut known = self.0.known.borrow_mut();
        known.heard.remove(peer);
        known.directory.mark_unreachable(self.0.clock.now_ms(), peer);
    }
}
