//! A caller's request, as the filters complete it.

use crate::Gateway;
use crate::http::{bearer_key, header};
use http_types::{Method, Request};
use lycheehub_budget::Room;
use lycheehub_route::Job;
use lycheehub_types::{AccountName, EndpointKind, Tier};
use smol_str::SmolStr;

/// The client account that sent a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// The name of the account.
    pub account: AccountName,
    /// The highest tier that the account may use.
    pub tier: Option<Tier>,
    /// The weight of the account among the accounts of its tier.
    pub weight: u32,
}

/// The request to send to an endpoint.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The job for the scheduler.
    pub job: Job,
    /// Whether a model engine or a plain service runs the request.
    pub kind: EndpointKind,
    /// The path at the endpoint, with the query.
    pub path: String,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// A digest of the request, which detects that an idempotency key is reused for another
    /// request.
    pub fingerprint: u64,
}

/// A caller's request, as the filters complete it.
#[derive(Debug)]
pub struct Exchange {
    /// The number of the request on this instance.
    pub request_number: u64,
    /// When the request arrived, in milliseconds by the local clock.
    pub arrived_ms: u64,
    /// The HTTP method.
    pub method: Method,
    /// The path, with the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The account of the body's memory, once it is received.
    pub body_room: Option<Room>,
    /// The body's content type.
    pub content_type: Option<SmolStr>,
    /// The bearer key of the client account.
    pub api_key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// The value of the `X-Tier` header.
    pub requested_tier: Option<SmolStr>,
    /// The value of the `X-Deadline-Ms` header.
    pub requested_deadline: Option<SmolStr>,
    /// The client account; set by a filter.
    pub caller: Caller,
    /// The request to send to an endpoint; set by a filter.
    pub payload: Option<Payload>,
}

impl Exchange {
    /// Creates an exchange from the head of a caller's request.
    pub fn new(gateway: &Gateway, request: &Request) -> Self {
        let header_value = |name| header(request, name).map(SmolStr::new);
        let url = request.url();
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        Self {
            request_number: gateway.next_request_number(),
            arrived_ms: gateway.clock.now_ms(),
            method: request.method(),
            path: format!("{}{query}", url.path()),
            body: Vec::new(),
            body_room: None,
            content_type: header_value("content-type"),
            api_key: bearer_key(request).map(str::to_owned),
            idempotency_key: header_value("idempotency-key"),
            requested_tier: header_value("x-tier"),
            requested_deadline: header_value("x-deadline-ms"),
            caller: Caller::default(),
            payload: None,
        }
    }
}
