//! HTTP: connections, routes and error responses.

mod chunks;
mod connection;
mod error;
mod message_stream;
mod read;
mod routes;

pub use connection::serve;
pub use error::{json, refusal_response};
pub(crate) use message_stream::{Framing, MessageStream};
pub use read::{ReceivedBody, bearer_key, header, read_body};
