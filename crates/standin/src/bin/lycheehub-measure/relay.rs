//! What relaying costs: processor time, added latency, memory of open streams.

use crate::{Arguments, Failed, SERVICE, engine, key, print, single, start, usage};
use lycheehub_standin::caller::{Call, Streamed, stream};
use lycheehub_standin::endpoint::{Options, Records};
use lycheehub_standin::load::{self, Plan};
use std::sync::Arc;
use std::time::Duration;

/// Short requests through one instance, and directly at the stand-in.
pub(crate) fn relay(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(&single(arguments))?;
    let records = Records::default();
    let quick = |options| Options { slots: 4_000, token_ms: 0.0, crowding: 0.0, ..options };
    let endpoint = engine(&cluster, 1, quick, &records)?;
    let process = cluster.process(0).ok_or("no process")?;
    for (tokens, rate) in [(1, 200.0), (1, 1_000.0), (1, 2_000.0), (1, 3_000.0), (200, 50.0)] {
        let plan = |address: String| Plan {
            addresses: vec![address],
            service: SERVICE.into(),
            keys: vec![(0, key(0), 1.0)],
            rate,
            duration_ms: arguments.seconds * 1_000,
            tokens: (tokens, tokens),
            prefixes: (0, 0),
            deadline_ms: (10_000, 0.0),
            seed: 1,
            threads: 3,
        };
        print(
            &format!("direct, {tokens} tokens at {rate}/s"),
            &load::summarize(&load::run(&plan(endpoint.address()))),
        );
        let before = usage(process).0;
        let sent = load::run(&plan(cluster.instances[0].http.clone()));
        let used = usage(process).0 - before;
        print(
            &format!("through an instance, {tokens} tokens at {rate}/s"),
            &load::summarize(&sent),
        );
        println!(
            "  processor: {:.0} us per request, {:.0}% of a core",
            used * 1e6 / sent.len() as f64,
            used * 100.0 / arguments.seconds as f64
        );
    }
    Ok(())
}

/// Memory of an instance with open streams.
pub(crate) fn streams(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(&single(arguments))?;
    let records = Records::default();
    let slow = |options| Options { slots: 4_000, token_ms: 1_000.0, crowding: 0.0, ..options };
    let _endpoints = [engine(&cluster, 1, slow, &records)?, engine(&cluster, 2, slow, &records)?];
    let process = cluster.process(0).ok_or("no process")?;
    println!("idle: {:.1} MB", usage(process).1 as f64 / 1e6);
    let address: Arc<str> = cluster.instances[0].http.as_str().into();
    let executor = Arc::new(smol::Executor::new());
    for _ in 0..3 {
        let executor = executor.clone();
        std::thread::spawn(move || smol::block_on(executor.run(std::future::pending::<()>())));
    }
    for goal in [1_000, 2_000, 3_000, 4_000, 5_000] {
        for number in goal - 1_000..goal {
            let address = address.clone();
            let task = async move {
                let call = Call::chat(SERVICE, &format!("stream {number}"), 600, true)
                    .key(&key(0))
                    .header("x-deadline-ms", "900000");
                // The process ends before the stream does.
                let _ = stream(&address, &call, &mut Streamed::default()).await;
            };
            executor.spawn(task).detach();
            if number % 50 == 0 {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        std::thread::sleep(Duration::from_secs(2));
        let before = usage(process).0;
        std::thread::sleep(Duration::from_secs(4));
        let used = (usage(process).0 - before) / 4.0;
        println!(
            "  {goal} tokens/s: {:.1}% of a core, {:.1} us a token",
            used * 100.0,
            used * 1e6 / goal as f64
        );
        println!(
            "{goal} streams asked for, {} run: {:.1} MB",
            records.ran().len(),
            usage(process).1 as f64 / 1e6
        );
    }
    Ok(())
}
