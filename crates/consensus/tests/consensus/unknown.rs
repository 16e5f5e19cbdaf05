//! Commands and snapshots of a newer build, met by replicas of an older one.

use crate::network::{DELAY_MAX_MS, Network};
use lycheehub_consensus::{Action, Known, Message, Payload, Position, ReplicaId, Role, Snapshot};

const NEWER: ReplicaId = ReplicaId(1);
const OLDER: [ReplicaId; 2] = [ReplicaId(2), ReplicaId(3)];
/// What only the newer build can read, as a command and as a snapshot.
const UNKNOWN: &[u8] = &[99];
const WAIT_MS: u64 = 2_000;

fn older() -> Known {
    Known { command: |bytes| bytes != UNKNOWN, snapshot: |bytes| bytes != UNKNOWN }
}

/// Returns three replicas of two builds, of which the newer one leads and has committed a command that
/// the others do not know, between two that they know.
fn two_builds() -> Network {
    let known = |id| if ReplicaId(id) == NEWER { Known::default() } else { older() };
    let led_by_newer = |seed| {
        let mut network = Network::start(seed, 3, 1..=3, 0, known);
        network.elect();
        (network.leader()?.id() == NEWER).then_some(network)
    };
    let mut network = (0..).find_map(led_by_newer).expect("some seed");
    for command in [&[1], UNKNOWN, &[2]] {
        network.drive(NEWER, |replica, now_ms| replica.propose(now_ms, command.to_vec()).1);
    }
    network.advance_by(WAIT_MS);
    network
}

fn unknown_index(network: &Network) -> u64 {
    network.nodes[&OLDER[0]].replica.unknown_command().expect("an unknown command")
}

#[test]
fn a_replica_skips_no_command_that_it_does_not_know() {
    let network = two_builds();
    assert_eq!(network.nodes[&NEWER].applied, [vec![1], UNKNOWN.to_vec(), vec![2]]);
    for id in OLDER {
        let node = &network.nodes[&id];
        assert_eq!(node.applied, [vec![1]], "{id}");
        let index = unknown_index(&network);
        assert_eq!(node.reported, [Action::UnknownCommand { index }], "{id}: reported once");
    }
}

#[test]
fn a_replica_with_an_unknown_command_does_not_lead() {
    let mut network = two_builds();
    network.nodes.remove(&NEWER);
    for _ in 0..30 {
        network.advance_by(WAIT_MS);
        for id in OLDER {
            let term = network.nodes[&id].replica.term();
            network.drive(id, |replica, now_ms| {
                replica.receive(now_ms, NEWER, Message::CampaignNow { term })
            });
            assert_eq!(network.nodes[&id].replica.role(), Role::Follower, "{id}");
        }
        assert!(network.leader().is_none());
    }
}

#[test]
fn a_replica_replaced_by_the_newer_build_leads_with_the_vote_of_an_older_one() {
    let mut network = two_builds();
    network.nodes.remove(&NEWER);
    network.restart(OLDER[0], Known::default());
    network.elect();
    assert_eq!(network.leader().map(|leader| leader.id()), Some(OLDER[0]));
    assert_eq!(network.nodes[&OLDER[0]].applied, [vec![1], UNKNOWN.to_vec(), vec![2]]);
    assert_eq!(network.nodes[&OLDER[1]].applied, [vec![1]]);
}

#[test]
fn an_unknown_command_that_is_replaced_in_the_log_keeps_nobody_from_applying_or_leading() {
    let known = |id| if ReplicaId(id) == NEWER { Known::default() } else { older() };
    let led_by_newer = |seed| {
        let mut network = Network::start(seed, 5, 1..=5, 0, known);
        network.elect();
        (network.leader()?.id() == NEWER).then_some(network)
    };
    let mut network = (0..).find_map(led_by_newer).expect("some seed");
    network.advance_by(WAIT_MS);
    // One other replica stores it, and the leader does not learn of that.
    network.blocked = (3..=5).map(|id| (NEWER, ReplicaId(id))).collect();
    network.blocked.insert((OLDER[0], NEWER));
    network.drive(NEWER, |replica, now_ms| replica.propose(now_ms, UNKNOWN.to_vec()).1);
    network.advance_by(DELAY_MAX_MS + 1);
    let held = network.nodes[&OLDER[0]].stored.entries.last().map(|entry| entry.payload.clone());
    assert_eq!(held, Some(Payload::Command(UNKNOWN.to_vec())));
    network.nodes.remove(&NEWER);
    let lead = |network: &mut Network, command: &[u8]| {
        network.elect();
        let leader = network.leader().map(|leader| leader.id()).expect("elected");
        network.drive(leader, |replica, now_ms| replica.propose(now_ms, command.to_vec()).1);
        network.advance_by(WAIT_MS);
        leader
    };
    let first = lead(&mut network, &[3]);
    assert_ne!(first, OLDER[0]);
    // Now every voter left is needed.
    network.nodes.remove(&first);
    lead(&mut network, &[4]);
    assert_eq!(network.nodes[&OLDER[0]].applied, [vec![3], vec![4]]);
    assert_eq!(network.nodes[&OLDER[0]].reported, []);
}

/// Sends a snapshot of everything up to the unknown command to an older replica.
fn send_snapshot(network: &mut Network, data: &[u8]) {
    let index = unknown_index(network);
    let leader = &network.nodes[&NEWER].replica;
    let position = Position { term: leader.term(), index };
    let snapshot = Snapshot { position, config: leader.config().clone(), data: data.to_vec() };
    let install = Message::Install { term: leader.term(), snapshot, round: 0 };
    network.drive(OLDER[0], |replica, now_ms| replica.receive(now_ms, NEWER, install.clone()));
}

#[test]
fn a_snapshot_that_covers_an_unknown_command_lets_a_replica_go_on() {
    let mut network = two_builds();
    send_snapshot(&mut network, &[7]);
    let node = &network.nodes[&OLDER[0]];
    assert_eq!(node.replica.unknown_command(), None);
    assert_eq!(node.stored.snapshot.data, [7]);
    // What comes behind the snapshot.
    assert_eq!(node.applied, [vec![1], vec![2]]);
}

#[test]
fn a_snapshot_that_a_replica_cannot_restore_is_not_stored() {
    let mut network = two_builds();
    let before = network.nodes[&OLDER[0]].stored.clone();
    let index = unknown_index(&network);
    send_snapshot(&mut network, UNKNOWN);
    send_snapshot(&mut network, UNKNOWN);
    let node = &network.nodes[&OLDER[0]];
    assert_eq!(node.stored, before);
    assert_eq!(node.replica.unknown_command(), Some(index));
}
