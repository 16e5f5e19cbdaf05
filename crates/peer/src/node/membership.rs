//! Looks after the voters: a replica that lost its disk is replaced once the new one has caught up.

use super::Node;
use lycheehub_consensus::{Action, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Node {
    pub(super) fn look_after_membership(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let replicas: BTreeMap<ReplicaId, InstanceName> = {
            let mut core = self.core.borrow_mut();
            core.registry.forget_old(now_ms);
            let live = core.registry.live_instances(now_ms);
            live.filter(|known| known.record.replica_id != 0)
                .map(|known| (ReplicaId(known.record.replica_id), known.record.instance.clone()))
                .collect()
        };
        self.drive(|driver, now_ms| {
            let replica = &mut driver.replica;
            if !replica.is_established() {
                return Vec::new();
            }
            let voters = replica.config().voters.clone();
            let observers = replicas.keys().filter(|id| !voters.contains_key(id)).copied();
            replica.observe(observers);
            let Some((id, name)) = replicas
                .iter()
                .find(|(id, _)| !voters.contains_key(id) && replica.is_caught_up(**id))
            else {
                return Vec::new();
            };
            let lost = voters.iter().find(|(voter, instance)| *instance == name && *voter != id);
            replace(replica, now_ms, lost.map(|(voter, _)| *voter), *id, name)
        });
    }
}

/// Takes the next step of replacing `lost` by `id`: first the lost vote goes, then the new one
/// counts.
fn replace(
    replica: &mut lycheehub_consensus::Replica,
    now_ms: u64,
    lost: Option<ReplicaId>,
    id: ReplicaId,
    name: &InstanceName,
) -> Vec<Action> {
    match lost {
        Some(lost) => {
            spdlog::info!("replica that lost its disk loses its vote", kv: { replica: = lost, instance: = name });
            replica.remove_voter(now_ms, lost)
        }
        None => {
            spdlog::info!("replica gets a vote", kv: { replica: = id, instance: = name });
            replica.add_voter(now_ms, id, name.clone())
        }
    }
}
