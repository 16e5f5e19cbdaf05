//! Endpoints by their announcements, as propagated between control replicas.
//!
//! The replica that receives an endpoint's announcements monitors its lease. It propagates only
//! changes: a new endpoint, a leaving endpoint, an expired lease. Renewals are not propagated, so
//! that the traffic to instances does not grow with the number of endpoints.

pub mod batching;
mod changes;
mod departures;
mod overtaken;

use changes::ChangeIndex;
pub use changes::{ChangePosition, Changes};
pub use departures::Departure;
use overtaken::Overtaken;

use lycheehub_types::endpoint::COLD_TOLERANCE_MS;
use lycheehub_types::{
    EndpointKind, EndpointLoad, EndpointName, EndpointRecord, FailureDomain, InstanceName,
    ServiceName, Version,
};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// The lease duration of an announcement at the replica that received it, in milliseconds: three
/// announcement intervals of 1,200 ms and some delay.
pub const LEASE_MS: u64 = 4_500;
/// How long endpoints stay listed after their replica is lost, in milliseconds: a lease, and the
/// time for endpoints to find another replica.
pub const ORPHAN_MS: u64 = LEASE_MS + 4_000;
/// How long the entry of a gone endpoint is kept, in milliseconds.
const GONE_RETENTION_MS: u64 = 120_000;
/// How much later than a farewell an incarnation may seem to have started that says it, in milliseconds, since
/// clocks differ: where no incarnation is listed that can have said it.
const FAREWELL_MARGIN_MS: u64 = 1_000;
/// The longest time after which an endpoint repeats a farewell that was not acknowledged, in milliseconds.
const FAREWELL_REPEAT_MS: u64 = 1_500;

/// An endpoint as propagated between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The endpoint's last announcement.
    pub record: EndpointRecord,
    /// Whether the lease has expired or the endpoint was withdrawn.
    pub gone: bool,
    /// Whether the endpoint was withdrawn for good. Later announcements of the same incarnation are
    /// ignored.
    pub withdrawn: bool,
}

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
    /// The incarnation that was known when the endpoint was withdrawn.
    left: Option<u64>,
}

impl Listing {
    /// Returns the listing of an endpoint of which only the farewell is known.
    fn of_farewell(endpoint: EndpointName, incarnation: u64) -> Self {
        let record = EndpointRecord {
            endpoint,
            address: SmolStr::default(),
            service: ServiceName::from(""),
            version: Version::from(""),
            kind: EndpointKind::Plain,
            hardware: SmolStr::default(),
            failure_domain: FailureDomain::from(""),
            slots: 0,
            fencing: false,
            takes_orders: false,
            incarnation,
            sequence: 0,
            leaving: true,
            load: EndpointLoad::default(),
            cold_ms: 0,
        };
        Self { record, gone: true, withdrawn: true }
    }
}

impl Entry {
    /// Returns whether an announcement of this incarnation is one of an endpoint that was withdrawn.
    fn is_withdrawn(&self, incarnation: u64) -> bool {
        self.listing.withdrawn
            && (self.listing.record.incarnation == incarnation || self.left == Some(incarnation))
    }

    /// Returns whether it was withdrawn so recently that another farewell repeats that one.
    fn was_withdrawn(&self, now_ms: u64) -> bool {
        self.listing.withdrawn && now_ms < self.changed_ms + FAREWELL_REPEAT_MS
    }

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
    /// The known endpoints whose announcements to this replica look outdated, or did.
    overtaken: BTreeMap<EndpointName, Overtaken>,
    /// The endpoints that are known to leave since departures were last stored.
    unsaved: BTreeSet<EndpointName>,
}

impl Directory {
    /// Records an announcement to this replica; tells whether the change must be propagated.
    pub fn announce(&mut self, now_ms: u64, record: EndpointRecord) -> bool {
        let Some(known) = self.entries.get_mut(&record.endpoint) else {
            let listing = Listing { record, gone: false, withdrawn: false };
            return self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
        };
        let listing = &known.listing;
        // Whether the endpoint leaves or was withdrawn is a matter of the incarnation that it states.
        let mut same_incarnation = listing.record.incarnation == record.incarnation;
        let announced = record;
        let overtaken = self.overtaken.get(&announced.endpoint);
        let mut record = match overtaken {
            Some(overtaken) => overtaken.translate(announced.clone()),
            None => announced.clone(),
        };
        same_incarnation |= listing.record.incarnation == record.incarnation;
        if known.is_withdrawn(announced.incarnation) || known.is_withdrawn(record.incarnation) {
            return false;
        }
        if listing.record.freshness() >= record.freshness() {
            let overtaken = self.overtaken.entry(announced.endpoint.clone());
            let overtaken = overtaken
                .and_modify(|overtaken| overtaken.record(now_ms, &announced))
                .or_insert_with(|| Overtaken::new(now_ms, &announced));
            if !listing.gone || !overtaken.is_proved(now_ms, listing) {
                return false;
            }
            overtaken.continue_from(listing);
            record = overtaken.translate(announced);
        } else if let Some(overtaken) = self.overtaken.get_mut(&announced.endpoint)
            && !overtaken.record_newer()
        {
            self.overtaken.remove(&announced.endpoint);
        }
        record.leaving |= same_incarnation && listing.record.leaving;
        let renewed = EndpointRecord {
            sequence: record.sequence,
            load: record.load,
            cold_ms: record.cold_ms,
            ..listing.record.clone()
        };
        let is_renewal = renewed == record
            && !listing.gone
            && matches!(known.monitor, LeaseMonitor::Local(_))
            && !known.is_cold_time_changed(now_ms, &record);
        if is_renewal {
            known.listing.record = record;
            known.update_cold_time(now_ms);
            known.monitor = LeaseMonitor::Local(now_ms);
            return false;
        }
        let listing = Listing { record, gone: false, withdrawn: false };
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local)
    }

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

    /// Returns the number of the local change that lists an endpoint as it is known; `None` if the endpoint
    /// is unknown or its last change came from another replica.
    pub fn local_change(&self, name: &EndpointName) -> Option<u64> {
        let known = self.entries.get(name)?;
        (known.source == Source::Local).then_some(known.change)
    }

    /// Withdraws an endpoint for good, known or not: the known incarnation, and each one that was started
    /// until `now_unix_ms`. A farewell names no incarnation, and may come before the first announcement of
    /// the one that says it.
    pub fn withdraw(&mut self, now_ms: u64, name: &EndpointName, now_unix_ms: u64) {
        let known = self.entries.get(name);
        // A listed incarnation has most likely said it itself, and may be started again at once.
        let is_attributed =
            known.is_some_and(|known| !known.listing.gone || known.was_withdrawn(now_ms));
        let margin_ms = if is_attributed { 0 } else { FAREWELL_MARGIN_MS };
        let started_until = now_unix_ms + margin_ms;
        let mut listing = match known {
            Some(known) => known.listing.clone(),
            None => Listing::of_farewell(name.clone(), started_until),
        };
        listing.record.incarnation = listing.record.incarnation.max(started_until);
        listing.record.leaving = true;
        listing.gone = true;
        listing.withdrawn = true;
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
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
        mut listing: Listing,
    ) -> bool {
        let monitor = LeaseMonitor::Peer(from.clone());
        let Some(known) = self.entries.get_mut(&listing.record.endpoint) else {
            return self.insert(now_ms, listing, monitor, source.clone());
        };
        let (old, new) = (known.listing.record.freshness(), listing.record.freshness());
        let same_incarnation = old.0 == new.0;
        listing.withdrawn |= same_incarnation && known.listing.withdrawn;
        listing.gone |= listing.withdrawn;
        listing.record.leaving |= same_incarnation && known.listing.record.leaving;
        // At equal freshness, a listing that is gone takes precedence.
        let newer = new > old || (new == old && listing.gone && !known.listing.gone);
        let withdrawn_later = same_incarnation && listing.withdrawn && !known.listing.withdrawn;
        if !newer && !withdrawn_later {
            if old == new && known.source == Source::Relayed {
                // A replica that received the announcement directly replaces one that relayed it;
                // among relays, the latest one counts.
                known.monitor = monitor;
                known.source = source.clone();
            }
            return false;
        }
        if old > new {
            listing.record.sequence = old.1;
        }
        self.insert(now_ms, listing, monitor, source.clone())
    }

    fn insert(
        &mut self,
        now_ms: u64,
        listing: Listing,
        monitor: LeaseMonitor,
        source: Source,
    ) -> bool {
        self.change += 1;
        let endpoint = listing.record.endpoint.clone();
        self.index.insert(self.change, endpoint.clone(), &source);
        let cold_until_ms = now_ms + u64::from(listing.record.cold_ms);
        let (change, changed_ms) = (self.change, now_ms);
        let before = self.entries.remove(&endpoint);
        let state = |listing: &Listing| {
            (listing.record.incarnation, listing.record.leaving, listing.withdrawn)
        };
        let is_new = before.as_ref().is_none_or(|before| state(&before.listing) != state(&listing));
        if listing.record.leaving && is_new {
            self.unsaved.insert(endpoint.clone());
        }
        if listing.withdrawn && is_new {
            // What was announced before a farewell is no evidence that the endpoint runs after it.
            self.overtaken.remove(&endpoint);
        }
        let left = before.as_ref().and_then(|before| match listing.withdrawn {
            true => before.left.or(Some(before.listing.record.incarnation)),
            false => None,
        });
        let entry = Entry { listing, monitor, source, change, changed_ms, cold_until_ms, left };
        self.entries.insert(endpoint, entry);
        if let Some(before) = before {
            self.index.remove(before.change);
        }
        true
    }

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
    /// An endpoint that no replica monitors any more is removed here only and not propagated,
    /// because other replicas may still be in contact with its monitor.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointName> {
        self.entries.values_mut().for_each(|entry| entry.update_cold_time(now_ms));
        let mut expired = self.expire_leases(now_ms);
        let unreachable = &self.unreachable_since_ms;
        let is_orphan = |entry: &Entry| {
            let since_ms = match &entry.monitor {
                LeaseMonitor::Local(_) => None,
                LeaseMonitor::Peer(peer) => unreachable.get(peer).copied(),
                LeaseMonitor::Lost(since_ms) => Some(*since_ms),
            };
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + ORPHAN_MS)
        };
        let is_outdated =
            |entry: &Entry| entry.listing.gone && now_ms >= entry.changed_ms + GONE_RETENTION_MS;
        let (index, overtaken, unsaved) = (&mut self.index, &mut self.overtaken, &mut self.unsaved);
        self.entries.retain(|name, entry| {
            let is_lost = is_orphan(entry) && !entry.listing.gone;
            let is_removed = is_lost || is_outdated(entry);
            if is_lost {
                expired.push(name.clone());
            }
            if is_removed {
                index.remove(entry.change);
                overtaken.remove(name);
                unsaved.remove(name);
            }
            !is_removed
        });
        expired
    }

    fn expire_leases(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let is_expired = |entry: &Entry| match entry.monitor {
            LeaseMonitor::Local(heard_ms) => now_ms >= heard_ms + LEASE_MS,
            LeaseMonitor::Peer(_) | LeaseMonitor::Lost(_) => false,
        };
        let entries = self.entries.iter();
        let expired: Vec<EndpointName> = entries
            .filter(|(_, entry)| !entry.listing.gone && is_expired(entry))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            let Some(entry) = self.entries.get(name) else { continue };
            let listing = Listing { gone: true, ..entry.listing.clone() };
            let monitor = entry.monitor.clone();
            self.insert(now_ms, listing, monitor, Source::Local);
        }
        expired
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
