//! Weights and limits of the dispatcher.

/// The part of an endpoint's limit that instances without a leader use: they do not know of each
/// other when they send, so their requests coincide at times.
const LEADERLESS_RATE_FACTOR: f64 = 0.75;

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
    /// The fraction of the rates to which endpoints limit all instances together that this dispatcher
    /// may use.
    pub rate_share: f64,
    /// Whether the requests of all instances are submitted here, except those of absent ones.
    pub sees_all_requests: bool,
    /// The fraction of all instances whose requests should be submitted here but are not, because
    /// they are cut off or gone. They may place requests themselves, each with an equal share.
    pub absent_share: f64,
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
            rate_share: 1.0,
            sees_all_requests: true,
            absent_share: 0.0,
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

impl Options {
    /// Returns the options of one of `instances` dispatchers that do not communicate: each has an
    /// equal share of all limits, and `salt` tells them apart.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::Options;
    ///
    /// let options = Options::default().for_one_of(4, 7);
    /// assert_eq!((options.slot_share, options.slot_salt), (0.25, 7));
    /// ```
    pub fn for_one_of(self, instances: u32, salt: u64) -> Self {
        let share = 1.0 / f64::from(instances.max(1));
        Self {
            slot_share: share,
            slot_salt: salt,
            budget_share: share,
            rate_share: share * LEADERLESS_RATE_FACTOR,
            sees_all_requests: false,
            ..self
        }
    }

    /// Returns the fraction of the endpoints' limits that this dispatcher may use, without that of
    /// absent instances.
    pub(crate) fn present_rate_share(&self) -> f64 {
        // An endpoint may be sent a request at some time even if all instances are absent.
        const PRESENT_MIN: f64 = 0.01;
        self.rate_share * (1.0 - self.absent_share).max(PRESENT_MIN)
    }
}
