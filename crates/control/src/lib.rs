//! Replicated control state and its controllers, without I/O.
//!
//! * [`state`] is the state machine behind the replicated log: sections, moves and claims.
//! * [`directory`] tracks endpoints by their announcements and propagates changes between replicas.
//! * [`registry`] tracks instances and endpoints by their leases.
//! * [`room`] tells what room evacuations leave to services.
//! * [`slots`] allocates endpoint slots to instances.
//! * [`moves`] schedules version moves and compares versions.
//! * [`placement`] decides which endpoints load which version.
//! * [`view`] is the read-only snapshot of control state for the traffic threads.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod directory;
pub mod moves;
pub mod placement;
pub mod registry;
pub mod room;
pub mod slots;
pub mod state;
pub mod view;

pub use state::{Command, Reply, State};
pub use view::View;
