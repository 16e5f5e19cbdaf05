//! Handles one request of a caller.
//!
//! A request passes a chain of filters, is placed on an endpoint and sent to it, and the response is
//! relayed. If an attempt fails before the first byte is sent to the endpoint, the request has not
//! run and another endpoint is tried. After that, another endpoint is tried only if the request may
//! be repeated or the endpoint states that it did not run it.

mod access_log;
mod attempt;
mod filters;
mod guard;
mod local_response;
mod relay;
mod relocation;
mod send;
mod stream_state;
mod tried;

use crate::caller::Caller;
use crate::dialect::RequestFields;
use crate::entry::{Entry, Snapshot};
use crate::http1::{Connection, Error, RequestHead};
use crate::idle_time::IdleTime;
use crate::pool;
use access_log::AccessLog;
use attempt::{AttemptEnd, AttemptScope, BufferedResponse, Destination};
use filters::ResolvedRequest;
use guard::Interrupted;
use lycheehub_budget::Room;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_dispatch::{Decision, Job, JobId, Reason, RefusalBasis};
use lycheehub_routes::RequestKind;
use lycheehub_types::{EndpointName, Refusal, RefusalKind, ServiceName};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;
use stream_state::StreamState;
use tried::Tried;

/// Deadline in milliseconds of a request that states none. The timeout of its route may shorten it.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Minimum share of the route's longest deadline that a first request of a caller has. A shorter
/// deadline marks a request that was refused before.
const FIRST_REQUEST_DEADLINE_SHARE: f64 = 0.8;
/// Maximum time for which a request waits until the routes are known, in milliseconds: the duration
/// of an election after all control instances have restarted.
const ROUTES_WAIT_MS: u64 = 800;
/// Maximum share of its deadline for which a request waits; the rest is left for the response.
const ROUTES_WAIT_SHARE: f64 = 0.75;
/// Interval at which a waiting request checks for routes, in milliseconds.
const ROUTES_POLL_MS: u64 = 20;
/// Maximum number of failed connection attempts to endpoints per request.
const CONNECT_FAILURES_MAX: u32 = 4;

/// A completely received request.
pub struct ReceivedRequest {
    /// The head.
    pub head: RequestHead,
    /// The complete body.
    pub body: Vec<u8>,
    /// The account of the body's memory.
    pub room: Room,
    /// Time from the first to the last byte, in milliseconds.
    pub read_ms: u64,
    /// Who sent it, and on which connection.
    pub(crate) caller: Caller,
    /// The idle time that a response states if its connection stays open.
    pub(crate) idle_time: IdleTime,
}

/// A request in progress.
struct Exchange<'a> {
    entry: &'a Rc<Entry>,
    head: RequestHead,
    body: Vec<u8>,
    /// Frees the body's memory in the end.
    _room: Room,
    fields: RequestFields,
    /// The identity of the request, once its client account is known.
    digest: Option<RequestDigest>,
    snapshot: Snapshot,
    started_ms: u64,
    /// The earlier of the caller's deadline and the route's timeout.
    deadline_ms: u64,
    /// How many idle connections to an endpoint of the service may be kept.
    idle_max: usize,
    /// Whether the request may pass through another instance.
    may_relay: bool,
    idle_time: IdleTime,
    access_log: AccessLog,
}

/// Handles a request; returns whether the connection can be used for another one.
pub async fn handle_request(
    entry: &Rc<Entry>,
    connection: &mut Connection,
    request: ReceivedRequest,
) -> bool {
    let ReceivedRequest { head, body, room, read_ms, caller, idle_time } = request;
    let started_ms = entry.clock.now_ms();
    let fields = entry.dialect.read_request(&head);
    let timeout_ms = fields.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let mut exchange = Exchange {
        entry,
        snapshot: entry.snapshots.latest(),
        access_log: AccessLog::new(&fields.id, started_ms, read_ms, caller),
        head,
        body,
        _room: room,
        fields,
        digest: None,
        started_ms,
        deadline_ms: started_ms.saturating_add(timeout_ms),
        idle_max: 0,
        may_relay: true,
        idle_time,
    };
    let keeps_alive = exchange.run(connection).await;
    exchange.access_log.log(entry, exchange.snapshot.revision, keeps_alive);
    keeps_alive
}

/// Responds to a request that was not received, unless its caller is gone.
pub async fn refuse_unreadable(
    entry: &Entry,
    connection: &mut Connection,
    id: &str,
    error: &Error,
) {
    const NO_ROOM_RETRY_AFTER_MS: u64 = 1_000;
    let kind = match error {
        Error::NoRoom(_) => {
            let (kind, retry_after_ms) = (RefusalKind::Overloaded, NO_ROOM_RETRY_AFTER_MS);
            let refusal = Refusal::retry(kind, error.to_string(), retry_after_ms);
            return refuse(entry, connection, id, &refusal).await;
        }
        Error::HeadTooLong | Error::BodyTooLong => RefusalKind::TooLarge,
        Error::Malformed(_) => RefusalKind::BadRequest,
        Error::TimedOut | Error::Truncated => RefusalKind::Incomplete,
        Error::Io(_) | Error::Closed => return,
    };
    refuse(entry, connection, id, &Refusal::new(kind, error.to_string())).await;
}

/// Refuses the last request of a connection.
pub async fn refuse(entry: &Entry, connection: &mut Connection, id: &str, refusal: &Refusal) {
    let response = local_response::refusal(entry, id, refusal, None);
    local_response::send_response(connection, id, &response, false).await;
}

impl Exchange<'_> {
    async fn run(&mut self, connection: &mut Connection) -> bool {
        if let Err(cause) = self.await_routes(connection).await {
            return self.interrupted(connection, cause, false, &StreamState::new(None)).await;
        }
        let resolved = match filters::resolve(self) {
            Ok(resolved) => resolved,
            Err(refusal) => return self.refuse(connection, &refusal).await,
        };
        let route_ends_ms = self.started_ms.saturating_add(resolved.route.timeout_ms);
        self.deadline_ms = self.deadline_ms.min(route_ends_ms);
        self.idle_max = self.idle_max_of(&resolved.service);
        // Another instance may be in a region to which the body must not be sent.
        self.may_relay = resolved.regions.is_none() || !self.entry.options.has_several_regions;
        self.access_log.record_route(&resolved);
        self.digest = Some(self.digest_of(&resolved));
        self.serve(connection, &resolved).await
    }

    /// Returns the identity of the request. No header field is part of it: each attempt of a caller has an
    /// id and a deadline of its own, and proxies on the way reorder fields.
    fn digest_of(&self, resolved: &ResolvedRequest) -> RequestDigest {
        let account = resolved.account.as_ref().map_or("", |name| name.as_str());
        let (method, target) = (self.head.method.as_bytes(), self.head.target.as_bytes());
        let fields = [method, target, account.as_bytes(), &self.body];
        self.entry.options.digest_key.digest(&fields).into()
    }

    fn idle_max_of(&self, service: &ServiceName) -> usize {
        let services = &self.snapshot.table.document().services;
        let spec = services.iter().find(|spec| spec.name == *service);
        let connections_max = spec.and_then(|spec| spec.connections_max);
        pool::idle_max(connections_max, self.entry.placement.instances())
    }

    /// Waits until the routes are known, for a limited time.
    ///
    /// Load pattern: all instances have restarted, and requests arrive before a leader is elected.
    /// Requests that wait for the election get a response sooner than those that are refused and
    /// retried by their callers.
    async fn await_routes(&mut self, connection: &mut Connection) -> Result<(), Interrupted> {
        let left_ms = self.deadline_ms.saturating_sub(self.started_ms) as f64;
        let wait_ms = ROUTES_WAIT_MS.min((left_ms * ROUTES_WAIT_SHARE) as u64);
        let until_ms = self.started_ms + wait_ms;
        while !self.snapshot.is_ready && self.entry.clock.now_ms() < until_ms {
            let poll_timer = Timer::after(Duration::from_millis(ROUTES_POLL_MS));
            guard::run_interruptible(self.entry, connection, self.deadline_ms, poll_timer).await?;
            self.snapshot = self.entry.snapshots.latest();
            self.access_log.record_wait(ROUTES_POLL_MS);
        }
        Ok(())
    }

    /// Tries endpoints one after another until the request has a response.
    async fn serve(&mut self, connection: &mut Connection, resolved: &ResolvedRequest) -> bool {
        let mut tried = Tried::default();
        let mut stream = StreamState::new(self.fields.last_event_id.clone());
        let mut buffered: Option<BufferedResponse> = None;
        let mut connect_failures = 0;
        let mut may_have_run = false;
        let mut reached = None;
        let refusal = loop {
            let resumes_stream = stream.has_started();
            let destination = match reached.take() {
                Some(reached) => Ok(Destination::Reached(reached)),
                None => {
                    let placed = self.place(connection, resolved, &tried, resumes_stream).await;
                    placed.map(Destination::Placed)
                }
            };
            let destination = match destination {
                Ok(destination) => destination,
                Err(NotPlaced::Interrupted(cause)) => {
                    return self.interrupted(connection, cause, may_have_run, &stream).await;
                }
                Err(NotPlaced::Refused(_)) if self.can_return(&mut tried, &stream) => continue,
                Err(NotPlaced::Refused(refusal)) => break refusal,
            };
            let is_last_attempt = tried.is_last_attempt(&resolved.route);
            let scope = AttemptScope { resolved, tried: &tried, is_last_attempt };
            match self.attempt(connection, destination, &mut stream, scope).await {
                AttemptEnd::Answered { keeps_alive } => return keeps_alive,
                AttemptEnd::Interrupted(cause) => {
                    return self.interrupted(connection, cause, true, &stream).await;
                }
                AttemptEnd::NotConnected(endpoint) | AttemptEnd::SentFirst(endpoint) => {
                    connect_failures += 1;
                    if connect_failures >= CONNECT_FAILURES_MAX {
                        break self.unreachable(&endpoint);
                    }
                }
                AttemptEnd::Excluded if tried.is_returning() => {
                    break self.outcome_unknown(resolved.route.kind);
                }
                AttemptEnd::Excluded => {}
                AttemptEnd::NotRun { endpoint, retry_after_ms } => {
                    tried.record(endpoint);
                    let is_last_attempt = is_last_attempt || tried.is_exhausted(&resolved.route);
                    if is_last_attempt && !self.can_return(&mut tried, &stream) {
                        let kind = RefusalKind::Overloaded;
                        let message = "the endpoint did not take the request";
                        break Refusal::retry(kind, message, retry_after_ms);
                    }
                }
                AttemptEnd::Moved { endpoint, reached: next } => {
                    tried.record_silent(endpoint);
                    may_have_run = true;
                    reached = Some(next);
                }
                AttemptEnd::Failed { endpoint, response } => {
                    tried.record(endpoint);
                    may_have_run = true;
                    buffered = response.or(buffered);
                    // A search for another endpoint during the attempt may have used up the others.
                    let is_last_attempt = is_last_attempt || tried.is_exhausted(&resolved.route);
                    let may_repeat = resolved.route.kind.may_repeat() && stream.can_continue();
                    if is_last_attempt || !may_repeat {
                        break self.outcome_unknown(resolved.route.kind);
                    }
                }
            }
        };
        self.give_up(connection, buffered, may_have_run, &stream, &refusal).await
    }

    /// Lets a stream that has begun return to the endpoints that it left because they were silent, unless
    /// they take no requests; returns whether there are any. A request without a response is refused
    /// sooner than it waits there again.
    fn can_return(&self, tried: &mut Tried, stream: &StreamState) -> bool {
        let takes_requests = |endpoint: &EndpointName| !self.entry.placement.is_excluded(endpoint);
        stream.has_started() && tried.return_to_silent(takes_requests)
    }

    fn unreachable(&self, endpoint: &EndpointName) -> Refusal {
        const RETRY_AFTER_MS: u64 = 500;
        let message = format!("no endpoint could be reached, {endpoint} the last");
        Refusal::retry(RefusalKind::NoEndpoint, message, RETRY_AFTER_MS)
    }

    fn outcome_unknown(&self, kind: RequestKind) -> Refusal {
        let message = if kind.may_repeat() {
            "no endpoint gave a whole answer"
        } else {
            "the endpoint gave no whole answer; the request may have run"
        };
        Refusal::new(RefusalKind::OutcomeUnknown, message)
    }

    /// Requests a placement; `resumes_stream` states that the caller has received part of the stream.
    async fn place(
        &mut self,
        connection: &mut Connection,
        resolved: &ResolvedRequest,
        tried: &Tried,
        resumes_stream: bool,
    ) -> Result<Placed, NotPlaced> {
        let requested_ms = self.entry.clock.now_ms();
        let job_id = self.entry.placement.next_job_id();
        let mut job = self.job(resolved, job_id, &tried.excluded(), resumes_stream);
        job.is_last_attempt |= tried.is_returning();
        self.access_log.record_job(&job);
        let pending = guard::PendingDecision::new(self.entry, job_id);
        // Once an endpoint was tried, the request may have run, and goes on.
        let is_first = tried.excluded().is_empty() && !resumes_stream;
        let decision = async {
            let decision = async { Ok(self.entry.placement.place(job).await) };
            let refused = async {
                self.outlasts_stop(is_first).await;
                Err(Interrupted::Stopped)
            };
            smol::future::or(decision, refused).await
        };
        let decision =
            guard::run_interruptible(self.entry, connection, self.deadline_ms, decision).await;
        let decision = decision.flatten().map_err(NotPlaced::Interrupted)?;
        pending.mark_decided();
        self.access_log.record_wait(self.entry.clock.now_ms() - requested_ms);
        let placed = Placed::by(job_id, decision).map_err(|refused| {
            self.access_log.record_basis(refused.basis);
            if refused.reason == Reason::Quarantined {
                self.access_log.record_parts(&self.fields.prefix);
                self.access_log.record_digest(self.digest);
            }
            NotPlaced::Refused(refusal_of(refused.reason, refused.retry_after_ms))
        })?;
        if !tried.allows(&placed.endpoint) {
            self.entry.placement.withdraw(job_id);
            return Err(NotPlaced::Refused(self.outcome_unknown(resolved.route.kind)));
        }
        Ok(placed)
    }

    /// Waits until a shutdown refuses requests, if this one is a first attempt that may still run when it
    /// ends; otherwise forever.
    async fn outlasts_stop(&self, is_first: bool) {
        self.entry.shutdown.refusing.wait().await;
        let left_ms = self.deadline_ms.saturating_sub(self.entry.clock.now_ms());
        if !is_first || !self.entry.would_outlast_stop(left_ms) {
            smol::future::pending::<()>().await;
        }
    }

    fn job(
        &self,
        resolved: &ResolvedRequest,
        job_id: JobId,
        tried: &[EndpointName],
        resumes_stream: bool,
    ) -> Job {
        let now_ms = self.entry.clock.now_ms();
        let route = &resolved.route;
        let returning = self.is_returning(resolved);
        // Once a stream has started, its caller waits for the next event, not for the first byte.
        let (start_ms, objective_ms, patience_ms) = match resumes_stream {
            true => (now_ms, route.gap_objective_ms.unwrap_or(route.objective_ms), None),
            false => (self.started_ms, route.objective_ms, route.patience_ms),
        };
        // A request that was refused before has missed its objective already.
        let objective_ms = if returning { 0 } else { start_ms.saturating_add(objective_ms) };
        let patience_ms = patience_ms.map_or(self.deadline_ms, |ms| start_ms.saturating_add(ms));
        let patience_ms = patience_ms.min(self.deadline_ms);
        let output_max = self.fields.output_max_tokens;
        let declared_tokens = self
            .fields
            .prompt_tokens
            .map(|prompt| u64::from(prompt) + u64::from(output_max.unwrap_or_default()));
        let expected = self.fields.output_hint_tokens.or(output_max).unwrap_or_default();
        Job {
            job_id,
            service: resolved.service.clone(),
            tier: resolved.tier,
            rank: route.rank,
            account: resolved.account.clone(),
            declared_tokens,
            prompt_tokens: self.fields.prompt_tokens.unwrap_or_default(),
            output_tokens: output_max.map_or(expected, |max| expected.min(max)),
            prefix: self.fields.prefix.clone(),
            digest: self.digest,
            objective_left_ms: objective_ms.saturating_sub(now_ms),
            patience_left_ms: patience_ms.saturating_sub(now_ms),
            deadline_left_ms: self.deadline_ms.saturating_sub(now_ms),
            returning,
            resumes_stream,
            is_last_attempt: !route.kind.may_repeat() || tried::is_last_attempt(route, tried.len()),
            failure_domain: self.entry.options.failure_domain.clone(),
            tried: tried.to_vec(),
            regions: resolved.regions.clone(),
            repeat: !tried.is_empty(),
        }
    }
}

impl Exchange<'_> {
    /// Returns whether the request is likely a retry after a refusal: its deadline is much shorter
    /// than the longest one seen on the route.
    fn is_returning(&self, resolved: &ResolvedRequest) -> bool {
        let Some(deadline_ms) = self.fields.deadline_ms else { return false };
        // The rest of a longer deadline is not waited for, and one caller with an endless deadline must
        // not make all others of the route look like retries. The longest one seen may be of a document
        // with a longer timeout.
        let timeout_ms = resolved.route.timeout_ms;
        let deadline_ms = deadline_ms.min(timeout_ms);
        let longest_ms = self.entry.record_deadline(&resolved.route.name, deadline_ms);
        (deadline_ms as f64) < longest_ms.min(timeout_ms) as f64 * FIRST_REQUEST_DEADLINE_SHARE
    }
}

/// The endpoint that was chosen for a request.
struct Placed {
    job_id: JobId,
    endpoint: EndpointName,
    address: smol_str::SmolStr,
    first_byte_ms: u64,
}

/// The refusal of a job by the dispatcher.
struct NotGranted {
    reason: Reason,
    retry_after_ms: u64,
    basis: RefusalBasis,
}

impl Placed {
    /// Returns what the decision on a job grants, or why it refuses.
    fn by(job_id: JobId, decision: Decision) -> Result<Self, NotGranted> {
        match decision {
            Decision::Place { endpoint, address, first_byte_ms, .. } => {
                Ok(Self { job_id, endpoint, address, first_byte_ms })
            }
            Decision::Refuse { reason, retry_after_ms, basis, .. } => {
                Err(NotGranted { reason, retry_after_ms, basis })
            }
        }
    }
}

/// Why no endpoint was chosen for a request.
enum NotPlaced {
    Interrupted(Interrupted),
    Refused(Refusal),
}

fn refusal_of(reason: Reason, retry_after_ms: u64) -> Refusal {
    let (kind, message) = match reason {
        Reason::Overloaded => (RefusalKind::Overloaded, "too much waits before this request"),
        Reason::NoEndpoint => (RefusalKind::NoEndpoint, "no endpoint of the service takes work"),
        Reason::NoEndpointInRegion => (
            RefusalKind::NoEndpoint,
            "no endpoint of the service takes work in the regions to which the route or the client \
             account is bound",
        ),
        Reason::QuotaExceeded => (RefusalKind::QuotaExceeded, "the quota is used up"),
        Reason::Quarantined => {
            (RefusalKind::Quarantined, "endpoints crash on this request or on a part of its prompt")
        }
        Reason::RetriesExhausted => (RefusalKind::Overloaded, "too much is being repeated"),
    };
    Refusal::retry(kind, message, retry_after_ms)
}
