//! What a stand-in ran: the ground truth of tests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// The instance's id of the request.
    pub request: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The endpoint.
    pub endpoint: String,
    /// The version.
    pub version: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
    /// The token from which generation went on.
    pub resumed_from: u64,
}

/// An order that came to a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    /// The endpoint.
    pub endpoint: String,
    /// The version to load.
    pub version: String,
    /// The fencing number: term and counter.
    pub fence: (u64, u64),
    /// Whether it was carried out.
    pub taken: bool,
}

/// Sums over all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Prompt tokens that had to be prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found cached.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// The most requests that ran at once.
    pub peak_running: u32,
}

#[derive(Debug, Default)]
struct Inner {
    ran: Vec<Ran>,
    ordered: Vec<Ordered>,
    totals: Totals,
}

/// The record that several stand-ins may share.
#[derive(Clone, Debug, Default)]
pub struct Records {
    inner: Arc<Mutex<Inner>>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    pub fn push(&self, ran: Ran) {
        self.lock().ran.push(ran);
    }

    /// Adds an order.
    pub fn push_order(&self, ordered: Ordered) {
        self.lock().ordered.push(ordered);
    }

    /// Returns all orders that came, in their order.
    pub fn ordered(&self) -> Vec<Ordered> {
        self.lock().ordered.clone()
    }

    /// Changes the sums.
    pub fn count(&self, change: impl FnOnce(&mut Totals)) {
        change(&mut self.lock().totals);
    }

    /// Returns all requests that were run, in their order.
    pub fn ran(&self) -> Vec<Ran> {
        self.lock().ran.clone()
    }

    /// Returns the sums.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }
}
