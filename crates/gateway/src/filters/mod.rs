//! The chain of filters that a caller's request passes.

mod classify;
mod exchange;
mod identify;
mod ready;

pub use exchange::{Exchange, Payload};

use crate::Gateway;
use crate::http::{read_body, refusal_response};
use http_types::{Request, Response};
use lycheehub_types::Refusal;

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

/// A refusal with the step that refused.
#[derive(Debug)]
pub struct Refused {
    step: &'static str,
    refusal: Refusal,
}

impl Refused {
    /// Returns the response to a request that is refused.
    pub fn response(&self, exchange: &Exchange) -> Response {
        let code = self.refusal.kind().code();
        spdlog::info!("refused", kv: {
            request = exchange.request,
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
/// Fails where it is too large or does not come.
pub async fn read(
    gateway: &Gateway,
    request: &mut Request,
    exchange: &mut Exchange,
) -> Result<(), Refused> {
    let body = read_body(gateway, request).await;
    exchange.body = body.map_err(|refusal| Refused { step: "read", refusal })?;
    Ok(())
}

/// Passes a request through the chain.
///
/// # Errors
/// Fails with the first refusal.
pub fn pass(gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refused> {
    for filter in CHAIN {
        let passed = filter.apply(gateway, exchange);
        passed.map_err(|refusal| Refused { step: filter.name(), refusal })?;
    }
    Ok(())
}
