//! Tests of the replicated log, the state and the disks that earlier builds wrote.
//!
//! What this build writes for the same content must be the same bytes: then an earlier build reads it.

use super::{BUILDS, LAST_BUILD, folder_of, recorded_bytes};
use googletest::prelude::*;
use lycheehub_consensus::storage::{Disk, Storage};
use lycheehub_consensus::{Entry, Payload, Position, ReplicaId, Vote};
use lycheehub_control::state::{ClaimState, Feed, Phase, RolloutState};
use lycheehub_control::{Command, State};
use lycheehub_types::ServiceName;
use std::path::{Path, PathBuf};

const COMMANDS: [(&str, &str); 11] = [
    ("submit", "submit section"),
    ("step-move", "step move"),
    ("claim", "claim"),
    ("settle-answered", "settle claim"),
    ("settle-not-run", "settle claim"),
    ("settle-unknown", "settle claim"),
    ("replace-document", "replace document"),
    ("start-rollout", "start rollout"),
    ("step-rollout-running", "step rollout"),
    ("step-rollout-completed", "step rollout"),
    ("step-rollout-rolled-back", "step rollout"),
];

fn command_bytes(build: &str, name: &str) -> Vec<u8> {
    recorded_bytes(build, &format!("command-{name}.postcard"))
}

fn command(build: &str, name: &str) -> Command {
    Command::decode(&command_bytes(build, name)).unwrap()
}

#[gtest]
fn commands_of_earlier_builds_are_read_and_written_alike() {
    for build in BUILDS {
        for (name, kind) in COMMANDS {
            let command = command(build, name);
            expect_that!(command.kind(), eq(kind), "{build} {name}");
            expect_that!(command.encode(), eq(&command_bytes(build, name)), "{build} {name}");
        }
    }
}

#[gtest]
fn commands_of_earlier_builds_mean_the_same() {
    for build in BUILDS {
        let Command::Claim { key, claimant, fingerprint, now_unix_ms } = command(build, "claim")
        else {
            panic!("{build}: not a claim");
        };
        expect_that!((key.account.as_str(), key.key.as_str()), eq(("ana", "order-1")));
        expect_that!((claimant.instance.as_str(), claimant.request), eq(("entry-1", 77)));
        expect_that!((fingerprint, now_unix_ms), eq((u64::MAX - 1, 1_700_000_000_100)));
        let states = [
            ("settle-answered", ClaimState::Answered),
            ("settle-not-run", ClaimState::NotRun),
            ("settle-unknown", ClaimState::Unknown),
        ];
        for (name, expected) in states {
            let Command::Settle { state, .. } = command(build, name) else { panic!("{name}") };
            expect_that!(state, eq(expected));
        }
        let states = [
            ("step-rollout-running", RolloutState::Running, 100),
            ("step-rollout-completed", RolloutState::Completed, 1_000),
            ("step-rollout-rolled-back", RolloutState::RolledBack, 0),
        ];
        for (name, expected, share_permille) in states {
            let Command::StepRollout(step) = command(build, name) else { panic!("{name}") };
            expect_that!((step.state, step.share_permille), eq((expected, share_permille)));
        }
        let Command::StepMove(step) = command(build, "step-move") else { panic!("{build}") };
        expect_that!((step.id.as_str(), step.phase), eq(("m1", Phase::Loading)));
    }
}

#[gtest]
fn the_state_and_the_feed_of_earlier_builds_are_read_and_written_alike() {
    for build in BUILDS {
        let bytes = recorded_bytes(build, "state.postcard");
        let state = State::decode(&bytes).unwrap();
        expect_that!(state.encode(), eq(&bytes), "{build}");
        expect_that!(state.revision, eq(9));
        expect_that!(state.document.document.version, eq(7));
        expect_that!(state.document.source, eq(b"{\"v\":7}"));
        expect_that!(state.claims.len(), eq(1));
        let rollout = &state.rollouts[&ServiceName::from("writer")];
        expect_that!(rollout.state, eq(RolloutState::Running));
        expect_that!(rollout.share_permille, eq(100));
        let bytes = recorded_bytes(build, "feed.postcard");
        let feed = Feed::decode(&bytes).unwrap();
        expect_that!(feed.encode(), eq(&bytes), "{build}");
        let mut follower = State::default();
        expect_that!(follower.apply_feed(feed), eq(true));
        expect_that!(follower.document, eq(&state.document));
        expect_that!(follower.moves, eq(&state.moves));
        expect_that!(follower.rollouts, eq(&state.rollouts));
    }
}

/// Returns an empty folder for a disk. Tests run at the same time, so each needs a `name` of its own.
fn disk_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn copy_of_disk(build: &str, name: &str) -> PathBuf {
    let folder = disk_folder(&format!("{name}-{build}"));
    for entry in std::fs::read_dir(folder_of(build).join("disk")).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
    }
    folder
}

#[gtest]
fn a_disk_of_an_earlier_build_is_read_and_written_alike() {
    for build in BUILDS {
        let (_, stored) = Disk::open(copy_of_disk(build, "read")).unwrap().load().unwrap();
        expect_that!(stored.vote, eq(Vote { term: 3, voted_for: Some(ReplicaId(2)) }));
        expect_that!(stored.snapshot.position, eq(Position { term: 2, index: 8 }));
        expect_that!(stored.snapshot.config.voters.len(), eq(3));
        let state = recorded_bytes(build, "state.postcard");
        expect_that!(stored.snapshot.data, eq(&state), "{build}");
        let payloads: Vec<&Payload> = stored.entries.iter().map(|entry| &entry.payload).collect();
        let config = Payload::Config(stored.snapshot.config.clone());
        let claim = Payload::Command(command_bytes(build, "claim"));
        expect_that!(payloads, elements_are![eq(&&Payload::Noop), eq(&&config), eq(&&claim)]);

        let folder = disk_folder(&format!("written-{build}"));
        let mut disk = Disk::open(&folder).unwrap();
        disk.load().unwrap();
        disk.save_vote(&stored.vote).unwrap();
        disk.save_snapshot(&stored.snapshot, true).unwrap();
        disk.append(&stored.entries[..2]).unwrap();
        disk.append(&stored.entries[2..]).unwrap();
        for file in ["vote", "snapshot", "log"] {
            let bytes = std::fs::read(folder.join(file)).unwrap();
            let before = recorded_bytes(build, &format!("disk/{file}"));
            expect_that!(bytes, eq(&before), "{build} {file}");
        }
    }
}

#[gtest]
fn an_instance_goes_on_with_the_disk_of_an_earlier_build() {
    let folder = copy_of_disk(LAST_BUILD, "continued");
    let mut disk = Disk::open(&folder).unwrap();
    let (identity, _) = disk.load().unwrap();
    let payload = Payload::Command(command(LAST_BUILD, "start-rollout").encode());
    disk.append(&[Entry { position: Position { term: 4, index: 12 }, payload }]).unwrap();
    let (same_identity, stored) = Disk::open(&folder).unwrap().load().unwrap();
    expect_that!(same_identity, eq(identity));
    expect_that!(stored.entries.len(), eq(4));
}

#[gtest]
fn a_command_that_this_build_does_not_know_is_refused() {
    let mut bytes = command_bytes(LAST_BUILD, "start-rollout");
    bytes[0] = 99;
    expect_that!(Command::decode(&bytes), err(anything()));
    let known = command_bytes(LAST_BUILD, "claim");
    expect_that!(Command::decode(&known[..known.len() - 1]), err(anything()));
}

#[gtest]
fn what_a_newer_build_adds_at_the_end_of_a_command_is_ignored() {
    for (name, _) in COMMANDS {
        let mut bytes = command_bytes(LAST_BUILD, name);
        bytes.extend([1, 2, 3]);
        expect_that!(Command::decode(&bytes), ok(eq(&command(LAST_BUILD, name))));
    }
}
