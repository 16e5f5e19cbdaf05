//! Watches the directory and the revision of a control replica by long polls.

use crate::link::Links;
use lycheehub_clock::Clock;
use lycheehub_control::directory::{ChangePosition, Listing, ORPHAN_MS};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::peer;
use lycheehub_wire::{WireError, read_listings, write_heard};
use smol::Timer;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a replica may hold a watch request, in milliseconds: short enough to replace an
/// unresponsive connection well within the time in which changes must be in force.
const LONG_POLL_MS: u32 = 1_000;
/// Time allowed for a reply beyond the long poll, in milliseconds.
const REPLY_MARGIN_MS: u64 = 700;
/// Delay before a failed watch request is retried, in milliseconds.
const RETRY_MS: u64 = 150;

/// The revision that a replica sends when it watches another one: it receives state changes through
/// the log and needs none of them here.
pub(crate) const REVISION_FROM_LOG: u64 = u64::MAX;

/// An update from a watched replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchUpdate {
    /// The position in its local changes that this update reaches.
    pub(crate) position: ChangePosition,
    /// Endpoints changed by announcements at the replica.
    pub(crate) listings: Vec<Listing>,
    /// Endpoints whose changes the replica relays from other replicas.
    pub(crate) relays: Vec<Listing>,
    /// The state revision of the replica.
    pub(crate) revision: u64,
    /// The leader that it follows.
    pub(crate) leader: Option<InstanceName>,
    /// The replicas that it knows, with their peer addresses.
    pub(crate) replicas: Vec<(InstanceName, SmolStr)>,
    /// Whether the replica has restarted since its last reply.
    pub(crate) restarted: bool,
}

/// The position reached in the local changes of each watched replica.
pub(crate) type ReplicaPositions = RefCell<BTreeMap<InstanceName, ChangePosition>>;

/// Receives updates from watched replicas.
pub(crate) trait Watcher {
    /// Returns the position reached in the local changes of each replica.
    fn replica_positions(&self) -> &ReplicaPositions;
    /// Returns the state revision that the watcher has or is already fetching.
    fn revision(&self) -> u64;
    /// Returns the peer address of a replica.
    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr>;
    /// Applies an update from a replica; returns whether what must outlive a restart of it is stored.
    /// Otherwise the replica is asked for the same update again.
    fn apply_update(&self, from: &InstanceName, update: WatchUpdate) -> bool;
    /// Marks a replica that does not reply as unreachable.
    fn mark_unreachable(&self, peer: &InstanceName);
}

/// What the last reply of a replica covered, apart from its local changes.
#[derive(Clone, Debug, Default)]
struct Cursor {
    /// The number of the last relayed change that it sent.
    relayed: u64,
    /// The leader that it follows.
    leader: Option<InstanceName>,
}

/// Watches a replica indefinitely.
pub(crate) async fn watch(
    watcher: Rc<impl Watcher>,
    links: &Links,
    clock: Clock,
    to: InstanceName,
) {
    let mut cursor = Cursor::default();
    let mut last_reply_ms = clock.now_ms();
    let mut is_reachable = true;
    loop {
        match poll(&*watcher, links, &to, &cursor).await {
            Ok((next_cursor, update)) => {
                if !is_reachable {
                    spdlog::info!("replica heard again", kv: { replica: = to });
                }
                is_reachable = true;
                last_reply_ms = clock.now_ms();
                let position = update.position;
                if watcher.apply_update(&to, update) {
                    watcher.replica_positions().borrow_mut().insert(to.clone(), position);
                    cursor = next_cursor;
                } else {
                    Timer::after(Duration::from_millis(RETRY_MS)).await;
                }
            }
            Err(error) => {
                if is_reachable {
                    spdlog::warn!("replica not heard", kv: { replica: = to, error: });
                }
                is_reachable = false;
                watcher.mark_unreachable(&to);
                if clock.now_ms() >= last_reply_ms + ORPHAN_MS {
                    // The endpoints whose leases the replica monitored have been removed by now, so
                    // the replica must send all of them again.
                    cursor = Cursor::default();
                    watcher.replica_positions().borrow_mut().remove(&to);
                }
                Timer::after(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn poll(
    watcher: &impl Watcher,
    links: &Links,
    to: &InstanceName,
    cursor: &Cursor,
) -> Result<(Cursor, WatchUpdate), PeerError> {
    const STEP: &str = "watch";
    let replica_positions = watcher.replica_positions().borrow().clone();
    let position = replica_positions.get(to).copied().unwrap_or_default();
    let sender = links.own_name();
    let watch_request = WatchRequest {
        sender,
        previous: cursor,
        position,
        replica_positions,
        revision: watcher.revision(),
    };
    let timeout_ms = u64::from(LONG_POLL_MS) + REPLY_MARGIN_MS;
    let poll = |peer| send_watch(peer, &watch_request);
    let (next_cursor, mut update) =
        links.call(STEP, to, watcher.address_of(to), timeout_ms, poll).await?;
    update.restarted = position.epoch != 0 && position.epoch != update.position.epoch;
    Ok((next_cursor, update))
}

/// The parameters of a watch request.
struct WatchRequest<'a> {
    sender: &'a str,
    previous: &'a Cursor,
    /// The position reached in this replica's local changes.
    position: ChangePosition,
    /// The position reached in each replica's local changes.
    replica_positions: BTreeMap<InstanceName, ChangePosition>,
    revision: u64,
}

async fn send_watch(
    peer: peer::Client,
    watch_request: &WatchRequest<'_>,
) -> Result<(Cursor, WatchUpdate), capnp::Error> {
    let mut request = peer.watch_request();
    let mut params = request.get();
    let previous = watch_request.previous;
    params.set_sender(watch_request.sender);
    params.set_epoch(watch_request.position.epoch);
    params.set_change(watch_request.position.change);
    params.set_relayed(previous.relayed);
    params.set_revision(watch_request.revision);
    params.set_wait_ms(LONG_POLL_MS);
    params.set_leader(previous.leader.as_ref().map_or("", InstanceName::as_str));
    write_heard(
        &watch_request.replica_positions,
        params.init_heard(watch_request.replica_positions.len() as u32),
    );
    let reply = request.send().promise.await?;
    let reply = reply.get()?;
    let text = |text: capnp::Result<capnp::text::Reader<'_>>| -> Result<SmolStr, WireError> {
        Ok(text?.to_str()?.into())
    };
    let mut replicas = Vec::new();
    for replica in reply.get_replicas()? {
        let name = InstanceName::new(text(replica.get_instance())?);
        replicas.push((name, text(replica.get_address())?));
    }
    let leader = text(reply.get_leader())?;
    let update = WatchUpdate {
        position: ChangePosition { epoch: reply.get_epoch(), change: reply.get_change() },
        listings: read_listings(reply.get_listings()?),
        relays: read_listings(reply.get_relays()?),
        revision: reply.get_revision(),
        leader: (!leader.is_empty()).then(|| InstanceName::new(leader)),
        replicas,
        restarted: false,
    };
    Ok((Cursor { relayed: reply.get_relayed(), leader: update.leader.clone() }, update))
}
