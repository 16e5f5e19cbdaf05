//! Goodput by tier under load and faults, and prefill that is wasted.

use crate::{Arguments, Failed, SERVICE, engine, key, print, start};
use lycheehub_standin::cluster::Cluster;
use lycheehub_standin::endpoint::{Endpoint, Faults, Options, Records};
use lycheehub_standin::load::{self, Plan};
use std::time::Duration;

fn mixed(
    cluster: &Cluster,
    arguments: &Arguments,
    rate: f64,
    tokens: (u64, u64),
    prefixes: (usize, usize),
) -> Plan {
    Plan {
        addresses: cluster.addresses(),
        service: SERVICE.into(),
        keys: (0..5).map(|tier| (tier, key(tier), 0.2)).collect(),
        rate,
        duration_ms: arguments.seconds * 1_000,
        tokens,
        prefixes,
        deadline_ms: (3_000, 20.0),
        seed: 7,
        threads: 2,
    }
}

/// Measures the capacity of the engines without instances: requests a second that make their
/// deadlines, with as many in flight as there are slots.
fn capacity(
    endpoints: &[Endpoint],
    arguments: &Arguments,
    tokens: (u64, u64),
    prefixes: (usize, usize),
) -> f64 {
    // 4 engines of 8 slots; the mean of a size drawn evenly by logarithm; 1.5 for a full batch.
    let (low, high) = (tokens.0 as f64, tokens.1 as f64);
    let mean = (high - low) / (high / low).ln();
    let options = Options::default();
    let prefill_ms = prefixes.1 as f64 / 4.0 / options.prefill_tokens_per_ms;
    let request_ms = mean * options.token_ms * (1.0 + options.crowding) + prefill_ms;
    let slots = endpoints.len() as f64 * f64::from(options.slots);
    println!(
        "capacity of {} engines by their own figures: {:.1}/s (seconds {})",
        endpoints.len(),
        slots * 1e3 / request_ms,
        arguments.seconds
    );
    slots * 1e3 / request_ms
}

/// Goodput by tier at parts and multiples of the capacity.
pub(crate) fn tiers(
    arguments: &Arguments,
    tokens: (u64, u64),
    prefixes: (usize, usize),
) -> Result<(), Failed> {
    let cluster = start(arguments)?;
    let records = Records::default();
    let endpoints: Vec<Endpoint> = (1..=arguments.count)
        .map(|number| engine(&cluster, number, |options| options, &records))
        .collect::<Result<_, _>>()?;
    let full = capacity(&endpoints, arguments, tokens, prefixes);
    let times = if arguments.rate > 0.0 { vec![arguments.rate] } else { vec![0.5, 1.0, 2.0, 4.0] };
    for times in times {
        let before = records.totals();
        let sent = load::run(&mixed(&cluster, arguments, full * times, tokens, prefixes));
        let after = records.totals();
        print(
            &format!(
                "{} tiers {} at {times} times the capacity",
                arguments.policy, !arguments.without_tiers
            ),
            &load::summarize(&sent),
        );
        let prefilled = after.prefilled_tokens - before.prefilled_tokens;
        let cached = after.cached_tokens - before.cached_tokens;
        println!("  prefilled {prefilled} tokens, found {cached} cached");
    }
    Ok(())
}

/// Goodput by tier at the capacity while an engine is slowed, one is killed, and an instance dies.
pub(crate) fn faults(arguments: &Arguments) -> Result<(), Failed> {
    let mut cluster = start(arguments)?;
    let records = Records::default();
    let mut endpoints: Vec<Endpoint> = (1..=arguments.count)
        .map(|number| engine(&cluster, number, |options| options, &records))
        .collect::<Result<_, _>>()?;
    let full = capacity(&endpoints, arguments, (4, 400), (0, 0));
    let plan = mixed(&cluster, arguments, full, (4, 400), (0, 0));
    print("no fault", &load::summarize(&load::run(&plan)));
    endpoints[0].set_faults(Faults { slow: 4.0, ..Faults::default() });
    print("one engine 4 times slower", &load::summarize(&load::run(&plan)));
    endpoints[0].set_faults(Faults::default());
    let running = std::thread::spawn({
        let plan = plan.clone();
        move || load::run(&plan)
    });
    std::thread::sleep(Duration::from_secs(arguments.seconds / 3));
    drop(endpoints.pop());
    print(
        "one engine killed at a third",
        &load::summarize(&running.join().map_err(|_| "load failed")?),
    );
    let running = std::thread::spawn({
        let plan = plan.clone();
        move || load::run(&plan)
    });
    std::thread::sleep(Duration::from_secs(arguments.seconds / 3));
    cluster.kill(arguments.replicas - 1);
    print(
        "one instance killed at a third (its callers fail)",
        &load::summarize(&running.join().map_err(|_| "load failed")?),
    );
    Ok(())
}
