//! Accepts connections up to a limit, each with a timeout for the head of a request.

use super::routes;
use crate::Gateway;
use async_h1::server::{ConnectionStatus, Server};
use futures_lite::FutureExt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Counts an open connection until it is dropped.
struct ConnectionGuard<'a>(&'a AtomicUsize);

impl<'a> ConnectionGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
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

    /// Completes if no request has started within the header timeout; otherwise never.
    async fn header_timeout(&self) {
        Timer::after(Duration::from_millis(self.gateway.settings.header_timeout_ms)).await;
        if self.started.load(Ordering::Relaxed) {
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

/// Accepts connections until the task is dropped.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    const ACCEPT_RETRY_MS: u64 = 50;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let open = gateway.connections.load(Ordering::Relaxed);
                if open >= gateway.settings.connections_max {
                    metrics::counter!("lycheehub_connections_refused_total").increment(1);
                    continue;
                }
                let task = serve_connection(gateway.clone(), stream);
                gateway.executor.spawn(task).detach();
            }
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let _guard = ConnectionGuard::new(&gateway.connections);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    while let Some(ConnectionStatus::KeepAlive) = serve_request(&gateway, &stream).await {}
}

/// Serves one request; returns `None` if the connection failed or timed out.
async fn serve_request(gateway: &Arc<Gateway>, stream: &TcpStream) -> Option<ConnectionStatus> {
    let guard = ExchangeGuard { gateway, started: AtomicBool::new(false) };
    let mut server = Server::new(stream.clone(), |request| {
        guard.start();
        let gateway = gateway.clone();
        let stream = stream.clone();
        async move { routes::respond(&gateway, request, &stream).await }
    });
    let served = async { Some(server.accept_one().await) };
    let timed_out = async {
        guard.header_timeout().await;
        None
    };
    match served.or(timed_out).await? {
        Ok(status) => Some(status),
        Err(error) => {
            spdlog::debug!("connection ended", kv: { error: });
            None
        }
    }
}
