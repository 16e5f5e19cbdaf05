//! Accepts connections up to a limit, each with a timeout for the head of a request.
//!
//! Once bytes of a request have arrived, its connection does not end without a response.

use super::message_stream::{Framing, MessageStream};
use super::{refusal_response, routes};
use crate::Gateway;
use async_h1::server::{ConnectionStatus, Encoder, Server};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use lycheehub_clock::within;
use lycheehub_types::{Refusal, RefusalKind};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The number of connections beyond the maximum that are accepted to refuse one request each.
const EXCESS_CONNECTIONS_MAX: usize = 64;
/// How long such a connection may take for its request, in milliseconds.
const EXCESS_TIMEOUT_MS: u64 = 1_000;

/// Time in milliseconds for which an idle connection stays open beyond the time that responses state, so
/// that a request sent just within it does not arrive at a closed connection.
const IDLE_GRACE_MS: u64 = 1_000;

/// Counts an open connection until it is dropped.
struct OpenConnection(Arc<Gateway>);

impl OpenConnection {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.connections.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts an exchange from when the head of the request has arrived until the response is written.
struct ExchangeGuard<'a> {
    gateway: &'a Gateway,
    started: AtomicBool,
}

impl ExchangeGuard<'_> {
    fn start(&self) {
        if !self.started.swap(true, Ordering::Relaxed) {
            self.gateway.exchanges.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn has_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Completes if no request has started within the header timeout of its first byte, or if none has come
    /// within that time and a little longer; otherwise never.
    async fn header_timeout(&self, caller: &MessageStream) {
        let timeout = Duration::from_millis(self.gateway.settings.header_timeout_ms);
        Timer::after(timeout).await;
        if !caller.has_received() {
            Timer::after(Duration::from_millis(IDLE_GRACE_MS)).await;
        }
        if let Some(begun) = caller.begun() {
            Timer::at(begun + timeout).await;
        }
        if self.has_started() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        if *self.started.get_mut() {
            self.gateway.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Accepts connections until `Gateway::accepting_ends`.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    const ACCEPT_RETRY_MS: u64 = 50;
    loop {
        // Connections that the system has taken are accepted first.
        let accepted = gateway.accepting_ends.interrupt(listener.accept()).await;
        let Some(accepted) = accepted else { return };
        match accepted {
            Ok((stream, _)) => accept(&gateway, stream),
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

fn accept(gateway: &Arc<Gateway>, stream: TcpStream) {
    let open = gateway.connections.load(Ordering::Relaxed);
    let excess = (open + 1).saturating_sub(gateway.settings.connections_max);
    if excess > 0 {
        metrics::counter!("lycheehub_connections_refused_total").increment(1);
    }
    if excess > EXCESS_CONNECTIONS_MAX {
        return spdlog::warn!("connection closed unread: too many are refused");
    }
    // Counted here, since a burst is accepted before the first of its tasks runs.
    let open_connection = OpenConnection::new(gateway);
    let task = async move {
        let gateway = &open_connection.0;
        if let Err(error) = stream.set_nodelay(true) {
            return spdlog::info!("failed to set TCP_NODELAY on a new connection", kv: { error: });
        }
        if excess > 0 {
            return refuse_excess(stream).await;
        }
        let caller = MessageStream::new(stream.clone());
        while serve_request(gateway, &caller, &stream).await {}
    };
    gateway.executor.spawn(task).detach();
}

/// Serves one request; returns whether the connection can be used for another one.
async fn serve_request(gateway: &Arc<Gateway>, caller: &MessageStream, stream: &TcpStream) -> bool {
    caller.begin_head();
    let guard = ExchangeGuard { gateway, started: AtomicBool::new(false) };
    let mut server = Server::new(caller.clone(), |request| {
        guard.start();
        let framing = framing_of(&request);
        caller.begin_body(framing.unwrap_or(Framing::Length(0)));
        let gateway = gateway.clone();
        let (caller, stream) = (caller.clone(), stream.clone());
        async move {
            let response = match framing {
                Some(_) => routes::respond(&gateway, request, &stream).await,
                None => Ok(refuse_coding()),
            };
            caller.begin_response();
            response
        }
    });
    let served = async { Some(server.accept_one().await) };
    let timed_out = async {
        guard.header_timeout(caller).await;
        None
    };
    let refusal = match served.or(timed_out).await {
        Some(Ok(ConnectionStatus::KeepAlive)) => return true,
        Some(Ok(ConnectionStatus::Close)) => {
            Refusal::new(RefusalKind::Incomplete, "the head ends too soon")
        }
        Some(Err(error)) => {
            spdlog::debug!("connection ended", kv: { error: });
            Refusal::new(RefusalKind::BadRequest, "the head does not decode")
        }
        None => Refusal::new(RefusalKind::Incomplete, "the head did not come in time"),
    };
    if caller.has_received() && !guard.has_started() {
        refuse_unread(stream.clone(), &refusal).await;
    }
    false
}

/// Returns where the body of a request ends, or `None` if its transfer coding is not known.
fn framing_of(request: &Request) -> Option<Framing> {
    let Some(codings) = request.header("transfer-encoding") else {
        return Some(Framing::Length(request.len().unwrap_or(0)));
    };
    let is_chunked =
        codings.iter().count() == 1 && codings.as_str().eq_ignore_ascii_case("chunked");
    is_chunked.then_some(Framing::Chunked)
}

/// Refuses a request whose body has no known end, as the last one of its connection.
fn refuse_coding() -> Response {
    let refusal = Refusal::new(RefusalKind::BadRequest, "the transfer coding is not chunked");
    spdlog::info!("refused", kv: {
        step = "body", code = refusal.kind().code(), message = refusal.message(),
    });
    let mut response = refusal_response(&refusal);
    response.insert_header("connection", "close");
    response
}

/// Refuses a request whose head was not received, as the last one of its connection.
async fn refuse_unread(mut stream: TcpStream, refusal: &Refusal) {
    spdlog::info!("refused", kv: {
        step = "head", code = refusal.kind().code(), message = refusal.message(),
    });
    let mut response = refusal_response(refusal);
    response.insert_header("connection", "close");
    let encoder = Encoder::new(response, Method::Get);
    if let Err(error) = futures_lite::io::copy(encoder, &mut stream).await {
        spdlog::debug!("the caller left before its refusal was sent", kv: { error: });
    }
}

/// Refuses the first request of a connection beyond the maximum.
async fn refuse_excess(stream: TcpStream) {
    const RETRY_AFTER_MS: u64 = 1_000;
    spdlog::warn!("request refused: connections_max reached");
    let mut server = Server::new(stream, |_| async {
        let message = "this instance has too many connections";
        let kind = RefusalKind::TooManyConnections;
        let mut response = refusal_response(&Refusal::retry(kind, message, RETRY_AFTER_MS));
        response.insert_header("connection", "close");
        Ok(response)
    });
    if !matches!(within(EXCESS_TIMEOUT_MS, server.accept_one()).await, Some(Ok(_))) {
        spdlog::debug!("no request came on a connection beyond the maximum");
    }
}
