//! What it costs a sound request that it was the only one at an endpoint that crashed for another reason.

use super::world::*;
use googletest::prelude::*;

/// How long callers wait for an answer in all, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// Callers wait for at most this share of the time left before they repeat a refused request.
const DELAY_SHARE: u64 = 3;
const ROUNDS: usize = 40;

impl World {
    /// Sends a sound request whose endpoint crashes, and repeats it as its caller does; returns how often the
    /// caller was refused, and whether it was answered in time.
    fn send_unlucky(&mut self, digest: u128) -> (usize, bool) {
        let (answered, refused) = (self.answered, self.refused_sound);
        let until_ms = self.now_ms + TIMEOUT_MS;
        self.send(digest, UNSAFE);
        let at = self.running.values().find(|running| running.attempt.digest == digest);
        let Some(at) = at.map(|running| running.endpoint.clone()) else { return (0, false) };
        (0..3).for_each(|_| self.step());
        self.crash(&at);
        while self.answered == answered {
            let before = self.refused_sound;
            self.send(digest, UNSAFE);
            let left_ms = until_ms.saturating_sub(self.now_ms);
            if left_ms < TICK_MS {
                return (self.refused_sound - refused, false);
            }
            let is_refused = self.refused_sound > before;
            let told_ms = self.told_sound_ms.last().copied().filter(|_| is_refused);
            let wait_ms = told_ms.unwrap_or(left_ms).min(left_ms / DELAY_SHARE);
            (0..wait_ms.div_ceil(TICK_MS)).for_each(|_| self.step());
        }
        (self.refused_sound - refused, true)
    }
}

#[gtest]
fn a_sound_request_that_was_alone_at_a_crash_is_answered_in_its_callers_time() {
    let mut world = World::new(6, 1);
    let mut served = 0;
    for round in 0..ROUNDS {
        let (refused, is_served) = world.send_unlucky(0x7000 + round as u128);
        served += usize::from(is_served);
        expect_that!(
            refused,
            le(2),
            "round {round}: told the time, which is over a third of its own"
        );
        (0..1_000).for_each(|_| world.step());
    }
    expect_that!(served, eq(ROUNDS));
}

/// The shorter delay must not cost further endpoints.
#[gtest]
fn a_crashing_request_that_is_alone_reaches_few_endpoints_whoever_repeats_it() {
    for every_ms in [100, 1_000, 5_000] {
        let mut world = World::new(6, 1);
        for _ in 0..60_000 / every_ms {
            world.send(CRASHING, UNSAFE);
            (0..every_ms / TICK_MS).for_each(|_| world.step());
        }
        expect_that!(world.further(), le(FURTHER_MAX), "each {every_ms} ms");
        let crashes = world.crashed_ms.len();
        expect_that!(crashes, le(COUNTED_CRASH + FURTHER_MAX - 1), "each {every_ms} ms");
    }
}
