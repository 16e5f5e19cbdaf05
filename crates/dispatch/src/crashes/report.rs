//! Passes on what a dispatcher knows of a service's crashes, and takes over what others know.

use super::QuarantineId;
use super::answers::Answer;
use super::crash::{Crash, SETTLE_MS};
use super::quarantine::{InForce, ListedQuarantine, Quarantine};
use super::service::{KnownCrash, ServiceCrashes};

impl ServiceCrashes {
    /// Returns the quarantines.
    pub fn quarantines(&self, now_ms: u64) -> impl Iterator<Item = Quarantine> {
        self.quarantines.iter().map(move |quarantine| quarantine.told(now_ms, &self.service))
    }

    /// Returns the quarantines with what operators are told of them.
    pub fn listed(&self, now_ms: u64) -> impl Iterator<Item = ListedQuarantine> {
        self.quarantines.iter().map(move |known| {
            let crashes = self.crashes.iter();
            let explained = crashes.filter(|crash| crash.explained_by == Some(known.id));
            ListedQuarantine {
                id: QuarantineId::of(&self.service, &known.suspects),
                quarantine: known.told(now_ms, &self.service),
                endpoints: explained.map(|crash| crash.start.endpoint.clone()).collect(),
            }
        })
    }

    /// Returns the crashes that no quarantine explains.
    pub fn crashes(&self, now_ms: u64) -> impl Iterator<Item = Crash> {
        let known = self.unexplained().map(|crash| (&crash.start, crash.at_ms, &crash.contents));
        let probable = self.probable_losses();
        let all = known.chain(probable.map(|(start, loss)| (start, loss.at_ms, &loss.contents)));
        all.map(move |(start, at_ms, contents)| Crash {
            service: self.service.clone(),
            start: start.clone(),
            ago_ms: now_ms.saturating_sub(at_ms),
            contents: contents.clone(),
        })
    }

    /// Returns what was answered last.
    pub fn answers(&self, now_ms: u64) -> impl Iterator<Item = Answer> {
        self.answers.newest().map(move |(at_ms, suspect)| Answer {
            service: self.service.clone(),
            suspect,
            ago_ms: now_ms.saturating_sub(at_ms),
        })
    }

    pub(super) fn restore_answer(&mut self, now_ms: u64, answer: &Answer) {
        let at_ms = now_ms.saturating_sub(answer.ago_ms);
        self.answers.record(at_ms, answer.suspect);
        self.clear_answered(at_ms, |suspect| suspect == answer.suspect);
    }

    /// Adds a crash that an instance has reported; several instances see the same one.
    pub(super) fn restore_crash(&mut self, now_ms: u64, told: &Crash) {
        self.last_search.record_change();
        if let Some(known) = self.crashes.iter_mut().find(|crash| crash.start == told.start) {
            for content in &told.contents {
                if !known.contents.contains(content) {
                    known.contents.push(content.clone());
                }
            }
            return;
        }
        let explained_by = self.explaining(&told.contents);
        self.add_crash(KnownCrash {
            start: told.start.clone(),
            at_ms: now_ms.saturating_sub(told.ago_ms),
            counts_from_ms: now_ms + SETTLE_MS,
            contents: told.contents.clone(),
            explained_by,
        });
    }

    /// Adds a quarantine that an instance knows of, unless an answer has disproved it since, or it was
    /// ended.
    pub(super) fn restore_quarantine(&mut self, now_ms: u64, told: &Quarantine) {
        self.last_search.record_change();
        self.last_id += 1;
        let mut restored = InForce::restored(self.last_id, now_ms, told);
        let (answers, first_ms) = (&self.answers, restored.first_crash_ms);
        if self.lifted.covers(first_ms, &restored.suspects) {
            return;
        }
        let was_of_request = restored.is_of_request();
        restored.suspects.retain(|suspect| !answers.is_sound_since(first_ms, *suspect));
        if restored.suspects.is_empty() || was_of_request && !restored.is_of_request() {
            return;
        }
        let is_same = |known: &&mut InForce| known.suspects == restored.suspects;
        if let Some(known) = self.quarantines.iter_mut().find(is_same) {
            known.merge(&restored);
            return;
        }
        self.make_room_for_quarantine();
        self.quarantines.push(restored);
    }
}
