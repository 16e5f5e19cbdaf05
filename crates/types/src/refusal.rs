//! What a caller is told when it gets no answer.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// The reason of a refusal, with a stable code for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request could not be understood.
    BadRequest,
    /// The key belongs to no client account.
    Unauthorized,
    /// The request's body is longer than the settings allow.
    TooLarge,
    /// No section names the service.
    UnknownService,
    /// No path or resource of this name exists.
    NotFound,
    /// Lower tiers are shed because capacity runs short.
    Overloaded,
    /// The answer could not be ready by the request's deadline.
    DeadlineUnreachable,
    /// No endpoint of the service holds a live lease.
    NoEndpoint,
    /// The instance is shutting down.
    Stopping,
    /// The idempotency key could not be claimed, since no quorum answered.
    ClaimUnavailable,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request under this idempotency key ran; its answer is no longer kept.
    AlreadyRun,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// The endpoint answered that it failed.
    EndpointFailed,
    /// A submission was based on a revision that is no longer current.
    Conflict,
    /// No quorum of control replicas answered; nothing was changed.
    NoQuorum,
    /// The instance does not know yet what is in force.
    NotReady,
    /// The client account has used up its quota.
    QuotaExceeded,
    /// No answer came within the request's time; the request may have run.
    TimedOut,
}

impl RefusalKind {
    /// Returns the stable code by which callers know the refusal.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too_large",
            Self::UnknownService => "unknown_service",
            Self::NotFound => "not_found",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::NoEndpoint => "no_endpoint",
            Self::Stopping => "stopping",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyReused => "key_reused",
            Self::AlreadyRun => "already_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::EndpointFailed => "endpoint_failed",
            Self::Conflict => "conflict",
            Self::NoQuorum => "no_quorum",
            Self::NotReady => "not_ready",
            Self::QuotaExceeded => "quota_exceeded",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the HTTP status that goes with the refusal.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::UnknownService | Self::NotFound => 404,
            Self::Conflict | Self::AlreadyRun => 409,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::Overloaded | Self::DeadlineUnreachable | Self::QuotaExceeded => 429,
            Self::OutcomeUnknown | Self::EndpointFailed => 502,
            Self::NoEndpoint
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::NoQuorum
            | Self::NotReady => 503,
            Self::TimedOut => 504,
        }
    }

    /// Tells whether the refused request is known not to have run.
    pub fn not_run(self) -> bool {
        !matches!(
            self,
            Self::AlreadyRun | Self::OutcomeUnknown | Self::EndpointFailed | Self::TimedOut
        )
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

quick_error! {
    /// The final answer to a request that gets no other.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// The request was refused.
        Refused(kind: RefusalKind, message: SmolStr, retry_after_ms: Option<u64>) {
            display("{}: {}", kind, message)
        }
    }
}

impl Refusal {
    /// Makes a refusal that waiting does not help.
    pub fn new(kind: RefusalKind, message: impl Into<SmolStr>) -> Self {
        Self::Refused(kind, message.into(), None)
    }

    /// Makes a refusal after which the caller may come back in `retry_after_ms` milliseconds.
    pub fn retry(kind: RefusalKind, message: impl Into<SmolStr>, retry_after_ms: u64) -> Self {
        Self::Refused(kind, message.into(), Some(retry_after_ms))
    }

    /// Returns the reason.
    pub fn kind(&self) -> RefusalKind {
        let Self::Refused(kind, ..) = self;
        *kind
    }

    /// Returns the text for the caller.
    pub fn message(&self) -> &str {
        let Self::Refused(_, message, _) = self;
        message
    }

    /// Returns after how many milliseconds the caller may come back.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let Self::Refused(_, _, retry_after_ms) = self;
        *retry_after_ms
    }
}
