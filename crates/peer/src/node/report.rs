//! Reports to the leader, which answers them with slot grants and uses them to decide the steps of
//! moves.

use super::calls::CALL_TIMEOUT_MS;
use super::{Core, Node};
use lycheehub_control::Command;
use lycheehub_control::moves::SlotsByVersion;
use lycheehub_control::placement::{Leadership, LoadOrder};
use lycheehub_control::slots::{GRANT_LEASE_MS, grants_digest};
use lycheehub_types::{EndpointName, EndpointRecord, InstanceName};
use lycheehub_wire::peer_capnp::peer;
use lycheehub_wire::{Report, ReportReply};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Interval between reports to the leader, in milliseconds.
pub(super) const REPORT_MS: u64 = 500;

impl Node {
    /// Sends the current demands and the new observations to the leader.
    pub(super) fn report(self: &Rc<Self>) {
        let leader = {
            let core = self.core.borrow();
            let own = core.is_leader().then(|| self.settings.instance.clone());
            own.or_else(|| core.likely_leader())
        };
        let Some(leader) = leader else { return };
        let report = {
            let mut core = self.core.borrow_mut();
            let now_ms = self.clock.now_ms();
            core.grants.retain(|_, (_, until_ms)| now_ms < *until_ms);
            // Endpoints without demand are left out.
            let wanted = core.demands.endpoints.iter().filter(|(_, demand)| !demand.is_idle());
            Report {
                instance: self.settings.instance.clone(),
                demands: wanted.map(|(name, demand)| (name.clone(), *demand)).collect(),
                grants_digest: grants_digest(
                    core.grants.iter().map(|(name, (slots, _))| (name, *slots)),
                ),
                observations: std::mem::take(&mut core.demands.observations),
                trips: core.demands.trips.clone(),
            }
        };
        self.executor.spawn(self.clone().send_report(leader, report)).detach();
    }

    async fn send_report(self: Rc<Self>, leader: InstanceName, report: Report) {
        let sent_ms = self.clock.now_ms();
        let report_copy = report.clone();
        let reply = if leader == self.settings.instance {
            Ok(self.on_report(report))
        } else {
            let call = |peer: peer::Client| async move {
                let mut request = peer.report_request();
                lycheehub_wire::write_report(&report, request.get().init_report());
                let reply = request.send().promise.await?;
                Ok(ReportReply::try_from(reply.get()?.get_reply()?)?)
            };
            self.call("report", &leader, CALL_TIMEOUT_MS, call).await
        };
        match reply {
            Ok(reply) if reply.taken => self.apply_grants(sent_ms, reply),
            Ok(_) => self.requeue_report(report_copy),
            Err(error) => {
                spdlog::debug!("report lost", kv: { error: });
                self.requeue_report(report_copy);
            }
        }
    }

    /// Adds observations that the leader did not acknowledge to the next report, and looks for the
    /// leader.
    fn requeue_report(self: &Rc<Self>, report: Report) {
        {
            let mut core = self.core.borrow_mut();
            for (key, observation) in report.observations {
                *core.demands.observations.entry(key).or_default() += observation;
            }
            core.leader_hint = None;
        }
        self.find_leader();
    }

    /// Finds the leader by a read, which sets the leader hint. An instance whose replica follows no
    /// leader, or that has no replica, knows the leader only from this hint.
    fn find_leader(self: &Rc<Self>) {
        let node = self.clone();
        let task = async move {
            node.refresh_state().await;
        };
        self.executor.spawn(task).detach();
    }

    /// Applies slot grants; their lease starts when the report was sent.
    fn apply_grants(&self, sent_ms: u64, reply: ReportReply) {
        let mut core = self.core.borrow_mut();
        if reply.same {
            core.grants.values_mut().for_each(|(_, until_ms)| *until_ms = sent_ms + GRANT_LEASE_MS);
        } else if !reply.grants.is_empty() {
            core.grants.clear();
        }
        for (endpoint, slots) in reply.grants {
            core.grants.insert(endpoint, (slots, sent_ms + GRANT_LEASE_MS));
        }
        let now_ms = self.clock.now_ms();
        core.grants.retain(|_, (_, until_ms)| now_ms < *until_ms);
        core.dirty = true;
    }

    /// Handles the report of an instance; rejects it if this instance does not hold the leader
    /// lease.
    pub(crate) fn on_report(&self, report: Report) -> ReportReply {
        let now_ms = self.clock.now_ms();
        let now_unix_ms = self.clock.now_unix_ms();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        if !core.holds_lease(now_ms) {
            return ReportReply::default();
        }
        core.move_controller.observe(now_unix_ms, &core.state, &report.observations);
        for (id, reason) in &report.trips {
            core.move_controller.trip(now_unix_ms, id, reason.clone());
        }
        let prior_grants_expired =
            core.leading_since_ms.is_some_and(|since_ms| now_ms >= since_ms + GRANT_LEASE_MS);
        let grants = if prior_grants_expired {
            allocate_slots(core, now_ms, &report)
        } else {
            BTreeMap::new()
        };
        let same = grants_digest(grants.iter().map(|(name, slots)| (name, *slots)))
            == report.grants_digest;
        let grants = if same { BTreeMap::new() } else { grants };
        ReportReply { taken: true, grants, same }
    }

    /// Runs the controllers of moves and placement while this instance holds the leader lease.
    pub(super) fn run_controllers(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let (steps, orders) = {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            if !core.holds_lease(now_ms) {
                return;
            }
            let supply = slots_by_version(core, now_ms);
            let steps = core.move_controller.tick(self.clock.now_unix_ms(), &core.state, &supply);
            (steps, due_load_orders(core, now_ms))
        };
        for order in orders {
            spdlog::info!("endpoint ordered to load", kv: {
                endpoint: = order.endpoint,
                version: = order.version,
                term = order.fence.term,
                counter = order.fence.counter,
            });
            self.orders.send(order);
        }
        for step in steps {
            spdlog::info!("move steps", kv: {
                move_id: = step.id,
                phase:? = step.phase,
                share_permille = step.share_permille,
                reason: = step.reason,
            });
            let node = self.clone();
            let command = Command::StepMove(step).encode();
            let task = async move {
                // A step that is not committed is decided again at the next run.
                let _ = node.propose_local(command).await;
            };
            self.executor.spawn(task).detach();
        }
    }
}

/// Grants slots of each live endpoint to the reporting instance.
fn allocate_slots(core: &mut Core, now_ms: u64, report: &Report) -> BTreeMap<EndpointName, u32> {
    let live: BTreeMap<EndpointName, u32> = core
        .registry
        .live_endpoints(now_ms)
        .map(|known| (known.record.endpoint.clone(), known.record.slots))
        .collect();
    core.slot_allocator.retain(|endpoint| live.contains_key(endpoint));
    let mut grants = BTreeMap::new();
    for (endpoint, slots) in live {
        let demand = report.demands.get(&endpoint).copied().unwrap_or_default();
        let granted = core.slot_allocator.grant(now_ms, &endpoint, slots, &report.instance, demand);
        grants.insert(endpoint, granted);
    }
    grants
}

/// Returns the load orders that are due.
fn due_load_orders(core: &mut Core, now_ms: u64) -> Vec<LoadOrder> {
    let Some(replica) = core.driver.as_ref().map(|driver| &driver.replica) else {
        return Vec::new();
    };
    let leadership = Leadership {
        term: replica.term(),
        since_ms: core.leading_since_ms.unwrap_or(now_ms),
        lease_until_ms: replica.lease_until_ms(),
    };
    let live: Vec<&EndpointRecord> = core
        .registry
        .live_endpoints(now_ms)
        .map(|known| &known.record)
        .filter(|record| !record.leaving)
        .collect();
    core.placement_controller.tick(now_ms, leadership, &core.state, &live)
}

/// Sums the slots of live endpoints that are not leaving, by service and version.
fn slots_by_version(core: &Core, now_ms: u64) -> SlotsByVersion {
    let mut supply = SlotsByVersion::new();
    for known in core.registry.live_endpoints(now_ms).filter(|known| !known.record.leaving) {
        let key = (known.record.service.clone(), known.record.version.clone());
        *supply.entry(key).or_default() += known.record.slots;
    }
    supply
}
