//! The route document, and the table by which requests find their route.
//!
//! * [`document`] holds what operators submit as one whole.
//! * [`check`] tells what makes a document invalid.
//! * [`table`] finds the route of a request and the client account of a key.
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
