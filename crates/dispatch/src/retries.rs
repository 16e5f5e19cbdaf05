//! How many requests may be sent to a further endpoint.
//!
//! Load pattern: many endpoints of a service fail at once. Without a bound, repeats would multiply
//! the load on those that are left.

use crate::Options;
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, VecDeque};

/// The part of the allowed repeats that is used, so that what instances without a leader send
/// besides stays within the bound.
const USED: f64 = 0.7;

#[derive(Clone, Debug, Default)]
struct Window {
    /// When requests came, with whether each was a repeat.
    seen: VecDeque<(u64, bool)>,
    repeats: usize,
}

impl Window {
    fn forget(&mut self, before_ms: u64) {
        while self.seen.front().is_some_and(|(at_ms, _)| *at_ms < before_ms) {
            if let Some((_, true)) = self.seen.pop_front() {
                self.repeats -= 1;
            }
        }
    }
}

/// The repeats of each service, in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    windows: BTreeMap<ServiceName, Window>,
}

impl Retries {
    /// Notes a request that is sent for the first time.
    pub fn note_request(&mut self, now_ms: u64, options: &Options, service: &ServiceName) {
        let window = self.windows.entry(service.clone()).or_default();
        window.forget(now_ms.saturating_sub(options.retry_window_ms));
        window.seen.push_back((now_ms, false));
    }

    /// Takes a repeat out of the budget, if there is one left.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Options, retries::Retries};
    ///
    /// let options = Options { retry_slack: 2.0, ..Options::default() };
    /// let mut retries = Retries::default();
    /// assert!(retries.take(1, &options, &"labels".into()));
    /// assert!(!retries.take(1, &options, &"labels".into()));
    /// ```
    pub fn take(&mut self, now_ms: u64, options: &Options, service: &ServiceName) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.forget(now_ms.saturating_sub(options.retry_window_ms));
        let requests = window.seen.len() - window.repeats;
        let slack = options.retry_slack * options.budget_share;
        let allowed = (options.retry_ratio * requests as f64 + slack) * USED;
        if (window.repeats + 1) as f64 > allowed {
            return false;
        }
        window.seen.push_back((now_ms, true));
        window.repeats += 1;
        true
    }
}
