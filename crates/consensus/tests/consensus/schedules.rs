//! Seeded fault schedules, and the faults planted to show that the checks catch them.

use crate::world::{Planted, Step, World};
use lycheehub_consensus::Options;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestError, TestRunner};

const SEED: u64 = 20_261_204;
/// The schedules of an ordinary run; `LYCHEEHUB_SCHEDULES` asks for another number.
const SCHEDULES: u32 = 4_000;
const STEPS: usize = 120;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        15 => any::<u16>().prop_map(Step::Run),
        15 => any::<u16>().prop_map(Step::Pass),
        25 => any::<u16>().prop_map(Step::Deliver),
        12 => Just(Step::DeliverAll),
        6 => any::<u16>().prop_map(Step::Lose),
        4 => any::<u16>().prop_map(Step::Repeat),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(node, count)| Step::CrashAfter(node, count)),
        2 => any::<u8>().prop_map(Step::Crash),
        6 => any::<u8>().prop_map(Step::Restart),
        1 => any::<u8>().prop_map(Step::LoseDisk),
        10 => any::<u8>().prop_map(Step::Propose),
        5 => any::<u8>().prop_map(Step::Read),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Part(a, b)),
        1 => any::<u8>().prop_map(Step::Isolate),
        1 => any::<u8>().prop_map(Step::Freeze),
        1 => Just(Step::Thaw),
        3 => any::<u8>().prop_map(Step::Bounce),
        2 => Just(Step::Heal),
        1 => any::<u8>().prop_map(Step::Compact),
        1 => any::<u8>().prop_map(Step::HandOver),
    ]
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    })
}

fn run(planted: Planted, schedules: u32, settle: bool) -> Result<(), TestError<(u64, Vec<Step>)>> {
    let strategy = (any::<u64>(), vec(step(), STEPS));
    runner(schedules).run(&strategy, |(seed, steps)| {
        let mut world = World::new(seed, planted);
        for step in steps {
            world.step(step);
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        if settle {
            prop_assert!(world.settles(), "nothing is committed after all faults have ended");
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        Ok(())
    })
}

fn schedules() -> u32 {
    std::env::var("LYCHEEHUB_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES)
}

#[test]
fn fault_schedules_lose_nothing_that_was_committed() {
    run(Planted::None, schedules(), true).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn schedules_do_commit_commands() {
    let mut world = World::new(1, Planted::None);
    for round in 0..200_u16 {
        world.step(Step::Pass(49));
        world.step(Step::DeliverAll);
        world.step(Step::Propose((round % 3) as u8));
    }
    assert!(world.committed() > 50, "{} committed", world.committed());
}

fn is_caught(planted: Planted) {
    let found = run(planted, SCHEDULES * 2, false);
    assert!(matches!(found, Err(TestError::Fail(..))), "{planted:?} was not caught");
}

#[test]
fn a_vote_that_is_not_stored_is_caught() {
    is_caught(Planted::VoteNotStored);
}

#[test]
fn an_acknowledgement_before_the_store_is_caught() {
    is_caught(Planted::AckBeforeStore);
}

#[test]
fn a_lost_disk_that_still_votes_is_caught() {
    is_caught(Planted::LostDiskVotes);
}

#[test]
fn a_restarted_replica_that_votes_at_once_is_caught() {
    is_caught(Planted::RestartVotesAtOnce);
}

#[test]
fn an_ignored_lease_is_caught() {
    is_caught(Planted::LeaseIgnored);
}

#[test]
fn a_clock_that_stands_still_while_its_process_is_frozen_is_caught() {
    is_caught(Planted::FrozenClock);
}

#[test]
fn without_leases_a_leader_is_there_soon_after_all_have_restarted() {
    let options = Options { leases: false, ..Options::default() };
    // The first campaign begins within three heartbeats; a split vote costs as much again.
    let bound_ms = 6 * options.heartbeat_ms + 100;
    for seed in 0..50 {
        let mut world = World::with_options(seed, Planted::None, options);
        world.step(Step::Run(1_400));
        let took_ms = world.leads_after_restart_ms();
        assert!(took_ms <= bound_ms, "seed {seed}: {took_ms} ms");
    }
}

#[test]
fn a_read_without_a_quorum_is_caught() {
    is_caught(Planted::ReadWithoutQuorum);
}
