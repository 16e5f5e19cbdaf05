//! Tells instances the quarantines in force, and so which of them an operator has ended.
//!
//! An instance takes a quarantine for ended once it is told it no more. One that has not been told of it
//! yet could not know, and would pass on its crashes to a new leader: it is told of the quarantine first,
//! and with its next call of the end.

use super::Quarantine;
use std::collections::VecDeque;

/// The maximum number of ended quarantines that instances are told of; the first is dropped first.
const ENDED_MAX: usize = 64;

/// A quarantine that was ended.
#[derive(Clone, Debug)]
struct Ended {
    /// The first revision without it.
    revision: u64,
    at_ms: u64,
    /// The session that was opened last before the end. Instances that enter later are not told: they
    /// may know of crashes since.
    last_session: u64,
    quarantine: Quarantine,
}

/// The revision of the quarantines in force, and those that were ended lately.
#[derive(Clone, Debug)]
pub struct QuarantineFeed {
    revision: u64,
    ended: VecDeque<Ended>,
}

impl Default for QuarantineFeed {
    fn default() -> Self {
        // An instance that has been told nothing has revision 0.
        Self { revision: 1, ended: VecDeque::new() }
    }
}

impl QuarantineFeed {
    /// Records that the quarantines in force may have changed.
    pub fn record_change(&mut self) {
        self.revision += 1;
    }

    /// Records that a quarantine was ended by the last change, and the session that was opened last before.
    pub fn record_end(&mut self, now_ms: u64, last_session: u64, quarantine: Quarantine) {
        if self.ended.len() >= ENDED_MAX {
            self.ended.pop_front();
        }
        let revision = self.revision;
        self.ended.push_back(Ended { revision, at_ms: now_ms, last_session, quarantine });
    }

    /// Returns what an instance with a session is told that has the revision `known`, if anything:
    /// a revision with its quarantines. `in_force` are those of the newest revision.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::QuarantineFeed;
    ///
    /// let feed = QuarantineFeed::default();
    /// assert_eq!(feed.next(1_000, (1, 0), Vec::new), Some((1, Vec::new())));
    /// assert_eq!(feed.next(1_000, (1, 1), Vec::new), None);
    /// ```
    pub fn next(
        &self,
        now_ms: u64,
        (session, known): (u64, u64),
        in_force: impl FnOnce() -> Vec<Quarantine>,
    ) -> Option<(u64, Vec<Quarantine>)> {
        if known == self.revision {
            return None;
        }
        let mut told = in_force();
        let is_in_force = |ended: &Ended| {
            told.iter().any(|quarantine| {
                quarantine.service == ended.quarantine.service
                    && quarantine.suspects == ended.quarantine.suspects
            })
        };
        // What was in force at the known revision, the instance was told with it.
        let untold: Vec<&Ended> = self
            .ended
            .iter()
            .filter(|ended| session <= ended.last_session && known + 1 < ended.revision)
            .filter(|ended| !is_in_force(ended))
            .collect();
        let Some(last) = untold.iter().map(|ended| ended.revision).max() else {
            return Some((self.revision, told));
        };
        told.extend(untold.iter().map(|ended| ended.told(now_ms)));
        Some((last - 1, told))
    }
}

impl Ended {
    fn told(&self, now_ms: u64) -> Quarantine {
        let since_ms = now_ms.saturating_sub(self.at_ms);
        let quarantine = self.quarantine.clone();
        Quarantine {
            first_crash_ago_ms: quarantine.first_crash_ago_ms.saturating_add(since_ms),
            next_trial_ms: quarantine.next_trial_ms.saturating_sub(since_ms),
            ..quarantine
        }
    }
}
