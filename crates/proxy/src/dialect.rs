//! The interface to the header fields of a deployment.

use crate::http1::{Headers, RequestHead, ResponseHead};
use lycheehub_dispatch::PrefixPart;
use lycheehub_types::{AccountName, EndpointName};
use smol_str::SmolStr;

/// Metadata that a caller sends in the header fields of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// The request id; each retry by the caller has its own.
    pub id: SmolStr,
    /// The caller's API key.
    pub key: Option<SmolStr>,
    /// Time for which the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Length of the prompt in tokens, if the request declares it.
    pub prompt_tokens: Option<u32>,
    /// Maximum output length in tokens, if the request declares it.
    pub output_max_tokens: Option<u32>,
    /// Expected output length in tokens, if the caller gives an estimate.
    pub output_hint_tokens: Option<u32>,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<SmolStr>,
}

/// Metadata that is added to a request sent to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedFields {
    /// The client account.
    pub account: Option<AccountName>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_left_ms: u64,
    /// The endpoint that the request is addressed to.
    pub endpoint: EndpointName,
    /// The id of the last event that the caller has received, if a stream is resumed.
    pub last_event_id: Option<SmolStr>,
}

/// Metadata in the header fields of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// The id of the request that this is the response to.
    pub id: Option<SmolStr>,
    /// The endpoint did not run the request.
    pub not_run: bool,
    /// The response comes from another endpoint than the one addressed.
    pub misdirected: bool,
    /// The endpoint is shutting down and accepts no new requests.
    pub leaving: bool,
    /// The requests per second that the endpoint accepts from all instances together, if it states a
    /// limit.
    pub limit_per_s: Option<f64>,
    /// The requests per second that the endpoint can reject from all instances together, if it states
    /// so; it fails if it must reject more.
    pub rejections_per_s: Option<f64>,
}

/// Reads and writes the header fields of a deployment.
pub trait Dialect: std::fmt::Debug {
    /// Reads the metadata of a caller's request.
    fn read_request(&self, head: &RequestHead) -> RequestFields;

    /// Returns whether a header field is removed from callers' requests because callers may not set
    /// it.
    fn is_stripped(&self, name: &str) -> bool;

    /// Adds the metadata for the endpoint to a forwarded request.
    fn add_forwarded(&self, headers: &mut Headers, fields: &ForwardedFields);

    /// Reads the metadata of an endpoint's response.
    fn read_response(&self, head: &ResponseHead) -> ResponseFields;

    /// Adds the metadata of a response that this instance generates itself.
    fn add_local(&self, headers: &mut Headers, id: &str);
}
