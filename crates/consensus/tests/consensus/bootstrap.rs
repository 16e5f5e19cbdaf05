//! The initial configuration is created once, and never by a replica that lost its disk.

use lycheehub_consensus::bootstrap::{Outcome, Status, decide};
use lycheehub_consensus::{Config, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

fn names() -> Vec<InstanceName> {
    ["a", "b", "c"].map(InstanceName::from).to_vec()
}

fn empty(id: u64) -> Status {
    Status { id: ReplicaId(id), config: Config::default() }
}

#[test]
fn the_lowest_seed_bootstraps_only_if_all_report_empty() {
    let statuses = BTreeMap::from([("b".into(), empty(2)), ("c".into(), empty(3))]);
    let outcome = decide(ReplicaId(1), &"a".into(), &names(), &statuses);
    assert!(matches!(outcome, Outcome::Bootstrap(config) if config.voters.len() == 3));
    let one_missing = BTreeMap::from([("b".into(), empty(2))]);
    assert_eq!(decide(ReplicaId(1), &"a".into(), &names(), &one_missing), Outcome::Wait);
    assert_eq!(decide(ReplicaId(2), &"b".into(), &names(), &statuses), Outcome::Wait);
}

#[test]
fn a_lost_disk_never_starts_a_second_log() {
    let config = Config { voters: [(ReplicaId(1), "a".into()), (ReplicaId(2), "b".into())].into() };
    let bootstrapped = Status { id: ReplicaId(2), config };
    let statuses = BTreeMap::from([("b".into(), bootstrapped), ("c".into(), empty(3))]);
    assert_eq!(decide(ReplicaId(9), &"a".into(), &names(), &statuses), Outcome::Wait);
}
