//! Storage on a real disk: torn tails are cut, damage is refused, nothing stored is lost silently.

use lycheehub_consensus::storage::{Disk, Error, Storage};
use lycheehub_consensus::{Entry, Payload, Persisted, Position, ReplicaId, Snapshot, Vote};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    // The folder is there only after an earlier run.
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

fn filled(folder: &Path) -> (ReplicaId, Persisted) {
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
fn all_that_was_stored_is_loaded_again() {
    let folder = folder("storage_loaded");
    let stored = filled(&folder);
    assert_eq!(load(&folder).expect("loads"), stored);
}

#[test]
fn an_append_replaces_what_it_overlaps() {
    let folder = folder("storage_overlap");
    filled(&folder);
    let mut disk = Disk::open(&folder).expect("opens");
    disk.load().expect("loads");
    let replaced = Entry { position: Position { term: 2, index: 4 }, payload: Payload::Noop };
    disk.append(std::slice::from_ref(&replaced)).expect("stored");
    let (_, persisted) = load(&folder).expect("loads");
    assert_eq!(persisted.entries, [entry(3), replaced]);
}

#[test]
fn a_torn_tail_is_cut_at_every_length() {
    let folder = folder("storage_torn");
    let (_, stored) = filled(&folder);
    let log = folder.join("log");
    let whole = fs::read(&log).expect("read");
    for length in 0..whole.len() {
        fs::write(&log, &whole[..length]).expect("written");
        let (_, persisted) = load(&folder).expect("a torn tail loads");
        let count = persisted.entries.len();
        assert_eq!(persisted.entries, stored.entries[..count]);
        assert!(count < stored.entries.len());
    }
}

#[test]
fn zeros_after_the_tail_are_cut() {
    let folder = folder("storage_zeros");
    let stored = filled(&folder);
    let log = folder.join("log");
    let mut bytes = fs::read(&log).expect("read");
    bytes.extend([0; 4096]);
    fs::write(&log, bytes).expect("written");
    assert_eq!(load(&folder).expect("loads"), stored);
}

#[test]
fn a_last_write_of_which_any_part_is_missing_is_cut() {
    let folder = folder("storage_holes");
    let (_, stored) = filled(&folder);
    let log = folder.join("log");
    let before = fs::read(&log).expect("read").len();
    let mut disk = Disk::open(&folder).expect("opens");
    disk.load().expect("loads");
    let long = Payload::Command(vec![b'x'; 3_000]);
    let entries =
        [7, 8].map(|index| Entry { position: Position { term: 1, index }, payload: long.clone() });
    // Both entries are one write: of its sectors, each may be there or not.
    disk.append(&entries).expect("stored");
    let whole = fs::read(&log).expect("read");
    for missing in 0u32..64 {
        let mut bytes = whole.clone();
        for (sector, place) in (before..whole.len()).step_by(1_024).enumerate() {
            if missing >> sector & 1 == 1 {
                let end = whole.len().min(place + 1_024);
                bytes[place..end].fill(0);
            }
        }
        fs::write(&log, &bytes).expect("written");
        let (_, persisted) = load(&folder).expect("an interrupted write loads");
        assert!(persisted.entries.starts_with(&stored.entries), "{missing:b}");
        let whole = persisted.entries.len() == stored.entries.len() + entries.len();
        assert!(whole || persisted.entries.len() == stored.entries.len(), "{missing:b}");
    }
}

#[test]
fn a_flipped_byte_anywhere_is_refused() {
    let folder = folder("storage_flipped");
    filled(&folder);
    let mut refused = 0;
    for file in ["identity", "vote", "snapshot", "log"] {
        let path = folder.join(file);
        let whole = fs::read(&path).expect("read");
        for at in 0..whole.len() {
            let mut damaged = whole.clone();
            damaged[at] ^= 0x40;
            fs::write(&path, &damaged).expect("written");
            let found = load(&folder);
            assert!(matches!(found, Err(Error::Corrupt(..))), "{file} byte {at}: {found:?}");
            refused += 1;
        }
        fs::write(&path, &whole).expect("written");
    }
    assert!(refused > 100);
}

#[test]
fn a_lost_folder_comes_back_with_another_identity() {
    let folder = folder("storage_identity");
    let (before, _) = filled(&folder);
    fs::remove_dir_all(&folder).expect("removed");
    let (after, persisted) = load(&folder).expect("loads");
    assert_ne!(before, after);
    assert_eq!(persisted, Persisted::default());
}
