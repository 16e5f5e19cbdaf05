//! The scheduler's limits.

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the expected time, with prefix affinity.
    #[default]
    ExpectedTime,
    /// At random; a baseline for measurements.
    Random,
    /// In turn; a baseline for measurements.
    RoundRobin,
    /// Least requests in flight; a baseline for measurements.
    LeastInFlight,
}

/// The scheduler's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The most requests that wait for one service.
    pub queue_max: usize,
    /// How long a shed floor holds after the last request was shed, in milliseconds.
    pub floor_ms: u64,
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Whether tiers count; without them all requests are of one tier, a baseline.
    pub tiers: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { queue_max: 1_000, floor_ms: 1_500, policy: Policy::ExpectedTime, tiers: true }
    }
}
