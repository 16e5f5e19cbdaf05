//! What instances say of themselves.

use crate::{FailureDomain, InstanceName, ServiceName, Tier};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// An instance's own record, as it is passed between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance's name.
    pub instance: InstanceName,
    /// Where the instance listens for peers, as `address:port`.
    pub peer_address: SmolStr,
    /// Where the instance listens for HTTP, as `address:port`.
    pub http_address: SmolStr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// The identity of its control replica, 0 without one.
    pub replica_id: u64,
    /// The highest revision of the configuration that the instance has in force.
    pub revision_in_force: u64,
    /// The instance is shutting down.
    pub stopping: bool,
    /// The lowest tier admitted, for each service that is shed.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
}

impl InstanceRecord {
    /// Returns the number pair by which of two records the newer one is known.
    pub fn freshness(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
