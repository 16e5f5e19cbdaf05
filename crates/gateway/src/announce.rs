//! Handles requests from endpoints: announcements and events of their prompt caches.

use crate::Gateway;
use crate::http::{bearer_key, json, read_body, refusal_response};
use http_types::{Request, Response};
use lycheehub_types::{EndpointName, EndpointRecord, Refusal, RefusalKind, name};
use serde::{Deserialize, Serialize};

/// The maximum number of blocks in one cache event, stored and dropped together.
const EVENT_BLOCKS_MAX: usize = 4_096;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CacheEvent {
    endpoint: EndpointName,
    number: u64,
    #[serde(default)]
    stored: Vec<u64>,
    #[serde(default)]
    dropped: Vec<u64>,
}

#[derive(Serialize)]
struct AnnounceResponse {
    lease_ms: u64,
}

/// Records an endpoint's announcement and responds with the duration of its lease.
pub async fn announce(gateway: &Gateway, mut request: Request) -> Response {
    match accept_announcement(gateway, &mut request).await {
        Ok(()) => json(
            200,
            &AnnounceResponse { lease_ms: lycheehub_control::registry::ENDPOINT_LEASE_MS },
        ),
        Err(refusal) => refusal_response(&refusal),
    }
}

/// Records an event of an endpoint's prompt cache.
pub async fn cache_events(gateway: &Gateway, mut request: Request) -> Response {
    match record_cache_event(gateway, &mut request).await {
        Ok(()) => json(200, &serde_json::json!({})),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn authenticate(gateway: &Gateway, request: &Request) -> Result<(), Refusal> {
    let owner = bearer_key(request).and_then(|key| gateway.settings.endpoint_keys.owner_of(key));
    owner.map(drop).ok_or_else(|| {
        Refusal::new(RefusalKind::Unauthorized, "expected an endpoint's key as bearer")
    })
}

fn bad_request(message: impl Into<smol_str::SmolStr>) -> Refusal {
    Refusal::new(RefusalKind::BadRequest, message)
}

async fn accept_announcement(gateway: &Gateway, request: &mut Request) -> Result<(), Refusal> {
    authenticate(gateway, request)?;
    let body = read_body(gateway, request).await?;
    let record: EndpointRecord = serde_json::from_slice(&body.bytes)
        .map_err(|error| bad_request(format!("no announcement: {error}")))?;
    let names = [record.endpoint.as_str(), record.service.as_str(), record.version.as_str()];
    if !names.into_iter().all(name::is_valid) {
        return Err(bad_request("endpoint, service and version must be names"));
    }
    record.validate().map_err(|error| bad_request(error.to_string()))?;
    gateway.control.announce(record).await;
    Ok(())
}

async fn record_cache_event(gateway: &Gateway, request: &mut Request) -> Result<(), Refusal> {
    authenticate(gateway, request)?;
    let body = read_body(gateway, request).await?;
    let event: CacheEvent = serde_json::from_slice(&body.bytes)
        .map_err(|error| bad_request(format!("no cache event: {error}")))?;
    if event.stored.len() + event.dropped.len() > EVENT_BLOCKS_MAX {
        return Err(bad_request(format!("an event has at most {EVENT_BLOCKS_MAX} blocks")));
    }
    gateway.scheduler.cache_event(&event.endpoint, event.number, &event.stored, &event.dropped);
    Ok(())
}
