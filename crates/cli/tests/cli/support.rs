//! What the tests share: a cluster of processes, stand-ins and a document.

use lycheehub_standin::caller::{Call, Reply, send};
use lycheehub_standin::cluster::{Cluster, ENDPOINT_KEY, Layout, OPERATOR_KEY, eventually};
use lycheehub_standin::endpoint::{Endpoint, Options, Records};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, SystemTime};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// How long anything may take that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The binary under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_lycheehub");
/// The highest tier's key.
pub const TRUCK_KEY: &str = "truck-key";
/// The lowest tier's key.
pub const BATCH_KEY: &str = "batch-key";

/// A cluster with stand-ins.
pub struct Site {
    pub cluster: Cluster,
    pub endpoints: Vec<Endpoint>,
    pub records: Records,
}

/// Returns an empty folder of this test's own.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    // The folder is there only after an earlier run.
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the document that most tests start from.
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
        digest(TRUCK_KEY),
        digest(BATCH_KEY)
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

    /// Starts a stand-in that announces itself to all instances in turn.
    pub fn add(&mut self, options: Options) {
        let options = Options {
            announce_to: self.cluster.addresses(),
            key: ENDPOINT_KEY.to_owned(),
            ..options
        };
        let name = options.name.clone();
        self.endpoints.push(Endpoint::start(options, self.records.clone()).expect("listens"));
        let seen = || (0..self.cluster.instances.len()).all(|at| self.grants(at, &name).is_some());
        assert!(eventually(PATIENCE, seen), "{name} not seen by all");
    }

    /// Returns the slots that an instance may use at an endpoint.
    pub fn grants(&self, at: usize, endpoint: &str) -> Option<u64> {
        let reply = self.cluster.read(at, "endpoints").ok()?.json();
        let endpoints = reply["endpoints"].as_array()?;
        let found = endpoints.iter().find(|entry| entry["endpoint"] == endpoint)?;
        found["granted_slots"].as_u64()
    }

    /// Sends a request to an instance.
    pub fn send(&self, at: usize, call: &Call) -> Reply {
        smol::block_on(send(&self.cluster.instances[at].http, call)).expect("answered")
    }

    /// Runs the command line against all instances.
    pub fn command(&self, arguments: &[&str]) -> Output {
        let key = self.cluster.folder().join("operator.key");
        std::fs::write(&key, OPERATOR_KEY).expect("written");
        Command::new(BINARY)
            .args(arguments)
            .env("LYCHEEHUB_TO", self.cluster.addresses().join(","))
            .env("LYCHEEHUB_KEY_FILE", key)
            .output()
            .expect("runs")
    }
}

/// Returns the standard output of a command that must have succeeded.
pub fn stdout(output: &Output) -> String {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the time that comes in this many seconds, as the document writes it.
pub fn rfc3339_in(seconds: u64) -> String {
    let at = SystemTime::now() + Duration::from_secs(seconds);
    OffsetDateTime::from(at).format(&Rfc3339).expect("a time of this century")
}
