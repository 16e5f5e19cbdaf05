//! The types of a section, and of all sections merged.

use lycheehub_types::{AccountName, EndpointKind, SectionName, ServiceName, Tier, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// A service, as its section defines it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether the service is run by model engines or plain services.
    pub kind: EndpointKind,
    /// The version that is served before any move.
    pub version: Version,
    /// Whether requests are idempotent, so that an unfinished request may be run again.
    pub idempotent: bool,
    /// The deadline of requests that do not set one, in milliseconds.
    pub deadline_ms: u64,
}

/// A client account, as its section defines it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The SHA-256 digest of the account's key, in hexadecimal.
    pub key_sha256: SmolStr,
    /// The highest tier that the account may use, which is also its default tier.
    pub tier: Tier,
    /// The account's fair-queueing weight among the accounts of its tier.
    pub weight: u32,
}

/// The state of a version move that the operator requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The move proceeds.
    #[default]
    Run,
    /// The move keeps its present share of traffic.
    Paused,
    /// The move is rolled back.
    Aborted,
}

/// A version move, as its section defines it: a gradual shift of a service's traffic to a new
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSpec {
    /// The service to move.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Version,
    /// The time by which the new version must receive all traffic, in milliseconds since the Unix
    /// epoch.
    pub by_unix_ms: u64,
    /// Whether the move proceeds, is paused or is rolled back.
    pub state: MoveState,
}

/// One section of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The operator who may change the section.
    pub owner: SmolStr,
    /// The section's services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The section's client accounts.
    pub accounts: BTreeMap<AccountName, Account>,
    /// The section's version moves.
    pub moves: BTreeMap<SmolStr, MoveSpec>,
}

/// The content of all sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedSections {
    /// All services.
    pub services: BTreeMap<ServiceName, Service>,
    /// All client accounts.
    pub accounts: BTreeMap<AccountName, Account>,
    /// All version moves, each with the section that defines it.
    pub moves: BTreeMap<SmolStr, (SectionName, MoveSpec)>,
}
