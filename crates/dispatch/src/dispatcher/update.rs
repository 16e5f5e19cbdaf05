//! Updates the services, client accounts and endpoints of the dispatcher.

use super::{DISCOVERY_MS, Dispatcher};
use crate::endpoints::{Endpoint, EndpointKey, Speed};
use crate::job::{JobId, Reason};
use crate::refusal::RefusalBasis;
use lycheehub_routes::{Document, RouteSpec, ServiceSpec};
use lycheehub_types::{EndpointName, EndpointRecord, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the longest pause that the routes to a service allow, by their rank, in milliseconds.
fn pause_objectives_ms(document: &Document, service: &ServiceName) -> BTreeMap<u8, u64> {
    let mut objectives_ms = BTreeMap::new();
    let leads_there = |route: &&RouteSpec| route.targets.iter().any(|to| to.service == *service);
    for route in document.routes.iter().filter(leads_there) {
        let Some(gap_ms) = route.gap_objective_ms else { continue };
        let objective_ms = objectives_ms.entry(route.rank).or_insert(gap_ms);
        *objective_ms = gap_ms.min(*objective_ms);
    }
    objectives_ms
}

impl Dispatcher {
    /// Replaces the route document: its services and the quotas of its client accounts.
    pub fn set_document(&mut self, now_ms: u64, document: &Document) {
        let quotas = document.accounts.iter();
        self.accounts =
            quotas.filter_map(|account| Some((account.name.clone(), account.quota?))).collect();
        let known: BTreeMap<&ServiceName, &ServiceSpec> =
            document.services.iter().map(|service| (&service.name, service)).collect();
        for (name, spec) in &known {
            let service = self.services.entry((*name).clone()).or_default();
            service.engine = spec.engine;
            service.cold_start = spec.cold_start;
            service.pause_objectives_ms = pause_objectives_ms(document, name);
        }
        let gone: Vec<ServiceName> =
            self.services.keys().filter(|name| !known.contains_key(name)).cloned().collect();
        for name in gone {
            self.remove_service(&name);
        }
        let names: Vec<EndpointName> = self.by_name.keys().cloned().collect();
        for name in names {
            self.link_to_service(&name);
            if let Some(key) = self.by_name.get(&name).copied() {
                self.update_warmth(now_ms, key);
            }
        }
        self.assign_slots();
        self.tick(now_ms);
    }

    fn remove_service(&mut self, name: &ServiceName) {
        const RETRY_AFTER_MS: u64 = 1_000;
        let Some(mut service) = self.services.remove(name) else { return };
        for queued in service.queue.take_if(|_| true) {
            self.waiting.remove(&queued.job.job_id);
            let basis = RefusalBasis::default();
            self.refuse_queued(queued, Reason::NoEndpoint, RETRY_AFTER_MS, basis);
        }
    }

    /// Replaces the list of live endpoints; endpoints missing from it are removed.
    pub fn set_endpoints<'a>(
        &mut self,
        now_ms: u64,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        self.discovery_ends_ms.get_or_insert(now_ms + DISCOVERY_MS);
        let mut present = BTreeSet::new();
        for record in records {
            present.insert(record.endpoint.clone());
            self.set_endpoint(now_ms, record);
        }
        let gone: Vec<EndpointName> =
            self.by_name.keys().filter(|name| !present.contains(*name)).cloned().collect();
        for name in gone {
            self.remove_endpoint(&name);
        }
        self.assign_slots();
        self.tick(now_ms);
    }

    fn set_endpoint(&mut self, now_ms: u64, record: &EndpointRecord) {
        let known = self.by_name.get(&record.endpoint).copied();
        let known = known.map(|key| (key, &mut self.endpoints[key]));
        match known {
            Some((key, known))
                if known.record.incarnation == record.incarnation
                    && known.record.service == record.service =>
            {
                known.record = record.clone();
                self.update_availability(now_ms, key);
            }
            _ => {
                self.remove_endpoint(&record.endpoint);
                self.notices.set_incarnation(now_ms, &record.endpoint, record.incarnation);
                let mut endpoint = Endpoint::new(record.clone(), None, self.initial_speed(record));
                endpoint.announced_leaving = self.notices.is_leaving(&record.endpoint);
                let key = self.endpoints.insert(endpoint);
                self.by_name.insert(record.endpoint.clone(), key);
                self.link_to_service(&record.endpoint);
                self.update_availability(now_ms, key);
            }
        }
    }

    /// Applies to an endpoint the cold time that its record states, and the evacuations in force.
    fn update_availability(&mut self, now_ms: u64, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        if endpoint.record.cold_ms > 0 || endpoint.warmth.is_cold(now_ms) {
            self.update_warmth(now_ms, key);
        }
        if !self.evacuated.is_empty() || self.endpoints[key].is_evacuated {
            self.update_evacuated(now_ms, key);
        }
    }

    fn initial_speed(&self, record: &EndpointRecord) -> Speed {
        self.services.get(&record.service).map_or_else(Speed::default, |service| service.speed)
    }

    /// Adds an endpoint to its service, if the service is known.
    fn link_to_service(&mut self, name: &EndpointName) {
        let Some(key) = self.by_name.get(name).copied() else { return };
        let endpoint = &mut self.endpoints[key];
        let Some(service) = self.services.get_mut(&endpoint.record.service) else { return };
        endpoint.memory_tokens = service.engine.map(|engine| engine.memory_tokens);
        endpoint.tokens_per_event = service.tokens_per_event();
        service.endpoints.insert(key);
    }

    fn remove_endpoint(&mut self, name: &EndpointName) {
        let Some(key) = self.by_name.remove(name) else { return };
        self.record_gone_for_crashes(key);
        self.paths.forget_endpoint(key);
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        self.unlink_endpoint(&endpoint.record.service, key);
        let job_ids: Vec<JobId> = endpoint.running.into_keys().collect();
        for job_id in job_ids {
            self.placed.remove(&job_id);
        }
    }

    fn unlink_endpoint(&mut self, service: &ServiceName, key: EndpointKey) {
        if let Some(service) = self.services.get_mut(service) {
            service.endpoints.remove(&key);
        }
    }
}
