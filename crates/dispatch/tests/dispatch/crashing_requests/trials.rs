//! Trials of a quarantine stay few for as long as it is kept.

use super::world::*;
use crate::replay::{document, finished, job};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{Quarantine, RequestDigest};
use lycheehub_dispatch::{Decision, Finished, Job, JobId, Outcome, Reason};
use lycheehub_routes::Quota;

const HOUR_MS: u64 = 3_600_000;
/// The time between the repeats of the caller, in milliseconds.
const REPEAT_MS: u64 = 20_000;
/// The number of the first job that a test submits itself.
const TRIAL: u64 = 1_000_000;
/// How soon a trial that reached no endpoint is repeated, in milliseconds.
const SOON_MS: u64 = 10_000;

impl World {
    /// Lets time pass until all engines are up and `until_ms` is reached.
    fn pass(&mut self, until_ms: u64) {
        while !self.running.is_empty()
            || self.engines.values().any(|engine| engine.1 >= self.now_ms)
        {
            self.step();
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.step();
    }

    fn repeat_crashing(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            let now_ms = self.now_ms;
            self.send(CRASHING, SAFE);
            self.send(u128::from(now_ms), SAFE);
            (0..50).for_each(|_| self.step());
            self.pass(now_ms + REPEAT_MS);
        }
    }
}

#[gtest]
fn a_quarantined_request_is_not_tried_a_fourth_time_within_hours() {
    let mut world = World::new(6, 1);
    world.repeat_crashing(world.now_ms + 20 * HOUR_MS);
    expect_that!(world.crashed_ms.len(), ge(COUNTED_CRASH));
    expect_that!(world.further(), le(FURTHER_MAX));
    let told_ms = world.told_ms.last().copied().unwrap_or_default();
    expect_that!(told_ms, ge(HOUR_MS), "the caller is told when it may be run");
}

#[gtest]
fn a_quarantined_request_is_tried_once_more_after_a_day() {
    let mut world = World::new(6, 1);
    world.repeat_crashing(world.now_ms + HOUR_MS);
    let crashes = world.crashed_ms.len();
    world.repeat_crashing(world.now_ms + 24 * HOUR_MS);
    expect_that!(world.crashed_ms.len(), eq(crashes + 1));
}

/// Each was counted, so that a sound request had no trial left.
#[gtest]
fn a_trial_that_reached_no_endpoint_is_not_counted() {
    let mut world = World::new(1, 1);
    while world.dispatchers[0].quarantines(world.now_ms).is_empty() {
        world.repeat_crashing(world.now_ms + REPEAT_MS);
    }
    for engine in world.engines.values_mut() {
        engine.1 = world.now_ms + HOUR_MS;
    }
    for _ in 0..60 {
        world.send(CRASHING, UNSAFE);
        for _ in 0..100 {
            world.step();
        }
        world.now_ms += REPEAT_MS;
    }
    let trials: Vec<u32> =
        world.dispatchers[0].quarantines(world.now_ms).iter().map(|known| known.trials).collect();
    expect_that!(trials, elements_are![le(&1)]);
}

/// Returns a world with one endpoint, in which the crashing request is quarantined.
fn quarantined() -> World {
    let mut world = World::new(1, 1);
    while world.dispatchers[0].quarantines(world.now_ms).is_empty() {
        world.repeat_crashing(world.now_ms + REPEAT_MS);
    }
    world
}

impl World {
    /// The number of trials that are counted.
    fn trials(&self) -> u32 {
        let quarantines = self.dispatchers[0].quarantines(self.now_ms);
        quarantines.iter().map(|known| known.trials).sum()
    }

    /// How long the next trial is away, in milliseconds.
    fn next_trial_ms(&self) -> u64 {
        let quarantines = self.dispatchers[0].quarantines(self.now_ms);
        quarantines.iter().map(|known| known.next_trial_ms).max().unwrap_or_default()
    }

    /// Submits the crashing request, and returns the decisions.
    fn submit_crashing(&mut self, number: u64) -> Vec<Decision> {
        let digest = Some(RequestDigest::new(CRASHING));
        let job = Job { digest, is_last_attempt: true, ..job(number) };
        self.dispatchers[0].submit(self.now_ms, job);
        self.dispatchers[0].take_decisions()
    }

    /// Waits until a trial is due, and places it.
    fn place_trial(&mut self, number: u64) -> JobId {
        self.await_trial();
        let decisions = self.submit_crashing(number);
        expect_that!(decisions, elements_are![matches_pattern!(Decision::Place { .. })]);
        JobId { instance: 1, number }
    }

    fn finish(&mut self, job_id: JobId, outcome: Outcome) {
        let end =
            Finished { first_byte_ms: None, rest_ms: 0, events: 0, ..finished(job_id, outcome) };
        self.dispatchers[0].finish(self.now_ms, end);
    }

    /// Removes all endpoints from the list.
    fn remove_endpoints(&mut self) {
        self.dispatchers[0].set_endpoints(self.now_ms, std::iter::empty());
    }
}

#[gtest]
fn a_trial_whose_endpoint_left_the_list_before_it_was_not_reached_is_not_counted() {
    let mut world = quarantined();
    let before = world.trials();
    let job_id = world.place_trial(TRIAL);
    expect_that!(world.trials(), eq(before + 1));
    world.remove_endpoints();
    world.now_ms += 500;
    world.finish(job_id, Outcome::NotConnected);
    expect_that!(world.trials(), eq(before));
    expect_that!(world.next_trial_ms(), le(SOON_MS));
}

#[gtest]
fn a_trial_that_is_given_back_unsent_is_not_counted() {
    for is_listed in [true, false] {
        let mut world = quarantined();
        let before = world.trials();
        let job_id = world.place_trial(TRIAL);
        if !is_listed {
            world.remove_endpoints();
        }
        let now_ms = world.now_ms;
        world.dispatchers[0].withdraw(now_ms, job_id);
        expect_that!(world.trials(), eq(before), "{is_listed}");
        expect_that!(world.next_trial_ms(), le(SOON_MS), "{is_listed}");
    }
}

/// A new leader places a trial that an instance holds for due, and then hears of another one that has seen more
/// trials.
#[gtest]
fn a_trial_that_is_given_back_does_not_bring_forward_one_that_was_told_meanwhile() {
    let mut world = quarantined();
    let job_id = world.place_trial(TRIAL);
    let (now_ms, dispatcher) = (world.now_ms, &mut world.dispatchers[0]);
    let told = dispatcher.quarantines(now_ms).into_iter();
    let told = told.map(|known| Quarantine { next_trial_ms: HOUR_MS, trials: 3, ..known });
    dispatcher.set_quarantines(now_ms, &told.collect::<Vec<_>>());
    dispatcher.withdraw(now_ms, job_id);
    expect_that!(world.next_trial_ms(), eq(HOUR_MS));
    expect_that!(world.trials(), eq(3));
}

/// An attempt that ended without an answer may have run; a rejected one has reached an endpoint.
#[gtest]
fn a_trial_that_may_have_reached_an_endpoint_is_counted() {
    let outcomes = [
        Outcome::Abandoned,
        Outcome::Broken,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::Misdirected,
    ];
    for outcome in outcomes {
        for is_listed in [true, false] {
            let mut world = quarantined();
            let before = world.trials();
            let job_id = world.place_trial(TRIAL);
            if !is_listed {
                world.remove_endpoints();
            }
            world.finish(job_id, outcome);
            expect_that!(world.trials(), eq(before + 1), "{outcome:?} {is_listed}");
            // What is reported after the end changes nothing.
            world.finish(job_id, Outcome::NotConnected);
            expect_that!(world.trials(), eq(before + 1), "{outcome:?} {is_listed}");
            expect_that!(world.next_trial_ms(), gt(SOON_MS), "{outcome:?} {is_listed}");
        }
    }
}

#[gtest]
fn a_trial_of_an_instance_that_is_gone_is_counted() {
    let mut world = quarantined();
    let before = world.trials();
    let job_id = world.place_trial(TRIAL);
    let now_ms = world.now_ms;
    world.dispatchers[0].forget_instance(now_ms, job_id.instance);
    expect_that!(world.trials(), eq(before + 1));
    expect_that!(world.next_trial_ms(), gt(SOON_MS));
}

/// Otherwise a trial after it, which may have run, would be taken back with it.
#[gtest]
fn a_trial_that_ends_after_the_next_one_may_have_been_placed_is_counted() {
    let mut world = quarantined();
    let before = world.trials();
    let first = world.place_trial(TRIAL);
    let second = world.place_trial(TRIAL + 1);
    world.finish(first, Outcome::NotConnected);
    expect_that!(world.trials(), eq(before + 2));
    expect_that!(world.next_trial_ms(), gt(SOON_MS));
    world.finish(second, Outcome::NotConnected);
    expect_that!(world.trials(), eq(before + 1));
}

/// Returns the reason of a refusal that is the only decision.
fn refusal(decisions: &[Decision]) -> Option<Reason> {
    match decisions {
        [Decision::Refuse { reason, .. }] => Some(*reason),
        _ => None,
    }
}

impl World {
    /// Waits until a trial is due.
    fn await_trial(&mut self) {
        self.now_ms += self.next_trial_ms();
        self.dispatchers[0].tick(self.now_ms);
    }

    /// Fills all slots of the endpoint, so that further jobs wait.
    fn fill(&mut self) {
        for number in 0..9 {
            let digest = Some(RequestDigest::new(0x2_0000 + u128::from(number)));
            self.dispatchers[0].submit(self.now_ms, Job { digest, ..patient(FILLING + number) });
        }
        let decisions = self.dispatchers[0].take_decisions();
        expect_that!(decisions, each(matches_pattern!(Decision::Place { .. })));
    }

    fn submit_patient(&mut self, number: u64) -> Vec<Decision> {
        let digest = Some(RequestDigest::new(CRASHING));
        let job = Job { digest, is_last_attempt: true, ..patient(number) };
        self.dispatchers[0].submit(self.now_ms, job);
        self.dispatchers[0].take_decisions()
    }
}

/// The number of the first of the jobs that fill an endpoint.
const FILLING: u64 = 2_000_000;

/// Returns a job whose caller waits for an hour.
fn patient(number: u64) -> Job {
    Job {
        objective_left_ms: HOUR_MS,
        patience_left_ms: 2 * HOUR_MS,
        deadline_left_ms: 3 * HOUR_MS,
        ..job(number)
    }
}

/// Returns a world in which a trial waits for a full endpoint.
fn waiting_trial() -> World {
    let mut world = quarantined();
    world.await_trial();
    world.fill();
    expect_that!(world.submit_patient(TRIAL), is_empty());
    world
}

/// A quota that a few requests use up for an hour.
const QUOTA: Quota =
    Quota { in_tokens: false, untold_tokens: 1, units_per_s: 0.001, burst_units: 3.0 };

#[gtest]
fn a_refusal_for_want_of_an_endpoint_costs_no_trial() {
    let mut world = quarantined();
    world.await_trial();
    world.remove_endpoints();
    let refused = refusal(&world.submit_crashing(TRIAL));
    expect_that!(refused, eq(Some(Reason::NoEndpoint)));
    expect_that!(world.next_trial_ms(), eq(0));
    world.update_endpoints();
    world.place_trial(TRIAL + 1);
}

#[gtest]
fn a_refusal_for_a_quota_or_the_retry_budget_costs_no_trial() {
    for (is_repeat, reason) in [(true, Reason::RetriesExhausted), (false, Reason::QuotaExceeded)] {
        let mut world = quarantined();
        world.dispatchers[0].set_document(world.now_ms, &document(Some(QUOTA)));
        world.await_trial();
        let sound = Job { account: Some("large".into()), repeat: is_repeat, ..patient(FILLING) };
        let mut numbers = FILLING..FILLING + 1_000;
        let is_used_up = numbers.any(|number| {
            let job_id = JobId { instance: 1, number };
            world.dispatchers[0].submit(world.now_ms, Job { job_id, ..sound.clone() });
            refusal(&world.dispatchers[0].take_decisions()).is_some()
        });
        expect_that!(is_used_up, eq(true));
        let crashing = Job { digest: Some(RequestDigest::new(CRASHING)), ..sound };
        world.dispatchers[0].submit(world.now_ms, crashing);
        let refused = refusal(&world.dispatchers[0].take_decisions());
        expect_that!(refused, eq(Some(reason)));
        expect_that!(world.next_trial_ms(), eq(0), "{reason:?}");
    }
}

#[gtest]
fn a_refusal_after_a_wait_costs_no_trial() {
    let mut world = quarantined();
    world.await_trial();
    world.fill();
    expect_that!(world.submit_crashing(TRIAL), is_empty());
    let refused = (0..300).find_map(|_| {
        world.now_ms += TICK_MS;
        world.dispatchers[0].tick(world.now_ms);
        refusal(&world.dispatchers[0].take_decisions())
    });
    expect_that!(refused, eq(Some(Reason::Overloaded)));
    expect_that!(world.next_trial_ms(), eq(0));
}

/// A further crash, of which it is not known yet what caused it, refuses the requests that wait.
#[gtest]
fn a_refusal_at_a_further_crash_costs_no_trial() {
    let mut world = waiting_trial();
    let job_id = JobId { instance: 1, number: FILLING };
    let broken = Finished {
        first_byte_ms: None,
        is_connection_lost: true,
        ..finished(job_id, Outcome::Broken)
    };
    world.dispatchers[0].finish(world.now_ms, broken);
    let decisions = world.dispatchers[0].take_decisions();
    expect_that!(refusal(&decisions), eq(Some(Reason::Quarantined)));
    let soon = matches_pattern!(Decision::Refuse { retry_after_ms: le(&SOON_MS), .. });
    expect_that!(decisions, elements_are![soon]);
    expect_that!(world.next_trial_ms(), eq(0));
}

#[gtest]
fn a_trial_whose_caller_leaves_while_it_waits_costs_nothing() {
    for is_instance_gone in [true, false] {
        let mut world = waiting_trial();
        let now_ms = world.now_ms;
        match is_instance_gone {
            true => world.dispatchers[0].forget_instance(now_ms, 1),
            false => {
                world.dispatchers[0].withdraw(now_ms, JobId { instance: 1, number: TRIAL });
            }
        }
        expect_that!(world.next_trial_ms(), eq(0), "{is_instance_gone}");
    }
}

/// A refusal gives back no trial but its own.
#[gtest]
fn while_a_trial_waits_no_other_is_let_through() {
    let mut world = waiting_trial();
    for number in 1..20 {
        let refused = refusal(&world.submit_patient(TRIAL + number));
        expect_that!(refused, eq(Some(Reason::Quarantined)));
        world.now_ms += 1_000;
        world.dispatchers[0].tick(world.now_ms);
    }
}

#[gtest]
fn a_trial_that_waits_for_long_is_not_followed_by_a_second_one() {
    let mut world = waiting_trial();
    for number in 1..100 {
        world.now_ms += REPEAT_MS;
        world.dispatchers[0].tick(world.now_ms);
        let decisions = world.submit_patient(TRIAL + number);
        expect_that!(refusal(&decisions), eq(Some(Reason::Quarantined)), "{number}");
    }
    // It is placed itself once there is room, and is the only one.
    let job_id = JobId { instance: 1, number: FILLING };
    world.finish(job_id, Outcome::Answered);
    let decisions = world.dispatchers[0].take_decisions();
    let placed =
        matches_pattern!(Decision::Place { job_id: eq(&JobId { instance: 1, number: TRIAL }), .. });
    expect_that!(decisions, elements_are![placed]);
    expect_that!(world.trials(), eq(1));
    expect_that!(world.next_trial_ms(), ge(30_000));
}
