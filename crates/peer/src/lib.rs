//! Peer connections and the control thread.
//!
//! * [`control`] is the handle through which traffic threads send requests to the control thread.
//! * [`node`] is the control thread: one [`Node`] runs on a local executor and owns the registry,
//!   the replica or a state copied from one, and the controllers.
//! * [`entry`] is the control thread of an instance without a replica that only accepts requests,
//!   and its client for the dispatcher at the leader.
//! * [`watch`] watches the directory and the revision of a replica.
//! * [`link`] and [`server`] are the two ends of a connection between instances.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod control;
mod count;
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
    InstanceStatus, LeaderReply, OrderSink,
};
pub use lycheehub_wire::{Answer, KeptAnswer, ProposeReply};
pub use node::{DepartureStore, Dependencies, Node, log_quarantine_event, suspect_texts};
pub use settings::{Seed, Settings};
pub use views::{Latest, Views};
