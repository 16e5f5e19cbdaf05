//! Weights and bounds of the dispatcher.

/// Weights and bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The part of each endpoint's slots that this dispatcher may use: 1 where it sees the requests
    /// of all instances.
    pub slot_share: f64,
    /// What the slots that fall to this dispatcher are drawn by; it differs from one to the other.
    pub slot_salt: u64,
    /// The part of quotas and of the retry budget that it may use.
    pub budget_share: f64,
    /// The length of the window for which quotas hold, in milliseconds.
    pub quota_window_ms: u64,
    /// How far use may pass a quota in a window, as a part of it.
    pub quota_overshoot: f64,
    /// How many units may be used beyond that.
    pub quota_slack_units: f64,
    /// How many repeats each request of a service allows.
    pub retry_ratio: f64,
    /// How many repeats of a service are allowed besides, in a window.
    pub retry_slack: f64,
    /// The length of the window in which repeats are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The most requests that wait for one service.
    pub queue_max: usize,
    /// What an endpoint outside the caller's failure domain costs, in milliseconds of waiting.
    pub foreign_domain_ms: f64,
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
            foreign_domain_ms: 4.0,
        }
    }
}
