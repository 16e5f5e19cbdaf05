//! Membership: observers, and adding or removing one voter at a time.

use super::{Replica, Role};
use crate::{Action, Config, Entry, Payload, Position, ReplicaId};
use lycheehub_types::InstanceName;

impl Replica {
    /// Sets the replicas that get the log without a vote.
    pub fn observe(&mut self, observers: impl IntoIterator<Item = ReplicaId>) {
        self.observers = observers.into_iter().collect();
        let known = self.followers();
        if self.role == Role::Leader {
            self.leading.progress.retain(|id, _| known.contains(id));
        }
    }

    /// Tells whether `id` holds all that is committed.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.leading.progress.get(&id).is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Makes an observer a voter, once it holds all that is committed.
    pub fn add_voter(&mut self, now_ms: u64, id: ReplicaId, name: InstanceName) -> Vec<Action> {
        if !self.is_caught_up(id) {
            return Vec::new();
        }
        let mut config = self.log.config().clone();
        config.voters.insert(id, name);
        self.change_config(now_ms, config)
    }

    /// Takes a voter's vote away.
    pub fn remove_voter(&mut self, now_ms: u64, id: ReplicaId) -> Vec<Action> {
        let mut config = self.log.config().clone();
        config.voters.remove(&id);
        if config.voters.is_empty() {
            return Vec::new();
        }
        self.change_config(now_ms, config)
    }

    /// Appends `config` where no other change is under way and this leader is established.
    fn change_config(&mut self, now_ms: u64, config: Config) -> Vec<Action> {
        let pending = self.log.config_entry().is_some_and(|(index, _)| index > self.commit);
        if pending || !self.is_established() || config == *self.log.config() {
            return Vec::new();
        }
        let position = Position { term: self.vote.term, index: self.log.last().index + 1 };
        self.append_own(vec![Entry { position, payload: Payload::Config(config) }]);
        self.broadcast(now_ms);
        self.take()
    }

    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.config_entry().is_none_or(|(index, _)| index <= self.commit);
        if committed && !self.log.config().is_voter(self.id) {
            let term = self.vote.term;
            self.become_follower(term);
        }
    }
}
