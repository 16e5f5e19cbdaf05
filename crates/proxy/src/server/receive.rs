//! Receives a complete request within the limits of the document.

use crate::entry::Entry;
use crate::http1::{Connection, Error, RequestHead};
use lycheehub_budget::Room;
use lycheehub_clock::within;
use lycheehub_routes::ClientLimits;
use smol_str::SmolStr;

/// A request that was not received completely.
pub(super) struct Unread {
    /// What was being received.
    pub(super) step: &'static str,
    /// The request's id, if its head was received; empty otherwise.
    pub(super) id: SmolStr,
    /// The cause.
    pub(super) error: Error,
}

/// Receives a request, and returns the account of its body's memory.
pub(super) async fn read_request(
    entry: &Entry,
    connection: &mut Connection,
    limits: &ClientLimits,
) -> Result<(RequestHead, Vec<u8>, Room), Unread> {
    let head = read_head(connection, limits).await;
    let head = head.map_err(|error| Unread { step: "head", id: SmolStr::default(), error })?;
    let room = entry.bodies.open();
    let (max_bytes, timeout_ms) = (limits.body_max_bytes, entry.options.body_timeout_ms);
    let body = connection.read_request_body(&head, max_bytes, timeout_ms, &room).await;
    let id = || entry.dialect.read_request(&head).id;
    let body = body.map_err(|error| Unread { step: "body", id: id(), error })?;
    Ok((head, body, room))
}

/// Receives the head of a request.
pub(super) async fn read_head(
    connection: &mut Connection,
    limits: &ClientLimits,
) -> Result<RequestHead, Error> {
    let read = connection.read_request_head(limits.head_max_bytes);
    within(limits.head_timeout_ms, read).await.ok_or(Error::TimedOut)?
}
