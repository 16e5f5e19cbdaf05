//! What endpoints say to this replica: that they run, that they leave, farewell.

use super::evidence::Evidence;
use super::listing::{Listing, Standing};
use super::{Directory, Entry, LeaseMonitor, Source};
use lycheehub_types::{EndpointName, EndpointRecord};

/// How much later than a farewell an incarnation may seem to have started that says it, in milliseconds, since
/// clocks differ: where no incarnation is listed that can have said it.
const FAREWELL_MARGIN_MS: u64 = 1_000;
/// The longest time after which an endpoint repeats a farewell that was not acknowledged, in milliseconds.
const FAREWELL_REPEAT_MS: u64 = 1_500;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// It changed the listing, which must be propagated.
    Listed,
    /// It renewed the lease.
    Renewed,
    /// It is of an incarnation that has left, and changed nothing.
    Left,
    /// It is outdated, or looks so, and changed nothing.
    Outdated,
}

impl Entry {
    /// Returns whether a listing only renews this one's lease.
    fn is_renewed_by(&self, now_ms: u64, listing: &Listing) -> bool {
        let record = EndpointRecord {
            sequence: listing.record.sequence,
            load: listing.record.load,
            cold_ms: listing.record.cold_ms,
            ..self.listing.record.clone()
        };
        matches!(self.monitor, LeaseMonitor::Local(_))
            && *listing == Listing { record, ..self.listing.clone() }
            && !self.is_cold_time_changed(now_ms, &listing.record)
    }

    /// Returns whether it was withdrawn so recently that another farewell repeats that one.
    fn was_just_withdrawn(&self, now_ms: u64) -> bool {
        self.listing.withdrawn && now_ms < self.changed_ms + FAREWELL_REPEAT_MS
    }
}

impl Directory {
    /// Records an announcement to this replica.
    pub fn announce(&mut self, now_ms: u64, record: EndpointRecord) -> Announced {
        let known = self.entries.get(&record.endpoint);
        let standing = known.map_or(Standing::Current, |known| known.listing.standing(&record));
        match standing {
            Standing::Current => self.announce_current(now_ms, record),
            _ if self.list_if_proved(now_ms, record, standing) => Announced::Listed,
            Standing::Left => Announced::Left,
            Standing::Outdated => Announced::Outdated,
        }
    }

    fn announce_current(&mut self, now_ms: u64, record: EndpointRecord) -> Announced {
        self.evidence.remove(&record.endpoint);
        let mut listing = Listing::announced(record);
        if let Some(known) = self.entries.get_mut(&listing.record.endpoint) {
            listing = listing.merge(known.listing.clone());
            if known.is_renewed_by(now_ms, &listing) {
                known.listing = listing;
                known.update_cold_time(now_ms);
                known.monitor = LeaseMonitor::Local(now_ms);
                return Announced::Renewed;
            }
        }
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
        Announced::Listed
    }

    /// Records an announcement that is not current as evidence, and lists the endpoint if that proves that it
    /// runs; returns whether it did.
    fn list_if_proved(
        &mut self,
        now_ms: u64,
        mut record: EndpointRecord,
        standing: Standing,
    ) -> bool {
        let Some(known) = self.entries.get(&record.endpoint) else { return false };
        let evidence = self.evidence.entry(record.endpoint.clone());
        let evidence = evidence
            .and_modify(|evidence| evidence.record(now_ms, &record))
            .or_insert_with(|| Evidence::new(now_ms, &record));
        if !evidence.is_proof(now_ms, &known.listing, standing) {
            return false;
        }
        record.leaving |= evidence.leaving;
        let listing = known.listing.overridden_by(record);
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
        true
    }

    /// Withdraws an endpoint for good, known or not: the known incarnation, and each one that was started
    /// until `now_unix_ms`, in milliseconds since the Unix epoch. A farewell names no incarnation, and may
    /// come before the first announcement of the one that says it.
    pub fn withdraw(&mut self, now_ms: u64, name: &EndpointName, now_unix_ms: u64) {
        let known = self.entries.get(name);
        // A listed incarnation has most likely said it itself, and may be started again at once.
        let is_attributed =
            known.is_some_and(|known| !known.listing.gone || known.was_just_withdrawn(now_ms));
        let margin_ms = if is_attributed { 0 } else { FAREWELL_MARGIN_MS };
        let started_until = now_unix_ms.saturating_add(margin_ms);
        let listing = match known {
            Some(known) => known.listing.withdrawn_until(started_until),
            None => Listing::of_farewell(name.clone(), started_until),
        };
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
    }
}
