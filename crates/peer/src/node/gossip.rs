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

/// How many instances are told of changes at each heartbeat.
const FANOUT: usize = 1;
/// How many instances are told at once of what cannot wait for the next heartbeat.
const URGENT_FANOUT: usize = 6;

impl Node {
    /// Renews this instance's own record and tells some others what changed.
    pub(super) fn beat(self: &Rc<Self>) {
        self.beat_to(FANOUT);
    }

    /// Tells several others at once: capacity runs short, or something is leaving.
    pub(super) fn beat_urgently(self: &Rc<Self>) {
        self.beat_to(URGENT_FANOUT);
    }

    fn beat_to(self: &Rc<Self>, fanout: usize) {
        let targets = {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            let now_ms = self.clock.now_ms();
            core.own.sequence += 1;
            core.own.revision_in_force = self.views.latest().revision;
            core.own.shed_floor = core.demands.shed_floor.clone();
            core.registry.update_instance(now_ms, core.own.clone(), 0);
            core.dirty = true;
            self.draw_targets(core.seed ^ core.own.sequence, fanout, &core.registry)
        };
        for to in targets {
            self.executor.spawn(self.clone().exchange(to)).detach();
        }
    }

    fn draw_targets(&self, seed: u64, fanout: usize, registry: &Registry) -> Vec<InstanceName> {
        let own = &self.settings.instance;
        let live = registry.live_instances(self.clock.now_ms());
        let mut known: BTreeSet<InstanceName> =
            live.map(|known| known.record.instance.clone()).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        // Seeds are tried now and then even when silent, so that parted groups find each other.
        if known.len() <= 1 || rng.next_u32().is_multiple_of(4) {
            known.extend(self.settings.seeds.iter().map(|seed| seed.instance.clone()));
        }
        let known: Vec<InstanceName> = known.into_iter().filter(|name| name != own).collect();
        known.choose_multiple(&mut rng, fanout).cloned().collect()
    }

    async fn exchange(self: Rc<Self>, to: InstanceName) {
        let (delta, cursor) = {
            let core = self.core.borrow();
            let told = core.cursors.get(&to).copied().unwrap_or_default();
            core.registry.delta_after(self.clock.now_ms(), told)
        };
        let own = self.settings.instance.clone();
        let started = {
            let mut core = self.core.borrow_mut();
            core.registry.take_needs_full_sync() || !core.heard
        };
        let call = |peer: peer::Client| async move {
            let mut request = peer.gossip_request();
            request.get().set_sender(own.as_str());
            request.get().set_started(started);
            lycheehub_wire::write_delta(&delta, request.get().init_delta());
            let reply = request.send().promise.await?;
            Ok(Delta::try_from(reply.get()?.get_delta()?)?)
        };
        match self.call("gossip", &to, CALL_TIMEOUT_MS, call).await {
            Ok(answer) => {
                // What the peer has just told need not be told to it.
                let nothing_else = self.core.borrow().registry.cursor() == cursor;
                self.take_delta(answer);
                let mut core = self.core.borrow_mut();
                let told = if nothing_else { core.registry.cursor() } else { cursor };
                core.cursors.insert(to, told);
                core.heard = true;
                core.heard_ms = self.clock.now_ms();
            }
            Err(error) => {
                // What the peer took before is not known, so it is told all the next time.
                self.core.borrow_mut().cursors.insert(to, Cursor::default());
                spdlog::debug!("records not exchanged", kv: { error: });
            }
        }
    }

    /// Takes a peer's changes and answers with those that it has not been told.
    pub(crate) fn on_gossip(&self, sender: InstanceName, started: bool, delta: Delta) -> Delta {
        let answer = {
            let core = self.core.borrow();
            let told = if started { None } else { core.cursors.get(&sender).copied() };
            core.registry.delta_after(self.clock.now_ms(), told.unwrap_or_default()).0
        };
        self.take_delta(delta);
        let mut core = self.core.borrow_mut();
        core.heard_ms = self.clock.now_ms();
        let told = core.registry.cursor();
        core.cursors.insert(sender, told);
        answer
    }

    fn take_delta(&self, delta: Delta) {
        let mut core = self.core.borrow_mut();
        let news = core.registry.apply_delta(self.clock.now_ms(), delta);
        core.dirty |= news;
    }
}
