//! Ends quarantines without an answer, at an operator's call.
//!
//! Evidence from before the end counts no more: a crash at which the suspects were is forgotten, unless another
//! quarantine explains it, also one that instances report later, and so is a quarantine of the suspects that an
//! instance still holds. A crash after the end counts like any other.

use super::quarantine::{InForce, QuarantineEvent};
use super::service::{KnownCrash, ServiceCrashes};
use super::{QuarantineId, Suspect};
use smol_str::SmolStr;
use std::collections::VecDeque;

/// The maximum number of ended quarantines that are remembered; the first that ended is forgotten first.
const REMEMBERED_MAX: usize = 64;

/// What came of a call that ends a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The quarantine was in force, and is no more.
    Ended,
    /// An earlier call has ended it.
    EndedBefore,
    /// No quarantine in force has this identity.
    Unknown,
}

/// A quarantine that was ended without an answer.
#[derive(Clone, Debug)]
struct Lifted {
    at_ms: u64,
    suspects: Vec<Suspect>,
}

impl Lifted {
    /// Returns whether a crash was before the end, and the suspects were at it.
    fn covers_crash(&self, crash: &KnownCrash) -> bool {
        let mut contents = crash.contents.iter();
        crash.at_ms <= self.at_ms && contents.any(|content| content.has_all(&self.suspects))
    }

    /// Returns whether a quarantine of these suspects is the one that was ended, or was narrowed to it. One of
    /// a request outlives the end of one of its parts.
    fn covers(&self, suspects: &[Suspect]) -> bool {
        let is_of_part = !self.suspects.iter().any(Suspect::is_request);
        self.suspects.iter().all(|suspect| suspects.contains(suspect))
            && !(is_of_part && suspects.iter().any(Suspect::is_request))
    }
}

/// The quarantines of a service that were ended without an answer, in the order of their ends.
#[derive(Clone, Debug, Default)]
pub(super) struct LiftedQuarantines {
    lifted: VecDeque<Lifted>,
}

impl LiftedQuarantines {
    fn record(&mut self, at_ms: u64, suspects: Vec<Suspect>) {
        self.lifted.retain(|known| known.suspects != suspects);
        if self.lifted.len() >= REMEMBERED_MAX {
            self.lifted.pop_front();
        }
        self.lifted.push_back(Lifted { at_ms, suspects });
    }

    /// Returns whether a crash counts no more.
    pub(super) fn covers_crash(&self, crash: &KnownCrash) -> bool {
        self.lifted.iter().any(|lifted| lifted.covers_crash(crash))
    }

    /// Returns whether a quarantine that began with a crash at `first_crash_ms` has been ended.
    pub(super) fn covers(&self, first_crash_ms: u64, suspects: &[Suspect]) -> bool {
        let mut since = self.lifted.iter().filter(|lifted| first_crash_ms <= lifted.at_ms);
        since.any(|lifted| lifted.covers(suspects))
    }
}

impl ServiceCrashes {
    /// Ends a quarantine at the call `by` of an operator.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::{Ending, QuarantineId, ServiceCrashes, Suspect};
    ///
    /// let mut crashes = ServiceCrashes::new("labels".into());
    /// let id = QuarantineId::of(&"labels".into(), &[Suspect::Part(7)]);
    /// assert_eq!(crashes.end_quarantine(1_000, id, "an operator"), Ending::Unknown);
    /// ```
    pub fn end_quarantine(&mut self, now_ms: u64, id: QuarantineId, by: &str) -> Ending {
        let service = &self.service;
        let is_named = |suspects: &[Suspect]| QuarantineId::of(service, suspects) == id;
        let Some(known) = self.quarantines.iter().find(|known| is_named(&known.suspects)) else {
            let mut before = self.lifted.lifted.iter();
            return match before.any(|lifted| is_named(&lifted.suspects)) {
                true => Ending::EndedBefore,
                false => Ending::Unknown,
            };
        };
        let (service, suspects) = (service.clone(), known.suspects.clone());
        self.lift(now_ms, &suspects);
        self.push_event(QuarantineEvent::Ended { service, suspects, by: SmolStr::new(by) });
        Ending::Ended
    }

    /// Ends the quarantines of these suspects, and forgets the crashes at which they were.
    fn lift(&mut self, now_ms: u64, suspects: &[Suspect]) {
        let is_meant = |known: &mut InForce| known.suspects == suspects;
        let ended: Vec<u64> =
            self.quarantines.extract_if(.., is_meant).map(|known| known.id).collect();
        self.lifted.record(now_ms, suspects.to_vec());
        let lifted = &self.lifted;
        self.crashes.retain(|crash| match crash.explained_by {
            Some(id) => !ended.contains(&id),
            None => !lifted.covers_crash(crash),
        });
        self.last_search.record_change();
    }
}
