//! A minimal HTTP server for requests of endpoints and operators, readiness checks and metrics.

use http_types::{Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::time::Duration;

/// The delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Accepts connections on `listener` and answers each request with `handler`.
pub(super) async fn serve<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                executor.spawn(serve_connection(stream, handler.clone())).detach();
            }
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    if let Err(error) = stream.set_nodelay(true) {
        return spdlog::debug!("failed to set TCP_NODELAY on a new connection", kv: { error: });
    }
    let caller = stream.peer_addr().ok().map(|address| address.to_string());
    let own = stream.local_addr().ok().map(|address| address.to_string());
    let service = |mut request: Request| {
        request.set_peer_addr(caller.clone());
        request.set_local_addr(own.clone());
        let response = handler(request);
        async move { Ok(response.await) }
    };
    if let Err(error) = async_h1::accept(stream, service).await {
        spdlog::debug!("connection ended", kv: { error: });
    }
}

/// Answers a request for the metrics; any other path is not found.
pub(super) fn metrics(handle: &PrometheusHandle, request: &Request) -> Response {
    if request.url().path() != METRICS_PATH {
        return Response::new(StatusCode::NotFound);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(handle.render());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}
