//! Runs one request, from the claim on its idempotency key to its outcome.

use super::claim::{self, HeldClaim};
use super::endpoint::{self, Failure};
use super::relay::{self, Progress, ReadLimits};
use crate::Gateway;
use crate::filters::{Exchange, Payload};
use crate::responses::ResponseBuffer;
use crate::scheduler::JobHandle;
use http_types::Response;
use lycheehub_control::state::ClaimState;
use lycheehub_route::{Assignment, Decision, Outcome};
use lycheehub_types::{EndpointKind, PeerError, Refusal, RefusalKind};
use std::fmt::Write;
use std::sync::Arc;

/// How a request ended.
enum Completion {
    Answered(Outcome),
    /// Refused before it ran.
    NotRun(Refusal),
    /// Failed after it may have run.
    Failed(Refusal),
}

/// Runs a request and writes its response or refusal to `buffer`.
pub(super) async fn run(
    gateway: &Arc<Gateway>,
    exchange: Exchange,
    payload: Payload,
    buffer: &Arc<ResponseBuffer>,
) {
    let held_claim = match &exchange.idempotency_key {
        Some(key) => {
            let held_claim =
                claim::acquire(gateway, &exchange, key, payload.fingerprint, buffer).await;
            if held_claim.is_none() {
                return;
            }
            held_claim
        }
        None => None,
    };
    let mut handle = gateway.scheduler.submit(payload.job.clone());
    let completion = run_attempts(gateway, &exchange, &payload, buffer, &mut handle).await;
    complete(gateway, &exchange, &payload, buffer, handle, completion, held_claim);
}

/// Sends the request to one endpoint after another until it is answered, refused or failed.
async fn run_attempts(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    buffer: &ResponseBuffer,
    handle: &mut JobHandle,
) -> Completion {
    let mut progress = Progress::default();
    let mut may_have_run = false;
    loop {
        let assignment = match handle.next_decision().await {
            Some(Decision::Dispatch(_, assignment)) => assignment,
            Some(Decision::Refuse(_, refusal)) if !may_have_run => {
                return Completion::NotRun(refusal);
            }
            _ => {
                return Completion::Failed(outcome_unknown("no endpoint could finish the request"));
            }
        };
        log_dispatch(exchange, payload, &assignment);
        let started_ms = gateway.clock.now_ms_f64();
        let result =
            run_attempt(gateway, exchange, payload, buffer, &assignment, &mut progress).await;
        if let Err(Failure::Lost(_)) = result {
            handle.record_connection_lost(buffer.has_started());
        }
        let (error, relayed_tokens) = match result {
            Ok(()) => {
                return Completion::Answered(outcome(
                    started_ms,
                    gateway.clock.now_ms_f64(),
                    &progress,
                ));
            }
            Err(Failure::NotReached(error)) => {
                handle.record_not_reached();
                (error, None)
            }
            Err(Failure::NotRun(error)) => (error, None),
            Err(Failure::Lost(error) | Failure::Unknown(error)) => {
                may_have_run = true;
                let deadline_passed = gateway.clock.now_ms() >= payload.job.deadline_ms;
                if !payload.idempotent || deadline_passed || !can_resume(payload, buffer) {
                    spdlog::warn!("request failed", kv: {
                        request = exchange.request_number,
                        error:,
                    });
                    return Completion::Failed(outcome_unknown(&error.to_string()));
                }
                (error, Some(progress.tokens))
            }
        };
        spdlog::info!("tried elsewhere", kv: {
            request = exchange.request_number,
            relayed_tokens = progress.tokens,
            error:,
        });
        metrics::counter!("lycheehub_retries_total").increment(1);
        handle.retry(relayed_tokens);
    }
}

/// Returns whether another endpoint can continue the request. Before the response has started the
/// request runs again from the beginning; a stream of events resumes after the relayed tokens.
fn can_resume(payload: &Payload, buffer: &ResponseBuffer) -> bool {
    !buffer.has_started() || (payload.kind == EndpointKind::Engine && payload.stream)
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::new(RefusalKind::OutcomeUnknown, message)
}

async fn run_attempt(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    buffer: &ResponseBuffer,
    assignment: &Assignment,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let address = assignment.address.as_str();
    let resume_from = progress.tokens;
    let (response, connection) =
        endpoint::send_request(gateway, exchange, payload, address, resume_from).await?;
    let mut reusable = payload.idempotent && keeps_alive(&response);
    let limits = ReadLimits {
        deadline_ms: payload.job.deadline_ms,
        idle_timeout_ms: gateway.settings.idle_timeout_ms,
    };
    let server_error = response.status().is_server_error();
    if payload.kind == EndpointKind::Engine && server_error {
        let cause = format!("status {}", response.status());
        return Err(Failure::Unknown(PeerError::failed("send", address, cause)));
    }
    if buffer.has_started() && !relay::is_event_stream(&response) {
        let cause = format!("status {} does not continue the stream", response.status());
        return Err(Failure::Unknown(PeerError::failed("resume", address, cause)));
    }
    if payload.stream && response.status().is_success() {
        let relayed =
            relay::relay_stream(gateway, address, response, limits, buffer, progress).await;
        reusable &= relayed.map_err(Failure::of_exchange)?;
    } else {
        relay_whole(gateway, payload, buffer, address, response, limits, progress).await?;
    }
    if reusable && !connection.has_unread() {
        gateway.pool.put(gateway.clock.now_ms(), address, connection.into_inner());
    }
    Ok(())
}

fn keeps_alive(response: &Response) -> bool {
    let is_close =
        |values: &http_types::headers::HeaderValues| values.as_str().eq_ignore_ascii_case("close");
    !response.header("connection").is_some_and(is_close)
}

async fn relay_whole(
    gateway: &Gateway,
    payload: &Payload,
    buffer: &ResponseBuffer,
    address: &str,
    response: Response,
    limits: ReadLimits,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let status = u16::from(response.status());
    let content_type = response.header("content-type").map(|values| values.as_str().to_owned());
    let body = relay::read_whole(gateway, address, response, limits).await?;
    if payload.kind == EndpointKind::Engine {
        progress.tokens = relay::count_tokens(&body);
    }
    let content_type = content_type.as_deref().unwrap_or("application/octet-stream");
    buffer.start(status, content_type, Some(body.len()));
    buffer.append(&body).await;
    buffer.finish();
    Ok(())
}

fn outcome(started_ms: f64, now_ms: f64, progress: &Progress) -> Outcome {
    let last_token_ms =
        if progress.first_token_ms.is_some() { progress.last_token_ms } else { now_ms };
    Outcome::Answered {
        tokens: progress.tokens,
        first_token_ms: progress
            .first_token_ms
            .map(|first_token_ms| (first_token_ms - started_ms).max(0.0)),
        total_ms: (last_token_ms - started_ms).max(0.0),
    }
}

/// Completes the request: reports the outcome to the scheduler, refuses a request without a
/// response, records metrics and settles the claim.
fn complete(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    buffer: &ResponseBuffer,
    handle: JobHandle,
    completion: Completion,
    held_claim: Option<HeldClaim>,
) {
    let (end, state) = match completion {
        Completion::Answered(outcome) => {
            handle.finish(outcome);
            ("answered", ClaimState::Answered)
        }
        Completion::NotRun(refusal) => {
            handle.finish(Outcome::Cancelled);
            log_refusal(exchange, payload, &refusal);
            buffer.refuse(refusal);
            ("refused", ClaimState::NotRun)
        }
        Completion::Failed(refusal) => {
            handle.finish(Outcome::Failed);
            log_refusal(exchange, payload, &refusal);
            buffer.refuse(refusal);
            ("failed", ClaimState::Unknown)
        }
    };
    let tier = payload.job.tier.to_string();
    let service = payload.job.service.to_string();
    metrics::counter!("lycheehub_requests_total", "service" => service, "tier" => tier, "end" => end)
        .increment(1);
    let duration_ms = gateway.clock.now_ms().saturating_sub(exchange.arrived_ms);
    metrics::histogram!("lycheehub_request_ms").record(duration_ms as f64);
    if let Some(held_claim) = held_claim {
        claim::settle(gateway, &held_claim, state);
    }
}

fn log_refusal(exchange: &Exchange, payload: &Payload, refusal: &Refusal) {
    spdlog::info!("refused", kv: {
        request = exchange.request_number,
        service: = payload.job.service,
        tier: = payload.job.tier,
        code = refusal.kind().code(),
        message = refusal.message(),
        retry_after_ms:? = refusal.retry_after_ms(),
    });
}

fn log_dispatch(exchange: &Exchange, payload: &Payload, assignment: &Assignment) {
    let mut candidates = String::new();
    for candidate in &assignment.candidates {
        // Writing to a string cannot fail.
        let _ = write!(
            candidates,
            "{}={}ms/cached {}/running {} ",
            candidate.name, candidate.score_ms, candidate.cached_tokens, candidate.in_flight
        );
    }
    spdlog::info!("dispatched", kv: {
        request = exchange.request_number,
        service: = payload.job.service,
        route: = payload.job.route,
        tier: = payload.job.tier,
        account: = payload.job.account,
        endpoint: = assignment.name,
        version: = assignment.version,
        reason = assignment.reason,
        waited_ms = assignment.waited_ms,
        candidates = candidates.trim_end(),
    });
}
