//! Estimates of request duration and length, learned from completed requests.

/// The weight of the newest sample in an exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// The prefill speed assumed before the first sample, in tokens per millisecond.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// The time per generated token assumed before the first sample, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 20.0;
/// The fixed time per request assumed before the first sample, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 5.0;

/// A linear model of request duration, for one endpoint or a group of endpoints.
///
/// # Examples
/// ```
/// use lycheehub_route::work::Speed;
///
/// let mut speed = Speed::default();
/// let before = speed.request_ms(0, 100);
/// for _ in 0..50 {
///     speed.learn(0, 100, Some(5.0), 105.0);
/// }
/// assert!(speed.request_ms(0, 100) < before);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds per generated token.
    pub token_ms: f64,
    /// Milliseconds per request that do not depend on its tokens.
    pub fixed_ms: f64,
    /// The number of requests that the model was learned from.
    pub samples: u64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
            token_ms: DEFAULT_TOKEN_MS,
            fixed_ms: DEFAULT_FIXED_MS,
            samples: 0,
        }
    }
}

impl Speed {
    /// Returns the expected duration of a request without queueing, in milliseconds.
    pub fn request_ms(&self, prompt_tokens: u64, tokens: u64) -> f64 {
        let prefill_ms = prompt_tokens as f64 / self.prefill_tokens_per_ms;
        self.fixed_ms + prefill_ms + tokens as f64 * self.token_ms
    }

    /// Updates the model with a request that had `prompt_tokens` to prefill.
    ///
    /// `first_token_ms` is `None` if the answer was not streamed.
    pub fn learn(
        &mut self,
        prompt_tokens: u64,
        tokens: u64,
        first_token_ms: Option<f64>,
        total_ms: f64,
    ) {
        const PREFILL_TOKENS_MIN: u64 = 64;
        const PREFILL_SHARE_MIN: f64 = 0.1;
        let weight = EWMA_WEIGHT.max(1.0 / (self.samples + 1) as f64);
        let average = |old: f64, new: f64| old + weight * (new - old);
        self.samples += 1;
        let Some(first_token_ms) = first_token_ms else {
            if tokens > 0 {
                let before_ms = self.request_ms(prompt_tokens, 0).min(total_ms);
                let rate = (total_ms - before_ms) / tokens as f64;
                self.token_ms = average(self.token_ms, rate).max(0.001);
            } else {
                self.fixed_ms = average(self.fixed_ms, total_ms);
            }
            return;
        };
        if prompt_tokens >= PREFILL_TOKENS_MIN {
            let prefill_ms =
                (first_token_ms - self.fixed_ms).max(first_token_ms * PREFILL_SHARE_MIN);
            let rate = prompt_tokens as f64 / prefill_ms.max(0.01);
            self.prefill_tokens_per_ms = average(self.prefill_tokens_per_ms, rate).max(0.01);
        } else {
            self.fixed_ms = average(self.fixed_ms, first_token_ms);
        }
        if tokens > 1 {
            let rate = (total_ms - first_token_ms) / (tokens - 1) as f64;
            self.token_ms = average(self.token_ms, rate).max(0.001);
        }
    }
}

/// The average ratio of generated tokens to the maximum that requests allow.
#[derive(Clone, Copy, Debug)]
pub struct LengthRatio(f64);

impl Default for LengthRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LengthRatio {
    /// Returns the expected number of generated tokens for a request that allows `max_tokens`.
    pub fn expected_tokens(&self, max_tokens: u64) -> u64 {
        (max_tokens as f64 * self.0).ceil() as u64
    }

    /// Updates the ratio with a request that allowed `max_tokens` and generated `tokens`.
    pub fn learn(&mut self, max_tokens: u64, tokens: u64) {
        const RATIO_MIN: f64 = 0.05;
        if max_tokens == 0 {
            return;
        }
        let ratio = (tokens as f64 / max_tokens as f64).min(1.0);
        self.0 = (self.0 + EWMA_WEIGHT * (ratio - self.0)).max(RATIO_MIN);
    }
}
