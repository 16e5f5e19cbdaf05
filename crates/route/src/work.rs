//! Estimates of how long requests take.

/// How much the newest measurement weighs.
const NEWEST_WEIGHT: f64 = 0.1;
/// The prefill speed that is assumed before any is measured, in tokens per millisecond.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// The time per generated token that is assumed before any is measured, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 20.0;
/// The time per request besides tokens that is assumed before any is measured, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 5.0;

/// The speed of an endpoint or of a kind of endpoints.
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
    /// Prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds per generated token.
    pub token_ms: f64,
    /// Milliseconds per request besides.
    pub fixed_ms: f64,
    /// How many requests this was learned from.
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
    /// Returns the time of a request without waiting, in milliseconds.
    pub fn request_ms(&self, prompt_tokens: u64, tokens: u64) -> f64 {
        let prefill_ms = prompt_tokens as f64 / self.prefill_tokens_per_ms;
        self.fixed_ms + prefill_ms + tokens as f64 * self.token_ms
    }

    /// Learns from a request that had `prompt_tokens` to prefill; `first_token_ms` is nothing where
    /// the answer came whole.
    pub fn learn(
        &mut self,
        prompt_tokens: u64,
        tokens: u64,
        first_token_ms: Option<f64>,
        total_ms: f64,
    ) {
        const PREFILL_TOKENS_MIN: u64 = 64;
        const PREFILL_SHARE_MIN: f64 = 0.1;
        let weight = NEWEST_WEIGHT.max(1.0 / (self.samples + 1) as f64);
        let blend = |old: f64, new: f64| old + weight * (new - old);
        self.samples += 1;
        let Some(first_token_ms) = first_token_ms else {
            if tokens > 0 {
                let before_ms = self.request_ms(prompt_tokens, 0).min(total_ms);
                let rate = (total_ms - before_ms) / tokens as f64;
                self.token_ms = blend(self.token_ms, rate).max(0.001);
            } else {
                self.fixed_ms = blend(self.fixed_ms, total_ms);
            }
            return;
        };
        if prompt_tokens >= PREFILL_TOKENS_MIN {
            let prefill_ms =
                (first_token_ms - self.fixed_ms).max(first_token_ms * PREFILL_SHARE_MIN);
            let rate = prompt_tokens as f64 / prefill_ms.max(0.01);
            self.prefill_tokens_per_ms = blend(self.prefill_tokens_per_ms, rate).max(0.01);
        } else {
            self.fixed_ms = blend(self.fixed_ms, first_token_ms);
        }
        if tokens > 1 {
            let rate = (total_ms - first_token_ms) / (tokens - 1) as f64;
            self.token_ms = blend(self.token_ms, rate).max(0.001);
        }
    }
}

/// What part of the tokens that requests allow is generated in the end.
#[derive(Clone, Copy, Debug)]
pub struct LengthRatio(f64);

impl Default for LengthRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LengthRatio {
    /// Returns how many of `max_tokens` tokens to expect.
    pub fn expected_tokens(&self, max_tokens: u64) -> u64 {
        (max_tokens as f64 * self.0).ceil() as u64
    }

    /// Learns from a request that allowed `max_tokens` and got `tokens`.
    pub fn learn(&mut self, max_tokens: u64, tokens: u64) {
        const LOWEST: f64 = 0.05;
        if max_tokens == 0 {
            return;
        }
        let ratio = (tokens as f64 / max_tokens as f64).min(1.0);
        self.0 = (self.0 + NEWEST_WEIGHT * (ratio - self.0)).max(LOWEST);
    }
}
