//! Runs one request from its claim to its end.

use super::claim::{self, Held};
use super::endpoint::{self, Failure};
use super::relay::{self, Bounds, Progress};
use crate::Gateway;
use crate::answers::AnswerBuffer;
use crate::dispatcher::Ticket;
use crate::filters::{Exchange, Payload};
use http_types::Response;
use lycheehub_control::state::ClaimState;
use lycheehub_route::{Assignment, Decision, Outcome};
use lycheehub_types::{EndpointKind, PeerError, Refusal, RefusalKind};
use std::fmt::Write;
use std::sync::Arc;

/// How a request ended.
enum End {
    Answered(Outcome),
    /// Refused before anything ran.
    NotRun(Refusal),
    /// Failed after it may have run.
    Failed(Refusal),
}

/// Runs a request; its end is in `answer`.
pub(super) async fn run(
    gateway: &Arc<Gateway>,
    exchange: Exchange,
    payload: Payload,
    answer: &Arc<AnswerBuffer>,
) {
    let held = match &exchange.idempotency_key {
        Some(key) => {
            let held = claim::claim(gateway, &exchange, key, payload.fingerprint, answer).await;
            if held.is_none() {
                return;
            }
            held
        }
        None => None,
    };
    let mut ticket = gateway.dispatcher.submit(payload.job.clone());
    let end = attempts(gateway, &exchange, &payload, answer, &mut ticket).await;
    account(gateway, &exchange, &payload, answer, ticket, end, held);
}

/// Tries endpoints until the request ends.
async fn attempts(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    answer: &AnswerBuffer,
    ticket: &mut Ticket,
) -> End {
    let mut progress = Progress::default();
    let mut ran = false;
    loop {
        let assignment = match ticket.decision().await {
            Some(Decision::Dispatch(_, assignment)) => assignment,
            Some(Decision::Refuse(_, refusal)) if !ran => return End::NotRun(refusal),
            _ => return End::Failed(unfinished("no endpoint could finish the request")),
        };
        log_dispatch(exchange, payload, &assignment);
        let begun_ms = gateway.clock.now_ms_f64();
        let attempt = attempt(gateway, exchange, payload, answer, &assignment, &mut progress).await;
        let (error, ran_to) = match attempt {
            Ok(()) => {
                return End::Answered(outcome(begun_ms, gateway.clock.now_ms_f64(), &progress));
            }
            Err(Failure::NotRun(error)) => (error, None),
            Err(Failure::Unknown(error)) => {
                ran = true;
                let late = gateway.clock.now_ms() >= payload.job.deadline_ms;
                if !payload.idempotent || late || !can_resume(payload, answer) {
                    spdlog::warn!("request failed", kv: { request = exchange.request, error: });
                    return End::Failed(unfinished(&error.to_string()));
                }
                (error, Some(progress.tokens))
            }
        };
        spdlog::info!("tried elsewhere", kv: {
            request = exchange.request,
            relayed_tokens = progress.tokens,
            error:,
        });
        metrics::counter!("lycheehub_retries_total").increment(1);
        ticket.retry(ran_to);
    }
}

/// A whole answer restarts; a stream of events goes on from the tokens relayed.
fn can_resume(payload: &Payload, answer: &AnswerBuffer) -> bool {
    !answer.has_begun() || (payload.kind == EndpointKind::Engine && payload.stream)
}

fn unfinished(message: &str) -> Refusal {
    Refusal::new(RefusalKind::OutcomeUnknown, message)
}

async fn attempt(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    answer: &AnswerBuffer,
    assignment: &Assignment,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let address = assignment.address.as_str();
    let from = progress.tokens;
    let (response, connection) =
        endpoint::exchange(gateway, exchange, payload, address, from).await?;
    let mut reusable = payload.idempotent && keeps_alive(&response);
    let bounds = Bounds {
        deadline_ms: payload.job.deadline_ms,
        idle_timeout_ms: gateway.settings.idle_timeout_ms,
    };
    let failed = response.status().is_server_error();
    if payload.kind == EndpointKind::Engine && failed {
        let cause = format!("status {}", response.status());
        return Err(Failure::Unknown(PeerError::failed("send", address, cause)));
    }
    if payload.stream && response.status().is_success() {
        let relayed = relay::stream(gateway, address, response, bounds, answer, progress).await;
        reusable &= relayed.map_err(Failure::Unknown)?;
    } else {
        whole_answer(gateway, payload, answer, address, response, bounds, progress).await?;
    }
    if reusable {
        gateway.pool.put(gateway.clock.now_ms(), address, connection);
    }
    Ok(())
}

fn keeps_alive(response: &Response) -> bool {
    let closes =
        |values: &http_types::headers::HeaderValues| values.as_str().eq_ignore_ascii_case("close");
    !response.header("connection").is_some_and(closes)
}

async fn whole_answer(
    gateway: &Gateway,
    payload: &Payload,
    answer: &AnswerBuffer,
    address: &str,
    response: Response,
    bounds: Bounds,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let status = u16::from(response.status());
    let content_type = response.header("content-type").map(|values| values.as_str().to_owned());
    let body = relay::whole(gateway, address, response, bounds).await.map_err(Failure::Unknown)?;
    if payload.kind == EndpointKind::Engine {
        progress.tokens = relay::tokens_of(&body);
    }
    let content_type = content_type.as_deref().unwrap_or("application/octet-stream");
    answer.begin(status, content_type, Some(body.len()));
    answer.append(&body).await;
    answer.finish();
    Ok(())
}

fn outcome(begun_ms: f64, now_ms: f64, progress: &Progress) -> Outcome {
    let last_ms = if progress.first_ms.is_some() { progress.last_ms } else { now_ms };
    Outcome::Answered {
        tokens: progress.tokens,
        first_token_ms: progress.first_ms.map(|first_ms| (first_ms - begun_ms).max(0.0)),
        total_ms: (last_ms - begun_ms).max(0.0),
    }
}

/// Ends the request everywhere: towards the caller, the scheduler and the claim.
fn account(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    payload: &Payload,
    answer: &AnswerBuffer,
    ticket: Ticket,
    end: End,
    held: Option<Held>,
) {
    let (name, state) = match end {
        End::Answered(outcome) => {
            ticket.finish(outcome);
            ("answered", ClaimState::Answered)
        }
        End::NotRun(refusal) => {
            ticket.finish(Outcome::Cancelled);
            log_refusal(exchange, payload, &refusal);
            answer.refuse(refusal);
            ("refused", ClaimState::NotRun)
        }
        End::Failed(refusal) => {
            ticket.finish(Outcome::Failed);
            log_refusal(exchange, payload, &refusal);
            answer.refuse(refusal);
            ("failed", ClaimState::Unknown)
        }
    };
    let tier = payload.job.tier.to_string();
    let service = payload.job.service.to_string();
    metrics::counter!("lycheehub_requests_total", "service" => service, "tier" => tier, "end" => name)
        .increment(1);
    let took_ms = gateway.clock.now_ms().saturating_sub(exchange.arrived_ms);
    metrics::histogram!("lycheehub_request_ms").record(took_ms as f64);
    if let Some(held) = held {
        claim::settle(gateway, &held, state);
    }
}

fn log_refusal(exchange: &Exchange, payload: &Payload, refusal: &Refusal) {
    spdlog::info!("refused", kv: {
        request = exchange.request,
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
        request = exchange.request,
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
