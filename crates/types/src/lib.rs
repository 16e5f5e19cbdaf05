//! Names, units, tiers, refusals, errors and a guard of counters shared by every lycheehub crate.
//!
//! * [`name`] defines the text identifiers.
//! * [`tier`] defines the request tiers.
//! * [`refusal`] defines the errors that are returned to callers.
//! * [`error`] defines an error that names the failed step and the peer.
//! * [`endpoint`] and [`instance`] define the records that endpoints and instances announce.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod count_guard;
pub mod endpoint;
pub mod error;
pub mod instance;
pub mod name;
pub mod refusal;
pub mod tier;

pub use count_guard::CountGuard;
pub use endpoint::{EndpointKind, EndpointLoad, EndpointRecord, InvalidRecord};
pub use error::PeerError;
pub use instance::InstanceRecord;
pub use name::{
    AccountName, EndpointName, FailureDomain, InstanceName, Region, Route, SectionName,
    ServiceName, Version,
};
pub use refusal::{Refusal, RefusalKind};
pub use tier::Tier;
