//! Types that a replica stores and exchanges with its peers.

use lycheehub_types::InstanceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The identity of a replica, stored in its data folder; a replica that lost its disk gets a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The configuration of the group: its voters and the instance that runs each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The replicas whose votes and acknowledgements count.
    pub voters: BTreeMap<ReplicaId, InstanceName>,
}

impl Config {
    /// Returns the number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns true if `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry of a new leader.
    Noop,
    /// The configuration in force from this entry on.
    Config(Config),
    /// A command for the state machine.
    Command(Vec<u8>),
}

/// The term and index of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The position in the log, starting at 1.
    pub index: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's term and index.
    pub position: Position,
    /// The entry's content.
    pub payload: Payload,
}

/// A snapshot that replaces the log up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the snapshot covers.
    pub position: Position,
    /// The configuration at that position.
    pub config: Config,
    /// The state machine's state.
    pub data: Vec<u8>,
}

/// The current term and the vote cast in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The current term.
    pub term: u64,
    /// The replica that this replica voted for in this term.
    pub voted_for: Option<ReplicaId>,
}

/// The persistent state from which a replica restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persisted {
    /// The current term and vote.
    pub vote: Vote,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}
