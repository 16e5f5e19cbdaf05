//! Reconciles the voters with the live replicas and removes expired records.

use super::Node;
use lycheehub_consensus::ReplicaId;
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Node {
    pub(super) fn tick_membership(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let live: BTreeMap<ReplicaId, InstanceName> = {
            let mut core = self.core.borrow_mut();
            core.registry.remove_expired(now_ms);
            let live = core.registry.live_instances(now_ms);
            live.filter(|known| known.record.replica_id != 0)
                .map(|known| (ReplicaId(known.record.replica_id), known.record.instance.clone()))
                .collect()
        };
        self.drive(|driver, now_ms| {
            let before = driver.replica.config().clone();
            let actions = driver.replica.reconcile_voters(now_ms, &live);
            if *driver.replica.config() != before {
                let voters = driver.replica.config().voters.len() as u64;
                spdlog::info!("voters change", kv: { voters, config:? = driver.replica.config() });
            }
            actions
        });
    }
}
