//! The peer protocol: the schema, its generated code, and the conversions between its messages and
//! the types of the other crates.
//!
//! The generated code is committed. `just schema` regenerates it from `schema/peer.capnp`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod convert;
#[allow(missing_docs, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
mod types;

pub use convert::{
    WireError, read_begun, read_decision, read_finished, read_heard, read_in_flight, read_job,
    read_limit_kind, read_limits, read_listings, read_message, read_notice, read_quarantines,
    read_usage, write_begun, write_config, write_decision, write_delta, write_finished,
    write_heard, write_in_flight, write_job, write_kept_answer, write_limits, write_listings,
    write_message, write_notice, write_propose_reply, write_quarantines, write_report,
    write_report_reply, write_usage,
};
pub use types::{Answer, KeptAnswer, ProposeReply, Report, ReportReply};
