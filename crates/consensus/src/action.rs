//! What a replica asks of its driver.

use crate::{Entry, Message, Position, ReplicaId, Snapshot, Vote};

/// A step for the driver; steps are carried out in the order given, and a step that stores
/// something must be durable before the next one begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store the vote.
    SaveVote(Vote),
    /// Store entries; those already stored from the first one's index on are replaced.
    Append(Vec<Entry>),
    /// Store the snapshot and drop the entries that it covers. With `reset`, drop all entries.
    SaveSnapshot {
        /// The snapshot to store.
        snapshot: Snapshot,
        /// The stored entries do not continue the snapshot.
        reset: bool,
    },
    /// Send a message.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Replace the state machine's state.
    Restore(Snapshot),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// The read may be answered from a state machine that has applied `index`.
    ReadReady {
        /// The read's number, as given by the caller.
        token: u64,
        /// The index that must be applied.
        index: u64,
    },
    /// The read cannot be answered here.
    ReadFailed {
        /// The read's number, as given by the caller.
        token: u64,
    },
    /// This replica became the leader; its first entry has this position.
    BecameLeader(Position),
    /// This replica is no longer the leader.
    LostLeadership,
}
