//! Outcomes of requests per version: sums that can be merged across instances.

use lycheehub_types::{Route, ServiceName, Version};
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// The service, version and route of an observation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservationKey {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: Version,
    /// The route.
    pub route: Route,
}

/// Sums over finished requests.
///
/// # Examples
/// ```
/// use lycheehub_control::moves::Observation;
///
/// let mut sum = Observation::success(20.0);
/// sum += Observation::failure();
/// assert_eq!((sum.requests, sum.failures, sum.timed), (2, 1, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// The number of finished requests.
    pub requests: u64,
    /// The number of requests that failed because of the endpoint.
    pub failures: u64,
    /// The number of requests whose time per token is known.
    pub timed: u64,
    /// The sum of the natural logarithms of the time per token in milliseconds.
    pub log_time_sum: f64,
    /// The sum of the squares of those logarithms.
    pub log_time_square_sum: f64,
}

impl Observation {
    /// Creates the observation of a request that succeeded at `token_ms` milliseconds per token.
    pub fn success(token_ms: f64) -> Self {
        const SHORTEST_MS: f64 = 0.001;
        let log = token_ms.max(SHORTEST_MS).ln();
        Self {
            requests: 1,
            failures: 0,
            timed: 1,
            log_time_sum: log,
            log_time_square_sum: log * log,
        }
    }

    /// Creates the observation of a failed request.
    pub fn failure() -> Self {
        Self { requests: 1, failures: 1, ..Self::default() }
    }

    /// Returns the mean logarithm of the time per token.
    pub fn log_mean(&self) -> f64 {
        if self.timed == 0 { 0.0 } else { self.log_time_sum / self.timed as f64 }
    }

    /// Returns the variance of the logarithm of the time per token.
    pub fn log_variance(&self) -> f64 {
        if self.timed < 2 {
            return 0.0;
        }
        let mean = self.log_mean();
        (self.log_time_square_sum / self.timed as f64 - mean * mean).max(0.0)
    }
}

impl AddAssign for Observation {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_time_sum += other.log_time_sum;
        self.log_time_square_sum += other.log_time_square_sum;
    }
}

/// Observations by key.
pub type Observations = BTreeMap<ObservationKey, Observation>;
