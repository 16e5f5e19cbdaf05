//! Determines the service, route, tier, size and deadline of a request.

use super::{Exchange, Filter, Payload};
use crate::Gateway;
use http_types::Method;
use lycheehub_control::View;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_estate::Service;
use lycheehub_route::Job;
use lycheehub_route::endpoint::block_digests;
use lycheehub_types::{EndpointKind, Refusal, RefusalKind, Route, ServiceName, Tier, name};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

/// The assumed maximum number of tokens of a generation that sets none.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// The assumed number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// The maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 128;
/// The path prefix of requests to plain services.
const PLAIN_SERVICE_PREFIX: &str = "/v1/services/";

/// Determines the service, route, tier, size and deadline of a request.
pub(super) struct Classify;

#[derive(Deserialize)]
struct Generation<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl Filter for Classify {
    fn name(&self) -> &'static str {
        "classify"
    }

    fn apply(&self, gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refusal> {
        check_idempotency_key(exchange)?;
        let view = gateway.views.latest();
        let payload = if exchange.path.starts_with(PLAIN_SERVICE_PREFIX) {
            classify_plain(&view, exchange)?
        } else {
            classify_generation(&view, exchange)?
        };
        let digest = digest_of(gateway, exchange);
        let job = Job { digest: Some(digest), ..payload.job };
        exchange.payload = Some(Payload { job, ..payload });
        Ok(())
    }
}

fn bad_request(message: impl Into<smol_str::SmolStr>) -> Refusal {
    Refusal::new(RefusalKind::BadRequest, message)
}

fn check_idempotency_key(exchange: &Exchange) -> Result<(), Refusal> {
    let Some(key) = &exchange.idempotency_key else { return Ok(()) };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        return Err(bad_request(format!(
            "an idempotency key has 1 to {IDEMPOTENCY_KEY_MAX_BYTES} bytes"
        )));
    }
    Ok(())
}

fn find_service<'a>(
    view: &'a View,
    name: &ServiceName,
    kind: EndpointKind,
) -> Result<&'a Service, Refusal> {
    let service = view.estate.services.get(name).filter(|service| service.kind == kind);
    service.ok_or_else(|| {
        Refusal::new(
            RefusalKind::UnknownService,
            format!("no service is named {named:?}", named = name.as_str()),
        )
    })
}

fn classify_generation(view: &View, exchange: &Exchange) -> Result<Payload, Refusal> {
    if exchange.method != Method::Post {
        return Err(bad_request("expected a POST"));
    }
    let body: Generation<'_> = serde_json::from_slice(&exchange.body)
        .map_err(|error| bad_request(format!("the body is not the expected JSON: {error}")))?;
    let prompt = body.messages.or(body.prompt).map(RawValue::get);
    let prompt = prompt.ok_or_else(|| bad_request("expected messages or a prompt"))?;
    if !name::is_valid(&body.model) {
        return Err(bad_request("the model's name is no name of a service"));
    }
    let service_name = ServiceName::from(body.model);
    let service = find_service(view, &service_name, EndpointKind::Engine)?;
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let route = if exchange.path.starts_with("/v1/chat") { "chat" } else { "completions" };
    let job = Job {
        service: service_name,
        route: Route::from(route),
        prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN,
        max_tokens,
        prefix: block_digests(prompt.as_bytes()),
        ..base_job(exchange, service)?
    };
    Ok(Payload {
        job,
        kind: EndpointKind::Engine,
        path: exchange.path.clone(),
        stream: body.stream,
        idempotent: service.idempotent,
        fingerprint: fingerprint(exchange),
    })
}

fn classify_plain(view: &View, exchange: &Exchange) -> Result<Payload, Refusal> {
    let rest = &exchange.path[PLAIN_SERVICE_PREFIX.len()..];
    let (service_name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service_name = ServiceName::from(service_name);
    let service = find_service(view, &service_name, EndpointKind::Plain)?;
    let first = path.split(['/', '?']).next().unwrap_or("");
    let job = Job {
        service: service_name,
        route: Route::from(format!("{} /{first}", exchange.method)),
        ..base_job(exchange, service)?
    };
    let is_safe = matches!(exchange.method, Method::Get | Method::Head);
    Ok(Payload {
        job,
        kind: EndpointKind::Plain,
        path: format!("/{path}"),
        stream: false,
        idempotent: is_safe || service.idempotent,
        fingerprint: fingerprint(exchange),
    })
}

/// Creates a job with the properties common to both kinds of requests.
fn base_job(exchange: &Exchange, service: &Service) -> Result<Job, Refusal> {
    let highest_tier = exchange.caller.tier.unwrap_or(Tier::LOWEST);
    let tier = match &exchange.requested_tier {
        Some(requested) => {
            let rank =
                requested.parse().map_err(|_| bad_request("x-tier is no number from 0 to 4"))?;
            Tier::new(rank).min(highest_tier)
        }
        None => highest_tier,
    };
    let deadline_ms = match &exchange.requested_deadline {
        Some(requested) => {
            requested.parse().map_err(|_| bad_request("x-deadline-ms is no number"))?
        }
        None => service.deadline_ms,
    };
    Ok(Job {
        service: ServiceName::default(),
        route: Route::default(),
        tier,
        account: exchange.caller.account.clone(),
        weight: exchange.caller.weight,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: Vec::new(),
        digest: None,
        deadline_ms: exchange.arrived_ms.saturating_add(deadline_ms),
    })
}

/// Returns the identity of a request. No header field is part of it: each attempt of a caller has others.
fn digest_of(gateway: &Gateway, exchange: &Exchange) -> RequestDigest {
    let (method, path) = (exchange.method.as_ref().as_bytes(), exchange.path.as_bytes());
    let account = exchange.caller.account.as_str().as_bytes();
    gateway.settings.digest_key.digest(&[method, path, account, &exchange.body]).into()
}

/// Returns a digest of the method, path and body, which are equal in a request and its resend.
fn fingerprint(exchange: &Exchange) -> u64 {
    let mut hash = Sha256::new();
    hash.update(exchange.method.as_ref());
    hash.update([0]);
    hash.update(&exchange.path);
    hash.update([0]);
    hash.update(&exchange.body);
    let digest = hash.finalize();
    u64::from_le_bytes([
        digest[0], digest[1], digest[2], digest[3], digest[4], digest[5], digest[6], digest[7],
    ])
}
