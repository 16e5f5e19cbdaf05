//! Decides which request goes to which endpoint, which waits and which is refused.
//!
//! The [`Dispatcher`] is pure: it takes the time and an event, and returns [`Decision`]s. One runs
//! at the leading control replica and sees the requests of all instances. Each entry instance has
//! another one for its own requests, for the times at which no leader can be reached.
//!
//! * [`job`] holds what is asked, decided and reported back.
//! * [`endpoints`] estimates load, speed and health of endpoints.
//! * [`queue`] holds what waits, in the order in which it is served.
//! * [`quota`] and [`retries`] bound what client accounts and repeats may use.
//! * [`dispatcher`] puts them together, [`placement`] is its border to those that have requests.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod dispatcher;
pub mod endpoints;
pub mod job;
pub mod options;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod retries;

pub use dispatcher::{Dispatcher, InFlight, ServiceLoad, VersionMode, VersionRule, VersionSample};
pub use endpoints::Notice;
pub use job::{Decision, Finished, Job, Outcome, PrefixPart, Reason, Ticket};
pub use options::Options;
pub use placement::Placement;
pub use quota::Usage;
