//! What the HTTP side needs of the daemon's settings.

use crate::keys::KeyFile;
use lycheehub_types::InstanceName;

/// Limits and keys of the HTTP side.
#[derive(Debug)]
pub struct Settings {
    /// This instance's name.
    pub instance: InstanceName,
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
    /// How long an endpoint may take to accept a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long an endpoint may send nothing, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How long answers are kept for resends, in milliseconds.
    pub answer_retention_ms: u64,
    /// The most bytes of answers kept for resends.
    pub answers_max_bytes: usize,
    /// The operators' keys, by operator.
    pub operator_keys: KeyFile,
    /// The endpoints' keys, by any name.
    pub endpoint_keys: KeyFile,
}
