//! Membership: observers, and adding or removing one voter at a time.

use super::{Replica, Role};
use crate::{Action, Config, Entry, Payload, Position, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// The most voters.
const VOTERS_MAX: usize = 5;
/// How long a voter may be silent before another replica takes its place, in milliseconds: longer
/// than a restart takes.
const VOTER_SILENT_MS: u64 = 5_000;

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

    /// Brings the voters in line with the replicas that are live.
    ///
    /// A live replica without a vote observes until it has caught up. Then it takes the place of
    /// its instance's lost replica, whose vote goes first, or becomes a further voter; where there
    /// are as many as there may be, it takes the place of one that has been silent for long. One
    /// step is taken at a time.
    pub fn maintain(
        &mut self,
        now_ms: u64,
        live: &BTreeMap<ReplicaId, InstanceName>,
    ) -> Vec<Action> {
        if !self.is_established() {
            return Vec::new();
        }
        let voters = self.log.config().voters.clone();
        self.observe(live.keys().filter(|id| !voters.contains_key(id)).copied());
        let caught_up = |(id, _): &(&ReplicaId, &InstanceName)| {
            !voters.contains_key(id) && self.is_caught_up(**id)
        };
        let Some((id, name)) = live.iter().find(caught_up) else { return Vec::new() };
        let lost = voters.iter().find(|(_, instance)| *instance == name);
        match lost {
            Some((lost, _)) => self.remove_voter(now_ms, *lost),
            None if voters.len() < VOTERS_MAX => self.add_voter(now_ms, *id, name.clone()),
            None => {
                self.silent_voter(now_ms).map_or_else(Vec::new, |id| self.remove_voter(now_ms, id))
            }
        }
    }

    /// Returns the voter that has been silent for longest, if it was for too long.
    fn silent_voter(&self, now_ms: u64) -> Option<ReplicaId> {
        let others = self.log.config().voters.keys().filter(|id| **id != self.id);
        let answered = others.map(|id| {
            let progress = self.leading.progress.get(id);
            (progress.map_or(now_ms, |progress| progress.answered_ms), *id)
        });
        let (answered_ms, id) = answered.min()?;
        (now_ms >= answered_ms + VOTER_SILENT_MS).then_some(id)
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
