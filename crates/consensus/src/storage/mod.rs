//! Durable storage of a replica: its identity, vote, snapshot and log.

mod disk;
mod record;

pub use disk::Disk;

use crate::{Entry, Persisted, ReplicaId, Snapshot, Vote};
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// A failed step on a file.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system refused the step.
        Io(step: &'static str, path: PathBuf, cause: std::io::Error) {
            display("{} {}: {}", step, path.display(), cause)
            source(cause)
        }
        /// The file's content is damaged.
        Corrupt(path: PathBuf, offset: u64, message: String) {
            display("{} is damaged at byte {}: {}; move the data folder away to rejoin without a vote", path.display(), offset, message)
        }
    }
}

/// Where a replica keeps what must survive; each call is durable when it returns.
pub trait Storage {
    /// Returns the identity of this storage and all that it holds.
    ///
    /// # Errors
    /// Fails where a file cannot be read or is damaged.
    fn load(&mut self) -> Result<(ReplicaId, Persisted), Error>;

    /// Stores the vote.
    ///
    /// # Errors
    /// Fails where the vote is not known to be durable.
    fn save_vote(&mut self, vote: &Vote) -> Result<(), Error>;

    /// Stores entries, replacing those from the first one's index on.
    ///
    /// # Errors
    /// Fails where the entries are not known to be durable.
    fn append(&mut self, entries: &[Entry]) -> Result<(), Error>;

    /// Stores a snapshot and drops the entries that it covers, or all of them with `reset`.
    ///
    /// # Errors
    /// Fails where the snapshot is not known to be durable.
    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Error>;
}
