//! The leader's controller of rollouts, which operators order with a time limit of seconds.
//!
//! A version may regress at any moment, only under load or on only one route, and a bad one may
//! receive only a part of the service's requests up to the time limit, whenever it shows that it is
//! bad. That part is a budget: some of it is spent on a small share for most of the time, the rest
//! on all requests at the end. The versions are compared until the time limit, and only then is the
//! rollout completed, since that can't be taken back. The endpoints of the old version then have
//! few running requests when they are stopped.

use super::exposure::{Exposure, Traffic};
use super::sequential::{Comparison, Side, Verdict};
use super::{Observation, Observations};
use crate::state::{RolloutRecord, RolloutState, RolloutStep, State};
use lycheehub_types::{Route, ServiceName};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// All requests, in thousandths.
const FULL_PERMILLE: u32 = 1_000;
/// The maximum time before the deadline at which the new version receives all requests, in
/// milliseconds. Most requests to the old version finish within this time.
const FULL_SHARE_MAX_MS: u64 = 2_500;
/// The maximum part of the rollout's duration for the full share, in thousandths.
const FULL_SHARE_MAX_PERMILLE: u64 = 250;
/// How long before the deadline a rollout may be completed, in milliseconds: the step must be committed by
/// then.
const DEADLINE_MARGIN_MS: u64 = 300;
/// How long before the deadline a rollout that can't be completed is rolled back, in milliseconds.
const LAST_STEP_MS: u64 = 200;
/// The full share is given only while the alarm is below this fraction of its threshold.
const QUIET_ALARM_LEVEL: f64 = 0.5;
/// A rollout, which can't be taken back then, is completed only while the alarm is below this fraction.
const COMPLETION_ALARM_LEVEL: f64 = 0.75;
/// The minimum number of requests to the new version before it may receive the full share.
const MIN_REQUESTS: u64 = 20;
/// How often comparison windows are closed, in milliseconds.
const WINDOW_INTERVAL_MS: u64 = 500;
/// How long traffic is observed before its rate counts, in milliseconds.
const RATE_MIN_MS: u64 = 500;

/// How many requests a bad version may receive between the order and the time limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOptions {
    /// The share of the service's requests.
    pub exposure_share: f64,
    /// The number of requests in addition.
    pub exposure_slack: f64,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self { exposure_share: 0.1, exposure_slack: 0.0 }
    }
}

/// The current use of the versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// The slots of endpoints with the new version.
    pub new_slots: u32,
    /// The slots of endpoints with other versions that may receive requests.
    pub old_slots: u32,
    /// The requests that this leader has sent to endpoints with the new version.
    pub new_placed: u64,
    /// The requests that it has sent to the others since then.
    pub old_placed: u64,
}

/// Decides the steps of rollouts from the observed outcomes.
///
/// Its state need not survive a leader change: shares and final states are replicated, and the
/// comparison starts over.
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
            self.add(record, side, &key.route, *observation);
        }
    }

    fn add(&mut self, record: &RolloutRecord, side: Side, route: &Route, observation: Observation) {
        self.tracker(record).comparison.add(side, route, observation);
    }

    fn tracker(&mut self, record: &RolloutRecord) -> &mut RolloutTracker {
        let ordered_unix_ms = record.order.now_unix_ms;
        let new = || RolloutTracker {
            ordered_unix_ms,
            comparison: Comparison::default(),
            traffic: Traffic::default(),
            windows_closed_unix_ms: ordered_unix_ms,
        };
        let tracker = self.trackers.entry(record.order.service.clone()).or_insert_with(new);
        if tracker.ordered_unix_ms != ordered_unix_ms {
            *tracker = new();
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
            tracker.comparison.advance(now_unix_ms);
            tracker.traffic.advance(now_unix_ms, record.share_permille, &capacity);
            if now_unix_ms >= tracker.windows_closed_unix_ms + WINDOW_INTERVAL_MS {
                tracker.comparison.close_windows();
                tracker.windows_closed_unix_ms = now_unix_ms;
            }
            let Some(next) = decide(now_unix_ms, record, tracker, capacity, options) else {
                continue;
            };
            steps.push(RolloutStep {
                service: record.order.service.clone(),
                after_revision: record.revision,
                state: next.state,
                share_permille: next.share_permille,
                reason: next.reason,
                now_unix_ms,
            });
        }
        steps
    }
}

fn running<'a>(state: &'a State, service: &ServiceName) -> Option<&'a RolloutRecord> {
    state.rollouts.get(service).filter(|record| record.state == RolloutState::Running)
}

struct NextStep {
    state: RolloutState,
    share_permille: u32,
    reason: SmolStr,
}

impl NextStep {
    fn roll_back(reason: SmolStr) -> Option<Self> {
        Some(Self { state: RolloutState::RolledBack, share_permille: 0, reason })
    }
}

fn decide(
    now_unix_ms: u64,
    record: &RolloutRecord,
    tracker: &RolloutTracker,
    capacity: VersionCapacity,
    options: RolloutOptions,
) -> Option<NextStep> {
    let order = &record.order;
    let ends_unix_ms = order.now_unix_ms.saturating_add(order.duration_ms);
    let left_ms = ends_unix_ms.saturating_sub(now_unix_ms);
    let elapsed_ms = now_unix_ms.saturating_sub(order.now_unix_ms);
    let exposure = Exposure { options, elapsed_ms, left_ms };
    let moment = Moment { record, tracker, capacity, left_ms, exposure };
    if let Verdict::Regressed(reason) = tracker.comparison.verdict()
        && moment.has_old()
    {
        return NextStep::roll_back(reason);
    }
    if left_ms <= DEADLINE_MARGIN_MS { moment.last_step() } else { moment.next_share() }
}

/// A rollout that has shown no regression, at one moment.
struct Moment<'a> {
    record: &'a RolloutRecord,
    tracker: &'a RolloutTracker,
    capacity: VersionCapacity,
    left_ms: u64,
    exposure: Exposure,
}

impl Moment<'_> {
    /// Completes the rollout if the new version may serve alone, or rolls it back if there is no time left.
    fn last_step(&self) -> Option<NextStep> {
        let level = if self.is_full() { COMPLETION_ALARM_LEVEL } else { QUIET_ALARM_LEVEL };
        if self.may_take_all(level) {
            let reason = format_smolstr!("done: {}", self.summary());
            let state = RolloutState::Completed;
            return Some(NextStep { state, share_permille: FULL_PERMILLE, reason });
        }
        if self.left_ms > LAST_STEP_MS {
            return None;
        }
        NextStep::roll_back(format_smolstr!("not known to be good in time: {}", self.summary()))
    }

    /// Raises the share of the new version if that is due.
    fn next_share(&self) -> Option<NextStep> {
        let is_observed = self.tracker.traffic.observed_ms() >= RATE_MIN_MS;
        if self.is_full() || self.capacity.new_slots == 0 || !is_observed {
            return None;
        }
        let share_permille = self.record.share_permille;
        let canary_permille =
            self.exposure.canary_permille(&self.tracker.traffic, self.full_max_ms(), MIN_REQUESTS);
        let is_behind = !self.is_compared()
            && self.is_quiet(QUIET_ALARM_LEVEL)
            && canary_permille >= share_permille * 3 / 2;
        let (share_permille, reason) =
            if self.left_ms <= self.full_max_ms() && self.may_take_all(QUIET_ALARM_LEVEL) {
                (FULL_PERMILLE, format_smolstr!("nothing speaks against it: {}", self.summary()))
            } else if share_permille == 0 {
                (canary_permille, "endpoints of the new version are there".into())
            } else if is_behind {
                (canary_permille, format_smolstr!("too few requests: {}", self.summary()))
            } else {
                return None;
            };
        Some(NextStep { state: RolloutState::Running, share_permille, reason })
    }

    /// Returns true if the new version may receive all requests from now on.
    fn may_take_all(&self, alarm_level: f64) -> bool {
        if !self.has_old() {
            return self.capacity.new_slots > 0;
        }
        let is_in_budget = || self.exposure.allows_all(&self.tracker.traffic);
        // A share that another leader gave says nothing to this one.
        self.is_compared() && self.is_quiet(alarm_level) && (self.is_full() || is_in_budget())
    }

    /// Returns how long before the deadline the new version may receive all requests at most, in
    /// milliseconds.
    fn full_max_ms(&self) -> u64 {
        let part_ms = self.record.order.duration_ms.saturating_mul(FULL_SHARE_MAX_PERMILLE) / 1_000;
        FULL_SHARE_MAX_MS.min(part_ms) + DEADLINE_MARGIN_MS
    }

    /// Returns whether there is another version to compare with, and to go back to.
    fn has_old(&self) -> bool {
        self.capacity.old_slots > 0
    }

    fn is_full(&self) -> bool {
        self.record.share_permille == FULL_PERMILLE
    }

    fn is_compared(&self) -> bool {
        self.tracker.comparison.new_requests() >= MIN_REQUESTS
    }

    fn is_quiet(&self, alarm_level: f64) -> bool {
        self.tracker.comparison.alarm_level() < alarm_level
    }

    fn summary(&self) -> SmolStr {
        self.tracker.comparison.summary()
    }
}
