//! Serves one request: claim, admit, dispatch, relay, account.

mod claim;
mod endpoint;
mod events;
mod pool;
mod relay;
mod run;

pub use pool::Pool;

use crate::Gateway;
use crate::answers::{AnswerBuffer, Head};
use crate::filters::Exchange;
use crate::http::refusal_response;
use http_types::{Response, StatusCode};
use lycheehub_types::{EndpointKind, Refusal, RefusalKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts a request that runs, whether its caller is still there or not.
struct Background(Arc<Gateway>);

impl Background {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.background.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.0.background.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a request that has passed the filters.
///
/// The request runs in a task of its own. A request that is claimed or may not run twice goes on
/// where its caller leaves; any other is cancelled.
pub async fn serve(gateway: &Arc<Gateway>, exchange: Exchange) -> Response {
    let Some(payload) = exchange.payload.clone() else {
        return refusal_response(&Refusal::new(RefusalKind::BadRequest, "not classified"));
    };
    let claimed = exchange.idempotency_key.is_some();
    let goes_on = claimed || (payload.kind == EndpointKind::Plain && !payload.idempotent);
    let answer = AnswerBuffer::new(claimed);
    let reader = answer.reader();
    let running = Background::new(gateway);
    let task = {
        let (gateway, answer) = (gateway.clone(), answer.clone());
        async move {
            let _running = running;
            // Boxed, so that it is not held twice in the task.
            let work = Box::pin(run::run(&gateway, exchange, payload, &answer));
            if goes_on {
                work.await;
            } else {
                smol::future::or(work, answer.abandoned()).await;
            }
            // A task that ends without an end to its answer has failed.
            answer
                .refuse(Refusal::new(RefusalKind::OutcomeUnknown, "the request was not finished"));
        }
    };
    gateway.executor.spawn(task).detach();
    match answer.head().await {
        Head::Refused(refusal) => {
            metrics::counter!("lycheehub_refusals_total", "code" => refusal.kind().code())
                .increment(1);
            refusal_response(&refusal)
        }
        Head::Begun { status, content_type, length } => {
            let code = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(code);
            response.set_body(reader.into_body(length));
            response.insert_header("content-type", content_type.as_str());
            response
        }
    }
}
