//! What a replica has stored, in memory.

use lycheehub_consensus::{Entry, Persisted, Snapshot};

/// Appends entries; they replace those from their first index on.
pub fn append(stored: &mut Persisted, entries: Vec<Entry>) {
    let first = entries.first().map_or(u64::MAX, |entry| entry.position.index);
    stored.entries.retain(|entry| entry.position.index < first);
    stored.entries.extend(entries);
}

/// Saves a snapshot; the entries that it covers go, or all of them.
pub fn save_snapshot(stored: &mut Persisted, snapshot: Snapshot, reset: bool) {
    let index = snapshot.position.index;
    stored.entries.retain(|entry| !reset && entry.position.index > index);
    stored.snapshot = snapshot;
}
