//! A sink of the log that never waits: lines go to a bounded buffer, and a thread writes them to
//! standard output.

use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, StringBuf};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The most bytes that wait to be written.
const WAITING_MAX_BYTES: usize = 256 * 1024;
/// How long lines are gathered before they are written together, in milliseconds.
const GATHER_MS: u64 = 100;

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
}

/// The sink.
pub(super) struct BoundedSink {
    prop: SinkProp,
    waiting: Mutex<Waiting>,
    arrived: Condvar,
}

impl BoundedSink {
    /// Makes a sink and starts the thread that writes.
    pub(super) fn start(prop: SinkProp) -> std::io::Result<Arc<Self>> {
        let sink = Arc::new(Self { prop, waiting: Mutex::default(), arrived: Condvar::new() });
        let writer = sink.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || writer.write_for_ever())?;
        Ok(sink)
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_for_ever(&self) {
        loop {
            let mut waiting = self.lock();
            while waiting.lines.is_empty() {
                waiting = self.arrived.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            drop(waiting);
            std::thread::sleep(Duration::from_millis(GATHER_MS));
            self.write_waiting();
        }
    }

    fn write_waiting(&self) {
        let Waiting { mut lines, dropped } = std::mem::take(&mut *self.lock());
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"payload\":\"log lines dropped\",\"kv\":{{\"count\":{dropped}}}}}\n"
            );
            lines.extend_from_slice(line.as_bytes());
        }
        // Nobody reads a closed output, and there is nowhere else to say so.
        let _ = std::io::stdout().write_all(&lines);
    }
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
        let mut waiting = self.lock();
        if waiting.lines.len() + line.len() > WAITING_MAX_BYTES {
            waiting.dropped += 1;
            return Ok(());
        }
        let was_empty = waiting.lines.is_empty();
        waiting.lines.extend_from_slice(line.as_bytes());
        drop(waiting);
        if was_empty {
            self.arrived.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.write_waiting();
        Ok(())
    }
}
