//! How long endpoints stay listed: their leases, and replicas that no longer monitor them.

use super::{
    Directory, Entry, GONE_RETENTION_MS, LEASE_MS, LeaseMonitor, Listing, ORPHAN_MS, Source,
};
use lycheehub_types::{EndpointName, InstanceName};
use std::collections::BTreeMap;

impl Entry {
    /// Returns whether the lease ended: at this replica, which monitored it, or because the replica that did so has
    /// restarted and no other one has heard the endpoint for [`ORPHAN_MS`].
    fn is_lease_over(&self, now_ms: u64) -> bool {
        match self.monitor {
            LeaseMonitor::Local(heard_ms) => now_ms >= heard_ms + LEASE_MS,
            LeaseMonitor::Lost(since_ms) => now_ms >= since_ms + ORPHAN_MS,
            LeaseMonitor::Peer(_) => false,
        }
    }

    /// Returns whether the replica that monitors the lease has been unreachable for [`ORPHAN_MS`].
    fn is_orphan(&self, now_ms: u64, unreachable_since_ms: &BTreeMap<InstanceName, u64>) -> bool {
        let LeaseMonitor::Peer(peer) = &self.monitor else { return false };
        let since_ms = unreachable_since_ms.get(peer);
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + ORPHAN_MS)
    }
}

impl Directory {
    /// Marks a peer as unreachable. The endpoints that it monitors stay listed for [`ORPHAN_MS`].
    pub fn mark_unreachable(&mut self, now_ms: u64, peer: &InstanceName) {
        self.unreachable_since_ms.entry(peer.clone()).or_insert(now_ms);
    }

    /// Marks a peer as restarted: it no longer monitors the endpoints that it announced before.
    pub fn mark_restarted(&mut self, now_ms: u64, peer: &InstanceName) {
        for entry in self.entries.values_mut() {
            if entry.monitor == LeaseMonitor::Peer(peer.clone()) {
                entry.monitor = LeaseMonitor::Lost(now_ms);
            }
        }
    }

    /// Expires leases, and updates the cold times in records; returns the endpoints that were removed
    /// from the list.
    ///
    /// An endpoint whose monitor is unreachable is removed here only and not propagated, because other
    /// replicas may still be in contact with its monitor. That the monitor restarted holds for all of them: they
    /// may have heard of the endpoint from this replica only.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointName> {
        self.entries.values_mut().for_each(|entry| entry.update_cold_time(now_ms));
        let mut expired = self.expire_leases(now_ms);
        let unreachable = &self.unreachable_since_ms;
        let is_outdated =
            |entry: &Entry| entry.listing.gone && now_ms >= entry.changed_ms + GONE_RETENTION_MS;
        let (index, evidence, unsaved) = (&mut self.index, &mut self.evidence, &mut self.unsaved);
        self.entries.retain(|name, entry| {
            let is_lost = !entry.listing.gone && entry.is_orphan(now_ms, unreachable);
            let is_removed = is_lost || is_outdated(entry);
            if is_lost {
                expired.push(name.clone());
            }
            if is_removed {
                index.remove(entry.change);
                evidence.remove(name);
                unsaved.remove(name);
            }
            !is_removed
        });
        expired
    }

    fn expire_leases(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let expired: Vec<EndpointName> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.listing.gone && entry.is_lease_over(now_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            let Some(entry) = self.entries.get(name) else { continue };
            let listing = Listing { gone: true, ..entry.listing.clone() };
            let monitor = entry.monitor.clone();
            let source = match monitor {
                LeaseMonitor::Local(_) => Source::Local,
                LeaseMonitor::Peer(_) | LeaseMonitor::Lost(_) => Source::Relayed,
            };
            self.insert(now_ms, listing, monitor, source);
        }
        expired
    }
}
