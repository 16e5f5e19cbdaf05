//! What the settings file holds; unknown fields are refused.

use serde::Deserialize;
use toml::Spanned;

/// The settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// This instance.
    pub instance: Instance,
    /// Instances known from the start.
    #[serde(default)]
    pub seed: Vec<Seed>,
    /// Where keys are read from.
    pub keys: Keys,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// How requests are routed.
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
    /// Where it runs.
    pub failure_domain: Spanned<String>,
    /// Where it listens for HTTP, as an IP number and a port.
    pub http: Spanned<String>,
    /// Where it listens for peers, as an IP number and a port.
    pub peer: Spanned<String>,
    /// Where a control replica keeps its files; no replica without it.
    pub data_folder: Option<String>,
    /// How many threads carry traffic.
    pub traffic_threads: Option<Spanned<usize>>,
}

/// An instance known from the start.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The name.
    pub name: Spanned<String>,
    /// Where it listens for peers, as an IP number and a port.
    pub peer: Spanned<String>,
    /// Whether it holds one of the first control replicas.
    #[serde(default)]
    pub replica: bool,
}

/// Where keys are read from.
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

/// Bounds; each has a default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest request body, in bytes.
    pub body_max_bytes: usize,
    /// The longest whole answer, in bytes.
    pub answer_max_bytes: usize,
    /// How long a caller may take to send a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a caller may take to send a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The most connections at once.
    pub connections_max: usize,
    /// The most requests that wait for one service.
    pub queue_max: usize,
    /// How long an endpoint may take to accept a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long an endpoint may send nothing, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long answers are kept for resends, in milliseconds.
    pub answer_retention_ms: u64,
    /// The most bytes of answers kept for resends.
    pub answers_max_bytes: usize,
    /// How long the instance still takes requests after it reports that it is not ready, in
    /// milliseconds.
    pub drain_ms: u64,
    /// How long requests in flight may take to end after that, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
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

/// How requests are routed; other than the defaults only for measurements.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Whether tiers count.
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
    /// By the expected time, with prefix affinity.
    ExpectedTime,
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// Least requests in flight.
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
    /// The form of a line.
    pub format: LogFormat,
    /// Whether decisions of lesser weight are logged too.
    pub debug: bool,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text.
    #[default]
    Text,
    /// JSON.
    Json,
}
