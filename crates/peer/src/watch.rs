//! Watches the directory and the revision of a control replica.

use crate::link::Links;
use lycheehub_clock::Clock;
use lycheehub_control::directory::{Listing, ORPHAN_MS};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::peer;
use lycheehub_wire::{WireError, read_listings};
use smol::Timer;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;

/// How long a replica holds a question for changes, in milliseconds: short enough for a silent
/// connection to be replaced well within the time in which changes must be in force.
const WAIT_MS: u32 = 1_000;
/// How long the answer may take besides, in milliseconds.
const ANSWER_MS: u64 = 700;
/// How long to wait before a replica that did not answer is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 150;

/// What a replica tells of itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    /// Endpoints that changed.
    pub(crate) listings: Vec<Listing>,
    /// The revision that the replica has.
    pub(crate) revision: u64,
    /// The leader that it follows.
    pub(crate) leader: Option<InstanceName>,
    /// The replicas that it knows, with where they listen for peers.
    pub(crate) replicas: Vec<(InstanceName, SmolStr)>,
    /// The replica was started again since it was heard last.
    pub(crate) restarted: bool,
}

/// Whoever watches.
pub(crate) trait Watcher {
    /// Returns the revision that the watcher has or is about to have.
    fn revision(&self) -> u64;
    /// Returns where a replica listens for peers.
    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr>;
    /// Takes what a replica told.
    fn take(&self, from: &InstanceName, news: News);
    /// Takes the news that a replica does not answer.
    fn silent(&self, peer: &InstanceName);
}

/// What a replica has told last.
#[derive(Clone, Debug, Default)]
struct Cursor {
    epoch: u64,
    change: u64,
    /// The leader that it follows.
    leader: Option<InstanceName>,
}

/// Watches a replica for ever.
pub(crate) async fn watch(
    watcher: Rc<impl Watcher>,
    links: &Links,
    clock: Clock,
    to: InstanceName,
) {
    let mut cursor = Cursor::default();
    let mut heard_ms = clock.now_ms();
    let mut in_touch = true;
    loop {
        match ask(&*watcher, links, &to, &mut cursor).await {
            Ok(news) => {
                if !in_touch {
                    spdlog::info!("replica heard again", kv: { replica: = to });
                }
                in_touch = true;
                heard_ms = clock.now_ms();
                watcher.take(&to, news);
            }
            Err(error) => {
                if in_touch {
                    spdlog::warn!("replica not heard", kv: { replica: = to, error: });
                }
                in_touch = false;
                watcher.silent(&to);
                if clock.now_ms() >= heard_ms + ORPHAN_MS {
                    // What the replica watched over is forgotten by now and must be told anew.
                    cursor = Cursor::default();
                }
                Timer::after(Duration::from_millis(ASK_AGAIN_MS)).await;
            }
        }
    }
}

async fn ask(
    watcher: &impl Watcher,
    links: &Links,
    to: &InstanceName,
    cursor: &mut Cursor,
) -> Result<News, PeerError> {
    const STEP: &str = "watch";
    let (revision, told) = (watcher.revision(), cursor.clone());
    let ask = |peer| ask_peer(peer, links.own_name(), &told, revision);
    let timeout_ms = u64::from(WAIT_MS) + ANSWER_MS;
    let (now, mut news) = links.call(STEP, to, watcher.address_of(to), timeout_ms, ask).await?;
    news.restarted = told.epoch != 0 && told.epoch != now.epoch;
    *cursor = now;
    Ok(news)
}

async fn ask_peer(
    peer: peer::Client,
    own: &str,
    told: &Cursor,
    revision: u64,
) -> Result<(Cursor, News), capnp::Error> {
    let mut request = peer.watch_request();
    let mut params = request.get();
    params.set_sender(own);
    params.set_epoch(told.epoch);
    params.set_change(told.change);
    params.set_revision(revision);
    params.set_wait_ms(WAIT_MS);
    params.set_leader(told.leader.as_ref().map_or("", InstanceName::as_str));
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
    let news = News {
        listings: read_listings(reply.get_listings()?)?,
        revision: reply.get_revision(),
        leader: (!leader.is_empty()).then(|| InstanceName::new(leader)),
        replicas,
        restarted: false,
    };
    let (epoch, change) = (reply.get_epoch(), reply.get_change());
    Ok((Cursor { epoch, change, leader: news.leader.clone() }, news))
}
