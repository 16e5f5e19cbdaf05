//! Durable storage of a replica: its identity, vote, snapshot and log.

mod disk;
mod file;
mod record;

pub use disk::Disk;
pub use file::RecordFile;

use crate::{Entry, Persisted, ReplicaId, Snapshot, Vote};
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// A failed storage operation.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system reported an error.
        Io(operation: &'static str, path: PathBuf, cause: std::io::Error) {
            display("{} {}: {}", operation, path.display(), cause)
            source(cause)
        }
        /// The file's content is damaged.
        Corrupt(path: PathBuf, offset: u64, message: String) {
            display("{} is damaged at byte {}: {}; move the data folder away to rejoin without a vote", path.display(), offset, message)
        }
    }
}

/// Durable storage of a replica; the effect of each call is durable when it returns.
pub trait Storage {
    /// Returns the replica's identity and its stored state, creating the identity on first use.
    ///
    /// # Errors
    /// Fails if a file cannot be read or is damaged, or if a new identity cannot be stored.
    fn load(&mut self) -> Result<(ReplicaId, Persisted), Error>;

    /// Stores the term and vote.
    ///
    /// # Errors
    /// Fails if the vote is not known to be durable.
    fn save_vote(&mut self, vote: &Vote) -> Result<(), Error>;

    /// Stores entries, replacing all stored entries from the first one's index on.
    ///
    /// # Errors
    /// Fails if the entries are not known to be durable.
    fn append(&mut self, entries: &[Entry]) -> Result<(), Error>;

    /// Stores a snapshot and deletes the entries that it covers, or all entries with `reset`.
    ///
    /// # Errors
    /// Fails if the snapshot is not known to be durable.
    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Error>;
}
