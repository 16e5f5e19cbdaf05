//! Heartbeats, and the exchange of records between instances.

use super::Node;
use super::calls::CALL_TIMEOUT_MS;
use lycheehub_control::registry::{Cursor, Delta, Registry};
use lycheehub_types::InstanceName;
use lycheehub_wire::peer_capnp::peer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngCore, SeedableRng};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Number of peers to which each heartbeat sends changes.
const FANOUT: usize = 1;
/// Number of peers to which an urgent heartbeat sends changes.
const URGENT_FANOUT: usize = 6;

impl Node {
    /// Renews this instance's own record and exchanges changes with a few peers.
    pub(super) fn send_heartbeat(self: &Rc<Self>) {
        self.send_heartbeat_to(FANOUT);
    }

    /// Sends a heartbeat to more peers at once when a change cannot wait for the next heartbeat:
    /// load shedding changes, or an endpoint or this instance is leaving.
    pub(super) fn send_urgent_heartbeat(self: &Rc<Self>) {
        self.send_heartbeat_to(URGENT_FANOUT);
    }

    fn send_heartbeat_to(self: &Rc<Self>, fanout: usize) {
        let targets = {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            let now_ms = self.clock.now_ms();
            core.own_record.sequence += 1;
            core.own_record.revision_in_force = self.views.latest().revision;
            core.own_record.shed_floor = core.demands.shed_floor.clone();
            core.registry.update_instance(now_ms, core.own_record.clone(), 0);
            core.dirty = true;
            self.choose_targets(core.seed ^ core.own_record.sequence, fanout, &core.registry)
        };
        for to in targets {
            self.executor.spawn(self.clone().exchange(to)).detach();
        }
    }

    fn choose_targets(&self, seed: u64, fanout: usize, registry: &Registry) -> Vec<InstanceName> {
        let own = &self.settings.instance;
        let live = registry.live_instances(self.clock.now_ms());
        let mut known: BTreeSet<InstanceName> =
            live.map(|known| known.record.instance.clone()).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        // Seeds are tried occasionally even when they are not live, so that partitioned groups find
        // each other again.
        if known.len() <= 1 || rng.next_u32().is_multiple_of(4) {
            known.extend(self.settings.seeds.iter().map(|seed| seed.instance.clone()));
        }
        let known: Vec<InstanceName> = known.into_iter().filter(|name| name != own).collect();
        known.choose_multiple(&mut rng, fanout).cloned().collect()
    }

    pub(super) async fn exchange(self: Rc<Self>, to: InstanceName) {
        let (delta, cursor) = {
            let core = self.core.borrow();
            let sent = core.cursors.get(&to).copied().unwrap_or_default();
            core.registry.delta_after(self.clock.now_ms(), sent)
        };
        let own = self.settings.instance.clone();
        let needs_full_sync = {
            let mut core = self.core.borrow_mut();
            core.registry.take_needs_full_sync() || !core.records_received
        };
        let call = |peer: peer::Client| async move {
            let mut request = peer.gossip_request();
            request.get().set_sender(own.as_str());
            request.get().set_started(needs_full_sync);
            lycheehub_wire::write_delta(&delta, request.get().init_delta());
            let reply = request.send().promise.await?;
            Ok(Delta::try_from(reply.get()?.get_delta()?)?)
        };
        match self.call("gossip", &to, CALL_TIMEOUT_MS, call).await {
            Ok(reply) => {
                // The peer's own changes need not be sent back to it.
                let is_unchanged = self.core.borrow().registry.cursor() == cursor;
                self.apply_peer_delta(reply);
                let mut core = self.core.borrow_mut();
                let sent = if is_unchanged { core.registry.cursor() } else { cursor };
                core.cursors.insert(to, sent);
                core.records_received = true;
                core.last_contact_ms = self.clock.now_ms();
            }
            Err(error) => {
                // It is unknown which changes the peer received, so the next exchange sends all
                // records.
                self.core.borrow_mut().cursors.insert(to, Cursor::default());
                spdlog::debug!("records not exchanged", kv: { error: });
            }
        }
    }

    /// Applies a peer's changes and replies with the changes not yet sent to it.
    pub(crate) fn on_gossip(
        &self,
        sender: InstanceName,
        needs_full_sync: bool,
        delta: Delta,
    ) -> Delta {
        let reply = {
            let core = self.core.borrow();
            let sent = if needs_full_sync { None } else { core.cursors.get(&sender).copied() };
            core.registry.delta_after(self.clock.now_ms(), sent.unwrap_or_default()).0
        };
        self.apply_peer_delta(delta);
        let mut core = self.core.borrow_mut();
        core.last_contact_ms = self.clock.now_ms();
        let sent = core.registry.cursor();
        core.cursors.insert(sender, sent);
        reply
    }

    fn apply_peer_delta(&self, delta: Delta) {
        let mut core = self.core.borrow_mut();
        let changed = core.registry.apply_delta(self.clock.now_ms(), delta);
        core.dirty |= changed;
    }
}
