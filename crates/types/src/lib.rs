//! Names, units, tiers, refusals and errors shared by every lycheehub crate.
//!
//! * [`name`] holds the text identifiers.
//! * [`tier`] holds the request tiers.
//! * [`refusal`] holds what a caller is told when it gets no answer.
//! * [`error`] holds the error that names the step and the peer.
//! * [`endpoint`] and [`instance`] hold what announces itself.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod endpoint;
pub mod error;
pub mod instance;
pub mod name;
pub mod refusal;
pub mod tier;

pub use endpoint::{EndpointKind, EndpointLoad, EndpointRecord};
pub use error::PeerError;
pub use instance::InstanceRecord;
pub use name::{
    AccountName, EndpointName, FailureDomain, InstanceName, Route, SectionName, ServiceName,
    Version,
};
pub use refusal::{Refusal, RefusalKind};
pub use tier::Tier;
