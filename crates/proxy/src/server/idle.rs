//! Waits for the next request of a connection.

use crate::entry::Entry;
use crate::http1::Connection;
use lycheehub_clock::within;

/// Time in milliseconds for which an idle connection stays open beyond the limit, so that a request sent
/// just within the limit does not arrive at a closed connection.
const IDLE_GRACE_MS: u64 = 1_000;

/// Why the wait for a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// Bytes of a request have arrived.
    Received,
    /// The caller closed the connection.
    CallerClosed,
    /// The connection was idle for longer than any limit allows.
    IdleLimit,
    /// The instance is shutting down.
    Stopping,
}

/// Waits for the first byte of a request.
pub(super) async fn wait_for_request(entry: &Entry, connection: &mut Connection) -> WaitEnd {
    if !connection.buffered().is_empty() {
        return WaitEnd::Received;
    }
    let idle_ms = entry.client_limits().idle_timeout_ms + IDLE_GRACE_MS;
    let received = async {
        match connection.fill().await {
            Ok(1..) => WaitEnd::Received,
            Ok(0) | Err(_) => WaitEnd::CallerClosed,
        }
    };
    let closing = async {
        entry.idle_close_requested().await;
        WaitEnd::Stopping
    };
    // Bytes that have arrived are seen first.
    let received = within(idle_ms, smol::future::or(received, closing)).await;
    received.unwrap_or(WaitEnd::IdleLimit)
}
