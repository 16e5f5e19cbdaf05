//! Sends a request to an endpoint and finds the response to it.

use crate::http1::{Body, Connection, Error, Framing, ResponseHead};
use std::cell::Cell;

/// Maximum number of responses to other requests that are discarded on a connection.
const STRAY_RESPONSES_MAX: u32 = 3;
/// Maximum total size of their bodies, in bytes.
const STRAY_MAX_BYTES: usize = 256 * 1024;
/// Maximum number of interim (1xx) responses before the final one.
const INTERIM_RESPONSES_MAX: u32 = 16;
/// Lowest status code of a final response.
const FINAL_STATUS_MIN: u16 = 200;

/// Maximum size of a body that is sent in one write with its head, in bytes. A longer one is not copied.
const COPIED_BODY_MAX_BYTES: usize = 16 * 1024;

/// The bytes of a request.
pub(super) struct RequestBytes<'a> {
    /// The head, and a short body.
    head: Vec<u8>,
    /// A longer body.
    body: &'a [u8],
}

impl<'a> RequestBytes<'a> {
    pub(super) fn new(mut head: Vec<u8>, body: &'a [u8]) -> Self {
        if body.len() > COPIED_BODY_MAX_BYTES {
            return Self { head, body };
        }
        head.extend_from_slice(body);
        Self { head, body: &[] }
    }
}

/// The head of a response, and how it arrived.
pub(super) struct ResponseStart {
    pub(super) head: ResponseHead,
    /// The response arrived before the request was sent completely.
    pub(super) is_early: bool,
    /// The body ends with the connection, and that was reset.
    pub(super) is_cut: bool,
    /// Responses to other requests arrived before it.
    pub(super) is_after_strays: bool,
}

impl ResponseStart {
    /// Returns whether the connection can be used for another request after the response.
    pub(super) fn keeps_alive(&self) -> bool {
        self.head.keeps_alive && !self.is_early && !self.is_after_strays
    }
}

/// Sends a request and reads the head of its response; discards responses to other requests.
///
/// `is_expected` states whether a response belongs to the request; its second argument tells whether it
/// is the first one to arrive.
pub(super) async fn send(
    upstream: &mut Connection,
    request: &RequestBytes<'_>,
    is_expected: impl Fn(&ResponseHead, bool) -> bool,
) -> Result<ResponseStart, Error> {
    upstream.require_confirmation(request.head.len() + request.body.len())?;
    let written = Cell::new(None);
    let mut writer = upstream.writer();
    let write = async {
        use futures_lite::AsyncWriteExt;
        let result = match writer.write_all(&request.head).await {
            Ok(()) => writer.write_all(request.body).await,
            failed => failed,
        };
        written.set(Some(result));
        // The endpoint may have answered before it closed the connection; its response decides.
        smol::future::pending().await
    };
    let read = read_expected_head(upstream, is_expected);
    let (head, is_after_strays) = smol::future::or(read, write).await?;
    let written = written.take();
    let is_early = !matches!(written, Some(Ok(())));
    // A write that reports a reset takes it from the read, which then sees an end.
    let is_cut = matches!(written, Some(Err(_))) && head.framing == Framing::UntilClose;
    Ok(ResponseStart { head, is_early, is_cut, is_after_strays })
}

/// Reads response heads until one for which `is_expected` holds; returns whether there were others
/// before it.
async fn read_expected_head(
    upstream: &mut Connection,
    is_expected: impl Fn(&ResponseHead, bool) -> bool,
) -> Result<(ResponseHead, bool), Error> {
    let (mut stray_count, mut stray_bytes, mut interim_count) = (0, 0, 0);
    loop {
        let head = upstream.read_response_head().await?;
        if head.status < FINAL_STATUS_MIN {
            interim_count += 1;
            if interim_count > INTERIM_RESPONSES_MAX {
                return Err(Error::Malformed("too many interim responses"));
            }
            continue;
        }
        if is_expected(&head, stray_count == 0) {
            return Ok((head, stray_count > 0));
        }
        stray_count += 1;
        if stray_count > STRAY_RESPONSES_MAX {
            return Err(Error::Malformed("too many responses to other requests"));
        }
        stray_bytes += discard_body(upstream, &head, STRAY_MAX_BYTES - stray_bytes).await?;
    }
}

/// Discards a response body of at most `max_bytes`; returns its length.
async fn discard_body(
    upstream: &mut Connection,
    head: &ResponseHead,
    max_bytes: usize,
) -> Result<usize, Error> {
    let mut length = 0;
    let mut buffer = Vec::new();
    let mut body = Body::new(head.framing);
    while body.next(upstream, &mut buffer).await? {
        length += buffer.len();
        if length > max_bytes {
            return Err(Error::BodyTooLong);
        }
        buffer.clear();
    }
    Ok(length)
}
