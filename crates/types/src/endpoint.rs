//! What endpoints say of themselves.

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

/// Load as an endpoint reports it, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
}

/// An endpoint's announcement, as it is passed between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// Where the endpoint listens, as `address:port`.
    pub address: SmolStr,
    /// The service it serves.
    pub service: ServiceName,
    /// The version of the service that it has loaded.
    pub version: Version,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The hardware generation.
    #[serde(default)]
    pub hardware: SmolStr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// How many requests it may run at once.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Whether it takes orders to load versions.
    #[serde(default)]
    pub takes_orders: bool,
    /// Grows with each start of the endpoint.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// The endpoint takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Load as last seen by the endpoint.
    #[serde(default)]
    pub load: EndpointLoad,
}

impl EndpointRecord {
    /// Returns the number pair by which of two records the newer one is known.
    pub fn freshness(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
