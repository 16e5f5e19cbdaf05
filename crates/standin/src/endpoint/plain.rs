//! A stand-in plain service: it answers what it was asked, once it has recorded that it ran it.

use super::records::Ran;
use super::server::Shared;
use http_types::{Request, Response, StatusCode};
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub(super) async fn answer(
    shared: &Arc<Shared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
    let path = request.url().path().to_owned();
    shared.records.push(Ran {
        request: header("x-request").unwrap_or_default(),
        idempotency_key: header("idempotency-key"),
        endpoint: shared.options.name.clone(),
        version: shared.version(),
        path: path.clone(),
        body: body.clone(),
        resumed_from: 0,
    });
    Timer::after(Duration::from_secs_f64(shared.options.token_ms / 1e3)).await;
    shared.freeze().await;
    shared.running.fetch_sub(1, Ordering::Relaxed);
    if shared.faults().cut_after_tokens.is_some() {
        // The connection ends without an answer.
        return Err(http_types::format_err!("cut"));
    }
    if shared.draws_failure(&path, running) {
        return Ok(Response::new(StatusCode::InternalServerError));
    }
    let answer = serde_json::json!({ "ran": path, "by": shared.options.name, "body": body });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(&answer)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}
