//! The in-memory log: the newest snapshot and the entries after it.

use crate::{Config, Entry, Known, Payload, Position, Snapshot};

#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
    known: Known,
    /// The index of the first entry whose command this build does not know.
    first_unknown: Option<u64>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, mut entries: Vec<Entry>) -> Self {
        entries.retain(|entry| entry.position.index > snapshot.position.index);
        Self { snapshot, entries, ..Self::default() }
    }

    pub(crate) fn set_known(&mut self, known: Known) {
        self.known = known;
        self.find_first_unknown();
    }

    /// Returns the index of the first entry whose command this build does not know.
    pub(crate) fn first_unknown(&self) -> Option<u64> {
        self.first_unknown
    }

    /// Returns true if the state machine can restore `snapshot`.
    pub(crate) fn can_restore(&self, snapshot: &Snapshot) -> bool {
        (self.known.snapshot)(&snapshot.data)
    }

    fn is_known(&self, entry: &Entry) -> bool {
        match &entry.payload {
            Payload::Command(command) => (self.known.command)(command),
            Payload::Config(_) | Payload::Noop => true,
        }
    }

    fn find_first_unknown(&mut self) {
        let unknown = self.entries.iter().find(|entry| !self.is_known(entry));
        self.first_unknown = unknown.map(|entry| entry.position.index);
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.last().map_or(self.snapshot.position, |entry| entry.position)
    }

    /// Returns the term of the entry at `index`, unless the entry is compacted or beyond the end.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        if self.first_unknown.is_none() && !self.is_known(&entry) {
            self.first_unknown = Some(entry.position.index);
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.entries.retain(|entry| entry.position.index < index);
        self.first_unknown = self.first_unknown.filter(|unknown| *unknown < index);
    }

    /// Returns entries after `index`, up to `max_bytes` in total but at least one if any exists.
    pub(crate) fn entries_after(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.snapshot.position.index) as usize;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            bytes += entry_bytes(entry);
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the newest configuration in the log, committed or not.
    pub(crate) fn config(&self) -> &Config {
        self.config_entry().map_or(&self.snapshot.config, |(_, config)| config)
    }

    /// Returns the index and configuration of the newest configuration entry.
    pub(crate) fn config_entry(&self) -> Option<(u64, &Config)> {
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Config(config) => Some((entry.position.index, config)),
            _ => None,
        })
    }

    /// Returns the configuration in force at `index`.
    pub(crate) fn config_at(&self, index: u64) -> Config {
        let up_to_index = self.entries.iter().rev().filter(|entry| entry.position.index <= index);
        let config = up_to_index.into_iter().find_map(|entry| match &entry.payload {
            Payload::Config(config) => Some(config.clone()),
            _ => None,
        });
        config.unwrap_or_else(|| self.snapshot.config.clone())
    }

    /// Replaces the log up to the snapshot's position. Returns true if the existing entries did not
    /// match the snapshot's position and were all removed.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let continues = self.term_at(snapshot.position.index) == Some(snapshot.position.term);
        if continues {
            let index = snapshot.position.index;
            self.entries.retain(|entry| entry.position.index > index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.find_first_unknown();
        !continues
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD_BYTES: usize = 32;
    match &entry.payload {
        Payload::Command(data) => OVERHEAD_BYTES + data.len(),
        Payload::Config(config) => OVERHEAD_BYTES * (1 + config.voters.len()),
        Payload::Noop => OVERHEAD_BYTES,
    }
}
