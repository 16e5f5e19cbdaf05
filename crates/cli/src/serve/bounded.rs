//! A log sink that never blocks its callers on output: lines go to a bounded buffer, and a
//! background thread writes them to standard output.
//!
//! Load pattern: thousands of requests or refused connections a second, each with a line, or an output that is
//! not read for a while. The lines that callers cause leave a part of the buffer to all others, which tell what
//! the instance itself does.

use super::line_limit;
use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, StringBuf};
use std::borrow::Cow;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The capacity of the buffer, in bytes; lines that do not fit are dropped and counted.
const BUFFER_MAX_BYTES: usize = 256 * 1024;
/// How much of the buffer lines that callers cause may fill, in bytes.
const CALLERS_MAX_BYTES: usize = BUFFER_MAX_BYTES / 4 * 3;
/// The length of the buffer from which on the writer does not wait for more lines, in bytes.
const BATCH_BYTES: usize = BUFFER_MAX_BYTES / 4;
/// The key of the caller's address in a line that a caller causes.
const CALLER_KEY: &str = "caller";
/// How long the writer waits after a first line to write lines in batches, in milliseconds.
const BATCH_DELAY_MS: u64 = 100;
/// Maximum number of bytes per write, and so of a line: a pipe takes that many at once (`PIPE_BUF`), and a
/// reader that drops the rest of a long write drops no line.
const WRITE_MAX_BYTES: usize = 4_096;

#[derive(Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// A sink that buffers lines for its writer thread.
pub(super) struct BoundedSink {
    prop: SinkProp,
    buffer: Mutex<Buffer>,
    /// Notified of the first line of a batch, and once the batch is large.
    grown: Condvar,
}

impl BoundedSink {
    /// Creates a sink and starts its writer thread.
    pub(super) fn start(prop: SinkProp) -> std::io::Result<Arc<Self>> {
        let sink = Arc::new(Self { prop, buffer: Mutex::default(), grown: Condvar::new() });
        let writer = sink.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || writer.write_loop())?;
        Ok(sink)
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_loop(&self) {
        loop {
            self.await_batch();
            self.write_buffered();
        }
    }

    /// Waits for a first line, and then for more lines: for a limited time, or until there are many.
    fn await_batch(&self) {
        let buffer = self.grown.wait_while(self.lock(), |buffer| buffer.lines.is_empty());
        let buffer = buffer.unwrap_or_else(PoisonError::into_inner);
        let delay = Duration::from_millis(BATCH_DELAY_MS);
        let is_small = |buffer: &mut Buffer| buffer.lines.len() < BATCH_BYTES;
        // The writer needs no lock here; a poisoned one is handled by the next user.
        let _ = self.grown.wait_timeout_while(buffer, delay, is_small);
    }

    fn write_buffered(&self) {
        let Buffer { mut lines, dropped } = std::mem::take(&mut *self.lock());
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"payload\":\"log lines dropped\",\"kv\":{{\"count\":{dropped}}}}}\n"
            );
            lines.extend_from_slice(line.as_bytes());
        }
        let mut output = std::io::stdout().lock();
        let mut rest = lines.as_slice();
        while !rest.is_empty() {
            let (lines, later) = rest.split_at(write_length(rest));
            // A write fails when standard output is closed; there is nowhere else to report it.
            let _ = output.write_all(lines);
            rest = later;
        }
    }
}

/// Returns how many bytes the next write takes: as many whole lines as fit, at least one.
fn write_length(lines: &[u8]) -> usize {
    let is_end = |byte: &u8| *byte == b'\n';
    let fitting = &lines[..lines.len().min(WRITE_MAX_BYTES)];
    let last_end = fitting.iter().rposition(is_end);
    let end = last_end.or_else(|| lines.iter().position(is_end));
    end.map_or(lines.len(), |end| end + 1)
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop.formatter().format(record, &mut line, &mut context)?;
        let line = match line.len() > WRITE_MAX_BYTES {
            true => Cow::from(line_limit::shorten(&line, WRITE_MAX_BYTES)),
            false => Cow::from(&*line),
        };
        let is_by_caller = record.key_values().iter().any(|(key, _)| key.as_str() == CALLER_KEY);
        let max_bytes = if is_by_caller { CALLERS_MAX_BYTES } else { BUFFER_MAX_BYTES };
        let mut buffer = self.lock();
        let length_before = buffer.lines.len();
        if length_before + line.len() > max_bytes {
            buffer.dropped += 1;
            return Ok(());
        }
        buffer.lines.extend_from_slice(line.as_bytes());
        let becomes_large = length_before < BATCH_BYTES && buffer.lines.len() >= BATCH_BYTES;
        drop(buffer);
        if length_before == 0 || becomes_large {
            self.grown.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.write_buffered();
        Ok(())
    }
}
