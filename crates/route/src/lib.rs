//! Pure routing decisions: admission, tier queues, slots, endpoint choice, retries and versions.
//!
//! [`Scheduler`] takes the time and an event and returns [`Decision`]s. It holds no clock, socket
//! or thread. Its parts are usable alone:
//!
//! * [`queue`] orders what waits, by tier and fairly between client accounts.
//! * [`endpoint`] holds what is known of each endpoint: speed, prefix cache, circuit breaker.
//! * [`retry`] limits retries.
//! * [`versions`] shares traffic between versions and stops a bad one.
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
