//! The settings of the control thread.

use lycheehub_types::{FailureDomain, InstanceName, Region};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// An instance whose address is configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The instance's name.
    pub instance: InstanceName,
    /// Its peer address, as `address:port`.
    pub address: SmolStr,
    /// Whether it holds a control replica from the bootstrap on.
    pub replica: bool,
}

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's name.
    pub instance: InstanceName,
    /// The failure domain in which this instance runs.
    pub failure_domain: FailureDomain,
    /// The address on which it listens for peers, as `address:port`.
    pub peer_address: SmolStr,
    /// The address on which it listens for HTTP, as `address:port`.
    pub http_address: SmolStr,
    /// The configured instances.
    pub seeds: Vec<Seed>,
    /// The data directory of the control replica; `None` if this instance holds no replica.
    pub data_folder: Option<PathBuf>,
    /// The secret key that all instances share.
    pub peer_key: Vec<u8>,
    /// Whether this instance may bootstrap a new consensus group with the other seeds.
    pub may_found: bool,
    /// The minimum number of replicas that must have a change on disk before it is acknowledged.
    pub copies_min: usize,
    /// How long a stopping instance that is a voter may wait for another replica to take its place, in
    /// milliseconds.
    pub replacement_timeout_ms: u64,
    /// Whether this instance, when it leads, grants slots and advances version moves.
    pub runs_controllers: bool,
    /// The timeouts and limits of the control replica.
    pub consensus: lycheehub_consensus::Options,
    /// How many requests a bad version may receive in a rollout.
    pub rollouts: lycheehub_control::moves::RolloutOptions,
    /// The options of this instance's dispatcher.
    pub dispatch: lycheehub_dispatch::Options,
    /// The regions of the failure domains; empty if the settings name none.
    pub regions: BTreeMap<FailureDomain, Region>,
}

impl Settings {
    /// Returns whether instances and endpoints are in more than one region.
    pub fn has_several_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Returns the names of the replicas that form the initial configuration.
    pub fn bootstrap_replicas(&self) -> Vec<InstanceName> {
        let replicas = self.seeds.iter().filter(|seed| seed.replica);
        replicas.map(|seed| seed.instance.clone()).collect()
    }
}
