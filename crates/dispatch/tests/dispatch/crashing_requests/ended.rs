//! An operator ends a quarantine: it is over everywhere, and only crashes after it count.

use super::world::*;
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{
    Ending, ListedQuarantine, Quarantine, QuarantineEvent, QuarantineFeed, QuarantineId,
    RequestDigest, Suspect,
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
fn a_new_leader_is_not_told_an_ended_quarantine_again() {
    for last_told in 0..3 {
        let (mut leader, mut instances) = leader_of_three();
        let listed = leader.listed();
        expect_that!(listed.len(), eq(1));
        leader.end(listed[0].id);
        let told = leader.dispatchers[0].quarantines(leader.now_ms);
        for instance in &mut instances[..=last_told] {
            instance.dispatchers[0].set_quarantines(instance.now_ms, &told);
            instance.send(CRASHING, UNSAFE);
            expect_that!(instance.refused_crashing, eq(0), "without a leader");
            instance.running.clear();
        }
        let reports: Vec<UsageReport> = instances.iter().map(World::usage).collect();
        // Those that still hold it may come first or last.
        for is_first in [true, false] {
            let mut next = World::new(18, 11);
            let order: Vec<usize> = if is_first { vec![2, 1, 0] } else { vec![0, 1, 2] };
            order.into_iter().for_each(|number| next.restore(&reports[number]));
            next.pass_with_sound(200);
            let told = format!("{} told, {is_first}", last_told + 1);
            expect_that!(next.listed(), is_empty(), "{told}");
            next.send(CRASHING, UNSAFE);
            expect_that!(next.refused_crashing, eq(0), "{told}");
        }
    }
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

/// A narrowed quarantine is not ended, and one that gave way to further ones is not taken for sound.
#[gtest]
fn an_instance_takes_only_what_its_leader_has_ended_for_ended() {
    let request = Suspect::Request(RequestDigest::new(CRASHING));
    let mut wide = request_quarantine(CRASHING);
    wide.suspects.insert(0, Suspect::Part(COMMON));
    let many: Vec<Quarantine> =
        (0..KEPT_MAX).map(|digest| request_quarantine(1 + digest)).collect();
    for (told, is_ended) in
        [(vec![], true), (vec![request_quarantine(CRASHING)], false), (many, false)]
    {
        let mut instance = World::with_options(4, 1, &[Options::default().for_one_of(5, 1)]);
        let dispatcher = &mut instance.dispatchers[0];
        dispatcher.set_quarantines(instance.now_ms, std::slice::from_ref(&wide));
        dispatcher.set_quarantines(instance.now_ms, &told);
        let answers = instance.usage().crashes.answers;
        let is_told = answers.iter().any(|answer| answer.suspect == request);
        expect_that!(is_told, eq(is_ended), "{} told", told.len());
        expect_that!(answers.len(), eq(usize::from(is_ended)), "not its parts");
    }
}

#[gtest]
fn what_is_remembered_of_ended_quarantines_is_bounded() {
    let mut instance = World::with_options(4, 1, &[Options::default().for_one_of(5, 1)]);
    for digest in 0..2_000 {
        let dispatcher = &mut instance.dispatchers[0];
        dispatcher.set_quarantines(instance.now_ms, &[request_quarantine(digest)]);
    }
    expect_that!(instance.usage().crashes.answers.len(), le(KEPT_MAX as usize));
}

/// Returns the digests of the requests that an instance is told, and the revision that it has then.
fn tell(
    feed: &QuarantineFeed,
    (session, known): (u64, u64),
    in_force: &[u128],
) -> (u64, Vec<u128>) {
    let quarantines = || in_force.iter().copied().map(request_quarantine).collect();
    let (revision, told) = feed.next(5_000, (session, known), quarantines).unwrap_or_default();
    let digests = told.iter().flat_map(|quarantine| &quarantine.suspects).map(|suspect| {
        let Suspect::Request(digest) = suspect else { return 0 };
        u128::from_be_bytes(digest.to_bytes())
    });
    (revision, digests.collect())
}

/// An instance that was told neither the begin nor the end would pass on the crashes.
#[gtest]
fn an_instance_that_was_not_told_of_an_ended_quarantine_is_told_of_it_first() {
    let mut feed = QuarantineFeed::default();
    let (mut known, _) = tell(&feed, (1, 0), &[]);
    // Two begin, and are ended one after the other before the instance calls again.
    (0..2).for_each(|_| feed.record_change());
    for digest in [1, 2] {
        feed.record_change();
        feed.record_end(4_000, 1, request_quarantine(digest));
    }
    let steps = std::iter::from_fn(|| {
        let (revision, told) = tell(&feed, (1, known), &[3]);
        (revision > 0).then(|| known = revision).map(|()| told)
    });
    expect_that!(steps.collect::<Vec<_>>(), elements_are![eq(&vec![3, 1, 2]), eq(&vec![3])]);
}

#[gtest]
fn an_instance_that_was_told_of_a_quarantine_is_told_of_its_end_at_once() {
    let mut feed = QuarantineFeed::default();
    feed.record_change();
    let (known, told) = tell(&feed, (1, 1), &[1]);
    expect_that!(told, elements_are![eq(&1)]);
    feed.record_change();
    feed.record_end(4_000, 1, request_quarantine(1));
    expect_that!(tell(&feed, (1, known), &[]), eq(&(known + 1, vec![])));
    expect_that!(feed.next(5_000, (1, known + 1), Vec::new), none());
}

#[gtest]
fn an_ended_quarantine_is_told_neither_to_new_sessions_nor_beside_the_same_one() {
    let mut feed = QuarantineFeed::default();
    (0..2).for_each(|_| feed.record_change());
    feed.record_end(4_000, 1, request_quarantine(1));
    expect_that!(tell(&feed, (2, 0), &[]), eq(&(3, vec![])));
    feed.record_change();
    expect_that!(tell(&feed, (1, 1), &[1]), eq(&(4, vec![1])), "it began again");
}
