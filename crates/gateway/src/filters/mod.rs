//! The chain of filters that a caller's request passes.

mod classify;
mod exchange;
mod identify;
mod ready;

pub use exchange::{Exchange, Payload};

use crate::Gateway;
use crate::http::{read_body, refusal_response};
use crate::serve;
use http_types::{Request, Response};
use lycheehub_types::Refusal;
use std::sync::Arc;

/// A step that looks at a request and may refuse it.
pub trait Filter: Send + Sync {
    /// Returns the name of the step, for logs.
    fn name(&self) -> &'static str;

    /// Looks at the request and adds what it finds.
    ///
    /// # Errors
    /// Refuses the request.
    fn apply(&self, gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refusal>;
}

/// The filters in their order.
const CHAIN: [&dyn Filter; 3] = [&ready::Ready, &identify::Identify, &classify::Classify];

/// Tells whether callers' requests come under this path.
pub fn takes(path: &str) -> bool {
    matches!(path, "/v1/chat/completions" | "/v1/completions") || path.starts_with("/v1/services/")
}

/// Reads a caller's request; the response is there where it is refused already.
pub async fn read(gateway: &Gateway, mut request: Request) -> (Exchange, Option<Response>) {
    let mut exchange = Exchange::new(gateway, &request);
    match read_body(gateway, &mut request).await {
        Ok(body) => {
            exchange.body = body;
            (exchange, None)
        }
        Err(refusal) => {
            let response = refuse(&exchange, "read", &refusal);
            (exchange, Some(response))
        }
    }
}

/// Passes a request through the chain and serves it.
pub async fn run(gateway: &Arc<Gateway>, mut exchange: Exchange) -> Response {
    for filter in CHAIN {
        if let Err(refusal) = filter.apply(gateway, &mut exchange) {
            return refuse(&exchange, filter.name(), &refusal);
        }
    }
    let request = exchange.request;
    let mut response = serve::serve(gateway, exchange).await;
    response.insert_header("x-request", request.to_string());
    response
}

fn refuse(exchange: &Exchange, step: &'static str, refusal: &Refusal) -> Response {
    spdlog::info!("refused", kv: {
        request = exchange.request,
        step,
        code = refusal.kind().code(),
        message = refusal.message(),
    });
    metrics::counter!("lycheehub_refusals_total", "code" => refusal.kind().code()).increment(1);
    refusal_response(refusal)
}
