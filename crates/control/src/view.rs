//! What control state shows to the traffic threads: immutable, replaced whole.

use crate::state::{Phase, State};
use lycheehub_estate::MergedSections;
use lycheehub_types::{EndpointName, EndpointRecord, InstanceRecord, ServiceName, Tier, Version};
use std::collections::BTreeMap;

/// How traffic of a service is shared between versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionShare {
    /// The version that has the rest of the traffic.
    pub stable: Version,
    /// The version that a move brings in, if one is under way.
    pub candidate: Option<Candidate>,
}

/// A version that a move brings in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The move.
    pub move_id: smol_str::SmolStr,
    /// The version.
    pub version: Version,
    /// Its share of traffic, in thousandths.
    pub share_permille: u32,
    /// The move's phase.
    pub phase: Phase,
    /// How many steps the move has taken.
    pub step: u64,
}

/// An endpoint as the traffic threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// The endpoint's newest record.
    pub record: EndpointRecord,
    /// When its lease ends, in milliseconds by the local clock.
    pub lease_until_ms: u64,
    /// The slots that this instance may use.
    pub granted_slots: u32,
}

/// The part of control state that traffic threads work by.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision in force.
    pub revision: u64,
    /// The sections together.
    pub estate: MergedSections,
    /// How each service's traffic is shared between versions.
    pub shares: BTreeMap<ServiceName, VersionShare>,
    /// The endpoints whose lease held when the view was made.
    pub endpoints: BTreeMap<EndpointName, LiveEndpoint>,
    /// The instances, each with whether its lease held when the view was made.
    pub instances: Vec<(InstanceRecord, bool)>,
    /// The lowest tier that any live instance admits, for each service that is shed.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
    /// The instance may serve: its configuration is known to be recent.
    pub ready: bool,
}

/// Works out how traffic of each service is shared between versions.
pub fn version_shares(state: &State) -> BTreeMap<ServiceName, VersionShare> {
    let mut shares = BTreeMap::new();
    for service in state.estate.services.keys() {
        let Some(stable) = state.serving(service) else { continue };
        shares.insert(service.clone(), VersionShare { stable, candidate: None });
    }
    for (id, record) in &state.moves {
        let Some(share) = shares.get_mut(&record.spec.service) else { continue };
        if record.phase.is_final() {
            continue;
        }
        share.candidate = Some(Candidate {
            move_id: id.clone(),
            version: record.spec.to.clone(),
            share_permille: record.share_permille,
            phase: record.phase,
            step: record.step,
        });
    }
    shares
}
