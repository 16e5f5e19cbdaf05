//! An operator ends a quarantine: it is over, and only crashes after it count.

use super::world::*;
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{
    Ending, ListedQuarantine, Quarantine, QuarantineEvent, QuarantineId, RequestDigest, Suspect,
};
use lycheehub_dispatch::{Options, UsageReport};
use std::collections::BTreeSet;

const CALL: &str = "a call of an operator";
/// The number of quarantines that a dispatcher keeps for a service.
const KEPT_MAX: u128 = 64;

impl World {
    fn listed(&self) -> Vec<ListedQuarantine> {
        self.dispatchers[0].listed_quarantines(self.now_ms)
    }

    fn end(&mut self, id: QuarantineId) -> Ending {
        self.dispatchers[0].end_quarantine(self.now_ms, id, CALL)
    }

    fn pass_with_sound(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.send_sound(60.0, SAFE);
            self.step();
        }
    }

    /// Repeats the crashing request until it is quarantined.
    fn quarantine_crashing(&mut self) -> ListedQuarantine {
        while self.listed().is_empty() {
            self.send_sound(60.0, SAFE);
            self.send_crashing(2.0, SAFE);
            self.step();
        }
        self.listed().remove(0)
    }

    fn restore(&mut self, report: &UsageReport) {
        self.dispatchers[0].restore_usage(self.now_ms, 1, report);
    }

    fn usage(&self) -> UsageReport {
        self.dispatchers[0].usage(self.now_ms, 1)
    }
}

fn request_quarantine(digest: u128) -> Quarantine {
    Quarantine {
        service: "writer".into(),
        suspects: vec![Suspect::Request(RequestDigest::new(digest))],
        first_crash_ago_ms: 20_000,
        next_trial_ms: 30_000,
        trials: 0,
    }
}

/// Instances without a leader that each saw a crash on the request, and the leader that they told of it.
fn leader_of_three() -> (World, Vec<World>) {
    let mut instances: Vec<World> = Vec::new();
    let mut leader = World::new(18, 9);
    for seed in 0..3 {
        let mut instance = World::with_options(18, seed, &[Options::default().for_one_of(5, seed)]);
        for engine in std::mem::take(&mut instance.engines) {
            instance.engines.insert(format!("{}-{seed}", engine.0).into(), engine.1);
        }
        instance.update_endpoints();
        instance.pass_with_sound(200);
        instance.send(CRASHING, UNSAFE);
        instance.pass_with_sound(400);
        expect_that!(instance.crashed_ms.len(), eq(1));
        leader.restore(&instance.usage());
        instances.push(instance);
    }
    leader.pass_with_sound(200);
    let told = leader.dispatchers[0].quarantines(leader.now_ms);
    for instance in &mut instances {
        instance.dispatchers[0].set_quarantines(instance.now_ms, &told);
    }
    (leader, instances)
}

#[gtest]
fn a_quarantine_in_force_is_listed_with_the_endpoints_that_crashed() {
    let mut world = World::new(12, 1);
    let listed = world.quarantine_crashing();
    let suspects = [Suspect::Request(RequestDigest::new(CRASHING))];
    expect_that!(listed.id, eq(QuarantineId::of(&"writer".into(), &suspects)));
    expect_that!(listed.quarantine.suspects, elements_are![eq(&suspects[0])]);
    expect_that!(listed.quarantine.next_trial_ms, le(10_000));
    let endpoints: BTreeSet<_> = listed.endpoints.iter().collect();
    expect_that!(endpoints.len(), ge(1));
    expect_that!(listed.endpoints.len(), ge(COUNTED_CRASH));
}

#[gtest]
fn a_request_is_placed_once_its_quarantine_is_ended() {
    let mut world = World::new(12, 1);
    let listed = world.quarantine_crashing();
    world.dispatchers[0].take_quarantine_events();
    expect_that!(world.end(listed.id), eq(Ending::Ended));
    let ended = QuarantineEvent::Ended {
        service: "writer".into(),
        suspects: listed.quarantine.suspects,
        by: CALL.into(),
    };
    expect_that!(world.dispatchers[0].take_quarantine_events(), elements_are![eq(&ended)]);
    // What was known before does not quarantine it again.
    world.pass_with_sound(500);
    expect_that!(world.listed(), is_empty());
    let (refused, reached) = (world.refused_crashing, world.reached_ms.len());
    world.send(CRASHING, UNSAFE);
    expect_that!(world.refused_crashing, eq(refused));
    expect_that!(world.reached_ms.len(), eq(reached + 1));
}

#[gtest]
fn a_request_that_crashed_right_before_the_end_is_placed_at_once() {
    let mut world = World::new(12, 1);
    let listed = world.quarantine_crashing();
    world.end(listed.id);
    let refused = world.refused_crashing;
    world.send(CRASHING, UNSAFE);
    expect_that!(world.refused_crashing, eq(refused));
}

#[gtest]
fn new_crashes_after_the_end_quarantine_it_again() {
    let mut world = World::new(12, 1);
    let listed = world.quarantine_crashing();
    world.end(listed.id);
    let crashes = world.crashed_ms.len();
    // It is alone at the crash, and so suspect.
    while !world.running.is_empty() {
        world.step();
    }
    world.send(CRASHING, UNSAFE);
    (0..150).for_each(|_| world.step());
    expect_that!(world.crashed_ms.len(), eq(crashes + 1));
    expect_that!(world.listed(), is_empty(), "one crash is not enough");
    let refused = world.refused_crashing;
    world.send(CRASHING, UNSAFE);
    expect_that!(world.refused_crashing, eq(refused + 1), "it is suspect");
    let again = world.quarantine_crashing();
    expect_that!(again.id, eq(listed.id));
    expect_that!(world.crashed_ms.len(), eq(crashes + COUNTED_CRASH));
    expect_that!(again.endpoints.len(), eq(COUNTED_CRASH));
    expect_that!(world.end(again.id), eq(Ending::Ended));
}

#[gtest]
fn a_repeat_of_the_call_and_an_unknown_identity_change_nothing() {
    let mut world = World::new(12, 1);
    let listed = world.quarantine_crashing();
    world.dispatchers[0].take_quarantine_events();
    let unknown = QuarantineId::of(&"writer".into(), &[Suspect::Part(COMMON)]);
    expect_that!(world.end(unknown), eq(Ending::Unknown));
    expect_that!(world.dispatchers[0].take_quarantine_events(), is_empty());
    expect_that!(world.listed().len(), eq(1));
    expect_that!(world.end(listed.id), eq(Ending::Ended));
    world.dispatchers[0].take_quarantine_events();
    expect_that!(world.end(listed.id), eq(Ending::EndedBefore));
    expect_that!(world.dispatchers[0].take_quarantine_events(), is_empty());
}

#[gtest]
fn only_the_named_quarantine_is_ended() {
    let mut world = World::new(4, 1);
    let quarantines = [request_quarantine(CRASHING), request_quarantine(POPULAR)];
    world.dispatchers[0].set_quarantines(world.now_ms, &quarantines);
    let id = QuarantineId::of(&"writer".into(), &quarantines[1].suspects);
    expect_that!(world.end(id), eq(Ending::Ended));
    let left = world.dispatchers[0].quarantines(world.now_ms);
    expect_that!(left, elements_are![eq(&quarantines[0])]);
}

#[gtest]
fn an_instance_that_enters_with_a_quarantine_that_was_ended_does_not_bring_it_back() {
    let (mut leader, instances) = leader_of_three();
    let listed = leader.listed();
    expect_that!(listed.len(), eq(1));
    leader.end(listed[0].id);
    leader.pass_with_sound(10);
    // None of them was told of the end.
    instances.iter().for_each(|instance| leader.restore(&instance.usage()));
    leader.pass_with_sound(200);
    expect_that!(leader.listed(), is_empty());
    leader.send(CRASHING, UNSAFE);
    expect_that!(leader.refused_crashing, eq(0));
}

#[gtest]
fn a_quarantine_that_began_again_is_kept_by_an_instance_that_learns_of_the_end_late() {
    let mut instance = World::with_options(4, 1, &[Options::default().for_one_of(5, 1)]);
    let again = Quarantine { first_crash_ago_ms: 5_000, ..request_quarantine(CRASHING) };
    let dispatcher = &mut instance.dispatchers[0];
    dispatcher.set_quarantines(instance.now_ms, &[request_quarantine(CRASHING)]);
    // It was ended 10 s ago, and the first crash after that was 5 s ago.
    dispatcher.set_quarantines(instance.now_ms, &[]);
    dispatcher.set_quarantines(instance.now_ms + 100, std::slice::from_ref(&again));
    expect_that!(dispatcher.quarantines(instance.now_ms + 100), elements_are![eq(&again)]);
    let mut next = World::new(4, 2);
    next.restore(&instance.usage());
    expect_that!(next.listed().len(), eq(1));
}

#[gtest]
fn what_is_remembered_of_ended_quarantines_is_bounded() {
    let mut world = World::new(4, 1);
    let id_of = |digest| QuarantineId::of(&"writer".into(), &request_quarantine(digest).suspects);
    for digest in 0..KEPT_MAX * 2 {
        let now_ms = world.now_ms;
        world.dispatchers[0].set_quarantines(now_ms, &[request_quarantine(digest)]);
        expect_that!(world.end(id_of(digest)), eq(Ending::Ended));
    }
    expect_that!(world.end(id_of(0)), eq(Ending::Unknown));
    expect_that!(world.end(id_of(KEPT_MAX * 2 - 1)), eq(Ending::EndedBefore));
}

/// What a request is refused for is not over with the end of one of its parts.
#[gtest]
fn a_quarantine_of_a_request_outlives_the_end_of_one_of_its_parts() {
    let mut world = World::new(4, 1);
    let part = Quarantine { suspects: vec![Suspect::Part(COMMON)], ..request_quarantine(CRASHING) };
    let mut request = request_quarantine(CRASHING);
    request.suspects.insert(0, Suspect::Part(COMMON));
    world.dispatchers[0].set_quarantines(world.now_ms, std::slice::from_ref(&part));
    let id = QuarantineId::of(&"writer".into(), &part.suspects);
    expect_that!(world.end(id), eq(Ending::Ended));
    let mut instance = World::with_options(4, 1, &[Options::default().for_one_of(5, 1)]);
    let told = [part, request.clone()];
    instance.dispatchers[0].set_quarantines(instance.now_ms, &told);
    world.restore(&instance.usage());
    let left = world.dispatchers[0].quarantines(world.now_ms);
    let left: Vec<_> = left.into_iter().map(|quarantine| quarantine.suspects).collect();
    expect_that!(left, elements_are![eq(&request.suspects)]);
}
