//! Handles requests from operators.

mod apply;
mod lists;

use crate::Gateway;
use crate::http::{bearer_key, refusal_response};
use http_types::{Method, Request, Response};
use lycheehub_types::{Refusal, RefusalKind};
use smol_str::SmolStr;

/// Authenticates an operator and handles its request.
pub async fn handle(gateway: &Gateway, request: Request) -> Response {
    let operator =
        bearer_key(&request).and_then(|key| gateway.settings.operator_keys.owner_of(key));
    let Some(operator) = operator else {
        let message = "expected an operator's key as bearer";
        return refusal_response(&Refusal::new(RefusalKind::Unauthorized, message));
    };
    match route(gateway, request, &operator).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn route(
    gateway: &Gateway,
    request: Request,
    operator: &SmolStr,
) -> Result<Response, Refusal> {
    let path = request.url().path().trim_start_matches("/v1/operators/").to_owned();
    let parts: Vec<&str> = path.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["sections"]) => lists::sections(gateway).await,
        (Method::Get, ["sections", name]) => lists::section(gateway, name).await,
        (Method::Put, ["sections", name]) => apply::apply(gateway, request, operator, name).await,
        (Method::Get, ["moves"]) => lists::moves(gateway).await,
        (Method::Get, ["endpoints"]) => Ok(lists::endpoints(gateway)),
        (Method::Get, ["instances"]) => Ok(lists::instances(gateway)),
        _ => Err(Refusal::new(RefusalKind::NotFound, "no such call for operators")),
    }
}
