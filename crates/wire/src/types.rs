//! Messages for which no other crate defines a type.

use lycheehub_control::moves::Observations;
use lycheehub_control::slots::Demand;
use lycheehub_control::state::Reply;
use lycheehub_types::{EndpointName, InstanceName};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The periodic report of an instance to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The reporting instance.
    pub instance: InstanceName,
    /// The demand for slots, by endpoint.
    pub demands: BTreeMap<EndpointName, Demand>,
    /// The observations of versions since the last report.
    pub observations: Observations,
    /// The moves whose version the instance no longer sends requests to, with the reason.
    pub trips: BTreeMap<SmolStr, SmolStr>,
    /// A digest of the slot grants that the instance holds.
    pub grants_digest: u64,
}

/// The reply to a [`Report`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportReply {
    /// Whether the receiver is the leader and accepted the report.
    pub taken: bool,
    /// The granted slots by endpoint; empty if `same` is set.
    pub grants: BTreeMap<EndpointName, u32>,
    /// Whether the grants are those that the reporting instance already holds.
    pub same: bool,
}

/// The reply to a proposed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeReply {
    /// The receiver is not the leader; nothing was changed.
    NotLeader,
    /// The result is unknown: the command may still be committed.
    Unknown,
    /// The command was committed, with this result.
    Done(Reply),
}

/// A complete response, as kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: SmolStr,
    /// The response body.
    pub body: Vec<u8>,
}

/// What an instance knows about the response to a request that it dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptAnswer {
    /// No response is kept.
    Gone,
    /// The request is still running.
    Running,
    /// The response.
    Answered(Answer),
}
