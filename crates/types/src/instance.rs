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

/// Tells whether the revision known at one instance is in force on every live instance, given the
/// revisions that they have in force. A live instance with a newer revision shows that the known
/// one is out of date, and so in force nowhere but where it is still known.
///
/// # Examples
/// ```
/// use lycheehub_types::instance::is_in_force_everywhere;
/// assert!(is_in_force_everywhere(3, [3, 3]));
/// assert!(!is_in_force_everywhere(3, [3, 2]));
/// ```
pub fn is_in_force_everywhere(revision: u64, live: impl IntoIterator<Item = u64>) -> bool {
    live.into_iter().all(|in_force| in_force == revision)
}
