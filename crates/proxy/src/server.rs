//! Accepts callers' connections and handles the requests of each connection in order.

use crate::entry::Entry;
use crate::exchange::{self, ReceivedRequest};
use crate::http1::{Body, Connection, Error, RequestHead};
use lycheehub_clock::within;
use lycheehub_routes::ClientLimits;
use lycheehub_types::CountGuard;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Time limit for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Delay before the next `accept` after a failed one, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Time in milliseconds for which an idle connection stays open beyond the configured limit, so
/// that a request sent just within the limit does not arrive at a closed connection.
const IDLE_GRACE_MS: u64 = 1_000;
/// Interim response for a caller that sent `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Accepts connections and spawns a task for each; never returns.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if entry.connections.get() < entry.options.connections_max => {
                let entry = entry.clone();
                let executor = entry.executor.clone();
                executor.spawn(async move { serve_connection(&entry, stream).await }).detach();
            }
            Ok(_) => {
                metrics::counter!("lycheehub_connections_refused_total").increment(1);
                spdlog::warn!("connection refused: connections_max reached");
            }
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection(entry: &Rc<Entry>, stream: TcpStream) {
    let _open_connection = CountGuard::new(&entry.connections);
    if let Err(error) = stream.set_nodelay(true) {
        return spdlog::debug!("failed to set TCP_NODELAY on a new connection", kv: { error: });
    }
    let mut connection = Connection::new(stream);
    while wait_for_request(entry, &mut connection).await {
        let _active_exchange = CountGuard::new(&entry.exchanges);
        let limits = entry.snapshots.latest().table.document().limits;
        let started_ms = entry.clock.now_ms();
        match read_request(&mut connection, &limits).await {
            Ok((head, body)) => {
                let read_ms = entry.clock.now_ms() - started_ms;
                let request = ReceivedRequest { head, body, read_ms };
                if !exchange::handle_request(entry, &mut connection, request).await {
                    return;
                }
            }
            Err(error) => {
                spdlog::info!("failed to read a request", kv: { error: = error });
                return exchange::refuse_unreadable(entry, &mut connection, &error).await;
            }
        }
    }
}

/// Waits for the first byte of a request; returns whether one arrived.
async fn wait_for_request(entry: &Entry, connection: &mut Connection) -> bool {
    if !connection.buffered().is_empty() {
        return true;
    }
    let limits = entry.snapshots.latest().table.document().limits;
    let idle_ms = limits.idle_timeout_ms.saturating_add(IDLE_GRACE_MS);
    let received = async { matches!(connection.fill().await, Ok(1..)) };
    let closing = async {
        entry.idle_close_requested().await;
        false
    };
    let received = within(idle_ms, smol::future::or(received, closing)).await;
    received.unwrap_or(false)
}

async fn read_request(
    connection: &mut Connection,
    limits: &ClientLimits,
) -> Result<(RequestHead, Vec<u8>), Error> {
    let timed_out = || Error::Io(std::io::ErrorKind::TimedOut.into());
    let read = connection.read_request_head(limits.head_max_bytes);
    let head = within(limits.head_timeout_ms, read).await.ok_or_else(timed_out)??;
    if head.expects_continue() {
        connection.send(CONTINUE_RESPONSE).await?;
    }
    let body = Body::new(head.framing);
    let read = body.read_whole(connection, limits.body_max_bytes);
    let body = within(BODY_TIMEOUT_MS, read).await.ok_or_else(timed_out)??;
    Ok((head, body))
}
