//! Elections: pre-vote, vote and leadership transfer.

use super::{LeaderState, Progress, Replica, Role};
use crate::{Action, Entry, Message, Payload, Position, ReplicaId};

impl Replica {
    pub(super) fn tick_follower(&mut self, now_ms: u64) {
        if !self.log.config().is_voter(self.id) {
            return;
        }
        let since_ms = match self.role {
            Role::Follower => self.leader_contact_ms.unwrap_or(self.started_ms),
            _ => self.campaign_started_ms,
        };
        if now_ms.saturating_sub(since_ms) < self.election_timeout_ms {
            return;
        }
        self.randomize_election_timeout();
        self.start_pre_vote(now_ms);
    }

    fn start_pre_vote(&mut self, now_ms: u64) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.campaign_started_ms = now_ms;
        self.granted_by = [self.id].into();
        if self.has_won() {
            return self.campaign(now_ms, false);
        }
        let message = Message::PreVote { term: self.vote.term + 1, last: self.log.last() };
        self.send_to_voters(&message);
    }

    fn campaign(&mut self, now_ms: u64, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.campaign_started_ms = now_ms;
        self.vote.term += 1;
        self.vote.voted_for = Some(self.id);
        self.actions.push(Action::SaveVote(self.vote));
        self.granted_by = [self.id].into();
        if self.has_won() {
            return self.become_leader(now_ms);
        }
        let last = self.log.last();
        self.send_to_voters(&Message::RequestVote { term: self.vote.term, last, transfer });
    }

    fn send_to_voters(&mut self, message: &Message) {
        let voters: Vec<ReplicaId> = self.log.config().voters.keys().copied().collect();
        for to in voters {
            if to != self.id {
                self.send(to, message.clone());
            }
        }
    }

    fn has_won(&self) -> bool {
        let config = self.log.config();
        self.granted_by.iter().filter(|id| config.is_voter(**id)).count() >= config.quorum()
    }

    /// Returns true if this replica leads, or if its last leader contact is more recent than the
    /// minimum election timeout. Granting a vote then could break a leader's lease.
    fn must_withhold_vote(&self, now_ms: u64) -> bool {
        self.role == Role::Leader
            || self.leader_contact_ms.is_some_and(|contact_ms| {
                now_ms < contact_ms.saturating_add(self.options.election_min_ms)
            })
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, now_ms: u64, from: ReplicaId, term: u64, last: Position) {
        let granted =
            term > self.vote.term && !self.must_withhold_vote(now_ms) && self.is_up_to_date(last);
        let reply_term = if granted { term } else { self.vote.term };
        self.send(from, Message::PreVoteReply { term: reply_term, granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        granted: bool,
    ) {
        if !granted {
            if term > self.vote.term {
                self.become_follower(term);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.vote.term + 1 {
            return;
        }
        self.granted_by.insert(from);
        if self.has_won() {
            self.campaign(now_ms, false);
        }
    }

    pub(super) fn on_request_vote(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        last: Position,
        transfer: bool,
    ) {
        if term < self.vote.term || (!transfer && self.must_withhold_vote(now_ms)) {
            let reply = Message::VoteReply { term: self.vote.term, granted: false };
            return self.send(from, reply);
        }
        if term > self.vote.term {
            self.become_follower(term);
        }
        let can_vote = self.vote.voted_for.is_none_or(|id| id == from);
        let granted = can_vote && self.is_up_to_date(last);
        if granted {
            self.role = Role::Follower;
            self.vote.voted_for = Some(from);
            self.actions.push(Action::SaveVote(self.vote));
            self.leader_contact_ms = Some(now_ms);
        }
        self.send(from, Message::VoteReply { term: self.vote.term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, now_ms: u64, from: ReplicaId, term: u64, granted: bool) {
        if term > self.vote.term {
            return self.become_follower(term);
        }
        if self.role != Role::Candidate || term != self.vote.term || !granted {
            return;
        }
        self.granted_by.insert(from);
        if self.has_won() {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        let last = self.log.last();
        let first = Position { term: self.vote.term, index: last.index + 1 };
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_state =
            LeaderState { first, quorum_contact_ms: now_ms, ..LeaderState::default() };
        for id in self.followers() {
            let progress =
                Progress { next: first.index, last_reply_ms: now_ms, ..Progress::default() };
            self.leader_state.progress.insert(id, progress);
        }
        self.actions.push(Action::BecameLeader(first));
        self.append_as_leader(vec![Entry { position: first, payload: Payload::Noop }]);
        self.broadcast(now_ms);
    }

    /// Steps down and asks the voter with the most complete log to campaign.
    ///
    /// The lease ends before the successor is asked to campaign.
    pub fn transfer_leadership(&mut self, _now_ms: u64) -> Vec<Action> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let config = self.log.config().clone();
        let voters = self.leader_state.progress.iter().filter(|(id, _)| config.is_voter(**id));
        let successor = voters.max_by_key(|(_, progress)| progress.matched).map(|(id, _)| *id);
        let term = self.vote.term;
        self.leader_state.transferring_leadership = true;
        self.become_follower(term);
        if let Some(successor) = successor {
            self.send(successor, Message::CampaignNow { term });
        }
        self.take_actions()
    }

    pub(super) fn on_campaign_now(&mut self, now_ms: u64, term: u64) {
        let is_voter = self.log.config().is_voter(self.id);
        if term == self.vote.term && self.role != Role::Leader && is_voter {
            self.campaign(now_ms, true);
        }
    }
}
