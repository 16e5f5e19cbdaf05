//! Accepts callers' connections and handles the requests of each connection in order.
//!
//! Once bytes of a request have arrived, its connection does not end without a response: a request that
//! cannot be served is refused, and the response is left time to arrive before the connection closes.

mod closing;
mod idle;
mod receive;

use crate::caller::Caller;
use crate::entry::Entry;
use crate::exchange::{self, ReceivedRequest};
use crate::http1::Connection;
use crate::idle_time::IdleTime;
use crate::shutdown;
use closing::Waited;
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
/// Time for which a connection whose first request is refused may take for its head, in milliseconds.
const REFUSED_HEAD_MS: u64 = 1_000;
/// Retry delay sent by an instance with too many connections, in milliseconds.
const EXCESS_RETRY_AFTER_MS: u64 = 1_000;

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<Entry>);

impl OpenConnection {
    fn new(entry: &Rc<Entry>) -> Self {
        entry.connections.set(entry.connections.get() + 1);
        Self(entry.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Accepts connections and spawns a task for each, until `Entry::end_accepting` is called.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        // Connections that the system has taken are accepted first.
        let accepted = entry.shutdown.accepting_ends.interrupt(listener.accept()).await;
        let Some(accepted) = accepted else { return };
        match accepted {
            Ok((stream, caller)) => accept(&entry, stream, caller),
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

fn accept(entry: &Rc<Entry>, stream: TcpStream, address: SocketAddr) {
    let caller = Caller::new(entry, address);
    let excess = (entry.connections.get() + 1).saturating_sub(entry.options.connections_max);
    if excess > 0 {
        metrics::counter!("lycheehub_connections_refused_total").increment(1);
        spdlog::warn!("connection refused: connections_max reached", kv: {
            caller: = caller.address, connection = caller.connection,
        });
    }
    if excess > EXCESS_CONNECTIONS_MAX {
        return;
    }
    let refusal = refusal_of_connection(entry, excess);
    // Counted here, since a burst is accepted before the first of its tasks runs.
    let open_connection = OpenConnection::new(entry);
    let (entry, executor) = (entry.clone(), entry.executor.clone());
    let task = async move {
        let _open_connection = open_connection;
        if let Err(error) = stream.set_nodelay(true) {
            return spdlog::info!("failed to set TCP_NODELAY on a new connection", kv: {
                error:, caller: = caller.address, connection = caller.connection,
            });
        }
        let connection = Connection::new(stream);
        match refusal {
            Some(refusal) => refuse_first_request(&entry, connection, &refusal, caller).await,
            None => serve_connection(&entry, connection, caller).await,
        }
    };
    executor.spawn(task).detach();
}

/// Returns why the first request of a new connection is refused, if it is.
fn refusal_of_connection(entry: &Entry, excess: usize) -> Option<Refusal> {
    if excess > 0 {
        let message = "this instance has too many connections";
        let kind = RefusalKind::TooManyConnections;
        return Some(Refusal::retry(kind, message, EXCESS_RETRY_AFTER_MS));
    }
    entry.shutdown.refusing.is_set().then(shutdown::refusal)
}

async fn serve_connection(entry: &Rc<Entry>, mut connection: Connection, caller: Caller) {
    let mut requests = 0;
    let mut idle_time = IdleTime::default();
    loop {
        let since_ms = entry.clock.now_ms();
        let end = idle::wait_for_request(entry, &mut connection, idle_time, caller).await;
        closing::log_wait_end(entry, &end, Waited { since_ms, requests }, caller);
        match end {
            WaitEnd::Received => {}
            WaitEnd::Stopping => return refuse_crossing_request(entry, &mut connection).await,
            WaitEnd::CallerClosed(_) | WaitEnd::IdleLimit => return,
        }
        let Some(stated) = serve_request(entry, &mut connection, caller).await else { return };
        idle_time = stated;
        requests += 1;
    }
}

/// Receives and handles a request, and closes the connection unless it can be used for another one; returns
/// the idle time that its response stated then.
async fn serve_request(
    entry: &Rc<Entry>,
    connection: &mut Connection,
    caller: Caller,
) -> Option<IdleTime> {
    let _active_exchange = CountGuard::new(&entry.exchanges);
    // The limits of the moment at which the request begins hold until it is received.
    let limits = entry.client_limits();
    let idle_time = IdleTime::of(&limits);
    let started_ms = entry.clock.now_ms();
    let read = receive::read_request(entry, connection, &limits);
    let keeps_alive = match entry.shutdown.ending.interrupt(read).await {
        Some(Ok((head, body, room))) => {
            let read_ms = entry.clock.now_ms() - started_ms;
            let request = ReceivedRequest { head, body, room, read_ms, caller, idle_time };
            exchange::handle_request(entry, connection, request).await
        }
        None => {
            spdlog::info!("refused before it was received", kv: {
                read_ms = entry.clock.now_ms() - started_ms,
                caller: = caller.address, connection = caller.connection,
            });
            exchange::refuse(entry, connection, "", &shutdown::refusal()).await;
            false
        }
        Some(Err(receive::Unread { step, id, error })) => {
            let read_ms = entry.clock.now_ms() - started_ms;
            spdlog::info!("failed to read a request", kv: {
                error: = error, id: = id, step, read_ms,
                unread_bytes = connection.buffered().len() as u64,
                caller: = caller.address, connection = caller.connection,
            });
            exchange::refuse_unreadable(entry, connection, &id, &error).await;
            false
        }
    };
    if !keeps_alive {
        connection.close_gracefully().await;
    }
    keeps_alive.then_some(idle_time)
}

/// Closes an idle connection sooner than stated. A request that its caller has sent meanwhile is not read, and
/// this response, the one that HTTP defines for the case, tells so.
async fn refuse_crossing_request(entry: &Entry, connection: &mut Connection) {
    exchange::refuse(entry, connection, "", &shutdown::refusal_of_crossing()).await;
    connection.close_gracefully().await;
}

/// Refuses the first request of a connection. It is not counted as in progress: a shutdown does not wait for
/// connections that come meanwhile.
async fn refuse_first_request(
    entry: &Entry,
    mut connection: Connection,
    refusal: &Refusal,
    caller: Caller,
) {
    let limits = ClientLimits { head_timeout_ms: REFUSED_HEAD_MS, ..entry.client_limits() };
    let code = refusal.kind().code();
    let head = match receive::read_head(&mut connection, &limits).await {
        Ok(head) => head,
        Err(error) => {
            spdlog::info!("no request on a new connection that is refused", kv: {
                error: = error, code, caller: = caller.address, connection = caller.connection,
            });
            // Also to a caller that has sent nothing: its request may cross the close.
            exchange::refuse_unreadable(entry, &mut connection, "", &error).await;
            return connection.close_gracefully().await;
        }
    };
    let id = entry.dialect.read_request(&head).id;
    exchange::refuse(entry, &mut connection, &id, refusal).await;
    spdlog::info!("refused on a new connection", kv: {
        id: = id, code, caller: = caller.address, connection = caller.connection,
    });
    connection.close_gracefully().await;
}
