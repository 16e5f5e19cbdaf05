//! Commands and their replies.

use super::{
    ClaimKey, ClaimState, Claimant, DecodeError, DocumentRecord, EvacuationOrder, Phase,
    RolloutEvidence, RolloutOrder, RolloutStep, supplement,
};
use lycheehub_routes::Supplement as DocumentSupplement;
use lycheehub_types::SectionName;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A change to the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's new text for a section.
    Submit(Submission),
    /// The next step of a move, decided by the leader's controller.
    StepMove(MoveStep),
    /// Claims an idempotency key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The claimant, which dispatches the request if the claim is granted.
        claimant: Claimant,
        /// A digest of the request, which detects a key that is reused for another request.
        fingerprint: u64,
        /// The leader's time, in milliseconds since the Unix epoch.
        now_unix_ms: u64,
    },
    /// Settles a claim.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The claimant.
        claimant: Claimant,
        /// The outcome of the request.
        state: ClaimState,
    },
    /// An operator's new route document, which takes effect if its version is the highest so far.
    ReplaceDocument(DocumentRecord),
    /// An operator's order to roll out a version.
    StartRollout(RolloutOrder),
    /// The next step of a rollout, decided by the leader's controller.
    StepRollout(RolloutStep),
    /// An operator's order to evacuate a failure domain, or to end that.
    Evacuate(EvacuationOrder),
}

/// An operator's new text for a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The section.
    pub section: SectionName,
    /// The section revision that the text is based on; 0 for a new section.
    pub base_revision: u64,
    /// The operator's id of this submission, which identifies a resend.
    pub request_id: SmolStr,
    /// The operator.
    pub operator: SmolStr,
    /// The text.
    pub text: String,
}

/// A step of a version move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStep {
    /// The move.
    pub id: SmolStr,
    /// The number of steps that the move had taken at the time of the decision.
    pub after_step: u64,
    /// The new phase.
    pub phase: Phase,
    /// The share of traffic for the new version, in thousandths.
    pub share_permille: u32,
    /// The reason for the step, with figures.
    pub reason: SmolStr,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// The reply to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The reply to [`Command::Submit`].
    Apply(ApplyOutcome),
    /// The reply to [`Command::StepMove`] and [`Command::StepRollout`]: whether the step was
    /// applied.
    Stepped(bool),
    /// The reply to [`Command::Claim`].
    Claim(ClaimOutcome),
    /// The reply to [`Command::Settle`].
    Settled,
    /// The reply to [`Command::ReplaceDocument`].
    Document {
        /// The version in force now.
        version: u64,
    },
    /// The reply to [`Command::StartRollout`].
    Rollout,
    /// The reply to [`Command::Evacuate`].
    Evacuation,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The text was accepted.
    Accepted {
        /// The section's new revision.
        revision: u64,
    },
    /// The section has changed since the revision that the text is based on.
    Conflict {
        /// The section's current revision.
        revision: u64,
        /// The operator who made that revision.
        operator: SmolStr,
        /// The request id of that revision.
        request_id: SmolStr,
    },
    /// The text or its author was rejected.
    Invalid {
        /// The reason.
        message: SmolStr,
    },
}

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may dispatch the request.
    Granted,
    /// The key is already claimed.
    Taken {
        /// The claimant that holds the claim.
        claimant: Claimant,
        /// The state of that request.
        state: ClaimState,
    },
    /// The key is already claimed for a different request.
    OtherRequest,
    /// The maximum number of claims is reached; no claim is accepted until old ones end.
    Full,
}

impl Command {
    /// Encodes the command for the replicated log.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_control::Command;
    /// use lycheehub_control::state::MoveStep;
    /// # use lycheehub_control::state::Phase;
    /// # let step = MoveStep { id: "m".into(), after_step: 0, phase: Phase::Canary,
    /// #     share_permille: 10, reason: "".into(), now_unix_ms: 0 };
    /// let command = Command::StepMove(step);
    /// assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let later = match self {
            Self::ReplaceDocument(record) => Some(record.document.supplement()),
            _ => None,
        };
        let evidence = match self {
            Self::StepRollout(step) => Some(step.evidence),
            _ => None,
        };
        let evidence = evidence.filter(|evidence| *evidence != RolloutEvidence::default());
        let later = later.as_ref().filter(|later| !later.is_empty());
        supplement::encode(self, later, evidence.as_ref())
    }

    /// Sets the leader's time in a command, in milliseconds since the Unix epoch.
    ///
    /// Claims expire by the clock of the leader, not by that of the claiming instance.
    pub fn with_leader_time(mut self, leader_unix_ms: u64) -> Self {
        match &mut self {
            Self::Claim { now_unix_ms, .. } => *now_unix_ms = leader_unix_ms,
            Self::StartRollout(order) => order.now_unix_ms = leader_unix_ms,
            Self::Evacuate(order) => order.now_unix_ms = leader_unix_ms,
            _ => {}
        }
        self
    }

    /// Returns the kind of the command, for log lines.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_control::Command;
    /// use lycheehub_control::state::DocumentRecord;
    /// assert_eq!(Command::ReplaceDocument(DocumentRecord::default()).kind(), "replace document");
    /// ```
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit section",
            Self::StepMove(_) => "step move",
            Self::Claim { .. } => "claim",
            Self::Settle { .. } => "settle claim",
            Self::ReplaceDocument(_) => "replace document",
            Self::StartRollout(_) => "start rollout",
            Self::StepRollout(_) => "step rollout",
            Self::Evacuate(order) if order.begins => "begin evacuation",
            Self::Evacuate(_) => "end evacuation",
        }
    }

    /// Decodes a command from the replicated log.
    ///
    /// # Errors
    /// Fails if the bytes are not a command of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let decoded = supplement::decode::<Self, DocumentSupplement, RolloutEvidence>(bytes);
        let (mut command, later, evidence) =
            decoded.map_err(|cause| DecodeError::Malformed("command", cause.to_string().into()))?;
        match &mut command {
            Self::ReplaceDocument(record) => record.document.add_supplement(later),
            Self::StepRollout(step) => step.evidence = evidence,
            _ => {}
        }
        Ok(command)
    }
}
