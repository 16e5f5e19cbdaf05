//! Endpoints whose announcements another writer has overtaken with higher numbers.
//!
//! An announcement with a lower incarnation or sequence than the known one is outdated, so one entry
//! of another writer with high numbers would silence the true endpoint. If the known numbers are not
//! renewed until their lease ends, and announcements with lower numbers keep arriving in order, these
//! are the true ones. The endpoint is then listed again under the known numbers, continued, so that
//! every replica and watcher takes the listing for a newer one.
//!
//! A farewell names no incarnation, so it also holds for a later start if the clocks of the endpoint and of
//! the replica differ, or if it comes late. An endpoint that goes on to announce itself for long after it is
//! listed again, too.

use super::{LEASE_MS, Listing};
use lycheehub_types::EndpointRecord;

/// The least number of rising announcements that prove an endpoint.
const ANNOUNCEMENTS_MIN: u32 = 3;
/// The least time over which they arrive, in milliseconds: announcements that a broken path held back
/// arrive together, perhaps after the endpoint has ended.
const PROOF_MIN_MS: u64 = LEASE_MS / 2;
/// The least time for an endpoint that said farewell: longer than one goes on after that.
const WITHDRAWN_PROOF_MIN_MS: u64 = 30_000;

/// The announcements of an endpoint that looked outdated.
#[derive(Clone, Debug)]
pub(super) struct Overtaken {
    incarnation: u64,
    sequence: u64,
    since_ms: u64,
    announcements: u32,
    /// The incarnation under which the endpoint is listed, and what is added to its sequence.
    listed_as: Option<(u64, u64)>,
}

impl Overtaken {
    pub(super) fn new(now_ms: u64, record: &EndpointRecord) -> Self {
        Self {
            incarnation: record.incarnation,
            sequence: record.sequence,
            since_ms: now_ms,
            announcements: 1,
            listed_as: None,
        }
    }

    /// Returns the record with the numbers under which it is listed.
    pub(super) fn translate(&self, mut record: EndpointRecord) -> EndpointRecord {
        if let Some((incarnation, offset)) = self.listed_as
            && record.incarnation == self.incarnation
        {
            record.incarnation = incarnation;
            record.sequence = record.sequence.saturating_add(offset);
        }
        record
    }

    /// Records an announcement that looks outdated.
    pub(super) fn record(&mut self, now_ms: u64, record: &EndpointRecord) {
        if record.incarnation != self.incarnation || record.sequence <= self.sequence {
            let listed_as = self.listed_as.filter(|_| record.incarnation == self.incarnation);
            *self = Self { listed_as, ..Self::new(now_ms, record) };
            return;
        }
        self.sequence = record.sequence;
        self.announcements = self.announcements.saturating_add(1);
    }

    /// Records that an announcement was newer than the known one; returns whether its numbers had to be
    /// translated.
    pub(super) fn record_newer(&mut self) -> bool {
        self.announcements = 0;
        self.listed_as.is_some()
    }

    /// Returns whether the announcements prove that the endpoint runs, though its listing is newer.
    pub(super) fn is_proved(&self, now_ms: u64, known: &Listing) -> bool {
        let least_ms = if known.withdrawn { WITHDRAWN_PROOF_MIN_MS } else { PROOF_MIN_MS };
        self.announcements >= ANNOUNCEMENTS_MIN && now_ms >= self.since_ms.saturating_add(least_ms)
    }

    /// Lists the endpoint under the numbers of `known`, continued. A farewell ends an incarnation.
    pub(super) fn continue_from(&mut self, known: &Listing) {
        let record = &known.record;
        let incarnation = record.incarnation.saturating_add(u64::from(known.withdrawn));
        let next = record.sequence.saturating_add(1);
        self.listed_as = Some((incarnation, next.saturating_sub(self.sequence)));
    }
}
