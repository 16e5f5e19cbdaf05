//! Applies what endpoints announce of being cold.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use lycheehub_routes::ColdStart;
use lycheehub_types::ServiceName;

impl Dispatcher {
    /// Returns what the endpoints of a service bear after their start, if that is less than later.
    pub(super) fn cold_start_of(&self, service: &ServiceName) -> Option<ColdStart> {
        self.services.get(service)?.cold_start
    }

    /// Applies the cold time that an endpoint has announced.
    pub(super) fn update_warmth(&mut self, now_ms: u64, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let Some(cold_start) = self.cold_start_of(&endpoint.record.service) else { return };
        let pace = self.pace(endpoint.name());
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let left_ms = u64::from(endpoint.record.cold_ms);
        endpoint.warmth.state(now_ms, left_ms, cold_start, pace);
    }

    /// Assumes that an endpoint has just turned cold.
    pub(super) fn assume_cold(&mut self, now_ms: u64, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let Some(cold_start) = self.cold_start_of(&endpoint.record.service) else { return };
        let pace = self.pace(endpoint.name());
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.warmth.assume_cold(now_ms, cold_start, pace);
    }
}
