//! Weights and limits of the dispatcher.

/// Weights and limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The fraction of each endpoint's slots that this dispatcher may use; 1 if it handles the
    /// requests of all instances.
    pub slot_share: f64,
    /// The salt of the hash that selects this dispatcher's slots; different for each dispatcher.
    pub slot_salt: u64,
    /// The fraction of the quotas and of the retry budget that this dispatcher may use.
    pub budget_share: f64,
    /// The length of the quota window, in milliseconds.
    pub quota_window_ms: u64,
    /// How far the usage in a window may exceed a quota, as a fraction of it.
    pub quota_overshoot: f64,
    /// How many further units may be used in a window.
    pub quota_slack_units: f64,
    /// The number of retries allowed per request of a service.
    pub retry_ratio: f64,
    /// The number of further retries allowed per service and window.
    pub retry_slack: f64,
    /// The length of the window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The maximum number of queued jobs per service.
    pub queue_max: usize,
    /// The cost of an endpoint outside the caller's failure domain, in milliseconds of waiting.
    pub cross_domain_cost_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slot_share: 1.0,
            slot_salt: 0,
            budget_share: 1.0,
            quota_window_ms: 8_000,
            quota_overshoot: 0.0,
            quota_slack_units: 0.0,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window_ms: 10_000,
            queue_max: 5_000,
            cross_domain_cost_ms: 4.0,
        }
    }
}
