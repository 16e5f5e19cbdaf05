//! A voter that is lost for good is replaced by a learner that holds every committed entry.

use lycheehub_consensus::{
    Action, Config, Entry, Members, Message, Options, Payload, Persisted, Position, Replica,
    ReplicaId, Snapshot,
};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

const LEARNER: ReplicaId = ReplicaId(9);
/// The voters and the learner.
const ALL: [u64; 6] = [1, 2, 3, 4, 5, LEARNER.0];
/// The interval between heartbeats, a silence for which a voter is not replaced yet, and one for which it is.
const HEARTBEAT_MS: u64 = 200;
const LATE_MS: u64 = 2 * HEARTBEAT_MS;
const SILENCE_MS: u64 = 4 * HEARTBEAT_MS;
/// How long a successor runs until its predecessor must count no more.
const CATCH_UP_MS: u64 = 4_000;

fn voters() -> BTreeMap<ReplicaId, InstanceName> {
    (1..=5).map(|id| (ReplicaId(id), InstanceName::from(format!("core-{id}")))).collect()
}

/// An established leader of five voters or less, with simulated replies from the other replicas.
struct Group {
    leader: Replica,
    now_ms: u64,
    /// The last configuration that the leader appended.
    appended: Option<Config>,
    /// The replicas that have said that they stop.
    stopping: Vec<u64>,
}

impl Group {
    fn new() -> Self {
        Self::of(5)
    }

    fn of(size: usize) -> Self {
        Self::with(size, Options::default())
    }

    fn with(size: usize, options: Options) -> Self {
        let voters = voters().into_iter().take(size).collect();
        let mut group = Self::starting(replica(ReplicaId(1), voters, options));
        group.advance(4_000, &[2, 3, 4, 5]);
        assert!(group.leader.is_established());
        group
    }

    /// Returns the group of a replica that leads as soon as it is elected.
    fn starting(leader: Replica) -> Self {
        Self { leader, now_ms: 0, appended: None, stopping: Vec::new() }
    }

    /// Returns a group of five voters and a learner that has caught up.
    fn with_learner() -> Self {
        let mut group = Self::new();
        group.reconcile_voters(&ALL, &ALL);
        group.advance(HEARTBEAT_MS, &ALL);
        group
    }

    /// Advances time while the `responsive` replicas reply at once.
    fn advance(&mut self, for_ms: u64, responsive: &[u64]) {
        for _ in 0..for_ms / 50 {
            self.now_ms += 50;
            let actions = self.leader.tick(self.now_ms);
            self.deliver_replies(actions, responsive);
        }
    }

    fn reconcile_voters(&mut self, live: &[u64], responsive: &[u64]) {
        let mut live_replicas = voters();
        live_replicas.insert(LEARNER, "core-9".into());
        live_replicas.retain(|id, _| live.contains(&id.0));
        let stopping = self.stopping.iter().copied().map(ReplicaId).collect();
        let members = Members { live: live_replicas, stopping };
        let actions = self.leader.reconcile_voters(self.now_ms, &members);
        self.deliver_replies(actions, responsive);
    }

    fn deliver_replies(&mut self, mut actions: Vec<Action>, responsive: &[u64]) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::Send { to, message } if responsive.contains(&to.0) => {
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

/// Returns the reply of a replica that accepts everything.
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
fn a_lost_voter_is_replaced_by_a_learner() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    group.advance(LATE_MS, &[2, 3, 4, 9]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5], "the voter may only be late");

    group.advance(2 * HEARTBEAT_MS, &[2, 3, 4, 9]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5, 9], "it may still come back");
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 9]);
    assert_eq!(group.appended.as_ref().map(|config| config.voters.len()), Some(5));
}

#[test]
fn an_unresponsive_voter_stays_if_no_learner_can_replace_it() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4], &[2, 3, 4]);
    group.advance(20_000, &[2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4], &[2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_learner_that_has_not_caught_up_replaces_no_voter() {
    let mut group = Group::new();
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4]);
    group.advance(20_000, &[2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4, 9], &[2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

/// Guards against a voter that is gone and counts for seconds more under each new leader (review/12).
#[test]
fn a_new_leader_replaces_a_silent_voter_within_half_of_the_catch_up_time() {
    let others = [1, 2, 3, 4, 9];
    let mut group = Group::starting(follower(ReplicaId(1), voters()));
    while !group.leader.is_established() {
        group.advance(50, &others);
    }
    let elected_ms = group.now_ms;
    while group.voter_ids() != [1, 2, 3, 4, 9] {
        group.advance(100, &others);
        group.reconcile_voters(&others, &others);
        assert!(group.now_ms < elected_ms + CATCH_UP_MS / 2, "{:?}", group.voter_ids());
    }
}

/// Guards against voters that are replaced as silent because the leader was paused itself.
#[test]
fn a_leader_that_was_paused_itself_replaces_no_voter() {
    let mut group = Group::with_learner();
    group.now_ms += 2 * SILENCE_MS;
    group.reconcile_voters(&ALL, &ALL);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);

    // One reply comes later than the others.
    group.advance(HEARTBEAT_MS, &[2, 3, 4, 9]);
    group.reconcile_voters(&ALL, &[2, 3, 4, 9]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

/// Guards against a learner that becomes a voter after it has fallen silent itself.
#[test]
fn a_silent_learner_replaces_no_voter() {
    let mut group = Group::with_learner();
    group.advance(2 * SILENCE_MS, &[2, 3, 4]);
    group.reconcile_voters(&ALL, &[2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

/// Guards against a voter that counts for seconds after it has left as planned (review/1).
#[test]
fn a_voter_that_stops_is_replaced_before_it_leaves() {
    let mut group = Group::with_learner();
    group.stopping = vec![5];
    group.reconcile_voters(&ALL, &ALL);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5, 9], "its successor joins first");
    group.reconcile_voters(&ALL, &ALL);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 9]);
    group.reconcile_voters(&ALL, &ALL);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 9], "a replica that stops does not join again");
}

/// Guards against a voter that counts for seconds although it has said that it stops (review/1).
#[test]
fn a_voter_that_fell_silent_after_it_said_that_it_stops_is_replaced_at_once() {
    let others = [1, 2, 3, 4, 9];
    let mut group = Group::new();
    group.reconcile_voters(&others, &others);
    group.stopping = vec![5];
    group.advance(HEARTBEAT_MS, &others);
    group.reconcile_voters(&others, &others);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5, 9]);
    group.reconcile_voters(&others, &others);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 9]);
}

#[test]
fn a_voter_that_restarts_stays_one_if_there_is_no_other_replica() {
    let all = [1, 2, 3, 4, 5];
    let mut group = Group::new();
    group.stopping = vec![5];
    group.reconcile_voters(&all, &all);
    group.advance(1_000, &[1, 2, 3, 4]);
    group.reconcile_voters(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4, 5]);
}

/// Guards against a voter that ends as planned while it is one of six, of which four are a quorum: its
/// removal was not committed yet, and two lost disks took the quorum for good (review/11).
#[test]
fn a_voter_that_stops_waits_until_its_removal_is_committed() {
    let mut leaver = follower(ReplicaId(5), voters());
    let stopping = [ReplicaId(5)].into();
    let mut members = Members { live: voters(), stopping };
    assert!(!leaver.awaits_replacement(&members), "no replica can take its place");
    members.live.insert(LEARNER, "core-9".into());
    assert!(leaver.awaits_replacement(&members), "the learner can take its place");

    let mut config = Config { voters: voters() };
    config.voters.insert(LEARNER, "core-9".into());
    append_config(&mut leaver, 2, config.clone(), 1);
    assert!(leaver.awaits_replacement(&members), "it is one of six voters");
    config.voters.remove(&ReplicaId(5));
    append_config(&mut leaver, 3, config.clone(), 2);
    assert!(leaver.awaits_replacement(&members), "its removal may be lost with the leader");
    append_config(&mut leaver, 4, config, 4);
    assert!(!leaver.awaits_replacement(&members));
}

fn follower(id: ReplicaId, voters: BTreeMap<ReplicaId, InstanceName>) -> Replica {
    replica(id, voters, Options::default())
}

fn replica(id: ReplicaId, voters: BTreeMap<ReplicaId, InstanceName>, options: Options) -> Replica {
    let position = Position { term: 1, index: 1 };
    let snapshot = Snapshot { position, config: Config { voters }, ..Snapshot::default() };
    let persisted = Persisted { snapshot, ..Persisted::default() };
    Replica::new(id, options, persisted, 7, 0)
}

/// Sends a configuration as the entry `index` of the leader 1, which has committed up to `commit`.
fn append_config(follower: &mut Replica, index: u64, config: Config, commit: u64) {
    let position = Position { term: 1, index };
    let entries = vec![Entry { position, payload: Payload::Config(config) }];
    let previous = Position { term: 1, index: index - 1 };
    let append = Message::Append { term: 1, previous, entries, commit, round: index };
    follower.receive(100, ReplicaId(1), append);
}

/// Guards against a group of three that keeps a voter which left as planned: a fourth voter took its place,
/// and then the quorum was one of four.
#[test]
fn a_voter_of_three_that_stops_is_removed_once_its_successor_has_joined() {
    let all = [1, 2, 3, 9];
    let mut group = Group::of(3);
    group.reconcile_voters(&all, &all);
    group.advance(200, &all);
    group.reconcile_voters(&all, &all);
    assert_eq!(group.voter_ids(), [1, 2, 3, 9]);
    group.stopping = vec![3];
    group.reconcile_voters(&all, &all);
    assert_eq!(group.voter_ids(), [1, 2, 9]);
}

/// Guards against a group that shrinks until a quorum no longer outlives the losses.
#[test]
fn a_silent_voter_of_the_minimum_stays_where_no_replica_can_take_its_place() {
    let options = Options { voters_min: 4, ..Options::default() };
    let mut group = Group::with(4, options);
    group.advance(SILENCE_MS, &[2, 3]);
    group.reconcile_voters(&[1, 2, 3], &[2, 3]);
    assert_eq!(group.voter_ids(), [1, 2, 3, 4]);
}

/// Guards against voters that stop and hand over to each other, or to one that is gone, until they end: nobody
/// leads for long enough to replace them.
#[test]
fn a_leader_that_stops_leads_on_where_no_other_voter_can() {
    let mut group = Group::of(3);
    group.advance(SILENCE_MS, &[2]);
    let members = |stopping: &[u64]| Members {
        live: voters(),
        stopping: stopping.iter().copied().map(ReplicaId).collect(),
    };
    group.leader.transfer_leadership(group.now_ms, &members(&[1, 2]));
    assert!(group.leader.is_established(), "2 stops, too, and 3 is silent");
    group.leader.transfer_leadership(group.now_ms, &members(&[1]));
    assert!(!group.leader.is_established());
}
