//! Settings of the HTTP side.

use crate::keys::KeyFile;
use lycheehub_auth::DigestKey;
use lycheehub_types::InstanceName;

/// Limits and keys of the HTTP side.
#[derive(Debug)]
pub struct Settings {
    /// This instance's name.
    pub instance: InstanceName,
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// The memory for all request bodies, in bytes.
    pub body_memory_bytes: u64,
    /// The maximum size of a response that is not streamed, in bytes.
    pub answer_max_bytes: usize,
    /// The timeout for receiving the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The timeout for receiving the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// The maximum number of open connections.
    pub connections_max: usize,
    /// The timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long a streaming endpoint may stay silent, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long responses are kept for resends, in milliseconds.
    pub answer_retention_ms: u64,
    /// The maximum total size of the responses kept for resends, in bytes.
    pub answers_max_bytes: usize,
    /// The key of the identities of requests.
    pub digest_key: DigestKey,
    /// The keys of operators, by the operator's name.
    pub operator_keys: KeyFile,
    /// The keys of endpoints. Their names are not checked.
    pub endpoint_keys: KeyFile,
}
