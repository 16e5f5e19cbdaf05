//! Reconciles the voters with the live replicas, removes expired records, and stops this instance.

use super::{Core, Node};
use lycheehub_consensus::{Members, ReplicaId};
use lycheehub_types::{InstanceName, InstanceRecord};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How long a stopping instance stays for the last report and records to arrive, in milliseconds.
const HANDOVER_MS: u64 = 300;
/// Interval at which a stopping voter checks whether it has been replaced, in milliseconds.
const REPLACEMENT_CHECK_MS: u64 = 50;

impl Node {
    pub(super) fn tick_membership(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let members = {
            let mut core = self.core.borrow_mut();
            core.registry.remove_expired(now_ms);
            core.members(now_ms)
        };
        self.drive(|driver, now_ms| {
            let before = driver.replica.config().clone();
            let actions = driver.replica.reconcile_voters(now_ms, &members);
            if *driver.replica.config() != before {
                let voters = driver.replica.config().voters.len() as u64;
                spdlog::info!("voters change", kv: { voters, config:? = driver.replica.config() });
            }
            actions
        });
    }

    /// Hands this instance's duties over before the process ends: transfers leadership, sends the
    /// last report and records, and waits until the replica is no longer a voter if another one can
    /// take its place, for [`replacement_timeout_ms`](crate::Settings::replacement_timeout_ms) at most.
    pub(super) async fn stop(self: Rc<Self>) {
        let give_up_ms = self.clock.now_ms() + self.settings.replacement_timeout_ms;
        self.core.borrow_mut().own_record.stopping = true;
        self.report();
        self.send_urgent_heartbeat();
        self.transfer_leadership();
        Timer::after(Duration::from_millis(HANDOVER_MS)).await;
        while self.awaits_replacement() {
            if self.clock.now_ms() >= give_up_ms {
                spdlog::warn!("stopping as a voter: no other replica has taken its place in time");
                return;
            }
            // It may have been elected again, and the leader may not have its record yet.
            self.transfer_leadership();
            self.exchange_with_leader().await;
            Timer::after(Duration::from_millis(REPLACEMENT_CHECK_MS)).await;
        }
    }

    fn transfer_leadership(self: &Rc<Self>) {
        let members = self.core.borrow().members(self.clock.now_ms());
        self.drive(|driver, now_ms| driver.replica.transfer_leadership(now_ms, &members));
    }

    fn awaits_replacement(&self) -> bool {
        let core = self.core.borrow();
        let members = core.members(self.clock.now_ms());
        core.replica().is_some_and(|replica| replica.awaits_replacement(&members))
    }

    async fn exchange_with_leader(self: &Rc<Self>) {
        let leader = self.core.borrow().likely_leader();
        if let Some(leader) = leader.filter(|leader| *leader != self.settings.instance) {
            self.clone().exchange(leader).await;
        }
    }
}

impl Core {
    /// Returns what is known of the replicas of the group.
    fn members(&self, now_ms: u64) -> Members {
        let replica = |record: &InstanceRecord| -> Option<(ReplicaId, InstanceName)> {
            let id = ReplicaId(record.replica_id);
            (id != ReplicaId::default()).then(|| (id, record.instance.clone()))
        };
        let live = self.registry.live_instances(now_ms);
        let stopping = self.registry.instances().filter(|known| known.record.stopping);
        Members {
            live: live.filter_map(|known| replica(&known.record)).collect(),
            stopping: stopping.filter_map(|known| Some(replica(&known.record)?.0)).collect(),
        }
    }
}
