//! Applies what endpoints announce of being cold.

use super::Dispatcher;
use crate::endpoints::{EndpointKey, Pace};
use lycheehub_routes::ColdStart;

impl Dispatcher {
    /// Returns what an endpoint bears while it is cold, and how this dispatcher then paces its requests;
    /// `None` if the document does not tell.
    pub(super) fn cold_pace(&self, key: EndpointKey) -> Option<(ColdStart, Pace)> {
        let endpoint = self.endpoints.get(key)?;
        let cold_start = self.services.get(&endpoint.record.service)?.cold_start?;
        Some((cold_start, self.pace(endpoint.name())))
    }

    /// Applies the cold time that an endpoint has announced.
    pub(super) fn update_warmth(&mut self, now_ms: u64, key: EndpointKey) {
        let Some((cold_start, pace)) = self.cold_pace(key) else { return };
        let endpoint = &mut self.endpoints[key];
        let left_ms = u64::from(endpoint.record.cold_ms);
        endpoint.warmth.state(now_ms, left_ms, cold_start, pace);
    }

    /// Assumes that an endpoint has just turned cold.
    pub(super) fn assume_cold(&mut self, now_ms: u64, key: EndpointKey) {
        let Some((cold_start, pace)) = self.cold_pace(key) else { return };
        self.endpoints[key].warmth.assume_cold(now_ms, cold_start, pace);
    }
}
