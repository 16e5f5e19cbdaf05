//! A request on its way through the filters.

use crate::Gateway;
use crate::http::{bearer, header};
use http_types::{Method, Request};
use lycheehub_route::Job;
use lycheehub_types::{AccountName, EndpointKind, Tier};
use smol_str::SmolStr;

/// What is known of the account that sent a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// The account.
    pub account: AccountName,
    /// The highest tier that it may use.
    pub tier: Option<Tier>,
    /// Its weight against others of its tier.
    pub weight: u32,
}

/// What an endpoint is sent.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The job for the scheduler.
    pub job: Job,
    /// Whether model engines or plain services serve it.
    pub kind: EndpointKind,
    /// The path at the endpoint, with its query.
    pub path: String,
    /// The answer is a stream of server-sent events.
    pub stream: bool,
    /// The request may run again where it did not finish.
    pub idempotent: bool,
    /// A digest of the request, by which a key used for another request is known.
    pub fingerprint: u64,
}

/// A request on its way through the filters.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's number on this instance.
    pub request: u64,
    /// When it came, in milliseconds by the local clock.
    pub arrived_ms: u64,
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The body's content type.
    pub content_type: Option<SmolStr>,
    /// The account's key.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// The tier that the caller asks for.
    pub tier_asked: Option<SmolStr>,
    /// The time that the caller gives, in milliseconds.
    pub deadline_asked: Option<SmolStr>,
    /// Who sent it; set by a filter.
    pub caller: Caller,
    /// What an endpoint is sent; set by a filter.
    pub payload: Option<Payload>,
}

impl Exchange {
    /// Makes an exchange from the head of a caller's request.
    pub fn new(gateway: &Gateway, request: &Request) -> Self {
        let text = |name| header(request, name).map(SmolStr::new);
        let url = request.url();
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        Self {
            request: gateway.next_request(),
            arrived_ms: gateway.clock.now_ms(),
            method: request.method(),
            path: format!("{}{query}", url.path()),
            body: Vec::new(),
            content_type: text("content-type"),
            key: bearer(request).map(str::to_owned),
            idempotency_key: text("idempotency-key"),
            tier_asked: text("x-tier"),
            deadline_asked: text("x-deadline-ms"),
            caller: Caller::default(),
            payload: None,
        }
    }
}
