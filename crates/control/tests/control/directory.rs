//! The directory of endpoints: leases, propagation between replicas, and outdated announcements.

use googletest::prelude::*;
use lycheehub_control::directory::batching::{
    Backlog, MAX_CHANGES_PER_REPLY, batch_delay_ms, relay_delay_ms,
};
use lycheehub_control::directory::{
    Announced, ChangePosition, Directory, LEASE_MS, Listing, ORPHAN_MS,
};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord, InstanceName};
use std::collections::BTreeMap;

pub fn record(name: &str, incarnation: u64, sequence: u64) -> EndpointRecord {
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
        cold_ms: 0,
    }
}

fn live(directory: &Directory) -> Vec<String> {
    directory.live().map(|record| record.endpoint.to_string()).collect()
}

/// Sends all changes detected by `from` to `to`.
pub fn propagate(now_ms: u64, from: &Directory, name: &InstanceName, to: &mut Directory) {
    let own = from.local_changes_after(0, usize::MAX);
    to.apply_direct(now_ms, name, ChangePosition { epoch: 1, change: own.up_to }, own.listings);
}

fn local_changes_after(directory: &Directory, change: u64) -> Vec<Listing> {
    directory.local_changes_after(change, usize::MAX).listings
}

fn relayed_changes_after(directory: &Directory, change: u64) -> Vec<Listing> {
    directory.relayed_changes_after(change, usize::MAX, u64::MAX, &BTreeMap::new()).listings
}

#[gtest]
fn changes_are_propagated_and_renewals_are_not() {
    let mut directory = Directory::default();
    expect_that!(directory.announce(0, record("e", 1, 1)), eq(Announced::Listed));
    let told = directory.change();
    expect_that!(directory.announce(1_000, record("e", 1, 2)), eq(Announced::Renewed));
    expect_that!(local_changes_after(&directory, told), is_empty());
    let leaving = EndpointRecord { leaving: true, ..record("e", 1, 3) };
    expect_that!(directory.announce(2_000, leaving), eq(Announced::Listed));
    expect_that!(local_changes_after(&directory, told).len(), eq(1));
}

#[gtest]
fn expired_endpoint_is_removed_on_all_replicas() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    here.announce(0, record("e", 1, 1));
    propagate(0, &here, &"here".into(), &mut there);
    here.announce(1_000, record("e", 1, 2));
    expect_that!(here.expire(1_000 + LEASE_MS - 1), is_empty());
    expect_that!(here.expire(1_000 + LEASE_MS).len(), eq(1));
    propagate(6_000, &here, &"here".into(), &mut there);
    expect_that!(live(&there), is_empty());
}

#[gtest]
fn endpoint_that_switches_replicas_is_not_expired_by_the_first() {
    let (mut first, mut second) = (Directory::default(), Directory::default());
    first.announce(0, record("e", 1, 1));
    propagate(0, &first, &"first".into(), &mut second);
    second.announce(2_000, record("e", 1, 2));
    propagate(2_000, &second, &"second".into(), &mut first);
    expect_that!(first.expire(20_000), is_empty());
    expect_that!(live(&first), elements_are![eq("e")]);
}

#[gtest]
fn endpoints_of_a_lost_replica_stay_listed_until_they_could_switch() {
    let (mut lost, mut here) = (Directory::default(), Directory::default());
    lost.announce(0, record("e", 1, 1));
    propagate(0, &lost, &"lost".into(), &mut here);
    here.mark_unreachable(1_000, &"lost".into());
    expect_that!(here.expire(1_000 + ORPHAN_MS - 1), is_empty());
    expect_that!(here.expire(1_000 + ORPHAN_MS).len(), eq(1));
    // Other replicas may still be in contact with the lost one, so nothing is propagated.
    expect_that!(local_changes_after(&here, 0), is_empty());
    expect_that!(relayed_changes_after(&here, 0), is_empty());
}

#[gtest]
fn restarted_replica_no_longer_monitors_its_endpoints() {
    let (mut before, mut here) = (Directory::default(), Directory::default());
    before.announce(0, record("e", 1, 1));
    propagate(0, &before, &"peer".into(), &mut here);
    here.mark_restarted(1_000, &"peer".into());
    here.apply_direct(1_100, &"peer".into(), ChangePosition { epoch: 2, change: 0 }, vec![]);
    expect_that!(here.expire(1_000 + ORPHAN_MS).len(), eq(1));
}

#[gtest]
fn outdated_announcements_do_not_restore_a_withdrawn_endpoint() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 1, 5));
    directory.withdraw(100, &"e".into(), 0);
    expect_that!(directory.announce(200, record("e", 1, 4)), eq(Announced::Left));
    expect_that!(directory.announce(200, record("e", 1, 6)), eq(Announced::Left));
    expect_that!(live(&directory), is_empty());
    // A restarted endpoint with the same name has a new sequence.
    expect_that!(directory.announce(300, record("e", 2, 1)), eq(Announced::Listed));
    expect_that!(live(&directory), elements_are![eq("e")]);
    expect_that!(directory.announce(400, record("e", 1, 9)), eq(Announced::Left));
}

#[gtest]
fn leaving_lasts_within_an_incarnation() {
    let mut directory = Directory::default();
    directory.announce(0, EndpointRecord { leaving: true, ..record("e", 1, 5) });
    directory.announce(100, record("e", 1, 6));
    expect_that!(directory.live().all(|record| record.leaving), eq(true));
}

#[gtest]
fn latest_incarnation_wins_at_a_shared_address() {
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
fn propagated_withdrawal_wins_over_a_newer_announcement_of_the_same_incarnation() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    here.announce(0, record("e", 1, 1));
    propagate(0, &here, &"here".into(), &mut there);
    there.announce(50, record("e", 1, 2));
    here.withdraw(60, &"e".into(), 0);
    propagate(70, &here, &"here".into(), &mut there);
    expect_that!(live(&there), is_empty());
    let listing: Vec<Listing> = local_changes_after(&there, 0)
        .into_iter()
        .chain(relayed_changes_after(&there, 0))
        .collect();
    expect_that!(listing.len(), eq(1));
    expect_that!(listing.iter().all(|listing| listing.withdrawn), eq(true));
}

#[gtest]
fn batches_are_complete_while_changes_arrive() {
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
        there.apply_direct(
            0,
            &"here".into(),
            ChangePosition { epoch: 1, change: told },
            part.listings,
        );
        parts += 1;
        if parts == 2 {
            here.announce(10, EndpointRecord { leaving: true, ..record("e0", 1, 2) });
            here.withdraw(10, &"e9".into(), 0);
        }
    }
    expect_that!(live(&there), eq(&live(&here)));
    expect_that!(live(&there).len(), eq(9));
    expect_that!(there.live().filter(|record| record.leaving).count(), eq(1));
    expect_that!(parts, eq(4));
}

#[gtest]
fn removed_endpoints_are_not_propagated() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 1, 1));
    directory.withdraw(0, &"e".into(), 0);
    directory.expire(1_000_000);
    expect_that!(local_changes_after(&directory, 0), is_empty());
    expect_that!(directory.pending_local_changes(0, 9), none());
}

/// The cost of a replica's watchers while endpoints appear.
struct WatchCost {
    answers: usize,
    /// The highest number of changes sent to all watchers in one millisecond.
    max_per_ms: usize,
    /// The longest time until a change was sent to a watcher, in milliseconds.
    max_latency_ms: u64,
}

/// Simulates `watchers` instances that ask again as soon as they receive changes, while one new
/// endpoint per millisecond appears for `new_ms`, on top of `known` existing ones.
fn simulate_watchers(watchers: usize, known: usize, new_ms: u64) -> WatchCost {
    let mut directory = Directory::default();
    for number in 0..known {
        directory.announce(0, record(&format!("known{number}"), 1, 1));
    }
    let mut cursors = vec![0_u64; watchers];
    let mut due_ms: Vec<Option<u64>> = vec![None; watchers];
    let mut cost = WatchCost { answers: 0, max_per_ms: 0, max_latency_ms: 0 };
    let mut appeared_ms = Vec::new();
    for now_ms in 0..new_ms + 2_000 {
        if now_ms < new_ms {
            directory.announce(now_ms, record(&format!("new{now_ms}"), 1, 1));
            appeared_ms.push(now_ms);
        }
        let mut sent_now = 0;
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
            let waited_ms =
                appeared_ms[first_new..last_new].iter().map(|appeared_ms| now_ms - appeared_ms);
            cost.max_latency_ms = cost.max_latency_ms.max(waited_ms.max().unwrap_or(0));
            sent_now += part.listings.len();
            cost.answers += 1;
            *cursor = part.up_to;
            *due_ms = None;
        }
        cost.max_per_ms = cost.max_per_ms.max(sent_now);
    }
    cost
}

#[gtest]
fn hundreds_of_watchers_receive_few_batches_while_endpoints_appear() {
    let cost = simulate_watchers(380, 770, 1_000);
    // The number of full batches, plus the batches from three batch delays of 380 ms.
    let parts = (770 + 1_000) / MAX_CHANGES_PER_REPLY + 1 + 3;
    expect_that!(cost.answers, le(380 * parts));
    expect_that!(cost.max_latency_ms, le(400));
}

#[gtest]
fn hundreds_of_new_watchers_receive_bounded_batches() {
    let cost = simulate_watchers(380, 3_000, 0);
    expect_that!(cost.max_per_ms, le(380 * MAX_CHANGES_PER_REPLY));
}

#[gtest]
fn few_watchers_receive_changes_promptly() {
    let cost = simulate_watchers(8, 18, 1_000);
    expect_that!(cost.max_latency_ms, le(8));
}

/// An instance that watches replicas.
#[derive(Default)]
struct Instance {
    directory: Directory,
    heard: BTreeMap<InstanceName, ChangePosition>,
    relayed: BTreeMap<InstanceName, u64>,
    /// The number of listings received.
    received: usize,
}

impl Instance {
    /// Applies the changes that a replica detected itself, which it sends immediately.
    fn receive_direct(
        &mut self,
        now_ms: u64,
        name: &InstanceName,
        epoch: u64,
        replica: &Directory,
    ) {
        let heard = self.heard.get(name).copied().unwrap_or_default();
        let is_first = heard.epoch != epoch;
        if is_first {
            self.relayed.remove(name);
        }
        let own = replica.local_changes_after(if is_first { 0 } else { heard.change }, usize::MAX);
        let heard = ChangePosition { epoch, change: own.up_to };
        self.heard.insert(name.clone(), heard);
        self.received += own.listings.len();
        self.directory.apply_direct(now_ms, name, heard, own.listings);
    }

    /// Applies the changes that a replica relays, which it sends with its next reply.
    fn receive_relayed(&mut self, now_ms: u64, name: &InstanceName, replica: &Directory) {
        let relayed = self.relayed.get(name).copied().unwrap_or_default();
        let before_ms = now_ms - relay_delay_ms(0);
        let relays = replica.relayed_changes_after(relayed, usize::MAX, before_ms, &self.heard);
        self.relayed.insert(name.clone(), relays.up_to);
        self.received += relays.listings.len();
        self.directory.apply_relayed(now_ms, name, relays.listings);
    }
}

/// Creates five replicas that each received a fifth of the `endpoints` and sent them to the others.
fn replicas(endpoints: usize) -> Vec<(InstanceName, Instance)> {
    let name = |place: usize| InstanceName::from(format!("replica-{place}").as_str());
    let mut replicas: Vec<(InstanceName, Instance)> =
        (0..5).map(|place| (name(place), Instance::default())).collect();
    for number in 0..endpoints {
        replicas[number % 5].1.directory.announce(0, record(&format!("e{number}"), 1, 1));
    }
    exchange_changes(&mut replicas, 10);
    replicas
}

fn exchange_changes(replicas: &mut [(InstanceName, Instance)], now_ms: u64) {
    let snapshots: Vec<(InstanceName, Directory)> =
        replicas.iter().map(|(name, replica)| (name.clone(), replica.directory.clone())).collect();
    for (own, to) in replicas.iter_mut() {
        for (name, directory) in snapshots.iter().filter(|(name, _)| name != own) {
            to.receive_direct(now_ms, name, 1, directory);
        }
    }
}

fn poll_all(instance: &mut Instance, now_ms: u64, replicas: &[(InstanceName, Instance)]) {
    for (name, replica) in replicas {
        instance.receive_direct(now_ms, name, 1, &replica.directory);
    }
    for (name, replica) in replicas {
        instance.receive_relayed(now_ms, name, &replica.directory);
    }
}

#[gtest]
fn watcher_of_all_replicas_receives_each_endpoint_once() {
    let mut replicas = replicas(770);
    let mut instance = Instance::default();
    for round in 0..3 {
        poll_all(&mut instance, 100 + 100 * round, &replicas);
    }
    expect_that!(live(&instance.directory).len(), eq(770));
    expect_that!(instance.received, eq(770));
    // One endpoint leaves, and one switches to another replica.
    let leaving = EndpointRecord { leaving: true, ..record("e7", 1, 2) };
    replicas[2].1.directory.announce(1_000, leaving);
    replicas[4].1.directory.announce(1_000, record("e8", 1, 2));
    exchange_changes(&mut replicas, 1_010);
    for round in 0..3 {
        poll_all(&mut instance, 1_100 + 100 * round, &replicas);
    }
    expect_that!(instance.directory.live().filter(|record| record.leaving).count(), eq(1));
    expect_that!(instance.received, eq(772));
}

#[gtest]
fn changes_of_an_unreachable_replica_are_relayed_once() {
    let mut replicas = replicas(10);
    let mut instance = Instance::default();
    poll_all(&mut instance, 100, &replicas);
    // The third replica is unreachable from now on, and one of its endpoints leaves.
    let leaving = EndpointRecord { leaving: true, ..record("e2", 1, 2) };
    replicas[2].1.directory.announce(1_000, leaving);
    exchange_changes(&mut replicas, 1_010);
    let (name, told) = (&replicas[0].0, &replicas[0].1.directory);
    instance.receive_direct(1_100, name, 1, told);
    instance.receive_relayed(1_100, name, told);
    expect_that!(instance.directory.live().filter(|record| record.leaving).count(), eq(1));
    let before = instance.received;
    for round in 0..3 {
        instance.receive_direct(1_200 + round, name, 1, told);
        instance.receive_relayed(1_200 + round, name, told);
    }
    expect_that!(instance.received, eq(before));
}

#[gtest]
fn changes_about_to_arrive_directly_are_not_relayed() {
    let replicas = replicas(770);
    let mut instance = Instance::default();
    for (name, replica) in &replicas {
        instance.receive_direct(50, name, 1, &Directory::default());
        instance.receive_relayed(50, name, &replica.directory);
    }
    expect_that!(instance.received, eq(0));
}

#[gtest]
fn lease_monitor_is_the_replica_that_heard_the_endpoint() {
    let mut replicas = replicas(5);
    exchange_changes(&mut replicas, 10);
    let mut instance = Instance::default();
    let (name, told) = (replicas[0].0.clone(), &replicas[0].1.directory);
    instance.receive_direct(100, &name, 1, told);
    instance.receive_relayed(100, &name, told);
    expect_that!(instance.directory.lease_monitor(&"e3".into()), some(eq(&name)));
    poll_all(&mut instance, 200, &replicas);
    expect_that!(instance.directory.lease_monitor(&"e3".into()), some(eq(&replicas[3].0)));
}

#[gtest]
fn changes_of_a_restarted_replica_are_relayed() {
    let mut replicas = replicas(10);
    let mut instance = Instance::default();
    poll_all(&mut instance, 100, &replicas);
    let mut again = Directory::default();
    again.announce(1_000, record("e2", 1, 5));
    let name = replicas[2].0.clone();
    let (first_name, first) = &mut replicas[0];
    first.receive_direct(1_010, &name, 2, &again);
    instance.receive_direct(1_100, first_name, 1, &first.directory);
    instance.receive_relayed(1_100, first_name, &first.directory);
    instance.directory.mark_restarted(1_100, &name);
    instance.directory.expire(1_100 + ORPHAN_MS);
    // The endpoint heard before the restart is removed; the one heard since is listed.
    expect_that!(live(&instance.directory).contains(&"e2".to_owned()), eq(true));
    expect_that!(live(&instance.directory).contains(&"e7".to_owned()), eq(false));
}

/// Announces `true_record` each 1.2 s, 20 times, after one entry of another writer; returns how long the
/// endpoint was missing from the list, in milliseconds.
fn silenced_ms(odd: EndpointRecord, sequence_of: impl Fn(u64) -> EndpointRecord) -> u64 {
    const HEARTBEAT_MS: u64 = 1_200;
    let (mut here, mut there) = (Directory::default(), Directory::default());
    here.announce(1_000, sequence_of(1));
    here.announce(1_100, odd);
    let mut missing_ms = 0;
    for heartbeat in 2..22 {
        let now_ms = heartbeat * HEARTBEAT_MS;
        here.expire(now_ms);
        here.announce(now_ms, sequence_of(heartbeat));
        propagate(now_ms, &here, &"here".into(), &mut there);
        expect_that!(live(&here), eq(&live(&there)), "{heartbeat}");
        missing_ms += if live(&here).is_empty() { HEARTBEAT_MS } else { 0 };
    }
    expect_that!(live(&here), elements_are![eq("e")]);
    missing_ms
}

// Before, the endpoint was missing for the two minutes for which a gone entry is kept.
#[gtest]
fn high_numbers_of_another_writer_silence_the_endpoint_for_about_a_lease() {
    let honest = |sequence| record("e", 5, sequence);
    for (incarnation, sequence) in
        [(5, 1 << 40), (5, (1 << 53) - 1), (6, 1), (1 << 41, 1), (1 << 41, (1 << 53) - 1)]
    {
        let missing_ms = silenced_ms(record("e", incarnation, sequence), honest);
        expect_that!(missing_ms, le(LEASE_MS), "{incarnation} {sequence}");
    }
    // The other writer's entry is at another address, or says that the endpoint leaves.
    let elsewhere = EndpointRecord { address: "other:1".into(), ..record("e", 9, 9) };
    expect_that!(silenced_ms(elsewhere, honest), le(LEASE_MS));
    let leaving = EndpointRecord { leaving: true, ..record("e", 9, 9) };
    expect_that!(silenced_ms(leaving, honest), le(LEASE_MS));
}

#[gtest]
fn announcements_held_back_by_a_broken_path_do_not_list_an_endpoint_that_ended() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 7, 50));
    directory.expire(LEASE_MS);
    for sequence in 40..49 {
        directory.announce(LEASE_MS + 10 + sequence, record("e", 7, sequence));
        directory.announce(LEASE_MS + 10 + sequence, record("e", 6, sequence));
    }
    expect_that!(live(&directory), is_empty());
}

#[gtest]
fn a_withdrawn_endpoint_is_not_listed_again_by_its_own_announcements() {
    let mut directory = Directory::default();
    directory.announce(0, record("e", 7, 50));
    directory.withdraw(100, &"e".into(), 0);
    for sequence in 1..49 {
        directory.announce(sequence * 1_200, record("e", 7, sequence));
        directory.expire(sequence * 1_200);
    }
    expect_that!(live(&directory), is_empty());
}

/// Guards against an endpoint that one replica heard once, late, and that is gone for all others when its lease
/// ends there, though it announces itself elsewhere all the time.
#[gtest]
fn an_endpoint_that_another_replica_hears_once_stays_listed() {
    let names = ["here", "there", "watcher"].map(InstanceName::from);
    let [mut here, mut there, mut watcher] = [(); 3].map(|()| Instance::default());
    here.directory.announce(0, record("e", 1, 1));
    there.receive_direct(10, &names[0], 1, &here.directory);
    watcher.receive_direct(10, &names[0], 1, &here.directory);
    here.directory.announce(1_000, record("e", 1, 3));
    there.directory.announce(1_100, record("e", 1, 2));
    for (sequence, now_ms) in (4..20).zip((1_200..).step_by(1_200)) {
        here.directory.announce(now_ms, record("e", 1, sequence));
        for instance in [&mut here, &mut there, &mut watcher] {
            instance.directory.expire(now_ms);
        }
        here.receive_direct(now_ms, &names[1], 1, &there.directory);
        there.receive_direct(now_ms, &names[0], 1, &here.directory);
        watcher.receive_direct(now_ms, &names[1], 1, &there.directory);
        watcher.receive_direct(now_ms, &names[0], 1, &here.directory);
        for instance in [&here, &there, &watcher] {
            expect_that!(live(&instance.directory), elements_are![eq("e")], "{now_ms}");
        }
    }
}

/// Guards against an endpoint that a replica heard of by a relay, and that stays listed there for good after it ended
/// while its monitor restarted.
#[gtest]
fn an_endpoint_known_by_a_relay_is_gone_some_time_after_its_monitor_restarted() {
    let (mut before, mut relay) = (Directory::default(), Directory::default());
    let (monitor_name, relay_name) = (InstanceName::from("monitor"), InstanceName::from("relay"));
    before.announce(0, record("e", 1, 1));
    propagate(0, &before, &monitor_name, &mut relay);
    let mut restarted = Directory::default();
    restarted.apply_relayed(1_000, &relay_name, relayed_changes_after(&relay, 0));
    relay.mark_restarted(1_000, &monitor_name);
    expect_that!(live(&restarted), elements_are![eq("e")]);
    let told = relay.change();
    expect_that!(relay.expire(1_000 + ORPHAN_MS), elements_are![eq(&"e".into())]);
    let relayed = relayed_changes_after(&relay, told);
    restarted.apply_relayed(1_000 + ORPHAN_MS, &relay_name, relayed);
    expect_that!(live(&restarted), is_empty());
}

fn cold_ms(directory: &Directory) -> u32 {
    directory.live().next().expect("an endpoint").cold_ms
}

#[gtest]
fn a_cold_time_is_propagated_once_and_runs_off() {
    let (mut here, mut there) = (Directory::default(), Directory::default());
    let cold = |sequence, cold_ms| EndpointRecord { cold_ms, ..record("e", 1, sequence) };
    here.announce(1_000, cold(1, 3_000));
    let told = here.change();
    propagate(1_010, &here, &"here".into(), &mut there);
    // The next announcements state what is left of the same time, sooner or later on their way.
    expect_that!(here.announce(2_200, cold(2, 1_850)), eq(Announced::Renewed));
    expect_that!(here.announce(3_400, cold(3, 500)), eq(Announced::Renewed));
    expect_that!(local_changes_after(&here, told), is_empty());
    there.expire(2_010);
    expect_that!(cold_ms(&there), eq(2_000));
    there.expire(9_000);
    expect_that!(cold_ms(&there), eq(0));
    // A replica that hears of the endpoint late is told what is left.
    here.expire(3_500);
    let mut late = Directory::default();
    propagate(3_500, &here, &"here".into(), &mut late);
    expect_that!(cold_ms(&late), eq(500));
}

#[gtest]
fn an_endpoint_that_turns_cold_again_or_is_warm_sooner_is_propagated() {
    let mut directory = Directory::default();
    let cold = |sequence, cold_ms| EndpointRecord { cold_ms, ..record("e", 1, sequence) };
    directory.announce(1_000, cold(1, 3_000));
    expect_that!(directory.announce(2_200, cold(2, 0)), eq(Announced::Listed));
    expect_that!(directory.announce(3_400, cold(3, 3_000)), eq(Announced::Listed));
    // An older statement that arrives late changes nothing.
    expect_that!(directory.announce(3_500, cold(2, 0)), eq(Announced::Outdated));
    expect_that!(directory.announce(4_600, cold(4, 3_000)), eq(Announced::Listed));
    // Once it is over, that it is warm is no news.
    expect_that!(directory.announce(9_000, cold(5, 0)), eq(Announced::Renewed));
}
