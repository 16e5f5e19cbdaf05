//! Leaders and entry instances that stop or are suspended while requests run.

use crate::deployment::{Deployment, FRONT_PORT, PATIENCE, Process, StopOnDrop, eventually};
use crate::support::{
    Endpoint, announce_as, announce_at, next_id, send_request_as, send_request_to,
};
use crate::{start_deployment, times_logged_ms};
use googletest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, RwLock};
use std::time::{Duration, Instant};

/// The last log message of a process.
pub const STOPPED: &str = "\"stopped\"";
/// The number of concurrent callers, half of them at each entry instance.
const CALLERS: usize = 6;
/// How long a caller waits after a call that got no reply: the instance may be down.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(20);
/// The most replies that a test keeps; more than any test gets in its time.
const REPLIES_MAX: usize = 1_000_000;
/// The interval between announcements of an endpoint.
const HEARTBEAT: Duration = Duration::from_millis(800);
/// How long an instance is suspended: longer than the leader waits before it drops a silent instance.
const SUSPENSION: Duration = Duration::from_secs(4);

/// The identifier and reply status of each request.
#[derive(Default)]
pub struct Replies(Mutex<Vec<(String, u16)>>);

impl Replies {
    fn add(&self, id: String, status: u16) {
        let mut replies = self.0.lock().unwrap();
        assert!(replies.len() < REPLIES_MAX, "more than {REPLIES_MAX} replies");
        replies.push((id, status));
    }

    pub fn count(&self, status: u16) -> usize {
        self.0.lock().unwrap().iter().filter(|(_, other)| *other == status).count()
    }

    /// Checks that each request ran as often as its status guarantees.
    pub fn check(&self, endpoint: &Endpoint) {
        for (id, status) in self.0.lock().unwrap().iter() {
            let runs = endpoint.runs_of(id);
            expect_that!(runs, le(1), "{id} ran more than once");
            match status {
                200 => expect_that!(runs, eq(1), "{id} was answered but did not run"),
                429 | 503 => expect_that!(runs, eq(0), "{id} was refused but ran"),
                // There was no reply; an instance replies to each request that it has accepted.
                0 => expect_that!(runs, eq(0), "{id} ran but got no reply"),
                502 | 504 => {}
                other => panic!("{id} got the unexpected status {other}"),
            }
        }
    }
}

/// Runs `disturb` while callers send requests that may run only once and the endpoint announces
/// itself; returns the replies. The callers end with `disturb`, also if it panics.
pub fn run_under_load(
    deployment: &RwLock<Deployment>,
    endpoint: &Endpoint,
    disturb: impl FnOnce(&Replies),
) -> Replies {
    let (replies, is_stopped) = (Replies::default(), AtomicBool::new(false));
    // Addresses outlive restarts, so that nobody holds the lock during a call.
    let (entries, controls) = {
        let deployment = deployment.read().unwrap();
        let front = |entry: &Process| format!("{}:{FRONT_PORT}", entry.ip);
        let entries: Vec<String> = deployment.entries.iter().map(front).collect();
        let controls = deployment.controls.iter().map(|control| control.ip.clone());
        (entries, controls.collect::<Vec<_>>())
    };
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&is_stopped);
        for caller in 0..CALLERS {
            let (replies, is_stopped) = (&replies, &is_stopped);
            let address = &entries[caller % entries.len()];
            scope.spawn(move || keep_sending(address, replies, is_stopped));
        }
        let (controls, is_stopped) = (&controls, &is_stopped);
        scope.spawn(move || keep_announcing(controls, endpoint, is_stopped));
        disturb(&replies);
    });
    replies
}

fn keep_sending(address: &str, replies: &Replies, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Relaxed) {
        let id = next_id();
        let reply = send_request_to(address, &id, "POST", "/print/1", "key-1", "label");
        replies.add(id, reply.status);
        if reply.status == 0 {
            std::thread::sleep(NO_REPLY_PAUSE);
        }
    }
}

fn keep_announcing(controls: &[String], endpoint: &Endpoint, is_stopped: &AtomicBool) {
    let mut sequence = 10;
    while !is_stopped.load(Ordering::Relaxed) {
        sequence += 1;
        let is_acknowledged =
            |ip: &String| announce_at(ip, ("i-1", "v1"), endpoint, sequence, "ready").status == 200;
        // A stopped control instance does not reply; the next one is tried.
        let _ = controls.iter().any(is_acknowledged);
        std::thread::sleep(HEARTBEAT);
    }
}

/// Waits until 40 more requests are served.
pub fn await_more_served(replies: &Replies) {
    const MORE: usize = 40;
    let before = replies.count(200);
    eventually("more requests are served", || replies.count(200) >= before + MORE);
}

/// Waits until a process has logged that it has stopped.
pub fn await_stop(times_logged_ms: impl Fn() -> Vec<u64>) {
    eventually("the process stops", || !times_logged_ms().is_empty());
}

#[gtest]
fn requests_run_once_and_get_replies_while_leaders_stop_in_turn() {
    let (deployment, endpoint) = start_deployment();
    let deployment = RwLock::new(deployment);
    let replies = run_under_load(&deployment, &endpoint, |replies| {
        for place in 0..3 {
            await_more_served(replies);
            deployment.read().unwrap().controls[place].signal("TERM");
            await_stop(|| times_logged_ms(&deployment.read().unwrap().controls[place], STOPPED));
            await_more_served(replies);
            let control = &mut deployment.write().unwrap().controls[place];
            expect_that!(control.exits_within(PATIENCE).is_some(), eq(true));
            control.start(false);
        }
        await_more_served(replies);
    });
    replies.check(&endpoint);
    expect_that!(replies.count(0), eq(0));
}

#[gtest]
fn requests_run_at_most_once_while_leaders_are_suspended_in_turn() {
    let (deployment, endpoint) = start_deployment();
    let deployment = RwLock::new(deployment);
    let replies = run_under_load(&deployment, &endpoint, |replies| {
        for place in 0..3 {
            await_more_served(replies);
            deployment.read().unwrap().controls[place].signal("STOP");
            std::thread::sleep(SUSPENSION);
            deployment.read().unwrap().controls[place].signal("CONT");
            await_more_served(replies);
        }
    });
    replies.check(&endpoint);
}

#[gtest]
fn an_entry_instance_that_stops_under_load_replies_to_accepted_requests() {
    let (deployment, endpoint) = start_deployment();
    let deployment = RwLock::new(deployment);
    let replies = run_under_load(&deployment, &endpoint, |replies| {
        await_more_served(replies);
        deployment.read().unwrap().entries[0].signal("TERM");
        await_stop(|| times_logged_ms(&deployment.read().unwrap().entries[0], STOPPED));
        await_more_served(replies);
    });
    // A request that meets the closed listener gets no reply and does not run.
    replies.check(&endpoint);
}

#[gtest]
fn a_resumed_entry_instance_sends_no_request_to_an_endpoint_deregistered_meanwhile() {
    const REQUESTS: usize = 8;
    let (deployment, deregistered) = start_deployment();
    let remaining = Endpoint::start(&deployment);
    let mut sequence = 10;
    let mut announce_both = |includes_first: bool| {
        sequence += 1;
        let names = [("i-1", &deregistered), ("i-2", &remaining)];
        for (name, endpoint) in names.into_iter().skip(usize::from(!includes_first)) {
            let reply = announce_as(&deployment, 0, (name, "v1"), endpoint, sequence, "ready");
            expect_that!(reply.status, eq(200));
        }
    };
    announce_both(true);
    eventually("both endpoints receive requests", || {
        std::thread::scope(|scope| {
            let send = || {
                send_request_as(&deployment, 0, &next_id(), "POST", "/print/slow", "key-1", "label")
            };
            (0..REQUESTS).for_each(|_| drop(scope.spawn(send)));
        });
        remaining.count() > 0
    });
    deployment.entries[0].signal("STOP");
    let reply = deployment.control(0, "DELETE", "/-/instances/i-1", "");
    expect_that!(reply.status, eq(200));
    let started = Instant::now();
    while started.elapsed() < SUSPENSION {
        announce_both(false);
        std::thread::sleep(HEARTBEAT);
    }
    let before = deregistered.count();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let send = || {
            send_request_as(&deployment, 0, &next_id(), "POST", "/print/1", "key-1", "label").status
        };
        let callers: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(send)).collect();
        // The callers have connected to the suspended instance and wait for replies.
        std::thread::sleep(HEARTBEAT);
        deployment.entries[0].signal("CONT");
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller does not panic"))
            .collect()
    });
    expect_that!(statuses, each(eq(&200)));
    expect_that!(deregistered.count(), eq(before));
}
