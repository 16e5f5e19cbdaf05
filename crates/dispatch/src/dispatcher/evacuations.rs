//! Sends nothing new to the endpoints of evacuated failure domains.
//!
//! Load pattern: a failure domain is emptied for work on it and taken back into use. Its endpoints may
//! have turned cold meanwhile, and their announcements of that may arrive after the order, so they are
//! assumed to be cold.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use lycheehub_types::FailureDomain;
use std::collections::BTreeSet;

impl Dispatcher {
    /// Replaces the set of evacuated failure domains. Requests that run there go on.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Dispatcher, Options};
    ///
    /// let mut dispatcher = Dispatcher::new(Options::default());
    /// dispatcher.set_evacuated(1_000, ["salto".into()].into());
    /// ```
    pub fn set_evacuated(&mut self, now_ms: u64, domains: BTreeSet<FailureDomain>) {
        if domains == self.evacuated {
            return;
        }
        self.evacuated = domains;
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            self.update_evacuated(now_ms, key);
        }
        self.tick(now_ms);
    }

    /// Applies the evacuated domains to an endpoint.
    pub(super) fn update_evacuated(&mut self, now_ms: u64, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let was_evacuated = endpoint.is_evacuated;
        endpoint.is_evacuated = self.evacuated.contains(&endpoint.record.failure_domain);
        if was_evacuated && !endpoint.is_evacuated {
            self.assume_cold(now_ms, key);
        }
    }
}
