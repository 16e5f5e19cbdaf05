//! Trials of a quarantine stay few for as long as it is kept.

use super::world::*;
use googletest::prelude::*;

const HOUR_MS: u64 = 3_600_000;
/// The time between the repeats of the caller, in milliseconds.
const REPEAT_MS: u64 = 20_000;

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
