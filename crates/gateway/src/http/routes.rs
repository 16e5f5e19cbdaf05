//! Routes requests by method and path.

use super::{json, refusal_response};
use crate::filters::{self, Exchange};
use crate::{Gateway, announce, operators, serve};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Version};
use lycheehub_types::{Refusal, RefusalKind};
use serde::Serialize;
use smol::net::TcpStream;
use std::sync::Arc;

#[derive(Serialize)]
struct Health {
    ready: bool,
    revision: u64,
    stopping: bool,
}

/// Responds to one request.
///
/// # Errors
/// Fails if the caller disconnects before the response starts.
pub(super) async fn respond(
    gateway: &Arc<Gateway>,
    request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let is_last = is_last_request(&request);
    // Boxed, so that a streaming or idle connection does not hold the memory of all handlers.
    let mut response = Box::pin(route(gateway, request, stream)).await?;
    if gateway.is_leaving() {
        response.insert_header("connection", "close");
    } else if !is_last {
        state_idle_time(gateway, &mut response);
    }
    Ok(response)
}

/// Returns whether the caller wants its connection closed after the response.
fn is_last_request(request: &Request) -> bool {
    let connection = request.header("connection").map(|values| values.as_str());
    let closes = connection.is_some_and(|value| value.eq_ignore_ascii_case("close"));
    closes || request.version() == Some(Version::Http1_0)
}

/// States how long the connection may be idle after the response, in whole seconds.
fn state_idle_time(gateway: &Gateway, response: &mut Response) {
    let idle_s = gateway.settings.header_timeout_ms / 1_000;
    if idle_s > 0 {
        response.insert_header("keep-alive", format!("timeout={idle_s}"));
    }
}

async fn route(
    gateway: &Arc<Gateway>,
    request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => Ok(json(200, &health(gateway))),
        (Method::Get, "/readyz") => Ok(readiness(gateway)),
        (Method::Get, "/metrics") => Ok(metrics_text(gateway)),
        (Method::Post, "/v1/endpoints/announce") => Ok(announce::announce(gateway, request).await),
        (Method::Post, "/v1/endpoints/cache-events") => {
            Ok(announce::cache_events(gateway, request).await)
        }
        _ if path.starts_with("/v1/operators/") => Ok(operators::handle(gateway, request).await),
        _ if filters::matches_path(&path) => serve_caller(gateway, request, stream).await,
        _ => Ok(refusal_response(&Refusal::new(RefusalKind::NotFound, "no such path"))),
    }
}

/// Responds to a caller, unless it disconnects before the response starts.
async fn serve_caller(
    gateway: &Arc<Gateway>,
    mut request: Request,
    stream: &TcpStream,
) -> http_types::Result<Response> {
    let mut exchange = Exchange::new(gateway, &request);
    if let Err(rejection) = filters::read_request_body(gateway, &mut request, &mut exchange).await {
        return Ok(rejection.response(&exchange));
    }
    let served = async { Ok(filter_and_serve(gateway, exchange).await) };
    let disconnected = async {
        caller_disconnected(stream).await;
        Err(http_types::Error::from_str(StatusCode::BadRequest, "the caller closed the connection"))
    };
    let ended = async {
        gateway.ending.wait().await;
        let message = "this instance stops before the answer";
        Ok(refusal_response(&Refusal::new(RefusalKind::OutcomeUnknown, message)))
    };
    served.or(disconnected).or(ended).await
}

async fn filter_and_serve(gateway: &Arc<Gateway>, mut exchange: Exchange) -> Response {
    if let Err(rejection) = filters::apply_all(gateway, &mut exchange) {
        return rejection.response(&exchange);
    }
    let request_number = exchange.request_number;
    let mut response = serve::serve(gateway, exchange).await;
    response.insert_header("x-request", request_number.to_string());
    response
}

/// Completes when the caller closes the connection; never if the caller has sent more bytes
/// instead.
async fn caller_disconnected(stream: &TcpStream) {
    let mut byte = [0];
    if !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        // The next request has already arrived, so the caller is still connected.
        std::future::pending::<()>().await;
    }
}

fn health(gateway: &Gateway) -> Health {
    let view = gateway.views.latest();
    Health { ready: view.ready, revision: view.revision, stopping: gateway.is_leaving() }
}

fn readiness(gateway: &Gateway) -> Response {
    let health = health(gateway);
    let ready = health.ready && !health.stopping;
    json(if ready { 200 } else { 503 }, &health)
}

fn metrics_text(gateway: &Gateway) -> Response {
    gateway.bodies.record_gauges();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(gateway.metrics.render());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}
