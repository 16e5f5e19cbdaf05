//! Membership changes: learners, and adding or removing one voter at a time.

use super::{Replica, Role};
use crate::{Action, Config, Entry, Members, Options, Payload, Position, ReplicaId};
use lycheehub_types::InstanceName;

/// A membership change that brings the voters closer to the live replicas.
enum Change {
    Add(ReplicaId, InstanceName),
    Remove(ReplicaId),
}

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

    /// Reconciles the voters with the known replicas, one membership change at a time.
    ///
    /// A live replica that is not a voter is a learner until it has caught up. If its instance has an
    /// earlier replica among the voters, that one has lost its disk and is removed first. Otherwise the
    /// learner becomes a voter or, at the maximum number of voters, takes the place of one that stops or
    /// is silent. That one leaves only after its successor has joined: it may still be needed, and one
    /// that was only out of reach may come back.
    pub fn reconcile_voters(&mut self, now_ms: u64, members: &Members) -> Vec<Action> {
        if !self.is_established() {
            return Vec::new();
        }
        let voters = &self.log.config().voters;
        let learners: Vec<ReplicaId> =
            members.live.keys().filter(|id| !voters.contains_key(id)).copied().collect();
        self.set_learners(learners);
        let change = self.due_change(now_ms, members);
        match change.filter(|change| self.can_commit(now_ms, change)) {
            Some(Change::Add(id, name)) => self.add_voter(now_ms, id, name),
            Some(Change::Remove(id)) => self.remove_voter(now_ms, id),
            None => Vec::new(),
        }
    }

    /// Returns true if a quorum of the voters after the change replies. Otherwise the change might
    /// never be committed, and the voters before it no longer count.
    fn can_commit(&self, now_ms: u64, change: &Change) -> bool {
        let mut config = self.log.config().clone();
        match change {
            Change::Add(id, name) => drop(config.voters.insert(*id, name.clone())),
            Change::Remove(id) => drop(config.voters.remove(id)),
        }
        let replies = |id: &&ReplicaId| **id == self.id || self.replies(now_ms, **id);
        config.voters.keys().filter(replies).count() >= config.quorum()
    }

    fn due_change(&self, now_ms: u64, members: &Members) -> Option<Change> {
        let config = self.log.config();
        let superseded = self.superseded_voter(members);
        let leaving = superseded
            .or_else(|| self.stopping_voter(members))
            .or_else(|| self.silent_voter(now_ms));
        if config.voters.len() > self.options.voters_max {
            return leaving.map(Change::Remove);
        }
        let can_join = |id| self.is_caught_up(id) && self.replies(now_ms, id);
        let Some((id, name)) = members.successors(config).find(|(id, _)| can_join(*id)) else {
            return leaving.filter(|_| self.has_surplus_voter()).map(Change::Remove);
        };
        if let Some(superseded) = superseded {
            return Some(Change::Remove(superseded));
        }
        let has_room = config.voters.len() < self.options.voters_max;
        (has_room || leaving.is_some()).then(|| Change::Add(id, name.clone()))
    }

    /// Returns true if as many losses can be borne without one of the voters: there are more than the
    /// maximum, or their number is even and above the minimum.
    fn has_surplus_voter(&self) -> bool {
        let Options { voters_min, voters_max, .. } = self.options;
        let voters = self.log.config().voters.len();
        voters > voters_max || (voters > voters_min && voters.is_multiple_of(2))
    }

    /// Returns a voter that has lost its disk: its instance runs another replica now.
    fn superseded_voter(&self, members: &Members) -> Option<ReplicaId> {
        let config = self.log.config();
        let mut voters = config.voters.iter();
        voters
            .find(|(_, instance)| members.successors(config).any(|(_, name)| name == *instance))
            .map(|(id, _)| *id)
    }

    /// Returns another voter that stops.
    fn stopping_voter(&self, members: &Members) -> Option<ReplicaId> {
        self.other_voters().find(|id| members.stopping.contains(id))
    }

    /// Returns the voter that has been silent for the longest time.
    fn silent_voter(&self, now_ms: u64) -> Option<ReplicaId> {
        let silent = self.other_voters().filter(|id| self.is_silent(now_ms, *id));
        silent.min_by_key(|id| self.leader_state.progress.get(id).map(|known| known.last_reply_ms))
    }

    /// Returns true if a replica has left several heartbeats of this leader without a reply. Both their
    /// number and the time count: a leader that was paused itself has sent none meanwhile.
    fn is_silent(&self, now_ms: u64, id: ReplicaId) -> bool {
        let heartbeats = self.options.silent_heartbeats;
        let progress = self.leader_state.progress.get(&id);
        progress.is_some_and(|progress| {
            self.leader_state.round >= progress.acked_round + heartbeats
                && now_ms > progress.last_reply_ms + self.options.heartbeat_ms * heartbeats
        })
    }

    /// Returns true if a replica has replied to this leader, and is not silent.
    pub(super) fn replies(&self, now_ms: u64, id: ReplicaId) -> bool {
        let progress = self.leader_state.progress.get(&id);
        progress.is_some_and(|progress| progress.acked_round > 0) && !self.is_silent(now_ms, id)
    }

    fn other_voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.log.config().voters.keys().copied().filter(|id| *id != self.id)
    }

    /// Returns true if this replica, which is about to stop, should keep running: it is a voter, and
    /// the leader removes it or lets a live replica take its place.
    ///
    /// It waits until it knows that its removal is committed. Until then a quorum may need it: beside
    /// its successor it is one of an even number of voters, and an entry that is not committed may be
    /// lost with the leader.
    pub fn awaits_replacement(&self, members: &Members) -> bool {
        let newest = self.log.config();
        if !newest.is_voter(self.id) {
            return self.log.config_at(self.commit).is_voter(self.id);
        }
        self.has_surplus_voter() || members.successors(newest).next().is_some()
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

    /// Removes a voter; does nothing if it is the last one. It remains a learner for now, so that it
    /// learns of its removal.
    pub fn remove_voter(&mut self, now_ms: u64, id: ReplicaId) -> Vec<Action> {
        let mut config = self.log.config().clone();
        config.voters.remove(&id);
        if config.voters.is_empty() {
            return Vec::new();
        }
        self.learners.insert(id);
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
