//! What must outlive the replicas of an endpoint that leaves.
//!
//! That an endpoint leaves is acknowledged, and nothing may list its incarnation again: not an announcement
//! that arrives late, at a replica that has restarted meanwhile. Listings are in memory only; what is
//! acknowledged is therefore stored, and restored before a replica takes announcements.

use super::{Directory, Entry, GONE_RETENTION_MS, LeaseMonitor, Listing, Source};
use lycheehub_types::EndpointName;
use serde::{Deserialize, Serialize};

/// That an endpoint leaves, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The incarnation up to which it has left.
    pub incarnation: u64,
    /// The sequence of the announcement that said so.
    pub sequence: u64,
    /// Whether it was withdrawn for good; otherwise it only drains.
    pub withdrawn: bool,
    /// The incarnation that was known when it was withdrawn.
    pub left: Option<u64>,
    /// When the replica learned it, in milliseconds since the Unix epoch by its clock.
    pub since_unix_ms: u64,
}

impl Departure {
    /// Returns whether it is still needed: endpoints announce themselves late by seconds, not by minutes. A
    /// clock that was set back makes it seem to lie ahead.
    pub fn is_needed(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.since_unix_ms.saturating_add(GONE_RETENTION_MS)
    }

    fn of(entry: &Entry, now_unix_ms: u64) -> Self {
        let record = &entry.listing.record;
        Self {
            endpoint: record.endpoint.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            withdrawn: entry.listing.withdrawn,
            left: entry.listing.left,
            since_unix_ms: now_unix_ms,
        }
    }
}

impl Directory {
    /// Returns what endpoints that leave have said, and what is not [saved](Self::mark_saved) yet.
    pub fn unsaved_departures(&self, now_unix_ms: u64) -> Vec<Departure> {
        let entries = self.unsaved.iter().filter_map(|name| self.entries.get(name));
        let leaving = entries.filter(|entry| entry.listing.record.leaving);
        leaving.map(|entry| Departure::of(entry, now_unix_ms)).collect()
    }

    /// Records that all departures so far are stored.
    pub fn mark_saved(&mut self) {
        self.unsaved.clear();
    }

    /// Restores a departure that was stored before a restart. The endpoint may drain still: it is listed again
    /// as leaving when it says so the next time, and by watchers that know more.
    pub fn restore(&mut self, now_ms: u64, departure: Departure) {
        let Departure { endpoint, incarnation, sequence, withdrawn, left, .. } = departure;
        let mut listing = Listing::of_farewell(endpoint.clone(), incarnation);
        listing.withdrawn = withdrawn;
        // Who knows the announcement itself knows more than this.
        listing.record.sequence = sequence.saturating_sub(1);
        listing.left = left;
        self.insert(now_ms, listing, LeaseMonitor::Local(now_ms), Source::Local);
        self.unsaved.remove(&endpoint);
    }
}
