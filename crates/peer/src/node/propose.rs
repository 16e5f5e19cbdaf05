//! Commits commands and reads through the leader, wherever it is.

use super::Node;
use crate::feeds;
use crate::link::CONNECT;
use lycheehub_clock::within;
use lycheehub_consensus::Position;
use lycheehub_control::Command;
use lycheehub_control::state::Feed;
use lycheehub_types::InstanceName;
use lycheehub_wire::ProposeReply;
use lycheehub_wire::peer_capnp::peer;
use smol::Timer;
use smol::channel::bounded;
use std::rc::Rc;
use std::time::Duration;

/// How long a command may take until its outcome counts as unknown, in milliseconds.
const PROPOSE_TIMEOUT_MS: u64 = 4_000;
/// How long one instance may take to commit a command, in milliseconds.
const PROPOSE_TRY_MS: u64 = 2_500;
/// How long to wait before the leader is looked for again, in milliseconds.
const LOOK_AGAIN_MS: u64 = 50;

impl Node {
    /// Commits a command, here or at the leader.
    ///
    /// Every command may be sent twice without harm, so it is tried again until its outcome is
    /// known or the time is over.
    pub(super) async fn propose(self: &Rc<Self>, command: Command) -> ProposeReply {
        let command = command.encode();
        let give_up_ms = self.clock.now_ms() + PROPOSE_TIMEOUT_MS;
        let mut sent = false;
        while self.clock.now_ms() < give_up_ms {
            for target in self.leader_candidates() {
                match self.propose_at(&target, command.clone()).await {
                    ProposeReply::NotLeader => {}
                    ProposeReply::Unknown => sent = true,
                    done => {
                        self.core.borrow_mut().leader_hint = Some(target);
                        return done;
                    }
                }
                if self.clock.now_ms() >= give_up_ms {
                    break;
                }
            }
            Timer::after(Duration::from_millis(LOOK_AGAIN_MS)).await;
        }
        if sent { ProposeReply::Unknown } else { ProposeReply::NotLeader }
    }

    async fn propose_at(self: &Rc<Self>, target: &InstanceName, command: Vec<u8>) -> ProposeReply {
        if *target == self.settings.instance {
            return self.propose_here(command).await;
        }
        let call = |peer: peer::Client| async move {
            let mut request = peer.propose_request();
            request.get().set_command(&command);
            let reply = request.send().promise.await?;
            Ok(ProposeReply::try_from(reply.get()?.get_reply()?)?)
        };
        match self.call("propose", target, PROPOSE_TRY_MS, call).await {
            Ok(reply) => reply,
            // Without a connection nothing was sent.
            Err(error) if error.step() == CONNECT => ProposeReply::NotLeader,
            Err(_) => ProposeReply::Unknown,
        }
    }

    /// Returns the instances to try, the one most likely to lead first.
    fn leader_candidates(&self) -> Vec<InstanceName> {
        let mut candidates = self.replica_instances();
        let core = self.core.borrow();
        if core.replica().is_some() {
            candidates.insert(0, self.settings.instance.clone());
        }
        if let Some(likely) = core.likely_leader() {
            candidates.retain(|name| *name != likely);
            candidates.insert(0, likely);
        }
        candidates
    }

    /// Commits an encoded command if this instance leads.
    pub(crate) async fn propose_here(self: &Rc<Self>, command: Vec<u8>) -> ProposeReply {
        if !self.core.borrow().is_leader() {
            return ProposeReply::NotLeader;
        }
        let Ok(command) = Command::decode(&command) else { return ProposeReply::NotLeader };
        if !self.has_copies_for(&command) {
            return ProposeReply::NotLeader;
        }
        let command = command.with_leader_time(self.clock.now_unix_ms()).encode();
        let (sender, receiver) = bounded(1);
        self.core.borrow_mut().proposals.push((command, sender));
        self.flush_soon();
        let reply = within(PROPOSE_TRY_MS, receiver.recv()).await;
        reply.and_then(Result::ok).unwrap_or(ProposeReply::Unknown)
    }

    /// Tells whether enough replicas store what is committed now, so that it survives the loss of
    /// as many disks as must be borne.
    fn has_copies_for(&self, command: &Command) -> bool {
        let core = self.core.borrow();
        let quorum = core.replica().map_or(0, |replica| replica.config().quorum());
        let enough = quorum >= self.settings.copies_min;
        if !enough {
            let kind = command.kind();
            spdlog::warn!("command not taken: too few replicas", kv: { kind, quorum });
        }
        enough
    }

    /// Stores what waits to be proposed, unless earlier commands are not committed yet; what comes
    /// meanwhile is then stored together.
    pub(super) fn flush_soon(self: &Rc<Self>) {
        let idle = {
            let core = self.core.borrow();
            let free = core.driver.as_ref().is_none_or(|driver| !driver.is_committing());
            free && !core.proposals.is_empty()
        };
        if idle {
            let node = self.clone();
            self.executor.spawn(async move { node.flush_proposals() }).detach();
        }
    }

    fn flush_proposals(self: &Rc<Self>) {
        if self.core.borrow().proposals.is_empty() {
            return;
        }
        let proposals = std::mem::take(&mut self.core.borrow_mut().proposals);
        let (commands, senders): (Vec<_>, Vec<_>) = proposals.into_iter().unzip();
        self.drive(|driver, now_ms| {
            let Some((first, actions)) = driver.replica.propose_all(now_ms, commands) else {
                for sender in senders {
                    // One that no longer waits needs no answer.
                    let _ = sender.try_send(ProposeReply::NotLeader);
                }
                return Vec::new();
            };
            for (offset, sender) in senders.into_iter().enumerate() {
                let index = first.index + offset as u64;
                driver.wait_for(Position { term: first.term, index }, sender);
            }
            actions
        });
    }

    /// Reads changes after `revision` if this instance leads and a quorum confirms it.
    pub(crate) async fn read_here(self: &Rc<Self>, revision: u64) -> Option<Feed> {
        let (sender, receiver) = bounded(1);
        self.drive(|driver, now_ms| {
            let token = driver.begin_read(sender);
            driver.replica.read(now_ms, token)
        });
        let confirmed = within(PROPOSE_TRY_MS, receiver.recv()).await;
        if !confirmed.and_then(Result::ok).unwrap_or(false) {
            return None;
        }
        Some(self.core.borrow().state.feed_after(revision))
    }

    async fn read_at(self: &Rc<Self>, target: &InstanceName, revision: u64) -> Option<Feed> {
        if *target == self.settings.instance {
            return self.read_here(revision).await;
        }
        let call = |peer| feeds::read(peer, revision);
        self.call("read", target, PROPOSE_TRY_MS, call).await.ok().flatten()
    }

    /// Reads all that is committed, confirmed by a quorum.
    pub(super) async fn read_feed(self: &Rc<Self>, revision: u64) -> Option<Feed> {
        let give_up_ms = self.clock.now_ms() + PROPOSE_TIMEOUT_MS;
        while self.clock.now_ms() < give_up_ms {
            for target in self.leader_candidates() {
                if let Some(feed) = self.read_at(&target, revision).await {
                    self.core.borrow_mut().leader_hint = Some(target);
                    return Some(feed);
                }
                if self.clock.now_ms() >= give_up_ms {
                    return None;
                }
            }
            Timer::after(Duration::from_millis(LOOK_AGAIN_MS)).await;
        }
        None
    }

    /// Reads the state through a quorum and takes it; a replica only waits until it has it.
    pub(super) async fn read_anywhere(self: &Rc<Self>) -> bool {
        let revision = self.core.borrow().state.revision;
        let Some(feed) = self.read_feed(revision).await else { return false };
        let target = feed.revision;
        self.take_feed(feed);
        self.core.borrow().state.revision >= target
    }
}
