//! Reads headers and bodies of requests.

use crate::Gateway;
use http_types::Request;
use lycheehub_clock::within;
use lycheehub_types::{Refusal, RefusalKind};
use smol::io::AsyncReadExt;

/// Returns the value of a header.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// Returns the bearer key of a request.
pub fn bearer_key(request: &Request) -> Option<&str> {
    header(request, "authorization")?.strip_prefix("Bearer ")
}

/// Reads the body of a request within the limits of size and time.
///
/// # Errors
/// Refuses a body that is too large, does not arrive in time or is truncated.
pub async fn read_body(gateway: &Gateway, request: &mut Request) -> Result<Vec<u8>, Refusal> {
    let max_bytes = gateway.settings.body_max_bytes;
    let too_large =
        || Refusal::new(RefusalKind::TooLarge, format!("a body has at most {max_bytes} bytes"));
    let expected_length = request.len();
    if expected_length.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    let body = request.take_body();
    let read = async {
        let mut bytes = Vec::new();
        let read = body.take(max_bytes as u64 + 1).read_to_end(&mut bytes).await;
        read.map_err(|_| Refusal::new(RefusalKind::BadRequest, "the body does not decode"))?;
        Ok(bytes)
    };
    let timed_out = || Err(Refusal::new(RefusalKind::Incomplete, "the body did not come in time"));
    let read = within(gateway.settings.body_timeout_ms, read).await;
    let bytes: Vec<u8> = read.unwrap_or_else(timed_out)?;
    if bytes.len() > max_bytes {
        return Err(too_large());
    }
    if expected_length.is_some_and(|length| length != bytes.len()) {
        return Err(Refusal::new(RefusalKind::Incomplete, "the body ends too soon"));
    }
    Ok(bytes)
}
