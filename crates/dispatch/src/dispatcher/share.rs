//! Divides the slots of endpoints between dispatchers that do not communicate.
//!
//! Load pattern: there is no leader, and there are many more instances than slots per endpoint. If
//! every instance used one slot of every endpoint, the endpoints would receive several times their
//! capacity and no request would be on time. Each instance therefore uses whole slots on some
//! endpoints and none on others, chosen by a hash of the endpoint name and the instance's salt, so
//! that each endpoint receives about as many requests as it has slots.
//!
//! Load pattern: short requests exceed the capacity of a service that is not an engine. Between the
//! end of a request and the start of the next one, messages travel to the caller's instance, to the
//! dispatcher and back, and the slot would be idle for some milliseconds. More requests are
//! therefore sent than there are slots; the excess waits at the endpoint for a fraction of a
//! request's duration.

use super::{Dispatcher, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::options::Options;
use lycheehub_types::EndpointName;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The excess of requests over slots at an endpoint that is not an engine, as a fraction of the
/// slots. The message delays are about this fraction of the duration of a short request.
const OVERSUBSCRIPTION: f64 = 0.25;
/// The part of the slots that instances without a leader use of an endpoint that must not reject
/// requests: some of them still run what others have given up on.
const SPARING_FACTOR: f64 = 0.75;

impl Dispatcher {
    /// Recomputes how many slots of each endpoint this dispatcher may use.
    pub(super) fn assign_slots(&mut self) {
        for service in self.services.values() {
            assign_service_slots(service, &mut self.endpoints, &self.options);
        }
    }
}

fn assign_service_slots(
    service: &Service,
    endpoints: &mut SlotMap<EndpointKey, Endpoint>,
    options: &Options,
) {
    let (share, salt) = (options.slot_share.min(1.0), options.slot_salt);
    let sparing_share = if options.sees_all_requests { share } else { share * SPARING_FACTOR };
    let per_slot = if service.engine.is_some() { 1.0 } else { 1.0 + OVERSUBSCRIPTION };
    let mut lowest: Option<(f64, EndpointKey)> = None;
    let mut slots = 0;
    for key in &service.endpoints {
        let endpoint = &mut endpoints[*key];
        let drawn = draw(endpoint.name(), salt);
        let exact = (f64::from(endpoint.record.slots) * per_slot).ceil() * share;
        endpoint.slot_limit = whole_slots(exact, drawn);
        let sparing = f64::from(endpoint.record.slots) * sparing_share;
        endpoint.sparing_slot_limit = whole_slots(sparing, drawn).min(endpoint.slot_limit);
        slots += endpoint.slot_limit;
        if lowest.is_none_or(|(other, _)| drawn < other) {
            lowest = Some((drawn, *key));
        }
    }
    // At least one slot is needed to serve any request.
    if let Some((_, key)) = lowest.filter(|_| slots == 0) {
        endpoints[key].slot_limit = 1;
    }
    let sparing = service.endpoints.iter().map(|key| endpoints[*key].sparing_slot_limit);
    if let Some((_, key)) = lowest.filter(|_| sparing.sum::<usize>() == 0) {
        endpoints[key].sparing_slot_limit = 1;
    }
}

/// Rounds `exact` to whole slots: up if `drawn`, between 0 and 1, is below its fraction.
fn whole_slots(exact: f64, drawn: f64) -> usize {
    exact as usize + usize::from(drawn < exact.fract())
}

/// Returns a pseudo-random number between 0 and 1 that is constant for an endpoint and a salt.
pub(super) fn draw(name: &EndpointName, salt: u64) -> f64 {
    const BITS: u32 = 53;
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), salt);
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
