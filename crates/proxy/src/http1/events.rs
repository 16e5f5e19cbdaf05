//! Incremental parser for server-sent events.

use super::Error;
use smol_str::SmolStr;

/// Maximum size of an event, in bytes. It bounds the memory taken by a body that is no event stream.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The raw bytes, including the terminating empty line.
    pub bytes: Vec<u8>,
    /// The event id, if present.
    pub id: Option<SmolStr>,
}

/// Splits the bytes of a body into events and buffers an incomplete last one.
///
/// # Examples
/// ```
/// use lycheehub_proxy::http1::EventParser;
///
/// let mut parser = EventParser::default();
/// parser.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(parser.next_event().unwrap().id.as_deref(), Some("1"));
/// assert!(parser.next_event().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Appends bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Checks that the buffered bytes can still become an event.
    ///
    /// # Errors
    /// Fails if they exceed the maximum size of an event.
    pub fn check_remainder(&self) -> Result<(), Error> {
        let is_within_limit = self.buffer.len() <= EVENT_MAX_BYTES;
        is_within_limit.then_some(()).ok_or(Error::Malformed("event too long"))
    }

    /// Returns whether there are bytes of an incomplete event.
    pub fn has_remainder(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the end of the first event, after its terminating empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line =
            bytes[line_start..position].strip_suffix(b"\r").unwrap_or(&bytes[line_start..position]);
        if line.is_empty() {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn id_of(bytes: &[u8]) -> Option<SmolStr> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    std::str::from_utf8(id).ok().map(|id| id.trim().into())
}
