//! Storage on a real disk: a torn write at the end is discarded, and other damage is an error instead
//! of a silent loss of stored entries.

use lycheehub_consensus::storage::{Disk, Error, Storage};
use lycheehub_consensus::{Entry, Payload, Persisted, Position, ReplicaId, Snapshot, Vote};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    // The folder exists only after an earlier run.
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

fn store_sample(folder: &Path) -> (ReplicaId, Persisted) {
    let mut disk = Disk::open(folder).expect("opens");
    let (id, _) = disk.load().expect("loads");
    let vote = Vote { term: 3, voted_for: Some(ReplicaId(7)) };
    disk.save_vote(&vote).expect("stored");
    let snapshot = Snapshot {
        position: Position { term: 1, index: 2 },
        data: b"state".to_vec(),
        ..Snapshot::default()
    };
    disk.append(&[entry(1), entry(2)]).expect("stored");
    disk.save_snapshot(&snapshot, false).expect("stored");
    for index in 3..=6 {
        disk.append(&[entry(index)]).expect("stored");
    }
    (id, Persisted { vote, snapshot, entries: (3..=6).map(entry).collect() })
}

fn load(folder: &Path) -> Result<(ReplicaId, Persisted), Error> {
    Disk::open(folder)?.load()
}

#[test]
fn stored_state_is_loaded() {
    let folder = folder("storage_loaded");
    let stored = store_sample(&folder);
    assert_eq!(load(&folder).expect("loads"), stored);
}

#[test]
fn an_append_replaces_overlapping_entries() {
    let folder = folder("storage_overlap");
    store_sample(&folder);
    let mut disk = Disk::open(&folder).expect("opens");
    disk.load().expect("loads");
    let replaced = Entry { position: Position { term: 2, index: 4 }, payload: Payload::Noop };
    disk.append(std::slice::from_ref(&replaced)).expect("stored");
    let (_, persisted) = load(&folder).expect("loads");
    assert_eq!(persisted.entries, [entry(3), replaced]);
}

#[test]
fn a_torn_tail_of_any_length_is_discarded() {
    let folder = folder("storage_torn");
    let (_, stored) = store_sample(&folder);
    let log = folder.join("log");
    let original = fs::read(&log).expect("read");
    for length in 0..original.len() {
        fs::write(&log, &original[..length]).expect("written");
        let (_, persisted) = load(&folder).expect("a torn tail loads");
        let count = persisted.entries.len();
        assert_eq!(persisted.entries, stored.entries[..count]);
        assert!(count < stored.entries.len());
    }
}

#[test]
fn zeros_after_the_last_record_are_discarded() {
    let folder = folder("storage_zeros");
    let stored = store_sample(&folder);
    let log = folder.join("log");
    let mut bytes = fs::read(&log).expect("read");
    bytes.extend([0; 4096]);
    fs::write(&log, bytes).expect("written");
    assert_eq!(load(&folder).expect("loads"), stored);
}

#[test]
fn a_last_write_with_any_part_missing_is_discarded() {
    let folder = folder("storage_holes");
    let (_, stored) = store_sample(&folder);
    let log = folder.join("log");
    let before = fs::read(&log).expect("read").len();
    let mut disk = Disk::open(&folder).expect("opens");
    disk.load().expect("loads");
    let long = Payload::Command(vec![b'x'; 3_000]);
    let entries =
        [7, 8].map(|index| Entry { position: Position { term: 1, index }, payload: long.clone() });
    // Both entries are one write. After a crash any subset of its sectors may be missing.
    disk.append(&entries).expect("stored");
    let original = fs::read(&log).expect("read");
    for missing in 0u32..64 {
        let mut bytes = original.clone();
        for (sector, place) in (before..original.len()).step_by(1_024).enumerate() {
            if missing >> sector & 1 == 1 {
                let end = original.len().min(place + 1_024);
                bytes[place..end].fill(0);
            }
        }
        fs::write(&log, &bytes).expect("written");
        let (_, persisted) = load(&folder).expect("an interrupted write loads");
        assert!(persisted.entries.starts_with(&stored.entries), "{missing:b}");
        let is_complete = persisted.entries.len() == stored.entries.len() + entries.len();
        assert!(is_complete || persisted.entries.len() == stored.entries.len(), "{missing:b}");
    }
}

#[test]
fn a_flipped_bit_in_any_byte_is_an_error() {
    let folder = folder("storage_flipped");
    store_sample(&folder);
    let mut detected = 0;
    for file in ["identity", "vote", "snapshot", "log"] {
        let path = folder.join(file);
        let original = fs::read(&path).expect("read");
        for at in 0..original.len() {
            let mut damaged = original.clone();
            damaged[at] ^= 0x40;
            fs::write(&path, &damaged).expect("written");
            let found = load(&folder);
            assert!(matches!(found, Err(Error::Corrupt(..))), "{file} byte {at}: {found:?}");
            detected += 1;
        }
        fs::write(&path, &original).expect("written");
    }
    assert!(detected > 100);
}

#[test]
fn a_recreated_folder_has_a_new_identity() {
    let folder = folder("storage_identity");
    let (before, _) = store_sample(&folder);
    fs::remove_dir_all(&folder).expect("removed");
    let (after, persisted) = load(&folder).expect("loads");
    assert_ne!(before, after);
    assert_eq!(persisted, Persisted::default());
}
