//! Takes what is known of services, accounts and endpoints.

use super::{Dispatcher, LEARNING_MS};
use crate::endpoints::{Endpoint, EndpointKey, Speed};
use crate::job::{Reason, Ticket};
use lycheehub_routes::{Document, EngineSpec};
use lycheehub_types::{EndpointName, EndpointRecord, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

impl Dispatcher {
    /// Takes a route document: its services and the quotas of its accounts.
    pub fn take_document(&mut self, now_ms: u64, document: &Document) {
        let quotas = document.accounts.iter();
        self.accounts =
            quotas.filter_map(|account| Some((account.name.clone(), account.quota?))).collect();
        let known: BTreeMap<&ServiceName, Option<EngineSpec>> =
            document.services.iter().map(|service| (&service.name, service.engine)).collect();
        for (name, engine) in &known {
            self.services.entry((*name).clone()).or_default().engine = *engine;
        }
        let gone: Vec<ServiceName> =
            self.services.keys().filter(|name| !known.contains_key(name)).cloned().collect();
        for name in gone {
            self.drop_service(&name);
        }
        let names: Vec<EndpointName> = self.by_name.keys().cloned().collect();
        for name in names {
            self.describe(&name);
        }
        self.share_out();
        self.tick(now_ms);
    }

    fn drop_service(&mut self, name: &ServiceName) {
        const RETRY_AFTER_MS: u64 = 1_000;
        let Some(mut service) = self.services.remove(name) else { return };
        for waiting in service.queue.take_if(|_| true) {
            self.waiting.remove(&waiting.job.ticket);
            self.refuse_waiting(waiting, Reason::NoEndpoint, RETRY_AFTER_MS);
        }
    }

    /// Takes the endpoints that are known to be there; those left out are gone.
    pub fn take_endpoints<'a>(
        &mut self,
        now_ms: u64,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        self.learns_until_ms.get_or_insert(now_ms + LEARNING_MS);
        let mut present = BTreeSet::new();
        for record in records {
            present.insert(record.endpoint.clone());
            self.take_endpoint(record);
        }
        let gone: Vec<EndpointName> =
            self.by_name.keys().filter(|name| !present.contains(*name)).cloned().collect();
        for name in gone {
            self.drop_endpoint(&name);
        }
        self.share_out();
        self.tick(now_ms);
    }

    fn take_endpoint(&mut self, record: &EndpointRecord) {
        let known = self.by_name.get(&record.endpoint).map(|key| &mut self.endpoints[*key]);
        match known {
            Some(known)
                if known.record.incarnation == record.incarnation
                    && known.record.service == record.service =>
            {
                known.record = record.clone();
            }
            _ => {
                self.drop_endpoint(&record.endpoint);
                self.notices.take_incarnation(&record.endpoint, record.incarnation);
                let mut endpoint = Endpoint::new(record.clone(), None, self.speed_of_new(record));
                endpoint.said_leaving = self.notices.is_leaving(&record.endpoint);
                let key = self.endpoints.insert(endpoint);
                self.by_name.insert(record.endpoint.clone(), key);
                self.describe(&record.endpoint);
            }
        }
    }

    fn speed_of_new(&self, record: &EndpointRecord) -> Speed {
        self.services.get(&record.service).map_or_else(Speed::default, |service| service.speed)
    }

    /// Brings an endpoint together with its service.
    fn describe(&mut self, name: &EndpointName) {
        let Some(key) = self.by_name.get(name).copied() else { return };
        let endpoint = &mut self.endpoints[key];
        let Some(service) = self.services.get_mut(&endpoint.record.service) else { return };
        endpoint.memory_tokens = service.engine.map(|engine| engine.memory_tokens);
        service.endpoints.insert(key);
    }

    fn drop_endpoint(&mut self, name: &EndpointName) {
        let Some(key) = self.by_name.remove(name) else { return };
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        self.forget_key(&endpoint.record.service, key);
        let tickets: Vec<Ticket> = endpoint.running.into_keys().collect();
        for ticket in tickets {
            self.placed.remove(&ticket);
        }
    }

    fn forget_key(&mut self, service: &ServiceName, key: EndpointKey) {
        if let Some(service) = self.services.get_mut(service) {
            service.endpoints.remove(&key);
        }
    }
}
