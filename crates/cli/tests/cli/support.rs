//! The setup shared by the tests: a cluster of processes, stand-in endpoints and a document.

use lycheehub_standin::caller::{Call, Reply, send};
use lycheehub_standin::cluster::{Cluster, ENDPOINT_KEY, Layout, OPERATOR_KEY, eventually};
use lycheehub_standin::endpoint::{Endpoint, Options, Records};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// How long a test waits for an expected condition.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// How long a caller waits after a call that got no reply: the instance may be down.
pub const NO_REPLY_PAUSE: Duration = Duration::from_millis(20);
/// The binary under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_lycheehub");
/// The API key of the client account in the highest tier.
pub const TRUCK_KEY: &str = "truck-key";
/// The API key of the client account in the lowest tier.
pub const BATCH_KEY: &str = "batch-key";

/// A cluster with stand-in endpoints.
pub struct Site {
    pub cluster: Cluster,
    pub endpoints: Vec<Endpoint>,
    pub records: Records,
}

/// Returns the path of a folder for this test; removes the folder of an earlier run.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    // The folder exists only if an earlier run has left it.
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

pub fn sha256_hex(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the document that most tests submit first.
pub fn document() -> String {
    format!(
        r#"owner = "operator"

[service.label-writer]
kind = "engine"
version = "v1"
idempotent = true

[service.invoices]
kind = "plain"
version = "v1"

[account.packhouse-salto]
key_sha256 = "{}"
tier = 0

[account.lot-histories]
key_sha256 = "{}"
tier = 4
"#,
        sha256_hex(TRUCK_KEY),
        sha256_hex(BATCH_KEY)
    )
}

impl Site {
    /// Starts a cluster and waits until it is ready, with the document in force.
    pub fn start(test: &str, layout: &Layout) -> Self {
        let folder = folder(test);
        let cluster = Cluster::start(Path::new(BINARY), &folder, layout).expect("cluster starts");
        assert!(cluster.wait_all_ready(PATIENCE), "not ready: {}", cluster.log(0));
        let site = Self { cluster, endpoints: Vec::new(), records: Records::default() };
        site.apply("labels", 0, "first", &document());
        site
    }

    /// Submits a section and waits until it is in force everywhere; returns its revision.
    pub fn apply(&self, section: &str, base: u64, request_id: &str, text: &str) -> u64 {
        let reply = self.cluster.submit(0, section, base, request_id, text).expect("answered");
        assert_eq!(reply.status, 200, "{}", reply.json());
        let revision = reply.json()["revision"].as_u64().expect("revision");
        assert!(eventually(PATIENCE, || self.in_force_everywhere(revision)));
        revision
    }

    fn in_force_everywhere(&self, revision: u64) -> bool {
        self.cluster.addresses().iter().all(|address| {
            let reply = smol::block_on(send(address, &Call::get("/healthz")));
            reply.is_ok_and(|reply| reply.json()["revision"].as_u64() >= Some(revision))
        })
    }

    /// Starts a stand-in endpoint that announces itself to all instances in turn; waits until all
    /// instances list it.
    pub fn add(&mut self, options: Options) {
        let options = Options {
            announce_to: self.cluster.addresses(),
            key: ENDPOINT_KEY.to_owned(),
            ..options
        };
        let name = options.name.clone();
        self.endpoints.push(Endpoint::start(options, self.records.clone()).expect("listens"));
        let seen =
            || (0..self.cluster.instances.len()).all(|at| self.granted_slots(at, &name).is_some());
        assert!(eventually(PATIENCE, seen), "{name} not seen by all");
    }

    /// Returns how many slots of an endpoint are granted to an instance; `None` if the instance doesn't
    /// list the endpoint.
    pub fn granted_slots(&self, at: usize, endpoint: &str) -> Option<u64> {
        let reply = self.cluster.read(at, "endpoints").ok()?.json();
        let endpoints = reply["endpoints"].as_array()?;
        let found = endpoints.iter().find(|entry| entry["endpoint"] == endpoint)?;
        found["granted_slots"].as_u64()
    }

    /// Sends a request to an instance.
    pub fn send(&self, at: usize, call: &Call) -> Reply {
        smol::block_on(send(&self.cluster.instances[at].http, call)).expect("answered")
    }

    /// Runs a command as an operator, with the addresses of all instances.
    pub fn command(&self, arguments: &[&str]) -> Output {
        let key = self.cluster.folder().join("operator.key");
        std::fs::write(&key, OPERATOR_KEY).expect("written");
        Command::new(BINARY)
            .args(arguments)
            .env("LYCHEEHUB_TO", self.cluster.addresses().join(","))
            .env("LYCHEEHUB_KEY_FILE", key)
            .output()
            .expect("the binary runs")
    }
}

/// Returns the standard output of a command; panics if the command has failed.
pub fn stdout(output: &Output) -> String {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the time in this many seconds in the format of the document.
pub fn rfc3339_in(seconds: u64) -> String {
    let at = SystemTime::now() + Duration::from_secs(seconds);
    OffsetDateTime::from(at).format(&Rfc3339).expect("a time of this century")
}

/// A flag that ends threads; it is set when it is dropped, so also if a test panics.
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    pub fn new() -> Self {
        Self(Arc::new(AtomicBool::new(false)))
    }

    /// Returns the flag for a thread.
    pub fn share(&self) -> Arc<AtomicBool> {
        self.0.clone()
    }
}

impl Drop for StopFlag {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
