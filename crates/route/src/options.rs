//! Options of the scheduler.

/// The load-balancing policy that chooses an endpoint for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The endpoint with the shortest expected time, with prefix affinity.
    #[default]
    ExpectedTime,
    /// A random endpoint; a baseline for measurements.
    Random,
    /// Round robin; a baseline for measurements.
    RoundRobin,
    /// The endpoint with the fewest requests in flight; a baseline for measurements.
    LeastInFlight,
}

/// Options of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The maximum number of waiting requests per service.
    pub queue_max: usize,
    /// How long a shed floor (the lowest tier admitted) stays in force after the last request was
    /// shed, in milliseconds.
    pub floor_ms: u64,
    /// The load-balancing policy.
    pub policy: Policy,
    /// Whether requests are scheduled by tier. `false` puts all requests in the lowest tier; a
    /// baseline for measurements.
    pub tiers: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { queue_max: 1_000, floor_ms: 1_500, policy: Policy::ExpectedTime, tiers: true }
    }
}
