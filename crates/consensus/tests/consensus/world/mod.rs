//! A few replicas with fake storage and a list of messages, moved on step by step.
//!
//! After each step it is checked that no two replicas applied different entries at one index, no
//! term has two leaders, no two replicas hold a lease at once, and no read misses what was
//! committed before it began.

mod checks;
mod steps;

pub use steps::{Planted, Step};

use lycheehub_consensus::{
    Action, Config, Entry, Message, Options, Payload, Persisted, Position, Replica, ReplicaId,
    Role, Snapshot, Vote,
};
use lycheehub_types::InstanceName;
use std::collections::{BTreeMap, BTreeSet};

struct Node {
    id: ReplicaId,
    name: InstanceName,
    stored: Persisted,
    replica: Option<Replica>,
    applied: Vec<(u64, Vec<u8>)>,
    /// Thousandths by which this clock runs faster or slower.
    drift_permille: i64,
    crash_after: Option<u8>,
    frozen: bool,
    /// For how long it has been frozen, as far as its clock does not count that.
    uncounted_ms: u64,
}

pub struct World {
    nodes: Vec<Node>,
    planted: Planted,
    options: Options,
    now_ms: u64,
    under_way: Vec<(ReplicaId, ReplicaId, Message)>,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    reads: BTreeMap<u64, u64>,
    next_id: u64,
    next_command: u64,
    next_read: u64,
    pub violations: Vec<String>,
}

const SIZE: usize = 3;
const UNDER_WAY_MAX: usize = 200;

impl World {
    /// Begins with leases in half of the worlds.
    pub fn new(seed: u64, planted: Planted) -> Self {
        let needs_leases = matches!(
            planted,
            Planted::RestartVotesAtOnce | Planted::LeaseIgnored | Planted::FrozenClock
        );
        let leases = needs_leases || seed.is_multiple_of(2);
        Self::with_options(seed, planted, Options { leases, ..Options::default() })
    }

    /// Begins with these options.
    pub fn with_options(seed: u64, planted: Planted, options: Options) -> Self {
        let ids: Vec<ReplicaId> = (1..=SIZE as u64).map(ReplicaId).collect();
        let name = |id: &ReplicaId| InstanceName::new(format!("entry-{id}"));
        let config = Config { voters: ids.iter().map(|id| (*id, name(id))).collect() };
        let position = Position { term: 1, index: 1 };
        let snapshot = Snapshot { position, config, data: Vec::new() };
        let drift = |at: usize| match (seed as usize + at) % 3 {
            0 => -(options.clock_drift_permille as i64),
            1 => 0,
            _ => options.clock_drift_permille as i64,
        };
        let nodes = ids
            .iter()
            .enumerate()
            .map(|(at, id)| Node {
                id: *id,
                name: name(id),
                stored: Persisted {
                    vote: Vote { term: 1, voted_for: None },
                    snapshot: snapshot.clone(),
                    entries: Vec::new(),
                },
                replica: None,
                applied: Vec::new(),
                drift_permille: drift(at),
                crash_after: None,
                frozen: false,
                uncounted_ms: 0,
            })
            .collect();
        let mut world = Self {
            nodes,
            planted,
            options,
            now_ms: 10_000,
            under_way: Vec::new(),
            cuts: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_id: 100 + seed % 7,
            next_command: 0,
            next_read: 0,
            violations: Vec::new(),
        };
        for at in 0..SIZE {
            world.restart(at);
        }
        world
    }

    fn local_ms(&self, at: usize) -> u64 {
        let rate = 1_000 + self.nodes[at].drift_permille;
        ((self.now_ms - self.nodes[at].uncounted_ms) as i64 * rate / 1_000) as u64
    }

    fn restart(&mut self, at: usize) {
        let mut local_ms = self.local_ms(at);
        if self.planted == Planted::RestartVotesAtOnce {
            local_ms -= self.options.election_min_ms;
        }
        let node = &mut self.nodes[at];
        if node.replica.is_some() {
            return;
        }
        let seed = node.id.0 + self.now_ms;
        node.crash_after = None;
        node.frozen = false;
        node.applied.clear();
        let data = &node.stored.snapshot.data;
        if !data.is_empty() {
            node.applied = decode(data);
        }
        node.replica =
            Some(Replica::new(node.id, self.options, node.stored.clone(), seed, local_ms));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => self.pass(u64::from(ms % 400) + 1),
            Step::Run(ms) => {
                const ROUND_MS: u64 = 40;
                for _ in 0..u64::from(ms % 1_500) / ROUND_MS {
                    self.pass(ROUND_MS);
                    self.deliver_all();
                }
            }
            Step::Deliver(pick) => self.deliver(pick, false),
            Step::DeliverAll => self.deliver_all(),
            Step::Lose(pick) => {
                if !self.under_way.is_empty() {
                    let at = usize::from(pick) % self.under_way.len();
                    self.under_way.remove(at);
                }
            }
            Step::Repeat(pick) => self.deliver(pick, true),
            Step::CrashAfter(node, count) => {
                self.nodes[usize::from(node) % SIZE].crash_after = Some(count % 6);
            }
            Step::Crash(node) => self.nodes[usize::from(node) % SIZE].replica = None,
            Step::Restart(node) => self.restart(usize::from(node) % SIZE),
            Step::LoseDisk(node) => self.lose_disk(usize::from(node) % SIZE),
            Step::Propose(node) => self.propose(usize::from(node) % SIZE),
            Step::Read(node) => self.read(usize::from(node) % SIZE),
            Step::Cut(from, to) => {
                let pair = (
                    self.nodes[usize::from(from) % SIZE].id,
                    self.nodes[usize::from(to) % SIZE].id,
                );
                self.cuts.insert(pair);
            }
            Step::Part(a, b) => {
                let ids = [a, b].map(|node| self.nodes[usize::from(node) % SIZE].id);
                self.cuts.extend([(ids[0], ids[1]), (ids[1], ids[0])]);
            }
            Step::Isolate(node) => {
                let own = self.nodes[usize::from(node) % SIZE].id;
                for other in self.nodes.iter().map(|node| node.id) {
                    self.cuts.extend([(own, other), (other, own)]);
                }
            }
            Step::Freeze(node) => self.nodes[usize::from(node) % SIZE].frozen = true,
            Step::Thaw => self.nodes.iter_mut().for_each(|node| node.frozen = false),
            Step::Bounce(node) => {
                let at = usize::from(node) % SIZE;
                self.nodes[at].replica = None;
                self.restart(at);
            }
            Step::Heal => self.cuts.clear(),
            Step::Compact(node) => {
                let at = usize::from(node) % SIZE;
                let data = encode(&self.nodes[at].applied);
                self.drive(at, |replica, _| {
                    if replica.compactable_entries() > 3 {
                        replica.compact(data)
                    } else {
                        Vec::new()
                    }
                });
            }
            Step::HandOver(node) => {
                self.drive(usize::from(node) % SIZE, |replica, now_ms| {
                    replica.transfer_leadership(now_ms)
                });
            }
        }
        self.check_leases();
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        if self.planted == Planted::FrozenClock {
            let frozen = self.nodes.iter_mut().filter(|node| node.frozen);
            frozen.for_each(|node| node.uncounted_ms += ms);
        }
        let live: BTreeMap<ReplicaId, InstanceName> = self
            .nodes
            .iter()
            .filter(|node| node.replica.is_some())
            .map(|node| (node.id, node.name.clone()))
            .collect();
        for at in 0..SIZE {
            self.drive(at, |replica, now_ms| replica.tick(now_ms));
            self.drive(at, |replica, now_ms| replica.reconcile_voters(now_ms, &live));
            self.check_leases();
        }
    }

    fn deliver(&mut self, pick: u16, keep: bool) {
        if self.under_way.is_empty() {
            return;
        }
        let at = usize::from(pick) % self.under_way.len();
        let (from, to, message) =
            if keep { self.under_way[at].clone() } else { self.under_way.remove(at) };
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if let Some(node) = self.nodes.iter().position(|node| node.id == to) {
            if self.nodes[node].frozen {
                return self.under_way.push((from, to, message));
            }
            self.drive(node, |replica, now_ms| replica.receive(now_ms, from, message));
        }
    }

    fn deliver_all(&mut self) {
        const ROUNDS: usize = 4;
        for _ in 0..ROUNDS {
            for _ in 0..self.under_way.len() {
                self.deliver(0, false);
            }
        }
    }

    /// A disk is lost only once the last lost one is made up for: all replicas run, and hold a
    /// configuration of just these replicas.
    fn lose_disk(&mut self, at: usize) {
        let ids: BTreeSet<ReplicaId> = self.nodes.iter().map(|node| node.id).collect();
        let whole = self.nodes.iter().all(|node| {
            let newest = node.replica.as_ref().map(|replica| replica.config().clone());
            newest
                .is_none_or(|config| config.voters.keys().copied().collect::<BTreeSet<_>>() == ids)
        });
        let all_run = self.nodes.iter().all(|node| node.replica.is_some());
        if !whole || !all_run {
            return;
        }
        let planted = self.planted;
        let next_id = self.next_id;
        self.next_id += 1;
        let node = &mut self.nodes[at];
        node.replica = None;
        node.stored = Persisted::default();
        node.applied.clear();
        if planted != Planted::LostDiskVotes {
            node.id = ReplicaId(next_id);
        }
    }

    fn propose(&mut self, at: usize) {
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        self.drive(at, |replica, now_ms| replica.propose(now_ms, command).1);
    }

    fn read(&mut self, at: usize) {
        self.next_read += 1;
        let token = self.next_read;
        let committed = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(token, committed);
        if self.planted == Planted::ReadWithoutQuorum {
            let replica = self.nodes[at].replica.as_ref();
            if let Some(replica) = replica.filter(|replica| replica.role() == Role::Leader) {
                let index = replica.commit();
                self.check_read(token, index);
            }
            return;
        }
        self.drive(at, |replica, now_ms| replica.read(now_ms, token));
    }

    fn drive(&mut self, at: usize, step: impl FnOnce(&mut Replica, u64) -> Vec<Action>) {
        let local_ms = self.local_ms(at);
        if self.nodes[at].frozen {
            return;
        }
        let Some(replica) = self.nodes[at].replica.as_mut() else { return };
        let mut actions = step(replica, local_ms);
        if self.planted == Planted::AckBeforeStore {
            actions.sort_by_key(|action| !matches!(action, Action::Send { .. }));
        }
        let crash_after = self.nodes[at].crash_after;
        for (number, action) in actions.into_iter().enumerate() {
            if crash_after.is_some_and(|count| number >= usize::from(count)) {
                self.nodes[at].replica = None;
                return;
            }
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let node = &mut self.nodes[at];
        match action {
            Action::SaveVote(vote) => {
                if self.planted != Planted::VoteNotStored {
                    node.stored.vote = vote;
                }
            }
            Action::Append(entries) => {
                let first = entries.first().map_or(u64::MAX, |entry| entry.position.index);
                node.stored.entries.retain(|entry| entry.position.index < first);
                node.stored.entries.extend(entries);
            }
            Action::SaveSnapshot { snapshot, reset } => {
                let index = snapshot.position.index;
                node.stored.entries.retain(|entry| !reset && entry.position.index > index);
                node.stored.snapshot = snapshot;
            }
            Action::Send { to, message } => {
                let from = node.id;
                if self.under_way.len() < UNDER_WAY_MAX {
                    self.under_way.push((from, to, message));
                }
            }
            Action::Restore(snapshot) => node.applied = decode(&snapshot.data),
            Action::Apply(entry) => self.note_applied(at, entry),
            Action::ReadReady { token, index } => self.check_read(token, index),
            Action::ReadFailed { token } => {
                self.reads.remove(&token);
            }
            Action::BecameLeader(first) => {
                let id = node.id;
                let other = self.leaders.insert(first.term, id);
                if other.is_some_and(|other| other != id) {
                    self.violations.push(format!("term {} has two leaders", first.term));
                }
            }
            Action::LostLeadership => {}
        }
    }

    /// Ends all faults and lets the replicas run; tells whether a command is then committed.
    pub fn settles(&mut self) -> bool {
        const ROUNDS: usize = 400;
        self.cuts.clear();
        for at in 0..SIZE {
            self.nodes[at].crash_after = None;
            self.nodes[at].frozen = false;
            self.restart(at);
        }
        let before = self.next_command;
        for round in 0..ROUNDS {
            self.pass(50);
            self.deliver_all();
            if round > ROUNDS / 2 && round % 20 == 0 {
                (0..SIZE).for_each(|at| self.propose(at));
            }
        }
        let done = self.committed.values().any(|entry| match &entry.payload {
            Payload::Command(command) => {
                command.clone().try_into().map_or(0, u64::from_le_bytes) > before
            }
            _ => false,
        });
        let same = self.nodes.windows(2).all(|pair| pair[0].applied == pair[1].applied);
        done && same
    }

    /// Crashes all replicas and starts them again; returns after how many milliseconds one leads
    /// that knows all that was committed.
    pub fn leads_after_restart_ms(&mut self) -> u64 {
        const STEP_MS: u64 = 10;
        self.nodes.iter_mut().for_each(|node| node.replica = None);
        self.under_way.clear();
        (0..SIZE).for_each(|at| self.restart(at));
        let began_ms = self.now_ms;
        let leads = |node: &Node| node.replica.as_ref().is_some_and(Replica::is_established);
        while !self.nodes.iter().any(leads) {
            self.pass(STEP_MS);
            self.deliver_all();
        }
        self.now_ms - began_ms
    }

    /// Returns how many commands were committed.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }
}

fn encode(applied: &[(u64, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = vec![1];
    for (index, command) in applied {
        bytes.extend(index.to_le_bytes());
        bytes.extend(command);
    }
    bytes
}

fn decode(bytes: &[u8]) -> Vec<(u64, Vec<u8>)> {
    let Some(rest) = bytes.get(1..) else { return Vec::new() };
    let pair = |chunk: &[u8]| {
        let index: [u8; 8] = chunk[..8].try_into().expect("eight bytes");
        (u64::from_le_bytes(index), chunk[8..].to_vec())
    };
    rest.chunks_exact(16).map(pair).collect()
}
