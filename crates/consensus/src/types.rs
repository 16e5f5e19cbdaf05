//! What a replica keeps and exchanges.

use lycheehub_types::InstanceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The identity of a replica's data folder; a replica that lost its disk has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The voters, with the instance that runs each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The replicas whose votes and acknowledgements count.
    pub voters: BTreeMap<ReplicaId, InstanceName>,
}

impl Config {
    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// The voters from this entry on.
    Config(Config),
    /// A command for the state machine.
    Command(Vec<u8>),
}

/// The term and index of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The term of the leader that made the entry.
    pub term: u64,
    /// The place in the log, from 1.
    pub index: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's term and index.
    pub position: Position,
    /// What the entry holds.
    pub payload: Payload,
}

/// The state that replaces the log up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub position: Position,
    /// The voters at that position.
    pub config: Config,
    /// The state machine's state.
    pub data: Vec<u8>,
}

/// The current term and the vote given in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The current term.
    pub term: u64,
    /// The replica that got this term's vote.
    pub voted_for: Option<ReplicaId>,
}

/// All that a restarted replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persisted {
    /// The vote.
    pub vote: Vote,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}
