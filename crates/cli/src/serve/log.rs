//! Sets up the log, which has one line for each decision.

use super::bounded::BoundedSink;
use crate::exit::{Code, Error};
use crate::settings::LogFormat;
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, SinkProp, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// The exit code after a panic, the same as that of the default panic handler.
const PANIC_EXIT_CODE: i32 = 101;

fn fail(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Failed, format!("cannot start the log: {error}"))
}

/// Starts the log on standard output, through a bounded buffer, so that logging never blocks on
/// output.
pub(crate) fn start_bounded(format: LogFormat, debug: bool) -> Result<(), Error> {
    let prop = SinkProp::default();
    match format {
        LogFormat::Text => prop.set_formatter(FullFormatter::new()),
        LogFormat::Json => prop.set_formatter(JsonFormatter::new()),
    }
    set_logger(BoundedSink::start(prop).map_err(fail)?, debug)
}

/// Installs a panic hook that logs the panic and ends the process. An instance that has lost a
/// thread would otherwise continue to accept requests that never get a response.
pub(crate) fn exit_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let message = panic.payload_as_str().unwrap_or("no message");
        let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
        spdlog::critical!("panic: the process ends", kv: { message, place: = location, thread: = thread });
        flush();
        eprintln!("lycheehub: panic in thread {thread} at {location}: {message}");
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

/// Writes buffered lines.
pub(crate) fn flush() {
    spdlog::default_logger().flush();
}

/// Starts the log on standard error.
pub(super) fn start(format: LogFormat, debug: bool) -> Result<(), Error> {
    let stream = StdStreamSink::builder().stderr();
    let sink: Result<Arc<StdStreamSink>, _> = match format {
        LogFormat::Text => stream.formatter(FullFormatter::new()).build_arc(),
        LogFormat::Json => stream.formatter(JsonFormatter::new()).build_arc(),
    };
    set_logger(sink.map_err(fail)?, debug)
}

fn set_logger(sink: Arc<dyn Sink>, debug: bool) -> Result<(), Error> {
    let level = if debug { Level::Debug } else { Level::Info };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .map_err(fail)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
