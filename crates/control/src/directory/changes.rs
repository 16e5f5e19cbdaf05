//! The changes that a replica sends to its watchers.
//!
//! Load pattern: hundreds of instances watch every replica, and thousands of endpoints announce
//! themselves. If each replica forwarded all changes, each instance would receive each change as
//! often as there are replicas. A replica therefore sends the changes that it detected itself. It
//! forwards changes of other replicas only after a delay, and only to watchers that report that
//! they have not received these changes directly.

use super::{Directory, Entry, Listing, Source};
use lycheehub_types::{EndpointName, InstanceName};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The position up to which a watcher has received a replica's changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangePosition {
    /// The epoch of the replica, which changes when it restarts.
    pub epoch: u64,
    /// The number of the last change received.
    pub change: u64,
}

impl ChangePosition {
    fn covers(self, other: ChangePosition) -> bool {
        self.epoch == other.epoch && self.change >= other.change
    }
}

/// A batch of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The current listings of the changed endpoints.
    pub listings: Vec<Listing>,
    /// The number of the last change that the batch covers.
    pub up_to: u64,
}

/// The endpoints by the number of their last change.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeIndex {
    /// Changes detected by this replica.
    local: BTreeMap<u64, EndpointName>,
    /// Changes received from other replicas.
    remote: BTreeMap<u64, EndpointName>,
}

impl ChangeIndex {
    pub(super) fn insert(&mut self, change: u64, endpoint: EndpointName, source: &Source) {
        let by_change = match source {
            Source::Local => &mut self.local,
            Source::Replica(..) | Source::Relayed => &mut self.remote,
        };
        by_change.insert(change, endpoint);
    }

    pub(super) fn remove(&mut self, change: u64) {
        self.local.remove(&change);
        self.remote.remove(&change);
    }
}

impl Directory {
    /// Returns at most `limit` changes detected by this replica after change number `change`,
    /// oldest first.
    pub fn local_changes_after(&self, change: u64, limit: usize) -> Changes {
        let entries: Vec<&Entry> =
            self.entries_after(&self.index.local, change).take(limit).collect();
        let up_to = entries.last().map_or(change, |entry| entry.change);
        let listings = entries.into_iter().map(|entry| entry.listing.clone()).collect();
        Changes { listings, up_to }
    }

    /// Returns at most `limit` changes received from other replicas after change number `change`
    /// and no later than `before_ms`. Changes that the watcher has received directly, as stated by
    /// `positions`, are left out.
    pub fn relayed_changes_after(
        &self,
        change: u64,
        limit: usize,
        before_ms: u64,
        positions: &BTreeMap<InstanceName, ChangePosition>,
    ) -> Changes {
        let is_unseen = |entry: &Entry| match &entry.source {
            Source::Local => false,
            Source::Relayed => true,
            Source::Replica(replica, up_to) => {
                !positions.get(replica).is_some_and(|position| position.covers(*up_to))
            }
        };
        let remote = self.entries_after(&self.index.remote, change);
        let mut changes = Changes { listings: Vec::new(), up_to: change };
        for entry in remote.take_while(|entry| entry.changed_ms <= before_ms) {
            if changes.listings.len() == limit {
                break;
            }
            changes.up_to = entry.change;
            if is_unseen(entry) {
                changes.listings.push(entry.listing.clone());
            }
        }
        changes
    }

    /// Returns the number of changes detected by this replica after change number `change`, at most
    /// `limit`, and when the oldest of them occurred, in milliseconds.
    pub fn pending_local_changes(&self, change: u64, limit: usize) -> Option<(usize, u64)> {
        let mut local = self.entries_after(&self.index.local, change).take(limit);
        let oldest_ms = local.next()?.changed_ms;
        Some((1 + local.count(), oldest_ms))
    }

    fn entries_after<'a>(
        &'a self,
        changes: &'a BTreeMap<u64, EndpointName>,
        change: u64,
    ) -> impl Iterator<Item = &'a Entry> {
        let later = changes.range((Bound::Excluded(change), Bound::Unbounded));
        later.filter_map(|(_, name)| self.entries.get(name))
    }
}
