//! The memory that a process spends on bodies that its clients send.
//!
//! What arrives is charged before it is kept. A body for which there is no room is not read from, so that
//! its sender waits; if none comes free in time, it is refused.
//!
//! * [`ledger`] decides which body gets room, and which one gives way. It performs no I/O.
//! * [`budget`] lets connections wait for these decisions.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod budget;
pub mod ledger;

pub use budget::{Budget, NoRoom, Room};
pub use ledger::{BodyKey, Ledger, Limits, Part};
