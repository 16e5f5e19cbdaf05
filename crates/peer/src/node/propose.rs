//! Commits commands and reads through the leader, which may be this instance or a peer.

use super::Node;
use crate::feeds;
use crate::link::CONNECT;
use lycheehub_clock::within;
use lycheehub_consensus::Position;
use lycheehub_control::Command;
use lycheehub_control::state::{Feed, RolloutState, RolloutStep};
use lycheehub_types::InstanceName;
use lycheehub_wire::ProposeReply;
use lycheehub_wire::peer_capnp::peer;
use smol::Timer;
use smol::channel::bounded;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a proposal ends with an unknown outcome or without a leader, in milliseconds.
const PROPOSE_TIMEOUT_MS: u64 = 4_000;
/// Timeout of one attempt at one instance, in milliseconds.
const PROPOSE_ATTEMPT_MS: u64 = 2_500;
/// Delay before all candidates are tried again, in milliseconds.
const LEADER_RETRY_MS: u64 = 50;

impl Node {
    /// Commits a command through the leader.
    ///
    /// Sending a command twice is harmless, so it is retried until its outcome is known or
    /// [`PROPOSE_TIMEOUT_MS`] has passed.
    pub(super) async fn propose(self: &Rc<Self>, command: Command) -> ProposeReply {
        let command = command.encode();
        let give_up_ms = self.clock.now_ms() + PROPOSE_TIMEOUT_MS;
        let mut may_be_committed = false;
        while self.clock.now_ms() < give_up_ms {
            for target in self.leader_candidates() {
                match self.propose_to(&target, command.clone()).await {
                    ProposeReply::NotLeader => {}
                    ProposeReply::Unknown => may_be_committed = true,
                    outcome => {
                        self.core.borrow_mut().leader_hint = Some(target);
                        return outcome;
                    }
                }
                if self.clock.now_ms() >= give_up_ms {
                    break;
                }
            }
            Timer::after(Duration::from_millis(LEADER_RETRY_MS)).await;
        }
        if may_be_committed { ProposeReply::Unknown } else { ProposeReply::NotLeader }
    }

    async fn propose_to(self: &Rc<Self>, target: &InstanceName, command: Vec<u8>) -> ProposeReply {
        if *target == self.settings.instance {
            return self.propose_local(command).await;
        }
        let call = |peer: peer::Client| async move {
            let mut request = peer.propose_request();
            request.get().set_command(&command);
            let reply = request.send().promise.await?;
            Ok(ProposeReply::try_from(reply.get()?.get_reply()?)?)
        };
        match self.call("propose", target, PROPOSE_ATTEMPT_MS, call).await {
            Ok(reply) => reply,
            // The command was not sent, because there was no connection.
            Err(error) if error.step() == CONNECT => ProposeReply::NotLeader,
            Err(_) => ProposeReply::Unknown,
        }
    }

    /// Returns the instances that may lead, the most likely one first.
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
    pub(crate) async fn propose_local(self: &Rc<Self>, command: Vec<u8>) -> ProposeReply {
        if !self.core.borrow().is_leader() {
            return ProposeReply::NotLeader;
        }
        let command = match Command::decode(&command) {
            Ok(command) => command,
            // A newer build sent it: this one would not know how to apply it.
            Err(error) => {
                spdlog::warn!("command not taken: not known to this build", kv: { error: });
                return ProposeReply::NotLeader;
            }
        };
        if !self.has_enough_replicas(&command) {
            return ProposeReply::NotLeader;
        }
        if let Some(step) = self.end_of_overtaken_rollout(&command) {
            spdlog::info!("rollout step", kv: {
                service: = step.service, state:? = step.state, reason: = step.reason,
            });
            let reply = self.commit(&Command::StepRollout(step)).await;
            if !matches!(reply, ProposeReply::Done(_)) {
                return reply;
            }
        }
        self.commit(&command.with_leader_time(self.clock.now_unix_ms())).await
    }

    async fn commit(self: &Rc<Self>, command: &Command) -> ProposeReply {
        let (sender, receiver) = bounded(1);
        self.core.borrow_mut().proposals.push((command.encode(), sender));
        self.schedule_flush();
        let reply = within(PROPOSE_ATTEMPT_MS, receiver.recv()).await;
        reply.and_then(Result::ok).unwrap_or(ProposeReply::Unknown)
    }

    /// Returns the step that takes back the rollout that a new order overtakes: its version is still on
    /// trial, and must not be taken for the one in service.
    fn end_of_overtaken_rollout(&self, command: &Command) -> Option<RolloutStep> {
        let Command::StartRollout(order) = command else { return None };
        let core = self.core.borrow();
        let record = core.state.rollouts.get(&order.service)?;
        let is_overtaken =
            record.state == RolloutState::Running && record.order.target != order.target;
        is_overtaken.then(|| RolloutStep {
            service: order.service.clone(),
            after_revision: record.revision,
            state: RolloutState::RolledBack,
            share_permille: 0,
            reason: "another version is ordered".into(),
            now_unix_ms: self.clock.now_unix_ms(),
            evidence: record.evidence,
        })
    }

    /// Returns whether a committed entry is stored on enough replicas to survive the number of disk
    /// losses that the settings require.
    fn has_enough_replicas(&self, command: &Command) -> bool {
        let core = self.core.borrow();
        let quorum = core.replica().map_or(0, |replica| replica.config().quorum());
        let is_enough = quorum >= self.settings.copies_min;
        if !is_enough {
            let kind = command.kind();
            spdlog::warn!("command not taken: too few replicas", kv: { kind, quorum });
        }
        is_enough
    }

    /// Proposes the queued commands unless earlier ones are not committed yet. Commands that arrive
    /// meanwhile are then stored as one batch.
    pub(super) fn schedule_flush(self: &Rc<Self>) {
        let can_flush = {
            let core = self.core.borrow();
            let can_propose = core.driver.as_ref().is_none_or(|driver| !driver.is_committing());
            can_propose && !core.proposals.is_empty()
        };
        if can_flush {
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
                    // The send fails only if the caller no longer waits.
                    let _ = sender.try_send(ProposeReply::NotLeader);
                }
                return Vec::new();
            };
            for (offset, sender) in senders.into_iter().enumerate() {
                let index = first.index + offset as u64;
                driver.register_proposal(Position { term: first.term, index }, sender);
            }
            actions
        });
    }

    /// Reads the changes after `revision` if this instance leads and a quorum confirms that.
    pub(crate) async fn read_local(self: &Rc<Self>, revision: u64) -> Option<Feed> {
        let (sender, receiver) = bounded(1);
        self.drive(|driver, now_ms| {
            let token = driver.begin_read(sender);
            driver.replica.read(now_ms, token)
        });
        let confirmed = within(PROPOSE_ATTEMPT_MS, receiver.recv()).await;
        if !confirmed.and_then(Result::ok).unwrap_or(false) {
            return None;
        }
        Some(self.core.borrow().state.feed_after(revision))
    }

    async fn read_from(self: &Rc<Self>, target: &InstanceName, revision: u64) -> Option<Feed> {
        if *target == self.settings.instance {
            return self.read_local(revision).await;
        }
        let call = |peer| feeds::read(peer, revision);
        self.call("read", target, PROPOSE_ATTEMPT_MS, call).await.ok().flatten()
    }

    /// Reads the changes after `revision` through the leader, confirmed by a quorum.
    pub(super) async fn read_feed(self: &Rc<Self>, revision: u64) -> Option<Feed> {
        let give_up_ms = self.clock.now_ms() + PROPOSE_TIMEOUT_MS;
        while self.clock.now_ms() < give_up_ms {
            for target in self.leader_candidates() {
                if let Some(feed) = self.read_from(&target, revision).await {
                    self.core.borrow_mut().leader_hint = Some(target);
                    return Some(feed);
                }
                if self.clock.now_ms() >= give_up_ms {
                    return None;
                }
            }
            Timer::after(Duration::from_millis(LEADER_RETRY_MS)).await;
        }
        None
    }

    /// Reads the state through a quorum and applies it; returns whether the local state has reached
    /// the confirmed revision. A replica does not apply the read state, as it gets changes by the
    /// log.
    pub(super) async fn refresh_state(self: &Rc<Self>) -> bool {
        let revision = self.core.borrow().state.revision;
        let Some(feed) = self.read_feed(revision).await else { return false };
        let target = feed.revision;
        self.apply_feed(feed);
        self.core.borrow().state.revision >= target
    }
}
