//! A voter that is gone for good gives its place to a replica that holds all that is committed.

use lycheehub_consensus::{
    Action, Config, Message, Options, Payload, Persisted, Position, Replica, ReplicaId, Snapshot,
};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

const NEWCOMER: ReplicaId = ReplicaId(9);

fn voters() -> BTreeMap<ReplicaId, InstanceName> {
    (1..=5).map(|id| (ReplicaId(id), InstanceName::from(format!("core-{id}")))).collect()
}

/// A leader of five voters, and the replicas that answer it.
struct Group {
    leader: Replica,
    now_ms: u64,
    /// The last voters that the leader has appended.
    appended: Option<Config>,
}

impl Group {
    fn new() -> Self {
        let snapshot = Snapshot {
            position: Position { term: 1, index: 1 },
            config: Config { voters: voters() },
            ..Snapshot::default()
        };
        let persisted = Persisted { snapshot, ..Persisted::default() };
        let leader = Replica::new(ReplicaId(1), Options::default(), persisted, 7, 0);
        let mut group = Self { leader, now_ms: 0, appended: None };
        group.pass(4_000, &[2, 3, 4, 5]);
        assert!(group.leader.is_established());
        group
    }

    /// Lets time pass while these replicas answer at once.
    fn pass(&mut self, for_ms: u64, answering: &[u64]) {
        for _ in 0..for_ms / 50 {
            self.now_ms += 50;
            let actions = self.leader.tick(self.now_ms);
            self.answer(actions, answering);
        }
    }

    fn reconcile_voters(&mut self, live: &[u64], answering: &[u64]) {
        let mut known = voters();
        known.insert(NEWCOMER, "core-9".into());
        known.retain(|id, _| live.contains(&id.0));
        let actions = self.leader.reconcile_voters(self.now_ms, &known);
        self.answer(actions, answering);
    }

    fn answer(&mut self, mut actions: Vec<Action>, answering: &[u64]) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::Send { to, message } if answering.contains(&to.0) => {
                        if let Some(reply) = reply(message) {
                            next.extend(self.leader.receive(self.now_ms, to, reply));
                        }
                    }
                    Action::Append(entries) => {
                        for entry in entries {
                            if let Payload::Config(config) = entry.payload {
                                self.appended = Some(config);
                            }
                        }
                    }
                    _ => {}
                }
            }
            actions = next;
        }
    }

    fn voter_ids(&self) -> Vec<u64> {
        self.leader.config().voters.keys().map(|id| id.0).collect()
    }
}

/// Answers as a replica that agrees with everything.
fn reply(message: Message) -> Option<Message> {
    Some(match message {
        Message::PreVote { term, .. } => Message::PreVoteReply { term, granted: true },
        Message::RequestVote { term, .. } => Message::VoteReply { term, granted: true },
        Message::Append { term, previous, entries, round, .. } => {
            let index = previous.index + entries.len() as u64;
            Message::AppendReply { term, accepted: true, index, round }
        }
        Message::Install { term, snapshot, round } => {
            let index = snapshot.position.index;
            Message::AppendReply { term, accepted: true, index, round }
        }
        _ => return None,
    })
}

#[test]
fn a_voter_that_is_gone_gives_its_place_to_a_newcomer() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    group.pass(3_000, &[2, 3, 4, 9]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5], "it may only be restarting");

    group.pass(3_000, &[2, 3, 4, 9]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 9]);
    assert_eq!(group.appended.as_ref().map(|config| config.voters.len()), Some(5));
}

#[test]
fn a_silent_voter_keeps_its_place_where_nobody_can_take_it() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4], &[2, 3, 4]);
    group.pass(20_000, &[2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4], &[2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_newcomer_that_has_not_caught_up_takes_no_place() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4]);
    group.pass(20_000, &[2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}
