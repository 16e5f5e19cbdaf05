//! Stores what endpoints that leave have said, in a file of the data folder.

use lycheehub_consensus::storage::{Error as StorageError, RecordFile};
use lycheehub_control::directory::Departure;
use std::collections::BTreeMap;
use std::path::Path;

/// The name of the file.
const FILE: &str = "departures";
/// The number of stored departures from which on the file is checked for those that are no longer needed.
const COMPACT_COUNT: usize = 1_024;

/// The departures on this instance's disk. Without a data folder it stores nothing.
///
/// # Examples
/// ```
/// use lycheehub_peer::DepartureStore;
///
/// let mut store = DepartureStore::open(None)?;
/// assert!(store.load(0)?.is_empty());
/// # Ok::<(), lycheehub_consensus::storage::Error>(())
/// ```
#[derive(Debug)]
pub struct DepartureStore {
    file: Option<RecordFile>,
    /// Those that were needed when the file was read or compacted last, and all since.
    stored: Vec<Departure>,
    /// The number of departures in the file, and the one at which it is compacted next.
    in_file: usize,
    compact_at: usize,
}

impl DepartureStore {
    /// Opens the file, if there is a data folder.
    ///
    /// # Errors
    /// Fails if the file cannot be opened.
    pub fn open(folder: Option<&Path>) -> Result<Self, StorageError> {
        let file = folder.map(|folder| RecordFile::open(folder, FILE)).transpose()?;
        Ok(Self { file, stored: Vec::new(), in_file: 0, compact_at: COMPACT_COUNT })
    }

    /// Returns the departures that are still needed, the last one of each endpoint.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is damaged.
    pub fn load(&mut self, now_unix_ms: u64) -> Result<Vec<Departure>, StorageError> {
        let Some(file) = &mut self.file else { return Ok(Vec::new()) };
        self.stored = file.load::<Vec<Departure>>()?.into_iter().flatten().collect();
        self.in_file = self.stored.len();
        self.drop_unneeded(now_unix_ms);
        Ok(self.stored.clone())
    }

    /// Stores departures.
    ///
    /// # Errors
    /// Fails if they are not known to be durable.
    pub fn save(&mut self, departures: &[Departure], now_unix_ms: u64) -> Result<(), StorageError> {
        let Some(file) = &mut self.file else { return Ok(()) };
        file.append(&departures)?;
        self.stored.extend_from_slice(departures);
        self.in_file += departures.len();
        if self.in_file >= self.compact_at {
            self.compact(now_unix_ms)?;
        }
        Ok(())
    }

    fn compact(&mut self, now_unix_ms: u64) -> Result<(), StorageError> {
        self.drop_unneeded(now_unix_ms);
        self.compact_at = COMPACT_COUNT.max(2 * self.stored.len());
        let Some(file) = &mut self.file else { return Ok(()) };
        file.replace([&self.stored].into_iter())?;
        self.in_file = self.stored.len();
        Ok(())
    }

    fn drop_unneeded(&mut self, now_unix_ms: u64) {
        let stored = std::mem::take(&mut self.stored).into_iter();
        let needed = stored.filter(|departure| departure.is_needed(now_unix_ms));
        let last: BTreeMap<_, _> =
            needed.map(|departure| (departure.endpoint.clone(), departure)).collect();
        self.stored = last.into_values().collect();
    }
}
