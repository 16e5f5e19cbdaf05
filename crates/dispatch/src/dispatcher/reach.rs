//! Judges what instances report of endpoints that they did not reach.
//!
//! One instance may have lost its own path: the endpoint is paused for that instance only. It is paused
//! for all once several instances did not reach it that are not cut off themselves, or where another
//! instance has tried as well.

use super::Dispatcher;
use crate::endpoints::EndpointKey;
use crate::job::{Finished, Outcome};

/// The number of instances that must not have reached an endpoint before it is paused for all.
const SEVERAL: usize = 2;

impl Dispatcher {
    /// Records that an instance did not reach an endpoint with a request placed at `since_ms`, or got no
    /// response. Returns whether the endpoint is believed to be the cause.
    pub(super) fn record_unreached(
        &mut self,
        now_ms: u64,
        (instance, key): (u32, EndpointKey),
        since_ms: u64,
        is_confirmed: bool,
    ) -> bool {
        let endpoint = self.endpoints.get(key);
        if endpoint.is_some_and(|known| known.reach.has_responded_since(since_ms, instance)) {
            return false;
        }
        let is_newly_lost = self.paths.record_failure(instance, key);
        if is_newly_lost {
            self.resume_unreached(now_ms);
        }
        let paths = &self.paths;
        let Some(endpoint) = self.endpoints.get_mut(key) else { return false };
        endpoint.reach.record_failure(now_ms, since_ms, instance);
        if is_confirmed {
            return true;
        }
        if endpoint.health.has_answered_since(since_ms) {
            return false;
        }
        let needed = SEVERAL.min(paths.instances());
        let believed = endpoint.reach.count(now_ms, |other| !paths.is_lost(other));
        believed >= needed
    }

    /// Ends the pauses of endpoints that rest on reports of instances that are cut off themselves.
    fn resume_unreached(&mut self, now_ms: u64) {
        let paths = &self.paths;
        let needed = SEVERAL.min(paths.instances());
        for endpoint in self.endpoints.values_mut() {
            if endpoint.reach.count(now_ms, |other| !paths.is_lost(other)) < needed {
                endpoint.health.resume();
            }
        }
    }

    /// Records that an endpoint responded to a request of an instance.
    pub(super) fn record_reached(&mut self, now_ms: u64, instance: u32, key: EndpointKey) {
        self.paths.record_success(instance);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.reach.record_success(now_ms, instance);
            endpoint.health.record_response(now_ms);
        }
    }

    /// Returns whether an outcome says something about the endpoint, and not only about the path of the
    /// instance.
    pub(super) fn is_believed(&self, finished: &Finished) -> bool {
        is_response(finished.outcome) || !self.paths.is_lost(finished.job_id.instance)
    }

    /// Records whether an instance reports that it reaches no endpoint itself.
    pub fn set_path_lost(&mut self, now_ms: u64, instance: u32, is_lost: bool) {
        self.paths.set_reported_lost(instance, is_lost);
        if is_lost {
            self.resume_unreached(now_ms);
        }
    }

    /// Returns whether an instance counts as cut off from the endpoints.
    pub fn is_path_lost(&self, instance: u32) -> bool {
        self.paths.is_lost(instance)
    }

    /// Returns whether an endpoint is paused for an instance that did not reach it. One that is cut off
    /// altogether would only wait for the same failure.
    pub(super) fn is_unreached(&self, now_ms: u64, instance: u32, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else { return false };
        endpoint.reach.is_paused(now_ms, instance) && !self.paths.is_lost(instance)
    }
}

/// Returns whether an outcome proves that the endpoint was reached.
pub(super) fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Answered | Outcome::Failed | Outcome::Rejected)
}
