//! The retry budget of each service.
//!
//! Load pattern: many endpoints of a service fail at once. Without a limit, retries would multiply
//! the load on the remaining endpoints.
//!
//! Load pattern: the leader is lost at the same time. The budget is that of all instances together,
//! so each instance keeps count of its own requests, whoever placed them, and reports them to the
//! next leader.

use crate::Options;
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, VecDeque};

/// The fraction of the retry budget that is used, so that retries sent by instances without a
/// leader fit into the rest.
const BUDGET_FACTOR: f64 = 0.7;
/// The length of the spans in which an instance reports its requests, in milliseconds.
const REPORT_SPAN_MS: u64 = 500;

/// The requests and retries of an instance for a service in a short span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryUsage {
    /// The name of the service.
    pub service: ServiceName,
    /// How long ago the span ended, in milliseconds.
    pub ago_ms: u64,
    /// The number of first attempts.
    pub requests: u32,
    /// The number of retries.
    pub retries: u32,
}

/// The requests of an instance for a service.
#[derive(Clone, Debug, Default)]
struct Window {
    /// The time of each request, and whether it was a retry.
    entries: VecDeque<(u64, bool)>,
    repeats: usize,
}

impl Window {
    fn add(&mut self, at_ms: u64, is_retry: bool) {
        self.entries.push_back((at_ms, is_retry));
        self.repeats += usize::from(is_retry);
    }

    fn prune(&mut self, before_ms: u64) {
        while self.entries.front().is_some_and(|(at_ms, _)| *at_ms < before_ms) {
            if let Some((_, true)) = self.entries.pop_front() {
                self.repeats -= 1;
            }
        }
    }

    /// Returns the entries since `from_ms` in spans, oldest first.
    fn usage(&self, now_ms: u64, from_ms: u64, service: &ServiceName) -> Vec<RetryUsage> {
        let mut spans: Vec<RetryUsage> = Vec::new();
        for (at_ms, is_retry) in self.entries.iter().filter(|(at_ms, _)| *at_ms >= from_ms) {
            let ago_ms = (now_ms - at_ms) / REPORT_SPAN_MS * REPORT_SPAN_MS;
            if spans.last().is_none_or(|last| last.ago_ms != ago_ms) {
                let service = service.clone();
                spans.push(RetryUsage { service, ago_ms, requests: 0, retries: 0 });
            }
            if let Some(span) = spans.last_mut() {
                span.requests += u32::from(!is_retry);
                span.retries += u32::from(*is_retry);
            }
        }
        spans
    }
}

/// The retry budgets of all services, over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    /// The requests of each service, by instance.
    windows: BTreeMap<ServiceName, BTreeMap<u32, Window>>,
}

impl Retries {
    /// Records a request of an instance that was placed, or the first attempt of one that arrived.
    pub fn record(
        &mut self,
        now_ms: u64,
        options: &Options,
        (service, instance): (&ServiceName, u32),
        is_retry: bool,
    ) {
        let window = self.window(service, instance);
        window.prune(now_ms.saturating_sub(options.retry_window_ms));
        window.add(now_ms, is_retry);
    }

    /// Takes a retry from the budget of a service. Returns false if the budget is used up.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Options, retries::Retries};
    ///
    /// let options = Options { retry_slack: 2.0, ..Options::default() };
    /// let mut retries = Retries::default();
    /// assert!(retries.try_acquire(1, &options, (&"labels".into(), 1)));
    /// assert!(!retries.try_acquire(1, &options, (&"labels".into(), 2)));
    /// ```
    pub fn try_acquire(
        &mut self,
        now_ms: u64,
        options: &Options,
        (service, instance): (&ServiceName, u32),
    ) -> bool {
        let windows = self.windows.entry(service.clone()).or_default();
        for window in windows.values_mut() {
            window.prune(now_ms.saturating_sub(options.retry_window_ms));
        }
        windows.retain(|_, window| !window.entries.is_empty());
        let repeats: usize = windows.values().map(|window| window.repeats).sum();
        let entries: usize = windows.values().map(|window| window.entries.len()).sum();
        let slack = options.retry_slack * options.budget_share;
        let allowed = (options.retry_ratio * (entries - repeats) as f64 + slack) * BUDGET_FACTOR;
        if (repeats + 1) as f64 > allowed {
            return false;
        }
        windows.entry(instance).or_default().add(now_ms, true);
        true
    }

    /// Returns the requests of an instance within the last window, oldest first for each service.
    pub fn usage(&self, now_ms: u64, options: &Options, instance: u32) -> Vec<RetryUsage> {
        let from_ms = now_ms.saturating_sub(options.retry_window_ms);
        let of_instance = |windows: &'_ BTreeMap<u32, Window>, service| {
            let window = windows.get(&instance)?;
            Some(window.usage(now_ms, from_ms, service))
        };
        let usage =
            self.windows.iter().filter_map(|(service, windows)| of_instance(windows, service));
        usage.flatten().collect()
    }

    /// Restores the requests that an instance reports, if they are more than those known: a restarted
    /// instance has lost its own count.
    pub fn restore(&mut self, now_ms: u64, instance: u32, usage: &[RetryUsage]) {
        let mut reported: BTreeMap<&ServiceName, Window> = BTreeMap::new();
        for span in usage {
            let at_ms = now_ms.saturating_sub(span.ago_ms);
            let window = reported.entry(&span.service).or_default();
            (0..span.requests).for_each(|_| window.add(at_ms, false));
            (0..span.retries).for_each(|_| window.add(at_ms, true));
        }
        for (service, reported) in reported {
            let known = self.window(service, instance);
            if reported.entries.len() > known.entries.len() {
                *known = reported;
            }
        }
    }

    fn window(&mut self, service: &ServiceName, instance: u32) -> &mut Window {
        self.windows.entry(service.clone()).or_default().entry(instance).or_default()
    }
}
