//! Lets long prompts yield to others where they would make streams late.
//!
//! Load pattern: long prompts among streams whose pauses are limited. Each stream that a prompt would make late
//! is a caller let down, as one whose first event is late. An endpoint where this happens costs more, and a
//! prompt yields its turn there for a moment if another one would let fewer callers down.
//!
//! Load pattern: the same in an overload. A slot that stays empty helps nobody: the prompt yields only to jobs
//! that wait behind it, and takes the slot if none of them does.

use super::choose::SLOT_WAIT_MS;
use super::{Dispatcher, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::job::Job;
use crate::queue::QueuedJob;
use lycheehub_types::ServiceName;

/// The cost of a stream that becomes late by a pause, in milliseconds of waiting.
const LATE_STREAM_COST_MS: f64 = 300.0;
/// How many jobs may yield their turn at a time; each costs an evaluation of all endpoints.
pub(super) const YIELDING_MAX: usize = 4;
/// For how long a job yields, in milliseconds: some slots become free in that time, and its own first event is
/// hardly later.
const YIELDING_MS: u64 = 120;

impl Service {
    /// Returns the cost of the streams that become late by a pause if `job` is placed on an endpoint, in
    /// milliseconds of waiting. An endpoint at which the job itself is late costs as much as if all streams
    /// there became late: none is made late to spare others.
    pub(super) fn late_streams_cost_ms(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        job: &Job,
        first_byte_ms: f64,
    ) -> f64 {
        if self.pause_objectives_ms.is_empty() {
            return 0.0;
        }
        let is_late = first_byte_ms > job.objective_left_ms as f64;
        let own = if is_late { endpoint.record.slots as usize } else { 0 };
        let late = own + endpoint.streams_made_late(now_ms, job);
        late as f64 * LATE_STREAM_COST_MS
    }
}

impl Dispatcher {
    /// Returns whether a job would make streams late on the free endpoint `key`, and fewer of them on another
    /// endpoint at which it can still be on time. It waits for that a short time, and only while it can be on
    /// time here as well.
    pub(super) fn yields(&self, now_ms: u64, key: EndpointKey, queued: &QueuedJob) -> bool {
        let job = &queued.job;
        let Some(service) = self.services.get(&job.service) else { return false };
        let endpoint = &self.endpoints[key];
        let left_ms = queued.objective_ms.saturating_sub(now_ms) as f64;
        let spare_ms = left_ms - endpoint.first_byte_ms(now_ms, job);
        let has_yielded = now_ms >= queued.since_ms + YIELDING_MS;
        if has_yielded || spare_ms <= SLOT_WAIT_MS {
            return false;
        }
        let made_late_here = endpoint.streams_made_late(now_ms, job);
        let mut others = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        made_late_here > 0
            && others.any(|other| {
                self.may_serve_later(now_ms, other, job)
                    && other.first_byte_ms(now_ms, job) + SLOT_WAIT_MS <= left_ms
                    && other.streams_made_late(now_ms, job) < made_late_here
            })
    }

    /// Places jobs that have yielded on slots that nobody else took, if others wait for a slot; otherwise they
    /// wait on.
    pub(super) fn place_yielding(
        &mut self,
        now_ms: u64,
        name: &ServiceName,
        yielding: Vec<QueuedJob>,
        has_long_backlog: bool,
    ) {
        for queued in yielding {
            let is_pressed = has_long_backlog && self.has_free_slot(now_ms, name);
            let key = if is_pressed { self.choose(now_ms, name, &queued) } else { None };
            if let Some(key) = key {
                self.place(now_ms, key, queued);
            } else if let Some(service) = self.services.get_mut(name) {
                service.push(now_ms, queued);
            }
        }
    }
}
