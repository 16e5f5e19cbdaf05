//! Which call a path stands for.

use super::{json, refusal_response};
use crate::filters::{self, Exchange};
use crate::{Gateway, announce, operators, serve};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use lycheehub_types::{Refusal, RefusalKind};
use serde::Serialize;
use smol::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

#[derive(Serialize)]
struct Health {
    ready: bool,
    revision: u64,
    stopping: bool,
}

/// Answers one request; fails where the caller left.
pub(super) async fn answer(
    gateway: &Arc<Gateway>,
    request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let stopping = gateway.is_stopping();
    // Boxed, so that a connection that streams or idles does not hold the room of all calls.
    let mut response = Box::pin(dispatch(gateway, request, stream)).await?;
    if stopping {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

async fn dispatch(
    gateway: &Arc<Gateway>,
    request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => Ok(json(200, &health(gateway))),
        (Method::Get, "/readyz") => Ok(ready(gateway)),
        (Method::Get, "/metrics") => Ok(metrics_text(gateway)),
        (Method::Post, "/v1/endpoints/announce") => Ok(announce::announce(gateway, request).await),
        (Method::Post, "/v1/endpoints/cache-events") => {
            Ok(announce::cache_events(gateway, request).await)
        }
        _ if path.starts_with("/v1/operators/") => Ok(operators::answer(gateway, request).await),
        _ if filters::takes(&path) => callers(gateway, request, stream).await,
        _ => Ok(refusal_response(&Refusal::new(RefusalKind::NotFound, "no such path"))),
    }
}

/// Answers a caller, unless it leaves before the answer begins.
async fn callers(
    gateway: &Arc<Gateway>,
    mut request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let mut exchange = Exchange::new(gateway, &request);
    if let Err(refused) = filters::read(gateway, &mut request, &mut exchange).await {
        return Ok(refused.response(&exchange));
    }
    let answered = async { Ok(filter_and_serve(gateway, exchange).await) };
    let left = async {
        hung_up(stream).await;
        Err(http_types::Error::from_str(StatusCode::BadRequest, "the caller left"))
    };
    answered.or(left).await
}

async fn filter_and_serve(gateway: &Arc<Gateway>, mut exchange: Exchange) -> Response {
    if let Err(refused) = filters::pass(gateway, &mut exchange) {
        return refused.response(&exchange);
    }
    let request = exchange.request;
    let mut response = serve::serve(gateway, exchange).await;
    response.insert_header("x-request", request.to_string());
    response
}

/// Ends when the caller closes the connection.
async fn hung_up(stream: &TcpStream) {
    let mut byte = [0];
    if !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        // The next request is here already; the caller has not left.
        std::future::pending::<()>().await;
    }
}

fn health(gateway: &Gateway) -> Health {
    let view = gateway.views.latest();
    let stopping = gateway.draining.load(Ordering::Relaxed) || gateway.is_stopping();
    Health { ready: view.ready, revision: view.revision, stopping }
}

fn ready(gateway: &Gateway) -> Response {
    let health = health(gateway);
    let ready = health.ready && !health.stopping;
    json(if ready { 200 } else { 503 }, &health)
}

fn metrics_text(gateway: &Gateway) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(gateway.metrics.render());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}
