//! Decides which endpoint each request is sent to, and which requests are queued or refused.
//!
//! The [`Dispatcher`] performs no I/O and reads no clock: it is given the time and an event, and
//! returns [`Decision`]s. The leading control replica runs one for the requests of all instances.
//! Every entry instance runs another for its own requests while no leader is reachable.
//!
//! * [`job`] defines jobs, decisions and results.
//! * [`endpoints`] estimates the load, speed and health of endpoints.
//! * [`paths`] tells instances that are cut off from failing endpoints.
//! * [`queue`] orders the waiting jobs.
//! * [`crashes`] finds the parts of prompts, and the requests, on which endpoints crash.
//! * [`shares`] finds the classes of size that are served less often than others.
//! * [`accounts`] keeps what client accounts have used, for equal shares in overload.
//! * [`refusal`] states which rule refused a job.
//! * [`quota`] and [`retries`] limit client accounts and retries.
//! * [`dispatcher`] combines these, and [`placement`] is the interface for request handlers.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod accounts;
pub mod crashes;
mod decay;
pub mod dispatcher;
pub mod endpoints;
pub mod job;
pub mod options;
pub mod paths;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod refusal;
pub mod retries;
pub mod shares;

pub use dispatcher::{
    Dispatcher, InFlight, PlacedRequests, ServiceLoad, UsageReport, VersionMode, VersionRule,
    VersionSample,
};
pub use endpoints::{Limit, LimitKind, Notice, StatedLimit};
pub use job::{Decision, Finished, Job, JobId, Outcome, PrefixPart, Reason};
pub use options::Options;
pub use placement::Placement;
pub use quota::Usage;
pub use refusal::{RefusalBasis, Rule};
pub use retries::RetryUsage;
