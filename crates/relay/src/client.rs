//! Opens connections to endpoints through another instance.

use crate::handshake::{self, Status};
use lycheehub_clock::within;
use lycheehub_net::keep_alive;
use lycheehub_types::EndpointName;
use quick_error::quick_error;
use smol::net::TcpStream;

/// The timeout for a connection through another instance, in milliseconds: that instance's own timeout
/// and several round trips.
const CONNECT_TIMEOUT_MS: u64 = 250;

quick_error! {
    /// Why an endpoint was not reached through another instance.
    #[derive(Debug)]
    pub enum Error {
        /// The relay, which reaches other endpoints, did not reach this one.
        Unreachable(relay: String) {
            display("the endpoint was not reached from {} either", relay)
        }
        /// The relay cannot tell.
        Unable(relay: String) {
            display("{} takes no connections for this endpoint", relay)
        }
        /// The relay itself was not reached.
        Io(step: &'static str, relay: String, cause: std::io::Error) {
            display("{} at {}: {}", step, relay, cause)
            source(cause)
        }
    }
}

/// Connects to `endpoint` through the instance that listens at `relay`, as the instance `own`. What is
/// received on the connection is framed, see [`FrameDecoder`](crate::FrameDecoder).
///
/// # Errors
/// Fails if the relay or the endpoint is not reached in time.
pub async fn connect(
    relay: &str,
    key: &[u8],
    own: &str,
    endpoint: &EndpointName,
) -> Result<TcpStream, Error> {
    let fail = |step| move |cause| Error::Io(step, relay.to_owned(), cause);
    let work = async {
        let mut stream = TcpStream::connect(relay).await.map_err(fail("connect"))?;
        stream.set_nodelay(true).map_err(fail("connect"))?;
        keep_alive::enable(&stream).map_err(fail("connect"))?;
        let status = handshake::request(&mut stream, key, own, endpoint).await;
        match status.map_err(fail("request"))? {
            Status::Connected => Ok(stream),
            Status::Unreachable => Err(Error::Unreachable(relay.to_owned())),
            Status::Unable => Err(Error::Unable(relay.to_owned())),
        }
    };
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let done = within(CONNECT_TIMEOUT_MS, work).await;
    done.unwrap_or_else(|| Err(fail("connect")(timed_out())))
}
