//! Log lines of any process.

use crate::exit::{Code, Error};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Lines about what an instance depends on, or about its own life.
const ABOUT_DEPENDENCIES: [&str; 12] = [
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

/// A line as processes write it.
#[derive(Deserialize)]
struct WireLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// A line of a log file.
#[derive(Debug)]
pub(super) struct Line {
    /// When it was written, in milliseconds since the Unix epoch, by its machine's clock.
    pub(super) time_ms: u64,
    /// The name of its file, without folders and ending.
    pub(super) source: String,
    pub(super) message: String,
    pub(super) fields: Map<String, Value>,
}

impl Line {
    /// Returns a field's text, empty where there is none.
    pub(super) fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field's number, 0 where there is none.
    pub(super) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }

    pub(super) fn is_end_of(&self, id: &str) -> bool {
        self.message == "request" && self.text("id") == id
    }

    pub(super) fn is_about_dependencies(&self) -> bool {
        ABOUT_DEPENDENCIES.contains(&self.message.as_str())
    }

    /// Returns all fields in one text.
    pub(super) fn fields(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        };
        self.fields.iter().map(field).collect::<Vec<_>>().join(" ")
    }
}

/// Reads log files; what is no line of ours is passed over.
///
/// # Errors
/// Names the first file that cannot be read.
pub(super) fn read(paths: &[String]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for_each(paths, |line| lines.push(line))?;
    Ok(lines)
}

/// Reads log files line by line; what is no line of ours is passed over.
///
/// # Errors
/// Names the first file that cannot be read.
pub(super) fn for_each(paths: &[String], mut take: impl FnMut(Line)) -> Result<(), Error> {
    for path in paths {
        let fail = |error| Error::new(Code::Invalid, format!("cannot read {path}: {error}"));
        let file = std::fs::File::open(path).map_err(fail)?;
        let stem = Path::new(path).file_stem().unwrap_or_default();
        let source = stem.to_string_lossy().into_owned();
        for text in BufReader::new(file).split(b'\n') {
            let text = text.map_err(fail)?;
            // Some tools write the time and the machine before what a process wrote.
            let begin = text.iter().position(|byte| *byte == b'{').unwrap_or(0);
            let Ok(line) = serde_json::from_slice::<WireLine>(&text[begin..]) else { continue };
            take(Line {
                time_ms: line.timestamp,
                source: source.clone(),
                message: line.payload,
                fields: line.kv,
            });
        }
    }
    Ok(())
}
