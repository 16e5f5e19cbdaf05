//! Reserves endpoints for jobs that need much memory.
//!
//! Load pattern: the memory of the endpoints is used up while slots are free. Small jobs fit into whatever
//! a finished one frees, so that a large one would never find room. If the class of a large job is served
//! less often than others, the endpoint with the most free memory is kept for it. This lasts longer than
//! the job can wait, as the running requests may take longer to end; the next one of its class finds room.

use super::Dispatcher;
use crate::endpoints::{Endpoint, EndpointKey, Reservation};
use crate::queue::QueuedJob;

/// At most one in this many endpoints of a service is reserved, and at least one.
const ENDPOINTS_PER_RESERVATION: usize = 2;
/// How long an endpoint stays reserved after a job has last waited for its memory, in milliseconds.
const RESERVED_MS: u64 = 1_000;

impl Dispatcher {
    /// Reserves an endpoint for a job that is behind, if only memory is lacking there.
    pub(super) fn reserve(&mut self, now_ms: u64, queued: &QueuedJob) {
        let Some(key) = self.roomiest(now_ms, queued) else { return };
        let reservation = Reservation {
            tier: queued.job.tier,
            rank: queued.job.rank,
            classes: queued.classes,
            until_ms: now_ms + RESERVED_MS,
        };
        self.endpoints[key].reservation = Some(reservation);
    }

    /// Returns the endpoint to be reserved, if any may be: the one with the most free memory.
    fn roomiest(&self, now_ms: u64, queued: &QueuedJob) -> Option<EndpointKey> {
        let job = &queued.job;
        let service = self.services.get(&job.service)?;
        let is_kept_for_others =
            |key: &EndpointKey| self.is_reserved(now_ms, &self.endpoints[*key], queued);
        let lacks_only_memory = |key: &EndpointKey| {
            let endpoint = &self.endpoints[*key];
            endpoint.usable_slots(now_ms) > 0
                && endpoint.takes_requests()
                && !endpoint.has_memory_for(job)
                && !job.tried.contains(endpoint.name())
        };
        let is_reserved = |key: &EndpointKey| {
            self.endpoints[*key].reservation.is_some_and(|known| now_ms < known.until_ms)
        };
        let reserved_max = service.endpoints.len().div_ceil(ENDPOINTS_PER_RESERVATION);
        let reserved = service.endpoints.iter().filter(|key| is_reserved(key)).count();
        let candidates = service.endpoints.iter().copied().filter(lacks_only_memory);
        let candidates = candidates.filter(|key| !is_kept_for_others(key));
        let candidates = candidates.filter(|key| reserved < reserved_max || is_reserved(key));
        candidates.max_by_key(|key| self.endpoints[*key].free_memory_tokens())
    }

    /// Returns whether an endpoint is kept for other jobs than this one: more urgent ones, or those of a class
    /// of the same rank that is further behind.
    pub(super) fn is_reserved(&self, now_ms: u64, endpoint: &Endpoint, queued: &QueuedJob) -> bool {
        let Some(reservation) = endpoint.reservation else { return false };
        if now_ms >= reservation.until_ms {
            return false;
        }
        let rank = (queued.job.tier, queued.job.rank);
        let reserved_rank = (reservation.tier, reservation.rank);
        let lag = |classes| self.lag(&queued.job.service, rank, classes);
        rank > reserved_rank
            || rank == reserved_rank
                && queued.classes != reservation.classes
                && lag(&queued.classes) <= lag(&reservation.classes)
    }
}
