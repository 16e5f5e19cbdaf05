//! Stand-in endpoints.

mod announce;
mod cache;
mod faults;
mod generate;
mod orders;
mod plain;
mod records;
mod server;

pub use faults::Faults;
pub use generate::token_text;
pub use records::{Ordered, Ran, Records, Totals};
pub use server::Endpoint;

use lycheehub_types::EndpointKind;

/// How a stand-in behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// The endpoint's name.
    pub name: String,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// The hardware generation.
    pub hardware: String,
    /// Where it runs.
    pub failure_domain: String,
    /// How many requests it is meant to run at once.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// Whether it takes orders to load versions.
    pub takes_orders: bool,
    /// How long it takes to load a version, in milliseconds.
    pub load_ms: u64,
    /// Where it listens, as `address:port`.
    pub listen: String,
    /// The instances that it announces itself to in turn, as `address:port`.
    pub announce_to: Vec<String>,
    /// The key of its announcements.
    pub key: String,
    /// How often it announces itself, in milliseconds.
    pub announce_ms: u64,
    /// Milliseconds per generated token of one request alone.
    pub token_ms: f64,
    /// Prompt tokens prefilled in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// How much slower a full batch is than a single request.
    pub crowding: f64,
    /// How many blocks of prompts are cached.
    pub cache_blocks: usize,
    /// The seed of its failures.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine-1".to_owned(),
            kind: EndpointKind::Engine,
            service: "label-writer".to_owned(),
            version: "v1".to_owned(),
            hardware: "gen1".to_owned(),
            failure_domain: "salto".to_owned(),
            slots: 8,
            fencing: false,
            takes_orders: false,
            load_ms: 300,
            listen: "127.0.0.1:0".to_owned(),
            announce_to: Vec::new(),
            key: "try-endpoint".to_owned(),
            announce_ms: 500,
            token_ms: 2.0,
            prefill_tokens_per_ms: 20.0,
            crowding: 0.5,
            cache_blocks: 512,
            seed: 1,
        }
    }
}
