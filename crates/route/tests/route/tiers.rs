//! Inside an instance, no tier is shed while a lower one waits or is taken.

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
    Pass(u8),
    Grant(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..5_u8, 1..400_u16, 50..20_000_u16)
            .prop_map(|(tier, tokens, patience_ms)| Event::Arrive { tier, tokens, patience_ms }),
        5 => any::<u8>().prop_map(Event::Finish),
        1 => any::<u8>().prop_map(Event::Fail),
        3 => any::<u8>().prop_map(Event::Pass),
        1 => (0..4_u8).prop_map(Event::Grant),
    ]
}

/// The scheduler with all that the checks need to know of its jobs.
struct Site {
    scheduler: Scheduler,
    now_ms: u64,
    /// Jobs that wait, with the tier that they came with.
    waiting: BTreeMap<JobKey, Tier>,
    running: Vec<JobKey>,
    slots: u32,
}

impl Site {
    fn new(options: Options) -> Self {
        let mut scheduler = Scheduler::new(options, 7);
        let slots = 3;
        scheduler.update(0, &view(vec![endpoint("engine", "v1", slots, u64::MAX)]));
        Self { scheduler, now_ms: 1, waiting: BTreeMap::new(), running: Vec::new(), slots }
    }

    fn step(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Arrive { tier, tokens, patience_ms } => self.arrive(tier, tokens, patience_ms),
            Event::Finish(pick) => self.end(pick, |tokens| Outcome::Answered {
                tokens,
                first_token_ms: Some(20.0),
                total_ms: 120.0,
            }),
            Event::Fail(pick) => self.end(pick, |_| Outcome::Failed),
            Event::Pass(ms) => {
                self.now_ms += u64::from(ms) * 4;
                let decisions = self.scheduler.tick(self.now_ms);
                self.check(&decisions, None)
            }
            Event::Grant(slots) => {
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

    fn end(&mut self, pick: u8, outcome: impl FnOnce(u64) -> Outcome) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let key = self.running.remove(usize::from(pick) % self.running.len());
        let decisions = self.scheduler.finish(self.now_ms, key, outcome(6));
        self.check(&decisions, None)
    }

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
                            shed.is_none_or(|before| before <= tier),
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
        let taken = arrived.filter(|key| self.running.contains(key));
        prop_assert!(
            taken.is_none() || decisions.len() == 1,
            "one was shed while one that came was taken"
        );
        Ok(())
    }
}

fn run(options: Options) -> Result<(), TestError<Vec<Event>>> {
    let mut runner = TestRunner::new(config(1_500));
    runner.run(&vec(event(), 1..200), |events| {
        let mut site = Site::new(options);
        events.into_iter().try_for_each(|event| site.step(event))
    })
}

fn tight() -> Options {
    Options { queue_max: 12, ..Options::default() }
}

#[test]
fn no_tier_is_shed_while_a_lower_one_waits() {
    run(tight()).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn shedding_without_tiers_is_caught() {
    let found = run(Options { tiers: false, ..tight() });
    assert!(matches!(found, Err(TestError::Fail(..))), "shedding without tiers was not caught");
}

#[test]
fn a_floor_heard_from_another_instance_sheds_what_is_below_it() {
    let mut site = Site::new(tight());
    let mut heard = view(vec![endpoint("engine", "v1", 0, u64::MAX)]);
    site.scheduler.update(1, &heard);
    let (low, _) = site.scheduler.submit(1, job(4, "a", 60_000));
    let (high, _) = site.scheduler.submit(1, job(0, "a", 60_000));
    heard.shed_floor.insert("writer".into(), Tier::new(2));
    let decisions = site.scheduler.update(2, &heard);
    assert_eq!(crate::fixtures::refused(&decisions), [low]);
    let (next, decisions) = site.scheduler.submit(3, job(3, "a", 60_000));
    assert_eq!(crate::fixtures::refused(&decisions), [next]);
    assert!(!crate::fixtures::refused(&decisions).contains(&high));
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut site = Site::new(tight());
    let job = Job { max_tokens: 10_000, ..job(0, "a", 1_000) };
    let (key, decisions) = site.scheduler.submit(1, job);
    let Some(Decision::Refuse(refused, refusal)) = decisions.first() else {
        panic!("{decisions:?}")
    };
    assert_eq!((*refused, refusal.kind()), (key, RefusalKind::DeadlineUnreachable));
}
