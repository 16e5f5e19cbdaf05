//! Concurrent operators that submit, read and resend, and record a history for the linearizability
//! checker.

use crate::support::StopFlag;
use lycheehub_standin::caller::{Call, Reply, send};
use lycheehub_standin::cluster::{OPERATOR_KEY, submit_to};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// An operator's call on a section, with its result.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// A submission on a base revision, which was accepted as a revision or conflicted with one.
    Submit { base: u64, accepted: Option<u64>, conflicts_with: Option<u64> },
    /// Read the revision.
    Read(u64),
}

/// Specifies a section as a register with compare-and-swap on its revision.
struct Section;

impl Specification for Section {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Read(revision) => (revision == *state, *state),
            Operation::Submit { base, accepted: Some(revision), .. } => (base == *state, revision),
            Operation::Submit { base, conflicts_with, .. } => {
                (base != *state && conflicts_with == Some(*state), *state)
            }
        }
    }
}

type Events = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

/// Operator threads that run until [`Operators::finish`].
pub struct Operators {
    events: Events,
    stop: StopFlag,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Operators {
    /// Starts `count` operators that compete for one section through all addresses.
    pub fn start(count: usize, addresses: &[String], section: &str) -> Self {
        let events = Events::default();
        let stop = StopFlag::new();
        let start = |number| {
            let operator = Operator {
                number,
                addresses: addresses.to_vec(),
                section: section.to_owned(),
                events: events.clone(),
                stop: stop.share(),
            };
            std::thread::spawn(move || operator.run())
        };
        let threads = (0..count).map(start).collect();
        Self { events, stop, threads }
    }

    /// Stops the operators and returns their history.
    pub fn finish(self) -> Vec<(usize, Action<Operation>)> {
        drop(self.stop);
        for thread in self.threads {
            thread.join().expect("operator");
        }
        Arc::try_unwrap(self.events).expect("all stopped").into_inner().expect("no panic")
    }
}

/// Tells whether a history is linearizable for a register with compare-and-swap.
pub fn is_linearizable(history: Vec<(usize, Action<Operation>)>) -> bool {
    WGLChecker::<Section>::is_linearizable(History::from_actions(history))
}

/// Returns the revisions of the accepted submissions.
pub fn accepted(history: &[(usize, Action<Operation>)]) -> Vec<u64> {
    let accepted = |(_, action): &(usize, Action<Operation>)| match action {
        Action::Response(Operation::Submit { accepted, .. }) => *accepted,
        _ => None,
    };
    history.iter().filter_map(accepted).collect()
}

struct Operator {
    number: usize,
    addresses: Vec<String>,
    section: String,
    events: Events,
    stop: Arc<AtomicBool>,
}

impl Operator {
    fn run(&self) {
        let mut turn = self.number;
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(base) = self.read(&mut turn) else { continue };
            count += 1;
            self.submit(&mut turn, base, count);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn address(&self, turn: &mut usize) -> &str {
        *turn += 1;
        &self.addresses[*turn % self.addresses.len()]
    }

    fn call(&self, operation: Operation) -> usize {
        let mut events = self.events.lock().expect("no panic");
        events.push((self.number, Action::Call(operation)));
        events.len() - 1
    }

    /// Records the result, also in the call's event, since the checker expects the same operation in
    /// both.
    fn respond(&self, call: usize, operation: Operation) {
        let mut events = self.events.lock().expect("no panic");
        events[call].1 = Action::Call(operation);
        events.push((self.number, Action::Response(operation)));
    }

    /// Retries a read until an instance replies; the history holds one operation for all attempts.
    fn read(&self, turn: &mut usize) -> Option<u64> {
        let call = self.call(Operation::Read(0));
        let path = format!("/v1/operators/sections/{}", self.section);
        loop {
            let request = Call::get(&path).key(OPERATOR_KEY);
            let reply = smol::block_on(send(self.address(turn), &request));
            let revision = match reply {
                Ok(Reply { status: 404, .. }) => Some(0),
                Ok(reply) if reply.status == 200 => reply.json()["revision"].as_u64(),
                _ => None,
            };
            if let Some(revision) = revision {
                self.respond(call, Operation::Read(revision));
                return Some(revision);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Retries a submission at the next instance until its outcome is known.
    fn submit(&self, turn: &mut usize, base: u64, count: usize) {
        let id = format!("operator-{}-{count}", self.number);
        let text = format!("owner = \"operator\"\n# {id}\n");
        let call = self.call(Operation::Submit { base, accepted: None, conflicts_with: None });
        loop {
            let reply =
                submit_to(self.address(turn), OPERATOR_KEY, &self.section, base, &id, &text);
            if let Ok(reply) = reply {
                let revision = reply.json()["revision"].as_u64();
                let operation = match reply.status {
                    200 => {
                        Some(Operation::Submit { base, accepted: revision, conflicts_with: None })
                    }
                    409 => {
                        Some(Operation::Submit { base, accepted: None, conflicts_with: revision })
                    }
                    _ => None,
                };
                if let Some(operation) = operation {
                    return self.respond(call, operation);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
