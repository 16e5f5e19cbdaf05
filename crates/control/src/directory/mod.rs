//! The endpoints by their announcements, as control replicas pass them on.
//!
//! The replica that hears an endpoint watches over its lease, and passes on only what changes: a
//! new endpoint, one that leaves, one whose lease has ended. Renewals stay where they arrive, so
//! that what instances are sent does not grow with the number of endpoints.

pub mod pace;
mod tell;

use tell::Order;
pub use tell::{Changes, Heard};

use lycheehub_types::{EndpointName, EndpointRecord, InstanceName};
use std::collections::BTreeMap;

/// How long an announcement holds where it is heard, in milliseconds: three that are sent each
/// 1,200 ms, and some delay.
pub const LEASE_MS: u64 = 4_500;
/// How long the announcements heard by a replica hold after that replica is lost, in milliseconds:
/// a lease, and the time in which endpoints find another replica.
pub const ORPHAN_MS: u64 = LEASE_MS + 4_000;
/// How long an endpoint that is gone is remembered, in milliseconds.
const FORGET_MS: u64 = 120_000;

/// An endpoint as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// What it last said of itself.
    pub record: EndpointRecord,
    /// Its lease has ended, or it said that it leaves for good.
    pub gone: bool,
    /// It said that it leaves for good: later announcements of this incarnation do not count.
    pub withdrawn: bool,
}

/// Who watches over an endpoint's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Watcher {
    /// This replica, which heard it last at this time, in milliseconds.
    Here(u64),
    /// Another replica.
    Peer(InstanceName),
    /// A replica that has forgotten it since this time, in milliseconds.
    Lost(u64),
}

/// Who told of an endpoint's last change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    /// The endpoint itself, or the end of its lease here.
    Own,
    /// The replica that heard the endpoint, up to a change of its own.
    Heard(InstanceName, Heard),
    /// A replica that passed on what another one told.
    Relayed,
}

#[derive(Clone, Debug)]
struct Entry {
    listing: Listing,
    watcher: Watcher,
    source: Source,
    change: u64,
    changed_ms: u64,
}

/// All endpoints that were heard of.
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
    order: Order,
    change: u64,
    /// When each peer that is no longer heard was heard last, in milliseconds.
    silent_since_ms: BTreeMap<InstanceName, u64>,
}

impl Directory {
    /// Takes an announcement that was made here; tells whether it changes anything for others.
    pub fn announce(&mut self, now_ms: u64, record: EndpointRecord) -> bool {
        let Some(known) = self.entries.get_mut(&record.endpoint) else {
            let listing = Listing { record, gone: false, withdrawn: false };
            return self.insert(now_ms, listing, Watcher::Here(now_ms), Source::Own);
        };
        let listing = &known.listing;
        if listing.record.freshness() >= record.freshness() {
            return false;
        }
        let same = listing.record.incarnation == record.incarnation;
        if same && listing.withdrawn {
            return false;
        }
        let mut record = record;
        record.leaving |= same && listing.record.leaving;
        let renewed = EndpointRecord {
            sequence: record.sequence,
            load: record.load,
            ..listing.record.clone()
        };
        let is_renewal =
            renewed == record && !listing.gone && matches!(known.watcher, Watcher::Here(_));
        if is_renewal {
            known.listing.record = record;
            known.watcher = Watcher::Here(now_ms);
            return false;
        }
        let listing = Listing { record, gone: false, withdrawn: false };
        self.insert(now_ms, listing, Watcher::Here(now_ms), Source::Own)
    }

    /// Returns the other replica that watches over an endpoint's lease.
    pub fn watcher_of(&self, name: &EndpointName) -> Option<&InstanceName> {
        match &self.entries.get(name)?.watcher {
            Watcher::Peer(peer) => Some(peer),
            Watcher::Here(_) | Watcher::Lost(_) => None,
        }
    }

    /// Tells whether an endpoint was heard of, also one that is gone.
    pub fn knows(&self, name: &EndpointName) -> bool {
        self.entries.contains_key(name)
    }

    /// Takes the word of an endpoint that it leaves for good; tells whether it was known.
    pub fn withdraw(&mut self, now_ms: u64, name: &EndpointName) -> bool {
        let Some(known) = self.entries.get(name) else { return false };
        if known.listing.withdrawn {
            return false;
        }
        let mut listing = known.listing.clone();
        listing.record.leaving = true;
        listing.gone = true;
        listing.withdrawn = true;
        self.insert(now_ms, listing, Watcher::Here(now_ms), Source::Own)
    }

    /// Takes what another replica has heard itself, up to `heard`; tells whether anything changed.
    pub fn take(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        heard: Heard,
        listings: Vec<Listing>,
    ) -> bool {
        self.take_all(now_ms, from, &Source::Heard(from.clone(), heard), listings)
    }

    /// Takes what another replica passes on of what others told it; tells whether anything changed.
    pub fn take_relayed(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        listings: Vec<Listing>,
    ) -> bool {
        self.take_all(now_ms, from, &Source::Relayed, listings)
    }

    fn take_all(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        source: &Source,
        listings: Vec<Listing>,
    ) -> bool {
        self.silent_since_ms.remove(from);
        let mut changed = false;
        for listing in listings {
            changed |= self.take_one(now_ms, from, source, listing);
        }
        changed
    }

    fn take_one(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        source: &Source,
        mut listing: Listing,
    ) -> bool {
        let watcher = Watcher::Peer(from.clone());
        let Some(known) = self.entries.get_mut(&listing.record.endpoint) else {
            return self.insert(now_ms, listing, watcher, source.clone());
        };
        let (old, new) = (known.listing.record.freshness(), listing.record.freshness());
        let same = old.0 == new.0;
        listing.withdrawn |= same && known.listing.withdrawn;
        listing.gone |= listing.withdrawn;
        listing.record.leaving |= same && known.listing.record.leaving;
        // Of two equally new ones, the one that says that the endpoint is gone goes before.
        let newer = new > old || (new == old && listing.gone && !known.listing.gone);
        let withdrawn_later = same && listing.withdrawn && !known.listing.withdrawn;
        if !newer && !withdrawn_later {
            if old == new && known.source == Source::Relayed {
                // Whoever heard it goes before one that was told, and of those the last one does.
                known.watcher = watcher;
                known.source = source.clone();
            }
            return false;
        }
        if old > new {
            listing.record.sequence = old.1;
        }
        self.insert(now_ms, listing, watcher, source.clone())
    }

    fn insert(&mut self, now_ms: u64, listing: Listing, watcher: Watcher, source: Source) -> bool {
        self.change += 1;
        let endpoint = listing.record.endpoint.clone();
        self.order.add(self.change, endpoint.clone(), &source);
        let entry = Entry { listing, watcher, source, change: self.change, changed_ms: now_ms };
        if let Some(before) = self.entries.insert(endpoint, entry) {
            self.order.forget(before.change);
        }
        true
    }

    /// Notes that a peer is not heard; what it watches over holds for some time yet.
    pub fn note_silent(&mut self, now_ms: u64, peer: &InstanceName) {
        self.silent_since_ms.entry(peer.clone()).or_insert(now_ms);
    }

    /// Notes that a peer was started again and so watches over nothing that it was told before.
    pub fn note_restarted(&mut self, now_ms: u64, peer: &InstanceName) {
        for entry in self.entries.values_mut() {
            if entry.watcher == Watcher::Peer(peer.clone()) {
                entry.watcher = Watcher::Lost(now_ms);
            }
        }
    }

    /// Ends the leases that are over; returns the endpoints that they belong to.
    ///
    /// What nobody watches over any more is forgotten here, without a word to others: they may
    /// still be in touch with its watcher.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let mut over = self.end_leases(now_ms);
        let silent = &self.silent_since_ms;
        let is_orphan = |entry: &Entry| {
            let since_ms = match &entry.watcher {
                Watcher::Here(_) => None,
                Watcher::Peer(peer) => silent.get(peer).copied(),
                Watcher::Lost(since_ms) => Some(*since_ms),
            };
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + ORPHAN_MS)
        };
        let old = |entry: &Entry| entry.listing.gone && now_ms >= entry.changed_ms + FORGET_MS;
        let order = &mut self.order;
        self.entries.retain(|name, entry| {
            let is_lost = is_orphan(entry) && !entry.listing.gone;
            let is_forgotten = is_lost || old(entry);
            if is_lost {
                over.push(name.clone());
            }
            if is_forgotten {
                order.forget(entry.change);
            }
            !is_forgotten
        });
        over
    }

    fn end_leases(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let is_over = |entry: &Entry| match entry.watcher {
            Watcher::Here(heard_ms) => now_ms >= heard_ms + LEASE_MS,
            Watcher::Peer(_) | Watcher::Lost(_) => false,
        };
        let entries = self.entries.iter();
        let over: Vec<EndpointName> = entries
            .filter(|(_, entry)| !entry.listing.gone && is_over(entry))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &over {
            let Some(entry) = self.entries.get(name) else { continue };
            let listing = Listing { gone: true, ..entry.listing.clone() };
            let watcher = entry.watcher.clone();
            self.insert(now_ms, listing, watcher, Source::Own);
        }
        over
    }

    /// Returns the number of the newest change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the endpoints that are there, leaving ones included; of two at one address, the one
    /// that was started last.
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
