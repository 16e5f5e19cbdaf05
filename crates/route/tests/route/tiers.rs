//! Within an instance, no request is shed while one of a lower tier waits or is dispatched.

use crate::fixtures::{config, endpoint, job, view};
use lycheehub_route::{Decision, Job, JobKey, Options, Outcome, Scheduler};
use lycheehub_types::{RefusalKind, Tier};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { tier: u8, tokens: u16, patience_ms: u16 },
    Finish(u8),
    Fail(u8),
    AdvanceTime(u8),
    GrantSlots(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..5_u8, 1..400_u16, 50..20_000_u16)
            .prop_map(|(tier, tokens, patience_ms)| Event::Arrive { tier, tokens, patience_ms }),
        5 => any::<u8>().prop_map(Event::Finish),
        1 => any::<u8>().prop_map(Event::Fail),
        3 => any::<u8>().prop_map(Event::AdvanceTime),
        1 => (0..4_u8).prop_map(Event::GrantSlots),
    ]
}

/// A scheduler, with the state of its jobs that the checks need.
struct Harness {
    scheduler: Scheduler,
    now_ms: u64,
    /// Waiting jobs, with the tier at which they were submitted.
    waiting: BTreeMap<JobKey, Tier>,
    running: Vec<JobKey>,
    slots: u32,
}

impl Harness {
    fn new(options: Options) -> Self {
        let mut scheduler = Scheduler::new(options, 7);
        let slots = 3;
        scheduler.update(0, &view(vec![endpoint("engine", "v1", slots, u64::MAX)]));
        Self { scheduler, now_ms: 1, waiting: BTreeMap::new(), running: Vec::new(), slots }
    }

    fn step(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Arrive { tier, tokens, patience_ms } => self.arrive(tier, tokens, patience_ms),
            Event::Finish(selector) => self.end(selector, |tokens| Outcome::Answered {
                tokens,
                first_token_ms: Some(20.0),
                total_ms: 120.0,
            }),
            Event::Fail(selector) => self.end(selector, |_| Outcome::Failed),
            Event::AdvanceTime(ms) => {
                self.now_ms += u64::from(ms) * 4;
                let decisions = self.scheduler.tick(self.now_ms);
                self.check(&decisions, None)
            }
            Event::GrantSlots(slots) => {
                self.slots = u32::from(slots);
                let live = endpoint("engine", "v1", self.slots, u64::MAX);
                let decisions = self.scheduler.update(self.now_ms, &view(vec![live]));
                self.check(&decisions, None)
            }
        }
    }

    fn arrive(&mut self, tier: u8, tokens: u16, patience_ms: u16) -> Result<(), TestCaseError> {
        let deadline_ms = self.now_ms + u64::from(patience_ms);
        let account = format!("account-{}", tokens % 3);
        let job = Job { max_tokens: u64::from(tokens), ..job(tier, &account, deadline_ms) };
        let (key, decisions) = self.scheduler.submit(self.now_ms, job);
        self.waiting.insert(key, Tier::new(tier));
        self.check(&decisions, Some(key))
    }

    fn end(
        &mut self,
        selector: u8,
        outcome: impl FnOnce(u64) -> Outcome,
    ) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let key = self.running.remove(usize::from(selector) % self.running.len());
        let decisions = self.scheduler.finish(self.now_ms, key, outcome(6));
        self.check(&decisions, None)
    }

    /// Checks that the decisions never shed a request while one of a lower tier waits or is
    /// dispatched.
    fn check(
        &mut self,
        decisions: &[Decision],
        arrived: Option<JobKey>,
    ) -> Result<(), TestCaseError> {
        let mut shed: Option<Tier> = None;
        for decision in decisions {
            match decision {
                Decision::Dispatch(key, _) => {
                    let tier = self.waiting.remove(key);
                    prop_assert!(tier.is_some(), "dispatched twice or never submitted");
                    self.running.push(*key);
                }
                Decision::Refuse(key, refusal) => {
                    let tier = self.waiting.remove(key).expect("refused once");
                    prop_assert!(
                        refusal.retry_after_ms().is_some()
                            || refusal.kind() == RefusalKind::DeadlineUnreachable
                    );
                    if refusal.kind() == RefusalKind::Overloaded {
                        prop_assert!(
                            shed.is_none_or(|previous| previous <= tier),
                            "a higher tier was shed first"
                        );
                        shed = shed.max(Some(tier));
                    }
                }
            }
        }
        let Some(shed) = shed else { return Ok(()) };
        let lower = self.waiting.iter().find(|(_, tier)| **tier < shed);
        prop_assert!(
            lower.is_none(),
            "tier {shed} was shed while tier {} waits",
            lower.map_or(Tier::LOWEST, |(_, tier)| *tier)
        );
        let dispatched = arrived.filter(|key| self.running.contains(key));
        prop_assert!(
            dispatched.is_none() || decisions.len() == 1,
            "a request was shed while the arriving one was dispatched"
        );
        Ok(())
    }
}

fn run(options: Options) -> Result<(), TestError<Vec<Event>>> {
    let mut runner = TestRunner::new(config(1_500));
    runner.run(&vec(event(), 1..200), |events| {
        let mut harness = Harness::new(options);
        events.into_iter().try_for_each(|event| harness.step(event))
    })
}

fn small_queue() -> Options {
    Options { queue_max: 12, ..Options::default() }
}

#[test]
fn no_tier_is_shed_while_a_lower_one_waits() {
    run(small_queue()).unwrap_or_else(|error| panic!("{error}"));
}

/// Guards the property test itself: it must fail for a scheduler that ignores tiers.
#[test]
fn checks_detect_shedding_that_ignores_tiers() {
    let result = run(Options { tiers: false, ..small_queue() });
    assert!(
        matches!(result, Err(TestError::Fail(..))),
        "the checks did not detect shedding that ignores tiers"
    );
}

#[test]
fn shed_floor_of_another_instance_sheds_lower_tiers() {
    let mut harness = Harness::new(small_queue());
    let mut remote_view = view(vec![endpoint("engine", "v1", 0, u64::MAX)]);
    harness.scheduler.update(1, &remote_view);
    let (low, _) = harness.scheduler.submit(1, job(4, "a", 60_000));
    let (high, _) = harness.scheduler.submit(1, job(0, "a", 60_000));
    remote_view.shed_floor.insert("writer".into(), Tier::new(2));
    let decisions = harness.scheduler.update(2, &remote_view);
    assert_eq!(crate::fixtures::refused(&decisions), [low]);
    let (next, decisions) = harness.scheduler.submit(3, job(3, "a", 60_000));
    assert_eq!(crate::fixtures::refused(&decisions), [next]);
    assert!(!crate::fixtures::refused(&decisions).contains(&high));
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut harness = Harness::new(small_queue());
    let job = Job { max_tokens: 10_000, ..job(0, "a", 1_000) };
    let (key, decisions) = harness.scheduler.submit(1, job);
    let Some(Decision::Refuse(refused, refusal)) = decisions.first() else {
        panic!("{decisions:?}")
    };
    assert_eq!((*refused, refusal.kind()), (key, RefusalKind::DeadlineUnreachable));
}
