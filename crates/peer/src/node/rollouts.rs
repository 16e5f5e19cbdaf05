//! Runs the rollouts of services while this instance leads.

use super::{Core, Node};
use crate::rollouts::observations;
use lycheehub_control::Command;
use lycheehub_control::moves::VersionCapacity;
use lycheehub_control::state::{RolloutRecord, RolloutStep};
use lycheehub_dispatch::Dispatcher;
use lycheehub_types::EndpointRecord;
use std::rc::Rc;

/// Interval between decisions on rollout steps, in milliseconds.
pub(super) const ROLLOUT_TICK_MS: u64 = 100;

impl Node {
    /// Compares the versions of services and proposes the rollout steps that are due.
    pub(super) fn tick_rollouts(self: &Rc<Self>) {
        let now_unix_ms = self.clock.now_unix_ms();
        let steps = {
            let mut dispatch = self.dispatch.borrow_mut();
            let Some(dispatch) = dispatch.as_mut() else { return };
            let core = self.core.borrow();
            let observed = observations(dispatch.dispatcher.take_samples());
            dispatch.rollouts.observe(&core.state, &observed);
            let dispatcher = &dispatch.dispatcher;
            let capacity = |record: &RolloutRecord| capacity(&core, dispatcher, record);
            dispatch.rollouts.tick(now_unix_ms, &core.state, capacity)
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

/// Returns the slots of the versions, and their requests so far.
fn capacity(core: &Core, dispatcher: &Dispatcher, record: &RolloutRecord) -> VersionCapacity {
    let order = &record.order;
    let slots = |matches: &dyn Fn(&EndpointRecord) -> bool| {
        let endpoints = core.directory.live().filter(|endpoint| {
            endpoint.service == order.service && !endpoint.leaving && matches(endpoint)
        });
        endpoints.map(|endpoint| endpoint.slots).sum()
    };
    let is_new = |endpoint: &EndpointRecord| endpoint.version == order.target;
    let is_old =
        |endpoint: &EndpointRecord| !is_new(endpoint) && !record.barred.contains(&endpoint.version);
    let placed = dispatcher.placed_requests(&order.service);
    VersionCapacity {
        new_slots: slots(&is_new),
        cold_slots: slots(&|endpoint| is_new(endpoint) && endpoint.cold_ms > 0),
        old_slots: slots(&is_old),
        new_placed: placed.new,
        old_placed: placed.old,
    }
}
