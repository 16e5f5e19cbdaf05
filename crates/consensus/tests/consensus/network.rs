//! Replicas that start at about the same time, and a network between them that delays messages.

use crate::stored;
use lycheehub_consensus::{
    Action, Config, Known, Message, Options, Payload, Persisted, Position, Replica, ReplicaId,
    Snapshot, Vote,
};
use lycheehub_types::InstanceName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The timing of instances on the deployment platform.
pub const OPTIONS: Options = Options {
    heartbeat_ms: 150,
    election_min_ms: 600,
    election_max_ms: 1_100,
    leases: false,
    clock_drift_permille: 50,
    append_max_bytes: 512 * 1024,
    voters_min: 4,
    voters_max: 5,
    silent_heartbeats: 3,
};
pub const TICK_MS: u64 = 50;
/// All replicas start within this time.
pub const START_MS: u64 = 3;
pub const DELAY_MAX_MS: u64 = 5;
/// The lowest term of a replica at its start.
pub const TERM: u64 = 3;
/// How long a test waits for a leader at most.
const GIVE_UP_MS: u64 = 60_000;

pub struct Node {
    pub replica: Replica,
    pub stored: Persisted,
    /// The commands applied since the start.
    pub applied: Vec<Vec<u8>>,
    /// What the replica reported: lost elections, and what it does not know.
    pub reported: Vec<Action>,
    started_ms: u64,
}

/// The replicas, and the messages between them.
pub struct Network {
    pub nodes: BTreeMap<ReplicaId, Node>,
    /// The messages by when they arrive, and by number.
    in_flight: BTreeMap<(u64, u64), (ReplicaId, ReplicaId, Message)>,
    sent: u64,
    pub now_ms: u64,
    rng: SmallRng,
    /// Links that deliver nothing, as sender and receiver.
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    /// How long a voter takes to store its vote before it replies, in milliseconds.
    pub vote_write_ms: u64,
}

impl Network {
    /// Starts the replicas `left` of a group of `voters`; each has a term and a last entry up to
    /// `apart` higher than the lowest.
    pub fn start(
        seed: u64,
        voters: u64,
        left: impl IntoIterator<Item = u64>,
        apart: u64,
        known: impl Fn(u64) -> Known,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let name = |id| (ReplicaId(id), InstanceName::from(format!("control-{id}")));
        let config = Config { voters: (1..=voters).map(name).collect() };
        let nodes = left.into_iter().map(|id| {
            let position = Position { term: TERM, index: 9 + rng.random_range(0..=apart) };
            let snapshot = Snapshot { position, config: config.clone(), data: Vec::new() };
            let vote = Vote { term: TERM + rng.random_range(0..=apart), voted_for: None };
            let stored = Persisted { vote, snapshot, entries: Vec::new() };
            let started_ms = rng.random_range(0..=START_MS);
            let seed = rng.random();
            (ReplicaId(id), Node::start(ReplicaId(id), stored, seed, started_ms, known(id)))
        });
        let nodes = nodes.collect();
        let (in_flight, blocked) = (BTreeMap::new(), BTreeSet::new());
        Self { nodes, in_flight, sent: 0, now_ms: 0, rng, blocked, vote_write_ms: 0 }
    }

    /// Restarts a replica from what it stored.
    pub fn restart(&mut self, id: ReplicaId, known: Known) {
        let Some(node) = self.nodes.remove(&id) else { return };
        let seed = self.rng.random();
        self.nodes.insert(id, Node::start(id, node.stored, seed, self.now_ms, known));
    }

    pub fn drive(&mut self, id: ReplicaId, step: impl FnOnce(&mut Replica, u64) -> Vec<Action>) {
        let now_ms = self.now_ms;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        for action in step(&mut node.replica, now_ms) {
            let Action::Send { to, message } = action else {
                node.execute(action);
                continue;
            };
            let is_vote = matches!(message, Message::VoteReply { .. });
            let write_ms = if is_vote { self.vote_write_ms } else { 0 };
            let at_ms = now_ms + write_ms + self.rng.random_range(1..=DELAY_MAX_MS);
            self.sent += 1;
            if !self.blocked.contains(&(id, to)) {
                self.in_flight.insert((at_ms, self.sent), (id, to, message));
            }
        }
    }

    pub fn advance(&mut self) {
        self.now_ms += 1;
        while let Some(arrived) = self.in_flight.first_entry() {
            if arrived.key().0 > self.now_ms {
                break;
            }
            let (from, to, message) = arrived.remove();
            self.drive(to, |replica, now_ms| replica.receive(now_ms, from, message));
        }
        let now_ms = self.now_ms;
        let is_due = |node: &Node| {
            now_ms > node.started_ms && (now_ms - node.started_ms).is_multiple_of(TICK_MS)
        };
        let due: Vec<ReplicaId> =
            self.nodes.iter().filter(|(_, node)| is_due(node)).map(|(id, _)| *id).collect();
        for id in due {
            self.drive(id, |replica, now_ms| replica.tick(now_ms));
        }
    }

    pub fn advance_by(&mut self, ms: u64) {
        for _ in 0..ms {
            self.advance();
        }
    }

    pub fn leader(&self) -> Option<&Replica> {
        let mut replicas = self.nodes.values().map(|node| &node.replica);
        replicas.find(|replica| replica.is_established())
    }

    /// Advances until a replica leads; returns when, and in which term.
    pub fn elect(&mut self) -> (u64, u64) {
        let started_ms = self.now_ms;
        while self.now_ms < started_ms + GIVE_UP_MS {
            self.advance();
            if let Some(leader) = self.leader() {
                return (self.now_ms - started_ms, leader.term());
            }
        }
        panic!("no leader within {GIVE_UP_MS} ms");
    }
}

impl Node {
    fn start(id: ReplicaId, stored: Persisted, seed: u64, now_ms: u64, known: Known) -> Self {
        let replica = Replica::new(id, OPTIONS, stored.clone(), seed, now_ms).with_known(known);
        Self { replica, stored, applied: Vec::new(), reported: Vec::new(), started_ms: now_ms }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::SaveVote(vote) => self.stored.vote = vote,
            Action::Append(entries) => stored::append(&mut self.stored, entries),
            Action::SaveSnapshot { snapshot, reset } => {
                stored::save_snapshot(&mut self.stored, snapshot, reset);
            }
            Action::Apply(entry) => {
                if let Payload::Command(command) = entry.payload {
                    self.applied.push(command);
                }
            }
            Action::ElectionLost { .. }
            | Action::UnknownCommand { .. }
            | Action::UnknownSnapshot { .. } => self.reported.push(action),
            _ => {}
        }
    }
}
