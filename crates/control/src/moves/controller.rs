//! The leader's move controller, which decides the next step of each move.

use super::plan::{MIN_STEP_INTERVAL_MS, SHARES_PERMILLE};
use super::sequential::{Comparison, Side, Verdict};
use super::{Observations, Plan};
use crate::state::{MoveRecord, MoveStep, Phase, State};
use lycheehub_estate::MoveState;
use lycheehub_types::{ServiceName, Version};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// How often comparison windows with little traffic are closed, in milliseconds.
const WINDOW_INTERVAL_MS: u64 = 5_000;
/// A step that is due but not cleared is taken only while the alarm is below this fraction of its
/// threshold.
const QUIET_ALARM_LEVEL: f64 = 0.5;
/// The number of canary requests before a low-traffic service falls back to the regular canary
/// share.
const SPARSE_CANARY_REQUESTS: u64 = 20;
/// The canary share of a low-traffic service until it has had [`SPARSE_CANARY_REQUESTS`], in
/// thousandths.
const SPARSE_CANARY_PERMILLE: u32 = 100;
/// The request rate below which traffic counts as low, per second.
const SPARSE_RATE: f64 = 5.0;

/// All traffic, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// The slots of live endpoints, by service and version.
pub type SlotsByVersion = BTreeMap<(ServiceName, Version), u32>;

/// Decides the steps of moves from the observed outcomes.
///
/// Its state need not survive a leader change: phases, shares and reverts are replicated, and the
/// comparison starts over.
#[derive(Clone, Debug, Default)]
pub struct MoveController {
    moves: BTreeMap<SmolStr, MoveTracker>,
}

#[derive(Clone, Debug)]
struct MoveTracker {
    comparison: Comparison,
    /// The step for which the clearing test was last restarted.
    clearing_step: u64,
    windows_closed_unix_ms: u64,
    since_unix_ms: u64,
    requests: u64,
    trip_reason: Option<SmolStr>,
}

impl MoveTracker {
    fn new(now_unix_ms: u64) -> Self {
        Self {
            comparison: Comparison::default(),
            clearing_step: 0,
            windows_closed_unix_ms: now_unix_ms,
            since_unix_ms: now_unix_ms,
            requests: 0,
            trip_reason: None,
        }
    }

    fn request_rate(&self, now_unix_ms: u64) -> f64 {
        const MIN_ELAPSED_MS: u64 = 1_000;
        let seconds =
            now_unix_ms.saturating_sub(self.since_unix_ms).max(MIN_ELAPSED_MS) as f64 / 1e3;
        self.requests as f64 / seconds
    }
}

impl MoveController {
    /// Adds the outcomes observed by instances.
    pub fn observe(&mut self, now_unix_ms: u64, state: &State, observations: &Observations) {
        for (id, record) in state.moves.iter().filter(|(_, record)| !record.phase.is_final()) {
            let tracker =
                self.moves.entry(id.clone()).or_insert_with(|| MoveTracker::new(now_unix_ms));
            for (key, observation) in observations {
                if key.service != record.spec.service {
                    continue;
                }
                tracker.requests += observation.requests;
                if key.version == record.spec.to {
                    tracker.comparison.add(Side::New, &key.route, *observation);
                } else if key.version == record.from {
                    tracker.comparison.add(Side::Old, &key.route, *observation);
                }
            }
        }
    }

    /// Records that an instance stopped sending requests to a move's version, with the reason.
    pub fn trip(&mut self, now_unix_ms: u64, id: &SmolStr, reason: SmolStr) {
        let tracker = self.moves.entry(id.clone()).or_insert_with(|| MoveTracker::new(now_unix_ms));
        tracker.trip_reason.get_or_insert(reason);
    }

    /// Returns the steps that are due now.
    pub fn tick(
        &mut self,
        now_unix_ms: u64,
        state: &State,
        supply: &SlotsByVersion,
    ) -> Vec<MoveStep> {
        self.moves
            .retain(|id, _| state.moves.get(id).is_some_and(|record| !record.phase.is_final()));
        let mut steps = Vec::new();
        for (id, record) in state.moves.iter().filter(|(_, record)| !record.phase.is_final()) {
            let tracker =
                self.moves.entry(id.clone()).or_insert_with(|| MoveTracker::new(now_unix_ms));
            tracker.comparison.advance(now_unix_ms);
            if now_unix_ms >= tracker.windows_closed_unix_ms + WINDOW_INTERVAL_MS {
                tracker.comparison.close_windows();
                tracker.windows_closed_unix_ms = now_unix_ms;
            }
            if tracker.clearing_step != record.step {
                tracker.comparison.restart_clearing();
                tracker.clearing_step = record.step;
            }
            let Some(next) = decide(now_unix_ms, record, tracker, supply) else { continue };
            steps.push(MoveStep {
                id: id.clone(),
                after_step: record.step,
                phase: next.phase,
                share_permille: next.share_permille,
                reason: next.reason,
                now_unix_ms,
            });
        }
        steps
    }
}

struct NextStep {
    phase: Phase,
    share_permille: u32,
    reason: SmolStr,
}

fn decide(
    now_unix_ms: u64,
    record: &MoveRecord,
    tracker: &MoveTracker,
    supply: &SlotsByVersion,
) -> Option<NextStep> {
    if let Some(reason) = revert_reason(now_unix_ms, record, tracker) {
        return Some(NextStep { phase: Phase::Reverted, share_permille: 0, reason });
    }
    if record.spec.state == MoveState::Paused {
        return None;
    }
    match record.phase {
        Phase::Planned | Phase::Loading => start_canary(now_unix_ms, record, tracker, supply),
        Phase::Canary | Phase::Ramp => increase_share(now_unix_ms, record, tracker, supply),
        Phase::Soak => finish(now_unix_ms, record, tracker),
        Phase::Done | Phase::Reverted | Phase::Superseded => None,
    }
}

fn revert_reason(now_unix_ms: u64, record: &MoveRecord, tracker: &MoveTracker) -> Option<SmolStr> {
    if record.spec.state == MoveState::Aborted {
        return Some("taken back by the operator".into());
    }
    if let Verdict::Regressed(reason) = tracker.comparison.verdict() {
        return Some(reason);
    }
    let suspect = tracker.comparison.alarm_level() >= QUIET_ALARM_LEVEL;
    if suspect && now_unix_ms >= record.spec.by_unix_ms {
        return Some(format_smolstr!(
            "suspect when its time was over: {}",
            tracker.comparison.summary()
        ));
    }
    tracker.trip_reason.clone()
}

fn slots(record: &MoveRecord, version: &Version, supply: &SlotsByVersion) -> u32 {
    supply.get(&(record.spec.service.clone(), version.clone())).copied().unwrap_or(0)
}

fn start_canary(
    now_unix_ms: u64,
    record: &MoveRecord,
    tracker: &MoveTracker,
    supply: &SlotsByVersion,
) -> Option<NextStep> {
    let loaded = slots(record, &record.spec.to, supply) > 0;
    if loaded {
        let share_permille = canary_share(now_unix_ms, tracker);
        let reason = "endpoints of the new version are live".into();
        return Some(NextStep { phase: Phase::Canary, share_permille, reason });
    }
    if record.phase == Phase::Planned {
        let reason = "waits for endpoints of the new version".into();
        return Some(NextStep { phase: Phase::Loading, share_permille: 0, reason });
    }
    None
}

/// Returns the canary share. A low-traffic service starts with a larger share to get its first
/// canary requests sooner.
fn canary_share(now_unix_ms: u64, tracker: &MoveTracker) -> u32 {
    let sparse = tracker.request_rate(now_unix_ms) < SPARSE_RATE;
    if sparse && tracker.comparison.new_requests() < SPARSE_CANARY_REQUESTS {
        return SPARSE_CANARY_PERMILLE;
    }
    SHARES_PERMILLE[0]
}

fn increase_share(
    now_unix_ms: u64,
    record: &MoveRecord,
    tracker: &MoveTracker,
    supply: &SlotsByVersion,
) -> Option<NextStep> {
    if slots(record, &record.spec.to, supply) == 0 {
        return None;
    }
    if now_unix_ms < record.step_unix_ms + MIN_STEP_INTERVAL_MS {
        return None;
    }
    if record.phase == Phase::Canary {
        let share_permille = canary_share(now_unix_ms, tracker);
        if share_permille < record.share_permille {
            let reason = "the canary has had its first requests".into();
            return Some(NextStep { phase: Phase::Canary, share_permille, reason });
        }
    }
    let step_index = next_step_index(record)?;
    let reason = step_reason(now_unix_ms, record, tracker, step_index)?;
    let share_permille = SHARES_PERMILLE[step_index];
    if !has_capacity(record, share_permille, supply) {
        return None;
    }
    let last = step_index + 1 == SHARES_PERMILLE.len();
    let phase = if last { Phase::Soak } else { Phase::Ramp };
    Some(NextStep { phase, share_permille, reason })
}

fn next_step_index(record: &MoveRecord) -> Option<usize> {
    if record.phase == Phase::Canary {
        return Some(1);
    }
    SHARES_PERMILLE.iter().position(|share| *share > record.share_permille)
}

fn step_reason(
    now_unix_ms: u64,
    record: &MoveRecord,
    tracker: &MoveTracker,
    step_index: usize,
) -> Option<SmolStr> {
    let summary = tracker.comparison.summary();
    if tracker.comparison.verdict() == Verdict::Cleared {
        return Some(format_smolstr!("cleared: {summary}"));
    }
    let plan = Plan::new(record.begins_unix_ms, record.spec.by_unix_ms);
    let due = now_unix_ms >= plan.step_due_unix_ms(step_index);
    let quiet = tracker.comparison.alarm_level() < QUIET_ALARM_LEVEL;
    (due && quiet).then(|| format_smolstr!("due by the plan: {summary}"))
}

/// Tells whether the new version's endpoints can carry `share_permille` of the traffic: their
/// fraction of all slots must be at least half of that share.
fn has_capacity(record: &MoveRecord, share_permille: u32, supply: &SlotsByVersion) -> bool {
    let new = u64::from(slots(record, &record.spec.to, supply));
    let old = u64::from(slots(record, &record.from, supply));
    new * 2_000 >= (new + old) * u64::from(share_permille)
}

fn finish(now_unix_ms: u64, record: &MoveRecord, tracker: &MoveTracker) -> Option<NextStep> {
    let plan =
        Plan::new(tracker.since_unix_ms.min(record.phase_since_unix_ms), record.spec.by_unix_ms);
    let soaked = now_unix_ms >= record.phase_since_unix_ms + plan.soak_ms();
    let due = now_unix_ms >= record.spec.by_unix_ms;
    if !soaked && !due {
        return None;
    }
    let reason = format_smolstr!("done: {}", tracker.comparison.summary());
    Some(NextStep { phase: Phase::Done, share_permille: FULL_PERMILLE, reason })
}
