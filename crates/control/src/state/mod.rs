//! The state machine behind the replicated log.
//!
//! Applying the same commands in the same order yields the same state on every replica. Times come
//! from the commands, never from a local clock.

mod claims;
mod command;
mod document;
mod evacuations;
mod feed;
mod moves;
mod rollouts;
mod sections;
mod supplement;

pub use claims::{Claim, ClaimKey, ClaimState, Claimant, Claims};
pub use command::{ApplyOutcome, ClaimOutcome, Command, MoveStep, Reply, Submission};
pub use document::DocumentRecord;
pub use evacuations::{EvacuationOrder, EvacuationRecord};
pub use feed::Feed;
pub use moves::{MoveRecord, Phase};
pub use rollouts::{RolloutEvidence, RolloutOrder, RolloutRecord, RolloutState, RolloutStep};
pub use sections::{SectionRecord, SubmissionReplies};

use lycheehub_estate::MergedSections;
use lycheehub_types::{FailureDomain, SectionName, ServiceName, Version};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use supplement::Supplement;

quick_error! {
    /// An error for bytes that are not a state or command of this version.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes cannot be decoded.
        Malformed(what: &'static str, cause: SmolStr) {
            display("{} does not decode: {}", what, cause)
        }
    }
}

/// The replicated control state.
///
/// # Examples
/// ```
/// use lycheehub_control::state::{ApplyOutcome, Command, Reply, State, Submission};
///
/// let mut state = State::default();
/// let submission = Submission {
///     section: "labels".into(),
///     base_revision: 0,
///     request_id: "r1".into(),
///     operator: "labels".into(),
///     text: "owner = \"labels\"".into(),
/// };
/// let reply = state.apply(7, Command::Submit(submission));
/// assert_eq!(reply, Reply::Apply(ApplyOutcome::Accepted { revision: 7 }));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The index of the last command that changed sections, moves, rollouts or the route document.
    pub revision: u64,
    /// The sections by name.
    pub sections: BTreeMap<SectionName, SectionRecord>,
    /// The first replies to operators' requests, by request id.
    pub requests: SubmissionReplies,
    /// The version moves by id.
    pub moves: BTreeMap<SmolStr, MoveRecord>,
    /// The version that each service serves after its last completed move.
    pub serving: BTreeMap<ServiceName, Version>,
    /// The claims on idempotency keys.
    pub claims: Claims,
    /// The route document in force.
    pub document: DocumentRecord,
    /// The latest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// The evacuations in force. Stored after the other parts.
    #[serde(skip)]
    pub evacuations: BTreeMap<FailureDomain, EvacuationRecord>,
    /// The estate described by the sections.
    #[serde(skip)]
    pub estate: MergedSections,
}

impl State {
    /// Applies the command at log index `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        match command {
            Command::Submit(submission) => Reply::Apply(self.submit(index, submission)),
            Command::StepMove(step) => Reply::Stepped(self.step_move(index, step)),
            Command::Claim { key, claimant, fingerprint, now_unix_ms } => {
                Reply::Claim(self.claims.claim(key, claimant, fingerprint, now_unix_ms))
            }
            Command::Settle { key, claimant, state } => {
                self.claims.settle(&key, &claimant, state);
                Reply::Settled
            }
            Command::ReplaceDocument(change) => {
                Reply::Document { version: self.replace_document(index, change) }
            }
            Command::StartRollout(order) => {
                self.start_rollout(index, order);
                Reply::Rollout
            }
            Command::StepRollout(step) => Reply::Stepped(self.step_rollout(index, &step)),
            Command::Evacuate(order) => {
                self.evacuate(index, order);
                Reply::Evacuation
            }
        }
    }

    /// Returns the version that serves `service` outside of moves.
    pub fn serving(&self, service: &ServiceName) -> Option<Version> {
        let named = self.estate.services.get(service).map(|spec| spec.version.clone());
        self.serving.get(service).cloned().or(named)
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let supplement = Supplement {
            evacuations: self.evacuations.clone(),
            document: self.document.document.supplement(),
        };
        let supplement = (!supplement.is_empty()).then_some(supplement);
        let evidence = self.rollout_evidence();
        let evidence = (!evidence.is_empty()).then_some(evidence);
        supplement::encode(self, supplement.as_ref(), evidence.as_ref())
    }

    /// Decodes a snapshot; empty bytes decode to the empty state.
    ///
    /// # Errors
    /// Fails if the bytes are not a state of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (mut state, supplement, evidence) = supplement::decode::<Self, Supplement, _>(bytes)
            .map_err(|cause| DecodeError::Malformed("snapshot", cause.to_string().into()))?;
        state.document.document.add_supplement(supplement.document);
        state.evacuations = supplement.evacuations;
        state.set_rollout_evidence(evidence);
        state.rebuild_estate();
        Ok(state)
    }
}
