//! The fault soak: the real programs as separate processes, disturbed from outside by a seed, while
//! callers, endpoints and an operator check the promises by what they see.
//!
//! `LYCHEEHUB_SOAK_SEEDS=100..150` plays these seeds; otherwise the kept ones and a fresh one are
//! played. `LYCHEEHUB_SOAK_SECONDS` is how long each is disturbed, `LYCHEEHUB_SOAK_JOBS` how many
//! are played at once, `LYCHEEHUB_SOAK_ENTRIES` how many entry instances each has.

mod caller;
#[path = "../deployment/mod.rs"]
mod deployment;
mod endpoint;
mod faults;
mod operator;
mod record;

use caller::Caller;
use deployment::{Deployment, Layout, eventually};
use endpoint::Endpoint;
use faults::Target;
use operator::Operator;
use rand::RngCore;
use record::Record;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Seeds that failed once, each with its cause; they are played each time.
const KEPT_SEEDS: [u64; 0] = [];
/// A seed that is played each time, for comparison.
const STANDARD_SEED: u64 = 1;
/// How many callers there are.
const CALLERS: usize = 12;
/// Endpoints of each of the two services.
const ENDPOINTS: usize = 4;
/// The time after all faults by which requests are served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// How many requests in turn must be served for that.
const SERVED_IN_TURN: usize = 12;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn seeds() -> Vec<u64> {
    let asked = std::env::var("LYCHEEHUB_SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once(".."));
    if let Some((from, to)) = range {
        let bound = |text: &str| text.parse().expect("LYCHEEHUB_SOAK_SEEDS is FROM..TO");
        return Range { start: bound(from), end: bound(to) }.collect();
    }
    let fresh = rand::rng().next_u64() >> 16;
    KEPT_SEEDS.into_iter().chain([STANDARD_SEED, fresh]).collect()
}

#[test]
fn the_promises_hold_while_everything_is_disturbed() {
    let seeds = Mutex::new(seeds());
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..number("LYCHEEHUB_SOAK_JOBS", 2) {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else { return };
                    let findings = play(seed);
                    if !findings.is_empty() {
                        failed.lock().unwrap().push((seed, findings));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Plays a seed; returns the promises that were broken.
fn play(seed: u64) -> Vec<String> {
    let is_large = seed.is_multiple_of(3);
    let layout = Layout {
        controls: if is_large { 5 } else { 3 },
        entries: number("LYCHEEHUB_SOAK_ENTRIES", 3) as usize,
        losses: if is_large { 2 } else { 1 },
        proxied: true,
    };
    let deployment = Deployment::start(layout);
    let record = Arc::new(Record::default());
    let ips = |processes: &[deployment::Process]| -> Vec<String> {
        processes.iter().map(|process| process.ip.clone()).collect()
    };
    let (controls, entries) = (ips(&deployment.controls), ips(&deployment.entries));
    let folder = deployment.folder.clone();
    let endpoints = start_endpoints(&deployment.prefix, &controls, &record, seed);
    let mut operator = Operator::new(controls, record.clone(), seed);
    let never = AtomicBool::new(false);
    operator.change(&never);
    for place in 0..layout.entries {
        eventually("the entry instance is ready", || deployment.ready(place) == 200);
    }
    let target = Arc::new(Target::new(deployment, endpoints, record.clone(), layout.losses));
    let mut probe = Caller::new(CALLERS, entries.clone(), record.clone(), seed);
    eventually("requests are served", || probe.ask(0));

    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(number, entries.clone(), record.clone(), seed);
            let is_over = is_over.clone();
            std::thread::spawn(move || caller.run(&is_over))
        })
        .collect();
    let operating = {
        let is_over = is_over.clone();
        std::thread::spawn(move || operator.run(&is_over))
    };
    let length = Duration::from_secs(number("LYCHEEHUB_SOAK_SECONDS", 8));
    let plan = target.disturb(seed, length);
    let healed = Instant::now();
    await_recovery(&mut probe, layout.entries, &record, healed);
    is_over.store(true, Ordering::Relaxed);
    let mut operator = operating.join().expect("the operator's thread ends");
    for caller in callers {
        caller.join().expect("a caller's thread ends");
    }
    operator.read_at_the_end(healed + RECOVERY);
    target.endpoints.iter().for_each(|endpoint| endpoint.end());
    note_ended(&target, &record);
    let findings = record.weigh();
    println!("seed {seed}: {}", record.counts());
    if !findings.is_empty() {
        println!("seed {seed}: logs in {}; faults:{plan}", folder.display());
    }
    findings
}

fn start_endpoints(
    prefix: &str,
    controls: &[String],
    record: &Arc<Record>,
    seed: u64,
) -> Vec<Arc<Endpoint>> {
    let services = ["labels", "drafts"];
    let services = services.iter().flat_map(|service| [*service; ENDPOINTS]).enumerate();
    services
        .map(|(number, service)| {
            let ip = format!("{prefix}.{}", 200 + number);
            let seed = seed.wrapping_add(number as u64);
            Endpoint::start(number, service, &ip, controls.to_vec(), record.clone(), seed)
        })
        .collect()
}

/// Waits until each entry instance serves again, at most for the time that recovery may take.
fn await_recovery(probe: &mut Caller, entries: usize, record: &Record, healed: Instant) {
    let mut in_turn = 0;
    while in_turn < SERVED_IN_TURN {
        if healed.elapsed() > RECOVERY {
            record.finding(format!("RECOVER: not served {RECOVERY:?} after the last fault"));
            return;
        }
        in_turn = if probe.ask(in_turn % entries) { in_turn + 1 } else { 0 };
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Notes the processes that have ended by themselves.
fn note_ended(target: &Target, record: &Record) {
    let mut deployment = target.deployment();
    let deployment = &mut *deployment;
    for process in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        if process.has_ended() {
            record.finding(format!("{} {} ended by itself", process.role, process.ip));
        }
    }
}
