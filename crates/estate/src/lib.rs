//! The operators' document: sections, their checks, and the estate that they describe together.
//!
//! * [`parse`] turns the text of one section into a [`Section`].
//! * [`merge`] joins all sections into an [`Estate`] and checks them against each other.
//! * [`diff`] lists what a new text changes.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod diff;
pub mod merge;
pub mod parse;
mod types;

pub use merge::merge;
pub use parse::parse;
pub use types::{Account, Estate, MoveSpec, MoveState, Section, Service};
