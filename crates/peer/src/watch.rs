//! Watches the directory and the revision of a control replica.

use crate::link::Links;
use lycheehub_clock::Clock;
use lycheehub_control::directory::{Heard, Listing, ORPHAN_MS};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::peer;
use lycheehub_wire::{WireError, read_listings, write_heard};
use smol::Timer;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a replica holds a question for changes, in milliseconds: short enough for a silent
/// connection to be replaced well within the time in which changes must be in force.
const WAIT_MS: u32 = 1_000;
/// How long the answer may take besides, in milliseconds.
const ANSWER_MS: u64 = 700;
/// How long to wait before a replica that did not answer is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 150;

/// The revision that a replica says it has: it gets changes of the state by the log.
pub(crate) const REVISION_BY_LOG: u64 = u64::MAX;

/// What a replica tells of itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    /// How far it has told what it heard itself.
    pub(crate) heard: Heard,
    /// Endpoints of which it heard a change.
    pub(crate) listings: Vec<Listing>,
    /// Endpoints of which other replicas told it a change.
    pub(crate) relays: Vec<Listing>,
    /// The revision that the replica has.
    pub(crate) revision: u64,
    /// The leader that it follows.
    pub(crate) leader: Option<InstanceName>,
    /// The replicas that it knows, with where they listen for peers.
    pub(crate) replicas: Vec<(InstanceName, SmolStr)>,
    /// The replica was started again since it was heard last.
    pub(crate) restarted: bool,
}

/// How far each replica that is watched has told what it heard itself.
pub(crate) type HeardFrom = RefCell<BTreeMap<InstanceName, Heard>>;

/// Whoever watches.
pub(crate) trait Watcher {
    /// Returns what replicas have told.
    fn heard_from(&self) -> &HeardFrom;
    /// Returns the revision that the watcher has or is about to have.
    fn revision(&self) -> u64;
    /// Returns where a replica listens for peers.
    fn address_of(&self, peer: &InstanceName) -> Option<SmolStr>;
    /// Takes what a replica told.
    fn take(&self, from: &InstanceName, news: News);
    /// Takes the news that a replica does not answer.
    fn silent(&self, peer: &InstanceName);
}

/// What a replica has told last, but for what it heard itself.
#[derive(Clone, Debug, Default)]
struct Cursor {
    /// The number of its last change of which it has told what others told it.
    relayed: u64,
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
                    watcher.heard_from().borrow_mut().remove(&to);
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
    let heard = watcher.heard_from().borrow().clone();
    let before = heard.get(to).copied().unwrap_or_default();
    let sender = links.own_name();
    let question = Question { sender, told: cursor, before, heard, revision: watcher.revision() };
    let timeout_ms = u64::from(WAIT_MS) + ANSWER_MS;
    let ask = |peer| ask_peer(peer, &question);
    let (now, mut news) = links.call(STEP, to, watcher.address_of(to), timeout_ms, ask).await?;
    news.restarted = before.epoch != 0 && before.epoch != news.heard.epoch;
    watcher.heard_from().borrow_mut().insert(to.clone(), news.heard);
    *cursor = now;
    Ok(news)
}

/// What a replica is asked.
struct Question<'a> {
    sender: &'a str,
    told: &'a Cursor,
    /// How far this replica has told what it heard itself.
    before: Heard,
    /// How far all replicas have.
    heard: BTreeMap<InstanceName, Heard>,
    revision: u64,
}

async fn ask_peer(
    peer: peer::Client,
    question: &Question<'_>,
) -> Result<(Cursor, News), capnp::Error> {
    let mut request = peer.watch_request();
    let mut params = request.get();
    let told = question.told;
    params.set_sender(question.sender);
    params.set_epoch(question.before.epoch);
    params.set_change(question.before.change);
    params.set_relayed(told.relayed);
    params.set_revision(question.revision);
    params.set_wait_ms(WAIT_MS);
    params.set_leader(told.leader.as_ref().map_or("", InstanceName::as_str));
    write_heard(&question.heard, params.init_heard(question.heard.len() as u32));
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
        heard: Heard { epoch: reply.get_epoch(), change: reply.get_change() },
        listings: read_listings(reply.get_listings()?)?,
        relays: read_listings(reply.get_relays()?)?,
        revision: reply.get_revision(),
        leader: (!leader.is_empty()).then(|| InstanceName::new(leader)),
        replicas,
        restarted: false,
    };
    Ok((Cursor { relayed: reply.get_relayed(), leader: news.leader.clone() }, news))
}
