//! The directory of endpoints: leases, what is passed on, and what old announcements may not do.

use googletest::prelude::*;
use lycheehub_control::directory::batching::{
    Backlog, MAX_CHANGES_PER_REPLY, batch_delay_ms, relay_delay_ms,
};
use lycheehub_control::directory::{Directory, Heard, LEASE_MS, Listing, ORPHAN_MS};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord, InstanceName};
use std::collections::BTreeMap;

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

/// Passes all that `from` has heard itself on to `to`.
fn pass_on(now_ms: u64, from: &Directory, name: &InstanceName, to: &mut Directory) {
    let own = from.local_changes_after(0, usize::MAX);
    to.apply_direct(now_ms, name, Heard { epoch: 1, change: own.up_to }, own.listings);
}

fn local_changes_after(directory: &Directory, change: u64) -> Vec<Listing> {
    directory.local_changes_after(change, usize::MAX).listings
}

fn relayed_changes_after(directory: &Directory, change: u64) -> Vec<Listing> {
    directory.relayed_changes_after(change, usize::MAX, u64::MAX, &BTreeMap::new()).listings
}

#[gtest]
fn a_renewal_is_not_passed_on_and_a_change_is() {
    let mut directory = Directory::default();
    expect_that!(directory.announce(0, record("e", 1, 1)), eq(true));
    let told = directory.change();
    expect_that!(directory.announce(1_000, record("e", 1, 2)), eq(false));
    expect_that!(local_changes_after(&directory, told), is_empty());
    let leaving = EndpointRecord { leaving: true, ..record("e", 1, 3) };
    expect_that!(directory.announce(2_000, leaving), eq(true));
    expect_that!(local_changes_after(&directory, told).len(), eq(1));
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
    here.mark_unreachable(1_000, &"lost".into());
    expect_that!(here.expire(1_000 + ORPHAN_MS - 1), is_empty());
    expect_that!(here.expire(1_000 + ORPHAN_MS).len(), eq(1));
    // Others may still be in touch with the replica: they are told nothing.
    expect_that!(local_changes_after(&here, 0), is_empty());
    expect_that!(relayed_changes_after(&here, 0), is_empty());
}

#[gtest]
fn a_replica_that_was_started_again_watches_over_nothing_it_had() {
    let (mut before, mut here) = (Directory::default(), Directory::default());
    before.announce(0, record("e", 1, 1));
    pass_on(0, &before, &"peer".into(), &mut here);
    here.mark_restarted(1_000, &"peer".into());
    here.apply_direct(1_100, &"peer".into(), Heard { epoch: 2, change: 0 }, vec![]);
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
    let listing: Vec<Listing> = local_changes_after(&there, 0)
        .into_iter()
        .chain(relayed_changes_after(&there, 0))
        .collect();
    expect_that!(listing.len(), eq(1));
    expect_that!(listing.iter().all(|listing| listing.withdrawn), eq(true));
}

#[gtest]
fn changes_are_told_in_parts_that_add_up_while_more_come() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    for number in 0..10 {
        here.announce(0, record(&format!("e{number}"), 1, 1));
    }
    let (mut told, mut parts) = (0, 0);
    while told < here.change() {
        let part = here.local_changes_after(told, 3);
        expect_that!(part.listings.len(), le(3));
        expect_that!(part.up_to, gt(told));
        told = part.up_to;
        there.apply_direct(0, &"here".into(), Heard { epoch: 1, change: told }, part.listings);
        parts += 1;
        if parts == 2 {
            here.announce(10, EndpointRecord { leaving: true, ..record("e0", 1, 2) });
            here.withdraw(10, &"e9".into());
        }
    }
    expect_that!(live(&there), eq(&live(&here)));
    expect_that!(live(&there).len(), eq(9));
    expect_that!(there.live().filter(|record| record.leaving).count(), eq(1));
    expect_that!(parts, eq(4));
}

#[gtest]
fn what_is_forgotten_is_not_told_any_more() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 1, 1));
    directory.withdraw(0, &"e".into());
    directory.expire(1_000_000);
    expect_that!(local_changes_after(&directory, 0), is_empty());
    expect_that!(directory.pending_local_changes(0, 9), none());
}

/// What instances that watch a replica cost it, while endpoints come.
struct Told {
    answers: usize,
    /// The most changes on their way to all in one millisecond.
    most_at_once: usize,
    /// The longest that a change was not told to all, in milliseconds.
    latest_ms: u64,
}

/// Plays `watchers` instances that ask again as soon as they are told, while an endpoint comes each
/// millisecond for `new_ms`, after `known` that were there before.
fn play_watchers(watchers: usize, known: usize, new_ms: u64) -> Told {
    let mut directory = Directory::default();
    for number in 0..known {
        directory.announce(0, record(&format!("known{number}"), 1, 1));
    }
    let mut cursors = vec![0_u64; watchers];
    let mut due_ms: Vec<Option<u64>> = vec![None; watchers];
    let mut told = Told { answers: 0, most_at_once: 0, latest_ms: 0 };
    let mut came_ms = Vec::new();
    for now_ms in 0..new_ms + 2_000 {
        if now_ms < new_ms {
            directory.announce(now_ms, record(&format!("new{now_ms}"), 1, 1));
            came_ms.push(now_ms);
        }
        let mut at_once = 0;
        for (cursor, due_ms) in cursors.iter_mut().zip(&mut due_ms) {
            let Some((count, since_ms)) =
                directory.pending_local_changes(*cursor, MAX_CHANGES_PER_REPLY)
            else {
                continue;
            };
            let backlog = match *cursor {
                0 => Backlog::Immediate,
                _ => Backlog::Changes { count, oldest_ms: now_ms - since_ms },
            };
            let due = *due_ms.get_or_insert_with(|| now_ms + batch_delay_ms(backlog, watchers));
            if due > now_ms {
                continue;
            }
            let part = directory.local_changes_after(*cursor, MAX_CHANGES_PER_REPLY);
            let first_new = cursor.saturating_sub(known as u64) as usize;
            let last_new = part.up_to.saturating_sub(known as u64) as usize;
            let waited_ms = came_ms[first_new..last_new].iter().map(|came_ms| now_ms - came_ms);
            told.latest_ms = told.latest_ms.max(waited_ms.max().unwrap_or(0));
            at_once += part.listings.len();
            told.answers += 1;
            *cursor = part.up_to;
            *due_ms = None;
        }
        told.most_at_once = told.most_at_once.max(at_once);
    }
    told
}

#[gtest]
fn hundreds_that_watch_while_endpoints_come_are_told_some_times_a_second() {
    let told = play_watchers(380, 770, 1_000);
    // As many parts as the changes fill, and what gathers in three times 380 ms.
    let parts = (770 + 1_000) / MAX_CHANGES_PER_REPLY + 1 + 3;
    expect_that!(told.answers, le(380 * parts));
    expect_that!(told.latest_ms, le(400));
}

#[gtest]
fn hundreds_that_start_at_once_are_told_in_parts() {
    let told = play_watchers(380, 3_000, 0);
    expect_that!(told.most_at_once, le(380 * MAX_CHANGES_PER_REPLY));
}

#[gtest]
fn few_that_watch_are_told_at_once() {
    let told = play_watchers(8, 18, 1_000);
    expect_that!(told.latest_ms, le(8));
}

/// An instance that watches replicas.
#[derive(Default)]
struct Instance {
    directory: Directory,
    heard: BTreeMap<InstanceName, Heard>,
    relayed: BTreeMap<InstanceName, u64>,
    /// How many listings it was told.
    told: usize,
}

impl Instance {
    /// Takes what a replica has heard itself, which it tells at once.
    fn take_own(&mut self, now_ms: u64, name: &InstanceName, epoch: u64, replica: &Directory) {
        let heard = self.heard.get(name).copied().unwrap_or_default();
        let is_first = heard.epoch != epoch;
        if is_first {
            self.relayed.remove(name);
        }
        let own = replica.local_changes_after(if is_first { 0 } else { heard.change }, usize::MAX);
        let heard = Heard { epoch, change: own.up_to };
        self.heard.insert(name.clone(), heard);
        self.told += own.listings.len();
        self.directory.apply_direct(now_ms, name, heard, own.listings);
    }

    /// Takes what others told a replica, which it passes on with the answer to the next question.
    fn take_relays(&mut self, now_ms: u64, name: &InstanceName, replica: &Directory) {
        let relayed = self.relayed.get(name).copied().unwrap_or_default();
        let before_ms = now_ms - relay_delay_ms(0);
        let relays = replica.relayed_changes_after(relayed, usize::MAX, before_ms, &self.heard);
        self.relayed.insert(name.clone(), relays.up_to);
        self.told += relays.listings.len();
        self.directory.apply_relayed(now_ms, name, relays.listings);
    }
}

/// Five replicas, of which each heard every fifth of `endpoints` and told the others.
fn replicas(endpoints: usize) -> Vec<(InstanceName, Instance)> {
    let name = |place: usize| InstanceName::from(format!("replica-{place}").as_str());
    let mut replicas: Vec<(InstanceName, Instance)> =
        (0..5).map(|place| (name(place), Instance::default())).collect();
    for number in 0..endpoints {
        replicas[number % 5].1.directory.announce(0, record(&format!("e{number}"), 1, 1));
    }
    tell_each_other(&mut replicas, 10);
    replicas
}

fn tell_each_other(replicas: &mut [(InstanceName, Instance)], now_ms: u64) {
    let told: Vec<(InstanceName, Directory)> =
        replicas.iter().map(|(name, replica)| (name.clone(), replica.directory.clone())).collect();
    for (own, to) in replicas.iter_mut() {
        for (name, directory) in told.iter().filter(|(name, _)| name != own) {
            to.take_own(now_ms, name, 1, directory);
        }
    }
}

fn ask_all(instance: &mut Instance, now_ms: u64, replicas: &[(InstanceName, Instance)]) {
    for (name, replica) in replicas {
        instance.take_own(now_ms, name, 1, &replica.directory);
    }
    for (name, replica) in replicas {
        instance.take_relays(now_ms, name, &replica.directory);
    }
}

#[gtest]
fn one_that_hears_all_replicas_is_told_of_each_endpoint_once() {
    let mut replicas = replicas(770);
    let mut instance = Instance::default();
    for round in 0..3 {
        ask_all(&mut instance, 100 + 100 * round, &replicas);
    }
    expect_that!(live(&instance.directory).len(), eq(770));
    expect_that!(instance.told, eq(770));
    // An endpoint that leaves, and one that turns to another replica.
    let leaving = EndpointRecord { leaving: true, ..record("e7", 1, 2) };
    replicas[2].1.directory.announce(1_000, leaving);
    replicas[4].1.directory.announce(1_000, record("e8", 1, 2));
    tell_each_other(&mut replicas, 1_010);
    for round in 0..3 {
        ask_all(&mut instance, 1_100 + 100 * round, &replicas);
    }
    expect_that!(instance.directory.live().filter(|record| record.leaving).count(), eq(1));
    expect_that!(instance.told, eq(772));
}

#[gtest]
fn one_that_does_not_hear_a_replica_is_told_by_the_others_as_it_asks_again() {
    let mut replicas = replicas(10);
    let mut instance = Instance::default();
    ask_all(&mut instance, 100, &replicas);
    // From now on the third replica is not heard, where an endpoint leaves.
    let leaving = EndpointRecord { leaving: true, ..record("e2", 1, 2) };
    replicas[2].1.directory.announce(1_000, leaving);
    tell_each_other(&mut replicas, 1_010);
    let (name, told) = (&replicas[0].0, &replicas[0].1.directory);
    instance.take_own(1_100, name, 1, told);
    instance.take_relays(1_100, name, told);
    expect_that!(instance.directory.live().filter(|record| record.leaving).count(), eq(1));
    let before = instance.told;
    for round in 0..3 {
        instance.take_own(1_200 + round, name, 1, told);
        instance.take_relays(1_200 + round, name, told);
    }
    expect_that!(instance.told, eq(before));
}

#[gtest]
fn what_one_is_about_to_be_told_first_hand_is_not_passed_on() {
    let replicas = replicas(770);
    let mut instance = Instance::default();
    for (name, replica) in &replicas {
        instance.take_own(50, name, 1, &Directory::default());
        instance.take_relays(50, name, &replica.directory);
    }
    expect_that!(instance.told, eq(0));
}

#[gtest]
fn who_heard_an_endpoint_watches_over_it_whoever_told_first() {
    let mut replicas = replicas(5);
    tell_each_other(&mut replicas, 10);
    let mut instance = Instance::default();
    let (name, told) = (replicas[0].0.clone(), &replicas[0].1.directory);
    instance.take_own(100, &name, 1, told);
    instance.take_relays(100, &name, told);
    expect_that!(instance.directory.lease_monitor(&"e3".into()), some(eq(&name)));
    ask_all(&mut instance, 200, &replicas);
    expect_that!(instance.directory.lease_monitor(&"e3".into()), some(eq(&replicas[3].0)));
}

#[gtest]
fn what_a_replica_that_was_started_again_hears_is_told_to_those_that_do_not_hear_it() {
    let mut replicas = replicas(10);
    let mut instance = Instance::default();
    ask_all(&mut instance, 100, &replicas);
    let mut again = Directory::default();
    again.announce(1_000, record("e2", 1, 5));
    let name = replicas[2].0.clone();
    let (first_name, first) = &mut replicas[0];
    first.take_own(1_010, &name, 2, &again);
    instance.take_own(1_100, first_name, 1, &first.directory);
    instance.take_relays(1_100, first_name, &first.directory);
    instance.directory.mark_restarted(1_100, &name);
    instance.directory.expire(1_100 + ORPHAN_MS);
    // What the replica heard before its restart is over, and what it heard since is there.
    expect_that!(live(&instance.directory).contains(&"e2".to_owned()), eq(true));
    expect_that!(live(&instance.directory).contains(&"e7".to_owned()), eq(false));
}
