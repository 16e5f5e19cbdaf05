//! The first configuration is made once, and never by a replica that lost its disk.

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
fn the_lowest_seed_founds_only_with_an_empty_answer_from_all() {
    let answers = BTreeMap::from([("b".into(), empty(2)), ("c".into(), empty(3))]);
    let outcome = decide(ReplicaId(1), &"a".into(), &names(), &answers);
    assert!(matches!(outcome, Outcome::Bootstrap(config) if config.voters.len() == 3));
    let silent = BTreeMap::from([("b".into(), empty(2))]);
    assert_eq!(decide(ReplicaId(1), &"a".into(), &names(), &silent), Outcome::Wait);
    assert_eq!(decide(ReplicaId(2), &"b".into(), &names(), &answers), Outcome::Wait);
}

#[test]
fn a_lost_disk_never_founds_a_second_log() {
    let config = Config { voters: [(ReplicaId(1), "a".into()), (ReplicaId(2), "b".into())].into() };
    let founded = Status { id: ReplicaId(2), config };
    let answers = BTreeMap::from([("b".into(), founded), ("c".into(), empty(3))]);
    assert_eq!(decide(ReplicaId(9), &"a".into(), &names(), &answers), Outcome::Wait);
}
