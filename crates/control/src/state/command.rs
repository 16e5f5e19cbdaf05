//! Commands and their replies.

use super::{
    ClaimKey, ClaimState, Claimant, DecodeError, DocumentRecord, Phase, RolloutOrder, RolloutStep,
};
use lycheehub_types::SectionName;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's new text for a section.
    Submit(Submission),
    /// The move controller's next step of a move.
    StepMove(MoveStep),
    /// Claims an idempotency key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Who will dispatch the request.
        claimant: Claimant,
        /// A digest of the request, by which a key used for another request is known.
        fingerprint: u64,
        /// The leader's time, in milliseconds since the Unix epoch.
        now_unix_ms: u64,
    },
    /// Ends a claim.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Who claimed it.
        claimant: Claimant,
        /// How the request ended.
        state: ClaimState,
    },
    /// An operator's new route document, in force if its version is the highest so far.
    ReplaceDocument(DocumentRecord),
    /// An operator's order to move a service to a version.
    StartRollout(RolloutOrder),
    /// A step of a rollout, decided by the leader's controller.
    StepRollout(RolloutStep),
}

/// An operator's new text for a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The section.
    pub section: SectionName,
    /// The section's revision that the text was based on, 0 for a new section.
    pub base_revision: u64,
    /// The operator's id of this submission, by which a resend is known.
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
    /// How many steps the move had taken when this one was decided.
    pub after_step: u64,
    /// The new phase.
    pub phase: Phase,
    /// The share of traffic for the new version, in thousandths.
    pub share_permille: u32,
    /// Why, with figures.
    pub reason: SmolStr,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// The answer to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Command::Submit`].
    Apply(ApplyOutcome),
    /// To [`Command::StepMove`] and [`Command::StepRollout`]: whether the step was taken.
    Stepped(bool),
    /// To [`Command::Claim`].
    Claim(ClaimOutcome),
    /// To [`Command::Settle`].
    Settled,
    /// To [`Command::ReplaceDocument`].
    Document {
        /// The version that is in force now.
        version: u64,
    },
    /// To [`Command::StartRollout`].
    Rollout,
}

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The text is the section's new one.
    Accepted {
        /// The section's new revision.
        revision: u64,
    },
    /// Another submission came first.
    Conflict {
        /// The section's revision.
        revision: u64,
        /// Who made it.
        operator: SmolStr,
        /// The request id that made it.
        request_id: SmolStr,
    },
    /// The text or its author is refused.
    Invalid {
        /// What is wrong.
        message: SmolStr,
    },
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may dispatch.
    Granted,
    /// The key was claimed before.
    Taken {
        /// By whom.
        claimant: Claimant,
        /// How that request stands.
        state: ClaimState,
    },
    /// The key was claimed for another request.
    OtherRequest,
    /// No more claims are taken until old ones end.
    Full,
}

impl Command {
    /// Encodes the command for the log.
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
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Puts the leader's time into a command, in milliseconds since the Unix epoch.
    ///
    /// Claims expire by the time of the instances that lead, not by that of any instance.
    pub fn stamped(mut self, leader_unix_ms: u64) -> Self {
        match &mut self {
            Self::Claim { now_unix_ms, .. } => *now_unix_ms = leader_unix_ms,
            Self::StartRollout(order) => order.now_unix_ms = leader_unix_ms,
            _ => {}
        }
        self
    }

    /// Returns the kind of the command, for logs.
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
        }
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    /// Fails where the bytes are no command of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        postcard::from_bytes(bytes)
            .map_err(|cause| DecodeError::Malformed("command", cause.to_string().into()))
    }
}
