//! Operators' orders to move a service to a version, and how they stand.

use super::State;
use lycheehub_types::{ServiceName, Version};
use serde::{Deserialize, Serialize};

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
}

impl State {
    /// Takes an order; one for the version that was ordered last changes nothing.
    pub(super) fn start_rollout(&mut self, index: u64, order: RolloutOrder) {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|record| record.order.target == order.target) {
            return;
        }
        self.revision = index;
        let record = RolloutRecord { revision: index, order, state: RolloutState::Running };
        self.rollouts.insert(record.order.service.clone(), record);
    }
}
