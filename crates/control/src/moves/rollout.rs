//! The leader's controller of rollouts that operators order with a time limit of seconds.
//!
//! A version may turn bad late, under load or on one route only, and must get little until its time
//! is nearly over. So it gets a small share for most of its time, and all at the end, if nothing
//! speaks against it; old endpoints have then nothing left to do when they are stopped.

use super::sequential::{Comparison, Side, Verdict};
use super::{Observation, Observations};
use crate::state::{RolloutRecord, RolloutState, RolloutStep, State};
use lycheehub_types::{Route, ServiceName};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// The share of requests that a new version gets to be compared, in thousandths: with what it gets
/// at the end it stays about the tenth that a bad version may have.
const CANARY_PERMILLE: u32 = 60;
/// All requests, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;
/// How long before its time is over a version gets all requests, at most, in milliseconds: as long
/// as most requests to the old version take to end.
const LAST_MS: u64 = 2_500;
/// The part of the time that this may be, in thousandths.
const LAST_PERMILLE: u64 = 250;
/// How long before its time is over a rollout is ended in any case, in milliseconds.
const END_MS: u64 = 400;
/// Steps are taken only while the alarm is below this part of its threshold.
const QUIET_LEVEL: f64 = 0.5;
/// How many answers of a new version it takes to say that nothing speaks against it.
const ANSWERS_MIN: u64 = 20;
/// How often windows of the comparison are closed, in milliseconds.
const WINDOW_MS: u64 = 500;

/// What there is of the two versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The slots of endpoints of the new version.
    pub new_slots: u32,
    /// The requests that run at endpoints of other versions.
    pub old_running: usize,
}

/// Decides the steps of rollouts from what is observed.
///
/// What it keeps may be lost with the leader: shares and ends are replicated, and the comparison
/// starts anew.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    watches: BTreeMap<ServiceName, Watch>,
}

#[derive(Clone, Debug)]
struct Watch {
    ordered_unix_ms: u64,
    comparison: Comparison,
    windows_closed_unix_ms: u64,
}

impl Rollouts {
    /// Takes what was observed of the versions of services.
    pub fn observe(&mut self, state: &State, observations: &Observations) {
        for (key, observation) in observations {
            let Some(record) = running(state, &key.service) else { continue };
            let side = if key.version == record.order.target { Side::New } else { Side::Old };
            self.add(record, side, &key.route, *observation);
        }
    }

    fn add(&mut self, record: &RolloutRecord, side: Side, route: &Route, observation: Observation) {
        self.watch(record).comparison.add(side, route, observation);
    }

    fn watch(&mut self, record: &RolloutRecord) -> &mut Watch {
        let ordered_unix_ms = record.order.now_unix_ms;
        let new = || Watch {
            ordered_unix_ms,
            comparison: Comparison::default(),
            windows_closed_unix_ms: ordered_unix_ms,
        };
        let watch = self.watches.entry(record.order.service.clone()).or_insert_with(new);
        if watch.ordered_unix_ms != ordered_unix_ms {
            *watch = new();
        }
        watch
    }

    /// Decides the steps that are due now.
    pub fn tick(
        &mut self,
        now_unix_ms: u64,
        state: &State,
        versions: impl Fn(&RolloutRecord) -> Versions,
    ) -> Vec<RolloutStep> {
        self.watches.retain(|service, _| running(state, service).is_some());
        let records = state.rollouts.values();
        let records = records.filter(|record| record.state == RolloutState::Running);
        let mut steps = Vec::new();
        for record in records {
            let watch = self.watch(record);
            if now_unix_ms >= watch.windows_closed_unix_ms + WINDOW_MS {
                watch.comparison.close_windows();
                watch.windows_closed_unix_ms = now_unix_ms;
            }
            let Some(next) = decide(now_unix_ms, record, watch, versions(record)) else { continue };
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

struct Next {
    state: RolloutState,
    share_permille: u32,
    reason: SmolStr,
}

impl Next {
    fn back(reason: SmolStr) -> Option<Self> {
        Some(Self { state: RolloutState::RolledBack, share_permille: 0, reason })
    }
}

fn decide(
    now_unix_ms: u64,
    record: &RolloutRecord,
    watch: &Watch,
    versions: Versions,
) -> Option<Next> {
    let summary = || watch.comparison.summary();
    if let Verdict::Bad(reason) = watch.comparison.verdict() {
        return Next::back(reason);
    }
    let left_ms = (record.order.now_unix_ms + record.order.duration_ms).saturating_sub(now_unix_ms);
    let is_quiet = watch.comparison.alarm_level() < QUIET_LEVEL
        && watch.comparison.new_requests() >= ANSWERS_MIN;
    if record.share_permille == WHOLE_PERMILLE {
        let is_done = versions.old_running == 0 || left_ms <= END_MS;
        let reason = format_smolstr!("done: {}", summary());
        let state = RolloutState::Completed;
        return is_done.then_some(Next { state, share_permille: WHOLE_PERMILLE, reason });
    }
    if left_ms <= END_MS {
        return Next::back(format_smolstr!("not known to be good in time: {}", summary()));
    }
    if versions.new_slots == 0 {
        return None;
    }
    let last_ms = LAST_MS.min(record.order.duration_ms * LAST_PERMILLE / 1_000);
    let (share_permille, reason) = if left_ms <= last_ms + END_MS && is_quiet {
        (WHOLE_PERMILLE, format_smolstr!("nothing speaks against it: {}", summary()))
    } else if record.share_permille == 0 {
        (CANARY_PERMILLE, "endpoints of the new version are there".into())
    } else {
        return None;
    };
    Some(Next { state: RolloutState::Running, share_permille, reason })
}
