//! The actions that a replica requests from its driver.

use crate::{Entry, Message, Position, ReplicaId, Snapshot, Vote};

/// An action for the driver. The driver executes actions in the order given; an action that stores
/// something must be durable before the next one begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store the term and vote.
    SaveVote(Vote),
    /// Store entries, replacing all stored entries from the first one's index on.
    Append(Vec<Entry>),
    /// Store the snapshot and delete the entries that it covers, or all entries with `reset`.
    SaveSnapshot {
        /// The snapshot to store.
        snapshot: Snapshot,
        /// Whether the stored entries do not continue the snapshot and must all be deleted.
        reset: bool,
    },
    /// Send a message.
    Send {
        /// The replica that receives the message.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Replace the state machine's state with the snapshot.
    Restore(Snapshot),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// The read may be served once the state machine has applied `index`.
    ReadReady {
        /// The token that the caller gave for the read.
        token: u64,
        /// The index that must be applied before the read is served.
        index: u64,
    },
    /// This replica cannot serve the read.
    ReadFailed {
        /// The token that the caller gave for the read.
        token: u64,
    },
    /// The next committed entry holds a command that this build does not know. Nothing is applied from
    /// it on until a snapshot covers it, and this replica does not lead.
    UnknownCommand {
        /// The index of the entry.
        index: u64,
    },
    /// The leader sent a snapshot that this build cannot restore; it is not taken.
    UnknownSnapshot {
        /// The index of the last entry that the snapshot covers.
        index: u64,
    },
    /// This replica asked for votes and got too few in time.
    ElectionLost {
        /// The current term.
        term: u64,
        /// Whether it only asked which votes it would get.
        is_pre_vote: bool,
        /// The voters that granted their vote, this replica included.
        granted: usize,
        /// The voters that refused it. The others sent no reply.
        refused: usize,
        /// The votes needed.
        needed: usize,
    },
    /// This replica became the leader; its term's first entry has this position.
    BecameLeader(Position),
    /// This replica is no longer the leader.
    LostLeadership,
}
