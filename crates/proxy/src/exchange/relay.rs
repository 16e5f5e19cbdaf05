//! Passes answers on to callers.

use super::Exchange;
use super::attempt::{Attempt, AttemptEnd, Held};
use super::guard::guard;
use super::own::send_last;
use crate::http1::{Body, Connection, Error, Event, Events, Framing, ResponseHead};
use futures_lite::AsyncWriteExt;
use lycheehub_clock::within;
use lycheehub_dispatch::Outcome;
use smol::net::TcpStream;
use smol_str::SmolStr;
use std::cell::Cell;

/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// How long a stream that can go on elsewhere may take until its next event with an id, in
/// milliseconds: well within the two seconds after which callers give it up. Bytes and comments that
/// an endpoint sends meanwhile do not bring it on.
const PAUSE_MAX_MS: u64 = 1_100;

/// How far the answer to a request for a stream has come.
#[derive(Clone, Debug)]
pub(super) struct StreamState {
    last_event_id: Option<SmolStr>,
    begun: Option<Framing>,
}

impl StreamState {
    /// Begins after the event that the caller has.
    pub(super) fn new(last_event_id: Option<SmolStr>) -> Self {
        Self { last_event_id, begun: None }
    }

    /// Tells whether the caller was sent any of the answer.
    pub(super) fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns the last event that the caller has.
    pub(super) fn last_event_id(&self) -> Option<&SmolStr> {
        self.last_event_id.as_ref()
    }
}

/// Why no more of a stream is relayed.
enum StreamEnd {
    Whole,
    Broken(Error),
    Stalled,
    CallerLeft,
}

impl Exchange<'_> {
    /// Passes on an answer that was read whole; tells whether the connection can be used again.
    pub(super) async fn relay_held(&mut self, caller: &mut Connection, held: &Held) -> bool {
        let keeps_alive = self.keeps_alive();
        let is_bodyless = held.head.framing == Framing::Length(0) && held.body.is_empty();
        let framing = Framing::Length(held.body.len() as u64);
        let framing = if is_bodyless { held.head.framing } else { framing };
        let mut bytes = self.answer_head(&held.head, framing, keeps_alive);
        bytes.extend_from_slice(&held.body);
        self.trail.note_status(held.head.status);
        let sending_ms = self.entry.clock.now_ms();
        self.trail.note_first_byte(sending_ms);
        let is_kept = send_last(caller, &bytes, keeps_alive).await;
        self.trail.note_write(self.entry.clock.now_ms() - sending_ms);
        is_kept
    }

    /// Passes on a long answer that is no stream; where it breaks off, so does the caller's.
    pub(super) async fn relay_long(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        head: ResponseHead,
        mut reading: Body,
        first: Vec<u8>,
        attempt: &Attempt,
    ) -> AttemptEnd {
        let keeps_alive = self.keeps_alive();
        let framing = caller_framing(head.framing);
        let mut piece = self.answer_head(&head, framing, keeps_alive);
        append_piece(&mut piece, framing, &first);
        self.trail.note_status(head.status);
        let mut writer = caller.writer();
        let relay = async {
            loop {
                writer.write_all(&piece).await?;
                piece.clear();
                let mut body = Vec::new();
                if !reading.next(&mut upstream, &mut body).await? {
                    return Ok(());
                }
                append_piece(&mut piece, framing, &body);
            }
        };
        let relayed: Result<Result<(), Error>, _> =
            guard(self.entry, caller, self.deadline_ms, relay).await;
        match relayed {
            Err(_) => AttemptEnd::Answered { keeps_alive: false },
            Ok(Err(error)) => {
                spdlog::info!("answer cut off", kv: { id: = self.fields.id, error: = error });
                attempt.report(Outcome::Broken);
                self.trail.note_end("cut");
                AttemptEnd::Answered { keeps_alive: false }
            }
            Ok(Ok(())) => {
                attempt.report(Outcome::Answered);
                let is_sent = framing != Framing::Chunked || caller.send(LAST_CHUNK).await.is_ok();
                AttemptEnd::Answered { keeps_alive: keeps_alive && is_sent }
            }
        }
    }

    /// Passes on whole events of a stream as they come.
    pub(super) async fn relay_stream(
        &mut self,
        caller: &mut Connection,
        mut upstream: Connection,
        head: ResponseHead,
        attempt: &Attempt,
        stream: &mut StreamState,
        can_move: bool,
    ) -> AttemptEnd {
        let keeps_alive = self.keeps_alive();
        let framing = caller_framing(head.framing);
        let mut pending = Vec::new();
        if stream.begun.is_none() {
            pending = self.answer_head(&head, framing, keeps_alive);
        }
        let framing = stream.begun.unwrap_or(framing);
        let mut writer = caller.writer();
        let mut body = Body::new(head.framing);
        let deadline_ms = self.deadline_ms;
        let clock = self.entry.clock;
        let longest_write_ms = Cell::new(0);
        let relay = async {
            let mut events = Events::default();
            let mut advanced_ms = clock.now_ms();
            loop {
                let mut piece = Vec::new();
                let read = body.next(&mut upstream, &mut piece);
                let paused_ms = clock.now_ms() - advanced_ms;
                let left_ms = can_move.then(|| PAUSE_MAX_MS.saturating_sub(paused_ms));
                let more = match within_pause(left_ms, read).await {
                    None => return StreamEnd::Stalled,
                    Some(Err(error)) => return StreamEnd::Broken(error),
                    Some(Ok(more)) => more,
                };
                let more = more && !body.is_at_end();
                events.push(&piece);
                while let Some(event) = events.next_event() {
                    let now_ms = clock.now_ms();
                    attempt.note_event(now_ms);
                    if event.id.is_some() {
                        advanced_ms = now_ms;
                    }
                    take_event(&mut pending, framing, stream, event);
                }
                if let Err(error) = events.check_rest() {
                    return StreamEnd::Broken(error);
                }
                if !more {
                    append_piece(&mut pending, framing, &events.take_rest());
                    if framing == Framing::Chunked {
                        pending.extend_from_slice(LAST_CHUNK);
                    }
                }
                let sending_ms = clock.now_ms();
                if (!more || stream.has_begun()) && !send(&mut writer, &mut pending).await {
                    return StreamEnd::CallerLeft;
                }
                // A caller that reads slowly is no pause of the endpoint.
                let write_ms = clock.now_ms() - sending_ms;
                advanced_ms += write_ms;
                longest_write_ms.set(write_ms.max(longest_write_ms.get()));
                if !more {
                    return StreamEnd::Whole;
                }
            }
        };
        let end = guard(self.entry, caller, deadline_ms, relay).await;
        if let Some(first_ms) = attempt.first_byte_ms.get() {
            self.trail.note_first_byte(first_ms);
        }
        self.trail.note_write(longest_write_ms.get());
        self.trail.note_events(attempt.events.get(), attempt.pause_ms.get());
        let endpoint = attempt.endpoint.clone();
        match end {
            Err(why) => AttemptEnd::Interrupted(why),
            Ok(StreamEnd::CallerLeft) => {
                self.trail.note_end("caller left");
                attempt.report(Outcome::Abandoned);
                AttemptEnd::Answered { keeps_alive: false }
            }
            Ok(StreamEnd::Whole) => {
                self.trail.note_status(head.status);
                attempt.report(Outcome::Answered);
                let is_clean = upstream.unused().is_empty() && head.keeps_alive;
                if is_clean {
                    let timeout_ms = head.idle_timeout_ms();
                    self.entry.pool.put(clock.now_ms(), &endpoint, upstream, timeout_ms);
                }
                AttemptEnd::Answered { keeps_alive }
            }
            Ok(StreamEnd::Broken(error)) => {
                let event = stream.last_event_id.as_deref().unwrap_or_default();
                spdlog::info!("stream broke off", kv: { id: = self.fields.id, error: = error, event });
                attempt.report(Outcome::Broken);
                AttemptEnd::Failed { endpoint, answer: None }
            }
            Ok(StreamEnd::Stalled) => {
                spdlog::warn!("stream stalls", kv: { id: = self.fields.id, endpoint: = endpoint });
                attempt.report(Outcome::Broken);
                AttemptEnd::Failed { endpoint, answer: None }
            }
        }
    }

    /// Returns the head that the caller is sent.
    fn answer_head(&self, head: &ResponseHead, framing: Framing, keeps_alive: bool) -> Vec<u8> {
        let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        let mut headers = head.headers.onward(|_| false);
        match framing {
            Framing::Length(length) if !matches!(head.status, 204 | 304) => {
                headers.push("Content-Length", length.to_string());
            }
            Framing::Chunked => headers.push("Transfer-Encoding", "chunked"),
            Framing::Length(_) | Framing::UntilClose => {}
        }
        if !keeps_alive {
            headers.push("Connection", "close");
        }
        headers.write(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Returns how a body is framed towards the caller: one that ends with its connection comes in
/// chunks, so that its caller can tell a whole one.
fn caller_framing(framing: Framing) -> Framing {
    match framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    }
}

fn append_piece(out: &mut Vec<u8>, framing: Framing, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    if framing == Framing::Chunked {
        out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    }
    out.extend_from_slice(piece);
    if framing == Framing::Chunked {
        out.extend_from_slice(b"\r\n");
    }
}

fn take_event(out: &mut Vec<u8>, framing: Framing, stream: &mut StreamState, event: Event) {
    append_piece(out, framing, &event.bytes);
    stream.begun.get_or_insert(framing);
    if event.id.is_some() {
        stream.last_event_id = event.id;
    }
}

async fn send(writer: &mut TcpStream, pending: &mut Vec<u8>) -> bool {
    if pending.is_empty() {
        return true;
    }
    let is_sent = writer.write_all(pending).await.is_ok();
    pending.clear();
    is_sent
}

async fn within_pause<T>(left_ms: Option<u64>, work: impl Future<Output = T>) -> Option<T> {
    match left_ms {
        Some(left_ms) => within(left_ms, work).await,
        None => Some(work.await),
    }
}
