//! The errors that are returned to callers.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// The kind of a refusal, with a stable code for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed or invalid.
    BadRequest,
    /// The API key belongs to no client account.
    Unauthorized,
    /// The request body exceeds the limit in the settings.
    TooLarge,
    /// The request did not arrive completely, or not in time.
    Incomplete,
    /// The service is in no section of the operators' document.
    UnknownService,
    /// The path or resource does not exist.
    NotFound,
    /// The request was shed because capacity is short; lower tiers are shed first.
    Overloaded,
    /// The request could not complete by its deadline.
    DeadlineUnreachable,
    /// No endpoint of the service has a valid lease.
    NoEndpoint,
    /// The instance is shutting down.
    Stopping,
    /// The caller closed its side of the connection before the request was sent to an endpoint.
    Cancelled,
    /// The instance has as many connections as it may.
    TooManyConnections,
    /// The idempotency key could not be claimed, since no quorum replied.
    ClaimUnavailable,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// A request with this idempotency key has run, but its response is no longer stored.
    AlreadyRun,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// The endpoint reported a failure.
    EndpointFailed,
    /// A submission was based on a revision that is no longer current.
    Conflict,
    /// No quorum of control replicas replied; nothing was changed.
    NoQuorum,
    /// The instance has not yet learned the configuration in force.
    NotReady,
    /// The client account has used up its quota.
    QuotaExceeded,
    /// Endpoints crash on the request or on a part of its prompt; it is kept from them.
    Quarantined,
    /// No response arrived before the request's timeout; the request may have run.
    TimedOut,
}

impl RefusalKind {
    /// Returns the stable code that identifies the kind to callers.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too_large",
            Self::Incomplete => "incomplete",
            Self::UnknownService => "unknown_service",
            Self::NotFound => "not_found",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::NoEndpoint => "no_endpoint",
            Self::Stopping => "stopping",
            Self::Cancelled => "cancelled",
            Self::TooManyConnections => "too_many_connections",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyReused => "key_reused",
            Self::AlreadyRun => "already_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::EndpointFailed => "endpoint_failed",
            Self::Conflict => "conflict",
            Self::NoQuorum => "no_quorum",
            Self::NotReady => "not_ready",
            Self::QuotaExceeded => "quota_exceeded",
            Self::Quarantined => "quarantined",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::UnknownService | Self::NotFound => 404,
            Self::Incomplete => 408,
            Self::Conflict | Self::AlreadyRun => 409,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::Overloaded | Self::DeadlineUnreachable | Self::QuotaExceeded => 429,
            Self::OutcomeUnknown | Self::EndpointFailed => 502,
            Self::NoEndpoint
            | Self::Stopping
            | Self::Cancelled
            | Self::TooManyConnections
            | Self::ClaimUnavailable
            | Self::NoQuorum
            | Self::NotReady
            | Self::Quarantined => 503,
            Self::TimedOut => 504,
        }
    }

    /// Returns true if the refused request is known not to have run.
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
    /// The error that is returned to the caller instead of a response.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// The request was refused.
        Refused(kind: RefusalKind, message: SmolStr, retry_after_ms: Option<u64>) {
            display("{}: {}", kind, message)
        }
    }
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: RefusalKind, message: impl Into<SmolStr>) -> Self {
        Self::Refused(kind, message.into(), None)
    }

    /// Creates a refusal that asks the caller to retry after `retry_after_ms` milliseconds.
    pub fn retry(kind: RefusalKind, message: impl Into<SmolStr>, retry_after_ms: u64) -> Self {
        Self::Refused(kind, message.into(), Some(retry_after_ms))
    }

    /// Returns the kind of the refusal.
    pub fn kind(&self) -> RefusalKind {
        let Self::Refused(kind, ..) = self;
        *kind
    }

    /// Returns the message for the caller.
    pub fn message(&self) -> &str {
        let Self::Refused(_, message, _) = self;
        message
    }

    /// Returns the delay before the caller may retry, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let Self::Refused(_, _, retry_after_ms) = self;
        *retry_after_ms
    }
}
