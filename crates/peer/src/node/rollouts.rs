//! Runs the rollouts of services while this instance leads.

use super::{Core, Node};
use crate::rollouts::observations;
use lycheehub_control::Command;
use lycheehub_control::moves::VersionCapacity;
use lycheehub_control::state::{RolloutRecord, RolloutStep};
use lycheehub_dispatch::Dispatcher;
use std::rc::Rc;

/// How often the steps of rollouts are decided, in milliseconds.
pub(super) const ROLLOUTS_MS: u64 = 200;

impl Node {
    /// Compares versions, and takes the steps that are due.
    pub(super) fn look_after_rollouts(self: &Rc<Self>) {
        let now_unix_ms = self.clock.now_unix_ms();
        let steps = {
            let mut placing = self.placing.borrow_mut();
            let Some(placing) = placing.as_mut() else { return };
            let core = self.core.borrow();
            let seen = observations(placing.dispatcher.take_samples());
            placing.rollouts.observe(&core.state, &seen);
            let dispatcher = &placing.dispatcher;
            let versions = |record: &RolloutRecord| versions(&core, dispatcher, record);
            placing.rollouts.tick(now_unix_ms, &core.state, versions)
        };
        for step in steps {
            self.step_rollout(step);
        }
    }

    fn step_rollout(self: &Rc<Self>, step: RolloutStep) {
        spdlog::info!("rollout step", kv: {
            service: = step.service,
            state:? = step.state,
            share_permille = u64::from(step.share_permille),
            after_revision = step.after_revision,
            reason: = step.reason,
        });
        let node = self.clone();
        let task = async move {
            let reply = node.propose(Command::StepRollout(step)).await;
            spdlog::debug!("rollout step proposed", kv: { reply:? = reply });
        };
        self.executor.spawn(task).detach();
    }
}

/// Returns what there is of the two versions of a service.
fn versions(core: &Core, dispatcher: &Dispatcher, record: &RolloutRecord) -> VersionCapacity {
    let order = &record.order;
    let new = core.directory.live().filter(|endpoint| {
        endpoint.service == order.service && endpoint.version == order.target && !endpoint.leaving
    });
    VersionCapacity {
        new_slots: new.map(|endpoint| endpoint.slots).sum(),
        old_running: dispatcher.running_count(&order.service, |version| *version != order.target),
    }
}
