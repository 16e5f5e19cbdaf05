//! The leader's controller of rollouts, which operators order with a time limit of seconds.
//!
//! A version may regress at any moment, only under load or on only one route, and a bad one may
//! receive only a part of the service's requests up to the time limit, whenever it shows that it is
//! bad. That part is a [budget](budget), spent in [trials](trial): moments in which the new version
//! receives nearly all requests. The [decision](decision) rests on their judgements, and on a comparison of all
//! outcomes that continues until the time limit. Only then is the rollout completed, since that can't be
//! taken back.
//!
//! What trials have shown is replicated with each step, so that it outlives the leader.

mod budget;
mod decision;
mod options;
mod traffic;
mod trial;

pub use options::{RolloutOptions, VersionCapacity};

use super::sequential::{Comparison, Side};
use super::{Observation, Observations};
use crate::state::{RolloutEvidence, RolloutRecord, RolloutState, RolloutStep, State};
use decision::Moment;
use lycheehub_types::{Route, ServiceName};
use std::collections::BTreeMap;
use traffic::Traffic;
use trial::{Judgement, Trial};

/// How often comparison windows are closed, in milliseconds.
const WINDOW_INTERVAL_MS: u64 = 500;

/// Decides the steps of rollouts from the observed outcomes.
///
/// What a new leader needs of its state is in the record of the rollout; the comparison starts over.
#[derive(Clone, Debug, Default)]
pub struct RolloutController {
    options: RolloutOptions,
    trackers: BTreeMap<ServiceName, RolloutTracker>,
}

#[derive(Clone, Debug)]
struct RolloutTracker {
    ordered_unix_ms: u64,
    comparison: Comparison,
    traffic: Traffic,
    windows_closed_unix_ms: u64,
    /// What this and earlier leaders have found.
    evidence: RolloutEvidence,
    /// The trial under way, or ended and not judged yet.
    trial: Option<Trial>,
    /// The last trial that was judged and left open; the next one continues it.
    open: Option<Trial>,
    /// When the next trial may begin, in milliseconds since the Unix epoch.
    next_trial_unix_ms: u64,
    /// Whether the version has passed a trial that this leader judged.
    has_passed_here: bool,
}

impl RolloutTracker {
    fn new(record: &RolloutRecord) -> Self {
        let ordered_unix_ms = record.order.now_unix_ms;
        Self {
            ordered_unix_ms,
            comparison: Comparison::default(),
            traffic: Traffic::default(),
            windows_closed_unix_ms: ordered_unix_ms,
            evidence: record.evidence,
            trial: None,
            open: None,
            next_trial_unix_ms: 0,
            has_passed_here: false,
        }
    }

    fn add(&mut self, side: Side, route: &Route, observation: Observation) {
        self.comparison.add(side, route, observation);
        if let Some(trial) = self.trial.as_mut().or(self.open.as_mut()) {
            trial.add(side, route, observation);
        }
    }

    fn advance(&mut self, now_unix_ms: u64, record: &RolloutRecord, capacity: &VersionCapacity) {
        self.comparison.advance(now_unix_ms);
        self.traffic.advance(now_unix_ms, record, capacity);
        if now_unix_ms >= self.windows_closed_unix_ms + WINDOW_INTERVAL_MS {
            self.comparison.close_windows();
            self.windows_closed_unix_ms = now_unix_ms;
        }
    }

    /// Records the judgement of the trial that has ended.
    fn record_judgement(&mut self, judgement: Judgement) {
        let trial = self.trial.take();
        self.open = trial.filter(|_| judgement == Judgement::Open);
        let RolloutEvidence { passed, failed, .. } = &mut self.evidence;
        match judgement {
            Judgement::Passed => {
                (*passed, *failed) = (*passed + 1, 0);
                self.has_passed_here = true;
            }
            Judgement::Open | Judgement::Disturbed => {}
            Judgement::Failed => (*passed, *failed) = (0, *failed + 1),
        }
    }
}

impl RolloutController {
    /// Creates a controller with these options.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_control::moves::{RolloutController, RolloutOptions};
    ///
    /// let options = RolloutOptions { exposure_share: 0.1, exposure_slack: 50.0 };
    /// let rollouts = RolloutController::new(options);
    /// ```
    pub fn new(options: RolloutOptions) -> Self {
        Self { options, trackers: BTreeMap::new() }
    }

    /// Adds the observed outcomes per version.
    pub fn observe(&mut self, state: &State, observations: &Observations) {
        for (key, observation) in observations {
            let Some(record) = running(state, &key.service) else { continue };
            let side = if key.version == record.order.target { Side::New } else { Side::Old };
            self.tracker(record).add(side, &key.route, *observation);
        }
    }

    fn tracker(&mut self, record: &RolloutRecord) -> &mut RolloutTracker {
        let service = record.order.service.clone();
        let tracker = self.trackers.entry(service).or_insert_with(|| RolloutTracker::new(record));
        if tracker.ordered_unix_ms != record.order.now_unix_ms {
            *tracker = RolloutTracker::new(record);
        }
        tracker
    }

    /// Returns the steps that are due now.
    pub fn tick(
        &mut self,
        now_unix_ms: u64,
        state: &State,
        capacity_of: impl Fn(&RolloutRecord) -> VersionCapacity,
    ) -> Vec<RolloutStep> {
        self.trackers.retain(|service, _| running(state, service).is_some());
        let options = self.options;
        let records = state.rollouts.values();
        let records = records.filter(|record| record.state == RolloutState::Running);
        let mut steps = Vec::new();
        for record in records {
            let tracker = self.tracker(record);
            let capacity = capacity_of(record);
            tracker.advance(now_unix_ms, record, &capacity);
            let mut moment = Moment { now_unix_ms, record, tracker, capacity, options };
            let Some(next) = moment.decide() else { continue };
            steps.push(RolloutStep {
                service: record.order.service.clone(),
                after_revision: record.revision,
                state: next.state,
                share_permille: next.share_permille,
                reason: next.reason,
                now_unix_ms,
                evidence: moment.evidence(),
            });
        }
        steps
    }
}

fn running<'a>(state: &'a State, service: &ServiceName) -> Option<&'a RolloutRecord> {
    state.rollouts.get(service).filter(|record| record.state == RolloutState::Running)
}
