//! Which instances have lost their path to endpoints.
//!
//! Load pattern: some instances are cut off from all endpoints, and others still reach them. What the
//! former report of endpoints is true of their own path only. An instance that failed to reach several
//! endpoints, and none since, is not believed about any.

use crate::endpoints::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};

/// The number of endpoints that an instance must have failed to reach, and none since, to count as cut
/// off.
const LOST_MIN: usize = 3;

#[derive(Clone, Debug, Default)]
struct PathState {
    /// The endpoints that were not reached since an endpoint last responded.
    failed: BTreeSet<EndpointKey>,
    /// The instance itself reports that it reaches no endpoint.
    is_reported_lost: bool,
}

/// The paths of instances to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    by_instance: BTreeMap<u32, PathState>,
}

impl Paths {
    /// Records that an instance got a response from an endpoint.
    pub fn record_success(&mut self, instance: u32) {
        self.by_instance.entry(instance).or_default().failed.clear();
    }

    /// Records that an instance did not reach an endpoint. Returns whether it counts as cut off since
    /// this failure.
    pub fn record_failure(&mut self, instance: u32, endpoint: EndpointKey) -> bool {
        let state = self.by_instance.entry(instance).or_default();
        let was_lost = state.failed.len() >= LOST_MIN;
        state.failed.insert(endpoint);
        !was_lost && state.failed.len() >= LOST_MIN
    }

    /// Records whether an instance itself reports that it reaches no endpoint.
    pub fn set_reported_lost(&mut self, instance: u32, is_lost: bool) {
        self.by_instance.entry(instance).or_default().is_reported_lost = is_lost;
    }

    /// Returns whether an instance counts as cut off from the endpoints.
    pub fn is_lost(&self, instance: u32) -> bool {
        let state = self.by_instance.get(&instance);
        state.is_some_and(|state| state.is_reported_lost || state.failed.len() >= LOST_MIN)
    }

    /// Returns the number of instances that have sent requests.
    pub fn instances(&self) -> usize {
        self.by_instance.len()
    }

    /// Removes an instance that is gone.
    pub fn forget(&mut self, instance: u32) {
        self.by_instance.remove(&instance);
    }

    /// Removes an endpoint that is gone.
    pub fn forget_endpoint(&mut self, endpoint: EndpointKey) {
        for state in self.by_instance.values_mut() {
            state.failed.remove(&endpoint);
        }
    }
}
