//! Conversions of replies to proposals and of responses kept for resends.

use super::{WireError, known_or, text};
use crate::peer_capnp as schema;
use crate::{Answer, KeptAnswer, ProposeReply};
use lycheehub_control::state::{ApplyOutcome, ClaimOutcome, ClaimState, Claimant, Reply};

impl From<schema::ClaimState> for ClaimState {
    fn from(state: schema::ClaimState) -> Self {
        match state {
            schema::ClaimState::Open => Self::Open,
            schema::ClaimState::Answered => Self::Answered,
            schema::ClaimState::NotRun => Self::NotRun,
            schema::ClaimState::Unknown => Self::Unknown,
        }
    }
}

impl From<ClaimState> for schema::ClaimState {
    fn from(state: ClaimState) -> Self {
        match state {
            ClaimState::Open => Self::Open,
            ClaimState::Answered => Self::Answered,
            ClaimState::NotRun => Self::NotRun,
            ClaimState::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<schema::propose_reply::Reader<'_>> for ProposeReply {
    type Error = WireError;

    /// Reads a reply. One of a kind that only a newer build knows is [`ProposeReply::Unknown`]: the
    /// command may be committed.
    fn try_from(reader: schema::propose_reply::Reader<'_>) -> Result<Self, WireError> {
        use schema::propose_reply::Which;
        let which = match reader.which() {
            Ok(which) => which,
            Err(unknown) => {
                spdlog::warn!("unknown reply to a proposal", kv: { number = unknown.0 });
                return Ok(Self::Unknown);
            }
        };
        let apply = |outcome| Self::Done(Reply::Apply(outcome));
        let claim = |outcome| Self::Done(Reply::Claim(outcome));
        Ok(match which {
            Which::NotLeader(()) => Self::NotLeader,
            Which::Unknown(()) => Self::Unknown,
            Which::Accepted(revision) => apply(ApplyOutcome::Accepted { revision }),
            Which::Conflict(conflict) => {
                let conflict = conflict?;
                apply(ApplyOutcome::Conflict {
                    revision: conflict.get_revision(),
                    operator: text(conflict.get_operator())?.into(),
                    request_id: text(conflict.get_request_id())?.into(),
                })
            }
            Which::Invalid(message) => {
                apply(ApplyOutcome::Invalid { message: text(message)?.into() })
            }
            Which::Stepped(taken) => Self::Done(Reply::Stepped(taken)),
            Which::ClaimGranted(()) => claim(ClaimOutcome::Granted),
            Which::ClaimTaken(taken) => {
                let taken = taken?;
                let claimant = Claimant {
                    instance: text(taken.get_instance())?.into(),
                    incarnation: taken.get_incarnation(),
                    request: taken.get_request(),
                };
                let state = known_or("state of a claim", taken.get_state(), ClaimState::Unknown);
                claim(ClaimOutcome::Taken { claimant, state })
            }
            Which::ClaimOtherRequest(()) => claim(ClaimOutcome::OtherRequest),
            Which::ClaimsFull(()) => claim(ClaimOutcome::Full),
            Which::Settled(()) => Self::Done(Reply::Settled),
            Which::Document(version) => Self::Done(Reply::Document { version }),
            Which::Rollout(()) => Self::Done(Reply::Rollout),
            Which::Evacuation(()) => Self::Done(Reply::Evacuation),
        })
    }
}

/// Writes the reply to a proposal.
pub fn write_propose_reply(reply: &ProposeReply, mut builder: schema::propose_reply::Builder<'_>) {
    match reply {
        ProposeReply::NotLeader => builder.set_not_leader(()),
        ProposeReply::Unknown => builder.set_unknown(()),
        ProposeReply::Done(Reply::Apply(outcome)) => write_apply(outcome, builder),
        ProposeReply::Done(Reply::Stepped(taken)) => builder.set_stepped(*taken),
        ProposeReply::Done(Reply::Claim(outcome)) => write_claim(outcome, builder),
        ProposeReply::Done(Reply::Settled) => builder.set_settled(()),
        ProposeReply::Done(Reply::Document { version }) => builder.set_document(*version),
        ProposeReply::Done(Reply::Rollout) => builder.set_rollout(()),
        ProposeReply::Done(Reply::Evacuation) => builder.set_evacuation(()),
    }
}

fn write_apply(outcome: &ApplyOutcome, mut builder: schema::propose_reply::Builder<'_>) {
    match outcome {
        ApplyOutcome::Accepted { revision } => builder.set_accepted(*revision),
        ApplyOutcome::Conflict { revision, operator, request_id } => {
            let mut conflict = builder.init_conflict();
            conflict.set_revision(*revision);
            conflict.set_operator(&**operator);
            conflict.set_request_id(&**request_id);
        }
        ApplyOutcome::Invalid { message } => builder.set_invalid(&**message),
    }
}

fn write_claim(outcome: &ClaimOutcome, mut builder: schema::propose_reply::Builder<'_>) {
    match outcome {
        ClaimOutcome::Granted => builder.set_claim_granted(()),
        ClaimOutcome::Taken { claimant, state } => {
            let mut taken = builder.init_claim_taken();
            taken.set_instance(claimant.instance.as_str());
            taken.set_incarnation(claimant.incarnation);
            taken.set_request(claimant.request);
            taken.set_state((*state).into());
        }
        ClaimOutcome::OtherRequest => builder.set_claim_other_request(()),
        ClaimOutcome::Full => builder.set_claims_full(()),
    }
}

impl TryFrom<schema::kept_answer::Reader<'_>> for KeptAnswer {
    type Error = WireError;

    /// Reads what is known about a response; of a kind that only a newer build knows, it is none.
    fn try_from(reader: schema::kept_answer::Reader<'_>) -> Result<Self, WireError> {
        use schema::kept_answer::Which;
        let which = reader.which().inspect_err(|unknown| {
            spdlog::warn!("unknown kind of kept response", kv: { number = unknown.0 });
        });
        Ok(match which {
            Ok(Which::Gone(())) | Err(_) => Self::Gone,
            Ok(Which::Running(())) => Self::Running,
            Ok(Which::Answered(answer)) => {
                let answer = answer?;
                Self::Answered(Answer {
                    status: answer.get_status(),
                    content_type: text(answer.get_content_type())?.into(),
                    body: answer.get_body()?.to_vec(),
                })
            }
        })
    }
}

/// Writes what is known about a response.
pub fn write_kept_answer(answer: &KeptAnswer, mut builder: schema::kept_answer::Builder<'_>) {
    match answer {
        KeptAnswer::Gone => builder.set_gone(()),
        KeptAnswer::Running => builder.set_running(()),
        KeptAnswer::Answered(answer) => {
            let mut entry = builder.init_answered();
            entry.set_status(answer.status);
            entry.set_content_type(&*answer.content_type);
            entry.set_body(&answer.body);
        }
    }
}
