//! Applies control-state views and cache events.

use super::Scheduler;
use crate::Decision;
use crate::endpoint::{Breaker, Endpoint, PrefixIndex};
use lycheehub_control::View;
use lycheehub_control::view::LiveEndpoint;
use lycheehub_dispatch::crashes::EndpointStart;
use lycheehub_types::{EndpointName, EndpointRecord, ServiceName};

impl Scheduler {
    /// Applies a new view: endpoints, granted slots, version shares and shed floors.
    pub fn update(&mut self, now_ms: u64, view: &View) -> Vec<Decision> {
        for (service, share) in &view.shares {
            let pool = self.pools.entry(service.clone()).or_default();
            pool.split.update(share.clone());
        }
        for (service, pool) in &mut self.pools {
            pool.remote_floor = view.shed_floor.get(service).copied();
        }
        for (name, live) in &view.endpoints {
            self.apply_endpoint(name, live);
        }
        self.remove_absent_endpoints(view);
        self.tick(now_ms)
    }

    /// Applies a prefix-cache event of an endpoint; `sequence` numbers the events of that endpoint.
    pub fn cache_event(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        sequence: u64,
        stored: &[u64],
        dropped: &[u64],
    ) {
        let Some(key) = self.keys_by_name.get(endpoint) else { return };
        let Some(endpoint) = self.endpoints.get_mut(*key) else { return };
        endpoint.prefix.apply_event(now_ms, sequence, stored, dropped);
    }

    /// Adds an endpoint or updates a known one.
    ///
    /// A new incarnation is a restarted process: its cache index and breaker are reset.
    fn apply_endpoint(&mut self, name: &EndpointName, live: &LiveEndpoint) {
        if let Some(known) =
            self.keys_by_name.get(name).and_then(|key| self.endpoints.get_mut(*key))
        {
            if known.record.incarnation != live.record.incarnation {
                self.crashes.service(&known.record.service).record_gone(&start_of(&known.record));
                known.prefix = PrefixIndex::default();
                known.breaker = Breaker::default();
            }
            let service_changed = known.record.service != live.record.service;
            known.record = live.record.clone();
            known.lease_until_ms = live.lease_until_ms;
            known.granted_slots = live.granted_slots;
            if !service_changed {
                return;
            }
            self.remove_endpoint(name);
        }
        self.add_endpoint(name, live);
    }

    fn add_endpoint(&mut self, name: &EndpointName, live: &LiveEndpoint) {
        let service: ServiceName = live.record.service.clone();
        let pool = self.pools.entry(service).or_default();
        let speed = pool.speed_by_hardware.get(&live.record.hardware).copied().unwrap_or_default();
        let key = self.endpoints.insert(Endpoint {
            record: live.record.clone(),
            lease_until_ms: live.lease_until_ms,
            granted_slots: live.granted_slots,
            in_flight: Default::default(),
            speed,
            prefix: PrefixIndex::default(),
            breaker: Breaker::default(),
        });
        pool.endpoints.push(key);
        self.keys_by_name.insert(name.clone(), key);
    }

    fn remove_endpoint(&mut self, name: &EndpointName) {
        let Some(key) = self.keys_by_name.remove(name) else { return };
        for pool in self.pools.values_mut() {
            pool.endpoints.retain(|known| *known != key);
        }
        if let Some(removed) = self.endpoints.remove(key) {
            let record = &removed.record;
            self.crashes.service(&record.service).record_gone(&start_of(record));
        }
    }

    /// Removes endpoints that are absent from the view and have no requests in flight.
    fn remove_absent_endpoints(&mut self, view: &View) {
        let absent = |name: &&EndpointName| !view.endpoints.contains_key(*name);
        let idle = |name: &&EndpointName| {
            self.endpoint(name).is_none_or(|endpoint| endpoint.in_flight() == 0)
        };
        let gone: Vec<EndpointName> =
            self.keys_by_name.keys().filter(absent).filter(idle).cloned().collect();
        for name in &gone {
            self.remove_endpoint(name);
        }
    }
}

fn start_of(record: &EndpointRecord) -> EndpointStart {
    EndpointStart { endpoint: record.endpoint.clone(), incarnation: record.incarnation }
}
