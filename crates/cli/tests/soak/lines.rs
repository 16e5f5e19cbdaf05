//! The lines that entry instances log for requests, and the check that they agree with the tries of callers.

use crate::history::{End, Inner};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Instant;

/// The messages that name a request which an entry instance has read, or could not read to its end.
const MESSAGES: [&str; 3] = ["request", "failed to read a request", "refused on a new connection"];
/// The status of a last response on an idle connection.
const REQUEST_TIMEOUT: u16 = 408;
/// The message of an instance that could not write all its lines.
const DROPPED: &str = "log lines dropped";

/// The lines of an entry instance that name requests, by their ids.
#[derive(Default)]
pub struct Lines {
    by_id: BTreeMap<String, usize>,
    are_complete: bool,
}

impl Lines {
    /// Reads the log of an instance.
    pub fn read(log: &Path) -> Self {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let mut lines = Self { are_complete: true, ..Self::default() };
        for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
            let message = line["payload"].as_str().unwrap_or_default();
            lines.are_complete &= message != DROPPED;
            if MESSAGES.contains(&message) {
                let id = line["kv"]["id"].as_str().unwrap_or_default();
                *lines.by_id.entry(id.to_owned()).or_default() += 1;
            }
        }
        lines
    }

    fn count(&self, id: &str) -> usize {
        self.by_id.get(id).copied().unwrap_or(0)
    }
}

/// The tries whose connections closed without a byte of a reply.
#[derive(Debug, Default)]
pub struct Unanswered {
    /// The instance has no line of them: they crossed its close and were not read.
    pub crossed: BTreeSet<String>,
    /// The same, but the instance has told so in a last response.
    pub told: BTreeSet<String>,
    /// The instance has read them.
    pub lost: BTreeSet<String>,
}

/// Compares the tries of callers at an entry instance, which was never killed, with its lines; returns the
/// violations, and adds the tries without a byte to `unanswered`.
pub fn check(
    inner: &Inner,
    entry: usize,
    lines: &Lines,
    unanswered: &mut Unanswered,
) -> Vec<String> {
    if !lines.are_complete {
        return vec![format!("entry instance {entry} dropped log lines")];
    }
    let mut violations = Vec::new();
    let tries = inner.sent.iter().filter(|(_, sent)| sent.entry == entry);
    for (id, sent) in tries {
        let count = lines.count(id);
        let is_wrong = match inner.ends.get(id) {
            Some((End::Unanswered, at)) => {
                let tries = if count == 0 { &mut unanswered.crossed } else { &mut unanswered.lost };
                tries.insert(id.clone());
                // Outside of a planned stop the instance closes no connection that it has not stated to close.
                count > 0 || !is_stopping(inner, entry, sent.at, *at)
            }
            // A last response on an idle connection: the request crossed it and was not read.
            Some((End::Refused(REQUEST_TIMEOUT), at)) if count == 0 => {
                unanswered.told.insert(id.clone());
                inner.runs.contains_key(id) || !is_stopping(inner, entry, sent.at, *at)
            }
            Some(_) => count != 1,
            // The caller disconnected, perhaps before the instance had read the request.
            None => count > 1,
        };
        if is_wrong {
            let end = inner.ends.get(id).map(|(end, _)| *end);
            violations.push(format!("LOST: {id}, which ended as {end:?}, has {count} lines"));
        }
    }
    let is_asked = |id: &&String| inner.sent.get(*id).is_some_and(|sent| sent.entry == entry);
    let unasked: Vec<_> = lines.by_id.keys().filter(|id| !id.is_empty() && !is_asked(id)).collect();
    if !unasked.is_empty() {
        violations.push(format!("UNASKED: entry instance {entry} has lines of {unasked:?}"));
    }
    violations
}

/// Tells whether an entry instance was being stopped, or down after that, at any time from `from` to `to`.
fn is_stopping(inner: &Inner, entry: usize, from: Instant, to: Instant) -> bool {
    inner
        .stops
        .iter()
        .any(|(stopped, begin, end)| *stopped == entry && *begin <= to && *end >= from)
}
