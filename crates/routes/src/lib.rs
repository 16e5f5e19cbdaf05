//! The route document, and the table that looks up the route of a request.
//!
//! * [`document`] defines the document that operators submit as a whole.
//! * [`check`] validates a document.
//! * [`table`] looks up the route of a request and the client account of a key.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod check;
pub mod document;
pub mod table;

pub use check::Error;
pub use document::{
    AccountSpec, ClientLimits, Document, EngineSpec, Quota, RequestKind, RouteSpec, ServiceSpec,
    Target,
};
pub use table::RouteTable;
