//! Measures instances as separate processes: relaying, tiers under load, and control.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use gumdrop::Options as _;
use lycheehub_standin::caller::{Call, Streamed, send, stream};
use lycheehub_standin::cluster::{
    Cluster, ENDPOINT_KEY, Layout, OPERATOR_KEY, eventually, submit_to,
};
use lycheehub_standin::endpoint::{Endpoint, Faults, Options, Records};
use lycheehub_standin::load::{self, Plan, Summary};
use sha2::{Digest, Sha256};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

type Failed = Box<dyn std::error::Error>;

const PATIENCE: Duration = Duration::from_secs(30);
const SERVICE: &str = "label-writer";

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(
        free,
        required,
        help = "relay, streams, tiers, prefix, faults, commit, idle, claims or failover"
    )]
    what: String,
    #[options(help = "the folder of the binaries", default = "target/release", no_short)]
    binaries: String,
    #[options(help = "how many instances hold a replica", default = "3", no_short)]
    replicas: usize,
    #[options(help = "how many others there are", default = "0", no_short)]
    others: usize,
    #[options(help = "how many endpoints or sections there are", default = "4", no_short)]
    count: usize,
    #[options(help = "seconds of load", default = "10", no_short)]
    seconds: u64,
    #[options(help = "requests per second, or times the capacity", default = "0", no_short)]
    rate: f64,
    #[options(help = "the routing policy", default = "expected_time", no_short)]
    policy: String,
    #[options(help = "all requests are of one tier", no_short)]
    without_tiers: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.what.as_str() {
        "relay" => relay(&arguments),
        "streams" => streams(&arguments),
        "tiers" => tiers(&arguments, (4, 400), (0, 0)),
        "prefix" => tiers(&arguments, (4, 60), (120, 6_000)),
        "faults" => faults(&arguments),
        "commit" => commit(&arguments),
        "idle" => idle(&arguments),
        "claims" => claims(&arguments),
        "failover" => failover(&arguments),
        other => Err(format!("nothing is named {other:?}").into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lycheehub-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn key(tier: u8) -> String {
    format!("key-of-tier-{tier}")
}

fn document() -> String {
    let mut text = format!(
        "owner = \"operator\"\n[service.{SERVICE}]\nkind = \"engine\"\nversion = \"v1\"\nidempotent = true\n[service.invoices]\nkind = \"plain\"\nversion = \"v1\"\n"
    );
    for tier in 0..5 {
        let digest = hex::encode(Sha256::digest(key(tier).as_bytes()));
        text += &format!("[account.tier-{tier}]\nkey_sha256 = \"{digest}\"\ntier = {tier}\n");
    }
    text
}

/// The same, with a single instance.
fn single(arguments: &Arguments) -> Arguments {
    Arguments {
        replicas: 1,
        others: 0,
        what: arguments.what.clone(),
        binaries: arguments.binaries.clone(),
        policy: arguments.policy.clone(),
        ..*arguments
    }
}

fn start(arguments: &Arguments) -> Result<Cluster, Failed> {
    let folder = std::env::temp_dir().join(format!("lycheehub-measure-{}", std::process::id()));
    let limits = format!(
        "drain_ms = 200\n\n[routing]\npolicy = \"{}\"\ntiers = {}\n",
        arguments.policy, !arguments.without_tiers
    );
    let layout = Layout {
        replicas: arguments.replicas,
        others: arguments.others,
        limits,
        ..Layout::default()
    };
    let binary = PathBuf::from(&arguments.binaries).join("lycheehub");
    let cluster = Cluster::start(&binary, &folder, &layout)?;
    if !cluster.wait_all_ready(PATIENCE) {
        return Err(format!("instances are not ready; see {}", folder.display()).into());
    }
    let reply = cluster.submit(0, "labels", 0, "first", &document())?;
    if reply.status != 200 {
        return Err(String::from_utf8_lossy(&reply.body).into());
    }
    Ok(cluster)
}

fn engine(
    cluster: &Cluster,
    number: usize,
    change: impl FnOnce(Options) -> Options,
    records: &Records,
) -> Result<Endpoint, Failed> {
    let options = Options {
        name: format!("engine-{number}"),
        service: SERVICE.into(),
        announce_to: cluster.addresses(),
        key: ENDPOINT_KEY.into(),
        announce_ms: 1_000,
        seed: number as u64,
        ..Options::default()
    };
    let endpoint = Endpoint::start(change(options), records.clone())?;
    let seen = eventually(PATIENCE, || {
        (0..cluster.instances.len()).all(|at| {
            cluster.read(at, "endpoints").is_ok_and(|reply| {
                String::from_utf8_lossy(&reply.body).contains(&format!("\"engine-{number}\""))
            })
        })
    });
    if seen { Ok(endpoint) } else { Err("an endpoint was not seen by all".into()) }
}

/// Starts a stand-in without waiting until it is seen.
fn quick_engine(cluster: &Cluster, number: usize, records: &Records) -> Result<Endpoint, Failed> {
    let options = Options {
        name: format!("engine-{number}"),
        service: SERVICE.into(),
        announce_to: cluster.addresses(),
        key: ENDPOINT_KEY.into(),
        announce_ms: 1_000,
        seed: number as u64,
        ..Options::default()
    };
    Ok(Endpoint::start(options, records.clone())?)
}

/// What a process has used: processor seconds, and memory in bytes.
fn usage(process: u32) -> (f64, u64) {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    ((ticks(11) + ticks(12)) / TICKS_PER_SECOND, kilobytes.unwrap_or(0) * 1_024)
}

fn print(label: &str, summary: &Summary) {
    let tiers: Vec<String> = summary
        .tiers
        .iter()
        .map(|(tier, (sent, good))| {
            format!("{tier}: {:.1}% of {sent}", *good as f64 * 100.0 / (*sent).max(1) as f64)
        })
        .collect();
    println!("{label}: goodput by tier {}", tiers.join(", "));
    println!(
        "  first token ms p50/p95/p99 {:.1?}, between tokens {:.2?}, refused {:?}",
        summary.first_token_ms, summary.between_ms, summary.refused
    );
}

/// Short requests through one instance, and directly at the stand-in.
fn relay(arguments: &Arguments) -> Result<(), Failed> {
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
fn streams(arguments: &Arguments) -> Result<(), Failed> {
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
        std::thread::sleep(Duration::from_secs(3));
        println!(
            "{goal} streams asked for, {} run: {:.1} MB",
            records.ran().len(),
            usage(process).1 as f64 / 1e6
        );
    }
    Ok(())
}

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
fn tiers(
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
fn faults(arguments: &Arguments) -> Result<(), Failed> {
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

/// Commits from concurrent operators; latency and changes a second.
fn commit(arguments: &Arguments) -> Result<(), Failed> {
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
fn idle(arguments: &Arguments) -> Result<(), Failed> {
    let cluster = start(arguments)?;
    let records = Records::default();
    let _endpoints: Vec<Endpoint> = (1..=arguments.count)
        .map(|number| quick_engine(&cluster, number, &records))
        .collect::<Result<_, _>>()?;
    std::thread::sleep(Duration::from_secs(5));
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
fn claims(arguments: &Arguments) -> Result<(), Failed> {
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
fn failover(arguments: &Arguments) -> Result<(), Failed> {
    let mut took = Vec::new();
    let mut cluster = start(arguments)?;
    for round in 0..6 {
        let term = |at: usize| {
            let log = cluster.log(at);
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains("became the leader"))
                .map(str::to_owned)?;
            line.rsplit("term=").next()?.trim_end_matches([' ', '}']).trim().parse::<u64>().ok()
        };
        let leader = (0..arguments.replicas).max_by_key(|at| term(*at)).ok_or("no leader")?;
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
