//! The log: one line for each decision, on standard error.

use crate::exit::{Code, Error};
use crate::settings::LogFormat;
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// Starts the log.
pub(super) fn start(format: LogFormat, debug: bool) -> Result<(), Error> {
    let level = if debug { Level::Debug } else { Level::Info };
    let fail =
        |error: spdlog::Error| Error::new(Code::Failed, format!("cannot start the log: {error}"));
    let stream = StdStreamSink::builder().stderr();
    let sink = match format {
        LogFormat::Text => stream.formatter(FullFormatter::new()).build_arc(),
        LogFormat::Json => stream.formatter(JsonFormatter::new()).build_arc(),
    };
    let logger = Logger::builder()
        .sink(sink.map_err(fail)?)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .map_err(fail)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
