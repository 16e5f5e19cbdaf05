//! Answers one request of a caller.
//!
//! A request passes a chain of filters, is placed, sent, and its answer relayed. Before the first
//! byte is sent to an endpoint, a failure is "not run" and the request goes elsewhere. After that,
//! only a request that may be repeated does, or one of which the endpoint says that it did not run
//! it.

mod attempt;
mod filters;
mod guard;
mod own;
mod relay;
mod send;
mod trail;

use crate::dialect::RequestFields;
use crate::entry::{Entry, Snapshot};
use crate::http1::{Connection, Error, RequestHead};
use attempt::{AttemptEnd, Held};
use filters::Identified;
use guard::Interrupted;
use lycheehub_dispatch::{Decision, Job, JobId, Reason};
use lycheehub_routes::{RequestKind, RouteSpec};
use lycheehub_types::{EndpointName, Refusal, RefusalKind};
use relay::StreamState;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;
use trail::Trail;

/// How long a request may be kept whose route tells no bound, in milliseconds.
const NO_ROUTE_TIMEOUT_MS: u64 = 30_000;
/// The least part of the longest deadline of a route that callers begin with.
const FIRST_DEADLINE_SHARE: f64 = 0.8;
/// How long a request waits until the routes are known, in milliseconds: what an election takes after
/// all control instances have started again.
const ROUTES_WAIT_MS: u64 = 800;
/// The part of its time for which it waits at most: the rest is for its answer.
const ROUTES_WAIT_SHARE: f64 = 0.75;
/// How often it is looked whether they are, in milliseconds.
const ROUTES_LOOK_MS: u64 = 20;
/// How many endpoints that cannot be reached are tried one after the other.
const UNREACHED_MAX: u32 = 4;

/// A request as it was received.
pub struct Received {
    /// Its head.
    pub head: RequestHead,
    /// Its whole body.
    pub body: Vec<u8>,
    /// How long it took from its first byte to its last, in milliseconds.
    pub read_ms: u64,
}

/// A request that is being answered.
struct Exchange<'a> {
    entry: &'a Rc<Entry>,
    head: RequestHead,
    body: Vec<u8>,
    fields: RequestFields,
    snapshot: Snapshot,
    started_ms: u64,
    /// When the caller's or the route's time is over.
    deadline_ms: u64,
    trail: Trail,
}

/// Answers a request; tells whether the connection can be used for another one.
pub async fn answer(entry: &Rc<Entry>, connection: &mut Connection, request: Received) -> bool {
    let Received { head, body, read_ms } = request;
    let started_ms = entry.clock.now_ms();
    let fields = entry.dialect.read_request(&head);
    let timeout_ms = fields.deadline_ms.unwrap_or(NO_ROUTE_TIMEOUT_MS);
    let mut exchange = Exchange {
        entry,
        snapshot: entry.snapshots.latest(),
        trail: Trail::new(&fields.id, started_ms, read_ms),
        head,
        body,
        fields,
        started_ms,
        deadline_ms: started_ms + timeout_ms,
    };
    let keeps_alive = exchange.run(connection).await;
    exchange.trail.log(entry, exchange.snapshot.revision);
    keeps_alive
}

/// Answers a request that could not be read.
pub async fn answer_unread(entry: &Entry, connection: &mut Connection, error: &Error) {
    let kind = match error {
        Error::HeadTooLong | Error::BodyTooLong => RefusalKind::TooLarge,
        Error::Malformed(_) => RefusalKind::BadRequest,
        Error::Io(_) | Error::Closed | Error::Cut => return,
    };
    let refusal = Refusal::new(kind, error.to_string());
    own::send_last(connection, &own::refusal(entry, "", &refusal, false), false).await;
}

impl Exchange<'_> {
    async fn run(&mut self, connection: &mut Connection) -> bool {
        if let Err(why) = self.await_routes(connection).await {
            return self.interrupted(connection, why, false, &StreamState::new(None)).await;
        }
        let identified = match filters::identify(self) {
            Ok(identified) => identified,
            Err(refusal) => return self.refuse(connection, &refusal).await,
        };
        let route_ends_ms = self.started_ms + identified.route.timeout_ms;
        self.deadline_ms = self.deadline_ms.min(route_ends_ms);
        self.trail.note_route(&identified);
        self.serve(connection, &identified).await
    }

    /// Waits until the routes are known, or for as long as that takes where it goes well.
    ///
    /// Load pattern: all instances have started again, and callers come before a leader is elected.
    /// Those that wait for it are answered sooner than those that are told to come back.
    async fn await_routes(&mut self, connection: &mut Connection) -> Result<(), Interrupted> {
        let left_ms = self.deadline_ms.saturating_sub(self.started_ms) as f64;
        let wait_ms = ROUTES_WAIT_MS.min((left_ms * ROUTES_WAIT_SHARE) as u64);
        let until_ms = self.started_ms + wait_ms;
        while !self.snapshot.is_ready && self.entry.clock.now_ms() < until_ms {
            let look = Timer::after(Duration::from_millis(ROUTES_LOOK_MS));
            guard::guard(self.entry, connection, self.deadline_ms, look).await?;
            self.snapshot = self.entry.snapshots.latest();
            self.trail.note_wait(ROUTES_LOOK_MS);
        }
        Ok(())
    }

    /// Sends the request to one endpoint after the other until it is answered.
    async fn serve(&mut self, connection: &mut Connection, identified: &Identified) -> bool {
        let mut tried = Vec::new();
        let mut stream = StreamState::new(self.fields.last_event_id.clone());
        let mut held: Option<Held> = None;
        let mut unreached = 0;
        let mut may_have_run = false;
        let refusal = loop {
            let goes_on = stream.has_begun();
            let placed = match self.place(connection, identified, &tried, goes_on).await {
                Ok(placed) => placed,
                Err(Stopped::Interrupted(why)) => {
                    return self.interrupted(connection, why, may_have_run, &stream).await;
                }
                Err(Stopped::Refused(refusal)) => break refusal,
            };
            let last = is_last(&identified.route, &tried);
            let end = self.attempt(connection, identified, placed, &mut stream, last).await;
            match end {
                AttemptEnd::Answered { keeps_alive } => return keeps_alive,
                AttemptEnd::Interrupted(why) => {
                    return self.interrupted(connection, why, true, &stream).await;
                }
                AttemptEnd::NotSent(endpoint) => {
                    unreached += 1;
                    if unreached >= UNREACHED_MAX {
                        break self.unreached(&endpoint);
                    }
                }
                AttemptEnd::Barred => {}
                AttemptEnd::NotRun { endpoint, retry_after_ms } => {
                    tried.push(endpoint);
                    if last {
                        let kind = RefusalKind::Overloaded;
                        let message = "the endpoint did not take the request";
                        break Refusal::retry(kind, message, retry_after_ms);
                    }
                }
                AttemptEnd::Failed { endpoint, answer } => {
                    tried.push(endpoint);
                    may_have_run = true;
                    held = answer.or(held);
                    if last || !identified.route.kind.may_repeat() {
                        break self.outcome_unknown(identified.route.kind);
                    }
                }
            }
        };
        self.give_up(connection, held, may_have_run, &stream, &refusal).await
    }

    fn unreached(&self, endpoint: &EndpointName) -> Refusal {
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

    /// Asks for an endpoint; `goes_on` tells that the caller has a part of a stream already.
    async fn place(
        &mut self,
        connection: &mut Connection,
        identified: &Identified,
        tried: &[EndpointName],
        goes_on: bool,
    ) -> Result<Placed, Stopped> {
        let asked_ms = self.entry.clock.now_ms();
        let job_id = self.entry.placement.next_job_id();
        let job = self.job(identified, job_id, tried, goes_on);
        self.trail.note_job(&job);
        let asked = guard::Asked::new(self.entry, job_id);
        let deciding = self.entry.placement.place(job);
        let decision = guard::guard(self.entry, connection, self.deadline_ms, deciding).await;
        let decision = decision.map_err(Stopped::Interrupted)?;
        asked.is_decided();
        self.trail.note_wait(self.entry.clock.now_ms() - asked_ms);
        match decision {
            Decision::Place { endpoint, address, first_byte_ms, .. } => {
                Ok(Placed { job_id, endpoint, address, first_byte_ms })
            }
            Decision::Refuse { reason, retry_after_ms, .. } => {
                Err(Stopped::Refused(refusal_of(reason, retry_after_ms)))
            }
        }
    }

    fn job(
        &self,
        identified: &Identified,
        job_id: JobId,
        tried: &[EndpointName],
        goes_on: bool,
    ) -> Job {
        let now_ms = self.entry.clock.now_ms();
        let route = &identified.route;
        let returning = self.is_returning(identified);
        // The caller of a stream that has begun waits for the next event, not for the first byte.
        let (asked_ms, objective_ms, patience_ms) = match goes_on {
            true => (now_ms, route.gap_objective_ms.unwrap_or(route.objective_ms), None),
            false => (self.started_ms, route.objective_ms, route.patience_ms),
        };
        // One that has come back is late, whenever it is answered.
        let objective_ms = if returning { 0 } else { asked_ms + objective_ms };
        let patience_ms = patience_ms.map_or(self.deadline_ms, |ms| asked_ms + ms);
        let patience_ms = patience_ms.min(self.deadline_ms);
        let output_max = self.fields.output_max_tokens;
        let declared_tokens = self
            .fields
            .prompt_tokens
            .map(|prompt| u64::from(prompt) + u64::from(output_max.unwrap_or_default()));
        let likely = self.fields.output_hint_tokens.or(output_max).unwrap_or_default();
        Job {
            job_id,
            service: identified.service.clone(),
            tier: identified.tier,
            rank: route.rank,
            account: identified.account.clone(),
            declared_tokens,
            prompt_tokens: self.fields.prompt_tokens.unwrap_or_default(),
            output_tokens: output_max.map_or(likely, |most| likely.min(most)),
            prefix: self.fields.prefix.clone(),
            objective_left_ms: objective_ms.saturating_sub(now_ms),
            patience_left_ms: patience_ms.saturating_sub(now_ms),
            deadline_left_ms: self.deadline_ms.saturating_sub(now_ms),
            returning,
            resumes_stream: goes_on,
            is_last_attempt: !route.kind.may_repeat() || is_last(route, tried),
            failure_domain: self.entry.options.failure_domain.clone(),
            tried: tried.to_vec(),
            repeat: !tried.is_empty(),
        }
    }
}

impl Exchange<'_> {
    /// Tells whether the caller was refused before: it has much less time left than callers of the
    /// route begin with.
    fn is_returning(&self, identified: &Identified) -> bool {
        let Some(deadline_ms) = self.fields.deadline_ms else { return false };
        let longest_ms = self.entry.note_deadline(&identified.route.name, deadline_ms);
        (deadline_ms as f64) < longest_ms as f64 * FIRST_DEADLINE_SHARE
    }
}

/// A request with the endpoint that it goes to.
struct Placed {
    job_id: JobId,
    endpoint: EndpointName,
    address: smol_str::SmolStr,
    first_byte_ms: u64,
}

/// Why a request is not sent anywhere.
enum Stopped {
    Interrupted(Interrupted),
    Refused(Refusal),
}

/// Tells whether the next endpoint is the last one that a request may be sent to.
fn is_last(route: &RouteSpec, tried: &[EndpointName]) -> bool {
    tried.len() as u32 + 1 >= route.attempts_max
}

fn refusal_of(reason: Reason, retry_after_ms: u64) -> Refusal {
    let (kind, message) = match reason {
        Reason::Overloaded => (RefusalKind::Overloaded, "too much waits before this request"),
        Reason::NoEndpoint => (RefusalKind::NoEndpoint, "no endpoint of the service takes work"),
        Reason::QuotaExceeded => (RefusalKind::QuotaExceeded, "the quota is used up"),
        Reason::RetriesExhausted => (RefusalKind::Overloaded, "too much is being repeated"),
    };
    Refusal::retry(kind, message, retry_after_ms)
}
