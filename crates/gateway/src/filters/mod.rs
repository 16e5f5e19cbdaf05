//! The filter chain of callers' requests.

mod classify;
mod exchange;
mod identify;
mod ready;

pub use exchange::{Exchange, Payload};

use crate::Gateway;
use crate::http::{read_body, refusal_response};
use http_types::{Request, Response};
use lycheehub_types::Refusal;

/// A filter, which inspects a request and may refuse it.
pub trait Filter: Send + Sync {
    /// Returns the name of the filter, for logs.
    fn name(&self) -> &'static str;

    /// Inspects the request and adds its findings to the exchange.
    ///
    /// # Errors
    /// Returns the refusal if the request may not pass.
    fn apply(&self, gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refusal>;
}

/// The filters, in the order in which they run.
const CHAIN: [&dyn Filter; 3] = [&ready::Ready, &identify::Identify, &classify::Classify];

/// Returns whether `path` is one for callers' requests.
pub fn matches_path(path: &str) -> bool {
    matches!(path, "/v1/chat/completions" | "/v1/completions") || path.starts_with("/v1/services/")
}

/// A refusal and the name of the step that refused.
#[derive(Debug)]
pub struct Rejection {
    step: &'static str,
    refusal: Refusal,
}

impl Rejection {
    /// Logs and counts the refusal and returns its response.
    pub fn response(&self, exchange: &Exchange) -> Response {
        let code = self.refusal.kind().code();
        spdlog::info!("refused", kv: {
            request = exchange.request_number,
            step = self.step,
            code,
            message = self.refusal.message(),
        });
        metrics::counter!("lycheehub_refusals_total", "code" => code).increment(1);
        refusal_response(&self.refusal)
    }
}

/// Reads the body of a caller's request.
///
/// # Errors
/// Fails if the body is too large, truncated or does not arrive in time.
pub async fn read_request_body(
    gateway: &Gateway,
    request: &mut Request,
    exchange: &mut Exchange,
) -> Result<(), Rejection> {
    let body = read_body(gateway, request).await;
    let body = body.map_err(|refusal| Rejection { step: "read", refusal })?;
    exchange.body = body.bytes;
    exchange.body_room = Some(body.room);
    Ok(())
}

/// Applies all filters to a request.
///
/// # Errors
/// Returns the first refusal.
pub fn apply_all(gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Rejection> {
    for filter in CHAIN {
        let result = filter.apply(gateway, exchange);
        result.map_err(|refusal| Rejection { step: filter.name(), refusal })?;
    }
    Ok(())
}
