//! Follows a request's id through log files, from its end to its cause.
//!
//! * [`lines`] reads log files.
//! * [`cause`] says what the end of a request means.
//! * [`summary`] adds up what became of all of them.

mod cause;
mod lines;
pub mod summary;

use crate::arguments::Trace;
use crate::exit::{Code, Error};
use lines::Line;
use serde_json::json;
use std::collections::BTreeSet;

/// How long before the request's begin other lines may bear on it, in seconds: a lease ends 4.5 s
/// after an endpoint was last heard.
const BEFORE_S: u64 = 5;

/// Prints what the files say of a request, and the cause of its end.
pub fn run(options: &Trace) -> Result<(), Error> {
    let lines = lines::read(&options.files)?;
    let trace = Trail::of(&options.id, &lines).ok_or_else(|| {
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

/// A request's lines, with those of others that bear on it.
struct Trail<'a> {
    /// The line of its end.
    end: &'a Line,
    started_ms: u64,
    lines: Vec<&'a Line>,
    cause: String,
}

impl<'a> Trail<'a> {
    fn of(id: &str, lines: &'a [Line]) -> Option<Self> {
        let end = lines.iter().find(|line| line.is_end_of(id))?;
        let started_ms = end.time_ms.saturating_sub(end.number("total_ms"));
        let endpoints: BTreeSet<&str> = attempts(end).map(|(endpoint, _)| endpoint).collect();
        let span = started_ms.saturating_sub(BEFORE_S * 1_000)..=end.time_ms;
        let bears = |line: &&Line| {
            line.text("id") == id
                || span.contains(&line.time_ms)
                    && (endpoints.contains(line.text("endpoint")) || line.is_about_dependencies())
        };
        let mut chosen: Vec<&Line> = lines.iter().filter(bears).collect();
        chosen.sort_by_key(|line| line.time_ms);
        let beside = lines.iter().filter(|line| {
            line.message == "request" && span.contains(&line.time_ms) && line.text("id") != id
        });
        let cause = cause::of(end, &chosen, &beside.collect::<Vec<_>>());
        Some(Self { end, started_ms, lines: chosen, cause })
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

/// Returns the endpoints that a request was sent to, each with the outcome.
fn attempts(end: &Line) -> impl Iterator<Item = (&str, &str)> {
    attempts_timed(end).map(|(endpoint, outcome, _)| (endpoint, outcome))
}

/// Returns the same with how long each took, in milliseconds.
fn attempts_timed(end: &Line) -> impl Iterator<Item = (&str, &str, u64)> {
    let attempts = end.text("attempts").split(' ');
    attempts.filter_map(|attempt| {
        let (endpoint, outcome) = attempt.split_once('=')?;
        let (outcome, took) = outcome.split_once('@')?;
        Some((endpoint, outcome, took.strip_suffix("ms")?.parse().ok()?))
    })
}
