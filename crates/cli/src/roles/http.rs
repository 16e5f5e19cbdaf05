//! Small HTTP servers: calls of endpoints and operators, readiness, metrics.

use http_types::{Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::time::Duration;

/// How long to wait after a connection could not be accepted, in milliseconds.
const ACCEPT_AGAIN_MS: u64 = 50;
/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers each request that comes to `listener` by `handler`.
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
                spdlog::warn!("connection not accepted", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_AGAIN_MS)).await;
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
        return spdlog::debug!("connection lost at once", kv: { error: });
    }
    let answer = |request| {
        let answering = handler(request);
        async move { Ok(answering.await) }
    };
    if let Err(error) = async_h1::accept(stream, answer).await {
        spdlog::debug!("connection ended", kv: { error: });
    }
}

/// Answers with the metrics.
pub(super) fn metrics(handle: &PrometheusHandle, request: &Request) -> Response {
    if request.url().path() != METRICS_PATH {
        return Response::new(StatusCode::NotFound);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(handle.render());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}
