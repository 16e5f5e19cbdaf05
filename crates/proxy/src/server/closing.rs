//! Closes callers' connections.

use super::idle::WaitEnd;
use crate::entry::Entry;
use std::net::SocketAddr;

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
