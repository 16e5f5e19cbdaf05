//! Relays responses to callers.

use super::Exchange;
use super::attempt::{Attempt, AttemptEnd, AttemptScope, BufferedResponse};
use super::guard::{Interrupted, run_interruptible};
use super::local_response::{push_connection, send_response};
use super::relocation::{Reached, Relocation};
use super::send::ResponseStart;
use super::stream_state::{Continuation, StreamState};
use crate::http1::{Body, Connection, Error, EventParser, Framing, ResponseHead};
use futures_lite::AsyncWriteExt;
use lycheehub_dispatch::Outcome;
use smol::Timer;
use smol::net::TcpStream;
use smol_str::SmolStr;
use std::cell::Cell;
use std::time::Duration;

/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Maximum time until the next event with an id on a stream that can be resumed at another endpoint,
/// in milliseconds; after it another endpoint is searched for. Callers abandon a stream after two seconds
/// without progress, so this stays well below. Other bytes and comments from the endpoint do not count as progress.
const PROGRESS_TIMEOUT_MS: u64 = 1_100;

/// An endpoint that is to continue a stream does not go on where it broke off.
const REPEATED: Error = Error::Malformed("a continuation that repeats events");

/// Why relaying a stream ended.
enum StreamEnd {
    Complete,
    Broken(Error),
    Moved(Box<Reached>),
    CallerDisconnected,
}

impl Exchange<'_> {
    /// Relays a buffered response; returns whether the connection can be used again.
    pub(super) async fn relay_buffered(
        &mut self,
        caller: &mut Connection,
        response: &BufferedResponse,
    ) -> bool {
        let keeps_alive = self.keeps_alive();
        let is_bodyless = response.head.framing == Framing::Length(0) && response.body.is_empty();
        let framing = Framing::Length(response.body.len() as u64);
        let framing = if is_bodyless { response.head.framing } else { framing };
        let mut bytes = self.response_head(&response.head, framing, keeps_alive);
        bytes.extend_from_slice(&response.body);
        self.access_log.record_status(response.head.status);
        let write_started_ms = self.entry.clock.now_ms();
        self.access_log.record_first_byte(write_started_ms);
        let keeps_alive = send_response(caller, &self.fields.id, &bytes, keeps_alive).await;
        self.access_log.record_write(self.entry.clock.now_ms() - write_started_ms);
        keeps_alive
    }

    /// Relays a response that is too long to buffer and is no stream. If the endpoint's response is
    /// truncated, so is the caller's.
    pub(super) async fn relay_unbuffered(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        head: ResponseHead,
        mut reader: Body,
        buffered: Vec<u8>,
        attempt: &Attempt,
    ) -> AttemptEnd {
        let keeps_alive = self.keeps_alive();
        let framing = caller_framing(head.framing);
        let mut pending = self.response_head(&head, framing, keeps_alive);
        append_framed(&mut pending, framing, &buffered);
        self.access_log.record_status(head.status);
        let mut writer = caller.writer();
        let relay = async {
            loop {
                if !flush(&mut writer, &mut pending).await {
                    return Err(Interrupted::CallerDisconnected);
                }
                let mut body = Vec::new();
                match reader.next(&mut upstream, &mut body).await {
                    Ok(true) => append_framed(&mut pending, framing, &body),
                    Ok(false) => return Ok(Ok(())),
                    Err(error) => return Ok(Err(error)),
                }
            }
        };
        let relayed = run_interruptible(self.entry, caller, self.deadline_ms, relay).await;
        match relayed.flatten() {
            Err(cause) => {
                self.access_log.record_end(cause.end_of_response());
                attempt.report(Outcome::Abandoned);
                AttemptEnd::Answered { keeps_alive: false }
            }
            Ok(Err(error)) => {
                spdlog::info!("endpoint response truncated", kv: { id: = self.fields.id, error: = error });
                attempt.report_broken(&error);
                self.access_log.record_end("cut");
                AttemptEnd::Answered { keeps_alive: false }
            }
            Ok(Ok(())) => {
                attempt.report_end(Outcome::Answered, head.framing);
                let is_sent = framing != Framing::Chunked || caller.send(LAST_CHUNK).await.is_ok();
                AttemptEnd::Answered { keeps_alive: keeps_alive && is_sent }
            }
        }
    }

    /// Relays complete events of a stream as they arrive. Of a response that is to continue a stream that
    /// has started, nothing is relayed before an event that follows the last one.
    pub(super) async fn relay_stream(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        response: ResponseStart,
        attempt: &Attempt,
        stream: &mut StreamState,
        scope: AttemptScope<'_>,
    ) -> AttemptEnd {
        let can_move = scope.can_move();
        let keeps_alive = stream.keeps_alive().unwrap_or_else(|| self.keeps_alive());
        let head = &response.head;
        // Another endpoint may continue the stream, with a different length.
        let framing = if can_move { Framing::Chunked } else { caller_framing(head.framing) };
        let mut pending = Vec::new();
        let mut is_continued = !stream.has_started();
        if !stream.has_started() {
            pending = self.response_head(head, framing, keeps_alive);
        }
        let framing = stream.framing().unwrap_or(framing);
        let mut writer = caller.writer();
        let mut body = Body::new(head.framing);
        let deadline_ms = self.deadline_ms;
        let clock = self.entry.clock;
        let longest_write_ms = Cell::new(0);
        let mut relocation = Relocation::new(self, scope, &attempt.endpoint);
        let relay = async {
            let mut parser = EventParser::default();
            let mut last_progress_ms = clock.now_ms();
            loop {
                let mut received = Vec::new();
                let read = body.next(&mut upstream, &mut received);
                let elapsed_ms = clock.now_ms() - last_progress_ms;
                let left_ms = (can_move && stream.can_continue())
                    .then(|| PROGRESS_TIMEOUT_MS.saturating_sub(elapsed_ms));
                let read = read_or_move(left_ms, read, &mut relocation, stream);
                let has_more = match read.await {
                    Err(reached) => return StreamEnd::Moved(reached),
                    Ok(Err(error)) => return StreamEnd::Broken(error),
                    Ok(Ok(has_more)) => has_more,
                };
                let has_more = has_more && !body.is_at_end();
                parser.push(&received);
                while let Some(event) = parser.next_event() {
                    if !is_continued {
                        match stream.continuation(&event) {
                            Continuation::Next => is_continued = true,
                            Continuation::Unnumbered => continue,
                            Continuation::Repeated => return StreamEnd::Broken(REPEATED),
                        }
                    }
                    let now_ms = clock.now_ms();
                    attempt.record_event(now_ms);
                    if event.id.is_some() {
                        last_progress_ms = now_ms;
                        relocation.cancel();
                    }
                    append_framed(&mut pending, framing, &event.bytes);
                    stream.record_sent(head, framing, keeps_alive, event);
                }
                let checked = match has_more {
                    true => parser.check_remainder(),
                    false if !is_continued => Err(Error::Truncated),
                    false => check_end(&parser, head.framing, stream.has_started()),
                };
                if checked.is_ok() && !has_more && framing == Framing::Chunked {
                    pending.extend_from_slice(LAST_CHUNK);
                }
                let write_started_ms = clock.now_ms();
                let is_complete = checked.is_ok() && !has_more;
                if (is_complete || stream.has_started()) && !flush(&mut writer, &mut pending).await
                {
                    return StreamEnd::CallerDisconnected;
                }
                // Time spent waiting for a slow caller does not count against the endpoint.
                let write_ms = clock.now_ms() - write_started_ms;
                last_progress_ms += write_ms;
                longest_write_ms.set(write_ms.max(longest_write_ms.get()));
                if let Err(error) = checked {
                    return StreamEnd::Broken(error);
                }
                if !has_more {
                    return StreamEnd::Complete;
                }
            }
        };
        let end = run_interruptible(self.entry, caller, deadline_ms, relay).await;
        drop(relocation);
        if let Some(first_ms) = attempt.first_byte_ms.get() {
            self.access_log.record_first_byte(first_ms);
        }
        self.access_log.record_write(longest_write_ms.get());
        self.access_log.record_events(attempt.events.get(), attempt.pause_ms.get());
        let endpoint = attempt.endpoint.clone();
        match end {
            Err(cause) => AttemptEnd::Interrupted(cause),
            Ok(StreamEnd::CallerDisconnected) => {
                self.access_log.record_end("caller left");
                attempt.report(Outcome::Abandoned);
                AttemptEnd::Answered { keeps_alive: false }
            }
            Ok(StreamEnd::Complete) => {
                self.access_log.record_status(head.status);
                attempt.report_end(Outcome::Answered, response.head.framing);
                self.release(attempt, upstream, &response);
                AttemptEnd::Answered { keeps_alive }
            }
            Ok(StreamEnd::Broken(error)) => {
                let event = stream.last_event_id().map(SmolStr::as_str).unwrap_or_default();
                spdlog::info!("stream broke off", kv: { id: = self.fields.id, error: = error, event });
                attempt.report_broken(&error);
                AttemptEnd::Failed { endpoint, response: None }
            }
            Ok(StreamEnd::Moved(reached)) => {
                spdlog::warn!("stream stalls", kv: { id: = self.fields.id, endpoint: = endpoint });
                AttemptEnd::Moved { endpoint, reached }
            }
        }
    }

    /// Returns the bytes of the response head for the caller.
    fn response_head(&self, head: &ResponseHead, framing: Framing, keeps_alive: bool) -> Vec<u8> {
        let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        let mut headers = head.headers.forwarded(|_| false);
        match framing {
            Framing::Length(length) if !matches!(head.status, 204 | 304) => {
                headers.push("Content-Length", length.to_string());
            }
            Framing::Chunked => headers.push("Transfer-Encoding", "chunked"),
            Framing::Length(_) | Framing::UntilClose => {}
        }
        push_connection(&mut headers, keeps_alive.then_some(self.idle_time));
        headers.write(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Checks that a stream has not ended inside an event. One whose end is that of its connection must have
/// sent an event: the endpoint may have closed the connection before the first.
fn check_end(parser: &EventParser, framing: Framing, has_events: bool) -> Result<(), Error> {
    match framing {
        Framing::UntilClose if parser.has_remainder() || !has_events => Err(Error::Truncated),
        _ if parser.has_remainder() => Err(Error::Malformed("a stream that ends inside an event")),
        _ => Ok(()),
    }
}

/// Returns the framing of the body sent to the caller. A body that ends with its connection is sent
/// chunked, so that the caller can detect truncation.
fn caller_framing(framing: Framing) -> Framing {
    match framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    }
}

fn append_framed(out: &mut Vec<u8>, framing: Framing, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    if framing == Framing::Chunked {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    }
    out.extend_from_slice(data);
    if framing == Framing::Chunked {
        out.extend_from_slice(b"\r\n");
    }
}

async fn flush(writer: &mut TcpStream, pending: &mut Vec<u8>) -> bool {
    if pending.is_empty() {
        return true;
    }
    let is_sent = writer.write_all(pending).await.is_ok();
    pending.clear();
    is_sent
}

/// Reads from the endpoint. After `left_ms` without a result, fails once another endpoint has taken the stream.
async fn read_or_move<T>(
    left_ms: Option<u64>,
    read: impl Future<Output = T>,
    relocation: &mut Relocation<'_>,
    stream: &StreamState,
) -> Result<T, Box<Reached>> {
    let Some(left_ms) = left_ms else {
        relocation.cancel();
        return Ok(read.await);
    };
    let done = async { Ok(read.await) };
    let moved = async {
        Timer::after(Duration::from_millis(left_ms)).await;
        Err(Box::new(relocation.reached(stream).await))
    };
    smol::future::or(done, moved).await
}
