//! Divides slots between dispatchers that know nothing of each other.
//!
//! Load pattern: no leader, and many more instances than an endpoint has slots. Were each to use one
//! slot of every endpoint, endpoints would get many times what they can run, and nothing would be on
//! time. So each instance uses whole slots at some endpoints and none at others, drawn by both their
//! names, so that about as many are used at each endpoint as it has.
//!
//! Load pattern: short requests above the capacity of a service that is no engine. Between the end of
//! one and the begin of the next lie the ways to the caller's instance and the dispatcher and back,
//! some milliseconds in which the slot would be idle. So some more are sent than there are slots;
//! they wait at the endpoint for a part of a request's time.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use lycheehub_types::{EndpointName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many more requests than slots are sent to an endpoint that is no engine, as a part of them:
/// the ways take about that part of the time of a short request.
const SENT_AHEAD: f64 = 0.25;

impl Dispatcher {
    /// Works out anew which slots of a service's endpoints fall to this dispatcher.
    pub(super) fn share_out(&mut self, name: &ServiceName) {
        let Some(service) = self.services.get(name) else { return };
        let share = self.options.slot_share.min(1.0);
        let per_slot = if service.engine.is_some() { 1.0 } else { 1.0 + SENT_AHEAD };
        let mut lowest: Option<(f64, EndpointKey)> = None;
        let mut slots = 0;
        for key in &service.endpoints {
            let endpoint = &mut self.endpoints[*key];
            let drawn = draw(endpoint.name(), self.options.slot_salt);
            let exact = (f64::from(endpoint.record.slots) * per_slot).ceil() * share;
            endpoint.own_slots = whole_slots(exact, drawn);
            slots += endpoint.own_slots;
            if lowest.is_none_or(|(other, _)| drawn < other) {
                lowest = Some((drawn, *key));
            }
        }
        // Some slot is needed to serve at all.
        if let Some((_, key)) = lowest.filter(|_| slots == 0) {
            self.endpoints[key].own_slots = 1;
        }
    }
}

/// Returns whole slots: the fraction of `exact` is rounded up where `drawn`, from 0 to 1, is below
/// it.
fn whole_slots(exact: f64, drawn: f64) -> usize {
    exact as usize + usize::from(drawn < exact.fract())
}

/// Draws a number from 0 to 1 that is the same each time for an endpoint at a dispatcher.
fn draw(name: &EndpointName, salt: u64) -> f64 {
    const BITS: u32 = 53;
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), salt);
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
