//! Entry instances act on the notices in endpoints' replies (shutdown and pause), with and without a
//! leader.

use crate::deployment::http::field;
use crate::deployment::{Deployment, eventually};
use crate::support::{Endpoint, announce_as, send_request};
use crate::{has_logged, start_deployment};
use googletest::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static SEQUENCE: AtomicU64 = AtomicU64::new(2);

/// A deployment with two endpoints, both of which get requests from both entry instances.
struct TwoEndpoints {
    deployment: Deployment,
    endpoints: [Endpoint; 2],
}

impl TwoEndpoints {
    fn start_deployment() -> Self {
        let (deployment, first) = start_deployment();
        let second = Endpoint::start(&deployment);
        let setup = Self { deployment, endpoints: [first, second] };
        for entry in 0..2 {
            eventually("requests go to both endpoints", || {
                setup.announce();
                let before = setup.counts();
                std::thread::scope(|scope| {
                    for _ in 0..6 {
                        scope.spawn(|| {
                            send_request(&setup.deployment, entry, "GET", "/press/1", "key-1", "")
                        });
                    }
                });
                let after = setup.counts();
                before[0] < after[0] && before[1] < after[1]
            });
        }
        eventually("the leader places requests", || {
            has_logged(&setup.deployment, "placed by the leader")
        });
        setup
    }

    /// Announces both endpoints again to renew their leases.
    fn announce(&self) {
        for (name, endpoint) in ["i-1", "i-2"].into_iter().zip(&self.endpoints) {
            let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
            announce_as(&self.deployment, 1, (name, "v1"), endpoint, sequence, "ready");
        }
    }

    fn counts(&self) -> [u32; 2] {
        self.endpoints.each_ref().map(Endpoint::count)
    }

    /// Sends concurrent requests through an entry instance; returns how many of them reached this
    /// endpoint.
    fn count_reaching(&self, entry: usize, endpoint: &Endpoint) -> u32 {
        let before = endpoint.count();
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let send = || {
                scope
                    .spawn(|| send_request(&self.deployment, entry, "GET", "/press/1", "key-1", ""))
            };
            let callers: Vec<_> = (0..6).map(|_| send()).collect();
            callers
                .into_iter()
                .map(|caller| caller.join().expect("the caller does not panic").status)
                .collect()
        });
        expect_that!(statuses, each(eq(&200)));
        endpoint.count() - before
    }
}

#[gtest]
fn an_endpoint_with_a_shutdown_notice_gets_no_more_requests() {
    let setup = TwoEndpoints::start_deployment();
    let before = setup.counts();
    expect_that!(
        send_request(&setup.deployment, 0, "POST", "/print/leaving", "key-1", "x").status,
        eq(200)
    );
    let leaving = &setup.endpoints[usize::from(setup.counts()[0] == before[0])];
    setup.announce();
    expect_that!(setup.count_reaching(0, leaving), eq(0));
    // The leader has received the notice, so the other entry instance sends no request either.
    expect_that!(setup.count_reaching(1, leaving), eq(0));
    setup.announce();
    setup.deployment.controls.iter().for_each(|control| control.signal("STOP"));
    eventually("the entry instance loses the leader", || {
        has_logged(&setup.deployment, "leader lost")
    });
    expect_that!(setup.count_reaching(0, leaving), eq(0));
    setup.deployment.controls.iter().for_each(|control| control.signal("CONT"));
}

#[gtest]
fn an_endpoint_with_a_pause_notice_gets_no_requests_during_the_pause() {
    const PAUSE: Duration = Duration::from_secs(2);
    let setup = TwoEndpoints::start_deployment();
    let send = || send_request(&setup.deployment, 0, "POST", "/print/1", "key-1", "x");
    setup.announce();
    // Both endpoints reject the request, one after the other.
    let rejected =
        crate::support::send_request(&setup.deployment, 0, "POST", "/print/full", "key-1", "x");
    let noticed_at = Instant::now();
    expect_that!(rejected.status, eq(429));
    let before = setup.counts();
    while noticed_at.elapsed() < PAUSE.mul_f32(0.5) {
        let reply = send();
        let elapsed = noticed_at.elapsed();
        if let Some(seconds) = field(&reply.head, "retry-after") {
            let seconds: f64 = seconds.parse().expect("a number");
            expect_that!(elapsed.as_secs_f64() + seconds, all![gt(1.9), lt(2.3)]);
        }
        if elapsed < PAUSE.mul_f32(0.9) {
            expect_that!(setup.counts(), eq(before));
        }
    }
    setup.announce();
    eventually("requests are served again", || send().status == 200);
    expect_that!(noticed_at.elapsed(), ge(PAUSE.mul_f32(0.9)));
}
