//! The peer protocol: the schema, its generated code, and the conversions between its messages and
//! the types of the other crates.
//!
//! The generated code is committed. `just schema` makes it anew from `schema/peer.capnp`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod convert;
#[allow(missing_docs, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
mod types;

pub use convert::{
    WireError, write_config, write_delta, write_kept_answer, write_message, write_propose_reply,
    write_report, write_report_reply,
};
pub use types::{Answer, KeptAnswer, ProposeReply, Report, ReportReply};
