//! A file of checksummed records that grows by whole records until it is replaced.

use super::{Error, record};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A file of records; the effect of each call is durable when it returns.
///
/// # Examples
/// ```
/// use lycheehub_consensus::storage::RecordFile;
///
/// let folder = std::env::temp_dir().join(format!("record-file-{}", std::process::id()));
/// let mut file = RecordFile::open(&folder, "numbers")?;
/// file.append(&1_u32)?;
/// file.append(&2_u32)?;
/// assert_eq!(RecordFile::open(&folder, "numbers")?.load::<u32>()?, [1, 2]);
/// # std::fs::remove_dir_all(folder).ok();
/// # Ok::<(), lycheehub_consensus::storage::Error>(())
/// ```
#[derive(Debug)]
pub struct RecordFile {
    folder: PathBuf,
    name: &'static str,
    file: File,
    bytes: u64,
}

impl RecordFile {
    /// Opens the file in a folder, creating both if they do not exist.
    ///
    /// # Errors
    /// Fails if the folder cannot be created or the file cannot be opened for writing.
    pub fn open(folder: impl Into<PathBuf>, name: &'static str) -> Result<Self, Error> {
        let folder = folder.into();
        fs::create_dir_all(&folder)
            .map_err(|cause| Error::Io("create folder", folder.clone(), cause))?;
        let path = folder.join(name);
        let mut file = open_for_writing(&path)?;
        let end = file.seek(SeekFrom::End(0)).map_err(|cause| Error::Io("open", path, cause))?;
        Ok(Self { folder, name, file, bytes: end })
    }

    pub(super) fn path(&self) -> PathBuf {
        self.folder.join(self.name)
    }

    /// Returns all records, and cuts an interrupted write off.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is damaged.
    pub fn load<T: DeserializeOwned>(&mut self) -> Result<Vec<T>, Error> {
        let path = self.path();
        let bytes = fs::read(&path).map_err(|cause| Error::Io("read", path.clone(), cause))?;
        let (mut records, mut offset) = (Vec::new(), 0);
        while offset < bytes.len() {
            match record::read(&bytes, offset) {
                record::Read::Record(payload, next) => {
                    records.push(decode(&path, offset, payload)?);
                    offset = next;
                }
                record::Read::Torn => break,
                record::Read::Corrupt(reason) => {
                    return Err(Error::Corrupt(path, offset as u64, reason.to_owned()));
                }
            }
        }
        self.truncate(offset as u64)?;
        Ok(records)
    }

    /// Appends a record; an interrupted write stores all of it or nothing.
    ///
    /// # Errors
    /// Fails if the record is not known to be durable.
    pub fn append<T: Serialize>(&mut self, value: &T) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::write(&mut bytes, &encode(value));
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        if let Err(cause) = written {
            self.truncate(self.bytes)?;
            return Err(Error::Io("append to", self.path(), cause));
        }
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all records at once: a crash leaves either the old or the new ones.
    ///
    /// # Errors
    /// Fails if the new records are not known to be durable.
    pub fn replace<T: Serialize>(&mut self, values: impl Iterator<Item = T>) -> Result<(), Error> {
        let mut bytes = Vec::new();
        values.for_each(|value| record::write(&mut bytes, &encode(&value)));
        replace_file(&self.folder, self.name, &bytes)?;
        let path = self.path();
        self.file = open_for_writing(&path)?;
        self.bytes = bytes.len() as u64;
        let seek = self.file.seek(SeekFrom::Start(self.bytes));
        seek.map_err(|cause| Error::Io("open", path, cause))?;
        Ok(())
    }

    /// Cuts the file to `length` bytes.
    fn truncate(&mut self, length: u64) -> Result<(), Error> {
        let path = self.path();
        let io_error = |cause| Error::Io("truncate", path.clone(), cause);
        self.file.set_len(length).map_err(io_error)?;
        self.file.seek(SeekFrom::Start(length)).map_err(io_error)?;
        self.file.sync_data().map_err(io_error)?;
        self.bytes = length;
        Ok(())
    }
}

fn open_for_writing(path: &Path) -> Result<File, Error> {
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

/// Returns the one record of a file; `None` if the file does not exist.
pub(super) fn load_record<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
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

/// Makes `value` the one record of a file.
pub(super) fn save_record<T: Serialize>(folder: &Path, file: &str, value: &T) -> Result<(), Error> {
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
