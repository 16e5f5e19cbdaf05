//! Evidence that an endpoint runs whose announcements look outdated.
//!
//! An announcement with earlier numbers than the listed ones is most likely late. But one entry of another
//! writer with high numbers would silence the true endpoint, and so would a start of it with the clock behind.
//! If nothing renews the listing until its lease ends, and announcements of one incarnation keep arriving in
//! order for longer than one may be late, that incarnation runs, and overrides the listing.
//!
//! After a farewell it takes longer, because a farewell names no incarnation: it may be of the one that is
//! announced. What was announced before a farewell is no evidence after it.

use super::LEASE_MS;
use super::listing::{Listing, Standing};
use lycheehub_types::EndpointRecord;

/// The least number of rising announcements that prove an endpoint.
const ANNOUNCEMENTS_MIN: u32 = 3;
/// The least time over which they arrive, in milliseconds: announcements that a broken path held back
/// arrive together, perhaps after the endpoint has ended.
const PROOF_MIN_MS: u64 = LEASE_MS / 2;
/// The least time after a farewell that may be of this incarnation: longer than an endpoint goes on after one.
const WITHDRAWN_PROOF_MIN_MS: u64 = 30_000;
/// The least time for an incarnation that is known to have left: its farewell was of an earlier incarnation and came
/// late.
const LEFT_PROOF_MIN_MS: u64 = 90_000;

/// The announcements of an incarnation that look outdated.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    incarnation: u64,
    sequence: u64,
    since_ms: u64,
    announcements: u32,
    /// Whether the incarnation has said that it leaves.
    pub(super) leaving: bool,
}

impl Evidence {
    pub(super) fn new(now_ms: u64, record: &EndpointRecord) -> Self {
        Self {
            incarnation: record.incarnation,
            sequence: record.sequence,
            since_ms: now_ms,
            announcements: 1,
            leaving: record.leaving,
        }
    }

    /// Records an announcement.
    pub(super) fn record(&mut self, now_ms: u64, record: &EndpointRecord) {
        let is_same = record.incarnation == self.incarnation;
        let leaving = record.leaving || (is_same && self.leaving);
        if is_same && record.sequence > self.sequence {
            self.sequence = record.sequence;
            self.announcements = self.announcements.saturating_add(1);
        } else {
            *self = Self::new(now_ms, record);
        }
        self.leaving = leaving;
    }

    /// Returns whether the announcements prove that their incarnation runs, in spite of the listing.
    pub(super) fn is_proof(&self, now_ms: u64, listing: &Listing, standing: Standing) -> bool {
        let least_ms = match standing {
            Standing::Left => LEFT_PROOF_MIN_MS,
            _ if listing.withdrawn => WITHDRAWN_PROOF_MIN_MS,
            _ => PROOF_MIN_MS,
        };
        listing.gone
            && self.announcements >= ANNOUNCEMENTS_MIN
            && now_ms >= self.since_ms.saturating_add(least_ms)
    }
}
