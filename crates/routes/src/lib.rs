//! The route document, and the table that looks up the route of a request.
//!
//! * [`document`] defines the document that operators submit as a whole.
//! * [`supplement`] holds its later parts, which are stored after it.
//! * [`check`] validates a document.
//! * [`table`] looks up the route of a request and the client account of a key.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod check;
pub mod document;
pub mod supplement;
pub mod table;

pub use check::Error;
pub use document::{
    AccountSpec, ClientLimits, ColdStart, Document, EngineSpec, Quota, RequestKind, RouteSpec,
    ServiceSpec, Target,
};
pub use supplement::Supplement;
pub use table::RouteTable;
