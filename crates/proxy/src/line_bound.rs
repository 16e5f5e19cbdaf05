//! A bound on log lines that callers can cause without a request.

use std::cell::Cell;

/// The length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Maximum number of lines per window.
const LINES_MAX: u64 = 100;

/// Counts the lines of a window; those beyond the maximum are left out.
#[derive(Debug, Default)]
pub struct LineBound {
    window_from_ms: Cell<u64>,
    lines: Cell<u64>,
    left_out: Cell<u64>,
}

impl LineBound {
    /// Returns whether a line may be written, and then how many were left out since the last one.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_proxy::LineBound;
    ///
    /// let bound = LineBound::default();
    /// let written = (0..1_000).filter_map(|_| bound.admit(5_000)).count();
    /// assert_eq!(written, 100);
    /// assert_eq!(bound.admit(6_000), Some(900));
    /// ```
    pub fn admit(&self, now_ms: u64) -> Option<u64> {
        if now_ms >= self.window_from_ms.get() + WINDOW_MS {
            self.window_from_ms.set(now_ms);
            self.lines.set(0);
        }
        if self.lines.get() == LINES_MAX {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.left_out.take())
    }
}
