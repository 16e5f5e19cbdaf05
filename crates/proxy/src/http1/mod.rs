//! HTTP/1.1 heads and bodies, parsed strictly: ambiguous messages are rejected.

mod body;
mod connection;
mod events;
mod head;

pub use body::{Body, Framing};
pub use connection::Connection;
pub use events::{Event, EventParser};
pub use head::{Headers, RequestHead, ResponseHead};

use lycheehub_budget::NoRoom;
use quick_error::quick_error;
use std::io::ErrorKind;

quick_error! {
    /// A message could not be read or written.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(cause: std::io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The message did not arrive in time.
        TimedOut {
            display("the message did not arrive in time")
        }
        /// The connection was closed between messages.
        Closed {
            display("the connection was closed")
        }
        /// The connection was closed in the middle of a message.
        Truncated {
            display("the connection was closed in the middle of a message")
        }
        /// The bytes violate the protocol.
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
        /// There is no memory for the body.
        NoRoom(cause: NoRoom) {
            display("{}", cause)
            source(cause)
            from()
        }
    }
}

impl Error {
    /// Returns whether the other side closed or reset the connection.
    pub fn is_connection_lost(&self) -> bool {
        match self {
            Self::Closed | Self::Truncated => true,
            Self::Io(cause) => matches!(
                cause.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            ),
            Self::TimedOut
            | Self::Malformed(_)
            | Self::HeadTooLong
            | Self::BodyTooLong
            | Self::NoRoom(_) => false,
        }
    }
}
