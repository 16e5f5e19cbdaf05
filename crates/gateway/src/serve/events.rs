//! Splits a stream of server-sent events into whole events.

/// The event that ends a generation.
const DONE: &[u8] = b"data: [DONE]";

/// A splitter that holds back an event until all of it has come.
#[derive(Debug, Default)]
pub(super) struct Events {
    rest: Vec<u8>,
    done: bool,
}

/// Whole events that came together.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) bytes: Vec<u8>,
    /// How many of them carry a token.
    pub(super) tokens: u64,
}

impl Events {
    /// Takes bytes and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Batch {
        self.rest.extend_from_slice(bytes);
        let mut batch = Batch::default();
        while let Some(end) = find_end(&self.rest) {
            let event: Vec<u8> = self.rest.drain(..end).collect();
            if event.starts_with(DONE) {
                self.done = true;
            } else if event.starts_with(b"data:") {
                batch.tokens += 1;
            }
            batch.bytes.extend(event);
        }
        batch
    }

    /// Tells whether the generation's last event has come.
    pub(super) fn is_done(&self) -> bool {
        self.done
    }
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    const SEPARATOR: &[u8] = b"\n\n";
    bytes.windows(SEPARATOR.len()).position(|pair| pair == SEPARATOR).map(|at| at + SEPARATOR.len())
}
