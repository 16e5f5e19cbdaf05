//! The file of what endpoints that leave have said.

use googletest::prelude::*;
use lycheehub_control::directory::Departure;
use lycheehub_peer::DepartureStore;
use std::path::{Path, PathBuf};

const NOW_UNIX_MS: u64 = 1_000_000_000;
/// The departures between two restarts: too few to compact the file by themselves.
const BETWEEN_RESTARTS: u64 = 600;
const RESTARTS: u64 = 20;
/// Room for the departures of a few restarts, in bytes.
const FILE_MAX_BYTES: u64 = 400_000;

fn empty_folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn departure(number: u64, since_unix_ms: u64) -> Departure {
    Departure {
        endpoint: format!("endpoint-of-the-label-service-{number}").into(),
        incarnation: since_unix_ms,
        sequence: 9,
        withdrawn: true,
        left: None,
        since_unix_ms,
    }
}

fn save(store: &mut DepartureStore, departure: Departure) {
    let now_unix_ms = departure.since_unix_ms;
    store.save(&[departure], now_unix_ms).unwrap();
}

/// Guards against a file that grows with each restart, because departures from before are not counted.
#[gtest]
fn the_file_does_not_grow_with_restarts() {
    let folder = empty_folder("departures-restarts");
    for restart in 0..RESTARTS {
        let now_unix_ms = NOW_UNIX_MS + restart * 600_000;
        let mut store = DepartureStore::open(Some(&folder)).unwrap();
        expect_that!(store.load(now_unix_ms).unwrap(), is_empty(), "{restart}");
        for number in 0..BETWEEN_RESTARTS {
            save(&mut store, departure(number, now_unix_ms));
        }
        let bytes = std::fs::metadata(folder.join("departures")).unwrap().len();
        expect_that!(bytes, lt(FILE_MAX_BYTES), "{restart}");
    }
}

/// Guards against departures that are lost when the file is compacted.
#[gtest]
fn what_is_still_needed_outlives_restarts_and_compaction() {
    let folder = empty_folder("departures-needed");
    let mut store = DepartureStore::open(Some(&folder)).unwrap();
    for number in 0..3_000 {
        save(&mut store, departure(number, NOW_UNIX_MS + number));
    }
    let mut store = DepartureStore::open(Some(&folder)).unwrap();
    let loaded = store.load(NOW_UNIX_MS + 3_000).unwrap();
    expect_that!(loaded.len(), eq(3_000));
    expect_that!(store.load(NOW_UNIX_MS + 600_000).unwrap(), is_empty());
}
