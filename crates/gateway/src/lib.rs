//! The HTTP side of an instance.
//!
//! * [`http`] takes connections and turns refusals into responses.
//! * [`filters`] is the chain that a caller's request passes: identify, classify, serve.
//! * [`serve`] runs one request: claim, admit, dispatch, relay, account.
//! * [`answers`] holds answers while they come in, and afterwards for resends.
//! * [`operators`] and [`announce`] are the calls of operators and endpoints, [`orders`] the calls
//!   to endpoints.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announce;
pub mod answers;
pub mod dispatcher;
pub mod filters;
mod gateway;
pub mod http;
pub mod keys;
pub mod operators;
pub mod orders;
pub mod serve;
mod settings;

pub use gateway::Gateway;
pub use settings::Settings;
