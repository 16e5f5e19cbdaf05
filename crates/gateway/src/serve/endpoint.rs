//! The exchange with one endpoint.

use crate::Gateway;
use crate::filters::{Exchange, Payload};
use http_types::{Body, Request, Response, Url};
use lycheehub_types::PeerError;
use smol::net::TcpStream;
use std::future::Future;

/// How an attempt at an endpoint failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// No byte of the request was written, or the endpoint said that it did not run it.
    NotRun(PeerError),
    /// The request may have run.
    Unknown(PeerError),
}

/// Connects to an endpoint; a failure means that the request did not run.
async fn connect(gateway: &Gateway, address: &str) -> Result<TcpStream, Failure> {
    let fail = |cause: std::io::Error| PeerError::failed("connect", address, cause);
    let connect = async { TcpStream::connect(address).await.map_err(fail) };
    let timeout_ms = gateway.settings.connect_timeout_ms;
    let stream = bounded("connect", address, timeout_ms, connect).await.map_err(Failure::NotRun)?;
    stream.set_nodelay(true).map_err(|error| Failure::NotRun(fail(error)))?;
    Ok(stream)
}

/// Sends a request and takes the head of the response, over an idle connection where the request
/// may be sent twice.
///
/// Returns the connection as well, to be kept once the answer was read to its end.
pub(super) async fn exchange(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    resume_from: u64,
) -> Result<(Response, TcpStream), Failure> {
    let now_ms = gateway.clock.now_ms();
    let idle = payload.idempotent.then(|| gateway.pool.take(now_ms, address)).flatten();
    let Some(stream) = idle else {
        return exchange_new(gateway, exchange, payload, address, resume_from).await;
    };
    let error = match send(gateway, exchange, payload, address, &stream, resume_from).await {
        Ok(response) => return Ok((response, stream)),
        Err(Failure::NotRun(error)) => return Err(Failure::NotRun(error)),
        Err(Failure::Unknown(error)) => error,
    };
    spdlog::info!("sent again on a new connection", kv: { request = exchange.request, error: });
    let again = exchange_new(gateway, exchange, payload, address, resume_from).await;
    // What was sent over the idle connection may have run, whatever became of the second attempt.
    again.map_err(|failure| match failure {
        Failure::NotRun(error) | Failure::Unknown(error) => Failure::Unknown(error),
    })
}

async fn exchange_new(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    resume_from: u64,
) -> Result<(Response, TcpStream), Failure> {
    let stream = connect(gateway, address).await?;
    let response = send(gateway, exchange, payload, address, &stream, resume_from).await?;
    Ok((response, stream))
}

/// Sends a request and takes the head of the response; the request counts as dispatched.
async fn send(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    stream: &TcpStream,
    resume_from: u64,
) -> Result<Response, Failure> {
    let request = request(gateway, exchange, payload, address, resume_from)
        .map_err(|cause| Failure::NotRun(PeerError::failed("prepare", address, cause)))?;
    let sent = async {
        let response = async_h1::connect(stream.clone(), request).await;
        response.map_err(|error| PeerError::failed("send", address, error))
    };
    let left_ms = payload.job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    let response = bounded("send", address, left_ms, sent).await.map_err(Failure::Unknown)?;
    let not_run = response.header("x-not-run").is_some_and(|values| values.as_str() == "true");
    if not_run {
        let cause = format!("refused with status {}", response.status());
        return Err(Failure::NotRun(PeerError::failed("send", address, cause)));
    }
    Ok(response)
}

/// Bounds a step at an endpoint in time.
pub(super) async fn bounded<T>(
    step: &'static str,
    address: &str,
    timeout_ms: u64,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let done = lycheehub_clock::within(timeout_ms, work).await;
    done.unwrap_or_else(|| Err(PeerError::TimedOut(step, address.into(), timeout_ms)))
}

fn request(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    resume_from: u64,
) -> Result<Request, String> {
    let url =
        Url::parse(&format!("http://{address}{}", payload.path)).map_err(|e| e.to_string())?;
    let mut request = Request::new(exchange.method, url);
    request.set_body(Body::from_bytes(exchange.body.clone()));
    if let Some(content_type) = &exchange.content_type {
        request.insert_header("content-type", content_type.as_str());
    }
    let id = format!("{}/{}/{}", gateway.settings.instance, gateway.incarnation, exchange.request);
    request.insert_header("x-request", id);
    if !payload.idempotent {
        request.insert_header("connection", "close");
    }
    if let Some(key) = &exchange.idempotency_key {
        request.insert_header("idempotency-key", key.as_str());
    }
    if resume_from > 0 {
        request.insert_header("x-resume-from", resume_from.to_string());
    }
    Ok(request)
}
