//! The scheduler's view of a request, and its decisions about it.

use crate::EndpointKey;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_types::{AccountName, EndpointName, Refusal, Route, ServiceName, Tier, Version};
use slotmap::new_key_type;
use smol_str::SmolStr;

new_key_type! {
    /// Identifies a waiting or running request.
    pub struct JobKey;
}

/// The properties of a request that scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The service that is requested.
    pub service: ServiceName,
    /// The route within the service.
    pub route: Route,
    /// The priority tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The account's fair-queueing weight among the accounts of its tier.
    pub weight: u32,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Chained digests of the prompt's leading blocks; each also covers all blocks before it.
    pub prefix: Vec<u64>,
    /// The identity of the request, if it is known.
    pub digest: Option<RequestDigest>,
    /// The time by which the answer must be complete, in milliseconds of the local clock.
    pub deadline_ms: u64,
}

/// The endpoint that a request is dispatched to, and why it was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint's key.
    pub endpoint: EndpointKey,
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's listening address, as `address:port`.
    pub address: SmolStr,
    /// The version that the endpoint serves.
    pub version: Version,
    /// All endpoints whose scores were compared.
    pub candidates: Vec<Candidate>,
    /// The rule by which the endpoint was chosen.
    pub reason: &'static str,
    /// How long the request waited, in milliseconds.
    pub waited_ms: u64,
}

/// The score of an endpoint that was considered for a request, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The expected time of the request at this endpoint, in milliseconds.
    pub score_ms: u64,
    /// The estimated number of prompt tokens that are in the endpoint's prefix cache.
    pub cached_tokens: u64,
    /// Requests that this instance has in flight at the endpoint.
    pub in_flight: u32,
}

/// What the caller of the scheduler must do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the assigned endpoint.
    Dispatch(JobKey, Assignment),
    /// Answer the request with this refusal; the scheduler has dropped it.
    Refuse(JobKey, Refusal),
}

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered {
        /// The number of generated tokens.
        tokens: u64,
        /// The time to the first token, in milliseconds; `None` if the answer was not streamed.
        first_token_ms: Option<f64>,
        /// The time to the last token, in milliseconds.
        total_ms: f64,
    },
    /// The endpoint failed to answer.
    Failed,
    /// The caller disconnected before the answer was complete.
    Cancelled,
}
