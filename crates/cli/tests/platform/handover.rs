//! Leaders and entry instances that stop, or stand still, while requests run.

use crate::deployment::{Deployment, PATIENCE, eventually};
use crate::support::{Endpoint, announce, announce_as, ask_as, next_id};
use crate::{open, times_logged_ms};
use googletest::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, RwLock};
use std::time::{Duration, Instant};

/// What a process logs last.
const STOPPED: &str = "\"stopped\"";
/// Callers that ask one after the other, half of them at each entry instance.
const CALLERS: usize = 6;
/// How often endpoints announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(800);
/// How long an instance stands still: longer than the leader remembers one that is silent.
const PAUSE: Duration = Duration::from_secs(4);

/// What callers were answered: the identifier of each request, with the status.
#[derive(Default)]
struct Answers(Mutex<Vec<(String, u16)>>);

impl Answers {
    fn note(&self, id: String, status: u16) {
        self.0.lock().unwrap().push((id, status));
    }

    fn count(&self, wanted: u16) -> usize {
        self.0.lock().unwrap().iter().filter(|(_, status)| *status == wanted).count()
    }

    /// Checks what every caller was promised.
    fn check(&self, endpoint: &Endpoint) {
        for (id, status) in self.0.lock().unwrap().iter() {
            let runs = endpoint.runs_of(id);
            expect_that!(runs, le(1), "{id} ran more than once");
            match status {
                200 => expect_that!(runs, eq(1), "{id} was answered and has not run"),
                429 | 503 => expect_that!(runs, eq(0), "{id} was refused as not run"),
                // Nothing is promised; one that was taken is answered.
                0 => expect_that!(runs, eq(0), "{id} ran and was not answered"),
                502 | 504 => {}
                other => panic!("{id} was answered {other}"),
            }
        }
    }
}

/// Lets callers send requests that may run once only, and the endpoint announce itself, while
/// `disturb` runs.
fn under_load(
    deployment: &RwLock<Deployment>,
    endpoint: &Endpoint,
    disturb: impl FnOnce(&Answers),
) -> Answers {
    let (answers, is_over) = (Answers::default(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (answers, is_over) = (&answers, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let deployment = deployment.read().unwrap();
                    let id = next_id();
                    let place = caller % deployment.entries.len();
                    let reply =
                        ask_as(&deployment, place, &id, "POST", "/print/1", "key-1", "label");
                    answers.note(id, reply.status);
                }
            });
        }
        let is_over = &is_over;
        scope.spawn(move || keep_announcing(deployment, endpoint, is_over));
        disturb(&answers);
        is_over.store(true, Ordering::Relaxed);
    });
    answers
}

fn keep_announcing(deployment: &RwLock<Deployment>, endpoint: &Endpoint, is_over: &AtomicBool) {
    let mut sequence = 10;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        let is_taken = |place: usize| {
            announce(&deployment.read().unwrap(), place, endpoint, sequence, "ready").status == 200
        };
        // One that does not answer is passed over.
        let _ = (0..3).any(is_taken);
        std::thread::sleep(HEARTBEAT);
    }
}

/// Waits until so many more requests are answered.
fn more_answered(answers: &Answers) {
    const MORE: usize = 40;
    let before = answers.count(200);
    eventually("requests are answered", || answers.count(200) >= before + MORE);
}

/// Waits until a process has said that it stopped.
fn await_stop(times_logged_ms: impl Fn() -> Vec<u64>) {
    eventually("it stops", || !times_logged_ms().is_empty());
}

#[gtest]
fn leaders_that_stop_in_turn_run_nothing_twice_and_cut_nothing() {
    let (deployment, endpoint) = open();
    let deployment = RwLock::new(deployment);
    let answers = under_load(&deployment, &endpoint, |answers| {
        for place in 0..3 {
            more_answered(answers);
            deployment.read().unwrap().controls[place].signal("TERM");
            await_stop(|| times_logged_ms(&deployment.read().unwrap().controls[place], STOPPED));
            more_answered(answers);
            let control = &mut deployment.write().unwrap().controls[place];
            expect_that!(control.exits_within(PATIENCE).is_some(), eq(true));
            control.start(false);
        }
        more_answered(answers);
    });
    answers.check(&endpoint);
    expect_that!(answers.count(0), eq(0));
}

#[gtest]
fn leaders_that_stand_still_in_turn_run_nothing_twice() {
    let (deployment, endpoint) = open();
    let deployment = RwLock::new(deployment);
    let answers = under_load(&deployment, &endpoint, |answers| {
        for place in 0..3 {
            more_answered(answers);
            deployment.read().unwrap().controls[place].signal("STOP");
            std::thread::sleep(PAUSE);
            deployment.read().unwrap().controls[place].signal("CONT");
            more_answered(answers);
        }
    });
    answers.check(&endpoint);
}

#[gtest]
fn an_entry_instance_that_stops_under_load_answers_what_it_has_taken() {
    let (deployment, endpoint) = open();
    let deployment = RwLock::new(deployment);
    let answers = under_load(&deployment, &endpoint, |answers| {
        more_answered(answers);
        deployment.read().unwrap().entries[0].signal("TERM");
        await_stop(|| times_logged_ms(&deployment.read().unwrap().entries[0], STOPPED));
        more_answered(answers);
    });
    // What meets the closed listener has not run: it is no answer, and no harm.
    answers.check(&endpoint);
}

#[gtest]
fn an_entry_instance_that_stood_still_sends_nothing_to_an_endpoint_that_left_meanwhile() {
    const ASKED: usize = 8;
    let (deployment, gone) = open();
    let stays = Endpoint::start(&deployment);
    let mut sequence = 10;
    let mut announce_both = |is_there: bool| {
        sequence += 1;
        let names = [("i-1", &gone), ("i-2", &stays)];
        for (name, endpoint) in names.into_iter().skip(usize::from(!is_there)) {
            let taken = announce_as(&deployment, 0, (name, "v1"), endpoint, sequence, "ready");
            expect_that!(taken.status, eq(200));
        }
    };
    announce_both(true);
    eventually("both are used", || {
        std::thread::scope(|scope| {
            let ask =
                || ask_as(&deployment, 0, &next_id(), "POST", "/print/slow", "key-1", "label");
            (0..ASKED).for_each(|_| drop(scope.spawn(ask)));
        });
        stays.count() > 0
    });
    deployment.entries[0].signal("STOP");
    let farewell = deployment.control(0, "DELETE", "/-/instances/i-1", "");
    expect_that!(farewell.status, eq(200));
    let started = Instant::now();
    while started.elapsed() < PAUSE {
        announce_both(false);
        std::thread::sleep(HEARTBEAT);
    }
    let before = gone.count();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let ask =
            || ask_as(&deployment, 0, &next_id(), "POST", "/print/1", "key-1", "label").status;
        let callers: Vec<_> = (0..ASKED).map(|_| scope.spawn(ask)).collect();
        // They are connected, and wait for it.
        std::thread::sleep(HEARTBEAT);
        deployment.entries[0].signal("CONT");
        callers.into_iter().map(|caller| caller.join().expect("it ends")).collect()
    });
    expect_that!(statuses, each(eq(&200)));
    expect_that!(gone.count(), eq(before));
}
