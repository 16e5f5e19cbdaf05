//! A replicated log: Raft as a pure state machine, and durable storage for its state.
//!
//! * [`Replica`] is the state machine. It takes the current time and an event and returns
//!   [`Action`]s for its driver. It has no clock, socket or file of its own.
//! * [`storage`] persists the state that must survive a restart.
//! * [`bootstrap`] decides which replica creates the initial configuration.
//!
//! The algorithm is Raft with pre-vote, leader leases, read index and membership changes of one
//! voter at a time.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod action;
pub mod bootstrap;
mod known;
mod log;
mod members;
mod message;
mod options;
mod replica;
pub mod storage;
mod types;

pub use action::Action;
pub use known::Known;
pub use members::Members;
pub use message::Message;
pub use options::Options;
pub use replica::{Replica, Role};
pub use types::{Config, Entry, Payload, Persisted, Position, ReplicaId, Snapshot, Vote};
