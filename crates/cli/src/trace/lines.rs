//! Reads the JSON log lines of instances.

use crate::exit::{Code, Error};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Messages about the start and stop of an instance, or about what it depends on: the leader, the
/// replicas, the replicated state and the log itself.
const CLUSTER_EVENTS: [&str; 12] = [
    "became the leader",
    "lost leadership",
    "leader lost: requests are placed here",
    "requests are placed by the leader",
    "replica not heard",
    "replica heard again",
    "state taken",
    "document acknowledged",
    "entry instance started",
    "stopping: not ready",
    "control replica halted: storage failed",
    "log lines dropped",
];

/// A log line as instances write it.
#[derive(Deserialize)]
struct RawLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// A log line and the file that it comes from.
#[derive(Debug)]
pub(super) struct Line {
    /// When it was written, by the clock of its machine, in milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    /// The name of its file, without folder and extension.
    pub(super) source: String,
    pub(super) message: String,
    pub(super) fields: Map<String, Value>,
}

impl Line {
    /// Returns a field as text; empty if it is missing or no text.
    pub(super) fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field as a number; 0 if it is missing or no number.
    pub(super) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }

    pub(super) fn is_end_of(&self, id: &str) -> bool {
        self.message == "request" && self.text("id") == id
    }

    pub(super) fn is_cluster_event(&self) -> bool {
        CLUSTER_EVENTS.contains(&self.message.as_str())
    }

    /// Returns all fields as `name=value`, separated by spaces.
    pub(super) fn fields(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        };
        self.fields.iter().map(field).collect::<Vec<_>>().join(" ")
    }
}

/// Reads log files; text that is no log line of an instance is skipped.
///
/// # Errors
/// Fails at the first file that cannot be read.
pub(super) fn read(paths: &[String]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for_each(paths, |line| lines.push(line))?;
    Ok(lines)
}

/// Calls `handle` for each line of log files; text that is no log line of an instance is skipped.
///
/// # Errors
/// Fails at the first file that cannot be read.
pub(super) fn for_each(paths: &[String], mut handle: impl FnMut(Line)) -> Result<(), Error> {
    for path in paths {
        let fail = |error| Error::new(Code::Invalid, format!("cannot read {path}: {error}"));
        let file = std::fs::File::open(path).map_err(fail)?;
        let stem = Path::new(path).file_stem().unwrap_or_default();
        let source = stem.to_string_lossy().into_owned();
        for text in BufReader::new(file).split(b'\n') {
            let text = text.map_err(fail)?;
            // Some log tools prefix each line with the time and the machine.
            let start = text.iter().position(|byte| *byte == b'{').unwrap_or(0);
            let Ok(line) = serde_json::from_slice::<RawLine>(&text[start..]) else { continue };
            handle(Line {
                time_ms: line.timestamp,
                source: source.clone(),
                message: line.payload,
                fields: line.kv,
            });
        }
    }
    Ok(())
}
