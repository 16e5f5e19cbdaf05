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

/// The record that several stand-ins may share.
#[derive(Clone, Debug, Default)]
pub struct Records {
    inner: Arc<Mutex<(Vec<Ran>, Totals)>>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, (Vec<Ran>, Totals)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    pub fn push(&self, ran: Ran) {
        self.lock().0.push(ran);
    }

    /// Changes the sums.
    pub fn count(&self, change: impl FnOnce(&mut Totals)) {
        change(&mut self.lock().1);
    }

    /// Returns all requests that were run, in their order.
    pub fn ran(&self) -> Vec<Ran> {
        self.lock().0.clone()
    }

    /// Returns the sums.
    pub fn totals(&self) -> Totals {
        self.lock().1
    }
}
