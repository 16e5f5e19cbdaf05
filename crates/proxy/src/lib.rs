//! HTTP/1.1 proxy that forwards callers' requests to endpoints.
//!
//! * [`http1`] parses and writes message heads and bodies strictly.
//! * [`dialect`] maps between this crate and the header field names of a deployment.
//! * [`server`] accepts callers' connections.
//! * [`exchange`] handles one request: resolve, place, send, relay, log.
//! * [`paths`] reaches endpoints through other instances where the own path is lost.
//! * [`pool`] keeps idle connections to endpoints.
//! * [`labels`] bounds the number of values of a metric label.
//! * [`entry`] holds the state that all connections share.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod caller;
pub mod dialect;
pub mod entry;
pub mod exchange;
pub mod http1;
mod idle_time;
pub mod labels;
mod line_bound;
pub mod paths;
pub mod pool;
pub mod server;
mod shutdown;

pub use dialect::{Dialect, ForwardedFields, RequestFields, ResponseFields};
pub use entry::{Entry, Options, Snapshot, Snapshots};
pub use line_bound::LineBound;
pub use paths::{RelayError, RelayFuture, Relays};
pub use shutdown::Stop;
