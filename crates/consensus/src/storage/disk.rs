//! Storage of a replica's state as files in one folder.

use super::{Error, Storage, record};
use crate::{Entry, Persisted, ReplicaId, Snapshot, Vote};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// Stores the state of one replica as files in a folder.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
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
        fs::create_dir_all(&folder)
            .map_err(|cause| Error::Io("create folder", folder.clone(), cause))?;
        let log = open_log(&folder.join(LOG_FILE))?;
        Ok(Self { folder, log, log_bytes: 0, entries: Vec::new() })
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    fn load_log(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let path = self.path(LOG_FILE);
        let bytes = fs::read(&path).map_err(|cause| Error::Io("read", path.clone(), cause))?;
        let mut offset = 0;
        self.entries.clear();
        while offset < bytes.len() {
            match record::read(&bytes, offset) {
                record::Read::Record(payload, next) => {
                    let entries: Vec<Entry> = decode(&path, offset, payload)?;
                    for entry in entries {
                        self.push_replacing(entry);
                    }
                    offset = next;
                }
                record::Read::Torn => break,
                record::Read::Corrupt(reason) => {
                    return Err(Error::Corrupt(path, offset as u64, reason.to_owned()));
                }
            }
        }
        self.truncate_log(offset as u64)?;
        self.entries.retain(|entry| entry.position.index > snapshot.position.index);
        self.check_contiguous(snapshot)
    }

    /// Checks that the entries follow the snapshot without a gap.
    fn check_contiguous(&self, snapshot: &Snapshot) -> Result<(), Error> {
        for (expected, entry) in (snapshot.position.index + 1..).zip(&self.entries) {
            if entry.position.index != expected {
                let message = format!("entry {expected} is missing");
                return Err(Error::Corrupt(self.path(LOG_FILE), 0, message));
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

    /// Truncates the log file to `length` bytes.
    fn truncate_log(&mut self, length: u64) -> Result<(), Error> {
        let path = self.path(LOG_FILE);
        let io_error = |cause| Error::Io("truncate", path.clone(), cause);
        self.log.set_len(length).map_err(io_error)?;
        self.log.seek(SeekFrom::Start(length)).map_err(io_error)?;
        self.log.sync_data().map_err(io_error)?;
        self.log_bytes = length;
        Ok(())
    }

    fn rewrite_log(&mut self) -> Result<(), Error> {
        let mut bytes = Vec::new();
        for entry in &self.entries {
            record::write(&mut bytes, &encode(&std::slice::from_ref(entry)));
        }
        let path = self.path(LOG_FILE);
        replace_file(&self.folder, LOG_FILE, &bytes)?;
        self.log = open_log(&path)?;
        self.log_bytes = bytes.len() as u64;
        let seek = self.log.seek(SeekFrom::Start(self.log_bytes));
        seek.map_err(|cause| Error::Io("open", path, cause))?;
        Ok(())
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
        let mut bytes = Vec::new();
        record::write(&mut bytes, &encode(&entries));
        let written = self.log.write_all(&bytes).and_then(|()| self.log.sync_data());
        if let Err(cause) = written {
            let length = self.log_bytes;
            self.truncate_log(length)?;
            return Err(Error::Io("append to", self.path(LOG_FILE), cause));
        }
        self.log_bytes += bytes.len() as u64;
        for entry in entries {
            self.push_replacing(entry.clone());
        }
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Error> {
        save_record(&self.folder, SNAPSHOT_FILE, snapshot)?;
        let index = snapshot.position.index;
        self.entries.retain(|entry| !reset && entry.position.index > index);
        self.rewrite_log()
    }
}

fn open_log(path: &Path) -> Result<File, Error> {
    let mut options = OpenOptions::new();
    let options = options.read(true).write(true).create(true).truncate(false);
    options.open(path).map_err(|cause| Error::Io("open", path.to_owned(), cause))
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(path: &Path, offset: usize, payload: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(payload)
        .map_err(|cause| Error::Corrupt(path.to_owned(), offset as u64, cause.to_string()))
}

fn load_record<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == ErrorKind::NotFound => return Ok(None),
        Err(cause) => return Err(Error::Io("read", path.to_owned(), cause)),
    };
    match record::read(&bytes, 0) {
        record::Read::Record(payload, _) => decode(path, 0, payload).map(Some),
        record::Read::Torn => {
            Err(Error::Corrupt(path.to_owned(), 0, "record is truncated".to_owned()))
        }
        record::Read::Corrupt(reason) => Err(Error::Corrupt(path.to_owned(), 0, reason.to_owned())),
    }
}

fn save_record<T: Serialize>(folder: &Path, file: &str, value: &T) -> Result<(), Error> {
    let mut bytes = Vec::new();
    record::write(&mut bytes, &encode(value));
    replace_file(folder, file, &bytes)
}

/// Replaces a file atomically: a crash leaves either the old or the new content.
fn replace_file(folder: &Path, file: &str, bytes: &[u8]) -> Result<(), Error> {
    let temporary = folder.join(format!("{file}.new"));
    let target = folder.join(file);
    let io_error = |cause| Error::Io("replace", target.clone(), cause);
    let mut new = File::create(&temporary).map_err(io_error)?;
    new.write_all(bytes).map_err(io_error)?;
    new.sync_all().map_err(io_error)?;
    fs::rename(&temporary, &target).map_err(io_error)?;
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(io_error)
}
