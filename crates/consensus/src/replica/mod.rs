//! The replica's state and the entry points that its driver calls.

mod election;
mod membership;
mod reads;
mod replication;

use crate::log::Log;
use crate::{Action, Config, Message, Options, Persisted, Position, ReplicaId, Snapshot, Vote};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// What a replica currently is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
}

/// One replica of the log.
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
    role: Role,
    leader: Option<ReplicaId>,
    started_ms: u64,
    /// When a leader was last heard, or a vote given; with leases also when this replica started.
    leader_seen_ms: Option<u64>,
    election_timeout_ms: u64,
    campaign_started_ms: u64,
    granted: BTreeSet<ReplicaId>,
    leading: Leading,
    observers: BTreeSet<ReplicaId>,
    rng: SmallRng,
    out: Vec<Action>,
}

/// What only a leader keeps.
#[derive(Debug, Default)]
struct Leading {
    progress: BTreeMap<ReplicaId, Progress>,
    first: Position,
    round: u64,
    round_sent_ms: BTreeMap<u64, u64>,
    quorum_seen_ms: u64,
    reads: Vec<PendingRead>,
    heartbeat_sent_ms: u64,
    /// No longer takes proposals, since leadership is being handed over.
    handing_over: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    matched: u64,
    next: u64,
    acked_round: u64,
    /// When entries were last sent without an answer yet, or 0.
    in_flight_since_ms: u64,
    /// The round in which they were sent.
    in_flight_round: u64,
    /// When this replica last answered, or this leader was elected, in milliseconds.
    answered_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: u64,
}

impl Replica {
    /// Starts a replica from what it persisted; `now_ms` is by a clock that never goes back.
    ///
    /// With leases the replica gives no vote before the shortest election time has passed, since it
    /// may have promised a leader not to before it restarted.
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
            role: Role::Follower,
            leader: None,
            started_ms: now_ms,
            leader_seen_ms: options.leases.then_some(now_ms),
            election_timeout_ms: 0,
            campaign_started_ms: 0,
            granted: BTreeSet::new(),
            leading: Leading::default(),
            observers: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
        };
        replica.draw_election_timeout();
        replica
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns what this replica currently is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the leader that this replica follows, itself included.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the newest voters.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Returns the position of the newest entry.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns how many entries lie after the snapshot and are applied.
    pub fn compactable(&self) -> u64 {
        self.applied - self.log.snapshot.position.index
    }

    /// Lets time pass: heartbeats, elections, and giving up leadership without a quorum.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        match self.role {
            Role::Leader => self.tick_leader(now_ms),
            _ => self.tick_follower(now_ms),
        }
        self.take()
    }

    /// Takes a message from `from`.
    pub fn receive(&mut self, now_ms: u64, from: ReplicaId, message: Message) -> Vec<Action> {
        self.step(now_ms, from, message);
        self.take()
    }

    /// Replaces the applied part of the log by a snapshot with the state machine's `data`.
    pub fn compact(&mut self, data: Vec<u8>) -> Vec<Action> {
        let Some(term) = self.log.term_at(self.applied) else {
            return Vec::new();
        };
        let position = Position { term, index: self.applied };
        let snapshot = Snapshot { position, config: self.log.config_at(self.applied), data };
        self.log.install(snapshot.clone());
        self.out.push(Action::SaveSnapshot { snapshot, reset: false });
        self.take()
    }

    /// Takes the very first configuration; does nothing where the log is not empty.
    pub fn found(&mut self, config: Config) -> Vec<Action> {
        if self.log.last() != Position::default() || !self.log.config().voters.is_empty() {
            return Vec::new();
        }
        let position = Position { term: 1, index: 1 };
        let snapshot = Snapshot { position, config, data: Vec::new() };
        self.log.install(snapshot.clone());
        self.commit = position.index;
        self.applied = position.index;
        self.set_term(self.vote.term.max(1));
        self.out.push(Action::SaveSnapshot { snapshot, reset: true });
        self.take()
    }

    /// Tells whether this replica holds any log or configuration.
    pub fn is_founded(&self) -> bool {
        !self.log.config().voters.is_empty()
    }

    /// Tells whether this replica may act as the only leader at `now_ms`.
    ///
    /// No other leader can be elected while this holds, within the stated clock drift.
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        self.options.leases && self.is_established() && now_ms < self.lease_until_ms()
    }

    /// Returns when the lease of this leader ends, in milliseconds by its clock.
    pub fn lease_until_ms(&self) -> u64 {
        self.leading.quorum_seen_ms + self.options.lease_ms()
    }

    /// Tells whether a leader was heard within the last `within_ms`, or this replica leads with a
    /// quorum that followed it so lately.
    pub fn hears_leader(&self, now_ms: u64, within_ms: u64) -> bool {
        let heard_ms = match self.role {
            Role::Leader => Some(self.leading.quorum_seen_ms),
            _ if self.leader.is_some() => self.leader_seen_ms,
            _ => return false,
        };
        heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + within_ms)
    }

    /// Tells whether this replica leads and knows all that earlier leaders committed.
    pub fn is_established(&self) -> bool {
        self.role == Role::Leader
            && !self.leading.handing_over
            && self.commit >= self.leading.first.index
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

    fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    fn set_term(&mut self, term: u64) {
        if term == self.vote.term {
            return;
        }
        self.vote = Vote { term, voted_for: None };
        self.out.push(Action::SaveVote(self.vote));
    }

    fn follow(&mut self, now_ms: u64, term: u64, leader: ReplicaId) {
        self.become_follower(term);
        self.leader = Some(leader);
        self.leader_seen_ms = Some(now_ms);
    }

    fn become_follower(&mut self, term: u64) {
        if term > self.vote.term {
            self.leader = None;
        }
        self.set_term(term);
        if self.role == Role::Leader {
            self.fail_reads();
            self.out.push(Action::LostLeadership);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.granted.clear();
    }

    fn draw_election_timeout(&mut self) {
        let range = match self.leader_seen_ms {
            None => self.options.first_election_ms(),
            Some(_) => self.options.election_ms(),
        };
        self.election_timeout_ms = self.rng.random_range(range);
    }
}
