//! The addresses of clusters stay free while the process starts others.

use lycheehub_standin::cluster::{Cluster, Layout};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// How many clusters are laid out beside the starts.
const CLUSTERS: usize = 200;
/// Threads that start processes.
const STARTERS: usize = 4;

#[test]
fn an_address_can_be_bound_at_once_while_other_processes_are_started() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("addresses");
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("started");
                }
            });
        }
        let taken: Vec<String> = (0..CLUSTERS)
            .filter_map(|number| {
                let folder = folder.join(number.to_string());
                let layout = Layout { replicas: 1, ..Layout::default() };
                let cluster = Cluster::lay_out(Path::new("unused"), &folder, &layout);
                let http = cluster.expect("laid out").instances[0].http.clone();
                TcpListener::bind(&http).err().map(|error| format!("{http}: {error}"))
            })
            .collect();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert!(taken.is_empty(), "{taken:?}");
}
