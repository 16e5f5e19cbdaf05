//! The leader's controller: decides the next step of each move.

use super::plan::{DWELL_MIN_MS, SHARES_PERMILLE};
use super::sequential::{Comparison, Side, Verdict};
use super::{Observations, Plan};
use crate::state::{MoveRecord, MoveStep, Phase, State};
use lycheehub_estate::MoveState;
use lycheehub_types::{ServiceName, Version};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

/// How often windows are closed for routes with little traffic, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Steps without proof are taken only while the alarm is below this part of its threshold.
const QUIET_LEVEL: f64 = 0.5;
/// How many requests a canary of a service with little traffic gets ahead of its share.
const CANARY_REQUESTS: u64 = 20;
/// The share of a canary that has not had [`CANARY_REQUESTS`] yet at low traffic, in thousandths.
const SPARSE_CANARY_PERMILLE: u32 = 100;
/// The rate of requests below which traffic counts as low, per second.
const SPARSE_RATE: f64 = 5.0;

/// All traffic, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// The slots of live endpoints, by service and version.
pub type Supply = BTreeMap<(ServiceName, Version), u32>;

/// Decides the steps of moves from what is observed.
///
/// All that it keeps may be lost with the leader: phases, shares and reverts are replicated, and
/// the comparison starts anew.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    moves: BTreeMap<SmolStr, Watch>,
}

#[derive(Clone, Debug)]
struct Watch {
    comparison: Comparison,
    /// The step at which the test for more traffic was last restarted.
    cleared_from_step: u64,
    windows_closed_unix_ms: u64,
    since_unix_ms: u64,
    requests: u64,
    tripped: Option<SmolStr>,
}

impl Watch {
    fn new(now_unix_ms: u64) -> Self {
        Self {
            comparison: Comparison::default(),
            cleared_from_step: 0,
            windows_closed_unix_ms: now_unix_ms,
            since_unix_ms: now_unix_ms,
            requests: 0,
            tripped: None,
        }
    }

    fn request_rate(&self, now_unix_ms: u64) -> f64 {
        const SETTLING_MS: u64 = 1_000;
        let seconds = now_unix_ms.saturating_sub(self.since_unix_ms).max(SETTLING_MS) as f64 / 1e3;
        self.requests as f64 / seconds
    }
}

impl Controller {
    /// Takes what instances observed.
    pub fn observe(&mut self, now_unix_ms: u64, state: &State, observations: &Observations) {
        for (id, record) in state.moves.iter().filter(|(_, record)| !record.phase.is_final()) {
            let watch = self.moves.entry(id.clone()).or_insert_with(|| Watch::new(now_unix_ms));
            for (key, observation) in observations {
                if key.service != record.spec.service {
                    continue;
                }
                watch.requests += observation.requests;
                if key.version == record.spec.to {
                    watch.comparison.add(Side::New, &key.route, *observation);
                } else if key.version == record.from {
                    watch.comparison.add(Side::Old, &key.route, *observation);
                }
            }
        }
    }

    /// Takes an instance's word that it stopped sending to a move's version, with the reason.
    pub fn trip(&mut self, now_unix_ms: u64, id: &SmolStr, reason: SmolStr) {
        let watch = self.moves.entry(id.clone()).or_insert_with(|| Watch::new(now_unix_ms));
        watch.tripped.get_or_insert(reason);
    }

    /// Decides the steps that are due now.
    pub fn tick(&mut self, now_unix_ms: u64, state: &State, supply: &Supply) -> Vec<MoveStep> {
        self.moves
            .retain(|id, _| state.moves.get(id).is_some_and(|record| !record.phase.is_final()));
        let mut steps = Vec::new();
        for (id, record) in state.moves.iter().filter(|(_, record)| !record.phase.is_final()) {
            let watch = self.moves.entry(id.clone()).or_insert_with(|| Watch::new(now_unix_ms));
            if now_unix_ms >= watch.windows_closed_unix_ms + WINDOW_MS {
                watch.comparison.close_windows();
                watch.windows_closed_unix_ms = now_unix_ms;
            }
            if watch.cleared_from_step != record.step {
                watch.comparison.restart_clearing();
                watch.cleared_from_step = record.step;
            }
            let Some(next) = decide(now_unix_ms, record, watch, supply) else { continue };
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

struct Next {
    phase: Phase,
    share_permille: u32,
    reason: SmolStr,
}

fn decide(now_unix_ms: u64, record: &MoveRecord, watch: &Watch, supply: &Supply) -> Option<Next> {
    if let Some(reason) = revert_reason(now_unix_ms, record, watch) {
        return Some(Next { phase: Phase::Reverted, share_permille: 0, reason });
    }
    if record.spec.state == MoveState::Paused {
        return None;
    }
    match record.phase {
        Phase::Planned | Phase::Loading => begin(now_unix_ms, record, watch, supply),
        Phase::Canary | Phase::Ramp => step_up(now_unix_ms, record, watch, supply),
        Phase::Soak => finish(now_unix_ms, record, watch),
        Phase::Done | Phase::Reverted | Phase::Superseded => None,
    }
}

fn revert_reason(now_unix_ms: u64, record: &MoveRecord, watch: &Watch) -> Option<SmolStr> {
    if record.spec.state == MoveState::Aborted {
        return Some("taken back by the operator".into());
    }
    if let Verdict::Bad(reason) = watch.comparison.verdict() {
        return Some(reason);
    }
    let suspect = watch.comparison.alarm_level() >= QUIET_LEVEL;
    if suspect && now_unix_ms >= record.spec.by_unix_ms {
        return Some(format_smolstr!(
            "suspect when its time was over: {}",
            watch.comparison.summary()
        ));
    }
    watch.tripped.clone()
}

fn slots(record: &MoveRecord, version: &Version, supply: &Supply) -> u32 {
    supply.get(&(record.spec.service.clone(), version.clone())).copied().unwrap_or(0)
}

fn begin(now_unix_ms: u64, record: &MoveRecord, watch: &Watch, supply: &Supply) -> Option<Next> {
    let loaded = slots(record, &record.spec.to, supply) > 0;
    if loaded {
        let share_permille = canary_share(now_unix_ms, watch);
        let reason = "endpoints of the new version are live".into();
        return Some(Next { phase: Phase::Canary, share_permille, reason });
    }
    if record.phase == Phase::Planned {
        let reason = "waits for endpoints of the new version".into();
        return Some(Next { phase: Phase::Loading, share_permille: 0, reason });
    }
    None
}

/// A service with little traffic gets its first canary requests sooner.
fn canary_share(now_unix_ms: u64, watch: &Watch) -> u32 {
    let sparse = watch.request_rate(now_unix_ms) < SPARSE_RATE;
    if sparse && watch.comparison.new_requests() < CANARY_REQUESTS {
        return SPARSE_CANARY_PERMILLE;
    }
    SHARES_PERMILLE[0]
}

fn step_up(now_unix_ms: u64, record: &MoveRecord, watch: &Watch, supply: &Supply) -> Option<Next> {
    if slots(record, &record.spec.to, supply) == 0 {
        return None;
    }
    if now_unix_ms < record.step_unix_ms + DWELL_MIN_MS {
        return None;
    }
    if record.phase == Phase::Canary {
        let share_permille = canary_share(now_unix_ms, watch);
        if share_permille < record.share_permille {
            let reason = "the canary has had its first requests".into();
            return Some(Next { phase: Phase::Canary, share_permille, reason });
        }
    }
    let number = next_number(record)?;
    let reason = step_reason(now_unix_ms, record, watch, number)?;
    let share_permille = SHARES_PERMILLE[number];
    if !can_carry(record, share_permille, supply) {
        return None;
    }
    let last = number + 1 == SHARES_PERMILLE.len();
    let phase = if last { Phase::Soak } else { Phase::Ramp };
    Some(Next { phase, share_permille, reason })
}

fn next_number(record: &MoveRecord) -> Option<usize> {
    if record.phase == Phase::Canary {
        return Some(1);
    }
    SHARES_PERMILLE.iter().position(|share| *share > record.share_permille)
}

fn step_reason(
    now_unix_ms: u64,
    record: &MoveRecord,
    watch: &Watch,
    number: usize,
) -> Option<SmolStr> {
    let summary = watch.comparison.summary();
    if watch.comparison.verdict() == Verdict::Cleared {
        return Some(format_smolstr!("cleared: {summary}"));
    }
    let plan = Plan::new(record.begins_unix_ms, record.spec.by_unix_ms);
    let due = now_unix_ms >= plan.step_due_unix_ms(number);
    let quiet = watch.comparison.alarm_level() < QUIET_LEVEL;
    (due && quiet).then(|| format_smolstr!("due by the plan: {summary}"))
}

/// Tells whether the new version's endpoints can carry `share_permille` of the traffic: they have at
/// least half of that share of all slots.
fn can_carry(record: &MoveRecord, share_permille: u32, supply: &Supply) -> bool {
    let new = u64::from(slots(record, &record.spec.to, supply));
    let old = u64::from(slots(record, &record.from, supply));
    new * 2_000 >= (new + old) * u64::from(share_permille)
}

fn finish(now_unix_ms: u64, record: &MoveRecord, watch: &Watch) -> Option<Next> {
    let plan =
        Plan::new(watch.since_unix_ms.min(record.phase_since_unix_ms), record.spec.by_unix_ms);
    let soaked = now_unix_ms >= record.phase_since_unix_ms + plan.soak_ms();
    let due = now_unix_ms >= record.spec.by_unix_ms;
    if !soaked && !due {
        return None;
    }
    let reason = format_smolstr!("done: {}", watch.comparison.summary());
    Some(Next { phase: Phase::Done, share_permille: WHOLE_PERMILLE, reason })
}
