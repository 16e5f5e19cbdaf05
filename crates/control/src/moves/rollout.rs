//! The leader's controller of rollouts, which operators order with a time limit of seconds.
//!
//! A version may regress late, only under load or on only one route, and must receive little
//! traffic until shortly before the deadline. It therefore receives a small share for most of the
//! time and all traffic at the end, unless the comparison finds a regression. The endpoints of the
//! old version then have no running requests when they are stopped.

use super::sequential::{Comparison, Side, Verdict};
use super::{Observation, Observations};
use crate::state::{RolloutRecord, RolloutState, RolloutStep, State};
use lycheehub_types::{Route, ServiceName};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// The share of requests for a new version under comparison, in thousandths. Including the full
/// share at the end, a bad version stays at about the tenth of the requests that it may receive.
const CANARY_PERMILLE: u32 = 60;
/// All requests, in thousandths.
const FULL_PERMILLE: u32 = 1_000;
/// The maximum time before the deadline at which the new version receives all requests, in
/// milliseconds. Most requests to the old version finish within this time.
const FULL_SHARE_MAX_MS: u64 = 2_500;
/// The maximum part of the rollout's duration for the full share, in thousandths.
const FULL_SHARE_MAX_PERMILLE: u64 = 250;
/// How long before the deadline a rollout is ended in any case, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 400;
/// The full share is given only while the alarm is below this fraction of its threshold.
const QUIET_ALARM_LEVEL: f64 = 0.5;
/// The minimum number of requests to the new version before it may receive the full share.
const MIN_REQUESTS: u64 = 20;
/// How often comparison windows are closed, in milliseconds.
const WINDOW_INTERVAL_MS: u64 = 500;

/// The current use of the two versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// The slots of endpoints with the new version.
    pub new_slots: u32,
    /// The number of running requests at endpoints with other versions.
    pub old_running: usize,
}

/// Decides the steps of rollouts from the observed outcomes.
///
/// Its state need not survive a leader change: shares and final states are replicated, and the
/// comparison starts over.
#[derive(Clone, Debug, Default)]
pub struct RolloutController {
    trackers: BTreeMap<ServiceName, RolloutTracker>,
}

#[derive(Clone, Debug)]
struct RolloutTracker {
    ordered_unix_ms: u64,
    comparison: Comparison,
    windows_closed_unix_ms: u64,
}

impl RolloutController {
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
        let records = state.rollouts.values();
        let records = records.filter(|record| record.state == RolloutState::Running);
        let mut steps = Vec::new();
        for record in records {
            let tracker = self.tracker(record);
            tracker.comparison.advance(now_unix_ms);
            if now_unix_ms >= tracker.windows_closed_unix_ms + WINDOW_INTERVAL_MS {
                tracker.comparison.close_windows();
                tracker.windows_closed_unix_ms = now_unix_ms;
            }
            let Some(next) = decide(now_unix_ms, record, tracker, capacity_of(record)) else {
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
) -> Option<NextStep> {
    let summary = || tracker.comparison.summary();
    if let Verdict::Regressed(reason) = tracker.comparison.verdict() {
        return NextStep::roll_back(reason);
    }
    let ends_unix_ms = record.order.now_unix_ms.saturating_add(record.order.duration_ms);
    let left_ms = ends_unix_ms.saturating_sub(now_unix_ms);
    let is_quiet = tracker.comparison.alarm_level() < QUIET_ALARM_LEVEL
        && tracker.comparison.new_requests() >= MIN_REQUESTS;
    if record.share_permille == FULL_PERMILLE {
        let is_done = capacity.old_running == 0 || left_ms <= DEADLINE_MARGIN_MS;
        let reason = format_smolstr!("done: {}", summary());
        let state = RolloutState::Completed;
        return is_done.then_some(NextStep { state, share_permille: FULL_PERMILLE, reason });
    }
    if left_ms <= DEADLINE_MARGIN_MS {
        return NextStep::roll_back(format_smolstr!("not known to be good in time: {}", summary()));
    }
    if capacity.new_slots == 0 {
        return None;
    }
    let full_share_ms = FULL_SHARE_MAX_MS
        .min(record.order.duration_ms.saturating_mul(FULL_SHARE_MAX_PERMILLE) / 1_000);
    let (share_permille, reason) = if left_ms <= full_share_ms + DEADLINE_MARGIN_MS && is_quiet {
        (FULL_PERMILLE, format_smolstr!("nothing speaks against it: {}", summary()))
    } else if record.share_permille == 0 {
        (CANARY_PERMILLE, "endpoints of the new version are there".into())
    } else {
        return None;
    };
    Some(NextStep { state: RolloutState::Running, share_permille, reason })
}
