//! What sections and the estate hold.

use lycheehub_types::{AccountName, EndpointKind, SectionName, ServiceName, Tier, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// A service, as its section describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether model engines or plain services serve it.
    pub kind: EndpointKind,
    /// The version that serves before any move.
    pub version: Version,
    /// Whether its requests are idempotent, so that an unfinished one may run again.
    pub idempotent: bool,
    /// The deadline of requests that name none, in milliseconds.
    pub deadline_ms: u64,
}

/// A client account, as its section describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The SHA-256 digest of the account's key, in hexadecimal.
    pub key_sha256: SmolStr,
    /// The highest tier that the account may use, and the one it uses by default.
    pub tier: Tier,
    /// The account's share against others of its tier.
    pub weight: u32,
}

/// What the operator wants of a version move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The move goes on.
    #[default]
    Run,
    /// The move keeps its present share of traffic.
    Paused,
    /// The move is taken back.
    Aborted,
}

/// A version move, as its section orders it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSpec {
    /// The service to move.
    pub service: ServiceName,
    /// The version to move to.
    pub to: Version,
    /// When the new version must have all traffic, in milliseconds since the Unix epoch.
    pub by_unix_ms: u64,
    /// Whether the move runs, is paused or is taken back.
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

/// All sections together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Estate {
    /// All services.
    pub services: BTreeMap<ServiceName, Service>,
    /// All client accounts.
    pub accounts: BTreeMap<AccountName, Account>,
    /// All version moves, with the section that orders each.
    pub moves: BTreeMap<SmolStr, (SectionName, MoveSpec)>,
}
