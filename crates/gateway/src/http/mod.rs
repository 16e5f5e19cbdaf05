//! HTTP: connections, routes and error responses.

mod caller_stream;
mod chunks;
mod connection;
mod error;
mod read;
mod routes;

pub use connection::serve;
pub use error::{json, refusal_response};
pub use read::{bearer_key, header, read_body};
