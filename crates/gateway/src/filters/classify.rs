//! Finds the service, route, tier, size and deadline of a request.

use super::{Exchange, Filter, Payload};
use crate::Gateway;
use http_types::Method;
use lycheehub_control::View;
use lycheehub_estate::Service;
use lycheehub_route::Job;
use lycheehub_route::endpoint::block_digests;
use lycheehub_types::{EndpointKind, Refusal, RefusalKind, Route, ServiceName, Tier, name};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

/// The tokens of a generation that names no bound.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// The bytes of text that a token stands for.
const BYTES_PER_TOKEN: u64 = 4;
/// The longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 128;
/// The path before a plain service's name.
const SERVICES: &str = "/v1/services/";

/// Finds the service, route, tier, size and deadline of a request.
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
        let payload = if exchange.path.starts_with(SERVICES) {
            plain(&view, exchange)?
        } else {
            generation(&view, exchange)?
        };
        exchange.payload = Some(payload);
        Ok(())
    }
}

fn bad(message: impl Into<smol_str::SmolStr>) -> Refusal {
    Refusal::new(RefusalKind::BadRequest, message)
}

fn check_idempotency_key(exchange: &Exchange) -> Result<(), Refusal> {
    let Some(key) = &exchange.idempotency_key else { return Ok(()) };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        return Err(bad(format!("an idempotency key has 1 to {IDEMPOTENCY_KEY_MAX_BYTES} bytes")));
    }
    Ok(())
}

fn service<'a>(
    view: &'a View,
    named: &ServiceName,
    kind: EndpointKind,
) -> Result<&'a Service, Refusal> {
    let service = view.estate.services.get(named).filter(|service| service.kind == kind);
    service.ok_or_else(|| {
        Refusal::new(
            RefusalKind::UnknownService,
            format!("no service is named {named:?}", named = named.as_str()),
        )
    })
}

fn generation(view: &View, exchange: &Exchange) -> Result<Payload, Refusal> {
    if exchange.method != Method::Post {
        return Err(bad("expected a POST"));
    }
    let body: Generation<'_> = serde_json::from_slice(&exchange.body)
        .map_err(|error| bad(format!("the body is not the expected JSON: {error}")))?;
    let prompt = body.messages.or(body.prompt).map(RawValue::get);
    let prompt = prompt.ok_or_else(|| bad("expected messages or a prompt"))?;
    if !name::is_valid(&body.model) {
        return Err(bad("the model's name is no name of a service"));
    }
    let named = ServiceName::from(body.model);
    let service = service(view, &named, EndpointKind::Engine)?;
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let route = if exchange.path.starts_with("/v1/chat") { "chat" } else { "completions" };
    let job = Job {
        service: named,
        route: Route::from(route),
        prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN,
        max_tokens,
        prefix: block_digests(prompt.as_bytes()),
        ..job(exchange, service)?
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

fn plain(view: &View, exchange: &Exchange) -> Result<Payload, Refusal> {
    let rest = &exchange.path[SERVICES.len()..];
    let (named, path) = rest.split_once('/').unwrap_or((rest, ""));
    let named = ServiceName::from(named);
    let service = service(view, &named, EndpointKind::Plain)?;
    let first = path.split(['/', '?']).next().unwrap_or("");
    let job = Job {
        service: named,
        route: Route::from(format!("{} /{first}", exchange.method)),
        ..job(exchange, service)?
    };
    let safe = matches!(exchange.method, Method::Get | Method::Head);
    Ok(Payload {
        job,
        kind: EndpointKind::Plain,
        path: format!("/{path}"),
        stream: false,
        idempotent: safe || service.idempotent,
        fingerprint: fingerprint(exchange),
    })
}

/// Makes a job of what all kinds of requests have.
fn job(exchange: &Exchange, service: &Service) -> Result<Job, Refusal> {
    let allowed = exchange.caller.tier.unwrap_or(Tier::LOWEST);
    let tier = match &exchange.tier_asked {
        Some(asked) => {
            let rank = asked.parse().map_err(|_| bad("x-tier is no number from 0 to 4"))?;
            Tier::new(rank).min(allowed)
        }
        None => allowed,
    };
    let deadline_ms = match &exchange.deadline_asked {
        Some(asked) => asked.parse().map_err(|_| bad("x-deadline-ms is no number"))?,
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
        deadline_ms: exchange.arrived_ms.saturating_add(deadline_ms),
    })
}

/// Returns a digest of all that makes a request the same as another.
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
