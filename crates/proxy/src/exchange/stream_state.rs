//! How much of a stream its caller has been sent, and what continues it.

use crate::http1::{Event, Framing, ResponseHead};
use smol_str::SmolStr;

/// How much of a stream the caller has been sent.
#[derive(Clone, Debug)]
pub(super) struct StreamState {
    last_event_id: Option<SmolStr>,
    /// Data without an id was sent after the last event with one, so that another endpoint cannot be told
    /// where to go on.
    has_unnumbered_data: bool,
    begun: Option<Begun>,
}

/// The response whose head the caller has been sent.
#[derive(Clone, Debug)]
struct Begun {
    framing: Framing,
    media_type: Option<SmolStr>,
    /// Whether it states that its connection stays open.
    keeps_alive: bool,
}

/// What an event of an endpoint that is to continue a stream is to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continuation {
    /// It goes on after the last event.
    Next,
    /// It has no id: it is no part of the stream.
    Unnumbered,
    /// The caller has it already: the endpoint did not go on where the stream broke off.
    Repeated,
}

impl StreamState {
    /// Creates the state of a stream that continues after the last event that the caller received.
    pub(super) fn new(last_event_id: Option<SmolStr>) -> Self {
        Self { last_event_id, has_unnumbered_data: false, begun: None }
    }

    /// Returns whether any of the response was sent to the caller.
    pub(super) fn has_started(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns the framing of the response, once it has started.
    pub(super) fn framing(&self) -> Option<Framing> {
        self.begun.as_ref().map(|begun| begun.framing)
    }

    /// Returns whether the response states that its connection stays open, once it has started.
    pub(super) fn keeps_alive(&self) -> Option<bool> {
        self.begun.as_ref().map(|begun| begun.keeps_alive)
    }

    /// Returns the id of the last event that the caller was sent.
    pub(super) fn last_event_id(&self) -> Option<&SmolStr> {
        self.last_event_id.as_ref()
    }

    /// Returns whether another endpoint can be told where to go on.
    pub(super) fn can_continue(&self) -> bool {
        !self.has_unnumbered_data
    }

    /// Returns whether a response may go on with the stream: it is one of the same type, and plain.
    pub(super) fn accepts(&self, head: &ResponseHead) -> bool {
        let is_plain = head.headers.text("content-encoding").is_none();
        self.begun.as_ref().is_none_or(|begun| is_plain && begun.media_type == media_type(head))
    }

    /// Returns what an event of a continuing response is to the caller.
    pub(super) fn continuation(&self, event: &Event) -> Continuation {
        let Some(id) = &event.id else { return Continuation::Unnumbered };
        let Some(last) = &self.last_event_id else { return Continuation::Next };
        let is_next = match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id > last,
            _ => id != last,
        };
        if is_next { Continuation::Next } else { Continuation::Repeated }
    }

    /// Records that an event of the response with this head is sent to the caller.
    pub(super) fn record_sent(
        &mut self,
        head: &ResponseHead,
        framing: Framing,
        keeps_alive: bool,
        event: Event,
    ) {
        let begun = || Begun { framing, media_type: media_type(head), keeps_alive };
        self.begun.get_or_insert_with(begun);
        if event.id.is_some() {
            self.last_event_id = event.id;
            self.has_unnumbered_data = false;
        } else if has_data(&event.bytes) {
            self.has_unnumbered_data = true;
        }
    }
}

/// Returns the media type of a body in lower case, without parameters.
fn media_type(head: &ResponseHead) -> Option<SmolStr> {
    let value = head.headers.text("content-type")?;
    let media_type = value.split(';').next().unwrap_or_default().trim();
    Some(media_type.to_ascii_lowercase().into())
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}
