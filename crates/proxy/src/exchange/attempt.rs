//! One attempt: sends the request to an endpoint and receives its response.

use super::filters::ResolvedRequest;
use super::guard::{Interrupted, run_interruptible};
use super::relocation::{Reached, Relocation};
use super::send::{RequestBytes, ResponseStart, send};
use super::stream_state::StreamState;
use super::tried::Tried;
use super::{Exchange, Placed};
use crate::dialect::{ForwardedFields, ResponseFields};
use crate::entry::Entry;
use crate::http1::{Body, Connection, Error, Framing, ResponseHead};
use crate::paths;
use lycheehub_dispatch::{Finished, JobId, LimitKind, Notice, Outcome, StatedLimit};
use lycheehub_types::EndpointName;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a response that is buffered completely before it is relayed, in bytes.
const BUFFERED_MAX_BYTES: usize = 256 * 1024;
/// Delay in milliseconds after which a caller may retry a request that no endpoint ran, unless the
/// endpoint states one.
const RETRY_AFTER_MS: u64 = 500;
/// Upper bound of that delay, in milliseconds: the set of endpoints may have changed by then.
const RETRY_AFTER_MAX_MS: u64 = 30_000;
/// Delay in milliseconds before a request is retried whose connection was lost unanswered: by then it
/// is known whether the endpoint crashed.
const SUSPECT_RETRY_DELAY_MS: u64 = 50;
/// Factor by which a response may exceed its expected time before it counts as stalled.
const STALL_FACTOR: u64 = 3;
/// Constant time added to that limit for a response that is no stream, in milliseconds.
const STALL_RESPONSE_MARGIN_MS: u64 = 250;
/// Constant time added to that limit for the first event of a stream, in milliseconds.
const STALL_EVENT_MARGIN_MS: u64 = 900;

/// A completely received response. That of a failed attempt is kept and relayed if no other endpoint
/// gives a better one.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<u8>,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The response was relayed, at least in part, and no further attempt follows.
    Answered { keeps_alive: bool },
    /// The caller disconnected, or the deadline passed.
    Interrupted(Interrupted),
    /// No connection could be made to the endpoint.
    NotConnected(EndpointName),
    /// The endpoint sent bytes before it was sent the request; nothing was sent.
    SentFirst(EndpointName),
    /// The endpoint became excluded from placement while connecting; nothing was sent.
    Excluded,
    /// The endpoint states that it did not run the request.
    NotRun { endpoint: EndpointName, retry_after_ms: u64 },
    /// The endpoint is silent, and another one is reached, which has taken the request if it is a stream.
    Moved { endpoint: EndpointName, reached: Box<Reached> },
    /// The endpoint failed, and may have run the request.
    Failed { endpoint: EndpointName, response: Option<BufferedResponse> },
}

/// Why there is no connection on which to send a request.
pub(super) enum Unusable {
    /// The endpoint was not reached.
    Unreached(paths::Unreached),
    /// It sent bytes before it was sent a request.
    SentFirst,
}

/// An attempt in progress. If it is dropped without a report, it is reported as abandoned, or given back if
/// nothing was sent.
pub(super) struct Attempt {
    entry: Rc<Entry>,
    job_id: JobId,
    pub(super) endpoint: EndpointName,
    pub(super) started_ms: u64,
    pub(super) first_byte_ms: Cell<Option<u64>>,
    pub(super) events: Cell<u32>,
    last_event_ms: Cell<u64>,
    /// The longest pause between events, in milliseconds.
    pub(super) pause_ms: Cell<u64>,
    is_connection_lost: Cell<bool>,
    /// Another instance did not reach the endpoint either.
    is_confirmed: Cell<bool>,
    /// The request was sent to the endpoint, at least in part.
    is_sent: Cell<bool>,
    is_reported: Cell<bool>,
}

impl Attempt {
    pub(super) fn new(entry: &Rc<Entry>, placed: &Placed) -> Self {
        Self {
            entry: entry.clone(),
            job_id: placed.job_id,
            endpoint: placed.endpoint.clone(),
            started_ms: entry.clock.now_ms(),
            first_byte_ms: Cell::new(None),
            events: Cell::new(0),
            last_event_ms: Cell::new(0),
            pause_ms: Cell::new(0),
            is_connection_lost: Cell::new(false),
            is_confirmed: Cell::new(false),
            is_sent: Cell::new(false),
            is_reported: Cell::new(false),
        }
    }

    pub(super) fn record_first_byte(&self, now_ms: u64) {
        if self.first_byte_ms.get().is_none() {
            self.first_byte_ms.set(Some(now_ms));
        }
    }

    pub(super) fn record_event(&self, now_ms: u64) {
        self.record_first_byte(now_ms);
        if self.events.get() == 0 {
            self.entry.placement.record_answer_begun(self.job_id);
        } else {
            let pause_ms = now_ms - self.last_event_ms.get();
            self.pause_ms.set(self.pause_ms.get().max(pause_ms));
        }
        self.last_event_ms.set(now_ms);
        self.events.set(self.events.get() + 1);
    }

    /// Reports that the response broke off.
    pub(super) fn report_broken(&self, error: &Error) {
        self.is_connection_lost.set(error.is_connection_lost());
        self.report(Outcome::Broken);
    }

    /// Reports the outcome of a response that has ended. One that ends with its connection may have been
    /// cut by the endpoint's crash, which this instance cannot tell.
    pub(super) fn report_end(&self, outcome: Outcome, framing: Framing) {
        self.is_connection_lost.set(framing == Framing::UntilClose);
        self.report(outcome);
    }

    /// Returns whether the connection was lost before the response began.
    fn is_lost_unanswered(&self) -> bool {
        self.is_connection_lost.get() && self.first_byte_ms.get().is_none()
    }

    /// Reports the outcome of the attempt, once; returns its duration in milliseconds. An attempt that was
    /// abandoned before the request was sent is given back: it is certain that it has not run.
    pub(super) fn report(&self, outcome: Outcome) -> u64 {
        let now_ms = self.entry.clock.now_ms();
        let took_ms = now_ms - self.started_ms;
        if self.is_reported.replace(true) {
            return took_ms;
        }
        if outcome == Outcome::Abandoned && !self.is_sent.get() {
            self.entry.placement.withdraw(self.job_id);
            return took_ms;
        }
        let first_ms = self.first_byte_ms.get();
        let to_u32 = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        self.entry.placement.finish(Finished {
            job_id: self.job_id,
            outcome,
            first_byte_ms: first_ms.map(|first_ms| to_u32(first_ms - self.started_ms)),
            rest_ms: first_ms.map_or(0, |first_ms| to_u32(now_ms - first_ms)),
            events: self.events.get().saturating_sub(1),
            is_connection_lost: self.is_connection_lost.get(),
            is_confirmed: self.is_confirmed.get(),
        });
        took_ms
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.report(Outcome::Abandoned);
    }
}

/// When an attempt counts as stalled, and what moves to another endpoint then.
#[derive(Clone, Copy)]
struct StallWatch<'a> {
    stall_ms: u64,
    scope: AttemptScope<'a>,
    stream: &'a StreamState,
}

/// How far an attempt has got when it begins.
pub(super) enum Progress {
    /// There is no connection to the endpoint.
    Unconnected,
    /// There is one, and whether nothing was sent on it before.
    Connected(Connection, bool),
    /// The endpoint has begun its response.
    Answering(Box<Begun>),
}

/// A response that has begun, and its connection.
pub(super) struct Begun {
    pub(super) connection: Connection,
    pub(super) response: ResponseStart,
}

/// How an endpoint answers a request, by the head of its response.
pub(super) enum Start {
    /// With a response to the request.
    Answering(Box<Begun>),
    /// It states that it did not run the request.
    NotRun { retry_after_ms: u64 },
    /// With none, or one that is no answer.
    Failed,
}

/// Where an attempt is made.
pub(super) enum Destination {
    /// At an endpoint that was granted.
    Placed(Placed),
    /// At an endpoint that was reached while another one was silent.
    Reached(Box<Reached>),
}

/// The request of an attempt, and the attempts before it.
#[derive(Clone, Copy)]
pub(super) struct AttemptScope<'a> {
    pub(super) resolved: &'a ResolvedRequest,
    pub(super) tried: &'a Tried,
    pub(super) is_last_attempt: bool,
}

impl AttemptScope<'_> {
    /// Returns whether the request can move to another endpoint.
    pub(super) fn can_move(&self) -> bool {
        self.resolved.route.kind.may_repeat() && !self.is_last_attempt
    }
}

impl Exchange<'_> {
    /// Sends the request to an endpoint and relays the response.
    pub(super) async fn attempt(
        &mut self,
        caller: &mut Connection,
        destination: Destination,
        stream: &mut StreamState,
        scope: AttemptScope<'_>,
    ) -> AttemptEnd {
        let (placed, attempt, progress) = match destination {
            Destination::Placed(placed) => {
                let attempt = Attempt::new(self.entry, &placed);
                (placed, attempt, Progress::Unconnected)
            }
            Destination::Reached(reached) => {
                let Reached { placed, attempt, progress } = *reached;
                (placed, attempt, progress)
            }
        };
        let end = self.try_endpoint(caller, &placed, &attempt, progress, stream, scope).await;
        let outcome = outcome_of(&end);
        let took_ms = attempt.report(outcome);
        self.access_log.record_attempt(&placed.endpoint, outcome, took_ms);
        if outcome == Outcome::Broken {
            self.access_log.record_digest(self.digest);
        }
        if outcome == Outcome::Broken && attempt.first_byte_ms.get().is_none() {
            self.access_log.record_parts(&self.fields.prefix);
        }
        if attempt.is_lost_unanswered() && scope.can_move() && self.fields.prefix.len() > 1 {
            let delay = Timer::after(Duration::from_millis(SUSPECT_RETRY_DELAY_MS));
            let waited = run_interruptible(self.entry, caller, self.deadline_ms, delay).await;
            if let Err(cause) = waited {
                return AttemptEnd::Interrupted(cause);
            }
        }
        end
    }

    async fn try_endpoint(
        &mut self,
        caller: &mut Connection,
        placed: &Placed,
        attempt: &Attempt,
        progress: Progress,
        stream: &mut StreamState,
        scope: AttemptScope<'_>,
    ) -> AttemptEnd {
        let kind = scope.resolved.route.kind;
        let stall_ms = stall_ms(placed.first_byte_ms, kind.is_stream());
        let received = stream.clone();
        let watch = StallWatch { stall_ms, scope, stream: &received };
        let begun = self.begin(caller, placed, attempt, progress, watch).await;
        let Begun { connection: upstream, response } = match begun {
            Ok(begun) => *begun,
            Err(end) => return end,
        };
        if kind.is_stream() && response.head.status == 200 && stream.accepts(&response.head) {
            return self.relay_stream(caller, upstream, response, attempt, stream, scope).await;
        }
        if stream.has_started() {
            self.report_no_continuation(attempt, &response.head);
            return AttemptEnd::Failed { endpoint: placed.endpoint.clone(), response: None };
        }
        self.buffer_and_relay(caller, upstream, response, attempt, watch).await
    }

    /// Connects to the endpoint and sends the request, as far as that has not happened; returns the response
    /// that has begun.
    async fn begin(
        &self,
        caller: &mut Connection,
        placed: &Placed,
        attempt: &Attempt,
        progress: Progress,
        watch: StallWatch<'_>,
    ) -> Result<Box<Begun>, AttemptEnd> {
        let endpoint = placed.endpoint.clone();
        let resolved = watch.scope.resolved;
        let may_repeat = resolved.route.kind.may_repeat();
        let connected = match progress {
            Progress::Answering(begun) => return Ok(begun),
            Progress::Connected(connection, is_new) => Ok((connection, is_new)),
            Progress::Unconnected => {
                let connect = self.connect(placed, may_repeat);
                run_interruptible(self.entry, caller, self.deadline_ms, connect)
                    .await
                    .map_err(AttemptEnd::Interrupted)?
            }
        };
        let connection = match connected {
            Ok(connection) => connection,
            Err(unusable) => {
                self.report_unusable(attempt, &unusable);
                return Err(match unusable {
                    Unusable::Unreached(_) => AttemptEnd::NotConnected(endpoint),
                    Unusable::SentFirst => AttemptEnd::SentFirst(endpoint),
                });
            }
        };
        if self.entry.placement.is_excluded(&endpoint) {
            return Err(AttemptEnd::Excluded);
        }
        let start = self.start(resolved, placed, attempt, connection, watch.stream);
        let start = self.watch_stall(attempt, watch, start);
        match run_interruptible(self.entry, caller, self.deadline_ms, start).await {
            Err(cause) => Err(AttemptEnd::Interrupted(cause)),
            Ok(Err(reached)) => Err(AttemptEnd::Moved { endpoint, reached }),
            Ok(Ok(Start::Answering(begun))) => Ok(begun),
            Ok(Ok(Start::NotRun { retry_after_ms })) => {
                Err(AttemptEnd::NotRun { endpoint, retry_after_ms })
            }
            Ok(Ok(Start::Failed)) => Err(AttemptEnd::Failed { endpoint, response: None }),
        }
    }

    /// Sends the request to an endpoint and waits until its response begins; reports an attempt that ends
    /// without one.
    pub(super) async fn start(
        &self,
        resolved: &ResolvedRequest,
        placed: &Placed,
        attempt: &Attempt,
        (mut upstream, is_new): (Connection, bool),
        stream: &StreamState,
    ) -> Start {
        let request = self.request_bytes(resolved, placed, stream);
        attempt.is_sent.set(true);
        let response = send(&mut upstream, &request, |head, is_first| {
            self.is_own_response(head, is_new && is_first)
        });
        let response = match response.await {
            Ok(response) => response,
            Err(error) => {
                spdlog::info!("no answer from endpoint", kv: { id: = self.fields.id, error: = error });
                attempt.report_broken(&error);
                return Start::Failed;
            }
        };
        if !upstream.is_relayed() {
            self.entry.paths.record_reached(self.entry.clock.now_ms());
        }
        let fields = self.entry.dialect.read_response(&response.head);
        self.record_notice(attempt, &response.head, &fields);
        if fields.not_run && response.head.is_success() {
            let endpoint = &attempt.endpoint;
            spdlog::warn!("success that claims not to have run", kv: { id: = self.fields.id, endpoint: = endpoint });
            attempt.report(Outcome::Broken);
            return Start::Failed;
        }
        if fields.not_run || fields.misdirected {
            let misdirected = Outcome::Misdirected;
            attempt.report(if fields.misdirected { misdirected } else { Outcome::Rejected });
            let retry_after_ms = response.head.retry_after_ms().unwrap_or(RETRY_AFTER_MS);
            let retry_after_ms = retry_after_ms.min(RETRY_AFTER_MAX_MS);
            self.discard_and_release(attempt, upstream, response).await;
            return Start::NotRun { retry_after_ms };
        }
        if response.is_cut {
            spdlog::info!("answer not whole", kv: { id: = self.fields.id, error: = Error::Truncated });
            attempt.report_broken(&Error::Truncated);
            return Start::Failed;
        }
        Start::Answering(Box::new(Begun { connection: upstream, response }))
    }

    /// Reports an endpoint whose response does not go on with the stream.
    pub(super) fn report_no_continuation(&self, attempt: &Attempt, head: &ResponseHead) {
        spdlog::info!("stream not continued", kv: { id: = self.fields.id, status = head.status });
        attempt.report(Outcome::Failed);
    }

    /// Returns whether a response is the one to this request. One without id is taken only if it `must_be`,
    /// because nothing else was ever asked or answered on its connection.
    fn is_own_response(&self, head: &ResponseHead, must_be: bool) -> bool {
        let response_id = self.entry.dialect.read_response(head).id;
        let is_own = response_id.as_ref().map_or(must_be, |id| *id == self.fields.id);
        if !is_own {
            spdlog::info!("response to another request discarded", kv: {
                id: = self.fields.id, status = head.status, response_id:serde = response_id,
            });
        }
        is_own
    }

    /// Reports to the placement that the endpoint is leaving, asks for a pause, or states a limit or
    /// none.
    fn record_notice(&self, attempt: &Attempt, head: &ResponseHead, fields: &ResponseFields) {
        const UNAVAILABLE: u16 = 503;
        if fields.misdirected {
            return;
        }
        let (endpoint, leaving) = (&attempt.endpoint, fields.leaving);
        let pause_ms = head.retry_after_ms().filter(|_| head.status == UNAVAILABLE);
        if leaving || pause_ms.is_some() {
            spdlog::info!("endpoint wants nothing new", kv: {
                id: = self.fields.id, endpoint: = endpoint, leaving, pause_ms:serde = pause_ms,
            });
        }
        let limit = fields.limit_per_s.map(|per_s| StatedLimit { per_s, age_ms: 0 });
        match limit {
            Some(limit) => self.access_log.record_limit(limit.per_s),
            // Only a success is sure to have all fields of the endpoint.
            None if head.is_success() => {
                self.entry.placement.record_unlimited(attempt.job_id, LimitKind::Requests);
            }
            None => {}
        }
        let rejections = fields.rejections_per_s.map(|per_s| StatedLimit { per_s, age_ms: 0 });
        if rejections.is_none() && head.is_success() {
            self.entry.placement.record_unlimited(attempt.job_id, LimitKind::Rejections);
        }
        let notice = Notice { leaving, pause_ms, limit, rejections };
        if !notice.is_empty() {
            self.entry.placement.record_notice(endpoint, notice);
        }
    }

    /// Reports an attempt at an endpoint for which there is no connection.
    pub(super) fn report_unusable(&self, attempt: &Attempt, unusable: &Unusable) {
        let (id, endpoint) = (&self.fields.id, &attempt.endpoint);
        match unusable {
            Unusable::Unreached(paths::Unreached { error, is_confirmed }) => {
                spdlog::info!("endpoint not reached", kv: {
                    id: = id, error: = error, is_confirmed = *is_confirmed,
                });
                attempt.is_confirmed.set(*is_confirmed);
                attempt.report(Outcome::NotConnected);
            }
            Unusable::SentFirst => {
                spdlog::info!("bytes from endpoint before the request", kv: {
                    id: = id, endpoint: = endpoint,
                });
                attempt.report(Outcome::Failed);
            }
        }
    }

    /// Takes an idle connection or opens one; returns whether it is new. A request without id gets a new
    /// one: on another, the response to it could not be told from one to an earlier request.
    pub(super) async fn connect(
        &self,
        placed: &Placed,
        may_repeat: bool,
    ) -> Result<(Connection, bool), Unusable> {
        let now_ms = self.entry.clock.now_ms();
        let endpoint = &placed.endpoint;
        if !self.fields.id.is_empty()
            && !self.entry.paths.is_lost(endpoint)
            && let Some(connection) = self.entry.pool.take(now_ms, endpoint, may_repeat).await
        {
            return Ok((connection, false));
        }
        Ok((self.connect_anew(placed).await?, true))
    }

    /// Opens a connection.
    pub(super) async fn connect_anew(&self, placed: &Placed) -> Result<Connection, Unusable> {
        let connected =
            paths::connect(self.entry, &placed.endpoint, &placed.address, self.may_relay).await;
        let (stream, is_relayed) = connected.map_err(Unusable::Unreached)?;
        let mut connection =
            if is_relayed { Connection::relayed(stream) } else { Connection::new(stream) };
        // What arrives before the request is sent is no response to it.
        if !connection.is_idle().await && !connection.buffered().is_empty() {
            return Err(Unusable::SentFirst);
        }
        Ok(connection)
    }

    /// Returns the bytes of the request to send to the endpoint.
    fn request_bytes(
        &self,
        resolved: &ResolvedRequest,
        placed: &Placed,
        stream: &StreamState,
    ) -> RequestBytes<'_> {
        let dialect = &self.entry.dialect;
        let mut headers = self.head.headers.forwarded(|name| dialect.is_stripped(name));
        let left_ms = self.deadline_ms.saturating_sub(self.entry.clock.now_ms());
        dialect.add_forwarded(
            &mut headers,
            &ForwardedFields {
                account: resolved.account.clone(),
                deadline_left_ms: left_ms.max(1),
                endpoint: placed.endpoint.clone(),
                last_event_id: stream.last_event_id().cloned(),
            },
        );
        if !self.body.is_empty() || self.head.headers.text("content-length").is_some() {
            headers.push("Content-Length", self.body.len().to_string());
        }
        let mut bytes =
            format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target).into_bytes();
        headers.write(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        RequestBytes::new(bytes, &self.body)
    }

    /// Reports an attempt that takes much longer than expected. If the request can move to another endpoint,
    /// fails once that is reached or, for a stream, has taken it; until then, and otherwise, the attempt
    /// continues.
    async fn watch_stall<T>(
        &self,
        attempt: &Attempt,
        StallWatch { stall_ms, scope, stream }: StallWatch<'_>,
        work: impl Future<Output = T>,
    ) -> Result<T, Box<Reached>> {
        let done = async { Ok(work.await) };
        let stalled = async {
            Timer::after(Duration::from_millis(stall_ms)).await;
            let (id, endpoint, can_move) = (&self.fields.id, &attempt.endpoint, scope.can_move());
            spdlog::warn!("endpoint stalls", kv: { id: = id, endpoint: = endpoint, stall_ms, can_move });
            if !self.entry.paths.is_lost(&attempt.endpoint) {
                self.entry.placement.report_stall(attempt.job_id);
            }
            if !can_move {
                smol::future::pending::<()>().await;
            }
            let mut relocation = Relocation::new(self, scope, &attempt.endpoint);
            Err(Box::new(relocation.reached(stream).await))
        };
        smol::future::or(done, stalled).await
    }

    /// Buffers a response and relays it; one that is too long to buffer is relayed as it arrives.
    async fn buffer_and_relay(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        response: ResponseStart,
        attempt: &Attempt,
        watch: StallWatch<'_>,
    ) -> AttemptEnd {
        let may_repeat = watch.scope.resolved.route.kind.may_repeat();
        let endpoint = attempt.endpoint.clone();
        attempt.record_first_byte(self.entry.clock.now_ms());
        let framing = match self.head.method == "HEAD" {
            true => Framing::Length(0),
            false => response.head.framing,
        };
        let mut reader = Body::new(framing);
        let mut body = Vec::new();
        let read = async {
            while body.len() <= BUFFERED_MAX_BYTES && reader.next(&mut upstream, &mut body).await? {
            }
            Ok::<(), Error>(())
        };
        let work = self.watch_stall(attempt, watch, read);
        match run_interruptible(self.entry, caller, self.deadline_ms, work).await {
            Err(cause) => return AttemptEnd::Interrupted(cause),
            Ok(Err(reached)) => return AttemptEnd::Moved { endpoint, reached },
            Ok(Ok(Err(error))) => {
                spdlog::info!("answer not whole", kv: { id: = self.fields.id, error: = error });
                attempt.report_broken(&error);
                return AttemptEnd::Failed { endpoint, response: None };
            }
            Ok(Ok(Ok(()))) => {}
        }
        if !reader.is_at_end() {
            return self
                .relay_unbuffered(caller, upstream, response.head, reader, body, attempt)
                .await;
        }
        let failed = response.head.status >= 500;
        let outcome = if failed { Outcome::Failed } else { Outcome::Answered };
        attempt.report_end(outcome, framing);
        let buffered = BufferedResponse { head: response.head.clone(), body };
        self.release(attempt, upstream, &response);
        if failed && may_repeat {
            return AttemptEnd::Failed { endpoint, response: Some(buffered) };
        }
        AttemptEnd::Answered { keeps_alive: self.relay_buffered(caller, &buffered).await }
    }

    /// Discards the body of an unused response so that its connection can be reused.
    async fn discard_and_release(
        &self,
        attempt: &Attempt,
        mut upstream: Connection,
        response: ResponseStart,
    ) {
        const READ_MS: u64 = 20;
        const READ_MAX_BYTES: usize = 4_096;
        let body = Body::new(response.head.framing).read_whole(&mut upstream, READ_MAX_BYTES);
        if matches!(lycheehub_clock::within(READ_MS, body).await, Some(Ok(_))) {
            self.release(attempt, upstream, &response);
        }
    }

    /// Returns a connection to the pool after its response was read completely, unless further bytes
    /// arrived on it, responses to other requests did, or the endpoint responded before it had the
    /// complete request.
    pub(super) fn release(
        &self,
        attempt: &Attempt,
        upstream: Connection,
        response: &ResponseStart,
    ) {
        if upstream.buffered().is_empty() && response.keeps_alive() {
            let now_ms = self.entry.clock.now_ms();
            let timeout_ms = response.head.idle_timeout_ms();
            let idle = (timeout_ms, self.idle_max);
            self.entry.pool.put(now_ms, &attempt.endpoint, upstream, idle);
        }
    }
}

pub(super) fn stall_ms(expected_ms: u64, is_stream: bool) -> u64 {
    let margin_ms = if is_stream { STALL_EVENT_MARGIN_MS } else { STALL_RESPONSE_MARGIN_MS };
    expected_ms.saturating_mul(STALL_FACTOR).saturating_add(margin_ms)
}

fn outcome_of(end: &AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Answered { .. } => Outcome::Answered,
        AttemptEnd::Interrupted(_) | AttemptEnd::Excluded => Outcome::Abandoned,
        AttemptEnd::NotConnected(_) => Outcome::NotConnected,
        AttemptEnd::NotRun { .. } => Outcome::Rejected,
        AttemptEnd::SentFirst(_) | AttemptEnd::Failed { response: Some(_), .. } => Outcome::Failed,
        AttemptEnd::Moved { .. } | AttemptEnd::Failed { response: None, .. } => Outcome::Broken,
    }
}
