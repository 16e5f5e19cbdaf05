//! Shows a whole run: instances and stand-in endpoints as separate processes, real requests, the
//! decision that each led to, and a graceful stop.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use lycheehub_standin::caller::{Call, Reply, Streamed, send, stream};
use lycheehub_standin::cluster::{Cluster, ENDPOINT_KEY, Layout, OPERATOR_KEY, eventually};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const CALLER_KEY: &str = "demo-packhouse-key";

type Failed = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: lycheehub-demo FOLDER-OF-BINARIES");
        return ExitCode::from(2);
    };
    match run(&folder) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lycheehub-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(binaries: &Path) -> Result<(), Failed> {
    let folder = std::env::temp_dir().join(format!("lycheehub-demo-{}", std::process::id()));
    let mut cluster = Cluster::start(&binaries.join("lycheehub"), &folder, &Layout::default())?;
    if !cluster.wait_all_ready(PATIENCE) {
        return Err(format!("instances not ready; see {}", folder.display()).into());
    }
    println!("3 instances run: {}", cluster.addresses().join(", "));
    std::fs::write(folder.join("labels.toml"), document())?;
    std::fs::write(folder.join("operator.key"), OPERATOR_KEY)?;
    let apply = ["apply", "--section", "labels", "--wait"];
    command(binaries, &cluster, &apply, Some(&folder.join("labels.toml")))?;
    let mut standins = vec![
        standin(binaries, &cluster, &["--name", "engine-1", "--service", "label-writer"])?,
        standin(
            binaries,
            &cluster,
            &["--name", "engine-2", "--service", "label-writer", "--token-ms", "40"],
        )?,
        standin(binaries, &cluster, &["--name", "invoices-1", "--service", "invoices", "--plain"])?,
    ];
    let served = eventually(PATIENCE, || {
        cluster.read(0, "endpoints").is_ok_and(|reply| {
            reply.json()["endpoints"].as_array().is_some_and(|found| found.len() == standins.len())
        })
    });
    if !served {
        return Err("endpoints did not announce themselves".into());
    }
    command(binaries, &cluster, &["endpoints"], None)?;
    requests(&cluster)?;
    command(binaries, &cluster, &["instances"], None)?;
    decisions(&cluster);
    for at in 0..cluster.instances.len() {
        cluster.signal(at, "TERM");
    }
    for at in 0..cluster.instances.len() {
        let exit = cluster.wait_exit(at, PATIENCE);
        println!("{} stopped with exit code {exit:?}", cluster.instances[at].name);
    }
    for standin in &mut standins {
        drop(standin.stdin.take());
        standin.wait()?;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn document() -> String {
    let digest = hex::encode(Sha256::digest(CALLER_KEY.as_bytes()));
    format!(
        "owner = \"operator\"\n\n[service.label-writer]\nkind = \"engine\"\nversion = \"v1\"\nidempotent = true\n\n[service.invoices]\nkind = \"plain\"\nversion = \"v1\"\n\n[account.packhouse-salto]\nkey_sha256 = \"{digest}\"\ntier = 0\n"
    )
}

fn command(
    binaries: &Path,
    cluster: &Cluster,
    arguments: &[&str],
    file: Option<&Path>,
) -> Result<(), Failed> {
    println!("\n$ lycheehub {}", arguments.join(" "));
    let status = Command::new(binaries.join("lycheehub"))
        .args(arguments)
        .args(file)
        .env("LYCHEEHUB_TO", cluster.addresses().join(","))
        .env("LYCHEEHUB_KEY_FILE", cluster.folder().join("operator.key"))
        .status()?;
    if status.success() { Ok(()) } else { Err("the command failed".into()) }
}

fn standin(binaries: &Path, cluster: &Cluster, arguments: &[&str]) -> Result<Child, Failed> {
    let child = Command::new(binaries.join("lycheehub-standin"))
        .args(arguments)
        .args(["--announce-to", &cluster.addresses().join(","), "--key", ENDPOINT_KEY])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()?;
    Ok(child)
}

fn requests(cluster: &Cluster) -> Result<(), Failed> {
    let addresses = cluster.addresses();
    let call =
        Call::chat("label-writer", "Label for 40 crates of tomatoes", 8, true).key(CALLER_KEY);
    let mut streamed = Streamed::default();
    let end = smol::block_on(stream(&addresses[0], &call, &mut streamed));
    println!("\nstreamed from instance 1: {} tokens, whole: {}", streamed.tokens, end.is_ok());
    println!("  {}", streamed.text);
    let call = Call::chat("label-writer", "Summarise lot 7", 6, false).key(CALLER_KEY);
    print("whole answer from instance 2", &smol::block_on(send(&addresses[1], &call))?);
    let invoice = Call::post("/v1/services/invoices/invoice/17")
        .key(CALLER_KEY)
        .header("idempotency-key", "invoice-17")
        .body(b"40 crates".to_vec());
    print("invoice through instance 3", &smol::block_on(send(&addresses[2], &invoice))?);
    print(
        "the same invoice sent again to instance 1",
        &smol::block_on(send(&addresses[0], &invoice))?,
    );
    let unknown = Call::chat("no-such-model", "hello", 1, false).key(CALLER_KEY);
    print("unknown service", &smol::block_on(send(&addresses[0], &unknown))?);
    println!();
    Ok(())
}

fn print(what: &str, reply: &Reply) {
    println!("{what}: status {}\n  {}", reply.status, String::from_utf8_lossy(&reply.body));
}

fn decisions(cluster: &Cluster) {
    println!("\ndecisions in the instances' logs:");
    for at in 0..cluster.instances.len() {
        let log = cluster.log(at);
        let lines =
            log.lines().filter(|line| line.contains("dispatched") || line.contains("refused"));
        for line in lines {
            println!("  {}: {line}", cluster.instances[at].name);
        }
    }
}
