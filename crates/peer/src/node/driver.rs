//! Drives the replica: stores what it asks to store, in order, and applies what is committed.

use super::Node;
use lycheehub_consensus::storage::{Disk, Error as StorageError, Storage};
use lycheehub_consensus::{Action, Message, Options, Payload, Position, Replica, ReplicaId};
use lycheehub_control::state::Reply;
use lycheehub_control::{Command, State};
use lycheehub_wire::ProposeReply;
use smol::channel::Sender;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How many applied entries bring about a snapshot.
const SNAPSHOT_ENTRIES: u64 = 2_000;
/// How many bytes of applied entries bring about a snapshot.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
/// How long after a failure of the storage it is opened anew, in milliseconds.
const REOPEN_MS: u64 = 1_000;

/// The replica with its storage and those that wait for it.
pub(super) struct Driver {
    pub(super) replica: Replica,
    storage: Box<dyn Storage>,
    waiting: BTreeMap<u64, (u64, Sender<ProposeReply>)>,
    reads: BTreeMap<u64, Sender<bool>>,
    next_read: u64,
    /// The size of the newest snapshot, and of what was applied after it, in bytes.
    snapshot_bytes: usize,
    applied_bytes: usize,
    /// When the storage failed, in milliseconds: the replica does nothing until it is opened anew.
    halted_ms: Option<u64>,
}

/// What the actions of one step lead to outside the replica.
#[derive(Default)]
struct Effects {
    sends: Vec<(ReplicaId, Message)>,
    revised: bool,
    led: Option<bool>,
}

impl Driver {
    pub(super) fn open(
        mut storage: Box<dyn Storage>,
        options: Options,
        seed: u64,
        now_ms: u64,
    ) -> Result<(Self, State), StorageError> {
        let (id, persisted) = storage.load()?;
        let state = decode_state(&persisted.snapshot.data)?;
        spdlog::info!("control replica opened", kv: {
            replica: = id,
            term = persisted.vote.term,
            snapshot_index = persisted.snapshot.position.index,
            entries = persisted.entries.len() as u64,
        });
        let snapshot_bytes = persisted.snapshot.data.len();
        let replica = Replica::new(id, options, persisted, seed, now_ms);
        let driver = Self {
            replica,
            storage,
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            snapshot_bytes,
            applied_bytes: 0,
            halted_ms: None,
        };
        Ok((driver, state))
    }

    /// Tells whether commands of this instance are stored but not committed yet.
    pub(super) fn is_committing(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Makes a snapshot where the log has grown as large as the last one, so that all snapshots
    /// together cost about as much as the log.
    fn compact_if_due(&mut self, state: &State) -> Vec<Action> {
        let entries = self.replica.compactable_entries();
        let is_long = entries >= SNAPSHOT_ENTRIES || self.applied_bytes >= SNAPSHOT_BYTES;
        if !is_long || self.applied_bytes < self.snapshot_bytes {
            return Vec::new();
        }
        let data = state.encode();
        self.snapshot_bytes = data.len();
        self.applied_bytes = 0;
        self.replica.compact(data)
    }

    /// Notes who waits for the entry at `position`.
    pub(super) fn wait_for(&mut self, position: Position, sender: Sender<ProposeReply>) {
        self.waiting.insert(position.index, (position.term, sender));
    }

    pub(super) fn begin_read(&mut self, sender: Sender<bool>) -> u64 {
        self.next_read += 1;
        self.reads.insert(self.next_read, sender);
        self.next_read
    }

    fn carry_out(
        &mut self,
        actions: Vec<Action>,
        state: &mut State,
    ) -> Result<Effects, StorageError> {
        let mut effects = Effects::default();
        for action in actions {
            match action {
                Action::SaveVote(vote) => self.storage.save_vote(&vote)?,
                Action::Append(entries) => self.storage.append(&entries)?,
                Action::SaveSnapshot { snapshot, reset } => {
                    self.storage.save_snapshot(&snapshot, reset)?;
                }
                Action::Send { to, message } => effects.sends.push((to, message)),
                Action::Restore(snapshot) => {
                    *state = decode_state(&snapshot.data)?;
                    effects.revised = true;
                }
                Action::Apply(entry) => {
                    effects.revised |= self.apply(entry.position, entry.payload, state);
                }
                Action::ReadReady { token, .. } => self.answer_read(token, true),
                Action::ReadFailed { token } => self.answer_read(token, false),
                Action::BecameLeader(first) => {
                    spdlog::info!("became the leader", kv: { term = first.term });
                    effects.led = Some(true);
                }
                Action::LostLeadership => {
                    spdlog::info!("lost leadership", kv: { term = self.replica.term() });
                    effects.led = Some(false);
                    self.fail_waiting();
                }
            }
        }
        Ok(effects)
    }

    fn apply(&mut self, position: Position, payload: Payload, state: &mut State) -> bool {
        let before = state.revision;
        let reply = match payload {
            Payload::Command(bytes) => {
                self.applied_bytes += bytes.len();
                apply_command(position.index, &bytes, state)
            }
            Payload::Config(config) => {
                let voters = config.voters.len() as u64;
                spdlog::info!("voters in force", kv: { voters, index = position.index });
                None
            }
            Payload::Noop => None,
        };
        self.answer(position, reply);
        state.revision != before
    }

    fn answer(&mut self, position: Position, reply: Option<Reply>) {
        let Some((term, sender)) = self.waiting.remove(&position.index) else { return };
        let own = term == position.term;
        let reply = match reply {
            Some(reply) if own => ProposeReply::Done(reply),
            _ => ProposeReply::NotLeader,
        };
        // One that no longer waits needs no answer.
        let _ = sender.try_send(reply);
    }

    fn answer_read(&mut self, token: u64, confirmed: bool) {
        if let Some(sender) = self.reads.remove(&token) {
            // One that no longer waits needs no answer.
            let _ = sender.try_send(confirmed);
        }
    }

    /// Answers all that wait: their commands may yet be committed by another leader.
    fn fail_waiting(&mut self) {
        for (_, (_, sender)) in std::mem::take(&mut self.waiting) {
            // One that no longer waits needs no answer.
            let _ = sender.try_send(ProposeReply::Unknown);
        }
    }

    fn halt(&mut self, now_ms: u64, error: &StorageError) {
        spdlog::critical!("control replica halted: storage failed", kv: { error: });
        self.halted_ms = Some(now_ms);
        self.fail_waiting();
        for (_, sender) in std::mem::take(&mut self.reads) {
            // One that no longer waits needs no answer.
            let _ = sender.try_send(false);
        }
    }
}

fn apply_command(index: u64, bytes: &[u8], state: &mut State) -> Option<Reply> {
    match Command::decode(bytes) {
        Ok(command) => Some(state.apply(index, command)),
        Err(error) => {
            spdlog::error!("command skipped", kv: { index, error: });
            None
        }
    }
}

fn decode_state(data: &[u8]) -> Result<State, StorageError> {
    State::decode(data)
        .map_err(|error| StorageError::Corrupt("snapshot".into(), 0, error.to_string()))
}

impl Node {
    /// Lets the replica take a step and carries out what it asks for.
    pub(super) fn drive(self: &Rc<Self>, step: impl FnOnce(&mut Driver, u64) -> Vec<Action>) {
        let now_ms = self.clock.now_ms();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let Some(driver) = core.driver.as_mut().filter(|driver| driver.halted_ms.is_none()) else {
            return;
        };
        let mut actions = step(driver, now_ms);
        let mut sends = Vec::new();
        let (mut revised, mut led) = (false, None);
        while !actions.is_empty() {
            match driver.carry_out(actions, &mut core.state) {
                Ok(effects) => {
                    sends.extend(effects.sends);
                    revised |= effects.revised;
                    led = effects.led.or(led);
                }
                Err(error) => {
                    driver.halt(now_ms, &error);
                    core.leading_since_ms = None;
                    return;
                }
            }
            actions = driver.compact_if_due(&core.state);
        }
        match led {
            Some(true) => core.leading_since_ms = Some(now_ms),
            Some(false) => core.leading_since_ms = None,
            None => {}
        }
        let from = driver.replica.id();
        let free = !driver.is_committing();
        for (to, message) in sends {
            self.send_consensus(core, from, to, message);
        }
        if free && !core.proposals.is_empty() {
            let node = self.clone();
            self.executor.spawn(async move { node.flush_soon() }).detach();
        }
        if revised {
            let node = self.clone();
            self.executor.spawn(async move { node.note_revision() }).detach();
        }
    }

    pub(super) fn tick_replica(self: &Rc<Self>) {
        self.reopen_storage();
        self.drive(|driver, now_ms| driver.replica.tick(now_ms));
    }

    /// Opens a storage that failed once more, and starts the replica from what it holds.
    fn reopen_storage(&self) {
        let now_ms = self.clock.now_ms();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let halted_ms = core.driver.as_ref().and_then(|driver| driver.halted_ms);
        if halted_ms.is_none_or(|halted_ms| now_ms < halted_ms + REOPEN_MS) {
            return;
        }
        match self.open_driver(core.seed) {
            Ok((driver, state)) => {
                core.driver = Some(driver);
                core.state = state;
            }
            Err(error) => {
                spdlog::warn!("storage still fails", kv: { error: });
                if let Some(driver) = &mut core.driver {
                    driver.halted_ms = Some(now_ms);
                }
            }
        }
    }

    fn open_driver(&self, seed: u64) -> Result<(Driver, State), StorageError> {
        let folder = self.settings.data_folder.clone().unwrap_or_default();
        let disk = Box::new(Disk::open(folder)?);
        Driver::open(disk, self.settings.consensus, seed, self.clock.now_ms())
    }

    /// Takes a message for the replica `to`.
    pub(crate) fn on_consensus(self: &Rc<Self>, from: ReplicaId, to: ReplicaId, message: Message) {
        self.drive(|driver, now_ms| {
            if driver.replica.id() != to {
                return Vec::new();
            }
            driver.replica.receive(now_ms, from, message)
        });
    }
}
