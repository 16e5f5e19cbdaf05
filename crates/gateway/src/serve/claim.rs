//! Claims on idempotency keys: the first request runs, a resend gets its answer.

use crate::Gateway;
use crate::answers::AnswerBuffer;
use crate::filters::Exchange;
use lycheehub_control::Command;
use lycheehub_control::state::{ClaimKey, ClaimOutcome, ClaimState, Claimant, Reply};
use lycheehub_peer::{Answer, KeptAnswer, ProposeReply};
use lycheehub_types::{Refusal, RefusalKind};
use smol::Timer;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a caller is asked to come back, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// How often a resend asks for the answer while the first request runs, in milliseconds.
const ASK_MS: u64 = 100;

/// A claim that this request holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    key: ClaimKey,
    claimant: Claimant,
}

/// Claims the request's idempotency key.
///
/// Returns nothing where the request is a resend, after its answer was passed on.
pub(super) async fn claim(
    gateway: &Arc<Gateway>,
    exchange: &Exchange,
    key: &SmolStr,
    fingerprint: u64,
    answer: &Arc<AnswerBuffer>,
) -> Option<Held> {
    let key = ClaimKey { account: exchange.caller.account.clone(), key: key.clone() };
    let claimant = Claimant {
        instance: gateway.settings.instance.clone(),
        incarnation: gateway.incarnation,
        request: exchange.request,
    };
    gateway.answers.insert(exchange.request, answer.clone());
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
            // The claim may be committed, but nothing was dispatched under it.
            settle(gateway, &Held { key, claimant }, ClaimState::NotRun);
            let message = "no quorum answered the claim on the idempotency key";
            answer.refuse(Refusal::retry(RefusalKind::ClaimUnavailable, message, RETRY_MS));
            return None;
        }
    };
    match outcome {
        ClaimOutcome::Granted => return Some(Held { key, claimant }),
        ClaimOutcome::OtherRequest => answer.refuse(Refusal::new(
            RefusalKind::KeyReused,
            "the idempotency key was used for another request",
        )),
        ClaimOutcome::Full => answer.refuse(Refusal::retry(
            RefusalKind::ClaimUnavailable,
            "no more idempotency keys can be claimed for now",
            RETRY_MS,
        )),
        ClaimOutcome::Taken { claimant, state } => {
            replay(gateway, exchange, &claimant, state, answer).await;
        }
    }
    None
}

/// Ends a claim.
pub(super) fn settle(gateway: &Arc<Gateway>, held: &Held, state: ClaimState) {
    let (gateway, held) = (gateway.clone(), held.clone());
    let executor = gateway.executor.clone();
    let task = async move {
        let command = Command::Settle { key: held.key, claimant: held.claimant, state };
        if !matches!(gateway.control.propose(command).await, ProposeReply::Done(_)) {
            spdlog::warn!("claim not settled; a resend of its key gets an unknown outcome");
        }
    };
    executor.spawn(task).detach();
}

/// Passes the first request's answer on to a resend.
async fn replay(
    gateway: &Gateway,
    exchange: &Exchange,
    claimant: &Claimant,
    state: ClaimState,
    answer: &AnswerBuffer,
) {
    let deadline_ms = exchange.payload.as_ref().map_or(0, |payload| payload.job.deadline_ms);
    loop {
        let control = &gateway.control;
        let kept = control.answer(&claimant.instance, claimant.incarnation, claimant.request).await;
        match kept {
            Some(KeptAnswer::Answered(kept)) => return pass_on(answer, kept).await,
            Some(KeptAnswer::Running) if gateway.clock.now_ms() < deadline_ms => {}
            Some(KeptAnswer::Running) => return answer.refuse(still_runs()),
            Some(KeptAnswer::Gone) | None => return answer.refuse(not_kept(state)),
        }
        Timer::after(Duration::from_millis(ASK_MS)).await;
    }
}

async fn pass_on(answer: &AnswerBuffer, kept: Answer) {
    answer.begin(kept.status, &kept.content_type, Some(kept.body.len()));
    answer.append(&kept.body).await;
    answer.finish();
}

fn still_runs() -> Refusal {
    let message = "the first request under this idempotency key still runs";
    Refusal::retry(RefusalKind::OutcomeUnknown, message, RETRY_MS)
}

fn not_kept(state: ClaimState) -> Refusal {
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
