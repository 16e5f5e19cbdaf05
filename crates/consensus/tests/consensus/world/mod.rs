//! A simulation of a small group of replicas with in-memory storage and a list of messages in flight.
//!
//! After each step the simulation checks that no two replicas applied different entries at the same
//! index, no term has two leaders, no two replicas hold a lease at the same time, and every read
//! sees the entries that were committed before it started.

mod checks;
mod machines;
mod steps;

pub use machines::Core;
pub use steps::{InjectedBug, Step, StopKind};

use crate::stored;
use lycheehub_consensus::{
    Action, Config, Entry, Known, Message, Options, Payload, Persisted, Position, Replica,
    ReplicaId, Role, Snapshot, Vote,
};
use lycheehub_types::InstanceName;
use machines::Machine;
use std::collections::{BTreeMap, BTreeSet};

struct Node {
    id: ReplicaId,
    name: InstanceName,
    stored: Persisted,
    replica: Option<Replica>,
    applied: Vec<(u64, Vec<u8>)>,
    /// The drift of this replica's clock, in thousandths.
    drift_permille: i64,
    crash_after: Option<u8>,
    paused: bool,
    /// Whether it runs an older build, which does not know some commands.
    is_older: bool,
    /// The total pause time that this replica's clock did not count.
    clock_lag_ms: u64,
    machine: Machine,
}

pub struct World {
    nodes: Vec<Node>,
    injected_bug: InjectedBug,
    options: Options,
    now_ms: u64,
    in_flight: Vec<(ReplicaId, ReplicaId, Message)>,
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    reads: BTreeMap<u64, u64>,
    next_id: u64,
    next_command: u64,
    next_read: u64,
    /// The rules by which machines come and go for good, if they do.
    core: Option<Core>,
    pub violations: Vec<String>,
}

/// The number of replicas, unless machines come and go.
const SIZE: usize = 3;
const IN_FLIGHT_MAX: usize = 200;

impl World {
    /// Creates a world; leases are enabled for even seeds and for bugs that need them.
    pub fn new(seed: u64, injected_bug: InjectedBug) -> Self {
        let needs_leases = matches!(
            injected_bug,
            InjectedBug::RestartVotesAtOnce
                | InjectedBug::LeaseIgnored
                | InjectedBug::ClockStopsWhilePaused
        );
        let leases = needs_leases || seed.is_multiple_of(2);
        Self::with_options(seed, injected_bug, Options { leases, ..Options::default() })
    }

    /// Creates a world with these options.
    pub fn with_options(seed: u64, injected_bug: InjectedBug, options: Options) -> Self {
        Self::of_size(SIZE, seed, injected_bug, options)
    }

    fn of_size(size: usize, seed: u64, injected_bug: InjectedBug, options: Options) -> Self {
        let ids: Vec<ReplicaId> = (1..=size as u64).map(ReplicaId).collect();
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
                paused: false,
                is_older: false,
                clock_lag_ms: 0,
                machine: Machine::default(),
            })
            .collect();
        let mut world = Self {
            nodes,
            injected_bug,
            options,
            now_ms: 10_000,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_id: 100 + seed % 7,
            next_command: 0,
            next_read: 0,
            core: None,
            violations: Vec::new(),
        };
        for at in 0..size {
            world.restart(at);
        }
        world
    }

    /// Creates a world in which all replicas but the first run an older build. [`World::converges`]
    /// replaces it.
    pub fn of_two_builds(seed: u64, injected_bug: InjectedBug) -> Self {
        let mut world = Self::new(seed, injected_bug);
        for at in 1..SIZE {
            world.nodes[at].is_older = true;
            world.nodes[at].replica = None;
            world.restart(at);
        }
        world
    }

    fn local_ms(&self, at: usize) -> u64 {
        let rate = 1_000 + self.nodes[at].drift_permille;
        ((self.now_ms - self.nodes[at].clock_lag_ms) as i64 * rate / 1_000) as u64
    }

    fn restart(&mut self, at: usize) {
        let mut local_ms = self.local_ms(at);
        if self.injected_bug == InjectedBug::RestartVotesAtOnce {
            local_ms -= self.options.election_min_ms;
        }
        let node = &mut self.nodes[at];
        if node.replica.is_some() || node.machine.is_gone {
            return;
        }
        node.machine.begin_run();
        let seed = node.id.0 + self.now_ms;
        node.crash_after = None;
        node.paused = false;
        node.applied.clear();
        let data = &node.stored.snapshot.data;
        if !data.is_empty() {
            node.applied = decode(data);
        }
        let known = match node.is_older && self.injected_bug != InjectedBug::UnknownCommandSkipped {
            true => Known { command: is_known_to_older, ..Known::default() },
            false => Known::default(),
        };
        let replica = Replica::new(node.id, self.options, node.stored.clone(), seed, local_ms);
        node.replica = Some(replica.with_known(known));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => {
                self.advance(u64::from(ms % 400) + 1);
                self.restart_ages();
            }
            Step::AdvanceDelivering(ms) => {
                const STEP_MS: u64 = 40;
                for _ in 0..u64::from(ms % 1_500) / STEP_MS {
                    self.advance(STEP_MS);
                    self.deliver_all();
                    self.age_machines(STEP_MS);
                }
            }
            Step::Deliver(pick) => self.deliver(pick, false),
            Step::DeliverAll => self.deliver_all(),
            Step::Drop(pick) => {
                if !self.in_flight.is_empty() {
                    let at = usize::from(pick) % self.in_flight.len();
                    self.in_flight.remove(at);
                }
            }
            Step::Duplicate(pick) => self.deliver(pick, true),
            Step::CrashAfter(node, count) => {
                let at = self.pick(node);
                self.nodes[at].crash_after = Some(count % 6);
            }
            Step::Crash(node) => {
                let at = self.pick(node);
                self.nodes[at].replica = None;
            }
            Step::Restart(node) => self.restart(self.pick(node)),
            Step::LoseDisk(node) => self.lose_disk(self.pick(node)),
            Step::LoseDiskOfLeader => {
                if let Some(at) = self.leading() {
                    self.lose_disk(at);
                }
            }
            Step::Propose(node) => self.propose(self.pick(node)),
            Step::Read(node) => self.read(self.pick(node)),
            Step::BlockLink(from, to) => {
                let pair = (self.nodes[self.pick(from)].id, self.nodes[self.pick(to)].id);
                self.blocked_links.insert(pair);
            }
            Step::Partition(a, b) => {
                let ids = [a, b].map(|node| self.nodes[self.pick(node)].id);
                self.blocked_links.extend([(ids[0], ids[1]), (ids[1], ids[0])]);
            }
            Step::Isolate(node) => {
                let own = self.nodes[self.pick(node)].id;
                for other in self.nodes.iter().map(|node| node.id) {
                    self.blocked_links.extend([(own, other), (other, own)]);
                }
            }
            Step::Pause(node) => {
                let at = self.pick(node);
                self.nodes[at].paused = true;
            }
            Step::ResumeAll => self.nodes.iter_mut().for_each(|node| node.paused = false),
            Step::CrashAndRestart(node) => {
                let at = self.pick(node);
                self.nodes[at].replica = None;
                self.restart(at);
            }
            Step::UnblockLinks => self.blocked_links.clear(),
            Step::Compact(node) => {
                let at = self.pick(node);
                let data = encode(&self.nodes[at].applied);
                self.drive(at, |replica, _| {
                    if replica.compactable_entries() > 3 {
                        replica.compact(data)
                    } else {
                        Vec::new()
                    }
                });
            }
            Step::TransferLeadership(node) => {
                let at = self.pick(node);
                let members = self.members(at);
                self.drive(at, |replica, now_ms| replica.transfer_leadership(now_ms, &members));
            }
            Step::Join => self.join(),
            Step::Stop(node, how) => self.stop(self.pick(node), how),
            Step::Remove(node) => self.remove(self.pick(node)),
        }
        self.check_leases();
        self.check_states();
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        if self.injected_bug == InjectedBug::ClockStopsWhilePaused {
            let paused = self.nodes.iter_mut().filter(|node| node.paused);
            paused.for_each(|node| node.clock_lag_ms += ms);
        }
        for at in 0..self.nodes.len() {
            self.drive(at, |replica, now_ms| replica.tick(now_ms));
            let members = self.members(at);
            self.drive(at, |replica, now_ms| replica.reconcile_voters(now_ms, &members));
            self.check_leases();
        }
        self.advance_stops();
    }

    fn deliver(&mut self, pick: u16, keep: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = usize::from(pick) % self.in_flight.len();
        let (from, to, message) =
            if keep { self.in_flight[at].clone() } else { self.in_flight.remove(at) };
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        if let Some(node) = self.nodes.iter().position(|node| node.id == to) {
            if self.nodes[node].paused {
                return self.in_flight.push((from, to, message));
            }
            self.drive(node, |replica, now_ms| replica.receive(now_ms, from, message));
        }
    }

    fn deliver_all(&mut self) {
        const ROUNDS: usize = 4;
        for _ in 0..ROUNDS {
            for _ in 0..self.in_flight.len() {
                self.deliver(0, false);
            }
        }
    }

    /// Wipes a replica's disk, unless the group has yet to recover from the last loss: all replicas
    /// must run, and each must have a configuration of exactly the current replicas.
    fn lose_disk(&mut self, at: usize) {
        let ids: BTreeSet<ReplicaId> = self.nodes.iter().map(|node| node.id).collect();
        let is_recovered = self.nodes.iter().all(|node| {
            let newest = node.replica.as_ref().map(|replica| replica.config().clone());
            newest
                .is_none_or(|config| config.voters.keys().copied().collect::<BTreeSet<_>>() == ids)
        });
        let all_run = self.nodes.iter().all(|node| node.replica.is_some());
        let may_lose = match self.core {
            Some(_) => self.may_lose(at),
            None => is_recovered && all_run,
        };
        if !may_lose {
            return;
        }
        let injected_bug = self.injected_bug;
        let next_id = self.next_id;
        self.next_id += 1;
        let node = &mut self.nodes[at];
        node.replica = None;
        node.stored = Persisted::default();
        node.machine.lose_disk();
        node.applied.clear();
        if injected_bug != InjectedBug::LostDiskVotes {
            node.id = ReplicaId(next_id);
        }
    }

    fn propose(&mut self, at: usize) {
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        if self.nodes[at].is_older && !is_known_to_older(&command) {
            return;
        }
        self.drive(at, |replica, now_ms| replica.propose(now_ms, command).1);
    }

    fn read(&mut self, at: usize) {
        self.next_read += 1;
        let token = self.next_read;
        let committed = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(token, committed);
        if self.injected_bug == InjectedBug::ReadWithoutQuorum {
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
        if self.nodes[at].paused {
            return;
        }
        let Some(replica) = self.nodes[at].replica.as_mut() else { return };
        let mut actions = step(replica, local_ms);
        if self.injected_bug == InjectedBug::AckBeforeStore {
            actions.sort_by_key(|action| !matches!(action, Action::Send { .. }));
        }
        let crash_after = self.nodes[at].crash_after;
        for (number, action) in actions.into_iter().enumerate() {
            if crash_after.is_some_and(|count| number >= usize::from(count)) {
                self.nodes[at].replica = None;
                return;
            }
            self.execute(at, action);
        }
    }

    fn execute(&mut self, at: usize, action: Action) {
        let node = &mut self.nodes[at];
        match action {
            Action::SaveVote(vote) => {
                if self.injected_bug != InjectedBug::VoteNotStored {
                    node.stored.vote = vote;
                }
            }
            Action::Append(entries) => stored::append(&mut node.stored, entries),
            Action::SaveSnapshot { snapshot, reset } => {
                stored::save_snapshot(&mut node.stored, snapshot, reset);
            }
            Action::Send { to, message } => {
                let from = node.id;
                if self.in_flight.len() < IN_FLIGHT_MAX {
                    self.in_flight.push((from, to, message));
                }
            }
            Action::Restore(snapshot) => node.applied = decode(&snapshot.data),
            Action::Apply(entry) => self.record_applied(at, entry),
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
            Action::LostLeadership
            | Action::ElectionLost { .. }
            | Action::UnknownCommand { .. }
            | Action::UnknownSnapshot { .. } => {}
        }
    }

    /// Ends all faults and lets the replicas run. Returns true if a new command is then committed and
    /// all replicas have applied the same commands.
    pub fn converges(&mut self) -> bool {
        const ROUNDS: usize = 400;
        self.blocked_links.clear();
        for at in 0..self.nodes.len() {
            self.nodes[at].crash_after = None;
            self.nodes[at].paused = false;
            if std::mem::take(&mut self.nodes[at].is_older) {
                self.nodes[at].replica = None;
            }
            self.restart(at);
        }
        let before = self.next_command;
        for round in 0..ROUNDS {
            self.advance(50);
            self.deliver_all();
            if round > ROUNDS / 2 && round % 20 == 0 {
                (0..self.nodes.len()).for_each(|at| self.propose(at));
            }
        }
        let is_committed = self.committed.values().any(|entry| match &entry.payload {
            Payload::Command(command) => {
                command.clone().try_into().map_or(0, u64::from_le_bytes) > before
            }
            _ => false,
        });
        let present: Vec<&Node> = self.nodes.iter().filter(|node| !node.machine.is_gone).collect();
        let all_equal = present.windows(2).all(|pair| pair[0].applied == pair[1].applied);
        is_committed && all_equal
    }

    /// Crashes and restarts all replicas; returns the time until one is an established leader, in
    /// milliseconds.
    pub fn time_to_leader_after_restart_ms(&mut self) -> u64 {
        const STEP_MS: u64 = 10;
        self.nodes.iter_mut().for_each(|node| node.replica = None);
        self.in_flight.clear();
        (0..SIZE).for_each(|at| self.restart(at));
        let started_ms = self.now_ms;
        let is_leader = |node: &Node| node.replica.as_ref().is_some_and(Replica::is_established);
        while !self.nodes.iter().any(is_leader) {
            self.advance(STEP_MS);
            self.deliver_all();
        }
        self.now_ms - started_ms
    }

    /// Returns the number of committed entries.
    pub fn committed_entries(&self) -> usize {
        self.committed.len()
    }
}

/// Returns false for one in four of the commands proposed.
fn is_known_to_older(command: &[u8]) -> bool {
    command.first().is_none_or(|byte| byte % 4 != 0)
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
