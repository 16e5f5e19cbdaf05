//! Sends load orders to endpoints.

use http_types::{Body, Method, Request, Url};
use lycheehub_clock::{Clock, within};
use lycheehub_control::placement::{FencingToken, LoadOrder};
use lycheehub_peer::OrderSink;
use lycheehub_types::PeerError;
use serde::Serialize;
use smol::Executor;
use smol::net::TcpStream;
use std::sync::Arc;

#[derive(Serialize)]
struct LoadRequest<'a> {
    order: &'static str,
    service: &'a str,
    version: &'a str,
    fence: FencingToken,
}

/// Sends load orders in tasks of the traffic threads.
#[derive(Debug)]
pub struct OrderSender {
    clock: Clock,
    executor: Arc<Executor<'static>>,
}

impl OrderSender {
    /// Creates a sender that runs on `executor`.
    pub fn new(clock: Clock, executor: Arc<Executor<'static>>) -> Self {
        Self { clock, executor }
    }
}

impl OrderSink for OrderSender {
    fn send(&self, order: LoadOrder) {
        let clock = self.clock;
        let task = async move {
            let left_ms = order.valid_until_ms.saturating_sub(clock.now_ms());
            let timed_out = || Err(PeerError::TimedOut("order", order.address.clone(), left_ms));
            let sent = within(left_ms, deliver(clock, &order)).await;
            if let Err(error) = sent.unwrap_or_else(timed_out) {
                spdlog::warn!("load order failed", kv: { endpoint: = order.endpoint, error: });
            }
        };
        self.executor.spawn(task).detach();
    }
}

async fn deliver(clock: Clock, order: &LoadOrder) -> Result<(), PeerError> {
    let address = order.address.as_str();
    let fail = |cause: String| PeerError::failed("order", address, cause);
    let url = Url::parse(&format!("http://{address}/v1/orders"))
        .map_err(|error| fail(error.to_string()))?;
    let load_request = LoadRequest {
        order: "load",
        service: order.service.as_str(),
        version: order.version.as_str(),
        fence: order.fence,
    };
    let body = serde_json::to_vec(&load_request).map_err(|error| fail(error.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(body));
    request.insert_header("connection", "close");
    let stream = TcpStream::connect(address).await.map_err(|error| fail(error.to_string()))?;
    if clock.now_ms() >= order.valid_until_ms {
        return Err(fail("the order is no longer valid".to_owned()));
    }
    let response =
        async_h1::connect(stream, request).await.map_err(|error| fail(error.to_string()))?;
    if response.status().is_success() { Ok(()) } else { Err(fail(response.status().to_string())) }
}
