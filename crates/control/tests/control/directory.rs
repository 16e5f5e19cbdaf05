//! The directory of endpoints: leases, what is passed on, and what old announcements may not do.

use googletest::prelude::*;
use lycheehub_control::directory::{Directory, LEASE_MS, Listing, ORPHAN_MS};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord, InstanceName};

fn record(name: &str, incarnation: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint: name.into(),
        address: format!("{name}:1").into(),
        service: "writer".into(),
        version: "v1".into(),
        kind: EndpointKind::Engine,
        hardware: "".into(),
        failure_domain: "salto".into(),
        slots: 9,
        fencing: false,
        takes_orders: false,
        incarnation,
        sequence,
        leaving: false,
        load: EndpointLoad::default(),
    }
}

fn live(directory: &Directory) -> Vec<String> {
    directory.live().map(|record| record.endpoint.to_string()).collect()
}

/// Passes all that `from` knows on to `to`.
fn pass_on(now_ms: u64, from: &Directory, name: &InstanceName, to: &mut Directory) {
    to.take(now_ms, name, from.changes_after(0));
}

#[gtest]
fn a_renewal_is_not_passed_on_and_a_change_is() {
    let mut directory = Directory::default();
    expect_that!(directory.announce(0, record("e", 1, 1)), eq(true));
    let told = directory.change();
    expect_that!(directory.announce(1_000, record("e", 1, 2)), eq(false));
    expect_that!(directory.changes_after(told), is_empty());
    let leaving = EndpointRecord { leaving: true, ..record("e", 1, 3) };
    expect_that!(directory.announce(2_000, leaving), eq(true));
    expect_that!(directory.changes_after(told).len(), eq(1));
}

#[gtest]
fn an_endpoint_that_falls_silent_is_gone_everywhere() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    here.announce(0, record("e", 1, 1));
    pass_on(0, &here, &"here".into(), &mut there);
    here.announce(1_000, record("e", 1, 2));
    expect_that!(here.expire(1_000 + LEASE_MS - 1), is_empty());
    expect_that!(here.expire(1_000 + LEASE_MS).len(), eq(1));
    pass_on(6_000, &here, &"here".into(), &mut there);
    expect_that!(live(&there), is_empty());
}

#[gtest]
fn an_endpoint_that_turns_to_another_replica_is_not_ended_by_the_first() {
    let (mut first, mut second) = (Directory::default(), Directory::default());
    first.announce(0, record("e", 1, 1));
    pass_on(0, &first, &"first".into(), &mut second);
    second.announce(2_000, record("e", 1, 2));
    pass_on(2_000, &second, &"second".into(), &mut first);
    expect_that!(first.expire(20_000), is_empty());
    expect_that!(live(&first), elements_are![eq("e")]);
}

#[gtest]
fn what_a_lost_replica_watched_over_holds_until_its_endpoints_can_have_turned_elsewhere() {
    let (mut lost, mut here) = (Directory::default(), Directory::default());
    lost.announce(0, record("e", 1, 1));
    pass_on(0, &lost, &"lost".into(), &mut here);
    here.note_silent(1_000, &"lost".into());
    expect_that!(here.expire(1_000 + ORPHAN_MS - 1), is_empty());
    expect_that!(here.expire(1_000 + ORPHAN_MS).len(), eq(1));
    // Others may still be in touch with the replica: they are told nothing.
    expect_that!(here.changes_after(0), is_empty());
}

#[gtest]
fn a_replica_that_was_started_again_watches_over_nothing_it_had() {
    let (mut before, mut here) = (Directory::default(), Directory::default());
    before.announce(0, record("e", 1, 1));
    pass_on(0, &before, &"peer".into(), &mut here);
    here.note_restarted(1_000, &"peer".into());
    here.take(1_100, &"peer".into(), vec![]);
    expect_that!(here.expire(1_000 + ORPHAN_MS).len(), eq(1));
}

#[gtest]
fn announcements_from_before_an_end_bring_nothing_back() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 1, 5));
    directory.withdraw(100, &"e".into());
    expect_that!(directory.announce(200, record("e", 1, 4)), eq(false));
    expect_that!(directory.announce(200, record("e", 1, 6)), eq(false));
    expect_that!(live(&directory), is_empty());
    // The same name, started again, counts from the beginning.
    expect_that!(directory.announce(300, record("e", 2, 1)), eq(true));
    expect_that!(live(&directory), elements_are![eq("e")]);
    expect_that!(directory.announce(400, record("e", 1, 9)), eq(false));
}

#[gtest]
fn leaving_is_not_taken_back_by_a_later_announcement_of_the_same_start() {
    let mut directory = Directory::default();
    directory.announce(0, EndpointRecord { leaving: true, ..record("e", 1, 5) });
    directory.announce(100, record("e", 1, 6));
    expect_that!(directory.live().all(|record| record.leaving), eq(true));
}

#[gtest]
fn of_two_endpoints_at_one_address_the_one_started_last_is_there() {
    let mut directory = Directory::default();
    let at = |name, incarnation| EndpointRecord {
        address: "10.0.0.1:80".into(),
        ..record(name, incarnation, 1)
    };
    directory.announce(0, at("new", 9));
    directory.announce(100, at("old", 3));
    expect_that!(live(&directory), elements_are![eq("new")]);
}

#[gtest]
fn a_withdrawal_that_went_round_wins_over_a_newer_announcement_of_the_same_start() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    here.announce(0, record("e", 1, 1));
    pass_on(0, &here, &"here".into(), &mut there);
    there.announce(50, record("e", 1, 2));
    here.withdraw(60, &"e".into());
    pass_on(70, &here, &"here".into(), &mut there);
    expect_that!(live(&there), is_empty());
    let listing: Vec<Listing> = there.changes_after(0);
    expect_that!(listing.iter().all(|listing| listing.withdrawn), eq(true));
}
