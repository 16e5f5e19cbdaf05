//! Spares endpoints that fail if they must reject too many requests.

use super::Dispatcher;
use crate::endpoints::{
    Endpoint, EndpointKey, Room, Statement, is_current, is_on_the_way, on_the_way_max,
};
use lycheehub_types::EndpointName;

impl Dispatcher {
    /// Returns how many requests a second an endpoint can reject, if it is limited. The endpoints of a
    /// service are limited at the same time, so what one states holds for all.
    fn rejections_per_s(&self, endpoint: &Endpoint) -> Option<f64> {
        self.services.get(&endpoint.record.service)?.rejections_per_s
    }

    /// Returns whether an endpoint can take one more request without a risk to fail by rejecting.
    pub(super) fn has_room(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let Some(per_s) = self.rejections_per_s(endpoint) else { return true };
        let running = endpoint.running.values();
        let on_the_way = running.filter(|running| is_on_the_way(now_ms, running.since_ms)).count();
        let known = endpoint.room.limit(now_ms).unwrap_or(usize::MAX);
        let room = known.min(endpoint.sparing_slot_limit);
        !endpoint.room.is_closed(now_ms)
            && endpoint.running.len() < room
            && on_the_way < on_the_way_max(per_s, self.options.rate_share)
    }

    /// Records that an endpoint rejected a request.
    pub(super) fn record_rejection(&mut self, now_ms: u64, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let Some(per_s) = self.rejections_per_s(endpoint) else { return };
        let share = self.options.rate_share;
        let endpoint = &mut self.endpoints[key];
        let taken = endpoint.running.len();
        endpoint.room.record_rejection(now_ms, taken, per_s, share);
    }

    /// Records that an endpoint has stated how many requests a second it can reject.
    pub(super) fn add_rejection_limit(&mut self, name: &EndpointName, per_s: f64) {
        let Some(endpoint) = self.by_name.get(name).and_then(|key| self.endpoints.get(*key)) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&endpoint.record.service) {
            let known = service.rejections_per_s.unwrap_or(per_s);
            service.rejections_per_s = Some(known.min(per_s));
        }
    }

    /// Updates how many requests a second the endpoints of each service can reject.
    pub(super) fn update_rejection_limits(&mut self, now_ms: u64) {
        for service in self.services.values_mut() {
            if service.rejections_per_s.is_none() {
                continue;
            }
            let names = service.endpoints.iter().map(|key| self.endpoints[*key].name());
            let limits = names.filter_map(|name| self.notices.rejections(name));
            let current = limits.filter(|limit| is_current(now_ms, limit));
            service.rejections_per_s = current.map(Statement::per_s).min_by(f64::total_cmp);
            if service.rejections_per_s.is_none() {
                // How much room there is again is not known.
                let rooms = service.endpoints.iter();
                rooms.for_each(|key| self.endpoints[*key].room = Room::default());
            }
        }
    }
}
