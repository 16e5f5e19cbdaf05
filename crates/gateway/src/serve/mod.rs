//! Serves one request: claims its idempotency key, waits for the scheduler, sends it to an
//! endpoint, relays the response and records the outcome.

mod claim;
mod endpoint;
mod events;
mod pool;
mod relay;
mod response;
mod run;

pub use pool::ConnectionPool;

use crate::Gateway;
use crate::filters::Exchange;
use crate::http::refusal_response;
use crate::responses::{Head, ResponseBuffer};
use http_types::{Response, StatusCode};
use lycheehub_types::{EndpointKind, Refusal, RefusalKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts a running request, whether or not its caller is still connected.
struct RequestTask(Arc<Gateway>);

impl RequestTask {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.request_tasks.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.0.request_tasks.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a request that has passed the filters.
///
/// The request runs in its own task. If the caller disconnects, the task keeps running if the
/// request carries an idempotency key, or if a plain service runs it and it is not idempotent; any
/// other task is cancelled.
pub async fn serve(gateway: &Arc<Gateway>, exchange: Exchange) -> Response {
    let Some(payload) = exchange.payload.clone() else {
        return refusal_response(&Refusal::new(RefusalKind::BadRequest, "not classified"));
    };
    let claimed = exchange.idempotency_key.is_some();
    let outlives_caller = claimed || (payload.kind == EndpointKind::Plain && !payload.idempotent);
    let buffer = ResponseBuffer::new(claimed);
    let reader = buffer.reader();
    let guard = RequestTask::new(gateway);
    let task = {
        let (gateway, buffer) = (gateway.clone(), buffer.clone());
        async move {
            let _guard = guard;
            // Boxed, so that the task does not hold the future twice.
            let work = Box::pin(run::run(&gateway, exchange, payload, &buffer));
            if outlives_caller {
                work.await;
            } else {
                smol::future::or(work, buffer.abandoned()).await;
            }
            // Has no effect unless the task ended without ending the response.
            buffer
                .refuse(Refusal::new(RefusalKind::OutcomeUnknown, "the request was not finished"));
        }
    };
    gateway.executor.spawn(task).detach();
    match buffer.head().await {
        Head::Refused(refusal) => {
            metrics::counter!("lycheehub_refusals_total", "code" => refusal.kind().code())
                .increment(1);
            refusal_response(&refusal)
        }
        Head::Started { status, content_type, length } => {
            let code = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(code);
            response.set_body(reader.into_body(length));
            response.insert_header("content-type", content_type.as_str());
            response
        }
    }
}
