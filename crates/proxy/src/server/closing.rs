//! Closes callers' connections.

use super::idle::WaitEnd;
use crate::entry::Entry;
use crate::http1::Connection;
use lycheehub_clock::within;
use std::net::SocketAddr;

/// Time for which a caller may take to read the last response and to close its side, in milliseconds.
const LINGER_MS: u64 = 1_000;
/// Maximum number of bytes that are discarded meanwhile: several windows of a connection. A caller that
/// sends more does not read.
const LINGER_MAX_BYTES: usize = 1024 * 1024;

/// Closes a connection after its last response.
///
/// Closing a connection with unread bytes resets it, and the caller may lose the response. Therefore the
/// sending side is closed first, and what still arrives is discarded for a limited time.
pub(super) async fn close_gracefully(connection: &mut Connection) {
    if let Err(error) = connection.close_sending() {
        // The caller has closed or reset the connection already.
        return spdlog::debug!("connection not open any more", kv: { error: });
    }
    if within(LINGER_MS, connection.discard_until_closed(LINGER_MAX_BYTES)).await.is_none() {
        spdlog::debug!("the caller kept its side of the connection open");
    }
}

/// Logs that an idle connection is closed by this instance: a request that is under way on it gets no
/// response.
pub(super) fn log_idle_close(entry: &Entry, end: WaitEnd, since_ms: u64, caller: SocketAddr) {
    let cause = match end {
        WaitEnd::Stopping => "stopping",
        _ => "idle limit",
    };
    metrics::counter!("lycheehub_idle_closes_total", "cause" => cause).increment(1);
    let idle_ms = entry.clock.now_ms() - since_ms;
    spdlog::info!("idle connection closed", kv: { cause, idle_ms, caller: });
}
