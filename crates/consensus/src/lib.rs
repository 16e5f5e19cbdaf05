//! A replicated log as a pure state machine, with durable storage beside it.
//!
//! * [`Replica`] decides: it takes the time and an event and returns [`Action`]s, and holds no
//!   clock, socket or file.
//! * [`storage`] keeps what must survive a restart.
//! * [`founding`] decides how the very first configuration comes about.
//!
//! The algorithm is Raft with pre-vote, a timed leader lease, read index and single-replica
//! membership changes.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod action;
pub mod founding;
mod log;
mod message;
mod options;
mod replica;
pub mod storage;
mod types;

pub use action::Action;
pub use message::Message;
pub use options::Options;
pub use replica::{Replica, Role};
pub use types::{Config, Entry, Payload, Persisted, Position, ReplicaId, Snapshot, Vote};
