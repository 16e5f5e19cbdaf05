//! Replicated control state and the controllers over it, all pure.
//!
//! * [`state`] is the state machine behind the replicated log: sections, moves and claims.
//! * [`directory`] knows the endpoints by their announcements, as replicas pass them on.
//! * [`registry`] knows the instances and endpoints by their leases.
//! * [`slots`] shares the slots of endpoints out between instances.
//! * [`moves`] plans version moves and compares versions.
//! * [`placement`] orders endpoints to load versions.
//! * [`view`] is what control state shows to the traffic threads.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod directory;
pub mod moves;
pub mod placement;
pub mod registry;
pub mod slots;
pub mod state;
pub mod view;

pub use state::{Command, Reply, State};
pub use view::View;
