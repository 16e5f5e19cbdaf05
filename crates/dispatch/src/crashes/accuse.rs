//! Finds the parts of prompts, and the requests, that endpoints crashed on.

use super::quarantine::{InForce, QuarantineEvent};
use super::service::{KnownCrash, ServiceCrashes};
use super::{Content, Suspect};
use lycheehub_types::EndpointName;
use std::collections::BTreeSet;

/// The number of crashes from which on a suspect is quarantined while other requests are answered.
const CRASHES_MIN: usize = 3;
/// The same number while nothing is answered: the crashes may have another cause.
const CRASHES_MIN_UNANSWERED: usize = 5;
/// Crashes within this time count as one, in milliseconds: they may have one cause.
const SIMULTANEOUS_MS: u64 = 200;

/// A suspect that was at several crashes.
pub(super) struct Candidate {
    /// The number of crashes, those at about the same time counted once.
    count: usize,
    /// It has never proved sound, as far as it is known.
    is_unproved: bool,
    suspect: Suspect,
    /// The indices of the crashes.
    crashes: Vec<usize>,
    first_crash_ms: u64,
}

impl ServiceCrashes {
    /// Returns the suspect that was at most crashes, if these are enough to quarantine it.
    pub(super) fn best_candidate(&self, now_ms: u64) -> Option<Candidate> {
        let found = self.suspects_at_crashes(now_ms);
        let by_suspect = found.chunk_by(|(suspect, _), (other, _)| suspect == other);
        let several = by_suspect.filter(|found| found.len() >= CRASHES_MIN);
        let several = several.filter_map(|found| self.uncontradicted(found));
        let several = several.filter(|(suspect, crashes)| {
            crashes.len() >= CRASHES_MIN && !self.is_one_request(*suspect, crashes)
        });
        let candidates = several.filter_map(|(suspect, crashes)| self.candidate(suspect, crashes));
        // Of a part and a request with equal claims, the request comes last and is chosen: fewer others
        // are refused.
        candidates.max_by_key(|candidate| (candidate.count, candidate.is_unproved))
    }

    /// Returns the suspects at the crashes that count, in order, each with the indices of its crashes.
    fn suspects_at_crashes(&self, now_ms: u64) -> Vec<(Suspect, usize)> {
        let counted =
            self.crashes.iter().enumerate().filter(|(_, crash)| now_ms >= crash.counts_from_ms);
        let mut found: Vec<(Suspect, usize)> = counted
            .flat_map(|(index, crash)| {
                self.open_suspects(crash).into_iter().map(move |suspect| (suspect, index))
            })
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns a suspect with the indices of its crashes after which it has not proved sound.
    fn uncontradicted(&self, found: &[(Suspect, usize)]) -> Option<(Suspect, Vec<usize>)> {
        let (suspect, _) = *found.first()?;
        let crashes = found.iter().map(|(_, index)| *index);
        let is_open =
            |index: &usize| !self.answers.is_sound_since(self.crashes[*index].at_ms, suspect);
        Some((suspect, crashes.filter(is_open).collect()))
    }

    /// Returns what a crash may still be explained by. Where a request explains it, the parts of that
    /// request may: other requests with such a part may crash endpoints too.
    fn open_suspects(&self, crash: &KnownCrash) -> Vec<Suspect> {
        let Some(id) = crash.explained_by else { return crash.suspects().collect() };
        let Some(known) = self.quarantines.iter().find(|known| known.id == id) else {
            return Vec::new();
        };
        if !known.is_of_request() {
            return Vec::new();
        }
        let contents = crash.contents.iter().filter(|content| known.is_met_by(content));
        let parts = contents.flat_map(Content::suspects);
        parts.filter(|suspect| matches!(suspect, Suspect::Part(_))).collect()
    }

    /// Returns whether a request that is quarantined explains all these crashes.
    fn is_one_request(&self, suspect: Suspect, crashes: &[usize]) -> bool {
        let crashes = crashes.iter().map(|index| &self.crashes[*index]);
        if crashes.clone().all(|crash| crash.explained_by.is_none()) {
            return false;
        }
        let contents = crashes.flat_map(|crash| &crash.contents);
        let with_it = contents.filter(|content| content.has(suspect));
        let requests: BTreeSet<_> = with_it.map(Content::digest).collect();
        requests.len() < 2
    }

    fn candidate(&self, suspect: Suspect, crashes: Vec<usize>) -> Option<Candidate> {
        let mut at_ms: Vec<u64> = crashes.iter().map(|index| self.crashes[*index].at_ms).collect();
        at_ms.sort_unstable();
        let first_crash_ms = *at_ms.first()?;
        let is_unproved = self.answers.last_ms(suspect).is_none();
        let is_new_request = is_unproved && suspect.is_request();
        // A new request at work on several endpoints at a time has no other cause in common with them
        // than itself, unless all of them crashed; its first trial tells.
        let count = if is_new_request { at_ms.len() } else { count_apart(&at_ms) };
        let count_min = match is_new_request || self.answers.has_several_since(first_crash_ms) {
            true => CRASHES_MIN,
            false => CRASHES_MIN_UNANSWERED,
        };
        let candidate = Candidate { count, is_unproved, suspect, crashes, first_crash_ms };
        (count >= count_min).then_some(candidate)
    }

    /// Quarantines a suspect together with those that were in all its requests and have not proved sound
    /// since: which of them it is the crashes cannot tell.
    pub(super) fn quarantine(&mut self, now_ms: u64, candidate: &Candidate) {
        let crashes = candidate.crashes.iter().map(|index| &self.crashes[*index]);
        let contents: Vec<&Content> = crashes
            .flat_map(|crash| &crash.contents)
            .filter(|content| content.has(candidate.suspect))
            .collect();
        let first_ms = candidate.first_crash_ms;
        let first = contents.first().into_iter().flat_map(|content| content.suspects());
        let suspects: Vec<Suspect> = first
            .filter(|suspect| contents.iter().all(|content| content.has(*suspect)))
            .filter(|suspect| !self.answers.is_sound_since(first_ms, *suspect))
            .collect();
        let of_requests: BTreeSet<u64> = self
            .quarantines
            .iter()
            .filter(|known| known.is_of_request())
            .map(|known| known.id)
            .collect();
        self.last_id += 1;
        let mut endpoints: Vec<EndpointName> = Vec::new();
        for crash in &mut self.crashes {
            let is_met = crash.contents.iter().any(|content| content.has_all(&suspects));
            let is_open = crash.explained_by.is_none_or(|id| of_requests.contains(&id));
            if is_open && is_met {
                crash.explained_by = Some(self.last_id);
                endpoints.push(crash.start.endpoint.clone());
            }
        }
        let service = self.service.clone();
        let told = suspects.clone();
        self.push_event(QuarantineEvent::Began { service, suspects: told, endpoints });
        self.make_room_for_quarantine();
        self.quarantines.push(InForce::new(self.last_id, now_ms, suspects, first_ms));
    }
}

/// Returns the number of times in ascending order, those close together counted once.
fn count_apart(at_ms: &[u64]) -> usize {
    let mut count = 0;
    let mut counted_ms = None;
    for at_ms in at_ms {
        if counted_ms.is_none_or(|last_ms| *at_ms >= last_ms + SIMULTANEOUS_MS) {
            counted_ms = Some(*at_ms);
            count += 1;
        }
    }
    count
}
