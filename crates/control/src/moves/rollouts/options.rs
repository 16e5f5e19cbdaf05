//! What the settings allow a version under comparison, and how many requests both versions have had.

/// How many requests a bad version may receive between the order and the time limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOptions {
    /// The share of the service's requests.
    pub exposure_share: f64,
    /// The number of requests in addition.
    pub exposure_slack: f64,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self { exposure_share: 0.1, exposure_slack: 0.0 }
    }
}

/// The current use of the versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// The slots of endpoints with the new version.
    pub new_slots: u32,
    /// Those of them whose endpoints are still cold: slow after their start.
    pub cold_slots: u32,
    /// The slots of endpoints with other versions that may receive requests.
    pub old_slots: u32,
    /// The requests that this leader has sent to endpoints with the new version.
    pub new_placed: u64,
    /// The requests that it has sent to the others since then.
    pub old_placed: u64,
}
