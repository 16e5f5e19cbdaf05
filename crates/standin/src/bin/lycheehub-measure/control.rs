//! What control costs: commits, claims, failover, and instances that only know their endpoints.

use crate::{Arguments, Failed, PATIENCE, engine, key, quick_engine, start, usage};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Cluster, OPERATOR_KEY, eventually, submit_to};
use lycheehub_standin::endpoint::{Endpoint, Options, Records};
use lycheehub_standin::load;
use std::time::{Duration, Instant};

/// Commits from concurrent operators; latency and changes a second.
pub(crate) fn commit(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(arguments)?;
    let addresses = cluster.addresses();
    for writers in [1, 8, 32] {
        let stop = Instant::now() + Duration::from_secs(arguments.seconds);
        let write = |number: usize| {
            let address = addresses[number % addresses.len()].clone();
            std::thread::spawn(move || {
                let (mut base, mut took) = (0, Vec::new());
                let section = format!("bulk-{writers}-{number}");
                while Instant::now() < stop {
                    let begun = Instant::now();
                    let id = format!("{section}-{}", took.len());
                    let reply = submit_to(
                        &address,
                        OPERATOR_KEY,
                        &section,
                        base,
                        &id,
                        "owner = \"operator\"\n",
                    );
                    let Ok(reply) = reply else { continue };
                    base = reply.json()["revision"].as_u64().unwrap_or(base);
                    took.push(begun.elapsed().as_secs_f64() * 1e3);
                }
                took
            })
        };
        let threads: Vec<_> = (0..writers).map(write).collect();
        let took: Vec<f64> =
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect();
        println!(
            "{} replicas, {writers} operators: {:.0} changes/s, ms p50/p95/p99 {:.2?}",
            arguments.replicas,
            took.len() as f64 / arguments.seconds as f64,
            load::quantiles(took.iter().copied())
        );
    }
    in_force(&cluster)?;
    Ok(())
}

/// The time from acceptance until every instance has the change in force.
fn in_force(cluster: &Cluster) -> Result<(), Failed> {
    let mut took = Vec::new();
    let mut base = 0;
    for number in 0..20 {
        let reply = cluster.submit(
            0,
            "force",
            base,
            &format!("force-{number}"),
            "owner = \"operator\"\n",
        )?;
        base = reply.json()["revision"].as_u64().ok_or("not accepted")?;
        let begun = Instant::now();
        let everywhere = eventually(PATIENCE, || {
            cluster.addresses().iter().all(|address| {
                smol::block_on(send(address, &Call::get("/healthz")))
                    .is_ok_and(|reply| reply.json()["revision"].as_u64() >= Some(base))
            })
        });
        if !everywhere {
            return Err("not in force everywhere".into());
        }
        took.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    println!(
        "in force on {} instances after acceptance: ms p50/p95/p99 {:.1?}",
        cluster.instances.len(),
        load::quantiles(took.into_iter())
    );
    Ok(())
}

/// Returns the bytes that all instances have sent to each other.
fn sent_bytes(cluster: &Cluster) -> u64 {
    let of = |address: &String| {
        let reply = smol::block_on(send(address, &Call::get("/metrics"))).ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text.lines().find(|line| line.starts_with("lycheehub_peer_sent_bytes_total"))?;
        line.split_whitespace().last()?.parse::<u64>().ok()
    };
    cluster.addresses().iter().filter_map(of).sum()
}

/// What instances use when nothing is asked of them but to know their endpoints.
pub(crate) fn idle(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(arguments)?;
    let records = Records::default();
    let _endpoints: Vec<Endpoint> = (1..=arguments.count)
        .map(|number| quick_engine(&cluster, number, &records))
        .collect::<Result<_, _>>()?;
    // Instances that meet for the first time tell each other whole records.
    std::thread::sleep(Duration::from_secs(5 + 2 * cluster.instances.len() as u64));
    let processes: Vec<u32> =
        (0..cluster.instances.len()).filter_map(|at| cluster.process(at)).collect();
    let sum = || processes.iter().map(|process| usage(*process).0).sum::<f64>();
    let (before, bytes) = (sum(), sent_bytes(&cluster));
    std::thread::sleep(Duration::from_secs(arguments.seconds));
    let each = processes.len() as f64 * arguments.seconds as f64;
    println!(
        "{} replicas, {} others, {} endpoints: {:.2}% of a core, {:.0} bytes/s to other instances and {:.1} MB each",
        arguments.replicas,
        arguments.others,
        arguments.count,
        (sum() - before) * 100.0 / each,
        (sent_bytes(&cluster) - bytes) as f64 / each,
        processes.iter().map(|process| usage(*process).1).sum::<u64>() as f64
            / 1e6
            / processes.len() as f64
    );
    Ok(())
}

/// Requests with an idempotency key: what the claim adds.
pub(crate) fn claims(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(arguments)?;
    let records = Records::default();
    let plain = |options| Options {
        name: "engine-1".into(),
        kind: lycheehub_types::EndpointKind::Plain,
        service: "invoices".into(),
        slots: 500,
        token_ms: 0.0,
        ..options
    };
    let _endpoint = engine(&cluster, 1, plain, &records)?;
    let addresses = cluster.addresses();
    for callers in [1, 8, 64] {
        for keyed in [false, true] {
            let stop = Instant::now() + Duration::from_secs(arguments.seconds);
            let call_one = |number: usize| {
                let address = addresses[number % addresses.len()].clone();
                std::thread::spawn(move || {
                    let mut took = Vec::new();
                    while Instant::now() < stop {
                        let begun = Instant::now();
                        let call = Call::post("/v1/services/invoices/i").key(&key(0));
                        let id = format!("{callers}-{number}-{}", took.len());
                        let call = if keyed { call.header("idempotency-key", &id) } else { call };
                        if smol::block_on(send(&address, &call))
                            .is_ok_and(|reply| reply.status == 200)
                        {
                            took.push(begun.elapsed().as_secs_f64() * 1e3);
                        }
                    }
                    took
                })
            };
            let threads: Vec<_> = (0..callers).map(call_one).collect();
            let took: Vec<f64> =
                threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect();
            println!(
                "{callers} callers, keyed {keyed}: {:.0} requests/s, ms p50/p95/p99 {:.2?}",
                took.len() as f64 / arguments.seconds as f64,
                load::quantiles(took.iter().copied())
            );
        }
    }
    Ok(())
}

/// The time from the kill of the leader to the next accepted change.
pub(crate) fn failover(arguments: &Arguments) -> Result<(), Failed> {
    let mut took = Vec::new();
    let mut cluster = start(arguments)?;
    for round in 0..6 {
        let replicas: Vec<usize> = (0..arguments.replicas).collect();
        let leader = cluster.leader(&replicas).ok_or("no leader")?;
        let other = (leader + 1) % arguments.replicas;
        cluster.kill(leader);
        let begun = Instant::now();
        let id = format!("round-{round}");
        let section = format!("failover-{round}");
        let accepted = eventually(PATIENCE, || {
            cluster
                .submit(other, &section, 0, &id, "owner = \"operator\"\n")
                .is_ok_and(|reply| reply.status == 200)
        });
        if !accepted {
            return Err("no change was accepted after the kill".into());
        }
        took.push(begun.elapsed().as_secs_f64() * 1e3);
        cluster.spawn(leader)?;
        cluster.wait_ready(leader, PATIENCE);
    }
    println!(
        "{} replicas, from the leader's kill to the next accepted change: ms {:.0?}",
        arguments.replicas, took
    );
    Ok(())
}
