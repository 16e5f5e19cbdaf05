//! Keeps the served shares of the classes of size, and puts jobs of classes that are behind first.

use super::{Dispatcher, Service};
use crate::job::Job;
use crate::queue::{Classes, Length, Order, QueuedJob};
use crate::shares::{Class, ServedShares, Size};
use lycheehub_types::ServiceName;
use std::collections::BTreeSet;

/// Returns the classes of a job's sizes.
pub(super) fn classes_of(job: &Job) -> Classes {
    let prompt = u64::from(job.prompt_tokens);
    let output = u64::from(job.output_tokens);
    [Class::new(Size::Prompt, prompt), Class::new(Size::Output, output)]
}

/// Returns whether a job is a request that was not placed before: neither another attempt nor the rest of
/// a stream.
fn is_request(job: &Job) -> bool {
    !job.repeat && !job.resumes_stream
}

impl Service {
    /// Removes the job to be served next; those of `unplaceable` classes that are behind wait.
    pub(super) fn pop(
        &mut self,
        now_ms: u64,
        slots: usize,
        unplaceable: &BTreeSet<Classes>,
    ) -> Option<QueuedJob> {
        let order = Order { slots, shares: &self.shares, usage: &self.usage, unplaceable };
        self.queue.pop(now_ms, &order)
    }

    /// Adds a job to the queue, in the place that its class has now.
    pub(super) fn push(&mut self, now_ms: u64, queued: QueuedJob) {
        let is_long_behind = self.shares_of(&queued).is_some_and(ServedShares::is_long_behind);
        let is_behind = self.is_behind(&queued);
        let may_be_promoted = match queued.length {
            Length::Short => true,
            Length::Moderate => is_behind,
            Length::Long => false,
        };
        let is_promoted = may_be_promoted && !is_long_behind;
        let is_behind = is_behind && !is_promoted;
        self.queue.push(now_ms, QueuedJob { is_promoted, is_behind, ..queued });
    }

    /// Returns whether the class of a job is served less often than the others of its rank.
    pub(super) fn is_behind(&self, queued: &QueuedJob) -> bool {
        self.shares_of(queued).is_some_and(|shares| shares.is_behind(&queued.classes))
    }

    /// Returns by how much the class that is served the least often is behind, in thousandths.
    pub(super) fn size_lag_permille(&self) -> u32 {
        let lag = self.shares.values().map(ServedShares::largest_lag).fold(0.0, f64::max);
        (lag * 1e3) as u32
    }

    fn shares_of(&self, queued: &QueuedJob) -> Option<&ServedShares> {
        self.shares.get(&(queued.job.tier, queued.job.rank))
    }
}

impl Dispatcher {
    /// Returns how far classes of a tier and rank are behind: their deficit as a fraction of the requests of
    /// the class.
    pub(super) fn lag(&self, service: &ServiceName, rank: (u8, u8), classes: &Classes) -> f64 {
        let shares = self.services.get(service).and_then(|service| service.shares.get(&rank));
        shares.map_or(0.0, |shares| shares.lag(classes))
    }

    /// Records that a request came that can end in time. A caller that returns was recorded before.
    pub(super) fn record_arrival(&mut self, now_ms: u64, queued: &QueuedJob) {
        let job = &queued.job;
        if !is_request(job) || job.returning {
            return;
        }
        let Some(service) = self.services.get_mut(&job.service) else { return };
        let shares = service.shares.entry((job.tier, job.rank)).or_default();
        let is_long = queued.length == Length::Long;
        shares.record_arrival(now_ms, &queued.classes, is_long);
    }

    /// Records that a request is served.
    pub(super) fn record_served(&mut self, now_ms: u64, queued: &QueuedJob) {
        let job = &queued.job;
        if !is_request(job) {
            return;
        }
        let Some(service) = self.services.get_mut(&job.service) else { return };
        service.usage.record(now_ms, &job.account, queued.slot_ms as f64);
        let shares = service.shares.entry((job.tier, job.rank)).or_default();
        shares.record_served(now_ms, &queued.classes);
    }

    /// Moves the queued jobs whose class has fallen behind to the front of their rank.
    pub(super) fn update_behind(&mut self, now_ms: u64, name: &ServiceName) {
        let Some(service) = self.services.get_mut(name) else { return };
        if !service.shares.values().any(ServedShares::is_any_behind) {
            return;
        }
        let shares = &service.shares;
        let has_fallen_behind = |queued: &QueuedJob| {
            let shares = shares.get(&(queued.job.tier, queued.job.rank));
            !queued.is_behind
                && !queued.is_promoted
                && shares.is_some_and(|shares| shares.is_behind(&queued.classes))
        };
        for queued in service.queue.take_if(has_fallen_behind) {
            service.push(now_ms, queued);
        }
    }
}
