//! What the control thread needs of the daemon's settings.

use lycheehub_types::{FailureDomain, InstanceName};
use smol_str::SmolStr;
use std::path::PathBuf;

/// An instance that is known from the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The instance's name.
    pub instance: InstanceName,
    /// Where it listens for peers, as `address:port`.
    pub address: SmolStr,
    /// Whether it holds one of the first control replicas.
    pub replica: bool,
}

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's name.
    pub instance: InstanceName,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Where it listens for peers, as `address:port`.
    pub peer_address: SmolStr,
    /// Where it listens for HTTP, as `address:port`.
    pub http_address: SmolStr,
    /// Instances known from the start.
    pub seeds: Vec<Seed>,
    /// Where the control replica keeps its files; no replica without it.
    pub data_folder: Option<PathBuf>,
    /// The key that all instances share.
    pub peer_key: Vec<u8>,
    /// Whether this may be the very first start of all instances.
    pub may_found: bool,
    /// On how many replicas' disks a change must be before it is acknowledged.
    pub copies_min: usize,
    /// Whether slots are granted and version moves are stepped by this instance when it leads.
    pub balances: bool,
    /// Times and sizes of the control replica.
    pub consensus: lycheehub_consensus::Options,
    /// How requests are placed by this instance when it leads.
    pub dispatch: lycheehub_dispatch::Options,
}

impl Settings {
    /// Returns the names of the first control replicas.
    pub fn founders(&self) -> Vec<InstanceName> {
        let founders = self.seeds.iter().filter(|seed| seed.replica);
        founders.map(|seed| seed.instance.clone()).collect()
    }
}
