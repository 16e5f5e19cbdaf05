//! The operator: changes the document in uneven steps, sends again what got no clear answer, and
//! reads back.

use crate::caller::{KEY, PLAIN_TIMEOUT_MS, STREAM_TIMEOUT_MS};
use crate::deployment::{Reply, control_call};
use crate::record::Record;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the operator waits before the same is sent again.
const AGAIN: Duration = Duration::from_millis(100);

/// The operator with what was acknowledged.
pub struct Operator {
    controls: Vec<String>,
    record: Arc<Record>,
    random: StdRng,
    /// What was sent, by version.
    sent: BTreeMap<u64, Value>,
    acknowledged: u64,
}

impl Operator {
    pub fn new(controls: Vec<String>, record: Arc<Record>, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { controls, record, random, sent: BTreeMap::new(), acknowledged: 0 }
    }

    fn pick(&mut self, below: u32) -> u32 {
        self.random.next_u32() % below.max(1)
    }

    fn call(&mut self, method: &str, body: &str) -> Reply {
        let place = self.pick(self.controls.len() as u32) as usize;
        control_call(&self.controls[place], method, "/-/config", body, CALL_TIMEOUT)
    }

    /// Changes and reads until it is told to stop; each change is sent until it is acknowledged.
    pub fn run(mut self, is_over: &AtomicBool) -> Self {
        while !is_over.load(Ordering::Relaxed) {
            match self.pick(3) {
                0 => self.change(is_over),
                1 => self.send_invalid(),
                _ => {
                    self.read_back();
                }
            }
            let pause_ms = 50 + self.pick(250);
            std::thread::sleep(Duration::from_millis(u64::from(pause_ms)));
        }
        self
    }

    /// Sends a new document until it is acknowledged, or time is over.
    pub fn change(&mut self, is_over: &AtomicBool) {
        let last = self.sent.keys().next_back().copied().unwrap_or(0);
        let version = last + 1 + u64::from(self.pick(3));
        self.sent.insert(version, document(version));
        let body = self.sent[&version].to_string();
        while !is_over.load(Ordering::Relaxed) {
            let reply = self.call("PUT", &body);
            match reply.status {
                200 => {
                    self.acknowledged = self.acknowledged.max(version);
                    self.record.count("changes acknowledged");
                    return;
                }
                400..=499 => {
                    self.record.finding(format!("CONFIG: version {version} refused: {reply:?}"));
                    return;
                }
                _ => std::thread::sleep(AGAIN),
            }
        }
    }

    fn send_invalid(&mut self) {
        let mut invalid = document(1_000_000);
        invalid["routes"][0]["timeout_ms"] = json!(0);
        let reply = self.call("PUT", &invalid.to_string());
        if reply.status == 200 {
            self.record.finding("CONFIG: an invalid document was acknowledged".to_owned());
        }
    }

    /// Reads back; tells whether anything was read.
    fn read_back(&mut self) -> bool {
        let acknowledged = self.acknowledged;
        let reply = self.call("GET", "");
        if reply.status != 200 {
            self.record.count("reads without an answer");
            return false;
        }
        self.record.count("reads");
        let read: Value = serde_json::from_str(&reply.body).unwrap_or_default();
        let version = read["version"].as_u64().unwrap_or(0);
        if version < acknowledged {
            self.record.finding(format!("CONFIG: read {version}, acknowledged {acknowledged}"));
        }
        if self.sent.get(&version) != Some(&read) {
            self.record.finding(format!("CONFIG: version {version} is not what was sent"));
        }
        true
    }

    /// Reads the document back until it comes, at most until `until`.
    pub fn read_at_the_end(&mut self, until: Instant) {
        while !self.read_back() {
            if Instant::now() > until {
                self.record.finding("CONFIG: the document was not read back".to_owned());
                return;
            }
            std::thread::sleep(AGAIN);
        }
    }
}

fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumes: bool| {
        let timeout_ms = if kind == "streaming" { STREAM_TIMEOUT_MS } else { PLAIN_TIMEOUT_MS };
        json!({
            "name": name, "hostname": "crates.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": attempts, "stream_resume": resumes,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("look", "safe", "labels", 2, false),
            route("print", "unsafe", "labels", 2, false),
            route("draft", "streaming", "drafts", 2, false),
            route("tell", "streaming", "drafts", 3, true),
            route(&format!("extra-{version}"), "safe", "labels", 1, false),
        ],
        "services": [{ "name": "labels", "health_path": "/health" },
                     { "name": "drafts", "health_path": "/health" }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "packhouse", "api_keys": [KEY] }],
    })
}
