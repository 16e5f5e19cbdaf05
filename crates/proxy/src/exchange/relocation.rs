//! Finds another endpoint for an attempt whose endpoint is silent.
//!
//! A silent endpoint may go on. Its attempt therefore continues until another endpoint is granted and
//! reached and, for a stream, has begun its response: one that rejects the stream, or whose connection
//! is lost, costs nothing. If no endpoint takes it, because all are silent, or too much is being
//! repeated, the response that arrives after the silence is used.
//!
//! A request that is no stream leaves its endpoint before another one gets it. Its response begins when
//! the work is done, and both endpoints would work until then.

use super::attempt::{Attempt, AttemptScope, Progress, Start, stall_ms};
use super::guard::PendingDecision;
use super::stream_state::StreamState;
use super::{Exchange, Placed};
use crate::http1::Connection;
use lycheehub_dispatch::Outcome;
use lycheehub_types::EndpointName;
use smol::Timer;
use std::pin::Pin;
use std::time::Duration;

/// The minimum delay before another endpoint is requested again, in milliseconds. Each request counts
/// towards the retry budget.
const RETRY_AFTER_MIN_MS: u64 = 500;

/// An endpoint that was reached for a request on a connection of its own.
pub(super) struct Reached {
    pub(super) placed: Placed,
    pub(super) attempt: Attempt,
    /// Connected, or for a stream answering: its first endpoint is left only then.
    pub(super) progress: Progress,
}

type Search<'a> = Pin<Box<dyn Future<Output = Reached> + 'a>>;

/// The search for another endpoint.
pub(super) struct Relocation<'a> {
    exchange: &'a Exchange<'a>,
    scope: AttemptScope<'a>,
    silent: EndpointName,
    search: Option<Search<'a>>,
}

impl<'a> Relocation<'a> {
    /// Creates a search that has not begun.
    pub(super) fn new(
        exchange: &'a Exchange<'a>,
        scope: AttemptScope<'a>,
        silent: &EndpointName,
    ) -> Self {
        Self { exchange, scope, silent: silent.clone(), search: None }
    }

    /// Waits until another endpoint is reached. The search goes on with the next call if the future is
    /// dropped. `stream` is what the caller has received; it must not change while the search goes on.
    pub(super) async fn reached(&mut self, stream: &StreamState) -> Reached {
        let search = self.search.get_or_insert_with(|| {
            let (silent, stream) = (self.silent.clone(), stream.clone());
            Box::pin(search(self.exchange, self.scope, silent, stream))
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
    scope: AttemptScope<'_>,
    silent: EndpointName,
    stream: StreamState,
) -> Reached {
    loop {
        let Some(target) = Target::of(exchange, scope, &silent, &stream) else {
            // No endpoint may get the request any more, so that the silent one is the last hope.
            return smol::future::pending().await;
        };
        let retry_after_ms = match exchange.reach(scope, &target, &stream).await {
            Ok(reached) => return reached,
            Err(retry_after_ms) => retry_after_ms.max(RETRY_AFTER_MIN_MS),
        };
        Timer::after(Duration::from_millis(retry_after_ms)).await;
    }
}

/// Which endpoints may get the request.
struct Target {
    /// Those that must not get it.
    excluded: Vec<EndpointName>,
    /// The only one that may get it, if it may go to no further one.
    only: Option<EndpointName>,
}

impl Target {
    /// Returns the endpoints that may get the request; none if it has been sent to as many as its route
    /// allows. A stream that has begun may then return to the silent endpoint on another connection, if that
    /// takes requests: the one before may be dead without a sign.
    fn of(
        exchange: &Exchange<'_>,
        scope: AttemptScope<'_>,
        silent: &EndpointName,
        stream: &StreamState,
    ) -> Option<Self> {
        let excluded = scope.tried.excluded();
        if scope.tried.allows_more_than(1, &scope.resolved.route) {
            let excluded = excluded.into_iter().chain([silent.clone()]).collect();
            return Some(Self { excluded, only: None });
        }
        let takes_requests = !exchange.entry.placement.is_excluded(silent);
        let has_returned = excluded.contains(silent);
        let may_return = stream.has_started() && takes_requests && !has_returned;
        may_return.then(|| Self { excluded, only: Some(silent.clone()) })
    }

    fn allows(&self, endpoint: &EndpointName) -> bool {
        self.only.as_ref().is_none_or(|only| only == endpoint)
    }
}

impl Exchange<'_> {
    /// Requests an endpoint, connects to it and sends it a stream; fails with the delay before the next
    /// request, in milliseconds.
    async fn reach(
        &self,
        scope: AttemptScope<'_>,
        target: &Target,
        stream: &StreamState,
    ) -> Result<Reached, u64> {
        let resolved = scope.resolved;
        let job_id = self.entry.placement.next_job_id();
        let mut job = self.job(resolved, job_id, &target.excluded, stream.has_started());
        job.is_last_attempt |= target.only.is_some();
        let pending = PendingDecision::new(self.entry, job_id);
        let decision = self.entry.placement.place(job).await;
        pending.mark_decided();
        let placed = Placed::by(job_id, decision).map_err(|refused| {
            let reason = refused.reason;
            spdlog::info!("stays at its silent endpoint", kv: { id: = self.fields.id, reason:? });
            refused.retry_after_ms
        })?;
        if !target.allows(&placed.endpoint) {
            self.entry.placement.withdraw(job_id);
            return Err(RETRY_AFTER_MIN_MS);
        }
        // Gives the job back if the search is cancelled.
        let attempt = Attempt::new(self.entry, &placed);
        // Of a connection that was idle nobody knows whether it still works.
        let connection = match self.connect_anew(&placed).await {
            Ok(connection) if !self.entry.placement.is_excluded(&placed.endpoint) => connection,
            Ok(_) => return Err(RETRY_AFTER_MIN_MS),
            Err(unusable) => {
                self.report_unusable(&attempt, &unusable);
                return Err(RETRY_AFTER_MIN_MS);
            }
        };
        if !resolved.route.kind.is_stream() {
            let progress = Progress::Connected(connection, true);
            return Ok(Reached { placed, attempt, progress });
        }
        self.offer(scope, placed, attempt, connection, stream).await
    }

    /// Sends a stream to an endpoint; fails with the delay before the next one is requested, in milliseconds,
    /// if this one does not take it.
    async fn offer(
        &self,
        scope: AttemptScope<'_>,
        placed: Placed,
        attempt: Attempt,
        connection: Connection,
        stream: &StreamState,
    ) -> Result<Reached, u64> {
        let start = self.start(scope.resolved, &placed, &attempt, (connection, true), stream);
        let start = async { Some(start.await) };
        let stalled = async {
            // Without a further endpoint there is nothing to give this one up for.
            if !scope.tried.allows_more_than(2, &scope.resolved.route) {
                smol::future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(stall_ms(placed.first_byte_ms, true))).await;
            None
        };
        let outcome = match smol::future::or(start, stalled).await {
            Some(Start::Answering(begun))
                if begun.response.head.status == 200 && stream.accepts(&begun.response.head) =>
            {
                return Ok(Reached { placed, attempt, progress: Progress::Answering(begun) });
            }
            Some(Start::Answering(begun)) => {
                self.report_no_continuation(&attempt, &begun.response.head);
                Outcome::Failed
            }
            Some(Start::NotRun { .. }) => Outcome::Rejected,
            Some(Start::Failed) | None => Outcome::Broken,
        };
        let took_ms = attempt.report(outcome);
        self.access_log.record_attempt(&placed.endpoint, outcome, took_ms);
        scope.tried.record(placed.endpoint.clone());
        spdlog::info!("stays at its silent endpoint", kv: {
            id: = self.fields.id, endpoint: = placed.endpoint, outcome:?,
        });
        Err(RETRY_AFTER_MIN_MS)
    }
}
