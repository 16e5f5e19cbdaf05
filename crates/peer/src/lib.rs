//! Peer connections and the control thread.
//!
//! * [`control`] is the handle by which traffic threads reach the control thread.
//! * [`node`] is the control thread: one [`Node`] runs on a local executor and owns the registry,
//!   the replica or the learned state, and the controllers.
//! * [`entry`] is the control thread of an instance that only takes requests, and its way to the
//!   dispatcher at the leader.
//! * [`watch`] follows the directory of a replica.
//! * [`link`] and [`server`] are the two ends of a connection between instances.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod auth;
pub mod control;
mod count;
mod count_guard;
pub mod entry;
mod feeds;
mod link;
mod node;
mod rollouts;
mod server;
mod settings;
mod views;
mod watch;

pub use control::{
    AnswerSource, ClusterStatus, CommittedState, Control, ControlRequest, EndpointStatus,
    InstanceStatus, OrderSink,
};
pub use lycheehub_wire::{Answer, KeptAnswer, ProposeReply};
pub use node::{Node, Outside};
pub use settings::{Seed, Settings};
pub use views::{Latest, Views};
