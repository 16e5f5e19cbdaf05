//! Endpoints that are all silent for a second or so and go on lose no request, and none is taken for gone.

use crate::replay::{dispatcher, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_dispatch::{Decision, Dispatcher, Finished, Job, JobId, Outcome, PrefixPart};
use std::collections::BTreeMap;

const INSTANCES: u32 = 3;
/// The time between two requests, in milliseconds.
const INTERVAL_MS: u64 = 20;
/// The slots of an endpoint, so many that one suffices for all requests that arrive in a silence.
const SLOTS: u32 = 150;
/// How long an endpoint works on a request, in milliseconds.
const WORK_MS: u64 = 300;
/// The time after which a request counts as stalled, in milliseconds.
const STALL_MS: u64 = 1_000;

/// A request that is placed.
struct Running {
    since_ms: u64,
    is_reported: bool,
}

/// Requests of several instances to endpoints that are all silent at times.
struct World {
    dispatcher: Dispatcher,
    running: BTreeMap<JobId, Running>,
    now_ms: u64,
    /// Until when the endpoints are silent, in milliseconds.
    silent_until_ms: u64,
    refused: Vec<u64>,
    placed: Vec<u64>,
}

impl World {
    fn new(endpoints: usize) -> Self {
        let names = ["a", "b", "c", "d"];
        let records: Vec<_> = names[..endpoints].iter().map(|name| record(name, SLOTS)).collect();
        Self {
            dispatcher: dispatcher(&records),
            running: BTreeMap::new(),
            now_ms: 10_000,
            silent_until_ms: 0,
            refused: Vec::new(),
            placed: Vec::new(),
        }
    }

    /// Lets time pass. Requests that stall stay at their endpoint, and are answered after the silence.
    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += INTERVAL_MS;
            self.dispatcher.tick(self.now_ms);
            self.submit();
            self.take_decisions();
            self.report_stalls();
            self.answer();
            self.take_decisions();
        }
    }

    fn submit(&mut self) {
        let number = self.now_ms / INTERVAL_MS;
        let job_id = JobId { instance: (number % u64::from(INSTANCES)) as u32 + 1, number };
        let prefix = vec![PrefixPart { id: number % 5, tokens: 100 }];
        let digest = Some(RequestDigest::from([number as u8; 16]));
        let job = Job { job_id, prefix, digest, ..job(number) };
        self.dispatcher.submit(self.now_ms, job);
    }

    fn take_decisions(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            match decision {
                Decision::Place { job_id, .. } => {
                    self.placed.push(self.now_ms);
                    let running = Running { since_ms: self.now_ms, is_reported: false };
                    self.running.insert(job_id, running);
                }
                Decision::Refuse { .. } => self.refused.push(self.now_ms),
            }
        }
    }

    fn report_stalls(&mut self) {
        for (job_id, running) in &mut self.running {
            if !running.is_reported && self.now_ms >= running.since_ms + STALL_MS {
                running.is_reported = true;
                self.dispatcher.report_stall(self.now_ms, *job_id);
            }
        }
    }

    fn answer(&mut self) {
        if self.now_ms < self.silent_until_ms {
            return;
        }
        let is_done = |running: &Running| self.now_ms >= running.since_ms + WORK_MS;
        let done = self.running.extract_if(.., |_, running| is_done(running));
        for (job_id, _) in done {
            self.dispatcher.record_answer_begun(self.now_ms, job_id, 0);
            let answered = finished(job_id, Outcome::Answered);
            self.dispatcher.finish(self.now_ms, Finished { first_byte_ms: Some(100), ..answered });
        }
    }

    /// Makes all endpoints silent, and lets them go on.
    fn pause(&mut self, silence_ms: u64) {
        self.silent_until_ms = self.now_ms + silence_ms;
        self.run(silence_ms);
    }
}

#[gtest]
fn endpoints_that_were_all_silent_serve_at_once_when_they_go_on() {
    for (endpoints, silence_ms) in [(1, 1_200), (1, 2_000), (2, 1_200), (2, 2_000), (4, 1_600)] {
        let mut world = World::new(endpoints);
        for _ in 0..4 {
            world.run(3_000);
            world.pause(silence_ms);
            let resumed_ms = world.now_ms;
            world.run(1_000);
            // A request each 20 ms: after a third of a second all that wait and all new ones are placed.
            let is_settled = |at_ms: &&u64| **at_ms > resumed_ms + 350;
            let refused = world.refused.iter().filter(is_settled).count();
            let placed = world.placed.iter().filter(is_settled).count();
            expect_that!(refused, eq(0), "{endpoints} endpoints, {silence_ms} ms");
            expect_that!(placed, ge(30), "{endpoints} endpoints, {silence_ms} ms");
        }
        expect_that!(world.dispatcher.quarantines(world.now_ms), is_empty());
    }
}
