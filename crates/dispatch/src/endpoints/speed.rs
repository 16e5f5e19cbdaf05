//! How fast an endpoint is, learned from what it answered.

/// The weight of a new observation.
const WEIGHT: f64 = 0.25;
/// How long a token of a prompt takes where nothing is known, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.02;
/// How long an event of a stream takes where nothing is known, in milliseconds.
const EVENT_MS: f64 = 25.0;
/// The least expectation that tells speed from the delay of the network, in milliseconds.
const TELLING_MS: f64 = 10.0;
/// How far one observation may differ from the expectation, as a factor.
const SURPRISE_MAX: f64 = 4.0;

/// Expected times of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    prefill_ms_per_token: f64,
    event_ms: f64,
    /// The time of a whole answer that is no stream; 0 until one was seen.
    answer_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { prefill_ms_per_token: PREFILL_MS_PER_TOKEN, event_ms: EVENT_MS, answer_ms: 0.0 }
    }
}

impl Speed {
    /// Returns how long reading a prompt of `tokens` takes, in milliseconds.
    ///
    /// # Examples
    /// ```
    /// let speed = lycheehub_dispatch::endpoints::Speed::default();
    /// assert!(speed.prefill_ms(2_000) > speed.prefill_ms(1_000));
    /// ```
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.prefill_ms_per_token
    }

    /// Returns how long `events` events take, in milliseconds.
    pub fn events_ms(&self, events: f64) -> f64 {
        events * self.event_ms
    }

    /// Returns the time of a whole answer that is no stream, in milliseconds.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms
    }

    /// Learns from a first event that was expected after `expected_ms`.
    pub fn learn_first_event(&mut self, expected_ms: f64, seen_ms: f64) {
        if expected_ms < TELLING_MS {
            return;
        }
        let ratio = (seen_ms / expected_ms).clamp(1.0 / SURPRISE_MAX, SURPRISE_MAX);
        self.prefill_ms_per_token *= ratio.powf(WEIGHT);
    }

    /// Learns from `events` events that came within `rest_ms`.
    pub fn learn_events(&mut self, events: u32, rest_ms: f64) {
        if events > 0 {
            self.event_ms += WEIGHT * (rest_ms / f64::from(events) - self.event_ms);
        }
    }

    /// Learns from a whole answer that took `seen_ms`.
    pub fn learn_answer(&mut self, seen_ms: f64) {
        let weight = if self.answer_ms == 0.0 { 1.0 } else { WEIGHT };
        self.answer_ms += weight * (seen_ms - self.answer_ms);
    }

    /// Returns the times of the fastest of several endpoints: the least of each.
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
            answer_ms: a.answer_ms.min(b.answer_ms),
        };
        known.copied().reduce(least).unwrap_or_default()
    }

    /// Returns the mean of several endpoints' times, for one of which nothing is known.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::Speed;
    /// assert_eq!(Speed::mean([].into_iter()), Speed::default());
    /// ```
    pub fn mean<'a>(known: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self { prefill_ms_per_token: 0.0, event_ms: 0.0, answer_ms: 0.0 };
        let mut count = 0.0;
        for speed in known {
            sum.prefill_ms_per_token += speed.prefill_ms_per_token;
            sum.event_ms += speed.event_ms;
            sum.answer_ms += speed.answer_ms;
            count += 1.0;
        }
        if count == 0.0 {
            return Self::default();
        }
        Self {
            prefill_ms_per_token: sum.prefill_ms_per_token / count,
            event_ms: sum.event_ms / count,
            answer_ms: sum.answer_ms / count,
        }
    }
}
