//! Rollouts: operators' orders to move a service to a version within seconds.

use super::State;
use lycheehub_types::{ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The number of rolled-back versions that are remembered per service. Platforms stop the endpoints
/// of such versions only some seconds later.
const BARRED_MAX: usize = 8;

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to roll out.
    pub target: Version,
    /// The time limit of the rollout, in milliseconds.
    pub duration_ms: u64,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// What a rollout has shown so far. Leaders state it with each step, so that the next one knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// When a leader stated it, in milliseconds since the Unix epoch; 0 if none has.
    pub stated_unix_ms: u64,
    /// The number of requests to the new version since the order.
    pub new_requests: u64,
    /// The number of requests to other versions since the order.
    pub old_requests: u64,
    /// The number of trials that the version has passed since it last failed one.
    pub passed: u32,
    /// The number of trials that it has failed since it last passed one.
    pub failed: u32,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions may receive requests.
    Running,
    /// Only the new version receives requests.
    Completed,
    /// Only the old version receives requests.
    RolledBack,
}

/// The latest rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The index of the last command that changed the record.
    pub revision: u64,
    /// The operator's order.
    pub order: RolloutOrder,
    /// The state of the rollout.
    pub state: RolloutState,
    /// The share of requests for the new version while it is running, in thousandths.
    pub share_permille: u32,
    /// When it ended, in milliseconds since the Unix epoch; 0 while it is running.
    pub ended_unix_ms: u64,
    /// The last rolled-back versions. They receive no requests unless they are ordered again.
    pub barred: Vec<Version>,
    /// What it has shown so far. Stored after the other parts.
    #[serde(skip)]
    pub evidence: RolloutEvidence,
}

/// A step of a rollout, decided by the leader's controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: ServiceName,
    /// The revision of the record that the decision is based on.
    pub after_revision: u64,
    /// The new state of the rollout.
    pub state: RolloutState,
    /// The share of requests for the new version, in thousandths.
    pub share_permille: u32,
    /// The reason for the step, with figures.
    pub reason: SmolStr,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
    /// What the rollout has shown so far. Stored after the command.
    #[serde(skip)]
    pub evidence: RolloutEvidence,
}

impl State {
    /// Starts a rollout. An order for the current target changes nothing.
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
        let excess = barred.len().saturating_sub(BARRED_MAX);
        barred.drain(..excess);
        self.revision = index;
        let record = RolloutRecord {
            revision: index,
            order,
            state: RolloutState::Running,
            share_permille: 0,
            ended_unix_ms: 0,
            barred,
            evidence: RolloutEvidence::default(),
        };
        self.rollouts.insert(record.order.service.clone(), record);
    }

    /// Applies a step, unless the record has changed since the decision; tells whether it was
    /// applied.
    pub(super) fn step_rollout(&mut self, index: u64, step: &RolloutStep) -> bool {
        let Some(record) = self.rollouts.get_mut(&step.service) else { return false };
        if record.revision != step.after_revision || record.state != RolloutState::Running {
            return false;
        }
        self.revision = index;
        record.revision = index;
        record.state = step.state;
        record.share_permille = step.share_permille;
        record.evidence = step.evidence;
        if step.state != RolloutState::Running {
            record.ended_unix_ms = step.now_unix_ms;
        }
        true
    }

    /// Returns what running rollouts have shown so far.
    pub(super) fn rollout_evidence(&self) -> BTreeMap<ServiceName, RolloutEvidence> {
        let records = self.rollouts.iter().filter(|(_, record)| {
            record.state == RolloutState::Running && record.evidence != RolloutEvidence::default()
        });
        records.map(|(service, record)| (service.clone(), record.evidence)).collect()
    }

    pub(super) fn set_rollout_evidence(&mut self, all: BTreeMap<ServiceName, RolloutEvidence>) {
        for (service, evidence) in all {
            if let Some(record) = self.rollouts.get_mut(&service) {
                record.evidence = evidence;
            }
        }
    }
}
