//! What is known of each endpoint.

mod breaker;
mod prefix;

pub use breaker::Breaker;
pub use prefix::{BLOCK_BYTES, BLOCK_TOKENS, PrefixBelief, block_digests};

use crate::work::Speed;
use lycheehub_types::{EndpointRecord, Tier};
use slotmap::new_key_type;

new_key_type! {
    /// The key of an endpoint.
    pub struct EndpointKey;
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's newest record.
    pub record: EndpointRecord,
    /// When its lease ends, in milliseconds by the local clock.
    pub lease_until_ms: u64,
    /// The slots that this instance may use.
    pub granted_slots: u32,
    /// Requests of this instance that run there, by tier rank.
    pub in_flight: [u32; Tier::COUNT as usize],
    /// The speed learned.
    pub speed: Speed,
    /// The prompt prefixes that it is believed to have cached.
    pub prefix: PrefixBelief,
    /// Whether it is tried at all after failures.
    pub breaker: Breaker,
}

impl Endpoint {
    /// Returns how many requests of this instance run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Tells whether it may get new work at `now_ms`.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms && !self.record.leaving
    }

    /// Tells whether it may get one more request at `now_ms`.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_live(now_ms)
            && self.in_flight() < self.granted_slots
            && self.breaker.allows(now_ms, self.in_flight())
    }

    /// Returns the time that a request would take here, in milliseconds.
    ///
    /// The endpoint's own report of what waits inside it is a slow correction: it lags, and what
    /// this instance has in flight is known better.
    pub fn expected_ms(&self, prompt_tokens: u64, cached_tokens: u64, tokens: u64) -> f64 {
        let prefill_tokens = prompt_tokens.saturating_sub(cached_tokens);
        let own_ms = self.speed.request_ms(prefill_tokens, tokens);
        let slots = f64::from(self.record.slots.max(1));
        let crowding = f64::from(self.in_flight().max(self.record.load.running)) / slots;
        let waiting_ms = f64::from(self.record.load.waiting) / slots * own_ms;
        own_ms * (1.0 + crowding / 2.0) + waiting_ms
    }
}
