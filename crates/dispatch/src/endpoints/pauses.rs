//! Foresees the pauses that a prompt causes in the streams of its endpoint.
//!
//! Load pattern: prompts differ up to 100:1 in length and endpoints 5:1 in speed. An endpoint prefills a
//! prompt in chunks between the tokens of its streams, and an event of several tokens comes late by as many
//! chunks, or by the whole prompt if it is shorter. A long prompt on a slow endpoint delays every stream there
//! by more than its callers accept, although each first event was in time.

/// The prompts that an endpoint is at work on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prefill {
    /// The present time, in milliseconds.
    pub now_ms: u64,
    /// When the prompts will be prefilled, in milliseconds.
    pub ends_ms: f64,
    /// How long the endpoint takes for an event otherwise, in milliseconds.
    pub event_ms: f64,
    /// For how long it prefills within one event at most, in milliseconds.
    pub most_per_event_ms: f64,
}

/// The pauses of a stream that runs on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamPauses {
    /// When the first event is expected, in milliseconds.
    first_event_ms: f64,
    /// The longest pause between two events with which the response is on time, in milliseconds.
    objective_ms: f64,
    /// The longest pause foreseen so far, in milliseconds.
    longest_ms: f64,
}

impl StreamPauses {
    /// Creates the state of a stream whose first event is expected at `first_event_ms`, in milliseconds.
    pub fn new(first_event_ms: f64, objective_ms: u64) -> Self {
        Self { first_event_ms, objective_ms: objective_ms as f64, longest_ms: 0.0 }
    }

    /// Returns the longest pause while the endpoint is at work on prompts, in milliseconds.
    fn pause_ms(&self, prefill: Prefill) -> f64 {
        let from_ms = self.first_event_ms.max(prefill.now_ms as f64);
        (prefill.ends_ms - from_ms).clamp(0.0, prefill.most_per_event_ms) + prefill.event_ms
    }

    /// Returns whether the response is on time so far, and becomes late by this work.
    pub fn becomes_late(&self, prefill: Prefill) -> bool {
        self.longest_ms <= self.objective_ms && self.pause_ms(prefill) > self.objective_ms
    }

    /// Records what the endpoint is at work on; returns whether the response becomes late by it.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::endpoints::{Prefill, StreamPauses};
    ///
    /// let mut pauses = StreamPauses::new(1_100.0, 300);
    /// let prefill =
    ///     Prefill { now_ms: 1_200, ends_ms: 1_600.0, event_ms: 20.0, most_per_event_ms: 350.0 };
    /// assert!(pauses.becomes_late(prefill));
    /// assert!(pauses.record(prefill));
    /// // It is late already.
    /// assert!(!pauses.becomes_late(prefill));
    /// ```
    pub fn record(&mut self, prefill: Prefill) -> bool {
        let becomes_late = self.becomes_late(prefill);
        self.longest_ms = self.longest_ms.max(self.pause_ms(prefill));
        becomes_late
    }
}
