//! Requests as the scheduler sees them, and what it decides of them.

use crate::EndpointKey;
use lycheehub_types::{AccountName, EndpointName, Refusal, Route, ServiceName, Tier, Version};
use slotmap::new_key_type;
use smol_str::SmolStr;

new_key_type! {
    /// The key of a request that waits or runs.
    pub struct JobKey;
}

/// A request as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The service.
    pub service: ServiceName,
    /// The route below the service.
    pub route: Route,
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The account's weight against others of its tier.
    pub weight: u32,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The most tokens that may be generated.
    pub max_tokens: u64,
    /// Digests of the prompt's leading blocks, each covering all blocks before it.
    pub prefix: Vec<u64>,
    /// When the answer must be complete, in milliseconds by the local clock.
    pub deadline_ms: u64,
}

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint's key.
    pub endpoint: EndpointKey,
    /// The endpoint's name.
    pub name: EndpointName,
    /// Where the endpoint listens, as `address:port`.
    pub address: SmolStr,
    /// The version that it serves.
    pub version: Version,
    /// All endpoints that were compared.
    pub candidates: Vec<Candidate>,
    /// Why this one was taken.
    pub reason: &'static str,
    /// How long the request waited, in milliseconds.
    pub waited_ms: u64,
}

/// An endpoint that was compared, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub name: EndpointName,
    /// The time that the request would take there, in milliseconds.
    pub score_ms: u64,
    /// The prompt's tokens that it is believed to have cached.
    pub cached_tokens: u64,
    /// Requests of this instance that run there.
    pub in_flight: u32,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it.
    Dispatch(JobKey, Assignment),
    /// Give it up, with its final answer.
    Refuse(JobKey, Refusal),
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered {
        /// Generated tokens.
        tokens: u64,
        /// The time to the first token, in milliseconds; nothing where the answer came whole.
        first_token_ms: Option<f64>,
        /// The time to the last token, in milliseconds.
        total_ms: f64,
    },
    /// The endpoint failed.
    Failed,
    /// The caller left.
    Cancelled,
}
