//! What a replica tells those that watch it.
//!
//! Load pattern: hundreds of instances watch every replica, and thousands of endpoints announce
//! themselves. Were each replica to pass on all that it knows, each instance would be told of each
//! endpoint as often as there are replicas. So a replica tells what it has heard itself, and what
//! others told it only to those that say that they have not heard as much from those themselves,
//! some time after it came.

use super::{Directory, Entry, Listing, Source};
use lycheehub_types::{EndpointName, InstanceName};
use std::collections::BTreeMap;
use std::ops::Bound;

/// How far one that watches a replica was told by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The run of the replica.
    pub epoch: u64,
    /// The number of the last change that was told.
    pub change: u64,
}

impl Heard {
    fn covers(self, other: Heard) -> bool {
        self.epoch == other.epoch && self.change >= other.change
    }
}

/// A part of what changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The endpoints, as they are now.
    pub listings: Vec<Listing>,
    /// The number of the last change that is part of these.
    pub up_to: u64,
}

/// The endpoints by the numbers of their last changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    /// Of those changes that were heard here.
    own: BTreeMap<u64, EndpointName>,
    /// Of those that other replicas told.
    told: BTreeMap<u64, EndpointName>,
}

impl Order {
    pub(super) fn add(&mut self, change: u64, endpoint: EndpointName, source: &Source) {
        let changes = match source {
            Source::Own => &mut self.own,
            Source::Heard(..) | Source::Relayed => &mut self.told,
        };
        changes.insert(change, endpoint);
    }

    pub(super) fn forget(&mut self, change: u64) {
        self.own.remove(&change);
        self.told.remove(&change);
    }
}

impl Directory {
    /// Returns what was heard here after the change of number `change`, the oldest changes first, at
    /// most `most` of them.
    pub fn own_after(&self, change: u64, most: usize) -> Changes {
        let changed: Vec<&Entry> = self.later(&self.order.own, change).take(most).collect();
        let up_to = changed.last().map_or(change, |entry| entry.change);
        let listings = changed.into_iter().map(|entry| entry.listing.clone()).collect();
        Changes { listings, up_to }
    }

    /// Returns what other replicas told after the change of number `change`, at most `most` of it,
    /// and what came until `before_ms`, to one that has `heard` so much from replicas itself.
    pub fn relays_after(
        &self,
        change: u64,
        most: usize,
        before_ms: u64,
        heard: &BTreeMap<InstanceName, Heard>,
    ) -> Changes {
        let is_unheard = |entry: &Entry| match &entry.source {
            Source::Own => false,
            Source::Relayed => true,
            Source::Heard(replica, up_to) => {
                !heard.get(replica).is_some_and(|heard| heard.covers(*up_to))
            }
        };
        let told = self.later(&self.order.told, change);
        let mut changes = Changes { listings: Vec::new(), up_to: change };
        for entry in told.take_while(|entry| entry.changed_ms <= before_ms) {
            if changes.listings.len() == most {
                break;
            }
            changes.up_to = entry.change;
            if is_unheard(entry) {
                changes.listings.push(entry.listing.clone());
            }
        }
        changes
    }

    /// Returns how many changes were heard here after the one of number `change`, up to `most`, and
    /// when the oldest of them came, in milliseconds.
    pub fn own_news(&self, change: u64, most: usize) -> Option<(usize, u64)> {
        let mut own = self.later(&self.order.own, change).take(most);
        let oldest_ms = own.next()?.changed_ms;
        Some((1 + own.count(), oldest_ms))
    }

    fn later<'a>(
        &'a self,
        changes: &'a BTreeMap<u64, EndpointName>,
        change: u64,
    ) -> impl Iterator<Item = &'a Entry> {
        let later = changes.range((Bound::Excluded(change), Bound::Unbounded));
        later.filter_map(|(_, name)| self.entries.get(name))
    }
}
