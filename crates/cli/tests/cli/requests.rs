//! Requests under failure. The tests compare the replies that callers received with the stand-in
//! endpoints' records of what actually ran.

use crate::support::{BATCH_KEY, PATIENCE, Site, StopFlag, TRUCK_KEY};
use lycheehub_standin::caller::{Call, Reply, Streamed, chat_messages, send, stream};
use lycheehub_standin::cluster::{Layout, eventually};
use lycheehub_standin::endpoint::{Faults, Options, token_text};
use lycheehub_types::EndpointKind;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long an endpoint that is shutting down or silent may still get new requests.
const LEAVING_BOUND: Duration = Duration::from_secs(6);
/// One in this many requests of a burst is of the top tier, well below the capacity of the engine.
const TOP_TIER_INTERVAL: u64 = 50;

fn plain(number: u32) -> Options {
    Options {
        name: format!("invoices-{number}"),
        kind: EndpointKind::Plain,
        service: "invoices".into(),
        token_ms: 15.0,
        seed: u64::from(number),
        ..Options::default()
    }
}

fn engine(number: u32) -> Options {
    Options { name: format!("engine-{number}"), seed: u64::from(number), ..Options::default() }
}

/// Caller threads that run until [`Callers::finish`].
struct Callers<T> {
    stop: StopFlag,
    threads: Vec<JoinHandle<Vec<T>>>,
}

impl<T: Send + 'static> Callers<T> {
    /// Starts `count` callers, each of which calls `one` in a loop; every call gets a unique number.
    fn start(count: u64, one: impl Fn(u64) -> T + Clone + Send + 'static) -> Self {
        let stop = StopFlag::new();
        let next = Arc::new(AtomicU64::new(1));
        let caller = |_| {
            let (stop, next, one) = (stop.share(), next.clone(), one.clone());
            std::thread::spawn(move || {
                let mut seen = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    seen.push(one(next.fetch_add(1, Ordering::Relaxed)));
                }
                seen
            })
        };
        let threads = (0..count).map(caller).collect();
        Self { stop, threads }
    }

    fn finish(self) -> Vec<T> {
        drop(self.stop);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("caller")).collect()
    }
}

/// Sends one invoice with one idempotency key to the instances in turn until an attempt after the first
/// is served, so that every invoice is sent at least twice.
fn invoice(addresses: &[String], number: u64) -> (String, Vec<Option<Reply>>) {
    const ATTEMPTS: u64 = 8;
    let path = format!("/invoice/{number}");
    let mut replies = Vec::new();
    for turn in 0..ATTEMPTS {
        let call = Call::post(&format!("/v1/services/invoices{path}"))
            .key(TRUCK_KEY)
            .header("idempotency-key", &format!("key-{number}"))
            .header("x-deadline-ms", "6000")
            .body(path.clone().into_bytes());
        let address = &addresses[(number + turn) as usize % addresses.len()];
        let reply = smol::block_on(send(address, &call)).ok();
        let answered = reply.as_ref().is_some_and(|reply| reply.status == 200);
        replies.push(reply);
        if answered && turn > 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(if answered { 0 } else { 150 }));
    }
    (path, replies)
}

/// Checks the replies to invoices against the endpoints' records.
fn check_invoices(site: &Site, seen: &[(String, Vec<Option<Reply>>)]) {
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for entry in site.records.ran() {
        *ran.entry(entry.path).or_default() += 1;
    }
    for (path, replies) in seen {
        let times = ran.get(path).copied().unwrap_or(0);
        assert!(times <= 1, "{path} ran {times} times");
        let answers: Vec<&Reply> =
            replies.iter().flatten().filter(|reply| reply.status == 200).collect();
        for answer in &answers {
            assert_eq!(answer.json()["ran"], path.as_str(), "reply to another request");
            assert_eq!(times, 1, "{path} was answered but did not run");
        }
        let refused = |reply: &Option<Reply>| reply.as_ref().is_some_and(Reply::not_run);
        if replies.iter().all(refused) {
            assert_eq!(times, 0, "{path} was always refused as not run but ran");
        }
    }
}

#[test]
fn an_invoice_runs_at_most_once_while_instances_are_killed_and_callers_resend() {
    let layout = Layout { others: 2, ..Layout::default() };
    let mut site = Site::start("requests_once", &layout);
    (1..=2).for_each(|number| site.add(plain(number)));
    let addresses = site.cluster.addresses();
    let callers = Callers::start(12, move |number| invoice(&addresses, number));
    for round in 0..5 {
        std::thread::sleep(Duration::from_millis(700));
        site.cluster.kill(round % 5);
        if round == 2 {
            site.cluster.signal(4, "STOP");
        }
        std::thread::sleep(Duration::from_millis(700));
        site.cluster.signal(4, "CONT");
        site.cluster.spawn(round % 5).expect("starts");
    }
    assert!(site.cluster.wait_all_ready(PATIENCE));
    std::thread::sleep(Duration::from_millis(500));
    let seen = callers.finish();
    let answered =
        seen.iter().filter(|(_, replies)| replies.iter().flatten().any(|r| r.status == 200));
    assert!(answered.count() > 50, "too few requests were served");
    check_invoices(&site, &seen);
}

#[test]
fn an_invoice_is_not_retried_when_its_endpoint_fails_while_running_it() {
    let mut site = Site::start("requests_frozen_endpoint", &Layout::default());
    site.add(plain(1));
    site.add(plain(2));
    site.endpoints[0].set_faults(Faults { frozen: true, ..Faults::default() });
    site.endpoints[1].set_faults(Faults { frozen: true, ..Faults::default() });
    let invoice =
        |number: u32| Call::post(&format!("/v1/services/invoices/invoice/{number}")).key(TRUCK_KEY);
    ran_once_with_unknown_outcome(&site, &invoice(1).header("x-deadline-ms", "1500"), 1);
    let cut = Faults { cut_after_tokens: Some(0), ..Faults::default() };
    site.endpoints.iter().for_each(|endpoint| endpoint.set_faults(cut.clone()));
    ran_once_with_unknown_outcome(&site, &invoice(2), 2);
    let keyed = invoice(3).header("idempotency-key", "3");
    ran_once_with_unknown_outcome(&site, &keyed, 3);
    ran_once_with_unknown_outcome(&site, &keyed, 3);
}

fn ran_once_with_unknown_outcome(site: &Site, call: &Call, ran: usize) {
    let reply = site.send(0, call);
    assert_eq!(reply.code().as_deref(), Some("outcome_unknown"), "{}", reply.json());
    assert!(!reply.not_run());
    assert_eq!(site.records.ran().len(), ran);
}

/// A streamed generation as its caller received it.
struct Generation {
    prompt: String,
    tokens: u64,
    end: Result<(), Option<Reply>>,
    streamed: Streamed,
}

/// Streams one generation.
fn generation(addresses: &[String], number: u64) -> Generation {
    let prompt = format!("label {number}");
    let tokens = 5 + number % 40;
    let call = Call::chat("label-writer", &prompt, tokens, true).key(TRUCK_KEY);
    let mut streamed = Streamed::default();
    let address = &addresses[number as usize % addresses.len()];
    let end = smol::block_on(stream(address, &call, &mut streamed));
    std::thread::sleep(Duration::from_millis(10));
    Generation { prompt, tokens, end, streamed }
}

/// Checks that each completed stream has the expected text of its own request, and that each failed one
/// is a prefix of that text; returns the number of completed streams.
fn check_generations(seen: &[Generation]) -> usize {
    let mut complete = 0;
    for Generation { prompt, tokens, end, streamed } in seen {
        let expected: String =
            (0..*tokens).map(|at| token_text(&chat_messages(prompt), at)).collect();
        if end.is_ok() {
            assert_eq!(streamed.text, expected, "{prompt}");
            complete += 1;
        } else {
            assert!(expected.starts_with(&streamed.text), "{prompt}: {}", streamed.text);
            assert!(!streamed.done, "{prompt} was truncated but marked as complete");
        }
    }
    complete
}

#[test]
fn streams_are_complete_and_not_mixed_up_while_engines_fail() {
    let mut site = Site::start("requests_streams", &Layout::default());
    (1..=4).for_each(|number| site.add(engine(number)));
    let addresses = site.cluster.addresses();
    let callers = Callers::start(16, move |number| generation(&addresses, number));
    let cut = Faults { cut_after_tokens: Some(7), ..Faults::default() };
    let failing = Faults { fail: 0.5, ..Faults::default() };
    for faults in [cut, failing] {
        site.endpoints[0].set_faults(faults.clone());
        std::thread::sleep(Duration::from_millis(800));
        site.endpoints[1].set_faults(faults);
        std::thread::sleep(Duration::from_millis(800));
        site.endpoints.iter().for_each(|endpoint| endpoint.set_faults(Faults::default()));
        std::thread::sleep(Duration::from_millis(400));
    }
    let seen = callers.finish();
    let complete = check_generations(&seen);
    assert!(complete * 100 >= seen.len() * 95, "{complete} of {} streams complete", seen.len());
    let resumed = site.records.ran().iter().filter(|ran| ran.resumed_from > 0).count();
    assert!(resumed > 0, "no stream was resumed at another endpoint");
}

#[test]
fn a_rolling_restart_under_load_interrupts_no_stream() {
    let layout = Layout { limits: "drain_ms = 1000\n".into(), ..Layout::default() };
    let mut site = Site::start("requests_rolling", &layout);
    (1..=3).for_each(|number| site.add(engine(number)));
    let addresses = site.cluster.addresses();
    // Like a load balancer, callers use only instances that report that they are ready.
    let callers = Callers::start(12, move |number| {
        let ready: Vec<String> =
            addresses.iter().filter(|address| is_ready(address)).cloned().collect();
        let target = if ready.is_empty() { addresses.clone() } else { ready };
        generation(&target, number)
    });
    for at in 0..3 {
        std::thread::sleep(Duration::from_millis(500));
        site.cluster.signal(at, "TERM");
        assert_eq!(site.cluster.wait_exit(at, PATIENCE), Some(0));
        site.cluster.spawn(at).expect("starts");
        assert!(site.cluster.wait_ready(at, PATIENCE));
    }
    let seen = callers.finish();
    let complete = check_generations(&seen);
    let ends: Vec<_> = seen.iter().filter_map(|one| one.end.as_ref().err()).collect();
    assert_eq!(complete, seen.len(), "{ends:?}");
    assert!(complete > 100, "only {complete} streams");
}

fn is_ready(address: &str) -> bool {
    smol::block_on(send(address, &Call::get("/readyz"))).is_ok_and(|reply| reply.status == 200)
}

#[test]
fn no_instance_sends_new_requests_to_a_silent_or_leaving_endpoint() {
    let layout = Layout { proxied: true, ..Layout::default() };
    let mut site = Site::start("requests_leaving", &layout);
    (1..=3).for_each(|number| site.add(engine(number)));
    // Instance 2 is partitioned from the others; the endpoints still announce to all in turn.
    site.cluster.isolate(2, true);
    site.endpoints[0].set_faults(Faults { silent: true, ..Faults::default() });
    site.endpoints[1].set_faults(Faults { leaving: true, ..Faults::default() });
    std::thread::sleep(LEAVING_BOUND);
    let before = site.records.ran().len();
    for at in 0..3 {
        for number in 0..10 {
            let call =
                Call::chat("label-writer", &format!("late {at} {number}"), 2, false).key(TRUCK_KEY);
            site.send(at, &call);
        }
    }
    let late: Vec<String> = site.records.ran().drain(before..).map(|ran| ran.endpoint).collect();
    assert!(late.len() >= 20, "{} served", late.len());
    assert!(late.iter().all(|name| name == "engine-3"), "{late:?}");
}

#[test]
fn refused_requests_do_not_run_and_the_top_tier_is_served_in_a_burst() {
    let layout = Layout { limits: "drain_ms = 200\nqueue_max = 20\n".into(), ..Layout::default() };
    let mut site = Site::start("requests_burst", &layout);
    site.add(Options { slots: 6, token_ms: 5.0, ..engine(1) });
    let addresses = site.cluster.addresses();
    let ask = move |number: u64| {
        let key = if number.is_multiple_of(TOP_TIER_INTERVAL) { TRUCK_KEY } else { BATCH_KEY };
        let prompt = format!("burst {number}");
        let call = Call::chat("label-writer", &prompt, 20, false).key(key);
        let call = call.header("x-deadline-ms", "5000");
        let started = std::time::Instant::now();
        let reply = smol::block_on(send(&addresses[number as usize % 3], &call)).expect("answered");
        let took = started.elapsed();
        if reply.status != 200 {
            std::thread::sleep(Duration::from_millis(100));
        }
        (number, prompt, reply, took)
    };
    let callers = Callers::start(120, ask);
    std::thread::sleep(Duration::from_secs(4));
    let seen = callers.finish();
    let ran = site.records.ran();
    let (mut top, mut top_served, mut refused) = (0, 0, 0);
    for (number, prompt, reply, took) in &seen {
        let body = chat_messages(prompt);
        let times = ran.iter().filter(|ran| ran.body.contains(&body)).count();
        if number.is_multiple_of(TOP_TIER_INTERVAL) {
            top += 1;
            top_served += usize::from(reply.status == 200);
        }
        if reply.status == 200 {
            assert_eq!(times, 1);
            continue;
        }
        refused += 1;
        assert!(reply.not_run() && reply.retry_after.is_some(), "{}", reply.json());
        assert_eq!(times, 0, "refused as not run but ran");
        assert!(*took < Duration::from_millis(4_000), "a refusal took {took:?}");
    }
    assert!(refused > 0, "the burst was too small");
    assert!(top_served * 100 >= top * 95, "{top_served} of {top} of the top tier served");
}

#[test]
fn a_request_lost_with_its_engine_is_not_reported_as_not_run() {
    let mut site =
        Site::start("requests_engine_lost", &Layout { replicas: 1, ..Layout::default() });
    site.add(Options { token_ms: 100.0, ..engine(1) });
    // The first request leaves an idle connection, which the second request reuses.
    let warm = Call::chat("label-writer", "warm", 1, false).key(TRUCK_KEY);
    assert_eq!(site.send(0, &warm).status, 200);
    let address = site.cluster.instances[0].http.clone();
    let lost = std::thread::spawn(move || {
        let call = Call::chat("label-writer", "lost", 100, false).key(TRUCK_KEY);
        smol::block_on(send(&address, &call)).expect("answered")
    });
    assert!(eventually(PATIENCE, || site.endpoints[0].running() > 0));
    drop(site.endpoints.remove(0));
    let reply = lost.join().expect("caller");
    assert_eq!(site.records.ran().len(), 2);
    assert!(reply.status >= 400 && !reply.not_run(), "{}", reply.json());
}

#[test]
fn a_caller_that_disconnects_frees_its_slot() {
    let mut site = Site::start("requests_left", &Layout::default());
    site.add(Options { slots: 3, token_ms: 50.0, ..engine(1) });
    let address = site.cluster.instances[0].http.clone();
    let call = Call::chat("label-writer", "long", 400, true).key(TRUCK_KEY);
    smol::block_on(smol::future::or(
        async {
            // The timer drops this future, which disconnects the caller before the end.
            let _ = stream(&address, &call, &mut Streamed::default()).await;
        },
        async {
            smol::Timer::after(Duration::from_millis(500)).await;
        },
    ));
    assert!(eventually(Duration::from_secs(5), || site.endpoints[0].running() == 0));
}

#[test]
fn malformed_requests_get_typed_errors() {
    let site = Site::start(
        "requests_malformed",
        &Layout { replicas: 1, limits: "body_max_bytes = 1000\n".into(), ..Layout::default() },
    );
    let chat = |body: &str| Call::post("/v1/chat/completions").key(TRUCK_KEY).body(body.into());
    let cases = [
        (chat("{"), 400, "bad_request"),
        (chat("{\"model\":\"label-writer\"}"), 400, "bad_request"),
        (chat("{\"model\":\"x\",\"messages\":[]}"), 404, "unknown_service"),
        (chat("{\"model\":\"label-writer\",\"messages\":[]}"), 503, "no_endpoint"),
        (chat(&"x".repeat(2_000)), 413, "too_large"),
        (
            chat("{\"model\":\"label-writer\",\"messages\":[]}").header("x-tier", "high"),
            400,
            "bad_request",
        ),
        (
            chat("{\"model\":\"label-writer\",\"messages\":[]}")
                .header("idempotency-key", &"k".repeat(200)),
            400,
            "bad_request",
        ),
        (Call::chat("label-writer", "hello", 1, false).key("wrong"), 401, "unauthorized"),
        (Call::get("/v1/operators/sections"), 401, "unauthorized"),
        (Call::post("/v1/endpoints/announce").body(b"{}".to_vec()), 401, "unauthorized"),
        (Call::get("/nothing"), 404, "not_found"),
        (Call::get("/v1/services/none/x").key(TRUCK_KEY), 404, "unknown_service"),
    ];
    for (call, status, code) in cases {
        let reply = site.send(0, &call);
        assert_eq!((reply.status, reply.code().as_deref()), (status, Some(code)), "{call:?}");
        assert!(reply.not_run());
    }
}
