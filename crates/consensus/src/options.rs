//! The replica's times and sizes.

use std::ops::RangeInclusive;

/// Times and sizes that all replicas of one log must share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How often a leader sends heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The shortest time without a leader after which a replica campaigns, in milliseconds.
    pub election_min_ms: u64,
    /// The longest time without a leader after which a replica campaigns, in milliseconds.
    pub election_max_ms: u64,
    /// Whether a leader acts by its lease alone, without asking a quorum. Where none does, a replica
    /// has promised nothing to a leader before it started, and may vote at once.
    pub leases: bool,
    /// How far two clocks may drift apart over the lease, in thousandths.
    pub clock_drift_permille: u64,
    /// The most entry bytes in one message.
    pub append_max_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            election_min_ms: 1_000,
            election_max_ms: 2_000,
            leases: true,
            clock_drift_permille: 50,
            append_max_bytes: 512 * 1024,
        }
    }
}

impl Options {
    /// Returns the shortest and the longest time, in milliseconds, after which a replica campaigns
    /// that has heard no leader since it started: one that is there would be heard with its next
    /// heartbeats.
    pub(crate) fn first_election_ms(&self) -> RangeInclusive<u64> {
        const HEARTBEATS_MAX: u64 = 3;
        if self.leases {
            return self.election_ms();
        }
        self.heartbeat_ms..=self.heartbeat_ms * HEARTBEATS_MAX
    }

    /// Returns the shortest and the longest time without a leader after which a replica campaigns,
    /// in milliseconds.
    pub(crate) fn election_ms(&self) -> RangeInclusive<u64> {
        self.election_min_ms..=self.election_max_ms
    }

    /// Returns how long a leader may act after a quorum was last known to follow it, in
    /// milliseconds by its own clock.
    ///
    /// Followers promise no vote for `election_min_ms` by their clocks, which may run faster than
    /// the leader's by the drift.
    ///
    /// # Examples
    /// ```
    /// let options = lycheehub_consensus::Options::default();
    /// assert!(options.lease_ms() < options.election_min_ms);
    /// ```
    pub fn lease_ms(&self) -> u64 {
        self.election_min_ms * (1_000 - 2 * self.clock_drift_permille.min(500)) / 1_000
    }
}
