//! The operators' configuration document: parses its sections, merges them and checks the result.
//!
//! * [`parse`] turns the text of one section into a [`Section`].
//! * [`merge`] merges all sections into [`MergedSections`] and checks them against each other.
//! * [`diff`] compares two texts of a section line by line.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod diff;
pub mod merge;
pub mod parse;
mod types;

pub use merge::merge;
pub use parse::parse;
pub use types::{Account, MergedSections, MoveSpec, MoveState, Section, Service};
