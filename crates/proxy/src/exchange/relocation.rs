//! Finds another endpoint for an attempt whose endpoint is silent.
//!
//! A silent endpoint may go on. Its attempt therefore continues until another endpoint is granted and
//! reached. If none is, because all are silent, or too much is being repeated, the response that arrives
//! after the silence is used.

use super::attempt::{Attempt, AttemptScope};
use super::filters::ResolvedRequest;
use super::guard::PendingDecision;
use super::{Exchange, Placed};
use crate::http1::Connection;
use lycheehub_types::EndpointName;
use smol::Timer;
use std::pin::Pin;
use std::time::Duration;

/// The minimum delay before another endpoint is requested again, in milliseconds. Each request counts
/// towards the retry budget.
const RETRY_AFTER_MIN_MS: u64 = 500;

/// An endpoint to which a connection was made for a request.
pub(super) struct Reached {
    pub(super) placed: Placed,
    pub(super) attempt: Attempt,
    pub(super) connection: Connection,
    /// Whether nothing was sent on the connection before.
    pub(super) is_new: bool,
}

type Search<'a> = Pin<Box<dyn Future<Output = Reached> + 'a>>;

/// The search for another endpoint.
pub(super) struct Relocation<'a> {
    exchange: &'a Exchange<'a>,
    resolved: &'a ResolvedRequest,
    /// The endpoints that have been tried, including the silent one.
    tried: Vec<EndpointName>,
    search: Option<Search<'a>>,
}

impl<'a> Relocation<'a> {
    /// Creates a search that has not begun.
    pub(super) fn new(
        exchange: &'a Exchange<'a>,
        scope: AttemptScope<'a>,
        silent: &EndpointName,
    ) -> Self {
        let tried = scope.tried.iter().chain([silent]).cloned().collect();
        Self { exchange, resolved: scope.resolved, tried, search: None }
    }

    /// Waits until another endpoint is reached. The search goes on with the next call if the future is
    /// dropped. `resumes_stream` states that the caller has received part of the stream.
    pub(super) async fn reached(&mut self, resumes_stream: bool) -> Reached {
        let search = self.search.get_or_insert_with(|| {
            Box::pin(search(self.exchange, self.resolved, self.tried.clone(), resumes_stream))
        });
        let reached = search.as_mut().await;
        self.search = None;
        reached
    }

    /// Ends the search: the endpoint goes on.
    pub(super) fn cancel(&mut self) {
        self.search = None;
    }
}

async fn search(
    exchange: &Exchange<'_>,
    resolved: &ResolvedRequest,
    tried: Vec<EndpointName>,
    resumes_stream: bool,
) -> Reached {
    loop {
        let retry_after_ms = match exchange.reach_another(resolved, &tried, resumes_stream).await {
            Ok(reached) => return reached,
            Err(retry_after_ms) => retry_after_ms.max(RETRY_AFTER_MIN_MS),
        };
        Timer::after(Duration::from_millis(retry_after_ms)).await;
    }
}

impl Exchange<'_> {
    /// Requests another endpoint and connects to it; fails with the delay before the next request, in
    /// milliseconds.
    async fn reach_another(
        &self,
        resolved: &ResolvedRequest,
        tried: &[EndpointName],
        resumes_stream: bool,
    ) -> Result<Reached, u64> {
        let job_id = self.entry.placement.next_job_id();
        let job = self.job(resolved, job_id, tried, resumes_stream);
        let pending = PendingDecision::new(self.entry, job_id);
        let decision = self.entry.placement.place(job).await;
        pending.mark_decided();
        let placed = Placed::by(job_id, decision).map_err(|(reason, retry_after_ms)| {
            spdlog::info!("stays at its silent endpoint", kv: { id: = self.fields.id, reason:? });
            retry_after_ms
        })?;
        // Gives the job back if the search is cancelled.
        let attempt = Attempt::new(self.entry, &placed);
        match self.connect(&placed, resolved.route.kind.may_repeat()).await {
            Ok((connection, is_new)) if !self.entry.placement.is_excluded(&placed.endpoint) => {
                Ok(Reached { placed, attempt, connection, is_new })
            }
            Ok(_) => Err(RETRY_AFTER_MIN_MS),
            Err(unusable) => {
                self.report_unusable(&attempt, &unusable);
                Err(RETRY_AFTER_MIN_MS)
            }
        }
    }
}
