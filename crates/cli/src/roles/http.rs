//! An HTTP server for requests of endpoints and operators, readiness checks and metrics.
//!
//! Anybody may connect, so all that a connection costs is bounded: its head, the time that it takes, and,
//! together with all other connections, its body and its response.

use super::connections::{OpenConnection, OpenConnections};
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Response, StatusCode, Url};
use lycheehub_budget::{Budget, Room};
use lycheehub_clock::within;
use lycheehub_proxy::http1::{Connection, Error, RequestHead};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The maximum length of a request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// The longest body, in bytes: that of a document.
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;
/// How long a connection may be idle between requests, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// How long a head may take from its first byte, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 5_000;
/// How long a body may take, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// How long a caller may take to read a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;

/// What the connections of a listener share.
#[derive(Clone)]
pub(super) struct Limits {
    /// The memory for bodies and responses.
    pub(super) bodies: Arc<Budget>,
    /// The most concurrent connections.
    pub(super) connections_max: usize,
}

/// A request that was received whole.
struct Received {
    request: Request,
    /// Whether the connection can be used for another request.
    keeps_alive: bool,
    /// Keeps the body's memory charged until the request is answered.
    _room: Room,
}

/// Accepts connections on `listener` and answers each request with `handler`.
pub(super) async fn serve<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: Limits,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let connections = OpenConnections::new(limits.connections_max);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Counted here, since a burst is accepted before the first of its tasks runs.
                let Some(open) = connections.add() else { continue };
                let (bodies, handler) = (limits.bodies.clone(), handler.clone());
                let task = async move { serve_connection(stream, &open, &bodies, handler).await };
                executor.spawn(task).detach();
            }
            Err(error) => {
                spdlog::warn!("failed to accept a connection", kv: { error: });
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: &OpenConnection,
    bodies: &Arc<Budget>,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    if let Err(error) = stream.set_nodelay(true) {
        return spdlog::debug!("failed to set TCP_NODELAY on a new connection", kv: { error: });
    }
    let caller = stream.peer_addr().ok().map(|address| address.to_string());
    let own = stream.local_addr().ok().map(|address| address.to_string());
    let mut connection = Connection::new(stream);
    while let Some(received) = open.unless_closed(next_request(&mut connection, bodies)).await {
        let (response, keeps_alive) = match received {
            Ok(Received { mut request, keeps_alive, _room }) => {
                request.set_peer_addr(caller.clone());
                request.set_local_addr(own.clone());
                (handler(request).await, keeps_alive)
            }
            Err(error) => match refusal(&error) {
                Some(response) => (response, false),
                None => return spdlog::debug!("connection ended", kv: { error: }),
            },
        };
        match send_response(&mut connection, bodies, response, keeps_alive).await {
            Ok(()) if keeps_alive => {}
            Ok(()) => return connection.close_gracefully().await,
            Err(error) => return spdlog::debug!("connection ended", kv: { error: }),
        }
    }
}

/// Receives the next request; returns `None` if the connection ends before its first byte.
async fn next_request(
    connection: &mut Connection,
    bodies: &Arc<Budget>,
) -> Option<Result<Received, Error>> {
    if connection.buffered().is_empty() {
        let filled = within(IDLE_TIMEOUT_MS, connection.fill()).await;
        matches!(filled, Some(Ok(1..))).then_some(())?;
    }
    Some(read_request(connection, bodies).await)
}

async fn read_request(
    connection: &mut Connection,
    bodies: &Arc<Budget>,
) -> Result<Received, Error> {
    let head = within(HEAD_TIMEOUT_MS, connection.read_request_head(HEAD_MAX_BYTES)).await;
    let head = head.ok_or(Error::TimedOut)??;
    let mut request = request_of(&head)?;
    let room = bodies.open();
    let body = connection.read_request_body(&head, BODY_MAX_BYTES, BODY_TIMEOUT_MS, &room).await?;
    request.set_body(body);
    Ok(Received { request, keeps_alive: head.keeps_alive, _room: room })
}

/// Converts the head of a request.
fn request_of(head: &RequestHead) -> Result<Request, Error> {
    let method: Method = head.method.parse().map_err(|_| Error::Malformed("method"))?;
    let host = head.headers.text("host").unwrap_or("localhost");
    let url = match head.target.starts_with('/') {
        true => Url::parse(&format!("http://{host}{}", head.target)),
        false => Url::parse(&head.target),
    };
    let mut request = Request::new(method, url.map_err(|_| Error::Malformed("target"))?);
    for (name, value) in head.headers.iter() {
        let name = HeaderName::from_bytes(name.as_bytes().to_vec());
        let value = HeaderValue::from_bytes(value.to_vec());
        if let (Ok(name), Ok(value)) = (name, value) {
            request.append_header(name, value);
        }
    }
    Ok(request)
}

/// Returns the response to a request that was not received, unless its sender is gone.
fn refusal(error: &Error) -> Option<Response> {
    let status = match error {
        Error::HeadTooLong => StatusCode::RequestHeaderFieldsTooLarge,
        Error::BodyTooLong => StatusCode::PayloadTooLarge,
        Error::Malformed(_) => StatusCode::BadRequest,
        Error::TimedOut | Error::Truncated => StatusCode::RequestTimeout,
        Error::NoRoom(_) => StatusCode::ServiceUnavailable,
        Error::Io(_) | Error::Closed => return None,
    };
    spdlog::info!("request not received", kv: { error: = error, status = u64::from(status as u16) });
    let mut response = Response::new(status);
    if status == StatusCode::ServiceUnavailable {
        response.insert_header("retry-after", "1");
    }
    Some(response)
}

/// Sends a response, whose body is charged until its caller has read it.
async fn send_response(
    connection: &mut Connection,
    bodies: &Arc<Budget>,
    mut response: Response,
    keeps_alive: bool,
) -> Result<(), Error> {
    let body = response.take_body().into_bytes().await;
    let mut body = body.map_err(|_| Error::Malformed("own response"))?;
    let room = bodies.open();
    let bytes = body.len() as u64;
    if let Err(error) = room.hold(bytes, bytes).await {
        spdlog::info!("response not sent", kv: { error: = error });
        body = Vec::new();
        response = Response::new(StatusCode::ServiceUnavailable);
        response.insert_header("retry-after", "1");
    }
    room.record_received();
    let head = response_head(&response, body.len(), keeps_alive);
    let send = async {
        connection.send(head.as_bytes()).await?;
        connection.send(&body).await
    };
    within(RESPONSE_TIMEOUT_MS, send).await.ok_or(Error::TimedOut)?
}

fn response_head(response: &Response, length: usize, keeps_alive: bool) -> String {
    let status = response.status();
    let mut head = format!("HTTP/1.1 {} {}\r\n", status as u16, status.canonical_reason());
    for (name, values) in response.iter() {
        for value in values {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    if !keeps_alive {
        head.push_str("connection: close\r\n");
    }
    head.push_str(&format!("content-length: {length}\r\n\r\n"));
    head
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
