//! Remembers when endpoints last answered on each part of prompts, and each request.

use super::{RequestDigest, Suspect};
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of parts remembered, and of requests; the one that was answered longest ago is
/// forgotten first.
const REMEMBERED_MAX: usize = 4_096;
/// The number of parts that are reported to a new dispatcher, those answered last.
const REPORTED_PARTS_MAX: usize = 512;
/// The number of requests that are reported to it; few are asked so often that they are among them.
const REPORTED_REQUESTS_MAX: usize = 128;
/// The number of answers whose times are remembered.
const LAST_ANSWERS: usize = 3;

/// A part on which an answer was begun, or a request that was answered whole, as instances report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The service.
    pub service: ServiceName,
    /// What proved sound.
    pub suspect: Suspect,
    /// How long ago it was last answered, in milliseconds.
    pub ago_ms: u64,
}

/// When each of a bounded number of keys was last answered.
#[derive(Clone, Debug)]
struct Recent<K> {
    by_key: BTreeMap<K, u64>,
    by_time: BTreeSet<(u64, K)>,
}

impl<K> Default for Recent<K> {
    fn default() -> Self {
        Self { by_key: BTreeMap::new(), by_time: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> Recent<K> {
    fn record(&mut self, at_ms: u64, key: K) {
        let known = self.by_key.get(&key).copied();
        if known.is_some_and(|known_ms| known_ms >= at_ms) {
            return;
        }
        if let Some(known_ms) = known {
            self.by_time.remove(&(known_ms, key));
        }
        self.by_key.insert(key, at_ms);
        self.by_time.insert((at_ms, key));
        if self.by_key.len() > REMEMBERED_MAX
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_key.remove(&oldest);
        }
    }

    fn newest(&self, count: usize) -> impl Iterator<Item = (u64, K)> {
        self.by_time.iter().rev().take(count).copied()
    }
}

/// When answers were given.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    parts: Recent<u64>,
    requests: Recent<RequestDigest>,
    last_ms: VecDeque<u64>,
}

impl Answers {
    /// Records that an answer was begun on a prompt with these parts at `at_ms`.
    pub(super) fn record_begun(&mut self, at_ms: u64, parts: &[u64]) {
        self.last_ms.push_back(at_ms);
        if self.last_ms.len() > LAST_ANSWERS {
            self.last_ms.pop_front();
        }
        for part in parts {
            self.parts.record(at_ms, *part);
        }
    }

    /// Records that `suspect` proved sound at `at_ms`.
    pub(super) fn record(&mut self, at_ms: u64, suspect: Suspect) {
        match suspect {
            Suspect::Part(part) => self.parts.record(at_ms, part),
            Suspect::Request(digest) => self.requests.record(at_ms, digest),
        }
    }

    /// Returns when `suspect` last proved sound, in milliseconds.
    pub(super) fn last_ms(&self, suspect: Suspect) -> Option<u64> {
        match suspect {
            Suspect::Part(part) => self.parts.by_key.get(&part).copied(),
            Suspect::Request(digest) => self.requests.by_key.get(&digest).copied(),
        }
    }

    /// Returns whether `suspect` proved sound after `after_ms`.
    pub(super) fn is_sound_since(&self, after_ms: u64, suspect: Suspect) -> bool {
        self.last_ms(suspect).is_some_and(|at_ms| at_ms > after_ms)
    }

    /// Returns whether several answers of the service were begun after `after_ms`.
    pub(super) fn has_several_since(&self, after_ms: u64) -> bool {
        self.last_ms.len() == LAST_ANSWERS && self.last_ms.iter().all(|at_ms| *at_ms > after_ms)
    }

    /// Returns what was answered last.
    pub(super) fn newest(&self) -> impl Iterator<Item = (u64, Suspect)> {
        let parts = self.parts.newest(REPORTED_PARTS_MAX);
        let parts = parts.map(|(at_ms, part)| (at_ms, Suspect::Part(part)));
        let requests = self.requests.newest(REPORTED_REQUESTS_MAX);
        parts.chain(requests.map(|(at_ms, digest)| (at_ms, Suspect::Request(digest))))
    }
}
