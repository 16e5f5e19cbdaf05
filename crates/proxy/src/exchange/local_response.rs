//! Responses that this instance generates itself.

use super::{BufferedResponse, Exchange, Interrupted, StreamState};
use crate::entry::Entry;
use crate::http1::{Connection, Headers};
use crate::idle_time::IdleTime;
use crate::shutdown;
use lycheehub_types::{Refusal, RefusalKind};

/// Returns the bytes of a response that refuses a request; `idle_time` is that of the connection if it
/// stays open.
pub(super) fn refusal(
    entry: &Entry,
    id: &str,
    refusal: &Refusal,
    idle_time: Option<IdleTime>,
) -> Vec<u8> {
    let kind = refusal.kind();
    let body =
        format!("{{\"error\":{{\"code\":\"{kind}\",\"message\":\"{}\"}}}}", refusal.message());
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    headers.push("Content-Length", body.len().to_string());
    if let Some(after_ms) = refusal.retry_after_ms() {
        headers.push("Retry-After", format!("{:.3}", after_ms as f64 / 1e3));
    }
    push_connection(&mut headers, idle_time);
    entry.dialect.add_local(&mut headers, id);
    let status = kind.http_status();
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", reason_of(status)).into_bytes();
    headers.write(&mut bytes);
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// Adds the fields of a response about its connection, which stays open for `idle_time` or is closed.
pub(super) fn push_connection(headers: &mut Headers, idle_time: Option<IdleTime>) {
    match idle_time {
        Some(idle_time) => idle_time.push(headers),
        None => headers.push("Connection", "close"),
    }
}

fn reason_of(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Returns the refusal of a request that was cancelled because its caller closed the connection.
fn cancelled(may_have_run: bool) -> Refusal {
    let kind = if may_have_run { RefusalKind::OutcomeUnknown } else { RefusalKind::Cancelled };
    Refusal::new(kind, "the caller closed its side of the connection")
}

/// Sends a complete response; returns whether the connection can be used for another request.
pub(super) async fn send_response(
    caller: &mut Connection,
    id: &str,
    bytes: &[u8],
    keeps_alive: bool,
) -> bool {
    match caller.send(bytes).await {
        Ok(()) => keeps_alive,
        Err(error) => {
            spdlog::info!("caller disconnected before the response was sent", kv: { id, error: });
            false
        }
    }
}

impl Exchange<'_> {
    /// Returns whether the caller's connection stays open after this response.
    pub(super) fn keeps_alive(&self) -> bool {
        self.head.keeps_alive && !self.entry.is_stopping()
    }

    /// Refuses the request; returns whether the connection can be used for another one.
    pub(super) async fn refuse(&mut self, connection: &mut Connection, refused: &Refusal) -> bool {
        self.access_log.record_refusal(refused);
        let keeps_alive = self.keeps_alive();
        let idle_time = keeps_alive.then_some(self.idle_time);
        let bytes = refusal(self.entry, &self.fields.id, refused, idle_time);
        send_response(connection, &self.fields.id, &bytes, keeps_alive).await
    }

    /// Ends a request after its last attempt, for the reason in `refused`. A stream that has started
    /// is truncated. Otherwise the last buffered response of an endpoint is relayed, if there is one.
    /// A request that may have run is refused as `OutcomeUnknown`, without a retry delay; only one
    /// that has not run is refused with `refused` itself.
    pub(super) async fn give_up(
        &mut self,
        connection: &mut Connection,
        buffered: Option<BufferedResponse>,
        may_have_run: bool,
        stream: &StreamState,
        refused: &Refusal,
    ) -> bool {
        if stream.has_started() {
            self.access_log.record_end("cut");
            return false;
        }
        if let Some(buffered) = buffered {
            return self.relay_buffered(connection, &buffered).await;
        }
        if may_have_run {
            let unknown = Refusal::new(RefusalKind::OutcomeUnknown, refused.message());
            return self.refuse(connection, &unknown).await;
        }
        self.refuse(connection, refused).await
    }

    /// Ends a request whose caller disconnected, whose deadline passed or which the shutdown ends.
    pub(super) async fn interrupted(
        &mut self,
        connection: &mut Connection,
        cause: Interrupted,
        may_have_run: bool,
        stream: &StreamState,
    ) -> bool {
        const RETRY_AFTER_MS: u64 = 1_000;
        let is_caller_gone = cause == Interrupted::CallerDisconnected;
        if is_caller_gone || stream.has_started() {
            self.access_log.record_end(cause.end_of_response());
        }
        if stream.has_started() {
            return false;
        }
        if is_caller_gone {
            // It may have closed its sending side only.
            let bytes = refusal(self.entry, &self.fields.id, &cancelled(may_have_run), None);
            return send_response(connection, &self.fields.id, &bytes, false).await;
        }
        let refused = match (cause, may_have_run) {
            (Interrupted::Stopped, true) => {
                Refusal::new(RefusalKind::OutcomeUnknown, "this instance stops before the answer")
            }
            (Interrupted::Stopped, false) => shutdown::refusal(),
            (_, true) => Refusal::new(RefusalKind::TimedOut, "no answer within the request's time"),
            (_, false) => {
                let message = "no endpoint was free within the request's time";
                Refusal::retry(RefusalKind::DeadlineUnreachable, message, RETRY_AFTER_MS)
            }
        };
        self.refuse(connection, &refused).await
    }
}
