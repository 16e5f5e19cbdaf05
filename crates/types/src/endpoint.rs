//! The records that endpoints announce.

use crate::{EndpointName, FailureDomain, ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

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
}

impl EndpointRecord {
    /// Returns the incarnation and sequence, by which records of one endpoint are ordered; the newest
    /// record compares as the greatest.
    pub fn freshness(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
