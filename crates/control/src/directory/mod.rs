//! Endpoints by their announcements, as propagated between control replicas.
//!
//! The replica that receives an endpoint's announcements monitors its lease. It propagates only
//! changes: a new endpoint, a leaving endpoint, an expired lease. Renewals are not propagated, so
//! that the traffic to instances does not grow with the number of endpoints.

mod announcements;
pub mod batching;
mod changes;
mod departures;
mod evidence;
mod leases;
mod listing;

pub use announcements::Announced;
use changes::ChangeIndex;
pub use changes::{ChangePosition, Changes};
pub use departures::Departure;
use evidence::Evidence;
pub use listing::{Listing, Overridden};

use lycheehub_types::endpoint::COLD_TOLERANCE_MS;
use lycheehub_types::{EndpointName, EndpointRecord, InstanceName};
use std::collections::{BTreeMap, BTreeSet};

/// The lease duration of an announcement at the replica that received it, in milliseconds: three
/// announcement intervals of 1,200 ms and some delay.
pub const LEASE_MS: u64 = 4_500;
/// How long endpoints stay listed after their replica is lost, in milliseconds: a lease, and the
/// time for endpoints to find another replica.
pub const ORPHAN_MS: u64 = LEASE_MS + 4_000;
/// How long the entry of a gone endpoint is kept, in milliseconds.
const GONE_RETENTION_MS: u64 = 120_000;

/// The replica that monitors an endpoint's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LeaseMonitor {
    /// This replica. It received the last announcement at this time, in milliseconds.
    Local(u64),
    /// Another replica.
    Peer(InstanceName),
    /// None since this time, in milliseconds, because the monitoring replica restarted.
    Lost(u64),
}

/// The origin of an endpoint's last change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    /// This replica: an announcement, a withdrawal or an expired lease.
    Local,
    /// The replica that detected the change, with its position in that replica's changes.
    Replica(InstanceName, ChangePosition),
    /// A replica that relayed a change of another one.
    Relayed,
}

#[derive(Clone, Debug)]
struct Entry {
    listing: Listing,
    monitor: LeaseMonitor,
    source: Source,
    change: u64,
    changed_ms: u64,
    /// Until when the endpoint is cold, as it last announced, in milliseconds.
    cold_until_ms: u64,
}

impl Entry {
    /// Returns whether an announcement states another end of the endpoint's cold time than is known.
    fn is_cold_time_changed(&self, now_ms: u64, record: &EndpointRecord) -> bool {
        let stated_ms = now_ms + u64::from(record.cold_ms);
        stated_ms.abs_diff(self.cold_until_ms.max(now_ms)) > COLD_TOLERANCE_MS
    }

    /// Sets how much longer the endpoint is cold in its record.
    fn update_cold_time(&mut self, now_ms: u64) {
        let left_ms = self.cold_until_ms.saturating_sub(now_ms);
        self.listing.record.cold_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
    }
}

/// All known endpoints.
///
/// # Examples
/// ```
/// use lycheehub_control::directory::Directory;
///
/// let mut directory = Directory::default();
/// directory.expire(1_000);
/// assert_eq!(directory.live().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointName, Entry>,
    index: ChangeIndex,
    change: u64,
    /// When each unreachable peer became unreachable, in milliseconds.
    unreachable_since_ms: BTreeMap<InstanceName, u64>,
    /// What speaks for known endpoints whose announcements to this replica look outdated.
    evidence: BTreeMap<EndpointName, Evidence>,
    /// The endpoints that are known to leave since departures were last stored.
    unsaved: BTreeSet<EndpointName>,
}

impl Directory {
    /// Returns the other replica that monitors an endpoint's lease.
    pub fn lease_monitor(&self, name: &EndpointName) -> Option<&InstanceName> {
        match &self.entries.get(name)?.monitor {
            LeaseMonitor::Peer(peer) => Some(peer),
            LeaseMonitor::Local(_) | LeaseMonitor::Lost(_) => None,
        }
    }

    /// Tells whether an endpoint is known, including gone ones.
    pub fn contains(&self, name: &EndpointName) -> bool {
        self.entries.contains_key(name)
    }

    /// Tells whether an endpoint is listed and gets new requests: it is neither gone nor leaving.
    pub fn is_in_service(&self, name: &EndpointName) -> bool {
        let listing = self.entries.get(name).map(|entry| &entry.listing);
        listing.is_some_and(|listing| !listing.gone && !listing.record.leaving)
    }

    /// Returns the number of the local change that lists an endpoint as it is known; `None` if it is unknown.
    /// If its last change came from another replica, this replica propagates it from now on, too.
    pub fn propagate(&mut self, now_ms: u64, name: &EndpointName) -> Option<u64> {
        let known = self.entries.get(name)?;
        if known.source != Source::Local {
            self.propagate_again(now_ms, name);
        }
        self.entries.get(name).map(|known| known.change)
    }

    /// Makes an endpoint's listing, as it is known, the latest change of this replica.
    fn propagate_again(&mut self, now_ms: u64, name: &EndpointName) {
        let Some(known) = self.entries.get(name) else { return };
        let (listing, monitor) = (known.listing.clone(), known.monitor.clone());
        self.insert(now_ms, listing, monitor, Source::Local);
    }

    /// Applies changes that another replica detected itself, up to `position`; tells whether
    /// anything changed.
    pub fn apply_direct(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        position: ChangePosition,
        listings: Vec<Listing>,
    ) -> bool {
        self.apply_all(now_ms, from, &Source::Replica(from.clone(), position), listings)
    }

    /// Applies changes that another replica relays; tells whether anything changed.
    pub fn apply_relayed(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        listings: Vec<Listing>,
    ) -> bool {
        self.apply_all(now_ms, from, &Source::Relayed, listings)
    }

    fn apply_all(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        source: &Source,
        listings: Vec<Listing>,
    ) -> bool {
        self.unreachable_since_ms.remove(from);
        let mut changed = false;
        for listing in listings {
            changed |= self.apply_one(now_ms, from, source, listing);
        }
        changed
    }

    fn apply_one(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        source: &Source,
        listing: Listing,
    ) -> bool {
        let monitor = LeaseMonitor::Peer(from.clone());
        let Some(known) = self.entries.get_mut(&listing.record.endpoint) else {
            self.insert(now_ms, listing, monitor, source.clone());
            return true;
        };
        let merged = known.listing.clone().merge(listing.clone());
        if merged.is_equivalent(&known.listing) {
            if !listing.is_same_announcement(&merged) {
                // The other replica, and all that have heard it, lack what only renewals told this one.
                if known.source == Source::Local && matches!(source, Source::Replica(..)) {
                    self.propagate_again(now_ms, &listing.record.endpoint);
                }
            } else if known.source == Source::Relayed {
                // A replica that received the announcement directly replaces one that relayed it;
                // among relays, the latest one counts.
                known.monitor = monitor;
                if merged.is_equivalent(&listing) {
                    known.source = source.clone();
                }
            }
            return false;
        }
        let is_newer = listing.supersedes(&known.listing);
        let monitor = if is_newer { monitor } else { known.monitor.clone() };
        let source = match known.source {
            Source::Local if !is_newer => Source::Local,
            _ if merged.is_equivalent(&listing) => source.clone(),
            // No other replica may know both listings.
            _ => Source::Relayed,
        };
        self.insert(now_ms, merged, monitor, source);
        true
    }

    fn insert(&mut self, now_ms: u64, listing: Listing, monitor: LeaseMonitor, source: Source) {
        self.change += 1;
        let endpoint = listing.record.endpoint.clone();
        self.index.insert(self.change, endpoint.clone(), &source);
        let before = self.entries.remove(&endpoint);
        let state = |listing: &Listing| {
            (listing.record.incarnation, listing.record.leaving, listing.withdrawn)
        };
        let is_new = before.as_ref().is_none_or(|before| state(&before.listing) != state(&listing));
        if is_new {
            // What was announced before is no evidence against what the endpoint has said since.
            self.evidence.remove(&endpoint);
        }
        if listing.record.leaving && is_new {
            self.unsaved.insert(endpoint.clone());
        }
        if let Some(before) = before {
            self.index.remove(before.change);
        }
        let cold_until_ms = now_ms + u64::from(listing.record.cold_ms);
        let (change, changed_ms) = (self.change, now_ms);
        let entry = Entry { listing, monitor, source, change, changed_ms, cold_until_ms };
        self.entries.insert(endpoint, entry);
    }

    /// Returns the number of the latest change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the endpoints that are not gone, including leaving ones. Of two endpoints with the
    /// same address, only the one with the higher incarnation is returned.
    pub fn live(&self) -> impl Iterator<Item = &EndpointRecord> {
        let mut by_address: BTreeMap<&str, &EndpointRecord> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| !entry.listing.gone) {
            let record = &entry.listing.record;
            let newest = by_address.entry(&record.address).or_insert(record);
            if record.incarnation > newest.incarnation {
                *newest = record;
            }
        }
        by_address.into_values()
    }
}
