//! The next step of a rollout, from what its trials and its comparison have shown.
//!
//! Nothing is completed that has not been compared under about the load that it will bear: at least one
//! trial is passed before the last one, and the leader that completes the rollout has judged a trial itself.

use super::RolloutTracker;
use super::budget::{Budget, TRIAL_PERMILLE};
use super::options::{RolloutOptions, VersionCapacity};
use super::trial::{Judgement, OUTCOMES_MIN, Progress, Trial};
use crate::moves::Verdict;
use crate::state::{RolloutEvidence, RolloutRecord, RolloutState};
use smol_str::{SmolStr, format_smolstr};

/// All requests, in thousandths.
const FULL_PERMILLE: u32 = 1_000;
/// The maximum time before the deadline at which the last trial begins, in milliseconds. Most requests to
/// the old version finish within this time.
const LAST_TRIAL_MAX_MS: u64 = 2_500;
/// The maximum part of the rollout's duration for the last trial, in thousandths.
const LAST_TRIAL_MAX_PERMILLE: u64 = 250;
/// How long before the deadline a rollout may be completed, in milliseconds: the step must be committed by
/// then.
const DEADLINE_MARGIN_MS: u64 = 300;
/// How long before the deadline a rollout that can't be completed is rolled back, in milliseconds.
const LAST_STEP_MS: u64 = 200;
/// A rollout, which can't be taken back then, is completed only while the alarm is below this fraction of
/// its threshold.
const COMPLETION_ALARM_LEVEL: f64 = 0.75;
/// The number of trials failed in a row after which a version is rolled back.
const FAILED_TRIALS_MAX: u32 = 2;
/// The time until a trial that was not passed is repeated, in milliseconds: longer than what disturbs
/// endpoints for a moment.
const RETRY_MS: u64 = 2_500;
/// How long traffic is observed before its rate counts, in milliseconds.
const RATE_MIN_MS: u64 = 500;
/// The time between a trial's end and the last one, in which it is judged, in milliseconds.
const JUDGEMENT_MS: u64 = 300;
/// The time after the order for which a trial waits until the new version's endpoints are warm and half as
/// many as the old version's, as a part of the duration, in thousandths.
const ENDPOINTS_WAIT_PERMILLE: u64 = 250;
/// The time that a new leader has beyond the deadline to compare a version that has passed trials, in
/// milliseconds.
const NEW_LEADER_MS: u64 = 1_000;
/// How much sooner a trial is ended than its time is over, in milliseconds: half of the interval between decisions.
const END_EARLY_MS: u64 = 50;
/// How long a step may take to be committed before it counts as lost, in milliseconds.
const COMMIT_MAX_MS: u64 = 1_000;

/// What happens next.
pub(super) struct NextStep {
    pub(super) state: RolloutState,
    pub(super) share_permille: u32,
    pub(super) reason: SmolStr,
}

impl NextStep {
    fn share(share_permille: u32, reason: SmolStr) -> Self {
        Self { state: RolloutState::Running, share_permille, reason }
    }

    fn complete(reason: SmolStr) -> Self {
        Self { state: RolloutState::Completed, share_permille: FULL_PERMILLE, reason }
    }

    fn roll_back(reason: SmolStr) -> Self {
        Self { state: RolloutState::RolledBack, share_permille: 0, reason }
    }
}

/// A rollout at one moment.
pub(super) struct Moment<'a> {
    pub(super) now_unix_ms: u64,
    pub(super) record: &'a RolloutRecord,
    pub(super) tracker: &'a mut RolloutTracker,
    pub(super) capacity: VersionCapacity,
    pub(super) options: RolloutOptions,
}

impl Moment<'_> {
    /// Returns the step that is due now.
    pub(super) fn decide(&mut self) -> Option<NextStep> {
        if self.has_old() {
            if let Verdict::Regressed(reason) = self.tracker.comparison.verdict() {
                return Some(NextStep::roll_back(reason));
            }
            self.follow_trial();
            let judged = self.judge_ended_trial();
            if self.tracker.evidence.failed >= FAILED_TRIALS_MAX {
                let reason = format_smolstr!("worse under load: {}", self.summary());
                return Some(NextStep::roll_back(reason));
            }
            if judged.is_some() {
                return judged;
            }
        }
        if self.left_ms() <= DEADLINE_MARGIN_MS { self.last_step() } else { self.next_trial() }
    }

    /// Returns the evidence for a step that is proposed now.
    pub(super) fn evidence(&self) -> RolloutEvidence {
        let new_requests = self.budget().received();
        RolloutEvidence {
            stated_unix_ms: self.now_unix_ms,
            new_requests: new_requests as u64,
            old_requests: (self.tracker.traffic.all() - new_requests).max(0.0) as u64,
            ..self.tracker.evidence
        }
    }

    /// Notes when the share of a trial is in force, and drops one whose step was not committed.
    fn follow_trial(&mut self) {
        let (now_unix_ms, is_in_force) = (self.now_unix_ms, self.is_on_trial());
        let Some(trial) = &mut self.tracker.trial else { return };
        if is_in_force {
            trial.began_unix_ms.get_or_insert(now_unix_ms);
        } else if trial.began_unix_ms.is_none()
            && now_unix_ms >= trial.proposed_unix_ms + COMMIT_MAX_MS
        {
            self.tracker.trial = None;
        }
    }

    /// Judges a trial whose requests have ended; returns the step that records the judgement.
    fn judge_ended_trial(&mut self) -> Option<NextStep> {
        let is_due =
            self.is_last_judgement() || self.now_unix_ms >= self.tracker.next_trial_unix_ms;
        let trial = self.tracker.trial.as_ref()?;
        let is_ended = trial.began_unix_ms.is_some() && !self.is_on_trial();
        let progress = trial.progress(self.placed_in(trial));
        if !is_ended || !(progress == Progress::Ended || is_due) {
            return None;
        }
        let judgement = match progress {
            Progress::TooFewEnded => Judgement::Disturbed,
            Progress::MostEnded | Progress::Ended => trial.judge(&self.tracker.comparison),
        };
        self.tracker.record_judgement(judgement);
        if judgement != Judgement::Passed {
            let retry_unix_ms = self.now_unix_ms + RETRY_MS;
            let next_unix_ms = &mut self.tracker.next_trial_unix_ms;
            *next_unix_ms = retry_unix_ms.min(*next_unix_ms);
        }
        let reason = format_smolstr!("trial {judgement:?}: {}", self.summary());
        Some(NextStep::share(0, reason))
    }

    /// Begins or ends a trial if that is due.
    fn next_trial(&mut self) -> Option<NextStep> {
        if self.is_on_trial() {
            return self.end_trial();
        }
        let is_observed = self.tracker.traffic.observed_ms() >= RATE_MIN_MS;
        if self.tracker.trial.is_some() || !is_observed || !self.may_begin_trial() {
            return None;
        }
        if self.is_last_trial_due() && self.may_begin_last_trial() {
            return Some(self.begin_last_trial());
        }
        let budget = self.budget();
        let has_passed = self.tracker.evidence.passed > 0;
        let later_ms = if has_passed { self.last_trial_max_ms() } else { DEADLINE_MARGIN_MS };
        let needed_ms = budget.trial_ms().saturating_add(JUDGEMENT_MS + later_ms);
        let is_in_time = self.left_ms() >= needed_ms;
        if self.now_unix_ms < self.tracker.next_trial_unix_ms
            || !is_in_time
            || !budget.allows_trial(has_passed)
            || !self.has_usable_endpoints()
        {
            return None;
        }
        let pause_ms = self.pause_ms(&budget);
        self.tracker.next_trial_unix_ms =
            self.now_unix_ms.saturating_add(budget.trial_ms()).saturating_add(pause_ms);
        self.begin_trial(false);
        let reason = format_smolstr!("trial under load: {}", self.summary());
        Some(NextStep::share(TRIAL_PERMILLE, reason))
    }

    /// Ends a trial that has had its requests, and one that another leader began; the last one goes on.
    fn end_trial(&mut self) -> Option<NextStep> {
        let is_seen = self.tracker.trial.is_some();
        if !is_seen && self.is_last_trial_due() && self.may_begin_last_trial() {
            self.begin_trial(true);
            return None;
        }
        if let Some(trial) = &self.tracker.trial {
            let budget = self.budget();
            let began_unix_ms = trial.began_unix_ms.unwrap_or(self.now_unix_ms);
            let until_unix_ms = began_unix_ms.saturating_add(budget.trial_ms());
            let is_over = self.now_unix_ms + END_EARLY_MS >= until_unix_ms
                || self.placed_in(trial) as f64 >= budget.trial_requests();
            if trial.is_last || !is_over {
                return None;
            }
        }
        let reason =
            if is_seen { "the trial's requests are sent" } else { "trial of a lost leader" };
        Some(NextStep::share(0, reason.into()))
    }

    fn begin_last_trial(&mut self) -> NextStep {
        self.begin_trial(true);
        let reason = format_smolstr!("nothing speaks against it: {}", self.summary());
        NextStep::share(TRIAL_PERMILLE, reason)
    }

    fn begin_trial(&mut self, is_last: bool) {
        let placed_before = self.tracker.traffic.to_new_here();
        let trial = Trial::new(self.now_unix_ms, placed_before, is_last);
        let trial = match self.tracker.open.take() {
            Some(open) if !is_last => trial.continuing(open),
            _ => trial,
        };
        self.tracker.trial = Some(trial);
    }

    /// Completes the rollout if the new version may serve alone, or rolls it back if there is no time left.
    fn last_step(&mut self) -> Option<NextStep> {
        if self.may_complete() {
            return Some(NextStep::complete(format_smolstr!("done: {}", self.summary())));
        }
        if self.may_take_longer() {
            return self.last_trial_of_new_leader();
        }
        if self.left_ms() > LAST_STEP_MS {
            return None;
        }
        let reason = format_smolstr!("not known to be good in time: {}", self.summary());
        Some(NextStep::roll_back(reason))
    }

    /// Returns whether this leader has just begun, and may still compare a version that has passed trials under
    /// another one.
    fn may_take_longer(&self) -> bool {
        self.tracker.traffic.observed_ms() < NEW_LEADER_MS
            && !self.tracker.has_passed_here
            && self.may_begin_last_trial()
    }

    /// Begins the last trial of a new leader, or goes on with that of the lost one.
    fn last_trial_of_new_leader(&mut self) -> Option<NextStep> {
        if self.tracker.trial.is_some() {
            return None;
        }
        if self.is_on_trial() {
            self.begin_trial(true);
            return None;
        }
        Some(self.begin_last_trial())
    }

    /// Returns whether the new version may serve alone, for good.
    fn may_complete(&self) -> bool {
        if self.capacity.new_slots == 0 {
            return false;
        }
        if !self.has_old() {
            return true;
        }
        let tracker = &*self.tracker;
        if tracker.evidence.passed == 0 || !self.is_quiet(COMPLETION_ALARM_LEVEL) {
            return false;
        }
        match &tracker.trial {
            // There were no requests left for a last one.
            None => tracker.has_passed_here,
            Some(trial) => {
                let is_compared_here = tracker.has_passed_here || trial.outcomes() >= OUTCOMES_MIN;
                let judgement = trial.judge(&tracker.comparison);
                trial.is_last && is_compared_here && judgement != Judgement::Failed
            }
        }
    }

    fn may_begin_trial(&self) -> bool {
        self.capacity.new_slots > 0 && self.has_old()
    }

    fn may_begin_last_trial(&self) -> bool {
        self.may_begin_trial()
            && self.tracker.evidence.passed > 0
            && self.is_quiet(COMPLETION_ALARM_LEVEL)
            && self.budget().allows_last()
    }

    /// Returns whether the new version has endpoints that show how fast it is, or no time to wait for them.
    fn has_usable_endpoints(&self) -> bool {
        let order = &self.record.order;
        let wait_ms = order.duration_ms / 1_000 * ENDPOINTS_WAIT_PERMILLE;
        let VersionCapacity { new_slots, cold_slots, old_slots, .. } = self.capacity;
        let are_enough = cold_slots == 0 && new_slots >= old_slots / 2;
        are_enough || self.now_unix_ms >= order.now_unix_ms.saturating_add(wait_ms)
    }

    /// Returns the time between trials, in milliseconds.
    fn pause_ms(&self, budget: &Budget<'_>) -> u64 {
        let order = &self.record.order;
        let between_ms = order.duration_ms.saturating_sub(self.last_trial_max_ms());
        (between_ms as f64 / (budget.trials() + 1.0)) as u64
    }

    /// Returns whether what has ended of a trial must be judged now: the last one, or the deadline, is due.
    fn is_last_judgement(&self) -> bool {
        let is_last_due = self.is_last_trial_due() && self.budget().allows_last();
        is_last_due || self.left_ms() <= DEADLINE_MARGIN_MS + JUDGEMENT_MS
    }

    fn is_last_trial_due(&self) -> bool {
        self.left_ms() <= self.last_trial_max_ms()
    }

    /// Returns how long before the deadline the last trial begins at most, in milliseconds.
    fn last_trial_max_ms(&self) -> u64 {
        let duration_ms = self.record.order.duration_ms;
        let part_ms = duration_ms.saturating_mul(LAST_TRIAL_MAX_PERMILLE) / 1_000;
        LAST_TRIAL_MAX_MS.min(part_ms) + DEADLINE_MARGIN_MS
    }

    fn budget(&self) -> Budget<'_> {
        Budget {
            options: self.options,
            traffic: &self.tracker.traffic,
            duration_ms: self.record.order.duration_ms,
            left_ms: self.left_ms(),
            last_max_ms: self.last_trial_max_ms(),
        }
    }

    fn placed_in(&self, trial: &Trial) -> u64 {
        self.tracker.traffic.to_new_here().saturating_sub(trial.placed_before)
    }

    fn left_ms(&self) -> u64 {
        let order = &self.record.order;
        order.now_unix_ms.saturating_add(order.duration_ms).saturating_sub(self.now_unix_ms)
    }

    /// Returns whether there is another version to compare with, and to go back to.
    fn has_old(&self) -> bool {
        self.capacity.old_slots > 0
    }

    fn is_on_trial(&self) -> bool {
        self.record.share_permille > 0
    }

    fn is_quiet(&self, alarm_level: f64) -> bool {
        self.tracker.comparison.alarm_level() < alarm_level
    }

    fn summary(&self) -> SmolStr {
        let RolloutEvidence { passed, failed, .. } = self.tracker.evidence;
        let comparison = self.tracker.comparison.summary();
        format_smolstr!("trials passed {passed}, failed {failed}; {comparison}")
    }
}
