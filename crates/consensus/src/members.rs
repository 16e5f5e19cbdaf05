//! What the leader knows of the replicas of the group, besides the configuration in its log.

use crate::{Config, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::{BTreeMap, BTreeSet};

/// The replicas that are known to run, and those that are known to stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The replicas that were heard from recently, with their instances.
    pub live: BTreeMap<ReplicaId, InstanceName>,
    /// The replicas that have said that they stop and were not started again since, live or not.
    pub stopping: BTreeSet<ReplicaId>,
}

impl Members {
    /// Returns the live replicas that are not voters and do not stop.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_consensus::{Config, Members, ReplicaId};
    ///
    /// let config = Config { voters: [(ReplicaId(1), "salto-1".into())].into() };
    /// let live = [(ReplicaId(1), "salto-1".into()), (ReplicaId(2), "salto-2".into())].into();
    /// let members = Members { live, ..Members::default() };
    /// let successors: Vec<ReplicaId> = members.successors(&config).map(|(id, _)| id).collect();
    /// assert_eq!(successors, [ReplicaId(2)]);
    /// ```
    pub fn successors(&self, config: &Config) -> impl Iterator<Item = (ReplicaId, &InstanceName)> {
        let can_join = |id: &ReplicaId| !config.is_voter(*id) && !self.stopping.contains(id);
        self.live.iter().filter(move |(id, _)| can_join(id)).map(|(id, name)| (*id, name))
    }
}
