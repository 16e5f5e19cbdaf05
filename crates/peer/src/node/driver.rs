//! Drives the replica: executes its storage actions in order and applies committed entries.

use super::Node;
use lycheehub_consensus::storage::{Disk, Error as StorageError, Storage};
use lycheehub_consensus::{Action, Known, Message, Options, Payload, Position, Replica, ReplicaId};
use lycheehub_control::state::Reply;
use lycheehub_control::{Command, State};
use lycheehub_wire::ProposeReply;
use smol::channel::Sender;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of applied entries after which a snapshot is due.
const SNAPSHOT_ENTRIES: u64 = 2_000;
/// Size of the applied entries after which a snapshot is due, in bytes.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
/// Delay before failed storage is reopened, in milliseconds.
const REOPEN_MS: u64 = 1_000;

/// The replica, its storage and the proposals and reads that wait for it.
pub(super) struct Driver {
    pub(super) replica: Replica,
    storage: Box<dyn Storage>,
    /// The term and the reply sender of each stored proposal, by log index.
    pending_proposals: BTreeMap<u64, (u64, Sender<ProposeReply>)>,
    pending_reads: BTreeMap<u64, Sender<bool>>,
    next_read: u64,
    /// The size of the newest snapshot, in bytes.
    snapshot_bytes: usize,
    /// The size of the commands applied after the newest snapshot, in bytes.
    applied_bytes: usize,
    /// When the storage failed, in milliseconds. The replica takes no steps until it is reopened.
    halted_ms: Option<u64>,
    /// The elections lost since this replica last knew a leader.
    elections_lost: u32,
}

/// Effects of one step that are handled outside the driver.
#[derive(Default)]
struct Effects {
    messages: Vec<(ReplicaId, Message)>,
    state_changed: bool,
    /// Whether the replica won (`true`) or lost (`false`) leadership, if either happened.
    gained_leadership: Option<bool>,
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
        let known = Known {
            command: |bytes| Command::decode(bytes).is_ok(),
            snapshot: |bytes| State::decode(bytes).is_ok(),
        };
        let replica = Replica::new(id, options, persisted, seed, now_ms).with_known(known);
        let driver = Self {
            replica,
            storage,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read: 0,
            snapshot_bytes,
            applied_bytes: 0,
            halted_ms: None,
            elections_lost: 0,
        };
        Ok((driver, state))
    }

    /// Returns whether proposals of this instance are stored but not committed yet.
    pub(super) fn is_committing(&self) -> bool {
        !self.pending_proposals.is_empty()
    }

    /// Takes a snapshot if one is due and the commands applied since the last snapshot are at least
    /// as large as it. All snapshots together then cost about as much as the log.
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

    /// Registers the sender that gets the reply for the entry at `position`.
    pub(super) fn register_proposal(&mut self, position: Position, sender: Sender<ProposeReply>) {
        self.pending_proposals.insert(position.index, (position.term, sender));
    }

    pub(super) fn begin_read(&mut self, sender: Sender<bool>) -> u64 {
        self.next_read += 1;
        self.pending_reads.insert(self.next_read, sender);
        self.next_read
    }

    fn execute(
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
                Action::Send { to, message } => effects.messages.push((to, message)),
                Action::Restore(snapshot) => {
                    *state = decode_state(&snapshot.data)?;
                    effects.state_changed = true;
                }
                Action::Apply(entry) => {
                    effects.state_changed |= self.apply(entry.position, entry.payload, state)?;
                }
                Action::ReadReady { token, .. } => self.complete_read(token, true),
                Action::ReadFailed { token } => self.complete_read(token, false),
                Action::UnknownCommand { index } => {
                    spdlog::error!(
                        "command not known to this build: nothing is applied from it on, and this \
                         replica does not lead",
                        kv: { index }
                    );
                    // The instance is no longer ready.
                    effects.state_changed = true;
                }
                Action::UnknownSnapshot { index } => {
                    spdlog::error!("snapshot not known to this build: not taken", kv: { index });
                }
                Action::ElectionLost { term, is_pre_vote, granted, refused, needed } => {
                    self.elections_lost += 1;
                    // One line for each doubling, so that a lone replica writes few.
                    if self.elections_lost.is_power_of_two() {
                        spdlog::warn!("too few votes: no leader yet", kv: {
                            term,
                            asked = if is_pre_vote { "whether it would be elected" } else { "to be elected" },
                            granted = granted as u64,
                            refused = refused as u64,
                            needed = needed as u64,
                            times = self.elections_lost,
                        });
                    }
                }
                Action::BecameLeader(first) => {
                    spdlog::info!("became the leader", kv: { term = first.term });
                    effects.gained_leadership = Some(true);
                }
                Action::LostLeadership => {
                    spdlog::info!("lost leadership", kv: { term = self.replica.term() });
                    effects.gained_leadership = Some(false);
                    self.fail_pending_proposals();
                }
            }
        }
        Ok(effects)
    }

    fn apply(
        &mut self,
        position: Position,
        payload: Payload,
        state: &mut State,
    ) -> Result<bool, StorageError> {
        let before = state.revision;
        let reply = match payload {
            Payload::Command(bytes) => {
                self.applied_bytes += bytes.len();
                Some(apply_command(position.index, &bytes, state)?)
            }
            Payload::Config(config) => {
                let voters = config.voters.len() as u64;
                spdlog::info!("voters in force", kv: { voters, index = position.index });
                None
            }
            Payload::Noop => None,
        };
        self.complete_proposal(position, reply);
        Ok(state.revision != before)
    }

    fn complete_proposal(&mut self, position: Position, reply: Option<Reply>) {
        let Some((term, sender)) = self.pending_proposals.remove(&position.index) else { return };
        let is_same_entry = term == position.term;
        let reply = match reply {
            Some(reply) if is_same_entry => ProposeReply::Done(reply),
            _ => ProposeReply::NotLeader,
        };
        // The send fails only if the caller no longer waits.
        let _ = sender.try_send(reply);
    }

    fn complete_read(&mut self, token: u64, confirmed: bool) {
        if let Some(sender) = self.pending_reads.remove(&token) {
            // The send fails only if the caller no longer waits.
            let _ = sender.try_send(confirmed);
        }
    }

    /// Replies with an unknown outcome to all pending proposals, because another leader may still
    /// commit them.
    fn fail_pending_proposals(&mut self) {
        for (_, (_, sender)) in std::mem::take(&mut self.pending_proposals) {
            // The send fails only if the caller no longer waits.
            let _ = sender.try_send(ProposeReply::Unknown);
        }
    }

    fn halt(&mut self, now_ms: u64, error: &StorageError) {
        spdlog::critical!("control replica halted: storage failed", kv: { error: });
        self.halted_ms = Some(now_ms);
        self.fail_pending_proposals();
        for (_, sender) in std::mem::take(&mut self.pending_reads) {
            // The send fails only if the caller no longer waits.
            let _ = sender.try_send(false);
        }
    }
}

/// Applies a command. The replica holds back those that this build does not know; to skip one would
/// make this replica's state another than that of the others.
fn apply_command(index: u64, bytes: &[u8], state: &mut State) -> Result<Reply, StorageError> {
    let command = Command::decode(bytes)
        .map_err(|error| StorageError::Corrupt("log".into(), index, error.to_string()))?;
    Ok(state.apply(index, command))
}

fn decode_state(data: &[u8]) -> Result<State, StorageError> {
    State::decode(data)
        .map_err(|error| StorageError::Corrupt("snapshot".into(), 0, error.to_string()))
}

impl Node {
    /// Runs a step of the replica and executes the actions that it returns.
    pub(super) fn drive(self: &Rc<Self>, step: impl FnOnce(&mut Driver, u64) -> Vec<Action>) {
        let now_ms = self.clock.now_ms();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let Some(driver) = core.driver.as_mut().filter(|driver| driver.halted_ms.is_none()) else {
            return;
        };
        let mut actions = step(driver, now_ms);
        let mut messages = Vec::new();
        let (mut state_changed, mut gained_leadership) = (false, None);
        while !actions.is_empty() {
            match driver.execute(actions, &mut core.state) {
                Ok(effects) => {
                    messages.extend(effects.messages);
                    state_changed |= effects.state_changed;
                    gained_leadership = effects.gained_leadership.or(gained_leadership);
                }
                Err(error) => {
                    driver.halt(now_ms, &error);
                    core.leading_since_ms = None;
                    return;
                }
            }
            actions = driver.compact_if_due(&core.state);
        }
        if driver.replica.leader().is_some() {
            driver.elections_lost = 0;
        }
        match gained_leadership {
            Some(true) => core.leading_since_ms = Some(now_ms),
            Some(false) => core.leading_since_ms = None,
            None => {}
        }
        let from = driver.replica.id();
        let can_propose = !driver.is_committing();
        for (to, message) in messages {
            self.send_consensus(core, from, to, message);
        }
        if can_propose && !core.proposals.is_empty() {
            let node = self.clone();
            self.executor.spawn(async move { node.schedule_flush() }).detach();
        }
        if state_changed {
            let node = self.clone();
            self.executor.spawn(async move { node.notify_revision_changed() }).detach();
        }
    }

    pub(super) fn tick_replica(self: &Rc<Self>) {
        self.reopen_storage();
        self.drive(|driver, now_ms| driver.replica.tick(now_ms));
    }

    /// Reopens failed storage and restarts the replica from its contents.
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

    /// Handles a consensus message for the replica `to`; drops it if this is another replica.
    pub(crate) fn on_consensus(self: &Rc<Self>, from: ReplicaId, to: ReplicaId, message: Message) {
        self.drive(|driver, now_ms| {
            if driver.replica.id() != to {
                return Vec::new();
            }
            driver.replica.receive(now_ms, from, message)
        });
    }
}
