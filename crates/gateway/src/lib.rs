//! The HTTP side of an instance.
//!
//! * [`http`] accepts connections, routes requests and turns refusals into responses.
//! * [`filters`] is the filter chain of a caller's request: readiness, identification of the client
//!   account, classification.
//! * [`serve`] runs one request: it claims the idempotency key, waits for the scheduler, sends the
//!   request to an endpoint, relays the response and records the outcome.
//! * [`scheduler`] shares the instance's scheduler between threads.
//! * [`responses`] buffers responses while they arrive and keeps them for resends.
//! * [`operators`] and [`announce`] handle requests of operators and endpoints.
//! * [`orders`] sends load orders to endpoints.
//!
//! A resend is a request that a caller repeats under the same idempotency key.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announce;
pub mod filters;
mod gateway;
pub mod http;
pub mod keys;
pub mod operators;
pub mod orders;
pub mod responses;
pub mod scheduler;
pub mod serve;
mod settings;

pub use gateway::Gateway;
pub use settings::Settings;
