//! Connections: accepted up to a bound, each with a time for the request's head.

use super::routes;
use crate::Gateway;
use async_h1::server::{ConnectionStatus, Server};
use futures_lite::FutureExt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Counts one open connection as long as it lives.
struct Open<'a>(&'a AtomicUsize);

impl<'a> Open<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request from when its head has come until its answer is written.
struct Exchange<'a> {
    gateway: &'a Gateway,
    begun: AtomicBool,
}

impl Exchange<'_> {
    fn begin(&self) {
        if !self.begun.swap(true, Ordering::Relaxed) {
            self.gateway.exchanges.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends when no request has begun in time.
    async fn overdue(&self) {
        Timer::after(Duration::from_millis(self.gateway.settings.header_timeout_ms)).await;
        if self.begun.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if *self.begun.get_mut() {
            self.gateway.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Takes connections until the task is dropped.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    const FAILED_WAIT_MS: u64 = 50;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let open = gateway.connections.load(Ordering::Relaxed);
                if open >= gateway.settings.connections_max {
                    metrics::counter!("lycheehub_connections_refused_total").increment(1);
                    continue;
                }
                let task = connection(gateway.clone(), stream);
                gateway.executor.spawn(task).detach();
            }
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: { error: });
                Timer::after(Duration::from_millis(FAILED_WAIT_MS)).await;
            }
        }
    }
}

async fn connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let _open = Open::new(&gateway.connections);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    while let Some(ConnectionStatus::KeepAlive) = one_request(&gateway, &stream).await {}
}

/// Answers one request; nothing where the connection is at its end.
async fn one_request(gateway: &Arc<Gateway>, stream: &TcpStream) -> Option<ConnectionStatus> {
    let exchange = Exchange { gateway, begun: AtomicBool::new(false) };
    let mut server = Server::new(stream.clone(), |request| {
        exchange.begin();
        let gateway = gateway.clone();
        let stream = stream.clone();
        async move { routes::answer(&gateway, request, &stream).await }
    });
    let answered = async { Some(server.accept_one().await) };
    let overdue = async {
        exchange.overdue().await;
        None
    };
    match answered.or(overdue).await? {
        Ok(status) => Some(status),
        Err(error) => {
            spdlog::debug!("connection ended", kv: { error: });
            None
        }
    }
}
