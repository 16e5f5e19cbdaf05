//! The messages with which a relayed connection begins.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lycheehub_auth::{NONCE_BYTES, PROOF_BYTES, Role, matches, prove};
use lycheehub_types::EndpointName;
use smol::net::TcpStream;
use std::io;

/// The maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 512;

/// What became of a request to connect to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// The endpoint is connected.
    Connected,
    /// The endpoint was not reached, though others are.
    Unreachable,
    /// The relay cannot tell: it takes no connections, does not know the endpoint, or reaches none.
    Unable,
}

impl Status {
    pub(crate) fn byte(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Unreachable => 1,
            Self::Unable => 2,
        }
    }

    pub(crate) fn of(byte: u8) -> Self {
        match byte {
            0 => Self::Connected,
            1 => Self::Unreachable,
            _ => Self::Unable,
        }
    }
}

/// Sends the request to connect to `endpoint`, after the server's nonce.
pub(crate) async fn request(
    stream: &mut TcpStream,
    key: &[u8],
    instance: &str,
    endpoint: &EndpointName,
) -> io::Result<Status> {
    let mut server_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut server_nonce).await?;
    let nonce = lycheehub_auth::nonce();
    let proof = prove(key, Role::Initiator, &server_nonce, &nonce, instance);
    let mut message = nonce;
    message.extend_from_slice(&proof);
    for name in [instance, endpoint.as_str()] {
        message.extend_from_slice(&(name.len() as u16).to_be_bytes());
        message.extend_from_slice(name.as_bytes());
    }
    stream.write_all(&message).await?;
    let mut status = [0];
    stream.read_exact(&mut status).await?;
    Ok(Status::of(status[0]))
}

/// Sends a nonce and receives the request of an instance that holds the key; returns the endpoint.
pub(crate) async fn receive(stream: &mut TcpStream, key: &[u8]) -> io::Result<EndpointName> {
    let server_nonce = lycheehub_auth::nonce();
    stream.write_all(&server_nonce).await?;
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    let instance = read_name(stream).await?;
    let endpoint = read_name(stream).await?;
    let expected = prove(key, Role::Initiator, &server_nonce, &nonce, &instance);
    if !matches(&expected, &proof) {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, "the key is wrong"));
    }
    Ok(EndpointName::from(endpoint))
}

async fn read_name(stream: &mut TcpStream) -> io::Result<String> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    if length > NAME_MAX_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the name is too long"));
    }
    let mut name = vec![0; length];
    stream.read_exact(&mut name).await?;
    String::from_utf8(name).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
