//! Accepts callers' connections and handles the requests of each connection in order.
//!
//! Once bytes of a request have arrived, its connection does not end without a response: a request that
//! cannot be served is refused, and the response is left time to arrive before the connection closes.

mod closing;
mod idle;
mod receive;

use crate::entry::Entry;
use crate::exchange::{self, ReceivedRequest};
use crate::http1::Connection;
use idle::WaitEnd;
use lycheehub_routes::ClientLimits;
use lycheehub_types::{CountGuard, Refusal, RefusalKind};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub(crate) use idle::IdleLimits;

/// Delay before the next `accept` after a failed one, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Number of connections beyond the maximum that are accepted to refuse one request each. Descriptors
/// reserved for other uses are enough for them.
const EXCESS_CONNECTIONS_MAX: usize = 64;
/// Time for which such a connection may stay open without a request, in milliseconds.
const EXCESS_IDLE_MS: u64 = 1_000;
/// Retry delay sent on such a connection, in milliseconds.
const EXCESS_RETRY_AFTER_MS: u64 = 1_000;

/// Accepts connections and spawns a task for each; never returns.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => accept(&entry, stream, caller),
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

fn accept(entry: &Rc<Entry>, stream: TcpStream, caller: SocketAddr) {
    let excess = (entry.connections.get() + 1).saturating_sub(entry.options.connections_max);
    if excess > 0 {
        metrics::counter!("lycheehub_connections_refused_total").increment(1);
        spdlog::warn!("connection refused: connections_max reached", kv: { caller: });
    }
    if excess > EXCESS_CONNECTIONS_MAX {
        return;
    }
    let is_late = entry.is_closing_idle();
    let (entry, executor) = (entry.clone(), entry.executor.clone());
    let task = async move {
        let _open_connection = CountGuard::new(&entry.connections);
        if let Err(error) = stream.set_nodelay(true) {
            return spdlog::info!("failed to set TCP_NODELAY on a new connection", kv: {
                error:, caller:,
            });
        }
        let connection = Connection::new(stream);
        if excess > 0 {
            refuse_excess(&entry, connection).await;
        } else {
            serve_connection(&entry, connection, caller, is_late).await;
        }
    };
    executor.spawn(task).detach();
}

/// Serves a connection; one that `is_late` was accepted after idle ones had been closed.
async fn serve_connection(
    entry: &Rc<Entry>,
    mut connection: Connection,
    caller: SocketAddr,
    is_late: bool,
) {
    loop {
        let waited_from_ms = entry.clock.now_ms();
        match idle::wait_for_request(entry, &mut connection, is_late).await {
            WaitEnd::Received => {}
            WaitEnd::CallerClosed => return,
            end => return closing::log_idle_close(entry, end, waited_from_ms, caller),
        }
        if !serve_request(entry, &mut connection, caller).await {
            return;
        }
    }
}

/// Receives and handles a request, and closes the connection unless it can be used for another one; returns
/// whether it can.
async fn serve_request(entry: &Rc<Entry>, connection: &mut Connection, caller: SocketAddr) -> bool {
    let _active_exchange = CountGuard::new(&entry.exchanges);
    // The limits of the moment at which the request begins hold until it is received.
    let limits = entry.client_limits();
    let started_ms = entry.clock.now_ms();
    let keeps_alive = match receive::read_request(entry, connection, &limits).await {
        Ok((head, body)) => {
            let read_ms = entry.clock.now_ms() - started_ms;
            let request = ReceivedRequest { head, body, read_ms };
            exchange::handle_request(entry, connection, request).await
        }
        Err(receive::Unread { step, id, error }) => {
            let read_ms = entry.clock.now_ms() - started_ms;
            spdlog::info!("failed to read a request", kv: {
                error: = error, id: = id, step, read_ms, caller:,
            });
            exchange::refuse_unreadable(entry, connection, &id, &error).await;
            false
        }
    };
    if !keeps_alive {
        closing::close_gracefully(connection).await;
    }
    keeps_alive
}

/// Refuses the first request of a connection beyond the maximum.
async fn refuse_excess(entry: &Entry, mut connection: Connection) {
    let limits = ClientLimits { head_timeout_ms: EXCESS_IDLE_MS, ..entry.client_limits() };
    let Ok(head) = receive::read_head(&mut connection, &limits).await else { return };
    let message = "this instance has too many connections";
    let kind = RefusalKind::TooManyConnections;
    let refusal = Refusal::retry(kind, message, EXCESS_RETRY_AFTER_MS);
    let id = entry.dialect.read_request(&head).id;
    exchange::refuse(entry, &mut connection, &id, &refusal).await;
    closing::close_gracefully(&mut connection).await;
}
