//! Sends a request to an endpoint and finds the answer that is its own.

use crate::http1::{Body, Connection, Error, ResponseHead};
use std::cell::Cell;

/// How many answers to other requests are passed over on one connection.
const STRAY_ANSWERS_MAX: u32 = 3;
/// How long they may be together, in bytes.
const STRAY_MAX_BYTES: usize = 256 * 1024;
/// How many interim answers there may be before the final one.
const INTERIM_ANSWERS_MAX: u32 = 16;
/// The least status of an answer that is not interim.
const FINAL_STATUS_MIN: u16 = 200;

/// The head of an answer, and what was found on the way to it.
pub(super) struct Answered {
    pub(super) head: ResponseHead,
    /// It came before the request was sent whole.
    pub(super) is_early: bool,
}

/// Sends a request and reads the head of its answer, past answers to other requests.
pub(super) async fn send(
    upstream: &mut Connection,
    request: &[u8],
    is_own: impl Fn(&ResponseHead) -> bool,
) -> Result<Answered, Error> {
    let is_written = Cell::new(false);
    let mut writer = upstream.writer();
    let write = async {
        use futures_lite::AsyncWriteExt;
        if writer.write_all(request).await.is_ok() {
            is_written.set(true);
        }
        // A failure shows in what is read.
        smol::future::pending().await
    };
    let read = read_own_head(upstream, is_own);
    let head = smol::future::or(read, write).await?;
    Ok(Answered { head, is_early: !is_written.get() })
}

/// Reads heads of answers until the one that is `is_own`.
async fn read_own_head(
    upstream: &mut Connection,
    is_own: impl Fn(&ResponseHead) -> bool,
) -> Result<ResponseHead, Error> {
    let (mut strays, mut stray_bytes, mut interim) = (0, 0, 0);
    loop {
        let head = upstream.read_response_head().await?;
        if head.status < FINAL_STATUS_MIN {
            interim += 1;
            if interim > INTERIM_ANSWERS_MAX {
                return Err(Error::Malformed("interim answers without end"));
            }
            continue;
        }
        if is_own(&head) {
            return Ok(head);
        }
        strays += 1;
        if strays > STRAY_ANSWERS_MAX {
            return Err(Error::Malformed("answers to other requests"));
        }
        stray_bytes += pass_over(upstream, &head, STRAY_MAX_BYTES - stray_bytes).await?;
    }
}

/// Reads the body of an answer that is not used, of at most `max_bytes`; returns how long it was.
async fn pass_over(
    upstream: &mut Connection,
    head: &ResponseHead,
    max_bytes: usize,
) -> Result<usize, Error> {
    let mut passed = 0;
    let mut piece = Vec::new();
    let mut body = Body::new(head.framing);
    while body.next(upstream, &mut piece).await? {
        passed += piece.len();
        if passed > max_bytes {
            return Err(Error::BodyTooLong);
        }
        piece.clear();
    }
    Ok(passed)
}
