//! What was acknowledged of an endpoint that leaves: no later event lists the incarnation that left.

use super::directory::{self, record};
use googletest::prelude::*;
use lycheehub_control::directory::{Announced, Directory, LEASE_MS};
use lycheehub_types::{EndpointRecord, InstanceName};

/// When the endpoint starts, and when it says farewell by the replica's clock, in milliseconds since the
/// Unix epoch.
const STARTED_UNIX_MS: u64 = 1_000_000;
const FAREWELL_UNIX_MS: u64 = STARTED_UNIX_MS + 300;
/// The interval between announcements, in milliseconds.
const INTERVAL_MS: u64 = 1_200;

/// What the replica that takes a farewell knows of the endpoint.
#[derive(Clone, Copy, Debug)]
enum Known {
    Nothing,
    ThisIncarnation,
    AnOlderOne,
    ANewerOne,
    ByARelayOnly,
}

const ALL_KNOWN: [Known; 5] = [
    Known::Nothing,
    Known::ThisIncarnation,
    Known::AnOlderOne,
    Known::ANewerOne,
    Known::ByARelayOnly,
];

fn replica(known: Known) -> Directory {
    let mut directory = Directory::default();
    let relay = InstanceName::from("relay");
    match known {
        Known::Nothing => {}
        Known::ThisIncarnation => {
            directory.announce(0, record("e", STARTED_UNIX_MS, 5));
        }
        Known::AnOlderOne => {
            directory.announce(0, record("e", STARTED_UNIX_MS - 20_000, 9));
        }
        Known::ANewerOne => {
            directory.announce(0, record("e", STARTED_UNIX_MS + 50, 1));
        }
        Known::ByARelayOnly => {
            let mut from = Directory::default();
            from.announce(0, record("e", STARTED_UNIX_MS, 5));
            let listings = from.local_changes_after(0, usize::MAX).listings;
            directory.apply_relayed(0, &relay, listings);
        }
    }
    directory
}

fn withdraw(directory: &mut Directory, now_ms: u64, now_unix_ms: u64) {
    directory.withdraw(now_ms, &"e".into(), now_unix_ms);
}

/// Sends all changes of `from` to `to`.
fn propagate(now_ms: u64, from: &Directory, to: &mut Directory) {
    directory::propagate(now_ms, from, &"from".into(), to);
}

fn is_listed(directory: &Directory) -> bool {
    directory.live().any(|endpoint| !endpoint.leaving)
}

/// Guards against an acknowledged farewell of an unknown endpoint that is forgotten, so that its late
/// announcement lists it (review/8).
#[gtest]
fn a_late_announcement_does_not_list_an_endpoint_that_said_farewell() {
    for known in ALL_KNOWN {
        let mut directory = replica(known);
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        for (sequence, at_ms) in (1..).zip((200..5_000).step_by(500)) {
            directory.announce(at_ms, record("e", STARTED_UNIX_MS, sequence));
            directory.expire(at_ms);
            expect_that!(is_listed(&directory), eq(false), "{known:?} at {at_ms}");
        }
    }
}

/// Guards against an acknowledged farewell that another replica does not know of, which takes the late
/// announcement (review/8).
#[gtest]
fn a_late_announcement_elsewhere_does_not_list_an_endpoint_that_said_farewell() {
    for known in ALL_KNOWN {
        for other_knows in ALL_KNOWN {
            for is_told_before in [true, false] {
                let (mut here, mut there) = (replica(known), replica(other_knows));
                withdraw(&mut here, 100, FAREWELL_UNIX_MS);
                if is_told_before {
                    propagate(150, &here, &mut there);
                }
                there.announce(200, record("e", STARTED_UNIX_MS, 1));
                propagate(250, &there, &mut here);
                propagate(300, &here, &mut there);
                let what = format!("{known:?}, {other_knows:?}, {is_told_before}");
                expect_that!(is_listed(&here), eq(false), "{what}");
                expect_that!(is_listed(&there), eq(false), "{what}");
            }
        }
    }
}

/// Guards against an endpoint that starts again under its name and is taken for the one that left.
#[gtest]
fn an_endpoint_that_starts_again_after_its_farewell_is_listed_at_once() {
    for known in ALL_KNOWN {
        let mut directory = replica(known);
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        let again = record("e", FAREWELL_UNIX_MS + 2_500, 1);
        expect_that!(directory.announce(2_600, again), eq(Announced::Listed), "{known:?}");
        expect_that!(is_listed(&directory), eq(true), "{known:?}");
    }
}

/// Guards against a new start that is taken for the one that said farewell, because it follows at once
/// (review/13).
#[gtest]
fn an_endpoint_that_starts_again_at_once_after_its_farewell_is_listed_at_once() {
    let listed = [Known::ThisIncarnation, Known::AnOlderOne, Known::ANewerOne, Known::ByARelayOnly];
    for known in listed {
        for repeats in 0..3 {
            let (mut directory, mut other) = (replica(known), replica(known));
            // A farewell whose acknowledgement was lost is repeated elsewhere.
            let mut at_ms = 100;
            withdraw(&mut directory, at_ms, FAREWELL_UNIX_MS);
            propagate(at_ms, &directory, &mut other);
            for repeat in 1..=repeats {
                at_ms = 100 + repeat * 1_000;
                withdraw(&mut other, at_ms, FAREWELL_UNIX_MS + repeat * 1_000);
                directory::propagate(at_ms, &other, &"other".into(), &mut directory);
            }
            let again = record("e", FAREWELL_UNIX_MS + at_ms - 100 + 400, 1);
            let announced = directory.announce(at_ms + 400, again);
            expect_that!(announced, eq(Announced::Listed), "{known:?} {repeats}");
            propagate(at_ms + 400, &directory, &mut other);
            expect_that!(is_listed(&directory), eq(true), "{known:?} {repeats}");
            expect_that!(is_listed(&other), eq(true), "{known:?} {repeats}");
        }
    }
}

/// Guards against an endpoint that is never listed again because the clocks of a replica and of the endpoint
/// differ: it started later, but states an earlier time than that of the farewell.
#[gtest]
fn an_endpoint_that_starts_again_with_a_clock_behind_is_listed_in_the_end() {
    for known in ALL_KNOWN {
        let (mut directory, mut other) = (replica(known), replica(known));
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        propagate(100, &directory, &mut other);
        let started_unix_ms = FAREWELL_UNIX_MS - 3_000;
        let mut at_ms = 2_600;
        for sequence in 1..40 {
            directory.announce(at_ms, record("e", started_unix_ms, sequence));
            directory.expire(at_ms);
            propagate(at_ms, &directory, &mut other);
            at_ms += INTERVAL_MS;
        }
        expect_that!(is_listed(&directory), eq(true), "{known:?}");
        expect_that!(is_listed(&other), eq(true), "{known:?}");
    }
}

/// Guards against a start that is lost for good because a farewell of the one before came late.
#[gtest]
fn a_start_that_a_late_farewell_ended_is_listed_in_the_end() {
    for ahead_ms in [0, 10_000] {
        let (mut directory, mut other) =
            (replica(Known::ThisIncarnation), replica(Known::ThisIncarnation));
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        propagate(100, &directory, &mut other);
        let again = |sequence| record("e", FAREWELL_UNIX_MS + 400 + ahead_ms, sequence);
        directory.announce(500, again(1));
        propagate(500, &directory, &mut other);
        withdraw(&mut directory, 1_300, FAREWELL_UNIX_MS + 1_200);
        propagate(1_300, &directory, &mut other);
        expect_that!(is_listed(&directory) || is_listed(&other), eq(false), "{ahead_ms}");
        for (sequence, at_ms) in (2..).zip((1_700..110_000).step_by(INTERVAL_MS as usize)) {
            directory.announce(at_ms, again(sequence));
            directory.expire(at_ms);
            propagate(at_ms, &directory, &mut other);
        }
        expect_that!(is_listed(&directory) && is_listed(&other), eq(true), "{ahead_ms}");
    }
}

/// Guards against an endpoint that goes on to announce itself after its farewell and is listed for it.
#[gtest]
fn an_endpoint_that_announces_itself_after_its_farewell_stays_withdrawn() {
    for known in [Known::ThisIncarnation, Known::ByARelayOnly] {
        let mut directory = replica(known);
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        let (mut at_ms, mut sequence) = (200, 6);
        while at_ms < 60_000 {
            directory.announce(at_ms, record("e", STARTED_UNIX_MS, sequence));
            directory.expire(at_ms);
            expect_that!(is_listed(&directory), eq(false), "{known:?} at {at_ms}");
            (at_ms, sequence) = (at_ms + INTERVAL_MS, sequence + 1);
        }
    }
}

/// Guards against announcements from before a farewell that count as evidence that the endpoint runs, so that a
/// late one lists it (review/14).
#[gtest]
fn announcements_from_before_a_farewell_do_not_list_the_endpoint_after_it() {
    for known in ALL_KNOWN {
        let (mut directory, mut other) = (replica(known), replica(known));
        withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
        propagate(100, &directory, &mut other);
        // It starts again, with a clock behind, and is not listed before it says farewell once more.
        let started_unix_ms = STARTED_UNIX_MS + 100;
        let (mut at_ms, mut sequence) = (2_600, 1);
        while at_ms < 31_500 {
            for replica in [&mut directory, &mut other] {
                replica.announce(at_ms, record("e", started_unix_ms, sequence));
                expect_that!(is_listed(replica), eq(false), "{known:?} at {at_ms}");
            }
            (at_ms, sequence) = (at_ms + INTERVAL_MS, sequence + 1);
        }
        withdraw(&mut directory, 31_600, FAREWELL_UNIX_MS + 31_500);
        propagate(31_650, &directory, &mut other);
        for replica in [&mut directory, &mut other] {
            replica.announce(33_400, record("e", started_unix_ms, sequence));
            expect_that!(is_listed(replica), eq(false), "{known:?}");
        }
    }
}

/// Guards against an endpoint that is listed under numbers which one replica alone knows: once that one has
/// restarted, the endpoint's own numbers look outdated, and its word that it drains is dropped (review/13).
#[gtest]
fn what_a_leaving_endpoint_says_holds_at_each_replica_though_later_numbers_were_known() {
    let foreign = EndpointRecord { service: "foreign".into(), ..record("e", 9_000_000, 100_000) };
    let crashed = record("e", STARTED_UNIX_MS + 3_000, 7);
    for overtaking in [foreign, crashed] {
        for restarts in [false, true] {
            let (mut here, mut there) = (Directory::default(), Directory::default());
            here.announce(0, overtaking.clone());
            propagate(0, &here, &mut there);
            let mut sequence = 0;
            for at_ms in (400..20_000).step_by(INTERVAL_MS as usize) {
                sequence += 1;
                here.expire(at_ms);
                here.announce(at_ms, record("e", STARTED_UNIX_MS, sequence));
                propagate(at_ms, &here, &mut there);
            }
            let what = format!("{}, restarts: {restarts}", overtaking.service);
            expect_that!(is_listed(&here) && is_listed(&there), eq(true), "{what}");
            if restarts {
                here = Directory::default();
                there.mark_restarted(20_000, &"from".into());
            }
            let draining =
                EndpointRecord { leaving: true, ..record("e", STARTED_UNIX_MS, sequence + 1) };
            there.announce(20_100, draining);
            propagate(20_100, &there, &mut here);
            expect_that!(is_listed(&here) || is_listed(&there), eq(false), "{what}");
        }
    }
}

/// Guards against a word that is dropped and looks applied, so that it is acknowledged (review/13).
#[gtest]
fn what_became_of_an_announcement_is_told() {
    let draining =
        |incarnation| EndpointRecord { leaving: true, ..record("e", incarnation, 1_000) };
    let mut directory = replica(Known::ThisIncarnation);
    expect_that!(directory.announce(50, draining(STARTED_UNIX_MS - 1)), eq(Announced::Outdated));
    expect_that!(directory.is_in_service(&"e".into()), eq(true));
    // Of the listed incarnation it holds even if it comes late.
    let late = EndpointRecord { leaving: true, ..record("e", STARTED_UNIX_MS, 2) };
    expect_that!(directory.announce(60, late), eq(Announced::Listed));
    expect_that!(directory.announce(70, draining(STARTED_UNIX_MS)), eq(Announced::Renewed));
    expect_that!(directory.is_in_service(&"e".into()), eq(false));
    withdraw(&mut directory, 100, FAREWELL_UNIX_MS);
    expect_that!(directory.announce(150, draining(STARTED_UNIX_MS)), eq(Announced::Left));
}

/// Guards against an older announcement that takes back what an endpoint said last: that it drains.
#[gtest]
fn a_late_announcement_does_not_take_back_that_an_endpoint_drains() {
    for known in [Known::Nothing, Known::ThisIncarnation, Known::AnOlderOne, Known::ByARelayOnly] {
        let mut directory = replica(known);
        let draining = EndpointRecord { leaving: true, ..record("e", STARTED_UNIX_MS, 9) };
        directory.announce(100, draining);
        directory.announce(2_000, record("e", STARTED_UNIX_MS, 8));
        expect_that!(is_listed(&directory), eq(false), "{known:?}");
        directory.expire(100 + LEASE_MS);
        for (sequence, at_ms) in [(6, 4_700), (7, 5_900), (8, 7_100)] {
            directory.announce(at_ms, record("e", STARTED_UNIX_MS, sequence));
            expect_that!(is_listed(&directory), eq(false), "{known:?} at {at_ms}");
        }
    }
}

/// Returns a replica that has stored what `directory` knows, and restarted.
fn restarted(directory: &mut Directory, now_ms: u64, now_unix_ms: u64) -> Directory {
    let mut after = Directory::default();
    for departure in directory.unsaved_departures(now_unix_ms) {
        after.restore(now_ms, departure);
    }
    directory.mark_saved();
    after
}

/// Guards against what was acknowledged of an endpoint that leaves, and is forgotten when all replicas restart:
/// an older announcement that arrives late lists it (review/9).
#[gtest]
fn what_was_acknowledged_of_a_leaving_endpoint_outlives_a_restart_of_all_replicas() {
    for known in ALL_KNOWN {
        for drains in [false, true] {
            let (mut here, mut there) = (replica(known), replica(Known::Nothing));
            match drains {
                true => {
                    let draining =
                        EndpointRecord { leaving: true, ..record("e", STARTED_UNIX_MS, 9) };
                    here.announce(100, draining);
                }
                false => withdraw(&mut here, 100, FAREWELL_UNIX_MS),
            }
            propagate(150, &here, &mut there);
            let mut here = restarted(&mut here, 0, FAREWELL_UNIX_MS + 1_000);
            let mut there = restarted(&mut there, 0, FAREWELL_UNIX_MS + 1_000);
            // The third one held nothing of it, and takes the late announcement.
            let mut third = Directory::default();
            let what = format!("{known:?}, drains: {drains}");
            for directory in [&mut here, &mut there, &mut third] {
                directory.announce(2_000, record("e", STARTED_UNIX_MS, 8));
            }
            propagate(2_050, &third, &mut here);
            propagate(2_050, &here, &mut third);
            for directory in [&mut here, &mut there, &mut third] {
                directory.expire(2_100);
                // A newer incarnation than the one that drains is in service.
                let is_newer = drains && matches!(known, Known::ANewerOne);
                expect_that!(is_listed(directory) && !is_newer, eq(false), "{what}");
            }
            let again = record("e", FAREWELL_UNIX_MS + 2_500, 1);
            here.announce(2_600, again);
            expect_that!(is_listed(&here), eq(true), "{what}");
        }
    }
}

/// Guards against an endpoint that drains and is not listed as such after a restart of all replicas: what runs
/// there goes on.
#[gtest]
fn an_endpoint_that_drains_says_so_again_after_a_restart() {
    let mut directory = replica(Known::ThisIncarnation);
    let draining =
        |sequence| EndpointRecord { leaving: true, ..record("e", STARTED_UNIX_MS, sequence) };
    directory.announce(100, draining(9));
    let mut directory = restarted(&mut directory, 0, FAREWELL_UNIX_MS);
    directory.announce(500, draining(9));
    expect_that!(directory.live().all(|endpoint| endpoint.leaving), eq(true));
    expect_that!(directory.live().count(), eq(1));
}
