//! Sends a request to one endpoint.

use super::response;
use crate::Gateway;
use crate::filters::{Exchange, Payload};
use crate::http::MessageStream;
use http_types::{Body, Request, Response, Url};
use lycheehub_net::keep_alive;
use lycheehub_types::PeerError;
use smol::net::TcpStream;
use std::future::Future;
use std::io::{self, ErrorKind};

/// Why an attempt at an endpoint failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// The endpoint was not reached.
    NotReached(PeerError),
    /// No byte of the request was written, or the endpoint reported that it did not run it.
    NotRun(PeerError),
    /// The endpoint ended the connection before its answer; the request may have run.
    Lost(PeerError),
    /// The request may have run.
    Unknown(PeerError),
}

impl Failure {
    /// Returns the failure of an exchange whose connection ended or that took too long.
    pub(super) fn of_exchange(error: PeerError) -> Self {
        match error {
            PeerError::Failed(..) => Self::Lost(error),
            PeerError::TimedOut(..) => Self::Unknown(error),
        }
    }
}

/// Connects to an endpoint; after a failure the request has not run.
async fn connect(gateway: &Gateway, address: &str) -> Result<TcpStream, Failure> {
    let fail = |cause: std::io::Error| PeerError::failed("connect", address, cause);
    let connect = async { TcpStream::connect(address).await.map_err(fail) };
    let timeout_ms = gateway.settings.connect_timeout_ms;
    let stream =
        with_timeout("connect", address, timeout_ms, connect).await.map_err(Failure::NotReached)?;
    let is_set = stream.set_nodelay(true).and_then(|()| keep_alive::enable(&stream));
    is_set.map_err(|error| Failure::NotRun(fail(error)))?;
    Ok(stream)
}

/// Sends a request and receives the head of the response. An idempotent request uses an idle
/// connection if there is one, and is sent again on a new connection if that fails.
///
/// Also returns the connection, which can be reused once the response was read to its end.
pub(super) async fn send_request(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    resume_from: u64,
) -> Result<(Response, MessageStream), Failure> {
    let idle = if payload.idempotent { take_idle(gateway, address).await } else { None };
    let Some(stream) = idle else {
        return send_on_new_connection(gateway, exchange, payload, address, resume_from).await;
    };
    let error = match send(gateway, exchange, payload, address, stream, resume_from).await {
        Ok(answered) => return Ok(answered),
        // The statement may be one on an earlier request on the connection.
        Err(
            Failure::NotReached(error)
            | Failure::NotRun(error)
            | Failure::Lost(error)
            | Failure::Unknown(error),
        ) => error,
    };
    spdlog::info!("request failed on an idle connection; retrying on a new one", kv: {
        request = exchange.request_number,
        error:,
    });
    let retried = send_on_new_connection(gateway, exchange, payload, address, resume_from).await;
    // The request that was sent on the idle connection may have run, whatever the second result.
    retried.map_err(|failure| match failure {
        Failure::NotReached(error) | Failure::Lost(error) => Failure::Lost(error),
        Failure::NotRun(error) | Failure::Unknown(error) => Failure::Unknown(error),
    })
}

/// Takes an idle connection on which nothing has arrived since its last response.
async fn take_idle(gateway: &Gateway, address: &str) -> Option<TcpStream> {
    loop {
        let stream = gateway.pool.take(gateway.clock.now_ms(), address)?;
        if futures_lite::future::poll_once(stream.peek(&mut [0])).await.is_none() {
            return Some(stream);
        }
        spdlog::info!("idle connection dropped: it was closed, or bytes arrived on it", kv: { address });
    }
}

async fn send_on_new_connection(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    resume_from: u64,
) -> Result<(Response, MessageStream), Failure> {
    let stream = connect(gateway, address).await?;
    send(gateway, exchange, payload, address, stream, resume_from).await
}

/// Sends a request and receives the head of the response. Any failure after the request is built
/// counts as [`Failure::Unknown`], unless the endpoint refuses it and reports with `x-not-run` that it
/// did not run it.
async fn send(
    gateway: &Gateway,
    exchange: &Exchange,
    payload: &Payload,
    address: &str,
    stream: TcpStream,
    resume_from: u64,
) -> Result<(Response, MessageStream), Failure> {
    let request = build_request(gateway, exchange, payload, address, resume_from)
        .map_err(|cause| Failure::NotRun(PeerError::failed("prepare", address, cause)))?;
    let request_bytes = exchange.body.len();
    if let Err(error) = keep_alive::require_confirmation(&stream, request_bytes) {
        spdlog::debug!("confirmation not required", kv: { address, error: });
    }
    let stream = MessageStream::new(stream);
    let exchanged = async {
        let response = response::exchange(stream.clone(), request).await;
        response.map_err(|error| match error.downcast::<io::Error>() {
            Ok(error) => exchange_error("send", address, &error),
            Err(error) => PeerError::failed("send", address, error),
        })
    };
    let left_ms = payload.job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    let response =
        with_timeout("send", address, left_ms, exchanged).await.map_err(Failure::of_exchange)?;
    let not_run = response.header("x-not-run").is_some_and(|values| values.as_str() == "true");
    if not_run && response.status().is_success() {
        let cause = "a success that claims not to have run";
        return Err(Failure::Unknown(PeerError::failed("send", address, cause)));
    }
    if not_run {
        let cause = format!("refused with status {}", response.status());
        return Err(Failure::NotRun(PeerError::failed("send", address, cause)));
    }
    Ok((response, stream))
}

/// Returns the error of an exchange whose connection failed. One whose host did not respond may be behind a
/// partition, which is no loss of the endpoint.
pub(super) fn exchange_error(step: &'static str, address: &str, cause: &io::Error) -> PeerError {
    match cause.kind() {
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            PeerError::TimedOut(step, address.into(), keep_alive::LOST_AFTER_MS.into())
        }
        _ => PeerError::failed(step, address, cause),
    }
}

/// Runs one step of an attempt with a timeout.
pub(super) async fn with_timeout<T>(
    step: &'static str,
    address: &str,
    timeout_ms: u64,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let result = lycheehub_clock::within(timeout_ms, work).await;
    result.unwrap_or_else(|| Err(PeerError::TimedOut(step, address.into(), timeout_ms)))
}

fn build_request(
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
    let id = format!(
        "{}/{}/{}",
        gateway.settings.instance, gateway.incarnation, exchange.request_number
    );
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
