//! Test support: stand-in endpoints, control of `serve` processes, callers and the load driver.
//!
//! * [`endpoint`] is a stand-in for a model engine or a plain service. It records every request
//!   that it ran; that record is the ground truth of tests.
//! * [`cluster`] starts and stops instances as separate processes.
//! * [`proxy`] stands between two processes and can be cut silently.
//! * [`caller`] sends requests as callers and operators do.
//! * [`load`] sends requests at given rates and measures what comes back.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod cluster;
pub mod endpoint;
pub mod load;
pub mod proxy;
