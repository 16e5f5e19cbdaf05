//! What the scheduler tells the control state.

use super::Scheduler;
use lycheehub_control::moves::Observations;
use lycheehub_control::slots::Demand;
use lycheehub_types::{EndpointName, ServiceName, Tier};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// What the scheduler wants and has seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demands {
    /// Slots used and wanted, by endpoint.
    pub endpoints: BTreeMap<EndpointName, Demand>,
    /// The lowest tier admitted, for each service that this instance itself sheds.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
    /// What was observed of versions since the last call.
    pub observations: Observations,
    /// The moves whose version this instance stopped sending to, since the last call.
    pub trips: BTreeMap<SmolStr, SmolStr>,
    /// Requests wait while this instance has no open slot.
    pub starved: bool,
}

impl Scheduler {
    /// Returns what the control state needs to know, and starts new observations.
    pub fn demands(&mut self, now_ms: u64) -> Demands {
        let mut demands = Demands {
            observations: std::mem::take(&mut self.observations),
            trips: std::mem::take(&mut self.trips),
            ..Demands::default()
        };
        for (service, pool) in &self.pools {
            let own = pool.floor.filter(|(_, until_ms)| now_ms < *until_ms);
            if let Some((floor, _)) = own {
                demands.shed_floor.insert(service.clone(), floor);
            }
            let waiting = pool.queue.len();
            demands.starved |= waiting > 0;
            let spread = pool.endpoints.len().max(1);
            for key in &pool.endpoints {
                let Some(endpoint) = self.endpoints.get(*key) else { continue };
                let mut demand = Demand { in_use: endpoint.in_flight(), ..Demand::default() };
                for rank in 0..Tier::COUNT {
                    let queued = pool.queue.waiting(Tier::new(rank)).div_ceil(spread) as u32;
                    let at = usize::from(rank);
                    demand.wanted[at] = endpoint.in_flight[at] + queued;
                }
                demands.endpoints.insert(endpoint.record.endpoint.clone(), demand);
            }
        }
        demands
    }
}
