//! Tests of the memory for bodies: which bodies get room, which wait, and which give way.

use googletest::prelude::*;
use lycheehub_budget::{BodyKey, Budget, Ledger, Limits, NoRoom, Part};
use lycheehub_clock::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
/// The memory for all bodies: room for three bodies of the largest size, and for small ones.
const MEMORY_BYTES: u64 = 16 * MIB;
/// The largest size of a body.
const LARGEST_BYTES: u64 = 4 * MIB;
/// The steps in which bodies arrive.
const STEP_BYTES: u64 = 16 * KIB;
/// The time of a step, in milliseconds.
const STEP_MS: u64 = 5;

fn ledger() -> Ledger {
    Ledger::new(Limits::new(MEMORY_BYTES))
}

fn held(ledger: &Ledger) -> u64 {
    Part::ALL.iter().map(|part| ledger.held(*part)).sum()
}

/// A body of a load, which arrives step by step.
#[derive(Clone, Copy)]
struct Sender {
    key: BodyKey,
    arrived_bytes: u64,
    /// How much of it arrives, and how much it announces or may reach.
    sent_bytes: u64,
    most_bytes: u64,
    is_closed: bool,
}

impl Sender {
    fn new(ledger: &mut Ledger, now_ms: u64, sent_bytes: u64, most_bytes: u64) -> Self {
        let key = ledger.open(now_ms);
        Self { key, arrived_bytes: 0, sent_bytes, most_bytes, is_closed: false }
    }

    /// Lets the next bytes arrive if there is room; returns whether the body is received whole.
    fn step(&mut self, ledger: &mut Ledger, now_ms: u64) -> bool {
        if self.is_closed || self.arrived_bytes == self.sent_bytes {
            return self.arrived_bytes == self.most_bytes;
        }
        let next_bytes = (self.arrived_bytes + STEP_BYTES).min(self.sent_bytes);
        if ledger.hold(now_ms, self.key, next_bytes, self.most_bytes) {
            self.arrived_bytes = next_bytes;
        }
        self.arrived_bytes == self.most_bytes
    }

    fn close(&mut self, ledger: &mut Ledger) {
        ledger.close(self.key);
        self.is_closed = true;
    }
}

/// Plays a crowd of bodies of the largest size that stop short, and ordinary ones of `ordinary_bytes` that
/// come one by one; returns how many of these were received, and the most bytes that were held.
fn play_crowd(crowd: usize, ordinary_bytes: u64, ordinary: usize) -> (usize, u64) {
    let mut ledger = ledger();
    let (mut received, mut most) = (0, 0);
    let mut senders: Vec<Sender> =
        (0..crowd).map(|_| Sender::new(&mut ledger, 0, LARGEST_BYTES - 1, LARGEST_BYTES)).collect();
    let mut caller = None;
    let mut now_ms = 0;
    let mut begun = 0;
    while now_ms < 60_000 && received < ordinary {
        now_ms += STEP_MS;
        for sender in &mut senders {
            sender.step(&mut ledger, now_ms);
        }
        let current = caller.get_or_insert_with(|| {
            begun += 1;
            Sender::new(&mut ledger, now_ms, ordinary_bytes, ordinary_bytes)
        });
        if current.step(&mut ledger, now_ms) {
            current.close(&mut ledger);
            caller = None;
            received += 1;
        }
        for part in Part::ALL {
            if let Some(key) = ledger.choose_to_give_way(now_ms, part) {
                let sender = senders.iter_mut().find(|sender| sender.key == key);
                sender.expect("only the crowd gives way").close(&mut ledger);
            }
        }
        let arrived = senders.iter().filter(|sender| !sender.is_closed);
        most = most.max(arrived.map(|sender| sender.arrived_bytes).sum());
        assert!(held(&ledger) <= MEMORY_BYTES, "{} at {now_ms}", held(&ledger));
    }
    (received, most)
}

#[gtest]
fn ordinary_bodies_are_received_beside_a_crowd_that_stalls() {
    for crowd in [1, 3, 20, 150, 1_500] {
        for ordinary_bytes in [600, 12 * KIB, 64 * KIB] {
            let (received, most) = play_crowd(crowd, ordinary_bytes, 50);
            expect_that!(received, eq(50), "{crowd} {ordinary_bytes}");
            expect_that!(most, le(MEMORY_BYTES), "{crowd} {ordinary_bytes}");
        }
    }
}

#[gtest]
fn large_bodies_that_all_arrive_are_all_received() {
    let mut ledger = ledger();
    let mut senders: Vec<Sender> =
        (0..40).map(|_| Sender::new(&mut ledger, 0, LARGEST_BYTES, LARGEST_BYTES)).collect();
    let mut now_ms = 0;
    let mut received = 0;
    // The senders take turns beginning, as they would in a queue.
    while received < senders.len() && now_ms < 600_000 {
        now_ms += STEP_MS;
        for sender in senders.iter_mut().filter(|sender| !sender.is_closed) {
            if sender.step(&mut ledger, now_ms) {
                ledger.record_received(sender.key);
                sender.close(&mut ledger);
                received += 1;
            }
        }
        assert!(held(&ledger) <= MEMORY_BYTES);
    }
    expect_that!(received, eq(40));
}

#[gtest]
fn what_was_received_whole_and_what_makes_progress_does_not_give_way() {
    let mut ledger = ledger();
    let whole = ledger.open(0);
    let moving = ledger.open(0);
    let stalled = ledger.open(0);
    for key in [whole, moving, stalled] {
        expect_that!(ledger.hold(0, key, LARGEST_BYTES, LARGEST_BYTES), eq(true));
    }
    ledger.record_received(whole);
    expect_that!(ledger.hold(9_500, moving, LARGEST_BYTES, LARGEST_BYTES), eq(true));
    expect_that!(ledger.choose_to_give_way(10_000, Part::Large), some(eq(stalled)));
    // It is told once.
    expect_that!(ledger.choose_to_give_way(10_100, Part::Large), none());
}

#[gtest]
fn a_body_larger_than_the_memory_is_admitted_alone() {
    let mut ledger = Ledger::new(Limits::new(MIB));
    let first = ledger.open(0);
    expect_that!(ledger.hold(0, first, LARGEST_BYTES, LARGEST_BYTES), eq(true));
    let second = ledger.open(0);
    expect_that!(ledger.hold(0, second, LARGEST_BYTES, LARGEST_BYTES), eq(false));
    ledger.close(first);
    expect_that!(ledger.hold(0, second, LARGEST_BYTES, LARGEST_BYTES), eq(true));
}

#[gtest]
fn nothing_stays_charged_after_any_course() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut senders: Vec<Sender> = Vec::new();
        for step in 0..3_000 {
            let now_ms = step * STEP_MS;
            match rng.random_range(0..10) {
                0 | 1 => {
                    let most_bytes = rng.random_range(1..=LARGEST_BYTES);
                    let sent_bytes = rng.random_range(0..=most_bytes);
                    senders.push(Sender::new(&mut ledger, now_ms, sent_bytes, most_bytes));
                }
                2 if !senders.is_empty() => {
                    let place = rng.random_range(0..senders.len());
                    senders.swap_remove(place).close(&mut ledger);
                }
                3 => {
                    if let Some(key) = ledger.choose_to_give_way(now_ms, Part::Large) {
                        ledger.close(key);
                        senders.retain(|sender| sender.key != key);
                    }
                }
                _ => senders.iter_mut().for_each(|sender| {
                    sender.step(&mut ledger, now_ms);
                }),
            }
            assert!(held(&ledger) <= MEMORY_BYTES + LARGEST_BYTES, "seed {seed}");
        }
        senders.iter_mut().for_each(|sender| sender.close(&mut ledger));
        expect_that!(held(&ledger), eq(0), "seed {seed}");
    }
}

fn budget(bytes: u64) -> Arc<Budget> {
    Budget::new(Clock::new(), bytes)
}

#[gtest]
fn a_body_waits_until_another_one_is_done() {
    smol::block_on(async {
        let budget = budget(MIB);
        let first = budget.open();
        first.hold(MIB, MIB).await.unwrap();
        first.record_received();
        let second = budget.open();
        let waits = async { second.hold(MIB, MIB).await };
        let ends = async {
            Timer::after(Duration::from_millis(50)).await;
            drop(first);
            std::future::pending().await
        };
        expect_that!(smol::future::or(waits, ends).await, ok(eq(())));
    });
}

#[gtest]
fn a_body_that_stalls_gives_way_and_one_that_finds_no_room_is_refused() {
    smol::block_on(async {
        let budget = budget(MIB);
        let stalled = budget.open();
        stalled.hold(MIB, MIB).await.unwrap();
        let waiting = budget.open();
        let given_way = async {
            let cause = stalled.given_way().await;
            drop(stalled);
            Some(cause)
        };
        let waits = async {
            waiting.hold(MIB, MIB).await.unwrap();
            None::<NoRoom>
        };
        let (given_way, _) = futures_lite::future::zip(given_way, waits).await;
        expect_that!(matches!(given_way, Some(NoRoom::GaveWay(Part::Large, ..))), eq(true));
        // What was received whole does not give way.
        waiting.record_received();
        let refused = budget.open();
        let error = refused.hold(MIB, MIB).await.unwrap_err();
        expect_that!(matches!(error, NoRoom::Waited(Part::Large, ..)), eq(true));
        // A small body is not held up by that.
        expect_that!(budget.open().hold(600, 600).await, ok(eq(())));
        drop(waiting);
        expect_that!(refused.hold(MIB, MIB).await, ok(eq(())));
        drop(refused);
        expect_that!((budget.held(Part::Small), budget.held(Part::Large)), eq((0, 0)));
    });
}
