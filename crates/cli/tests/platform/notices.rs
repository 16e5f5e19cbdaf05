//! What endpoints say of themselves in their answers is heeded by real processes, with and without a
//! leader.

use crate::deployment::http::field;
use crate::deployment::{Deployment, eventually};
use crate::support::{Endpoint, announce_as, ask};
use crate::{has_logged, open};
use googletest::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static SEQUENCE: AtomicU64 = AtomicU64::new(2);

/// Two endpoints, both of which get requests from both entry instances.
struct World {
    network: Deployment,
    endpoints: [Endpoint; 2],
}

impl World {
    fn open() -> Self {
        let (network, first) = open();
        let second = Endpoint::start(&network);
        let world = Self { network, endpoints: [first, second] };
        for entry in 0..2 {
            eventually("requests go to both endpoints", || {
                world.announce();
                let before = world.counts();
                std::thread::scope(|scope| {
                    for _ in 0..6 {
                        scope.spawn(|| ask(&world.network, entry, "GET", "/press/1", "key-1", ""));
                    }
                });
                let after = world.counts();
                before[0] < after[0] && before[1] < after[1]
            });
        }
        eventually("the leader places requests", || {
            has_logged(&world.network, "placed by the leader")
        });
        world
    }

    /// Renews the leases of both endpoints, if a control instance takes that.
    fn announce(&self) {
        for (name, endpoint) in ["i-1", "i-2"].into_iter().zip(&self.endpoints) {
            let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
            announce_as(&self.network, 1, (name, "v1"), endpoint, sequence, "ready");
        }
    }

    fn counts(&self) -> [u32; 2] {
        self.endpoints.each_ref().map(Endpoint::count)
    }

    /// Sends requests through an entry instance, several at once; returns how many reached an
    /// endpoint.
    fn reaching(&self, entry: usize, endpoint: &Endpoint) -> u32 {
        let before = endpoint.count();
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let send = || scope.spawn(|| ask(&self.network, entry, "GET", "/press/1", "key-1", ""));
            let callers: Vec<_> = (0..6).map(|_| send()).collect();
            callers.into_iter().map(|caller| caller.join().expect("it ends").status).collect()
        });
        expect_that!(statuses, each(eq(&200)));
        endpoint.count() - before
    }
}

#[gtest]
fn an_endpoint_that_says_it_leaves_gets_nothing_more() {
    let world = World::open();
    let before = world.counts();
    expect_that!(ask(&world.network, 0, "POST", "/print/leaving", "key-1", "x").status, eq(200));
    let leaving = &world.endpoints[usize::from(world.counts()[0] == before[0])];
    world.announce();
    expect_that!(world.reaching(0, leaving), eq(0));
    // The leader has heard it as well.
    expect_that!(world.reaching(1, leaving), eq(0));
    world.announce();
    world.network.controls.iter().for_each(|control| control.signal("STOP"));
    eventually("the leader is given up", || has_logged(&world.network, "leader lost"));
    expect_that!(world.reaching(0, leaving), eq(0));
    world.network.controls.iter().for_each(|control| control.signal("CONT"));
}

#[gtest]
fn an_endpoint_that_wants_nothing_for_a_while_gets_nothing_until_then() {
    const PAUSE: Duration = Duration::from_secs(2);
    let world = World::open();
    let ask = || ask(&world.network, 0, "POST", "/print/1", "key-1", "x");
    world.announce();
    // Both turn it away, one after the other.
    let full = crate::support::ask(&world.network, 0, "POST", "/print/full", "key-1", "x");
    let told = Instant::now();
    expect_that!(full.status, eq(429));
    let before = world.counts();
    while told.elapsed() < PAUSE.mul_f32(0.5) {
        let answer = ask();
        let ended = told.elapsed();
        if let Some(seconds) = field(&answer.head, "retry-after") {
            let seconds: f64 = seconds.parse().expect("a number");
            expect_that!(ended.as_secs_f64() + seconds, all![gt(1.9), lt(2.3)]);
        }
        if ended < PAUSE.mul_f32(0.9) {
            expect_that!(world.counts(), eq(before));
        }
    }
    world.announce();
    eventually("requests are served again", || ask().status == 200);
    expect_that!(told.elapsed(), ge(PAUSE.mul_f32(0.9)));
}
