//! Forgets what was counted long ago.

/// How often counts are reduced, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// When counts that decay were last reduced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decay {
    decayed_ms: u64,
}

impl Decay {
    /// Returns the part of the counts that is left since the last call that returned one, if they are due to
    /// be reduced. Half of them is left after `half_life_ms`.
    pub(crate) fn part_left(&mut self, now_ms: u64, half_life_ms: f64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.decayed_ms);
        if age_ms < INTERVAL_MS {
            return None;
        }
        self.decayed_ms = now_ms;
        Some((-(age_ms as f64) / half_life_ms).exp2())
    }
}
