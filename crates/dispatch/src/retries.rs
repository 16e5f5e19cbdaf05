//! The retry budget of each service.
//!
//! Load pattern: many endpoints of a service fail at once. Without a limit, retries would multiply
//! the load on the remaining endpoints.
//!
//! Load pattern: the leader is lost at the same time. The budget is that of all instances together,
//! so each instance keeps count of its own requests, whoever placed them, and reports them to the
//! next leader. A leader leaves their part of the budget to instances that are absent.

use crate::Options;
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, VecDeque};

/// The fraction of the retry budget that is used, so that retries sent by instances without a
/// leader fit into the rest.
const BUDGET_FACTOR: f64 = 0.7;
/// The length of the spans in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 500;

/// The requests and retries of an instance for a service in a short span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryUsage {
    /// The name of the service.
    pub service: ServiceName,
    /// How long ago the span began, in milliseconds.
    pub ago_ms: u64,
    /// The number of first attempts.
    pub requests: u32,
    /// The number of retries.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    from_ms: u64,
    requests: u64,
    retries: u64,
}

/// The requests of an instance for a service.
#[derive(Clone, Debug, Default)]
struct Window {
    spans: VecDeque<Span>,
    requests: u64,
    retries: u64,
}

impl Window {
    fn add(&mut self, at_ms: u64, requests: u32, retries: u32) {
        let (requests, retries) = (u64::from(requests), u64::from(retries));
        self.requests += requests;
        self.retries += retries;
        match self.spans.back_mut() {
            Some(last) if at_ms < last.from_ms + SPAN_MS => {
                last.requests += requests;
                last.retries += retries;
            }
            _ => self.spans.push_back(Span { from_ms: at_ms, requests, retries }),
        }
    }

    /// Removes a retry that was added at `at_ms`, if it has not left the window.
    fn remove_retry(&mut self, at_ms: u64) {
        let mut spans = self.spans.iter_mut().rev();
        let added = spans.find(|span| span.from_ms <= at_ms);
        if let Some(span) = added.filter(|span| span.retries > 0) {
            span.retries -= 1;
            self.retries -= 1;
        }
    }

    /// Removes the spans that ended before `before_ms`.
    fn prune(&mut self, before_ms: u64) {
        while let Some(span) = self.spans.front().copied()
            && span.from_ms + SPAN_MS <= before_ms
        {
            self.spans.pop_front();
            self.requests -= span.requests;
            self.retries -= span.retries;
        }
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
        window.add(now_ms, u32::from(!is_retry), u32::from(is_retry));
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
        windows.retain(|_, window| !window.spans.is_empty());
        let requests: u64 = windows.values().map(|window| window.requests).sum();
        let retries: u64 = windows.values().map(|window| window.retries).sum();
        let slack = options.retry_slack * options.budget_share * (1.0 - options.absent_share);
        let allowed = (options.retry_ratio * requests as f64 + slack) * BUDGET_FACTOR;
        if (retries + 1) as f64 > allowed {
            return false;
        }
        windows.entry(instance).or_default().add(now_ms, 0, 1);
        true
    }

    /// Returns a retry to the budget that was acquired at `at_ms` and reached no endpoint.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Options, retries::Retries};
    ///
    /// let options = Options { retry_slack: 2.0, ..Options::default() };
    /// let mut retries = Retries::default();
    /// assert!(retries.try_acquire(1, &options, (&"labels".into(), 1)));
    /// retries.release(1, (&"labels".into(), 1));
    /// assert!(retries.try_acquire(2, &options, (&"labels".into(), 1)));
    /// ```
    pub fn release(&mut self, at_ms: u64, (service, instance): (&ServiceName, u32)) {
        let windows = self.windows.get_mut(service);
        if let Some(window) = windows.and_then(|windows| windows.get_mut(&instance)) {
            window.remove_retry(at_ms);
        }
    }

    /// Returns the requests of an instance within the last window, oldest first for each service.
    pub fn usage(&self, now_ms: u64, options: &Options, instance: u32) -> Vec<RetryUsage> {
        let before_ms = now_ms.saturating_sub(options.retry_window_ms);
        let mut usage = Vec::new();
        for (service, windows) in &self.windows {
            let spans = windows.get(&instance).into_iter().flat_map(|window| &window.spans);
            for span in spans.filter(|span| span.from_ms + SPAN_MS > before_ms) {
                usage.push(RetryUsage {
                    service: service.clone(),
                    ago_ms: now_ms - span.from_ms,
                    requests: u32::try_from(span.requests).unwrap_or(u32::MAX),
                    retries: u32::try_from(span.retries).unwrap_or(u32::MAX),
                });
            }
        }
        usage
    }

    /// Restores the requests that an instance reports, oldest first, if they are more than those known:
    /// a restarted instance has lost its own count.
    pub fn restore(&mut self, now_ms: u64, instance: u32, usage: &[RetryUsage]) {
        let mut reported: BTreeMap<&ServiceName, Window> = BTreeMap::new();
        for span in usage {
            let at_ms = now_ms.saturating_sub(span.ago_ms);
            let window = reported.entry(&span.service).or_default();
            window.add(at_ms, span.requests, span.retries);
        }
        for (service, reported) in reported {
            let known = self.window(service, instance);
            if reported.requests + reported.retries > known.requests + known.retries {
                *known = reported;
            }
        }
    }

    fn window(&mut self, service: &ServiceName, instance: u32) -> &mut Window {
        self.windows.entry(service.clone()).or_default().entry(instance).or_default()
    }
}
