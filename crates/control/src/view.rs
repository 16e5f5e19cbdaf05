//! The immutable snapshot of control state that the traffic threads read. It is replaced as a
//! whole.

use crate::state::{Phase, State};
use lycheehub_estate::MergedSections;
use lycheehub_types::{EndpointName, EndpointRecord, InstanceRecord, ServiceName, Tier, Version};
use std::collections::BTreeMap;

/// How a service's traffic is split between versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionShare {
    /// The version that receives the rest of the traffic.
    pub stable: Version,
    /// The version that an active move introduces, if any.
    pub candidate: Option<Candidate>,
}

/// A version that an active move introduces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The id of the move.
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

/// An endpoint as seen by the traffic threads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// The endpoint's newest record.
    pub record: EndpointRecord,
    /// When its lease ends, in milliseconds by the local clock.
    pub lease_until_ms: u64,
    /// The number of slots granted to this instance.
    pub granted_slots: u32,
}

/// The part of the control state that the traffic threads need.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision in force.
    pub revision: u64,
    /// The merged sections.
    pub estate: MergedSections,
    /// How each service's traffic is split between versions.
    pub shares: BTreeMap<ServiceName, VersionShare>,
    /// The endpoints whose lease was valid when the view was built.
    pub endpoints: BTreeMap<EndpointName, LiveEndpoint>,
    /// The instances, each with whether its lease was valid when the view was built.
    pub instances: Vec<(InstanceRecord, bool)>,
    /// The lowest tier that any live instance admits, for each service with load shedding.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
    /// Whether the instance may serve: its configuration is known to be recent.
    pub ready: bool,
}

/// Computes how the traffic of each service is split between versions.
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
