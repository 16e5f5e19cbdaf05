//! Messages that no other crate has a type for.

use lycheehub_control::moves::Observations;
use lycheehub_control::slots::Demand;
use lycheehub_control::state::Reply;
use lycheehub_types::{EndpointName, InstanceName};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// What an instance tells the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The sender.
    pub instance: InstanceName,
    /// What it wants of each endpoint.
    pub demands: BTreeMap<EndpointName, Demand>,
    /// What it observed of versions since its last report.
    pub observations: Observations,
    /// The moves whose version it stopped sending to, with the reason.
    pub trips: BTreeMap<SmolStr, SmolStr>,
    /// A digest of the grants that the sender holds.
    pub grants_digest: u64,
}

/// The leader's answer to a [`Report`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportReply {
    /// Whether the receiver leads and so took the report.
    pub taken: bool,
    /// The slots granted, by endpoint; none where they are the same.
    pub grants: BTreeMap<EndpointName, u32>,
    /// The grants are those that the sender of the report holds.
    pub same: bool,
}

/// The answer to a proposed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeReply {
    /// The receiver does not lead; nothing was changed.
    NotLeader,
    /// The command may yet be committed.
    Unknown,
    /// The command was committed, with this result.
    Done(Reply),
}

/// A whole answer, as kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Vec<u8>,
}

/// What an instance knows of the answer to a request that it dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptAnswer {
    /// No answer is kept.
    Gone,
    /// The request still runs.
    Running,
    /// The answer.
    Answered(Answer),
}
