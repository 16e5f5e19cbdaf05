//! The border to the names that a deployment gives to header fields.

use crate::http1::{Headers, RequestHead, ResponseHead};
use lycheehub_dispatch::PrefixPart;
use lycheehub_types::{AccountName, EndpointName};
use smol_str::SmolStr;

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// The id of this attempt of the caller.
    pub id: SmolStr,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The length of the prompt, in tokens, where there is one.
    pub prompt_tokens: Option<u32>,
    /// The longest answer, in tokens, where the request tells it.
    pub output_max_tokens: Option<u32>,
    /// The likely length of the answer, in tokens, where the caller has an idea of it.
    pub output_hint_tokens: Option<u32>,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// The id of the last event that the caller has, where it goes on with a stream.
    pub last_event_id: Option<SmolStr>,
}

/// What an endpoint is told beside what the caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct OnwardFields {
    /// The client account.
    pub account: Option<AccountName>,
    /// The time left, in milliseconds.
    pub deadline_left_ms: u64,
    /// The endpoint that is meant.
    pub endpoint: EndpointName,
    /// The last event that the caller has been sent, where a stream goes on.
    pub last_event_id: Option<SmolStr>,
}

/// What an endpoint's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFields {
    /// The id of the request that it answers.
    pub id: Option<SmolStr>,
    /// The request has not run there.
    pub not_run: bool,
    /// Another endpoint than the one that was meant has answered.
    pub misdirected: bool,
    /// The endpoint leaves, and wants no new requests.
    pub leaving: bool,
}

/// The names of a deployment.
pub trait Dialect: std::fmt::Debug {
    /// Reads what a request says of itself.
    fn read_request(&self, head: &RequestHead) -> RequestFields;

    /// Tells whether a header field of callers is not passed on, since it is not theirs to set.
    fn is_kept_back(&self, name: &str) -> bool;

    /// Adds what an endpoint is told beside what the caller sent.
    fn add_onward(&self, headers: &mut Headers, fields: &OnwardFields);

    /// Reads what an endpoint's answer says of itself.
    fn read_answer(&self, head: &ResponseHead) -> AnswerFields;

    /// Adds what a caller is told beside an answer of this instance's own.
    fn add_own(&self, headers: &mut Headers, id: &str);
}
