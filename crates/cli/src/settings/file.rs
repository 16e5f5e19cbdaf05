//! The schema of the settings file; unknown fields are rejected.

use serde::Deserialize;
use toml::Spanned;

/// The settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// This instance.
    pub instance: Instance,
    /// The instances that this one contacts at start.
    #[serde(default)]
    pub seed: Vec<Seed>,
    /// The key files.
    pub keys: Keys,
    /// Limits and timeouts.
    #[serde(default)]
    pub limits: Limits,
    /// Routing options.
    #[serde(default)]
    pub routing: Routing,
    /// The log.
    #[serde(default)]
    pub log: Log,
}

/// This instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The name.
    pub name: Spanned<String>,
    /// The failure domain in which it runs.
    pub failure_domain: Spanned<String>,
    /// The HTTP listen address, as `IP:port`.
    pub http: Spanned<String>,
    /// The listen address for peers, as `IP:port`.
    pub peer: Spanned<String>,
    /// The data folder of the control replica; without one the instance can hold no replica.
    pub data_folder: Option<String>,
    /// The number of threads that handle traffic (default: 1).
    pub traffic_threads: Option<Spanned<usize>>,
}

/// An instance that this one contacts at start.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The name.
    pub name: Spanned<String>,
    /// Its listen address for peers, as `IP:port`.
    pub peer: Spanned<String>,
    /// Whether it holds one of the initial control replicas.
    #[serde(default)]
    pub replica: bool,
}

/// The key files.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The file with the key that all instances share.
    pub peer_file: String,
    /// The file with a line for each operator: name and key.
    pub operators_file: String,
    /// The file with a line for each endpoint key: name and key.
    pub endpoints_file: String,
}

/// Limits and timeouts; each has a default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest request body, in bytes.
    pub body_max_bytes: usize,
    /// The memory for all request bodies, in bytes.
    pub body_memory_bytes: u64,
    /// The longest non-streamed response, in bytes.
    pub answer_max_bytes: usize,
    /// The timeout for reading a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The timeout for reading a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The most concurrent connections of callers.
    pub connections_max: usize,
    /// The most requests queued for one service.
    pub queue_max: usize,
    /// The timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The longest time an endpoint may send nothing, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long responses are kept for callers that resend a request, in milliseconds.
    pub answer_retention_ms: u64,
    /// The most bytes of responses kept for callers that resend a request.
    pub answers_max_bytes: usize,
    /// How long a stopping instance still accepts requests after it reports that it is not ready,
    /// in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping instance then waits for unfinished requests, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
            body_memory_bytes: 256 * 1024 * 1024,
            answer_max_bytes: 16 * 1024 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            connections_max: 10_000,
            queue_max: 1_000,
            connect_timeout_ms: 1_000,
            idle_timeout_ms: 10_000,
            answer_retention_ms: 10 * 60 * 1_000,
            answers_max_bytes: 32 * 1024 * 1024,
            drain_ms: 2_000,
            stop_timeout_ms: 10 * 60 * 1_000,
        }
    }
}

/// Routing options; values other than the defaults are meant only for measurements.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Whether tiers are taken into account.
    pub tiers: bool,
}

impl Default for Routing {
    fn default() -> Self {
        Self { policy: Policy::ExpectedTime, tiers: true }
    }
}

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The shortest expected time, with prefix affinity.
    ExpectedTime,
    /// At random.
    Random,
    /// Round robin.
    RoundRobin,
    /// The fewest requests in flight.
    LeastInFlight,
}

impl From<Policy> for lycheehub_route::Policy {
    fn from(policy: Policy) -> Self {
        match policy {
            Policy::ExpectedTime => Self::ExpectedTime,
            Policy::Random => Self::Random,
            Policy::RoundRobin => Self::RoundRobin,
            Policy::LeastInFlight => Self::LeastInFlight,
        }
    }
}

/// The log.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The format of a line.
    pub format: LogFormat,
    /// Whether debug lines are logged too.
    pub debug: bool,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text.
    #[default]
    Text,
    /// JSON.
    Json,
}
