//! Measures instances as separate processes: relaying, tiers under load, and control; and the
//! dispatcher by itself.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod control;
mod place;
mod relay;
mod tiers;

use gumdrop::Options as _;
use lycheehub_standin::cluster::{Cluster, ENDPOINT_KEY, Layout, eventually};
use lycheehub_standin::endpoint::{Endpoint, Options, Records};
use lycheehub_standin::load::Summary;
use sha2::{Digest, Sha256};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

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
        help = "relay, streams, tiers, prefix, faults, commit, idle, claims, failover or place"
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
        "relay" => relay::relay(&arguments),
        "streams" => relay::streams(&arguments),
        "tiers" => tiers::tiers(&arguments, (4, 400), (0, 0)),
        "prefix" => tiers::tiers(&arguments, (4, 60), (120, 6_000)),
        "faults" => tiers::faults(&arguments),
        "commit" => control::commit(&arguments),
        "idle" => control::idle(&arguments),
        "claims" => control::claims(&arguments),
        "failover" => control::failover(&arguments),
        "place" => place::place(&arguments),
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
    let options = engine_options(cluster, number);
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

fn engine_options(cluster: &Cluster, number: usize) -> Options {
    Options {
        name: format!("engine-{number}"),
        service: SERVICE.into(),
        announce_to: cluster.addresses(),
        key: ENDPOINT_KEY.into(),
        announce_ms: 1_000,
        seed: number as u64,
        ..Options::default()
    }
}

/// Starts a stand-in without waiting until it is seen.
fn quick_engine(cluster: &Cluster, number: usize, records: &Records) -> Result<Endpoint, Failed> {
    Ok(Endpoint::start(engine_options(cluster, number), records.clone())?)
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
