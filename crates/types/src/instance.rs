//! The records that instances announce.

use crate::{FailureDomain, InstanceName, ServiceName, Tier};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// An instance's announcement, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance's name.
    pub instance: InstanceName,
    /// Where the instance listens for peers, as `address:port`.
    pub peer_address: SmolStr,
    /// Where the instance listens for HTTP, as `address:port`.
    pub http_address: SmolStr,
    /// The failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Increases with each start of the instance.
    pub incarnation: u64,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// The identity of the instance's control replica, 0 if it has none.
    pub replica_id: u64,
    /// The highest configuration revision that is in force on the instance.
    pub revision_in_force: u64,
    /// Whether the instance is shutting down.
    pub stopping: bool,
    /// The lowest admitted tier of each service that sheds load.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
}

impl InstanceRecord {
    /// Returns the incarnation and sequence, by which records of one instance are ordered; the newest
    /// record compares as the greatest.
    pub fn freshness(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
