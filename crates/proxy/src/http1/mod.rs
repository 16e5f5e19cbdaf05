//! HTTP/1.1 heads and bodies, read strictly: what is ambiguous is refused.

mod body;
mod connection;
mod events;
mod head;

pub use body::{Body, Framing};
pub use connection::Connection;
pub use events::{Event, Events};
pub use head::{Headers, RequestHead, ResponseHead};

use quick_error::quick_error;

quick_error! {
    /// Bytes that are no message, or the end of a connection.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(cause: std::io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The connection was closed between messages.
        Closed {
            display("the connection was closed")
        }
        /// The connection was closed within a message.
        Cut {
            display("the message was cut off")
        }
        /// The bytes break the protocol.
        Malformed(what: &'static str) {
            display("malformed: {}", what)
        }
        /// The head is longer than allowed.
        HeadTooLong {
            display("the head is too long")
        }
        /// The body is longer than allowed.
        BodyTooLong {
            display("the body is too long")
        }
    }
}
