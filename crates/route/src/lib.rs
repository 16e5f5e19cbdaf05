//! Pure routing decisions: admission, tier queues, slots, endpoint choice, retries and versions.
//!
//! [`Scheduler`] is called with the current time and an event and returns [`Decision`]s. It holds
//! no clock, socket or thread. Its parts can be used separately:
//!
//! * [`queue`] orders waiting requests by tier, and fairly between client accounts of one tier.
//! * [`endpoint`] holds the state of each endpoint: speed, cached prompt prefixes, circuit breaker.
//! * [`retry`] limits retries by a budget.
//! * [`versions`] splits traffic between two versions and stops sending to a failing one.
//! * [`work`] estimates how long requests take.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod endpoint;
mod job;
mod options;
pub mod queue;
pub mod retry;
mod scheduler;
pub mod versions;
pub mod work;

pub use endpoint::EndpointKey;
pub use job::{Assignment, Candidate, Decision, Job, JobKey, Outcome};
pub use options::{Options, Policy};
pub use scheduler::{Demands, Scheduler};
