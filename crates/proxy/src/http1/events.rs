//! Events of a stream, cut out of the bytes of its body.

use super::Error;
use smol_str::SmolStr;

/// The longest event, in bytes: what is longer is none, or would fill the memory.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line at its end.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<SmolStr>,
}

/// Bytes of which the last event may not be whole yet.
///
/// # Examples
/// ```
/// use lycheehub_proxy::http1::Events;
///
/// let mut events = Events::default();
/// events.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(events.next_event().unwrap().id.as_deref(), Some("1"));
/// assert!(events.next_event().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Events {
    pending: Vec<u8>,
}

impl Events {
    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.pending)?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Tells whether what is left can still become an event.
    ///
    /// # Errors
    /// Fails where it is longer than any event.
    pub fn check_rest(&self) -> Result<(), Error> {
        let is_event = self.pending.len() <= EVENT_MAX_BYTES;
        is_event.then_some(()).ok_or(Error::Malformed("event too long"))
    }

    /// Takes what is left and is no whole event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }
}

/// Returns where the first event ends: after its empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line =
            bytes[line_start..place].strip_suffix(b"\r").unwrap_or(&bytes[line_start..place]);
        if line.is_empty() {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

fn id_of(bytes: &[u8]) -> Option<SmolStr> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    std::str::from_utf8(id).ok().map(|id| id.trim().into())
}
