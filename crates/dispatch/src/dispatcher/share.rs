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

use super::{Dispatcher, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use lycheehub_types::EndpointName;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many more requests than slots are sent to an endpoint that is no engine, as a part of them:
/// the ways take about that part of the time of a short request.
const SENT_AHEAD: f64 = 0.25;

impl Dispatcher {
    /// Works out anew which slots of endpoints fall to this dispatcher.
    pub(super) fn share_out(&mut self) {
        let share = self.options.slot_share.min(1.0);
        let salt = self.options.slot_salt;
        for service in self.services.values() {
            share_out_service(service, &mut self.endpoints, share, salt);
        }
    }
}

fn share_out_service(
    service: &Service,
    endpoints: &mut SlotMap<EndpointKey, Endpoint>,
    share: f64,
    salt: u64,
) {
    let per_slot = if service.engine.is_some() { 1.0 } else { 1.0 + SENT_AHEAD };
    let mut lowest: Option<(f64, EndpointKey)> = None;
    let mut slots = 0;
    for key in &service.endpoints {
        let endpoint = &mut endpoints[*key];
        let drawn = draw(endpoint.name(), salt);
        let exact = (f64::from(endpoint.record.slots) * per_slot).ceil() * share;
        endpoint.own_slots = whole_slots(exact, drawn);
        slots += endpoint.own_slots;
        if lowest.is_none_or(|(other, _)| drawn < other) {
            lowest = Some((drawn, *key));
        }
    }
    // Some slot is needed to serve at all.
    if let Some((_, key)) = lowest.filter(|_| slots == 0) {
        endpoints[key].own_slots = 1;
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
