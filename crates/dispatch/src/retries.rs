//! The retry budget of each service.
//!
//! Load pattern: many endpoints of a service fail at once. Without a limit, retries would multiply
//! the load on the remaining endpoints.

use crate::Options;
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, VecDeque};

/// The fraction of the retry budget that is used, so that retries sent by instances without a
/// leader fit into the rest.
const BUDGET_FACTOR: f64 = 0.7;

#[derive(Clone, Debug, Default)]
struct Window {
    /// The time of each request, and whether it was a retry.
    entries: VecDeque<(u64, bool)>,
    repeats: usize,
}

impl Window {
    fn prune(&mut self, before_ms: u64) {
        while self.entries.front().is_some_and(|(at_ms, _)| *at_ms < before_ms) {
            if let Some((_, true)) = self.entries.pop_front() {
                self.repeats -= 1;
            }
        }
    }
}

/// The retry budgets of all services, over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    windows: BTreeMap<ServiceName, Window>,
}

impl Retries {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now_ms: u64, options: &Options, service: &ServiceName) {
        let window = self.windows.entry(service.clone()).or_default();
        window.prune(now_ms.saturating_sub(options.retry_window_ms));
        window.entries.push_back((now_ms, false));
    }

    /// Takes a retry from the budget of a service. Returns false if the budget is used up.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Options, retries::Retries};
    ///
    /// let options = Options { retry_slack: 2.0, ..Options::default() };
    /// let mut retries = Retries::default();
    /// assert!(retries.try_acquire(1, &options, &"labels".into()));
    /// assert!(!retries.try_acquire(1, &options, &"labels".into()));
    /// ```
    pub fn try_acquire(&mut self, now_ms: u64, options: &Options, service: &ServiceName) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.prune(now_ms.saturating_sub(options.retry_window_ms));
        let requests = window.entries.len() - window.repeats;
        let slack = options.retry_slack * options.budget_share;
        let allowed = (options.retry_ratio * requests as f64 + slack) * BUDGET_FACTOR;
        if (window.repeats + 1) as f64 > allowed {
            return false;
        }
        window.entries.push_back((now_ms, true));
        window.repeats += 1;
        true
    }
}
