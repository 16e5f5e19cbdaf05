//! Seeded fault schedules, and injected bugs that show that the checks detect violations.

use crate::world::{InjectedBug, Step, World};
use lycheehub_consensus::Options;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestError, TestRunner};

const SEED: u64 = 20_261_204;
/// The default number of schedules in a run; `LYCHEEHUB_SCHEDULES` overrides it.
const SCHEDULES: u32 = 4_000;
const STEPS: usize = 120;

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        15 => any::<u16>().prop_map(Step::AdvanceDelivering),
        15 => any::<u16>().prop_map(Step::Advance),
        25 => any::<u16>().prop_map(Step::Deliver),
        12 => Just(Step::DeliverAll),
        6 => any::<u16>().prop_map(Step::Drop),
        4 => any::<u16>().prop_map(Step::Duplicate),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(node, count)| Step::CrashAfter(node, count)),
        2 => any::<u8>().prop_map(Step::Crash),
        6 => any::<u8>().prop_map(Step::Restart),
        1 => any::<u8>().prop_map(Step::LoseDisk),
        10 => any::<u8>().prop_map(Step::Propose),
        5 => any::<u8>().prop_map(Step::Read),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(from, to)| Step::BlockLink(from, to)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Partition(a, b)),
        1 => any::<u8>().prop_map(Step::Isolate),
        1 => any::<u8>().prop_map(Step::Pause),
        1 => Just(Step::ResumeAll),
        3 => any::<u8>().prop_map(Step::CrashAndRestart),
        2 => Just(Step::UnblockLinks),
        1 => any::<u8>().prop_map(Step::Compact),
        1 => any::<u8>().prop_map(Step::TransferLeadership),
    ]
}

/// How often a schedule that fails is shortened.
const SHRINKS_MAX: u32 = 400;

fn runner(cases: u32, shrinks_max: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: shrinks_max,
        ..Config::default()
    })
}

fn run(
    injected_bug: InjectedBug,
    schedules: u32,
    converge: bool,
) -> Result<(), TestError<(u64, Vec<Step>)>> {
    run_in(|seed| World::new(seed, injected_bug), schedules, converge)
}

fn run_in(
    world: impl Fn(u64) -> World,
    schedules: u32,
    converge: bool,
) -> Result<(), TestError<(u64, Vec<Step>)>> {
    run_steps(world, vec(step(), STEPS), schedules, converge)
}

/// Runs schedules with the steps that `steps` draws.
pub fn run_steps(
    world: impl Fn(u64) -> World,
    steps: impl Strategy<Value = Vec<Step>>,
    schedules: u32,
    converge: bool,
) -> Result<(), TestError<(u64, Vec<Step>)>> {
    run_with(runner(schedules, SHRINKS_MAX), world, steps, converge)
}

fn run_with(
    mut runner: TestRunner,
    world: impl Fn(u64) -> World,
    steps: impl Strategy<Value = Vec<Step>>,
    converge: bool,
) -> Result<(), TestError<(u64, Vec<Step>)>> {
    let strategy = (any::<u64>(), steps);
    runner.run(&strategy, |(seed, steps)| {
        let mut world = world(seed);
        for step in steps {
            world.step(step);
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        if converge {
            prop_assert!(
                world.converges(),
                "the replicas do not converge after all faults have ended"
            );
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        Ok(())
    })
}

pub fn schedules() -> u32 {
    std::env::var("LYCHEEHUB_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES)
}

#[test]
fn committed_entries_survive_fault_schedules() {
    run(InjectedBug::None, schedules(), true).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn replicas_of_two_builds_agree_over_fault_schedules() {
    let world = |seed| World::of_two_builds(seed, InjectedBug::None);
    run_in(world, schedules(), true).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn an_unknown_command_that_is_skipped_is_detected() {
    let world = |seed| World::of_two_builds(seed, InjectedBug::UnknownCommandSkipped);
    let found = run_in(world, SCHEDULES * 2, false);
    assert!(matches!(found, Err(TestError::Fail(..))), "not detected");
}

#[test]
fn schedules_commit_commands() {
    let mut world = World::new(1, InjectedBug::None);
    for round in 0..200_u16 {
        world.step(Step::Advance(49));
        world.step(Step::DeliverAll);
        world.step(Step::Propose((round % 3) as u8));
    }
    assert!(world.committed_entries() > 50, "{} committed", world.committed_entries());
}

fn assert_detected(injected_bug: InjectedBug) {
    assert_found(run(injected_bug, SCHEDULES * 2, false));
}

/// Asserts that an injected bug keeps replicas from converging in one of the schedules.
#[track_caller]
pub fn assert_found_in(world: impl Fn(u64) -> World, steps: impl Strategy<Value = Vec<Step>>) {
    assert_found(run_with(runner(schedules(), 0), world, steps, true));
}

/// Asserts that an injected bug was detected.
#[track_caller]
pub fn assert_found(found: Result<(), TestError<(u64, Vec<Step>)>>) {
    assert!(matches!(found, Err(TestError::Fail(..))), "not detected");
}

#[test]
fn a_vote_that_is_not_stored_is_detected() {
    assert_detected(InjectedBug::VoteNotStored);
}

#[test]
fn an_acknowledgement_before_storing_is_detected() {
    assert_detected(InjectedBug::AckBeforeStore);
}

#[test]
fn a_vote_after_a_lost_disk_is_detected() {
    assert_detected(InjectedBug::LostDiskVotes);
}

#[test]
fn a_vote_right_after_a_restart_is_detected() {
    assert_detected(InjectedBug::RestartVotesAtOnce);
}

#[test]
fn an_ignored_lease_is_detected() {
    assert_detected(InjectedBug::LeaseIgnored);
}

#[test]
fn a_clock_that_stops_while_its_process_is_paused_is_detected() {
    assert_detected(InjectedBug::ClockStopsWhilePaused);
}

#[test]
fn without_leases_a_leader_is_elected_soon_after_all_replicas_restart() {
    let options = Options { leases: false, ..Options::default() };
    // The first campaign starts within 3 heartbeats; a split vote costs as much again.
    let bound_ms = 6 * options.heartbeat_ms + 100;
    for seed in 0..50 {
        let mut world = World::with_options(seed, InjectedBug::None, options);
        world.step(Step::AdvanceDelivering(1_400));
        let elapsed_ms = world.time_to_leader_after_restart_ms();
        assert!(elapsed_ms <= bound_ms, "seed {seed}: {elapsed_ms} ms");
    }
}

#[test]
fn a_read_without_a_quorum_is_detected() {
    assert_detected(InjectedBug::ReadWithoutQuorum);
}
