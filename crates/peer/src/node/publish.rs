//! Publishes the view that the traffic threads use.

use super::{Core, Node};
use lycheehub_control::View;
use lycheehub_control::registry::ENDPOINT_LEASE_MS;
use lycheehub_control::view::{LiveEndpoint, version_shares};
use lycheehub_types::{EndpointRecord, InstanceName, ServiceName, Tier};
use std::collections::BTreeMap;

impl Node {
    /// Publishes a new view if anything changed.
    pub(super) fn publish(&self) {
        let now_ms = self.clock.now_ms();
        let view = {
            let mut core = self.core.borrow_mut();
            if !core.dirty {
                return;
            }
            core.dirty = false;
            core.view(now_ms)
        };
        self.views.publish(view);
    }
}

pub(super) fn view_of(core: &Core, now_ms: u64) -> View {
    let instances =
        core.registry.instances().map(|known| (known.record.clone(), known.is_live(now_ms)));
    let mut view = View {
        revision: core.state.revision,
        estate: core.state.estate.clone(),
        shares: version_shares(&core.state),
        instances: instances.collect(),
        shed_floor: peer_shed_floors(core, now_ms),
        ready: core.state_confirmed
            && core.records_received
            && !core.is_isolated(now_ms)
            && !core.lacks_commands(),
        ..View::default()
    };
    let live: Vec<&InstanceName> =
        core.registry.live_instances(now_ms).map(|known| &known.record.instance).collect();
    for known in core.registry.live_endpoints(now_ms) {
        let record = known.record.clone();
        let granted = core.grants.get(&record.endpoint).filter(|(_, until_ms)| now_ms < *until_ms);
        let granted_slots = match granted {
            Some((slots, _)) => *slots,
            None => equal_share(&record, &live, &core.own_record.instance),
        };
        let lease_until_ms = known.made_ms + ENDPOINT_LEASE_MS;
        let name = record.endpoint.clone();
        view.endpoints.insert(name, LiveEndpoint { record, lease_until_ms, granted_slots });
    }
    view
}

/// Returns an instance's equal share of an endpoint's slots, used without a grant of the leader.
fn equal_share(record: &EndpointRecord, live: &[&InstanceName], own: &InstanceName) -> u32 {
    let Some(index) = live.iter().position(|name| *name == own) else { return 0 };
    let count = live.len() as u32;
    let name_hash = record
        .endpoint
        .as_str()
        .bytes()
        .fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let rotated = (index as u32 + name_hash) % count;
    record.slots / count + u32::from(rotated < record.slots % count)
}

/// Returns, for each service, the highest shed floor that other live instances publish.
fn peer_shed_floors(core: &Core, now_ms: u64) -> BTreeMap<ServiceName, Tier> {
    let mut floors: BTreeMap<ServiceName, Tier> = BTreeMap::new();
    for known in core.registry.live_instances(now_ms) {
        if known.record.instance == core.own_record.instance {
            continue;
        }
        for (service, tier) in &known.record.shed_floor {
            let floor = floors.entry(service.clone()).or_insert(*tier);
            *floor = (*floor).max(*tier);
        }
    }
    floors
}
