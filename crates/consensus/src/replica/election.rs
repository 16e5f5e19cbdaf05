//! Elections: pre-vote, vote and leadership transfer.

use super::{LeaderState, Progress, Replica, Role};
use crate::{Action, Entry, Members, Message, Payload, Position, ReplicaId};

impl Replica {
    pub(super) fn tick_follower(&mut self, now_ms: u64) {
        if !self.may_lead() {
            return;
        }
        if now_ms.saturating_sub(self.timeout_began_ms) < self.election_timeout_ms {
            return;
        }
        if self.role != Role::Follower {
            self.report_lost_election();
        }
        self.start_pre_vote(now_ms);
    }

    /// Returns true if this replica is a voter and could apply every entry of its log.
    fn may_lead(&self) -> bool {
        self.log.config().is_voter(self.id) && self.log.first_unknown().is_none()
    }

    /// Reports that the votes asked for did not suffice.
    fn report_lost_election(&mut self) {
        self.actions.push(Action::ElectionLost {
            term: self.vote.term,
            is_pre_vote: self.role == Role::PreCandidate,
            granted: self.votes(),
            refused: self.refused_by.len(),
            needed: self.log.config().quorum(),
        });
    }

    fn start_pre_vote(&mut self, now_ms: u64) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.ask_for_votes(now_ms);
        if self.has_won() {
            return self.campaign(now_ms, false);
        }
        let message = Message::PreVote { term: self.vote.term + 1, last: self.log.last() };
        self.send_to_voters(&message);
    }

    fn campaign(&mut self, now_ms: u64, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.vote.term += 1;
        self.vote.voted_for = Some(self.id);
        self.actions.push(Action::SaveVote(self.vote));
        self.ask_for_votes(now_ms);
        self.restart_vote_timeout(now_ms);
        if self.has_won() {
            return self.become_leader(now_ms);
        }
        let last = self.log.last();
        self.send_to_voters(&Message::RequestVote { term: self.vote.term, last, transfer });
    }

    /// Begins to count votes, from this replica's own on.
    fn ask_for_votes(&mut self, now_ms: u64) {
        self.granted_by = [self.id].into();
        self.refused_by.clear();
        self.restart_election_timeout(now_ms);
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
        self.votes() >= self.log.config().quorum()
    }

    /// Returns the number of voters that have granted their vote.
    fn votes(&self) -> usize {
        let config = self.log.config();
        self.granted_by.iter().filter(|id| config.is_voter(**id)).count()
    }

    /// Returns true if this replica leads, or if its last leader contact is more recent than the
    /// minimum election timeout. Granting a vote then could break a leader's lease.
    fn must_withhold_vote(&self, now_ms: u64) -> bool {
        self.role == Role::Leader || self.has_recent_contact(now_ms)
    }

    pub(super) fn has_recent_contact(&self, now_ms: u64) -> bool {
        self.leader_contact_ms.is_some_and(|contact_ms| {
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
        if granted && self.gives_way_to(from, last) {
            self.role = Role::Follower;
            self.restart_election_timeout(now_ms);
        }
    }

    /// Returns true if this replica should not ask for votes beside `from`. If both did, each would
    /// vote for itself, and neither would win where every voter left is needed. Of two that ask at
    /// the same time, the one with the less complete log gives way, or else the one with the higher id.
    fn gives_way_to(&self, from: ReplicaId, last: Position) -> bool {
        match self.role {
            Role::Follower => true,
            Role::PreCandidate => (last, self.id) > (self.log.last(), from),
            Role::Candidate | Role::Leader => false,
        }
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        granted: bool,
    ) {
        if !granted {
            return self.on_pre_vote_refused(now_ms, from, term);
        }
        if self.role != Role::PreCandidate || term != self.vote.term + 1 {
            return;
        }
        self.granted_by.insert(from);
        if self.has_won() {
            self.campaign(now_ms, false);
        }
    }

    fn on_pre_vote_refused(&mut self, now_ms: u64, from: ReplicaId, term: u64) {
        self.refused_by.insert(from);
        if term <= self.vote.term {
            return;
        }
        let was_asking = self.role == Role::PreCandidate;
        self.become_follower(term);
        if was_asking {
            // The refusal was for the term alone, as far as this replica can tell.
            self.start_pre_vote(now_ms);
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
            if self.options.leases {
                self.leader_contact_ms = Some(now_ms);
            }
            self.restart_vote_timeout(now_ms);
        }
        self.send(from, Message::VoteReply { term: self.vote.term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, now_ms: u64, from: ReplicaId, term: u64, granted: bool) {
        if term > self.vote.term {
            return self.become_follower(term);
        }
        if self.role != Role::Candidate || term != self.vote.term {
            return;
        }
        if !granted {
            self.refused_by.insert(from);
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

    /// Steps down and asks the voter with the most complete log to campaign, of those that reply and do
    /// not stop. Without one this replica leads on: nobody else could, so nobody would replace it.
    ///
    /// The lease ends before the successor is asked to campaign.
    pub fn transfer_leadership(&mut self, now_ms: u64, members: &Members) -> Vec<Action> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let can_lead = |id: &ReplicaId| {
            let is_voter = self.log.config().is_voter(*id);
            is_voter && !members.stopping.contains(id) && self.replies(now_ms, *id)
        };
        let progress = self.leader_state.progress.iter().filter(|(id, _)| can_lead(id));
        let successor = progress.max_by_key(|(_, progress)| progress.matched).map(|(id, _)| *id);
        let Some(successor) = successor else { return Vec::new() };
        let term = self.vote.term;
        self.leader_state.transferring_leadership = true;
        self.become_follower(term);
        self.send(successor, Message::CampaignNow { term });
        self.take_actions()
    }

    pub(super) fn on_campaign_now(&mut self, now_ms: u64, term: u64) {
        if term == self.vote.term && self.role != Role::Leader && self.may_lead() {
            self.campaign(now_ms, true);
        }
    }
}
