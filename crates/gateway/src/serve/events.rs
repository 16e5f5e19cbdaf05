//! Splits a stream of server-sent events into complete events.

/// The last event of a generation.
const DONE: &[u8] = b"data: [DONE]";

/// Buffers the bytes of an event until the event is complete.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: Vec<u8>,
    done: bool,
}

/// The events completed by one read.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) bytes: Vec<u8>,
    /// The number of events that carry a token.
    pub(super) tokens: u64,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Batch {
        self.partial.extend_from_slice(bytes);
        let mut batch = Batch::default();
        while let Some(end) = event_end(&self.partial) {
            let event: Vec<u8> = self.partial.drain(..end).collect();
            if event.starts_with(DONE) {
                self.done = true;
            } else if event.starts_with(b"data:") {
                batch.tokens += 1;
            }
            batch.bytes.extend(event);
        }
        batch
    }

    /// Returns whether the last event of the generation was received.
    pub(super) fn is_done(&self) -> bool {
        self.done
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    const SEPARATOR: &[u8] = b"\n\n";
    bytes.windows(SEPARATOR.len()).position(|pair| pair == SEPARATOR).map(|at| at + SEPARATOR.len())
}
