//! Elections: pre-vote, vote, and handing leadership over.

use super::{Leading, Progress, Replica, Role};
use crate::{Action, Entry, Message, Payload, Position, ReplicaId};

impl Replica {
    pub(super) fn tick_follower(&mut self, now_ms: u64) {
        if !self.log.config().is_voter(self.id) {
            return;
        }
        let since_ms = match self.role {
            Role::Follower => self.leader_seen_ms.unwrap_or(self.started_ms),
            _ => self.campaign_started_ms,
        };
        if now_ms.saturating_sub(since_ms) < self.election_timeout_ms {
            return;
        }
        self.draw_election_timeout();
        self.pre_campaign(now_ms);
    }

    fn pre_campaign(&mut self, now_ms: u64) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.campaign_started_ms = now_ms;
        self.granted = [self.id].into();
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
        self.out.push(Action::SaveVote(self.vote));
        self.granted = [self.id].into();
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
        self.granted.iter().filter(|id| config.is_voter(**id)).count() >= config.quorum()
    }

    /// Tells whether this replica has promised a leader not to vote yet.
    fn is_bound_to_leader(&self, now_ms: u64) -> bool {
        self.role == Role::Leader
            || self.leader_seen_ms.is_some_and(|seen_ms| {
                now_ms < seen_ms.saturating_add(self.options.election_min_ms)
            })
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, now_ms: u64, from: ReplicaId, term: u64, last: Position) {
        let granted =
            term > self.vote.term && !self.is_bound_to_leader(now_ms) && self.is_up_to_date(last);
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
        self.granted.insert(from);
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
        if term < self.vote.term || (!transfer && self.is_bound_to_leader(now_ms)) {
            let reply = Message::VoteReply { term: self.vote.term, granted: false };
            return self.send(from, reply);
        }
        if term > self.vote.term {
            self.become_follower(term);
        }
        let free = self.vote.voted_for.is_none_or(|id| id == from);
        let granted = free && self.is_up_to_date(last);
        if granted {
            self.role = Role::Follower;
            self.vote.voted_for = Some(from);
            self.out.push(Action::SaveVote(self.vote));
            self.leader_seen_ms = Some(now_ms);
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
        self.granted.insert(from);
        if self.has_won() {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        let last = self.log.last();
        let first = Position { term: self.vote.term, index: last.index + 1 };
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leading = Leading { first, quorum_seen_ms: now_ms, ..Leading::default() };
        for id in self.followers() {
            let progress =
                Progress { next: first.index, answered_ms: now_ms, ..Progress::default() };
            self.leading.progress.insert(id, progress);
        }
        self.out.push(Action::BecameLeader(first));
        self.append_own(vec![Entry { position: first, payload: Payload::Noop }]);
        self.broadcast(now_ms);
    }

    /// Gives up leadership in favour of the replica that holds the most of the log.
    ///
    /// The lease ends before the successor is asked to campaign.
    pub fn hand_over(&mut self, _now_ms: u64) -> Vec<Action> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let config = self.log.config().clone();
        let voters = self.leading.progress.iter().filter(|(id, _)| config.is_voter(**id));
        let successor = voters.max_by_key(|(_, progress)| progress.matched).map(|(id, _)| *id);
        let term = self.vote.term;
        self.leading.handing_over = true;
        self.become_follower(term);
        if let Some(successor) = successor {
            self.send(successor, Message::CampaignNow { term });
        }
        self.take()
    }

    pub(super) fn on_campaign_now(&mut self, now_ms: u64, term: u64) {
        let votes = self.log.config().is_voter(self.id);
        if term == self.vote.term && self.role != Role::Leader && votes {
            self.campaign(now_ms, true);
        }
    }
}
