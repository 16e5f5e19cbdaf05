//! The records that endpoints announce.

use crate::{EndpointName, FailureDomain, ServiceName, Version, name};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// The most slots that an endpoint may announce, on the project's own interface and on the platform's.
/// A larger number would attract all requests of its service.
const SLOTS_MAX: u32 = 65_536;
/// By how much two statements of the same cold time differ at most, in milliseconds: the delay of an
/// announcement.
pub const COLD_TOLERANCE_MS: u64 = 700;
/// The longest time for which an endpoint may announce to be cold, in milliseconds: an hour.
pub const COLD_MAX_MS: u32 = 3_600_000;
/// The highest incarnation and sequence. Every writer of JSON can state numbers up to here exactly, and
/// a difference or a sum of two does not overflow.
pub const COUNT_MAX: u64 = (1 << 53) - 1;

quick_error! {
    /// A field of a record has a value that no endpoint has.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum InvalidRecord {
        /// The text is not a valid identifier.
        Name(field: &'static str) {
            display("{} is no name", field)
        }
        /// The text is too long or contains control characters.
        Text(field: &'static str) {
            display("{} is too long or has control characters", field)
        }
        /// No request can be sent to the address.
        Address {
            display("address is no IP number with a port")
        }
        /// The number is too low or too high.
        Number(field: &'static str, value: u64) {
            display("{}: {} is out of range", field, value)
        }
    }
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// The load that an endpoint reports, which lags behind its current load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests queued inside the endpoint.
    pub waiting: u32,
}

/// An endpoint's announcement, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// Where the endpoint listens, as `address:port`.
    pub address: SmolStr,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The version of the service that the endpoint has loaded.
    pub version: Version,
    /// Whether the endpoint is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The hardware generation.
    #[serde(default)]
    pub hardware: SmolStr,
    /// The failure domain in which the endpoint runs.
    pub failure_domain: FailureDomain,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the endpoint accepts orders to load versions.
    #[serde(default)]
    pub takes_orders: bool,
    /// Increases with each start of the endpoint.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Whether the endpoint is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// The load last reported by the endpoint.
    #[serde(default)]
    pub load: EndpointLoad,
    /// How much longer the endpoint bears only few requests per second, in milliseconds; it has just
    /// started, or been idle.
    #[serde(default)]
    pub cold_ms: u32,
}

impl EndpointRecord {
    /// Returns the incarnation and sequence, by which records of one endpoint are ordered; the newest
    /// record compares as the greatest.
    pub fn freshness(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Checks the values that an announcement from outside may have.
    ///
    /// # Errors
    /// Fails at the first field with a value that no endpoint has. One odd record could otherwise
    /// attract all requests of its service, or make every later record of the endpoint look outdated.
    pub fn validate(&self) -> Result<(), InvalidRecord> {
        let names = [("endpoint", self.endpoint.as_str()), ("service", self.service.as_str())];
        if let Some((field, _)) = names.into_iter().find(|(_, text)| !name::is_valid(text)) {
            return Err(InvalidRecord::Name(field));
        }
        let texts = [
            ("version", self.version.as_str()),
            ("failure domain", self.failure_domain.as_str()),
            ("hardware", self.hardware.as_str()),
        ];
        if let Some((field, _)) = texts.into_iter().find(|(_, text)| !name::is_label(text)) {
            return Err(InvalidRecord::Text(field));
        }
        let address = self.address.parse::<SocketAddr>();
        if !address.is_ok_and(|address| address.port() > 0 && !address.ip().is_unspecified()) {
            return Err(InvalidRecord::Address);
        }
        let numbers = [
            ("slots", u64::from(self.slots), 1..=u64::from(SLOTS_MAX)),
            ("incarnation", self.incarnation, 0..=COUNT_MAX),
            ("sequence", self.sequence, 0..=COUNT_MAX),
            ("cold time", u64::from(self.cold_ms), 0..=u64::from(COLD_MAX_MS)),
        ];
        match numbers.into_iter().find(|(_, value, range)| !range.contains(value)) {
            Some((field, value, _)) => Err(InvalidRecord::Number(field, value)),
            None => Ok(()),
        }
    }
}
