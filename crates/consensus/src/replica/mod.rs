//! The replica's state and the methods that its driver calls.

mod election;
mod membership;
mod reads;
mod replication;

use crate::log::Log;
use crate::{
    Action, Config, Known, Message, Options, Persisted, Position, ReplicaId, Snapshot, Vote,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// The role of a replica in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate,
    /// Campaigns to become the leader.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A replica of the log, as a pure state machine.
///
/// # Examples
/// ```
/// use lycheehub_consensus::{Config, Options, Persisted, Replica, ReplicaId, Role, Snapshot};
///
/// let config = Config { voters: [(ReplicaId(1), "salto-1".into())].into() };
/// let snapshot = Snapshot { config, ..Snapshot::default() };
/// let persisted = Persisted { snapshot, ..Persisted::default() };
/// let mut replica = Replica::new(ReplicaId(1), Options::default(), persisted, 7, 0);
/// replica.tick(10_000);
/// assert_eq!(replica.role(), Role::Leader);
/// ```
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    options: Options,
    vote: Vote,
    log: Log,
    commit: u64,
    applied: u64,
    /// The index of the last unknown command or snapshot that was reported.
    reported_unknown: u64,
    role: Role,
    leader: Option<ReplicaId>,
    /// When this replica last heard from a leader. With leases it is initially the start time,
    /// otherwise `None`, and a granted vote counts as well.
    leader_contact_ms: Option<u64>,
    election_timeout_ms: u64,
    /// When the election timeout began.
    timeout_began_ms: u64,
    granted_by: BTreeSet<ReplicaId>,
    refused_by: BTreeSet<ReplicaId>,
    leader_state: LeaderState,
    learners: BTreeSet<ReplicaId>,
    rng: SmallRng,
    actions: Vec<Action>,
}

/// The state that only a leader maintains.
#[derive(Debug, Default)]
struct LeaderState {
    progress: BTreeMap<ReplicaId, Progress>,
    /// The position of the first entry of this leader's term.
    first: Position,
    /// The newest heartbeat round.
    round: u64,
    /// When each recent heartbeat round was sent.
    round_sent_ms: BTreeMap<u64, u64>,
    /// When the newest round that a quorum has acknowledged was sent.
    quorum_contact_ms: u64,
    reads: Vec<PendingRead>,
    heartbeat_sent_ms: u64,
    /// Leadership is being transferred, so proposals are rejected.
    transferring_leadership: bool,
}

/// The replication progress of a follower, as tracked by the leader.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The highest index known to match the leader's log.
    matched: u64,
    /// The index of the next entry to send.
    next: u64,
    /// The highest heartbeat round that the replica has acknowledged.
    acked_round: u64,
    /// When the entries or the snapshot that await a reply were sent, or 0 if none do.
    in_flight_since_ms: u64,
    /// The heartbeat round in which they were sent.
    in_flight_round: u64,
    /// When the replica last replied, initially when the leader began to track it, in milliseconds.
    last_reply_ms: u64,
}

/// A read that waits until a quorum acknowledges a heartbeat round.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: u64,
}

impl Replica {
    /// Starts a replica from its persistent state; `now_ms` must come from a monotonic clock.
    ///
    /// With leases the replica withholds its vote until the minimum election timeout has passed,
    /// since it may have acknowledged a leader's lease before it restarted.
    pub fn new(
        id: ReplicaId,
        options: Options,
        persisted: Persisted,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let commit = persisted.snapshot.position.index;
        let mut replica = Self {
            id,
            options,
            vote: persisted.vote,
            log: Log::new(persisted.snapshot, persisted.entries),
            commit,
            applied: commit,
            reported_unknown: 0,
            role: Role::Follower,
            leader: None,
            leader_contact_ms: options.leases.then_some(now_ms),
            election_timeout_ms: 0,
            timeout_began_ms: now_ms,
            granted_by: BTreeSet::new(),
            refused_by: BTreeSet::new(),
            leader_state: LeaderState::default(),
            learners: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        };
        replica.restart_election_timeout(now_ms);
        replica
    }

    /// Sets which commands and snapshots the state machine can read; without it, all.
    ///
    /// The replica stores and acknowledges entries that it does not know, and votes, so that the group
    /// stays available. It applies nothing from such an entry on, and does not campaign while its log
    /// holds one.
    #[must_use]
    pub fn with_known(mut self, known: Known) -> Self {
        self.log.set_known(known);
        self
    }

    /// Returns the index of the committed entry that keeps this replica from applying any further, as
    /// this build does not know its command.
    pub fn unknown_command(&self) -> Option<u64> {
        self.log.first_unknown().filter(|index| *index <= self.commit)
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the current leader if it is known, which may be this replica.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the newest configuration in the log, committed or not.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Returns the position of the newest entry.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the number of applied entries after the snapshot.
    pub fn compactable_entries(&self) -> u64 {
        self.applied - self.log.snapshot.position.index
    }

    /// Processes timeouts: sends heartbeats, starts elections, and steps down a leader that has lost
    /// contact with a quorum.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        match self.role {
            Role::Leader => self.tick_leader(now_ms),
            _ => self.tick_follower(now_ms),
        }
        self.take_actions()
    }

    /// Handles a message from the replica `from`.
    pub fn receive(&mut self, now_ms: u64, from: ReplicaId, message: Message) -> Vec<Action> {
        self.step(now_ms, from, message);
        self.take_actions()
    }

    /// Replaces the applied entries of the log with a snapshot that holds the state machine's `data`.
    pub fn compact(&mut self, data: Vec<u8>) -> Vec<Action> {
        let Some(term) = self.log.term_at(self.applied) else {
            return Vec::new();
        };
        let position = Position { term, index: self.applied };
        let snapshot = Snapshot { position, config: self.log.config_at(self.applied), data };
        self.log.install_snapshot(snapshot.clone());
        self.actions.push(Action::SaveSnapshot { snapshot, reset: false });
        self.take_actions()
    }

    /// Adopts the initial configuration; does nothing if the log is not empty.
    pub fn bootstrap(&mut self, config: Config) -> Vec<Action> {
        if self.log.last() != Position::default() || !self.log.config().voters.is_empty() {
            return Vec::new();
        }
        let position = Position { term: 1, index: 1 };
        let snapshot = Snapshot { position, config, data: Vec::new() };
        self.log.install_snapshot(snapshot.clone());
        self.commit = position.index;
        self.applied = position.index;
        self.set_term(self.vote.term.max(1));
        self.actions.push(Action::SaveSnapshot { snapshot, reset: true });
        self.take_actions()
    }

    /// Returns true if this replica has a configuration.
    pub fn is_bootstrapped(&self) -> bool {
        !self.log.config().voters.is_empty()
    }

    /// Returns true if this replica is an established leader whose lease is valid at `now_ms`.
    ///
    /// No other leader can be elected during the lease if the clocks stay within the drift limit of
    /// the options.
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        self.options.leases && self.is_established() && now_ms < self.lease_until_ms()
    }

    /// Returns when the leader lease expires, in milliseconds of this replica's clock.
    pub fn lease_until_ms(&self) -> u64 {
        self.leader_state.quorum_contact_ms + self.options.lease_ms()
    }

    /// Returns true if a follower has heard from the leader, or a leader from a quorum, within the
    /// last `within_ms` milliseconds.
    pub fn has_leader_contact(&self, now_ms: u64, within_ms: u64) -> bool {
        let contact_ms = match self.role {
            Role::Leader => Some(self.leader_state.quorum_contact_ms),
            _ if self.leader.is_some() => self.leader_contact_ms,
            _ => return false,
        };
        contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + within_ms)
    }

    /// Returns true if this replica leads and has applied an entry of its own term, so that it
    /// knows every entry that earlier leaders committed.
    pub fn is_established(&self) -> bool {
        self.role == Role::Leader
            && !self.leader_state.transferring_leadership
            && self.applied >= self.leader_state.first.index
    }

    fn step(&mut self, now_ms: u64, from: ReplicaId, message: Message) {
        if let Some(leader) = message.leader(from) {
            let (Message::Append { term, .. } | Message::Install { term, .. }) = &message else {
                return;
            };
            if *term >= self.vote.term {
                self.follow(now_ms, *term, leader);
            }
        }
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(now_ms, from, term, last),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now_ms, from, term, granted);
            }
            Message::RequestVote { term, last, transfer } => {
                self.on_request_vote(now_ms, from, term, last, transfer);
            }
            Message::VoteReply { term, granted } => self.on_vote_reply(now_ms, from, term, granted),
            Message::Append { term, previous, entries, commit, round } => {
                self.on_append(from, term, previous, entries, commit, round);
            }
            Message::AppendReply { term, accepted, index, round } => {
                self.on_append_reply(now_ms, from, term, accepted, index, round);
            }
            Message::Install { term, snapshot, round } => {
                self.on_install(from, term, snapshot, round);
            }
            Message::CampaignNow { term } => self.on_campaign_now(now_ms, term),
        }
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    fn set_term(&mut self, term: u64) {
        if term == self.vote.term {
            return;
        }
        self.vote = Vote { term, voted_for: None };
        self.actions.push(Action::SaveVote(self.vote));
    }

    fn follow(&mut self, now_ms: u64, term: u64, leader: ReplicaId) {
        self.become_follower(term);
        let is_new = self.leader.replace(leader).is_none();
        self.leader_contact_ms = Some(now_ms);
        if is_new {
            self.restart_election_timeout(now_ms);
        }
        self.timeout_began_ms = now_ms;
    }

    fn become_follower(&mut self, term: u64) {
        if term > self.vote.term {
            self.leader = None;
        }
        self.set_term(term);
        if self.role == Role::Leader {
            self.fail_reads();
            self.actions.push(Action::LostLeadership);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.granted_by.clear();
    }

    /// Draws an election timeout that begins now. It is short if no leader can be there: since the
    /// start or for the minimum election timeout, none has been heard of.
    fn restart_election_timeout(&mut self, now_ms: u64) {
        let range = if self.has_recent_contact(now_ms) {
            self.options.election_timeout_range_ms()
        } else {
            self.options.initial_election_timeout_range_ms()
        };
        self.draw_election_timeout(now_ms, range);
    }

    /// Draws an election timeout for a vote that begins now. It is long: each voter stores its vote
    /// before it replies.
    fn restart_vote_timeout(&mut self, now_ms: u64) {
        self.draw_election_timeout(now_ms, self.options.election_timeout_range_ms());
    }

    fn draw_election_timeout(&mut self, now_ms: u64, range_ms: RangeInclusive<u64>) {
        self.election_timeout_ms = self.rng.random_range(range_ms);
        self.timeout_began_ms = now_ms;
    }
}
