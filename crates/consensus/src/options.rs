//! The replica's timing and size parameters.

use std::ops::RangeInclusive;

/// Timing and size parameters, which must be the same on all replicas of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The lower bound of the election timeout, in milliseconds.
    pub election_min_ms: u64,
    /// The upper bound of the election timeout, in milliseconds.
    pub election_max_ms: u64,
    /// Whether a leader acts on its lease alone, without confirming with a quorum. Without leases a
    /// restarted replica is bound by no earlier promise to a leader, so it may vote at once.
    pub leases: bool,
    /// The maximum drift between two replicas' clocks over the lease, in thousandths.
    pub clock_drift_permille: u64,
    /// The maximum size of the entries in one message, in bytes.
    pub append_max_bytes: usize,
    /// The number of voters that remain in any case: none of them is removed unless another replica
    /// takes its place.
    pub voters_min: usize,
    /// The maximum number of voters; further replicas are learners.
    pub voters_max: usize,
    /// The number of heartbeats that a voter may leave without a reply before another replica replaces
    /// it. A voter that said that it stops is replaced at once.
    pub silent_heartbeats: u64,
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
            voters_min: 3,
            voters_max: 5,
            silent_heartbeats: 3,
        }
    }
}

impl Options {
    /// Returns the range of the election timeout, in milliseconds, for a replica that has had no
    /// contact with a leader since it started, or for the minimum election timeout.
    ///
    /// Without leases the timeout is at most three heartbeats, since an existing leader would send
    /// one within that time.
    pub(crate) fn initial_election_timeout_range_ms(&self) -> RangeInclusive<u64> {
        const HEARTBEATS_MAX: u64 = 3;
        if self.leases {
            return self.election_timeout_range_ms();
        }
        self.heartbeat_ms..=self.heartbeat_ms * HEARTBEATS_MAX
    }

    /// Returns the range of the election timeout, in milliseconds.
    pub(crate) fn election_timeout_range_ms(&self) -> RangeInclusive<u64> {
        self.election_min_ms..=self.election_max_ms
    }

    /// Returns the length of the leader lease after the last contact with a quorum, in milliseconds
    /// of the leader's clock.
    ///
    /// Followers withhold their votes for `election_min_ms` of their own clocks. The lease is
    /// shorter, since their clocks may run faster than the leader's by the drift.
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
