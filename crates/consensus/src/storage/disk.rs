//! Storage of a replica's state as files in one folder.

use super::file::{RecordFile, load_record, save_record};
use super::{Error, Storage};
use crate::{Entry, Persisted, ReplicaId, Snapshot, Vote};
use rand::Rng;
use std::path::PathBuf;

const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// Stores the state of one replica as files in a folder.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: RecordFile,
    /// The entries in the log file, from which the file is rewritten after a snapshot.
    entries: Vec<Entry>,
}

impl Disk {
    /// Opens the folder, creating it if it does not exist.
    ///
    /// # Errors
    /// Fails if the folder cannot be created or its log cannot be opened for writing.
    pub fn open(folder: impl Into<PathBuf>) -> Result<Self, Error> {
        let folder = folder.into();
        let log = RecordFile::open(&folder, LOG_FILE)?;
        Ok(Self { folder, log, entries: Vec::new() })
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    fn load_log(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.entries.clear();
        let batches: Vec<Vec<Entry>> = self.log.load()?;
        for entry in batches.into_iter().flatten() {
            self.push_replacing(entry);
        }
        self.entries.retain(|entry| entry.position.index > snapshot.position.index);
        self.check_contiguous(snapshot)
    }

    /// Checks that the entries follow the snapshot without a gap.
    fn check_contiguous(&self, snapshot: &Snapshot) -> Result<(), Error> {
        for (expected, entry) in (snapshot.position.index + 1..).zip(&self.entries) {
            if entry.position.index != expected {
                let message = format!("entry {expected} is missing");
                return Err(Error::Corrupt(self.log.path(), 0, message));
            }
        }
        Ok(())
    }

    /// Adds an entry, removing those at its index and after it.
    fn push_replacing(&mut self, entry: Entry) {
        let index = entry.position.index;
        while self.entries.last().is_some_and(|last| last.position.index >= index) {
            self.entries.pop();
        }
        self.entries.push(entry);
    }
}

impl Storage for Disk {
    fn load(&mut self) -> Result<(ReplicaId, Persisted), Error> {
        let identity = match load_record(&self.path(IDENTITY_FILE))? {
            Some(identity) => identity,
            None => {
                let identity = ReplicaId(rand::rng().random_range(1..u64::MAX));
                save_record(&self.folder, IDENTITY_FILE, &identity)?;
                identity
            }
        };
        let vote = load_record(&self.path(VOTE_FILE))?.unwrap_or_default();
        let snapshot: Snapshot = load_record(&self.path(SNAPSHOT_FILE))?.unwrap_or_default();
        self.load_log(&snapshot)?;
        Ok((identity, Persisted { vote, snapshot, entries: self.entries.clone() }))
    }

    fn save_vote(&mut self, vote: &Vote) -> Result<(), Error> {
        save_record(&self.folder, VOTE_FILE, vote)
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        // All entries go into one record, so an interrupted write stores all of them or none.
        self.log.append(&entries)?;
        for entry in entries {
            self.push_replacing(entry.clone());
        }
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Error> {
        save_record(&self.folder, SNAPSHOT_FILE, snapshot)?;
        let index = snapshot.position.index;
        self.entries.retain(|entry| !reset && entry.position.index > index);
        self.log.replace(self.entries.iter().map(std::slice::from_ref))
    }
}
