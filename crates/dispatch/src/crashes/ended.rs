//! Keeps the answers that ended with their connection, as answers without a length do, until it is known
//! whether their endpoint ended them by a crash.

use super::crash::{CONTENTS_MAX, REPORT_SKEW_MS, UNDECIDED_MS};
use super::{Content, EndpointStart};
use std::collections::BTreeMap;

/// The maximum number of endpoints whose answers are kept.
const ENDPOINTS_MAX: usize = 1_024;

/// An answer that ended with its connection.
#[derive(Clone, Debug)]
pub(super) struct EndedAnswer {
    /// When it ended, in milliseconds.
    pub(super) at_ms: u64,
    pub(super) content: Content,
}

/// The answers that may have been cut by a crash, by start of the endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedAnswers {
    by_start: BTreeMap<EndpointStart, Vec<EndedAnswer>>,
}

impl EndedAnswers {
    /// Keeps an answer. Beyond the bounds it is dropped, and tells nothing.
    pub(super) fn record(&mut self, at_ms: u64, start: &EndpointStart, content: &Content) {
        let content = content.after_begun_answer();
        let is_full = self.by_start.len() >= ENDPOINTS_MAX && !self.by_start.contains_key(start);
        if content.is_empty() || is_full {
            return;
        }
        let answers = self.by_start.entry(start.clone()).or_default();
        if answers.len() < CONTENTS_MAX {
            answers.push(EndedAnswer { at_ms, content });
        }
    }

    /// Returns when the last answer that is kept of an endpoint ended, in milliseconds.
    pub(super) fn last_ms(&self, start: &EndpointStart) -> Option<u64> {
        self.by_start.get(start)?.iter().map(|answer| answer.at_ms).max()
    }

    /// Removes the answers of an endpoint that gave a sign of life at `alive_ms`, and had ended before it.
    pub(super) fn take_whole(&mut self, alive_ms: u64, start: &EndpointStart) -> Vec<EndedAnswer> {
        let Some(answers) = self.by_start.get_mut(start) else { return Vec::new() };
        let is_whole = |answer: &mut EndedAnswer| alive_ms > answer.at_ms + REPORT_SKEW_MS;
        let whole = answers.extract_if(.., is_whole).collect();
        if answers.is_empty() {
            self.by_start.remove(start);
        }
        whole
    }

    /// Removes the answers after which no end of their endpoint became known in time.
    pub(super) fn take_old(&mut self, now_ms: u64) -> Vec<EndedAnswer> {
        let is_old = |answer: &mut EndedAnswer| now_ms >= answer.at_ms + UNDECIDED_MS;
        let old = self.by_start.values_mut().flat_map(|answers| answers.extract_if(.., is_old));
        let old = old.collect();
        self.by_start.retain(|_, answers| !answers.is_empty());
        old
    }

    /// Removes the answers of an endpoint that has crashed.
    pub(super) fn take_cut(&mut self, start: &EndpointStart) -> Vec<EndedAnswer> {
        self.by_start.remove(start).unwrap_or_default()
    }
}
