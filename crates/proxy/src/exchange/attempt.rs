//! One attempt: sends the request to an endpoint and takes its answer.

use super::filters::Identified;
use super::guard::{Interrupted, guard};
use super::relay::StreamState;
use super::send::{Answered, send};
use super::{Exchange, Placed};
use crate::dialect::OnwardFields;
use crate::entry::Entry;
use crate::http1::{Body, Connection, Error, ResponseHead};
use crate::pool;
use lycheehub_dispatch::{Finished, JobId, Notice, Outcome};
use lycheehub_types::EndpointName;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The longest answer that is read whole before it is passed on, in bytes.
const WHOLE_MAX_BYTES: usize = 256 * 1024;
/// When a caller comes back whose request no endpoint took, where none says it, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;
/// The latest that it is told, in milliseconds: endpoints may be gone by then, and others there.
const RETRY_AFTER_MAX_MS: u64 = 30_000;
/// How much longer than expected an answer may take before it counts as stalled, as a factor.
const STALL_FACTOR: u64 = 3;
/// How much longer it may take besides, in milliseconds, for a whole answer and for a first event.
const STALL_ANSWER_MS: u64 = 250;
const STALL_EVENT_MS: u64 = 900;

/// An answer that was read whole and is kept in case no other endpoint gives a better one.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<u8>,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its answer, or as much of it as there is.
    Answered { keeps_alive: bool },
    /// The caller left, or its time was over.
    Interrupted(Interrupted),
    /// No connection could be made to the endpoint.
    NotSent(EndpointName),
    /// The endpoint has said meanwhile that it wants nothing; nothing was sent.
    Barred,
    /// The endpoint says that it did not run the request.
    NotRun { endpoint: EndpointName, retry_after_ms: u64 },
    /// The endpoint failed, and may have run the request.
    Failed { endpoint: EndpointName, answer: Option<Held> },
}

/// An attempt under way; reported as abandoned where it is dropped.
pub(super) struct Attempt {
    entry: Rc<Entry>,
    job_id: JobId,
    pub(super) endpoint: EndpointName,
    pub(super) sent_ms: u64,
    pub(super) first_byte_ms: Cell<Option<u64>>,
    pub(super) events: Cell<u32>,
    last_event_ms: Cell<u64>,
    /// The longest pause between events, in milliseconds.
    pub(super) pause_ms: Cell<u64>,
    is_reported: Cell<bool>,
}

impl Attempt {
    fn new(entry: &Rc<Entry>, placed: &Placed) -> Self {
        Self {
            entry: entry.clone(),
            job_id: placed.job_id,
            endpoint: placed.endpoint.clone(),
            sent_ms: entry.clock.now_ms(),
            first_byte_ms: Cell::new(None),
            events: Cell::new(0),
            last_event_ms: Cell::new(0),
            pause_ms: Cell::new(0),
            is_reported: Cell::new(false),
        }
    }

    pub(super) fn note_first_byte(&self, now_ms: u64) {
        if self.first_byte_ms.get().is_none() {
            self.first_byte_ms.set(Some(now_ms));
        }
    }

    pub(super) fn note_event(&self, now_ms: u64) {
        self.note_first_byte(now_ms);
        if self.events.get() > 0 {
            let pause_ms = now_ms - self.last_event_ms.get();
            self.pause_ms.set(self.pause_ms.get().max(pause_ms));
        }
        self.last_event_ms.set(now_ms);
        self.events.set(self.events.get() + 1);
    }

    /// Reports how the attempt ended; returns how long it took, in milliseconds.
    pub(super) fn report(&self, outcome: Outcome) -> u64 {
        let now_ms = self.entry.clock.now_ms();
        let took_ms = now_ms - self.sent_ms;
        if self.is_reported.replace(true) {
            return took_ms;
        }
        let first_ms = self.first_byte_ms.get();
        let short = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        self.entry.placement.finish(Finished {
            job_id: self.job_id,
            outcome,
            first_byte_ms: first_ms.map(|first_ms| short(first_ms - self.sent_ms)),
            rest_ms: first_ms.map_or(0, |first_ms| short(now_ms - first_ms)),
            events: self.events.get().saturating_sub(1),
        });
        took_ms
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.report(Outcome::Abandoned);
    }
}

/// When an attempt counts as stalled, and what follows.
#[derive(Clone, Copy)]
struct StallWatch {
    stall_ms: u64,
    /// The request can move to another endpoint then.
    can_move: bool,
}

impl Exchange<'_> {
    /// Sends the request to an endpoint and relays its answer; `last` tells that there is no
    /// further attempt.
    pub(super) async fn attempt(
        &mut self,
        caller: &mut Connection,
        identified: &Identified,
        placed: Placed,
        stream: &mut StreamState,
        last: bool,
    ) -> AttemptEnd {
        let attempt = Attempt::new(self.entry, &placed);
        let end = self.try_endpoint(caller, identified, &placed, &attempt, stream, last).await;
        let outcome = outcome_of(&end);
        let took_ms = attempt.report(outcome);
        self.trail.note_attempt(&placed.endpoint, outcome, took_ms);
        end
    }

    async fn try_endpoint(
        &mut self,
        caller: &mut Connection,
        identified: &Identified,
        placed: &Placed,
        attempt: &Attempt,
        stream: &mut StreamState,
        last: bool,
    ) -> AttemptEnd {
        let kind = identified.route.kind;
        let endpoint = placed.endpoint.clone();
        let connecting = self.connect(placed, kind.may_repeat());
        let connected = guard(self.entry, caller, self.deadline_ms, connecting).await;
        let (mut upstream, is_fresh) = match connected {
            Err(why) => return AttemptEnd::Interrupted(why),
            Ok(Err(error)) => {
                spdlog::info!("endpoint not reached", kv: { id: = self.fields.id, error: = error });
                attempt.report(Outcome::NotConnected);
                return AttemptEnd::NotSent(endpoint);
            }
            Ok(Ok(connected)) => connected,
        };
        if self.entry.placement.is_excluded(&endpoint) {
            return AttemptEnd::Barred;
        }
        let request = self.onward(identified, placed, stream);
        let can_move = kind.may_repeat() && !last;
        let exchanged = send(&mut upstream, &request, |head| {
            let id = self.entry.dialect.read_answer(head).id;
            id.map_or(is_fresh, |id| id == self.fields.id)
        });
        let stall_ms = stall_ms(placed.first_byte_ms, kind.is_stream());
        let watch = StallWatch { stall_ms, can_move };
        let watched = self.watch_stall(attempt, watch, exchanged);
        let answered = match guard(self.entry, caller, self.deadline_ms, watched).await {
            Err(why) => return AttemptEnd::Interrupted(why),
            Ok(Some(Ok(answered))) => answered,
            Ok(Some(Err(error))) => {
                spdlog::info!("no answer from endpoint", kv: { id: = self.fields.id, error: = error });
                attempt.report(Outcome::Broken);
                return AttemptEnd::Failed { endpoint, answer: None };
            }
            Ok(None) => {
                attempt.report(Outcome::Broken);
                return AttemptEnd::Failed { endpoint, answer: None };
            }
        };
        let fields = self.entry.dialect.read_answer(&answered.head);
        self.heed(&endpoint, &answered.head, fields.leaving);
        if fields.not_run || fields.misdirected {
            let misdirected = Outcome::Misdirected;
            attempt.report(if fields.misdirected { misdirected } else { Outcome::Rejected });
            let retry_after_ms = answered.head.retry_after_ms().unwrap_or(RETRY_AFTER_MS);
            let retry_after_ms = retry_after_ms.min(RETRY_AFTER_MAX_MS);
            self.put_back(attempt, upstream, answered).await;
            return AttemptEnd::NotRun { endpoint, retry_after_ms };
        }
        if kind.is_stream() && answered.head.status == 200 {
            return self
                .relay_stream(caller, upstream, answered.head, attempt, stream, can_move)
                .await;
        }
        if stream.has_begun() {
            attempt.report(Outcome::Failed);
            return AttemptEnd::Failed { endpoint, answer: None };
        }
        self.relay_whole(caller, upstream, answered, attempt, watch, kind.may_repeat()).await
    }

    /// Passes on what the endpoint says of itself.
    fn heed(&self, endpoint: &EndpointName, head: &ResponseHead, leaving: bool) {
        const UNAVAILABLE: u16 = 503;
        let pause_ms = head.retry_after_ms().filter(|_| head.status == UNAVAILABLE);
        let notice = Notice { leaving, pause_ms };
        if notice.is_empty() {
            return;
        }
        spdlog::info!("endpoint wants nothing new", kv: {
            id: = self.fields.id, endpoint: = endpoint, leaving, pause_ms:serde = pause_ms,
        });
        self.entry.placement.record_notice(endpoint, notice);
    }

    /// Takes an idle connection, or makes one; tells whether it is a new one.
    async fn connect(
        &self,
        placed: &Placed,
        may_repeat: bool,
    ) -> Result<(Connection, bool), Error> {
        let now_ms = self.entry.clock.now_ms();
        let idle = self.entry.pool.take(now_ms, &placed.endpoint, may_repeat).await;
        if let Some(connection) = idle {
            return Ok((connection, false));
        }
        let timeout_ms = self.entry.options.connect_timeout_ms;
        Ok((pool::connect(&placed.address, timeout_ms).await?, true))
    }

    /// Returns the request that the endpoint is sent.
    fn onward(&self, identified: &Identified, placed: &Placed, stream: &StreamState) -> Vec<u8> {
        let dialect = &self.entry.dialect;
        let mut headers = self.head.headers.onward(|name| dialect.is_kept_back(name));
        let left_ms = self.deadline_ms.saturating_sub(self.entry.clock.now_ms());
        dialect.add_onward(
            &mut headers,
            &OnwardFields {
                account: identified.account.clone(),
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
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reports an attempt that takes much longer than expected; ends it where the request can move
    /// to another endpoint.
    async fn watch_stall<T>(
        &self,
        attempt: &Attempt,
        StallWatch { stall_ms, can_move }: StallWatch,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let done = async { Some(work.await) };
        let stalled = async {
            Timer::after(Duration::from_millis(stall_ms)).await;
            let (id, endpoint) = (&self.fields.id, &attempt.endpoint);
            spdlog::warn!("endpoint stalls", kv: { id: = id, endpoint: = endpoint, stall_ms, can_move });
            self.entry.placement.report_stall(attempt.job_id);
            if !can_move {
                smol::future::pending::<()>().await;
            }
            None
        };
        smol::future::or(done, stalled).await
    }

    /// Reads an answer whole and passes it on; one that is too long for that as it comes.
    async fn relay_whole(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        answered: Answered,
        attempt: &Attempt,
        watch: StallWatch,
        may_repeat: bool,
    ) -> AttemptEnd {
        let endpoint = attempt.endpoint.clone();
        attempt.note_first_byte(self.entry.clock.now_ms());
        let mut reading = Body::new(if self.head.method == "HEAD" {
            crate::http1::Framing::Length(0)
        } else {
            answered.head.framing
        });
        let mut body = Vec::new();
        let read = async {
            while body.len() <= WHOLE_MAX_BYTES && reading.next(&mut upstream, &mut body).await? {}
            Ok::<(), Error>(())
        };
        let watched = self.watch_stall(attempt, watch, read);
        match guard(self.entry, caller, self.deadline_ms, watched).await {
            Err(why) => return AttemptEnd::Interrupted(why),
            Ok(None) => {
                attempt.report(Outcome::Broken);
                return AttemptEnd::Failed { endpoint, answer: None };
            }
            Ok(Some(Err(error))) => {
                spdlog::info!("answer not whole", kv: { id: = self.fields.id, error: = error });
                attempt.report(Outcome::Broken);
                return AttemptEnd::Failed { endpoint, answer: None };
            }
            Ok(Some(Ok(()))) => {}
        }
        if !reading.is_at_end() {
            return self.relay_long(caller, upstream, answered.head, reading, body, attempt).await;
        }
        let failed = answered.head.status >= 500;
        attempt.report(if failed { Outcome::Failed } else { Outcome::Answered });
        let held = Held { head: answered.head.clone(), body };
        self.put_back_read(attempt, upstream, &answered);
        if failed && may_repeat {
            return AttemptEnd::Failed { endpoint, answer: Some(held) };
        }
        AttemptEnd::Answered { keeps_alive: self.relay_held(caller, &held).await }
    }

    /// Reads what is left of an answer that is not used, and keeps its connection.
    async fn put_back(&self, attempt: &Attempt, mut upstream: Connection, answered: Answered) {
        const READ_MS: u64 = 20;
        const READ_MAX_BYTES: usize = 4_096;
        let body = Body::new(answered.head.framing).read_whole(&mut upstream, READ_MAX_BYTES);
        if matches!(lycheehub_clock::within(READ_MS, body).await, Some(Ok(_))) {
            self.put_back_read(attempt, upstream, &answered);
        }
    }

    /// Keeps a connection whose answer was read to its end, where nothing else came over it.
    fn put_back_read(&self, attempt: &Attempt, upstream: Connection, answered: &Answered) {
        let is_clean = upstream.unused().is_empty() && !answered.is_early;
        if is_clean && answered.head.keeps_alive {
            let now_ms = self.entry.clock.now_ms();
            let timeout_ms = answered.head.idle_timeout_ms();
            self.entry.pool.put(now_ms, &attempt.endpoint, upstream, timeout_ms);
        }
    }
}

fn stall_ms(expected_ms: u64, is_stream: bool) -> u64 {
    let besides_ms = if is_stream { STALL_EVENT_MS } else { STALL_ANSWER_MS };
    STALL_FACTOR * expected_ms + besides_ms
}

fn outcome_of(end: &AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Answered { .. } => Outcome::Answered,
        AttemptEnd::Interrupted(_) | AttemptEnd::Barred => Outcome::Abandoned,
        AttemptEnd::NotSent(_) => Outcome::NotConnected,
        AttemptEnd::NotRun { .. } => Outcome::Rejected,
        AttemptEnd::Failed { answer: Some(_), .. } => Outcome::Failed,
        AttemptEnd::Failed { answer: None, .. } => Outcome::Broken,
    }
}
