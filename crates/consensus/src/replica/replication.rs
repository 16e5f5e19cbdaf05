//! Replication: heartbeats, entries, snapshots and the commit index.

use super::{Progress, Replica, Role};
use crate::{Action, Entry, Message, Options, Payload, Position, ReplicaId, Snapshot};

/// How many rounds a leader remembers the sending time of.
const ROUNDS_KEPT: usize = 128;

impl Progress {
    /// Tells whether entries were sent of late and are not answered yet.
    fn is_waiting(&self, now_ms: u64, options: &Options) -> bool {
        const LOST_AFTER_HEARTBEATS: u64 = 5;
        let lost_after_ms = options.heartbeat_ms * LOST_AFTER_HEARTBEATS;
        self.in_flight_since_ms > 0 && now_ms < self.in_flight_since_ms + lost_after_ms
    }
}

impl Replica {
    /// Appends a command as the leader; returns its position, or nothing where this replica does
    /// not lead.
    pub fn propose(&mut self, now_ms: u64, command: Vec<u8>) -> (Option<Position>, Vec<Action>) {
        self.propose_all(now_ms, vec![command])
            .map_or((None, Vec::new()), |(first, actions)| (Some(first), actions))
    }

    /// Appends several commands with one durable write; returns the first one's position.
    pub fn propose_all(
        &mut self,
        now_ms: u64,
        commands: Vec<Vec<u8>>,
    ) -> Option<(Position, Vec<Action>)> {
        if self.role != Role::Leader || self.leading.handing_over || commands.is_empty() {
            return None;
        }
        let first = Position { term: self.vote.term, index: self.log.last().index + 1 };
        let entry = |(offset, data): (usize, Vec<u8>)| Entry {
            position: Position { term: first.term, index: first.index + offset as u64 },
            payload: Payload::Command(data),
        };
        self.append_own(commands.into_iter().enumerate().map(entry).collect());
        for to in self.followers() {
            if !self.is_waiting_for(now_ms, to) {
                self.replicate(now_ms, to);
            }
        }
        self.note_quorum(now_ms);
        self.advance_commit();
        Some((first, self.take()))
    }

    pub(super) fn append_own(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.log.append(entry.clone());
        }
        self.out.push(Action::Append(entries));
    }

    /// Returns all replicas that the leader sends to.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        let voters = self.log.config().voters.keys();
        voters.chain(&self.observers).copied().filter(|id| *id != self.id).collect()
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        self.note_quorum(now_ms);
        if now_ms.saturating_sub(self.leading.quorum_seen_ms) > self.options.election_max_ms {
            let term = self.vote.term;
            return self.become_follower(term);
        }
        if now_ms.saturating_sub(self.leading.heartbeat_sent_ms) >= self.options.heartbeat_ms {
            self.broadcast(now_ms);
        }
    }

    /// Starts a heartbeat round with all that each follower lacks.
    pub(super) fn broadcast(&mut self, now_ms: u64) {
        self.leading.round += 1;
        self.leading.heartbeat_sent_ms = now_ms;
        self.leading.round_sent_ms.insert(self.leading.round, now_ms);
        while self.leading.round_sent_ms.len() > ROUNDS_KEPT {
            self.leading.round_sent_ms.pop_first();
        }
        for to in self.followers() {
            self.replicate(now_ms, to);
        }
        self.note_quorum(now_ms);
        self.advance_commit();
    }

    /// Tells whether `to` has not yet answered the entries sent to it; more follow its answer.
    fn is_waiting_for(&self, now_ms: u64, to: ReplicaId) -> bool {
        let progress = self.leading.progress.get(&to);
        progress.is_some_and(|progress| progress.is_waiting(now_ms, &self.options))
    }

    fn replicate(&mut self, now_ms: u64, to: ReplicaId) {
        let next_index = self.log.last().index + 1;
        let fresh = Progress { next: next_index, answered_ms: now_ms, ..Progress::default() };
        let progress = self.leading.progress.entry(to).or_insert(fresh);
        let previous_index = progress.next.saturating_sub(1);
        let waiting = progress.is_waiting(now_ms, &self.options);
        let (term, round) = (self.vote.term, self.leading.round);
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.send_snapshot(now_ms, to, waiting);
        };
        let entries = if waiting {
            Vec::new()
        } else {
            self.log.slice_after(previous_index, self.options.append_max_bytes)
        };
        if !entries.is_empty() {
            progress.in_flight_since_ms = now_ms.max(1);
            progress.in_flight_round = round;
        }
        let previous = Position { term: previous_term, index: previous_index };
        self.send(to, Message::Append { term, previous, entries, commit: self.commit, round });
    }

    fn send_snapshot(&mut self, now_ms: u64, to: ReplicaId, waiting: bool) {
        let (term, round) = (self.vote.term, self.leading.round);
        if waiting {
            let previous = Position::default();
            let heartbeat =
                Message::Append { term, previous, entries: Vec::new(), commit: 0, round };
            return self.send(to, heartbeat);
        }
        if let Some(progress) = self.leading.progress.get_mut(&to) {
            progress.in_flight_since_ms = now_ms.max(1);
            progress.in_flight_round = round;
        }
        let snapshot = self.log.snapshot.clone();
        self.send(to, Message::Install { term, snapshot, round });
    }

    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        term: u64,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if term < self.vote.term {
            let index = self.log.last().index;
            let reply =
                Message::AppendReply { term: self.vote.term, accepted: false, index, round };
            return self.send(from, reply);
        }
        let covered = previous.index < self.log.snapshot.position.index;
        if !covered && self.log.term_at(previous.index) != Some(previous.term) {
            let index = self.log.last().index.min(previous.index.saturating_sub(1));
            return self.send(from, Message::AppendReply { term, accepted: false, index, round });
        }
        let matched = previous.index + entries.len() as u64;
        self.store_new(entries);
        self.commit_to(commit.min(matched));
        self.send(from, Message::AppendReply { term, accepted: true, index: matched, round });
    }

    /// Stores the entries that the log does not hold, replacing those that differ.
    fn store_new(&mut self, entries: Vec<Entry>) {
        let covered = self.log.snapshot.position.index;
        let mut new = entries.into_iter().filter(|entry| entry.position.index > covered).peekable();
        while let Some(entry) = new.peek() {
            if self.log.term_at(entry.position.index) != Some(entry.position.term) {
                break;
            }
            new.next();
        }
        let new: Vec<Entry> = new.collect();
        let Some(first) = new.first() else { return };
        self.log.truncate_from(first.position.index);
        for entry in &new {
            self.log.append(entry.clone());
        }
        self.out.push(Action::Append(new));
    }

    pub(super) fn on_install(
        &mut self,
        from: ReplicaId,
        term: u64,
        snapshot: Snapshot,
        round: u64,
    ) {
        if term < self.vote.term {
            let reply =
                Message::AppendReply { term: self.vote.term, accepted: false, index: 0, round };
            return self.send(from, reply);
        }
        let index = snapshot.position.index;
        if index > self.commit {
            let reset = self.log.install(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.out.push(Action::SaveSnapshot { snapshot: snapshot.clone(), reset });
            self.out.push(Action::Restore(snapshot));
        }
        self.send(from, Message::AppendReply { term, accepted: true, index, round });
    }

    pub(super) fn on_append_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        accepted: bool,
        index: u64,
        round: u64,
    ) {
        if term > self.vote.term {
            return self.become_follower(term);
        }
        if self.role != Role::Leader || term < self.vote.term {
            return;
        }
        let last_index = self.log.last().index;
        let Some(progress) = self.leading.progress.get_mut(&from) else { return };
        progress.acked_round = progress.acked_round.max(round);
        progress.answered_ms = now_ms;
        if round >= progress.in_flight_round {
            progress.in_flight_since_ms = 0;
        }
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).min(progress.next).max(progress.matched + 1);
        }
        let lacks = progress.next <= last_index;
        self.note_quorum(now_ms);
        self.advance_commit();
        if lacks && self.role == Role::Leader {
            self.replicate(now_ms, from);
        }
    }

    /// Notes when a quorum was last known to follow, and answers the reads that it covers.
    pub(super) fn note_quorum(&mut self, now_ms: u64) {
        let round =
            self.quorum_value(|replica| replica.leading.round, |progress| progress.acked_round);
        if round == self.leading.round && self.log.config().quorum() == 1 {
            self.leading.quorum_seen_ms = now_ms;
        } else if let Some(sent_ms) = self.leading.round_sent_ms.get(&round) {
            self.leading.quorum_seen_ms = self.leading.quorum_seen_ms.max(*sent_ms);
        }
        self.release_reads(round);
    }

    /// Returns the highest value that a quorum of voters has reached.
    fn quorum_value(&self, own: impl Fn(&Self) -> u64, of: impl Fn(&Progress) -> u64) -> u64 {
        let config = self.log.config();
        let value = |id: &ReplicaId| {
            if *id == self.id { own(self) } else { self.leading.progress.get(id).map_or(0, &of) }
        };
        let mut values: Vec<u64> = config.voters.keys().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(config.quorum() - 1).copied().unwrap_or(0)
    }

    pub(super) fn advance_commit(&mut self) {
        let index =
            self.quorum_value(|replica| replica.log.last().index, |progress| progress.matched);
        if index > self.commit && self.log.term_at(index) == Some(self.vote.term) {
            self.commit_to(index);
            self.step_down_if_removed();
        }
    }

    fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last().index));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            self.out.push(Action::Apply(entry));
        }
    }
}
