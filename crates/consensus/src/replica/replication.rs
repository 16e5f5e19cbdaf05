//! Replication of entries and snapshots, heartbeats, and the commit index.

use super::{Progress, Replica, Role};
use crate::{Action, Entry, Message, Options, Payload, Position, ReplicaId, Snapshot};

/// The maximum number of heartbeat rounds whose send times a leader keeps.
const TRACKED_ROUNDS_MAX: usize = 128;

impl Progress {
    /// Returns true if entries or a snapshot await a reply and were sent too recently to be resent.
    fn is_awaiting_reply(&self, now_ms: u64, options: &Options) -> bool {
        const RESEND_AFTER_HEARTBEATS: u64 = 5;
        let resend_after_ms = options.heartbeat_ms * RESEND_AFTER_HEARTBEATS;
        self.in_flight_since_ms > 0 && now_ms < self.in_flight_since_ms + resend_after_ms
    }
}

impl Replica {
    /// Appends a command as the leader; returns its position, or `None` if this replica does not
    /// accept proposals.
    pub fn propose(&mut self, now_ms: u64, command: Vec<u8>) -> (Option<Position>, Vec<Action>) {
        self.propose_all(now_ms, vec![command])
            .map_or((None, Vec::new()), |(first, actions)| (Some(first), actions))
    }

    /// Appends several commands with one durable write; returns the first one's position, or `None`
    /// if this replica does not accept proposals.
    pub fn propose_all(
        &mut self,
        now_ms: u64,
        commands: Vec<Vec<u8>>,
    ) -> Option<(Position, Vec<Action>)> {
        if self.role != Role::Leader
            || self.leader_state.transferring_leadership
            || commands.is_empty()
        {
            return None;
        }
        let first = Position { term: self.vote.term, index: self.log.last().index + 1 };
        let entry = |(offset, data): (usize, Vec<u8>)| Entry {
            position: Position { term: first.term, index: first.index + offset as u64 },
            payload: Payload::Command(data),
        };
        self.append_as_leader(commands.into_iter().enumerate().map(entry).collect());
        for to in self.followers() {
            if !self.is_awaiting_reply_from(now_ms, to) {
                self.replicate(now_ms, to);
            }
        }
        self.update_quorum_contact(now_ms);
        self.advance_commit();
        Some((first, self.take_actions()))
    }

    pub(super) fn append_as_leader(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.log.append(entry.clone());
        }
        self.actions.push(Action::Append(entries));
    }

    /// Returns the replicas that the leader replicates to: the other voters and the learners.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        let voters = &self.log.config().voters;
        let learners = self.learners.iter().filter(|id| !voters.contains_key(id));
        voters.keys().chain(learners).copied().filter(|id| *id != self.id).collect()
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        self.update_quorum_contact(now_ms);
        if now_ms.saturating_sub(self.leader_state.quorum_contact_ms) > self.options.election_max_ms
        {
            let term = self.vote.term;
            return self.become_follower(term);
        }
        if now_ms.saturating_sub(self.leader_state.heartbeat_sent_ms) >= self.options.heartbeat_ms {
            self.broadcast(now_ms);
        }
    }

    /// Starts a heartbeat round that also sends each follower the entries it is missing.
    pub(super) fn broadcast(&mut self, now_ms: u64) {
        self.leader_state.round += 1;
        self.leader_state.heartbeat_sent_ms = now_ms;
        self.leader_state.round_sent_ms.insert(self.leader_state.round, now_ms);
        while self.leader_state.round_sent_ms.len() > TRACKED_ROUNDS_MAX {
            self.leader_state.round_sent_ms.pop_first();
        }
        for to in self.followers() {
            self.replicate(now_ms, to);
        }
        self.update_quorum_contact(now_ms);
        self.advance_commit();
    }

    /// Returns true if `to` has yet to reply to the last entries; its reply triggers the next ones.
    fn is_awaiting_reply_from(&self, now_ms: u64, to: ReplicaId) -> bool {
        let progress = self.leader_state.progress.get(&to);
        progress.is_some_and(|progress| progress.is_awaiting_reply(now_ms, &self.options))
    }

    fn replicate(&mut self, now_ms: u64, to: ReplicaId) {
        let next_index = self.log.last().index + 1;
        let initial = Progress { next: next_index, last_reply_ms: now_ms, ..Progress::default() };
        let progress = self.leader_state.progress.entry(to).or_insert(initial);
        let previous_index = progress.next.saturating_sub(1);
        let awaiting_reply = progress.is_awaiting_reply(now_ms, &self.options);
        let (term, round) = (self.vote.term, self.leader_state.round);
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.send_snapshot(now_ms, to, awaiting_reply);
        };
        let entries = if awaiting_reply {
            Vec::new()
        } else {
            self.log.entries_after(previous_index, self.options.append_max_bytes)
        };
        if !entries.is_empty() {
            progress.in_flight_since_ms = now_ms.max(1);
            progress.in_flight_round = round;
        }
        let previous = Position { term: previous_term, index: previous_index };
        self.send(to, Message::Append { term, previous, entries, commit: self.commit, round });
    }

    fn send_snapshot(&mut self, now_ms: u64, to: ReplicaId, awaiting_reply: bool) {
        let (term, round) = (self.vote.term, self.leader_state.round);
        if awaiting_reply {
            let previous = Position::default();
            let heartbeat =
                Message::Append { term, previous, entries: Vec::new(), commit: 0, round };
            return self.send(to, heartbeat);
        }
        if let Some(progress) = self.leader_state.progress.get_mut(&to) {
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
        let is_covered = previous.index < self.log.snapshot.position.index;
        if !is_covered && self.log.term_at(previous.index) != Some(previous.term) {
            let index = self.log.last().index.min(previous.index.saturating_sub(1));
            return self.send(from, Message::AppendReply { term, accepted: false, index, round });
        }
        let matched = previous.index + entries.len() as u64;
        self.append_missing(entries);
        self.commit_to(commit.min(matched));
        self.send(from, Message::AppendReply { term, accepted: true, index: matched, round });
    }

    /// Appends the entries that the log is missing, replacing those that conflict.
    fn append_missing(&mut self, entries: Vec<Entry>) {
        let covered_index = self.log.snapshot.position.index;
        let mut new =
            entries.into_iter().filter(|entry| entry.position.index > covered_index).peekable();
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
        self.actions.push(Action::Append(new));
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
        if index > self.applied {
            if !self.log.can_restore(&snapshot) {
                // No reply: to the leader this replica is one that does not take the snapshot.
                return self.report_unknown(Action::UnknownSnapshot { index }, index);
            }
            let reset = self.log.install_snapshot(snapshot.clone());
            self.commit = self.commit.max(index).min(self.log.last().index);
            self.applied = index;
            self.actions.push(Action::SaveSnapshot { snapshot: snapshot.clone(), reset });
            self.actions.push(Action::Restore(snapshot));
            self.commit_to(self.commit);
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
        let Some(progress) = self.leader_state.progress.get_mut(&from) else { return };
        progress.acked_round = progress.acked_round.max(round);
        progress.last_reply_ms = now_ms;
        if round >= progress.in_flight_round {
            progress.in_flight_since_ms = 0;
        }
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).min(progress.next).max(progress.matched + 1);
        }
        let is_behind = progress.next <= last_index;
        self.update_quorum_contact(now_ms);
        self.advance_commit();
        if is_behind && self.role == Role::Leader {
            self.replicate(now_ms, from);
        }
    }

    /// Updates the time of the last contact with a quorum, which renews the lease, and completes the
    /// reads that the acknowledged round confirms.
    pub(super) fn update_quorum_contact(&mut self, now_ms: u64) {
        let round = self
            .quorum_value(|replica| replica.leader_state.round, |progress| progress.acked_round);
        if round == self.leader_state.round && self.log.config().quorum() == 1 {
            self.leader_state.quorum_contact_ms = now_ms;
        } else if let Some(sent_ms) = self.leader_state.round_sent_ms.get(&round) {
            self.leader_state.quorum_contact_ms = self.leader_state.quorum_contact_ms.max(*sent_ms);
        }
        self.complete_reads(round);
    }

    /// Returns the highest value that a quorum of voters has reached, with `own` for this replica and
    /// `of` for the others.
    fn quorum_value(&self, own: impl Fn(&Self) -> u64, of: impl Fn(&Progress) -> u64) -> u64 {
        let config = self.log.config();
        let value = |id: &ReplicaId| {
            if *id == self.id {
                own(self)
            } else {
                self.leader_state.progress.get(id).map_or(0, &of)
            }
        };
        let mut values: Vec<u64> = config.voters.keys().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(config.quorum() - 1).copied().unwrap_or(0)
    }

    /// Commits up to the highest index that a quorum holds, if that entry is of the current term.
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
            let next = self.applied + 1;
            if self.log.first_unknown() == Some(next) {
                return self.report_unknown(Action::UnknownCommand { index: next }, next);
            }
            let Some(entry) = self.log.get(next).cloned() else { return };
            self.applied = next;
            self.actions.push(Action::Apply(entry));
        }
    }

    /// Reports once what this build does not know.
    fn report_unknown(&mut self, unknown: Action, index: u64) {
        if self.reported_unknown != index {
            self.reported_unknown = index;
            self.actions.push(unknown);
        }
    }
}
