//! JSON and error responses that the instance itself makes.

use http_types::{Response, StatusCode, mime};
use lycheehub_types::Refusal;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    not_run: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Creates a JSON response.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let body = serde_json::to_vec(body).unwrap_or_else(|error| {
        spdlog::warn!("response not encoded; sending it without a body", kv: { status, error: });
        Vec::new()
    });
    let mut response = Response::new(code);
    response.set_body(body);
    response.set_content_type(mime::JSON);
    response
}

/// Creates the error response for a refused request.
///
/// # Examples
/// ```
/// use lycheehub_types::{Refusal, RefusalKind};
///
/// let refusal = Refusal::retry(RefusalKind::Overloaded, "busy", 1_200);
/// let response = lycheehub_gateway::http::refusal_response(&refusal);
/// assert_eq!(response.header("retry-after").unwrap().as_str(), "2");
/// ```
pub fn refusal_response(refusal: &Refusal) -> Response {
    let kind = refusal.kind();
    let fields = ErrorFields {
        code: kind.code(),
        message: refusal.message(),
        not_run: kind.not_run().then_some(true),
        retry_after_ms: refusal.retry_after_ms(),
    };
    let mut response = json(kind.http_status(), &ErrorBody { error: fields });
    if let Some(retry_after_ms) = refusal.retry_after_ms() {
        response.insert_header("retry-after", retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}
