//! Follows a request through log files by its id, and explains how it ended.
//!
//! * [`lines`] reads log files.
//! * [`cause`] explains why a request ended as it did.
//! * [`sizes`] tells which sizes of requests were served.
//! * [`summary`] summarizes the ends of all requests.

mod cause;
mod lines;
mod sizes;
pub mod summary;

use crate::arguments::Trace;
use crate::exit::{Code, Error};
use lines::Line;
use serde_json::json;
use std::collections::BTreeSet;

/// How long before a request's start other lines may be related to it, in seconds: a lease ends
/// 4.5 s after the last announcement of its endpoint.
const LOOKBACK_S: u64 = 5;

/// How the leader reports that it refuses requests with some prompt parts, or a single request.
const QUARANTINE_BEGAN: [&str; 2] = ["prompt parts quarantined", "request quarantined"];

/// Prints the log lines related to a request, and the cause of its end.
pub fn run(options: &Trace) -> Result<(), Error> {
    let lines = lines::read(&options.files)?;
    let trace = RequestTrace::of(&options.id, &lines).ok_or_else(|| {
        let message = format!("{}: no line of its end in {} lines", options.id, lines.len());
        Error::new(Code::Failed, message)
    })?;
    if options.json {
        trace.print_json();
    } else {
        trace.print();
    }
    Ok(())
}

/// A request's log lines, and the related lines of endpoints and instances.
struct RequestTrace<'a> {
    /// The line that the request logs at its end.
    end: &'a Line,
    started_ms: u64,
    lines: Vec<&'a Line>,
    cause: String,
}

impl<'a> RequestTrace<'a> {
    fn of(id: &str, lines: &'a [Line]) -> Option<Self> {
        let end = lines.iter().find(|line| line.is_end_of(id))?;
        let started_ms = end.time_ms.saturating_sub(end.number("total_ms"));
        let endpoints: BTreeSet<&str> = attempts(end).map(|(endpoint, _)| endpoint).collect();
        let span = started_ms.saturating_sub(LOOKBACK_S * 1_000)..=end.time_ms;
        let is_related = |line: &&Line| {
            line.text("id") == id
                || line.time_ms <= end.time_ms && is_quarantine_of(end, line)
                || span.contains(&line.time_ms)
                    && (endpoints.contains(line.text("endpoint")) || line.is_cluster_event())
        };
        let mut related: Vec<&Line> = lines.iter().filter(is_related).collect();
        related.sort_by_key(|line| line.time_ms);
        let concurrent = lines.iter().filter(|line| {
            line.message == "request" && span.contains(&line.time_ms) && line.text("id") != id
        });
        let cause = cause::explain(end, &related, &concurrent.collect::<Vec<_>>());
        Some(Self { end, started_ms, lines: related, cause })
    }

    fn print(&self) {
        for line in &self.lines {
            let offset_ms = line.time_ms as i64 - self.started_ms as i64;
            println!("{offset_ms:>+7} ms  {}  {}  {}", line.source, line.message, line.fields());
        }
        println!("\nend: {}\ncause: {}", self.end.text("end"), self.cause);
    }

    fn print_json(&self) {
        let lines = self.lines.iter().map(|line| {
            json!({
                "time_ms": line.time_ms, "source": line.source, "message": line.message,
                "fields": line.fields,
            })
        });
        let lines: Vec<_> = lines.collect();
        println!("{}", json!({ "end": self.end.text("end"), "cause": self.cause, "lines": lines }));
    }
}

/// Returns whether a line reports that a quarantine began.
fn is_quarantine(line: &Line) -> bool {
    QUARANTINE_BEGAN.iter().any(|began| line.message.starts_with(began))
}

/// Returns whether a line reports the quarantine for which a request was refused, which may have begun
/// long before.
fn is_quarantine_of(end: &Line, line: &Line) -> bool {
    if end.text("end") != "quarantined" || !is_quarantine(line) {
        return false;
    }
    let digest = line.text("digest");
    if !digest.is_empty() {
        return digest == end.text("digest");
    }
    let is_part = |part: &str| end.text("parts").split(',').any(|own| own == part);
    line.text("parts").split(',').any(is_part)
}

/// Returns the attempts of a request: the endpoint and the outcome of each.
fn attempts(end: &Line) -> impl Iterator<Item = (&str, &str)> {
    timed_attempts(end).map(|(endpoint, outcome, _)| (endpoint, outcome))
}

/// Returns the attempts of a request: the endpoint, the outcome and the duration in milliseconds of
/// each.
fn timed_attempts(end: &Line) -> impl Iterator<Item = (&str, &str, u64)> {
    let attempts = end.text("attempts").split(' ');
    attempts.filter_map(|attempt| {
        let (endpoint, outcome) = attempt.split_once('=')?;
        let (outcome, duration) = outcome.split_once('@')?;
        Some((endpoint, outcome, duration.strip_suffix("ms")?.parse().ok()?))
    })
}
