//! Membership changes: learners, and adding or removing one voter at a time.

use super::{Replica, Role};
use crate::{Action, Config, Entry, Payload, Position, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// The maximum number of voters.
const VOTERS_MAX: usize = 5;
/// How long a voter may fail to reply before another replica replaces it, in milliseconds. It is
/// longer than a restart takes.
const VOTER_UNRESPONSIVE_MS: u64 = 5_000;

impl Replica {
    /// Sets the learners, which receive the log but do not vote.
    pub fn set_learners(&mut self, learners: impl IntoIterator<Item = ReplicaId>) {
        self.learners = learners.into_iter().collect();
        let known = self.followers();
        if self.role == Role::Leader {
            self.leader_state.progress.retain(|id, _| known.contains(id));
        }
    }

    /// Returns true if `id` is known to hold every committed entry.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.leader_state.progress.get(&id).is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Reconciles the voters with the live replicas, one membership change at a time.
    ///
    /// A live replica that is not a voter is a learner until it has caught up. If its instance has an
    /// earlier replica among the voters, that one is removed first. Otherwise the learner becomes a
    /// voter or, at the maximum number of voters, a voter that has been unresponsive for too long is
    /// removed to make room.
    pub fn reconcile_voters(
        &mut self,
        now_ms: u64,
        live: &BTreeMap<ReplicaId, InstanceName>,
    ) -> Vec<Action> {
        if !self.is_established() {
            return Vec::new();
        }
        let voters = self.log.config().voters.clone();
        self.set_learners(live.keys().filter(|id| !voters.contains_key(id)).copied());
        let caught_up = |(id, _): &(&ReplicaId, &InstanceName)| {
            !voters.contains_key(id) && self.is_caught_up(**id)
        };
        let Some((id, name)) = live.iter().find(caught_up) else { return Vec::new() };
        let replaced = voters.iter().find(|(_, instance)| *instance == name);
        match replaced {
            Some((replaced, _)) => self.remove_voter(now_ms, *replaced),
            None if voters.len() < VOTERS_MAX => self.add_voter(now_ms, *id, name.clone()),
            None => self
                .unresponsive_voter(now_ms)
                .map_or_else(Vec::new, |id| self.remove_voter(now_ms, id)),
        }
    }

    /// Returns the voter that has not replied for the longest time, if that time exceeds the limit.
    fn unresponsive_voter(&self, now_ms: u64) -> Option<ReplicaId> {
        let others = self.log.config().voters.keys().filter(|id| **id != self.id);
        let last_replies = others.map(|id| {
            let progress = self.leader_state.progress.get(id);
            (progress.map_or(now_ms, |progress| progress.last_reply_ms), *id)
        });
        let (last_reply_ms, id) = last_replies.min()?;
        (now_ms >= last_reply_ms + VOTER_UNRESPONSIVE_MS).then_some(id)
    }

    /// Promotes a learner to a voter; does nothing unless it holds every committed entry.
    pub fn add_voter(&mut self, now_ms: u64, id: ReplicaId, name: InstanceName) -> Vec<Action> {
        if !self.is_caught_up(id) {
            return Vec::new();
        }
        let mut config = self.log.config().clone();
        config.voters.insert(id, name);
        self.change_config(now_ms, config)
    }

    /// Removes a voter; does nothing if it is the last one.
    pub fn remove_voter(&mut self, now_ms: u64, id: ReplicaId) -> Vec<Action> {
        let mut config = self.log.config().clone();
        config.voters.remove(&id);
        if config.voters.is_empty() {
            return Vec::new();
        }
        self.change_config(now_ms, config)
    }

    /// Appends `config` if this leader is established and no other membership change is in progress.
    fn change_config(&mut self, now_ms: u64, config: Config) -> Vec<Action> {
        let pending = self.log.config_entry().is_some_and(|(index, _)| index > self.commit);
        if pending || !self.is_established() || config == *self.log.config() {
            return Vec::new();
        }
        let position = Position { term: self.vote.term, index: self.log.last().index + 1 };
        self.append_as_leader(vec![Entry { position, payload: Payload::Config(config) }]);
        self.broadcast(now_ms);
        self.take_actions()
    }

    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.config_entry().is_none_or(|(index, _)| index <= self.commit);
        if committed && !self.log.config().is_voter(self.id) {
            let term = self.vote.term;
            self.become_follower(term);
        }
    }
}
