//! Claims on idempotency keys: the first request under a key runs, and a resend gets its response.

use crate::Gateway;
use crate::filters::Exchange;
use crate::responses::ResponseBuffer;
use lycheehub_control::Command;
use lycheehub_control::state::{ClaimKey, ClaimOutcome, ClaimState, Claimant, Reply};
use lycheehub_peer::{Answer, KeptAnswer, ProposeReply};
use lycheehub_types::{Refusal, RefusalKind};
use smol::Timer;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// The `Retry-After` of a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// The interval at which a resend polls for the response while the first request runs, in
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// A claim that the request holds on its idempotency key.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    key: ClaimKey,
    claimant: Claimant,
}

/// Claims the request's idempotency key.
///
/// Returns `None` if the claim was not granted; `response` is then complete, with the first
/// request's response for a resend, or with a refusal.
pub(super) async fn acquire(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    key: &SmolStr,
    fingerprint: u64,
    response: &Arc<ResponseBuffer>,
) -> Option<HeldClaim> {
    let key = ClaimKey { account: exchange.caller.account.clone(), key: key.clone() };
    let claimant = Claimant {
        instance: gateway.settings.instance.clone(),
        incarnation: gateway.incarnation,
        request: exchange.request_number,
    };
    gateway.responses.insert(exchange.request_number, response.clone());
    let command = Command::Claim {
        key: key.clone(),
        claimant: claimant.clone(),
        fingerprint,
        now_unix_ms: gateway.clock.now_unix_ms(),
    };
    let reply = gateway.control.propose(command).await;
    let outcome = match reply {
        ProposeReply::Done(Reply::Claim(outcome)) => outcome,
        _ => {
            // The claim may be committed, but nothing was dispatched under it, so it is settled as
            // not run.
            settle(gateway, &HeldClaim { key, claimant }, ClaimState::NotRun);
            let message = "no quorum answered the claim on the idempotency key";
            response.refuse(Refusal::retry(RefusalKind::ClaimUnavailable, message, RETRY_AFTER_MS));
            return None;
        }
    };
    match outcome {
        ClaimOutcome::Granted => return Some(HeldClaim { key, claimant }),
        ClaimOutcome::OtherRequest => response.refuse(Refusal::new(
            RefusalKind::KeyReused,
            "the idempotency key was used for another request",
        )),
        ClaimOutcome::Full => response.refuse(Refusal::retry(
            RefusalKind::ClaimUnavailable,
            "no more idempotency keys can be claimed for now",
            RETRY_AFTER_MS,
        )),
        ClaimOutcome::Taken { claimant, state } => {
            replay(gateway, exchange, &claimant, state, response).await;
        }
    }
    None
}

/// Settles a claim in a background task.
pub(super) fn settle(gateway: &Arc<Gateway>, held_claim: &HeldClaim, state: ClaimState) {
    let (gateway, held_claim) = (gateway.clone(), held_claim.clone());
    let executor = gateway.executor.clone();
    let task = async move {
        let command = Command::Settle { key: held_claim.key, claimant: held_claim.claimant, state };
        if !matches!(gateway.control.propose(command).await, ProposeReply::Done(_)) {
            spdlog::warn!(
                "claim not settled; a resend under its idempotency key is refused as outcome_unknown"
            );
        }
    };
    executor.spawn(task).detach();
}

/// Answers a resend with the response to the first request, polling while that request runs.
async fn replay(
    gateway: &Gateway,
    exchange: &Exchange,
    claimant: &Claimant,
    state: ClaimState,
    response: &ResponseBuffer,
) {
    let deadline_ms = exchange.payload.as_ref().map_or(0, |payload| payload.job.deadline_ms);
    loop {
        let control = &gateway.control;
        let kept = control.answer(&claimant.instance, claimant.incarnation, claimant.request).await;
        match kept {
            Some(KeptAnswer::Answered(kept)) => return write_kept(response, kept).await,
            Some(KeptAnswer::Running) if gateway.clock.now_ms() < deadline_ms => {}
            Some(KeptAnswer::Running) => return response.refuse(still_running()),
            Some(KeptAnswer::Gone) | None => return response.refuse(no_longer_kept(state)),
        }
        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn write_kept(response: &ResponseBuffer, kept: Answer) {
    response.start(kept.status, &kept.content_type, Some(kept.body.len()));
    response.append(&kept.body).await;
    response.finish();
}

fn still_running() -> Refusal {
    let message = "the first request under this idempotency key still runs";
    Refusal::retry(RefusalKind::OutcomeUnknown, message, RETRY_AFTER_MS)
}

fn no_longer_kept(state: ClaimState) -> Refusal {
    match state {
        ClaimState::Answered => Refusal::new(
            RefusalKind::AlreadyRun,
            "the first request under this idempotency key ran; its answer is no longer kept",
        ),
        _ => Refusal::new(
            RefusalKind::OutcomeUnknown,
            "the first request under this idempotency key may or may not have run",
        ),
    }
}
