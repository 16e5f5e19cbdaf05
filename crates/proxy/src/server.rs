//! Takes the connections of callers, and the requests that come over each, one after the other.

use crate::entry::{Counted, Entry};
use crate::exchange::{self, Received};
use crate::http1::{Body, Connection, Error, RequestHead};
use lycheehub_clock::within;
use lycheehub_routes::ClientLimits;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a caller may take to send a request's body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// How long to wait after a connection could not be accepted, in milliseconds.
const ACCEPT_AGAIN_MS: u64 = 50;
/// How much longer than the limit an idle connection is kept, in milliseconds, so that a request
/// that is sent within the limit does not meet its end.
const IDLE_RESERVE_MS: u64 = 1_000;
/// What is answered to a caller that waits for a word before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Takes connections for ever.
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
                spdlog::warn!("connection refused: too many are open");
            }
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_AGAIN_MS)).await;
            }
        }
    }
}

async fn serve_connection(entry: &Rc<Entry>, stream: TcpStream) {
    let _open = Counted::new(&entry.connections);
    if let Err(error) = stream.set_nodelay(true) {
        return spdlog::debug!("connection lost at once", kv: { error: });
    }
    let mut connection = Connection::new(stream);
    while wait_for_request(entry, &mut connection).await {
        let _exchange = Counted::new(&entry.exchanges);
        let limits = entry.snapshots.latest().table.document().limits;
        let begun_ms = entry.clock.now_ms();
        match read_request(&mut connection, &limits).await {
            Ok((head, body)) => {
                let read_ms = entry.clock.now_ms() - begun_ms;
                let request = Received { head, body, read_ms };
                if !exchange::answer(entry, &mut connection, request).await {
                    return;
                }
            }
            Err(error) => {
                spdlog::info!("request not read", kv: { error: = error });
                return exchange::answer_unread(entry, &mut connection, &error).await;
            }
        }
    }
}

/// Waits for the first byte of a request; tells whether there is one.
async fn wait_for_request(entry: &Entry, connection: &mut Connection) -> bool {
    if !connection.unused().is_empty() {
        return true;
    }
    let limits = entry.snapshots.latest().table.document().limits;
    let idle_ms = limits.idle_timeout_ms + IDLE_RESERVE_MS;
    let filled = async { matches!(connection.fill().await, Ok(1..)) };
    let stopped = async {
        entry.idle_closed().await;
        false
    };
    let first = within(idle_ms, smol::future::or(filled, stopped)).await;
    first.unwrap_or(false)
}

async fn read_request(
    connection: &mut Connection,
    limits: &ClientLimits,
) -> Result<(RequestHead, Vec<u8>), Error> {
    let late = || Error::Io(std::io::ErrorKind::TimedOut.into());
    let read = connection.read_request_head(limits.head_max_bytes);
    let head = within(limits.head_timeout_ms, read).await.ok_or_else(late)??;
    if head.expects_continue() {
        connection.send(CONTINUE).await?;
    }
    let body = Body::new(head.framing);
    let read = body.read_whole(connection, limits.body_max_bytes);
    let body = within(BODY_TIMEOUT_MS, read).await.ok_or_else(late)??;
    Ok((head, body))
}
