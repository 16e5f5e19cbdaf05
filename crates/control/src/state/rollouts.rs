//! Operators' orders to move a service to a version, and how they stand.

use super::State;
use lycheehub_types::{ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How many versions that were taken back are remembered for a service: platforms stop their
/// endpoints some seconds later.
const BARRED_MAX: usize = 8;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that its endpoints are to have.
    pub target: Version,
    /// How long the rollout may take, in milliseconds.
    pub duration_ms: u64,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// How a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions may get requests.
    Running,
    /// Only the new version gets requests.
    Completed,
    /// Only the old version gets requests.
    RolledBack,
}

/// The newest rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The index of the command that changed it last.
    pub revision: u64,
    /// The order.
    pub order: RolloutOrder,
    /// How it stands.
    pub state: RolloutState,
    /// The share of requests for the new version while it is running, in thousandths.
    pub share_permille: u32,
    /// When it ended, in milliseconds since the Unix epoch; 0 while it is running.
    pub ended_unix_ms: u64,
    /// Versions that were taken back before, the last ones; they get nothing unless they are ordered
    /// again.
    pub barred: Vec<Version>,
}

/// A step of a rollout, as the leader's controller decides it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: ServiceName,
    /// The revision of the record that the step was decided by.
    pub after_revision: u64,
    /// How the rollout stands from now on.
    pub state: RolloutState,
    /// The share of requests for the new version, in thousandths.
    pub share_permille: u32,
    /// Why, with figures.
    pub reason: SmolStr,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

impl State {
    /// Takes an order; one for the version that was ordered last changes nothing.
    pub(super) fn start_rollout(&mut self, index: u64, order: RolloutOrder) {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|record| record.order.target == order.target) {
            return;
        }
        let mut barred = known.map_or_else(Vec::new, |record| record.barred.clone());
        if let Some(record) = known.filter(|record| record.state == RolloutState::RolledBack) {
            barred.push(record.order.target.clone());
        }
        barred.retain(|version| *version != order.target);
        let old = barred.len().saturating_sub(BARRED_MAX);
        barred.drain(..old);
        self.revision = index;
        let record = RolloutRecord {
            revision: index,
            order,
            state: RolloutState::Running,
            share_permille: 0,
            ended_unix_ms: 0,
            barred,
        };
        self.rollouts.insert(record.order.service.clone(), record);
    }

    /// Takes a step, unless it was decided by an older record; tells whether it was taken.
    pub(super) fn step_rollout(&mut self, index: u64, step: &RolloutStep) -> bool {
        let Some(record) = self.rollouts.get_mut(&step.service) else { return false };
        if record.revision != step.after_revision || record.state != RolloutState::Running {
            return false;
        }
        self.revision = index;
        record.revision = index;
        record.state = step.state;
        record.share_permille = step.share_permille;
        if step.state != RolloutState::Running {
            record.ended_unix_ms = step.now_unix_ms;
        }
        true
    }
}
