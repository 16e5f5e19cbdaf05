//! Logs that callers' connections end.

use super::idle::WaitEnd;
use crate::caller::Caller;
use crate::entry::Entry;
use crate::http1::Error;

/// What a connection had carried when a wait for a request on it ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waited {
    /// When the wait began, in milliseconds.
    pub(super) since_ms: u64,
    /// The number of requests before it.
    pub(super) requests: u64,
}

/// Logs that a connection ends between requests.
pub(super) fn log_wait_end(entry: &Entry, end: &WaitEnd, waited: Waited, caller: Caller) {
    match end {
        WaitEnd::Received => {}
        WaitEnd::CallerClosed(error) => {
            log_caller_close(entry, error.as_ref(), waited, caller);
        }
        WaitEnd::IdleLimit => log_idle_close(entry, "idle limit", waited, caller),
        WaitEnd::Stopping => log_idle_close(entry, "stopping", waited, caller),
    }
}

/// Logs that an idle connection is closed by this instance: a request that is under way on it is not read.
fn log_idle_close(entry: &Entry, cause: &'static str, waited: Waited, caller: Caller) {
    metrics::counter!("lycheehub_idle_closes_total", "cause" => cause).increment(1);
    let now_ms = entry.clock.now_ms();
    let Some(left_out) = entry.idle_close_lines.admit(now_ms) else { return };
    spdlog::info!("idle connection closed", kv: {
        cause,
        idle_ms = now_ms - waited.since_ms,
        caller: = caller.address,
        connection = caller.connection,
        requests = waited.requests,
        left_out,
    });
}

/// Logs that a connection was closed by its caller, or failed, between requests. No byte of a request
/// had arrived.
fn log_caller_close(entry: &Entry, error: Option<&Error>, waited: Waited, caller: Caller) {
    let cause = if error.is_some() { "error" } else { "end of input" };
    metrics::counter!("lycheehub_caller_closes_total", "cause" => cause).increment(1);
    let now_ms = entry.clock.now_ms();
    let Some(left_out) = entry.caller_close_lines.admit(now_ms) else { return };
    let error = error.map(ToString::to_string).unwrap_or_default();
    spdlog::info!("connection closed by its caller", kv: {
        cause,
        error: = error,
        idle_ms = now_ms - waited.since_ms,
        caller: = caller.address,
        connection = caller.connection,
        requests = waited.requests,
        left_out,
    });
}
