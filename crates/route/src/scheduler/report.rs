//! The scheduler's report to the control state.

use super::Scheduler;
use lycheehub_control::moves::Observations;
use lycheehub_control::slots::Demand;
use lycheehub_types::{EndpointName, ServiceName, Tier};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The capacity that the scheduler demands, and what it observed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demands {
    /// Slots in use and wanted, by endpoint.
    pub endpoints: BTreeMap<EndpointName, Demand>,
    /// The lowest tier admitted, for each service whose requests this instance is shedding itself.
    pub shed_floor: BTreeMap<ServiceName, Tier>,
    /// Observations of versions since the last call.
    pub observations: Observations,
    /// The moves whose candidate version this instance stopped sending to since the last call, each
    /// with the reason.
    pub trips: BTreeMap<SmolStr, SmolStr>,
    /// Whether requests are waiting because no endpoint is open to them.
    pub starved: bool,
}

impl Scheduler {
    /// Returns the demands and clears the collected observations and trips.
    pub fn demands(&mut self, now_ms: u64) -> Demands {
        let mut demands = Demands {
            observations: std::mem::take(&mut self.observations),
            trips: std::mem::take(&mut self.trips),
            ..Demands::default()
        };
        for (service, pool) in &self.pools {
            let own_floor = pool.floor.filter(|(_, until_ms)| now_ms < *until_ms);
            if let Some((floor, _)) = own_floor {
                demands.shed_floor.insert(service.clone(), floor);
            }
            let waiting = pool.queue.len();
            demands.starved |= waiting > 0;
            let endpoint_count = pool.endpoints.len().max(1);
            for key in &pool.endpoints {
                let Some(endpoint) = self.endpoints.get(*key) else { continue };
                let mut demand = Demand { in_use: endpoint.in_flight(), ..Demand::default() };
                for rank in 0..Tier::COUNT {
                    let queued =
                        pool.queue.waiting(Tier::new(rank)).div_ceil(endpoint_count) as u32;
                    let index = usize::from(rank);
                    demand.wanted[index] = endpoint.in_flight[index] + queued;
                }
                demands.endpoints.insert(endpoint.record.endpoint.clone(), demand);
            }
        }
        demands
    }
}
