//! Passes requests of callers on to endpoints over HTTP/1.1.
//!
//! * [`http1`] reads and writes heads and bodies, strictly.
//! * [`dialect`] is the border to the names that a deployment gives to header fields.
//! * [`server`] takes the connections of callers.
//! * [`exchange`] answers one request: identify, classify, place, send, relay, account.
//! * [`pool`] keeps idle connections to endpoints.
//! * [`labels`] bounds the values of a metric's label.
//! * [`entry`] holds what all of them share.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod dialect;
pub mod entry;
pub mod exchange;
pub mod http1;
pub mod labels;
pub mod pool;
pub mod server;

pub use dialect::{AnswerFields, Dialect, OnwardFields, RequestFields};
pub use entry::{Entry, Options, Snapshot, Snapshots, Stop};
