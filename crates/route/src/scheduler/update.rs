//! Takes the control state's view.

use super::Scheduler;
use crate::Decision;
use crate::endpoint::{Breaker, Endpoint, PrefixBelief};
use lycheehub_control::View;
use lycheehub_control::view::LiveEndpoint;
use lycheehub_types::{EndpointName, ServiceName};

impl Scheduler {
    /// Takes a new view: endpoints, grants, versions and floors.
    pub fn update(&mut self, now_ms: u64, view: &View) -> Vec<Decision> {
        for (service, share) in &view.shares {
            let pool = self.pools.entry(service.clone()).or_default();
            pool.versions.update(share.clone());
        }
        for (service, pool) in &mut self.pools {
            pool.heard_floor = view.shed_floor.get(service).copied();
        }
        for (name, live) in &view.endpoints {
            self.take_endpoint(name, live);
        }
        self.drop_absent(view);
        self.tick(now_ms)
    }

    /// Takes an endpoint's event on its prompt cache.
    pub fn cache_event(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        number: u64,
        stored: &[u64],
        dropped: &[u64],
    ) {
        let Some(key) = self.names.get(endpoint) else { return };
        let Some(endpoint) = self.endpoints.get_mut(*key) else { return };
        endpoint.prefix.event(now_ms, number, stored, dropped);
    }

    fn take_endpoint(&mut self, name: &EndpointName, live: &LiveEndpoint) {
        if let Some(known) = self.names.get(name).and_then(|key| self.endpoints.get_mut(*key)) {
            if known.record.incarnation != live.record.incarnation {
                known.prefix = PrefixBelief::default();
                known.breaker = Breaker::default();
            }
            let moved = known.record.service != live.record.service;
            known.record = live.record.clone();
            known.lease_until_ms = live.lease_until_ms;
            known.granted_slots = live.granted_slots;
            if !moved {
                return;
            }
            self.leave_pools(name);
        }
        self.join_pool(name, live);
    }

    fn join_pool(&mut self, name: &EndpointName, live: &LiveEndpoint) {
        let service: ServiceName = live.record.service.clone();
        let pool = self.pools.entry(service).or_default();
        let speed = pool.hardware.get(&live.record.hardware).copied().unwrap_or_default();
        let key = self.endpoints.insert(Endpoint {
            record: live.record.clone(),
            lease_until_ms: live.lease_until_ms,
            granted_slots: live.granted_slots,
            in_flight: Default::default(),
            speed,
            prefix: PrefixBelief::default(),
            breaker: Breaker::default(),
        });
        pool.endpoints.push(key);
        self.names.insert(name.clone(), key);
    }

    fn leave_pools(&mut self, name: &EndpointName) {
        let Some(key) = self.names.remove(name) else { return };
        for pool in self.pools.values_mut() {
            pool.endpoints.retain(|known| *known != key);
        }
        self.endpoints.remove(key);
    }

    /// Forgets endpoints that the view no longer holds and on which nothing runs.
    fn drop_absent(&mut self, view: &View) {
        let absent = |name: &&EndpointName| !view.endpoints.contains_key(*name);
        let idle = |name: &&EndpointName| {
            self.endpoint(name).is_none_or(|endpoint| endpoint.in_flight() == 0)
        };
        let gone: Vec<EndpointName> =
            self.names.keys().filter(absent).filter(idle).cloned().collect();
        for name in &gone {
            self.leave_pools(name);
        }
    }
}
