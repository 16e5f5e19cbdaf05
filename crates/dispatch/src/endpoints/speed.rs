//! The estimated speed of an endpoint, learned from its responses.

/// The weight of a new observation.
const WEIGHT: f64 = 0.25;
/// The initial estimate of the prefill time per prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.02;
/// The initial estimate of the time per stream event, in milliseconds.
const EVENT_MS: f64 = 25.0;
/// The minimum expected time from which speed can be told apart from network latency, in
/// milliseconds.
const INFORMATIVE_MIN_MS: f64 = 10.0;
/// The maximum ratio between an observation and the expectation.
const RATIO_MAX: f64 = 4.0;

/// The expected times of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    prefill_ms_per_token: f64,
    event_ms: f64,
    /// The time of a whole response that is not a stream, in milliseconds; 0 before the first one.
    response_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { prefill_ms_per_token: PREFILL_MS_PER_TOKEN, event_ms: EVENT_MS, response_ms: 0.0 }
    }
}

impl Speed {
    /// Returns the time to prefill a prompt of `tokens` tokens, in milliseconds.
    ///
    /// # Examples
    /// ```
    /// let speed = lycheehub_dispatch::endpoints::Speed::default();
    /// assert!(speed.prefill_ms(2_000) > speed.prefill_ms(1_000));
    /// ```
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.prefill_ms_per_token
    }

    /// Returns the time that `events` events take, in milliseconds.
    pub fn events_ms(&self, events: f64) -> f64 {
        events * self.event_ms
    }

    /// Returns the time of a whole response that is not a stream, in milliseconds.
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// Updates the prefill time from a first event that was expected after `expected_ms` by an `earlier` estimate.
    /// Many requests are under way at a time: the error of their common estimate is corrected once, not by each.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Speed;
    ///
    /// let (earlier, mut speed) = (Speed::default(), Speed::default());
    /// for _ in 0..100 {
    ///     speed.learn_first_event(earlier, 80.0, 40.0);
    /// }
    /// assert!(speed.prefill_ms(1_000) > 0.49 * earlier.prefill_ms(1_000));
    /// ```
    pub fn learn_first_event(&mut self, earlier: Self, expected_ms: f64, observed_ms: f64) {
        if expected_ms < INFORMATIVE_MIN_MS {
            return;
        }
        let ratio = (observed_ms / expected_ms).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let observed_ms_per_token = earlier.prefill_ms_per_token * ratio;
        self.prefill_ms_per_token *=
            (observed_ms_per_token / self.prefill_ms_per_token).powf(WEIGHT);
    }

    /// Updates the time per event from `events` events received within `rest_ms`.
    pub fn learn_events(&mut self, events: u32, rest_ms: f64) {
        if events > 0 {
            self.event_ms += WEIGHT * (rest_ms / f64::from(events) - self.event_ms);
        }
    }

    /// Updates the time of a whole response.
    pub fn learn_response(&mut self, observed_ms: f64) {
        let weight = if self.response_ms == 0.0 { 1.0 } else { WEIGHT };
        self.response_ms += weight * (observed_ms - self.response_ms);
    }

    /// Returns the lowest value of each estimate among several endpoints.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Speed;
    /// assert_eq!(Speed::fastest([].into_iter()), Speed::default());
    /// ```
    pub fn fastest<'a>(known: impl Iterator<Item = &'a Self>) -> Self {
        let least = |a: Self, b: Self| Self {
            prefill_ms_per_token: a.prefill_ms_per_token.min(b.prefill_ms_per_token),
            event_ms: a.event_ms.min(b.event_ms),
            response_ms: a.response_ms.min(b.response_ms),
        };
        known.copied().reduce(least).unwrap_or_default()
    }

    /// Returns the mean of each estimate over several endpoints, or the defaults for none.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Speed;
    /// assert_eq!(Speed::mean([].into_iter()), Speed::default());
    /// ```
    pub fn mean<'a>(known: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self { prefill_ms_per_token: 0.0, event_ms: 0.0, response_ms: 0.0 };
        let mut count = 0.0;
        for speed in known {
            sum.prefill_ms_per_token += speed.prefill_ms_per_token;
            sum.event_ms += speed.event_ms;
            sum.response_ms += speed.response_ms;
            count += 1.0;
        }
        if count == 0.0 {
            return Self::default();
        }
        Self {
            prefill_ms_per_token: sum.prefill_ms_per_token / count,
            event_ms: sum.event_ms / count,
            response_ms: sum.response_ms / count,
        }
    }
}
