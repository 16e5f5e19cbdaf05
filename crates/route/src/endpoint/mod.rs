//! The state of an endpoint as this instance knows it.

mod breaker;
mod prefix;

pub use breaker::Breaker;
pub use prefix::{BLOCK_BYTES, BLOCK_TOKENS, PrefixIndex, block_digests};

use crate::work::Speed;
use lycheehub_types::{EndpointRecord, Tier};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies an endpoint within the scheduler.
    pub struct EndpointKey;
}

/// The state of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The latest record that the endpoint announced.
    pub record: EndpointRecord,
    /// When the endpoint's lease expires, in milliseconds of the local clock.
    pub lease_until_ms: u64,
    /// The number of slots granted to this instance.
    pub granted_slots: u32,
    /// Requests that this instance has in flight at the endpoint, by tier rank.
    pub in_flight: [u32; Tier::COUNT as usize],
    /// The speed learned from completed requests.
    pub speed: Speed,
    /// The estimated content of the endpoint's prefix cache.
    pub prefix: PrefixIndex,
    /// The circuit breaker.
    pub breaker: Breaker,
}

impl Endpoint {
    /// Returns the number of requests that this instance has in flight at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Returns whether the endpoint's lease is valid at `now_ms` and the endpoint is not leaving.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms && !self.record.leaving
    }

    /// Returns whether the endpoint may receive another request at `now_ms`: it is live, has a free
    /// granted slot, and its breaker allows the request.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_live(now_ms)
            && self.in_flight() < self.granted_slots
            && self.breaker.allows(now_ms, self.in_flight())
    }

    /// Returns the expected time of a request at this endpoint, in milliseconds.
    ///
    /// The load that the endpoint reports lags behind, so the running requests are taken as no
    /// fewer than this instance has in flight. The reported internal queue only adds a correction.
    pub fn expected_ms(&self, prompt_tokens: u64, cached_tokens: u64, tokens: u64) -> f64 {
        let prefill_tokens = prompt_tokens.saturating_sub(cached_tokens);
        let own_ms = self.speed.request_ms(prefill_tokens, tokens);
        let slots = f64::from(self.record.slots.max(1));
        let occupancy = f64::from(self.in_flight().max(self.record.load.running)) / slots;
        let waiting_ms = f64::from(self.record.load.waiting) / slots * own_ms;
        own_ms * (1.0 + occupancy / 2.0) + waiting_ms
    }
}
