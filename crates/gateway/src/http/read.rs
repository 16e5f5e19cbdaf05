//! Reads headers and bodies of requests.

use crate::Gateway;
use http_types::Request;
use lycheehub_budget::{NoRoom, Room};
use lycheehub_clock::within;
use lycheehub_types::{Refusal, RefusalKind};
use smol::io::{AsyncRead, AsyncReadExt};

/// The maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Retry delay sent if there is no memory for a body, in milliseconds.
const NO_ROOM_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the value of a header.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// Returns the bearer key of a request.
pub fn bearer_key(request: &Request) -> Option<&str> {
    header(request, "authorization")?.strip_prefix("Bearer ")
}

/// A body that was received whole.
#[derive(Debug)]
pub struct ReceivedBody {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The account of its memory.
    pub room: Room,
}

/// Reads the body of a request within the limits of size, memory and time.
///
/// # Errors
/// Refuses a body that is too large, for which there is no memory, that does not arrive in time or that is
/// truncated.
pub async fn read_body(gateway: &Gateway, request: &mut Request) -> Result<ReceivedBody, Refusal> {
    let max_bytes = gateway.settings.body_max_bytes;
    let expected_length = request.len();
    if expected_length.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let most_bytes = expected_length.unwrap_or(max_bytes);
    let room = gateway.bodies.open();
    let read = room.receive(read_charged(request.take_body(), most_bytes, &room));
    let timed_out = || Refusal::new(RefusalKind::Incomplete, "the body did not come in time");
    let read = within(gateway.settings.body_timeout_ms, read).await.ok_or_else(timed_out)?;
    let bytes = read.map_err(no_room)??;
    if bytes.len() > max_bytes {
        return Err(too_large(max_bytes));
    }
    if expected_length.is_some_and(|length| length != bytes.len()) {
        return Err(Refusal::new(RefusalKind::Incomplete, "the body ends too soon"));
    }
    Ok(ReceivedBody { bytes, room })
}

/// Reads a body, each part of it once there is room; stops once it is longer than `most_bytes`.
async fn read_charged(
    mut body: impl AsyncRead + Unpin,
    most_bytes: usize,
    room: &Room,
) -> Result<Vec<u8>, Refusal> {
    let mut bytes = Vec::new();
    let mut part = vec![0; READ_BYTES];
    while bytes.len() <= most_bytes {
        let next_bytes = (bytes.len() + READ_BYTES).min(most_bytes);
        room.hold(next_bytes as u64, most_bytes as u64).await.map_err(no_room)?;
        let count = body.read(&mut part).await;
        let count =
            count.map_err(|_| Refusal::new(RefusalKind::BadRequest, "the body does not decode"))?;
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&part[..count]);
    }
    Ok(bytes)
}

fn too_large(max_bytes: usize) -> Refusal {
    Refusal::new(RefusalKind::TooLarge, format!("a body has at most {max_bytes} bytes"))
}

fn no_room(cause: NoRoom) -> Refusal {
    Refusal::retry(RefusalKind::Overloaded, cause.to_string(), NO_ROOM_RETRY_AFTER_MS)
}
