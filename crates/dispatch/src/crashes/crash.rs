//! Tells crashes of endpoints from single lost connections.
//!
//! An endpoint that crashes loses the connections of all its requests at once and answers nothing
//! afterwards: connections to it are refused, and it is gone or started anew. One that resets a
//! connection, or an instance that lost its path, leaves other requests of the endpoint that are
//! answered.

use super::Content;
use lycheehub_types::{EndpointName, ServiceName};
use std::collections::BTreeSet;

/// How long after a first lost connection the endpoint may prove that it runs, in milliseconds:
/// instances report begun answers in the meantime.
pub(super) const SETTLE_MS: u64 = 800;
/// How long after a lost connection the end of the endpoint is attributed to it, in milliseconds; the
/// lease of an endpoint ends sooner.
pub(super) const UNDECIDED_MS: u64 = 8_000;
/// The difference between the times at which instances report events of the same moment, in
/// milliseconds.
pub(super) const REPORT_SKEW_MS: u64 = 50;
/// The number of failures, and of instances that see them, with an endpoint's end: one instance alone may
/// have lost its path.
const SEVERAL: usize = 2;
/// The maximum number of requests that are suspect after a crash.
pub(super) const CONTENTS_MAX: usize = 256;
/// The maximum number of parts of their prompts that are, too.
const PARTS_MAX: usize = 4_096;

/// A start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointStart {
    /// The name of the endpoint.
    pub endpoint: EndpointName,
    /// The incarnation.
    pub incarnation: u64,
}

/// A crash of an endpoint, as instances report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The start of the endpoint that ended.
    pub start: EndpointStart,
    /// How long ago it crashed, in milliseconds.
    pub ago_ms: u64,
    /// What it may have crashed on: the requests at work, and the prompts on which it had begun no answer.
    pub contents: Vec<Content>,
}

/// An instance that sees a failure of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Observer {
    /// The number of the instance.
    pub instance: u32,
    /// No other instance sends requests.
    pub is_sole: bool,
}

/// Lost connections of an endpoint that may have crashed.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    /// When the first connection was lost, in milliseconds.
    pub(super) at_ms: u64,
    /// The requests that were lost, with the prompts on which no answer had begun.
    pub(super) contents: Vec<Content>,
    /// The number of parts of these prompts.
    parts: usize,
    count: usize,
    /// The instances that lost a connection, or did not reach the endpoint afterwards.
    observers: BTreeSet<u32>,
    /// No other instance sends requests.
    has_sole_observer: bool,
    /// No request ran on the endpoint after the last lost connection.
    was_idle: bool,
    /// No answer had begun on some request.
    has_unanswered: bool,
    /// The endpoint is gone, or several instances did not reach it.
    is_certain: bool,
}

impl Loss {
    pub(super) fn new(at_ms: u64) -> Self {
        Self {
            at_ms,
            contents: Vec::new(),
            parts: 0,
            count: 0,
            observers: BTreeSet::new(),
            has_sole_observer: false,
            was_idle: false,
            has_unanswered: false,
            is_certain: false,
        }
    }

    /// Records the lost connection of a request; the flags tell that its answer had begun, and that no
    /// other request runs on the endpoint.
    pub(super) fn record(
        &mut self,
        (content, has_begun): (&Content, bool),
        (observer, is_idle): (Observer, bool),
    ) {
        self.count += 1;
        self.was_idle = is_idle;
        self.record_observer(observer);
        self.has_unanswered |= !has_begun;
        let parts = content.prompt().shared().len();
        let content = match !has_begun && self.parts + parts <= PARTS_MAX {
            true => content.clone(),
            false => content.after_begun_answer(),
        };
        self.keep(content);
    }

    /// Keeps what the endpoint may have crashed on, within the bound.
    pub(super) fn keep(&mut self, content: Content) {
        let has_room = self.contents.len() < CONTENTS_MAX;
        if has_room && !content.is_empty() && !self.contents.contains(&content) {
            self.parts += content.prompt().shared().len();
            self.contents.push(content);
        }
    }

    /// Records that an instance did not reach the endpoint.
    pub(super) fn record_unreached(&mut self, observer: Observer) {
        self.count += 1;
        self.record_observer(observer);
    }

    fn record_observer(&mut self, observer: Observer) {
        self.observers.insert(observer.instance);
        self.has_sole_observer = observer.is_sole;
    }

    /// Records that the endpoint is gone, or that several instances did not reach it.
    pub(super) fn record_gone(&mut self) {
        self.is_certain = true;
    }

    /// Returns whether a sign of life at `at_ms` is later than the loss.
    pub(super) fn is_disproved(&self, at_ms: u64) -> bool {
        at_ms > self.at_ms + REPORT_SKEW_MS
    }

    /// Returns whether the endpoint has probably crashed.
    pub(super) fn is_probable(&self) -> bool {
        self.is_confirmed() || self.was_idle
    }

    /// Returns whether a single request need not be sent on: an endpoint that breaks off an answer and is
    /// not known to have crashed may have reset one connection, and the rest of the answer is owed.
    pub(super) fn is_reason_to_wait(&self) -> bool {
        self.is_confirmed() || self.has_unanswered
    }

    /// Returns whether the endpoint has crashed unless it gives a sign of life.
    pub(super) fn is_confirmed(&self) -> bool {
        let observers_min = if self.has_sole_observer { 1 } else { SEVERAL };
        self.is_certain || self.count >= SEVERAL && self.observers.len() >= observers_min
    }

    pub(super) fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + SETTLE_MS
    }

    pub(super) fn is_undecided(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + UNDECIDED_MS
    }
}
