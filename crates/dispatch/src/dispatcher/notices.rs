//! Applies the notices that endpoints send in their responses.

use super::Dispatcher;
use super::share::draw;
use crate::endpoints::{Endpoint, Limit, LimitKind, Notice, Pace, Room, StatedLimit};
use crate::job::{Job, JobId};
use lycheehub_types::EndpointName;

/// The instance that is recorded for limits passed on by the leader; limits apply to all instances.
const OWN_INSTANCE: u32 = 0;

impl Dispatcher {
    /// Records a notice that an instance received in a response of an endpoint. Without an
    /// incarnation, the notice applies to the known one.
    pub fn record_notice(
        &mut self,
        now_ms: u64,
        instance: u32,
        (name, incarnation): (&EndpointName, Option<u64>),
        notice: Notice,
    ) {
        let notice = notice.bounded();
        let pace = self.pace(name);
        let endpoint = self.by_name.get(name).and_then(|key| self.endpoints.get(*key));
        let known = endpoint.as_ref().map(|endpoint| endpoint.record.incarnation);
        let incarnation = incarnation.or(known);
        if incarnation < known {
            // The notice is from an earlier incarnation of the endpoint.
            return;
        }
        self.notices.record(now_ms, instance, (name, incarnation), notice, pace);
        if let Some(stated) = notice.rejections {
            self.add_rejection_limit(name, stated.per_s);
        }
        let endpoint = self.by_name.get(name).and_then(|key| self.endpoints.get_mut(*key));
        let Some(endpoint) = endpoint.filter(|_| incarnation == known) else { return };
        endpoint.announced_leaving |= notice.leaving;
        if let Some(pause_ms) = notice.pause_ms {
            endpoint.health.put_on_probation(now_ms + pause_ms);
        }
    }

    /// Returns whether an endpoint is leaving or has paused requests of an instance.
    pub fn is_excluded(&self, now_ms: u64, instance: u32, name: &EndpointName) -> bool {
        self.notices.is_leaving(name)
            || self.notices.paused_until_ms(now_ms, instance, name).is_some()
    }

    /// Returns the active notices for an instance, with the incarnation of the endpoint that sent
    /// each, if known.
    pub fn notices(&self, now_ms: u64, instance: u32) -> Vec<(EndpointName, Option<u64>, Notice)> {
        let active = self.notices.active(now_ms, instance);
        active.map(|(name, by, notice)| (name.clone(), by, notice)).collect()
    }

    /// Records a response to a job that states no limit of this kind for its endpoint. Returns whether
    /// the endpoint had one.
    pub fn record_unlimited(&mut self, job_id: JobId, kind: LimitKind) -> bool {
        let Some(placed) = self.placed.get(&job_id) else { return false };
        let Some(endpoint) = self.endpoints.get_mut(placed.endpoint) else { return false };
        let Some(running) = endpoint.running.get(&job_id) else { return false };
        let name = &endpoint.record.endpoint;
        let had_limit = self.notices.is_limited(name, kind);
        self.notices.record_unlimited(running.since_ms, name, kind);
        if kind == LimitKind::Rejections && had_limit && !self.notices.is_limited(name, kind) {
            endpoint.room = Room::default();
        }
        had_limit
    }

    /// Returns the limit of an endpoint as it was last stated, if it has one.
    pub fn limit(&self, now_ms: u64, name: &EndpointName) -> Option<StatedLimit> {
        self.notices.limit(name).map(|limit| limit.stated(now_ms))
    }

    /// Returns the limits of all endpoints.
    pub fn limits(&self, now_ms: u64) -> Vec<Limit> {
        self.notices.limits(now_ms).collect()
    }

    /// Replaces the limits by those that the leader has passed on, except limits that an endpoint has
    /// stated since the leader was asked for them at `asked_ms`.
    pub fn set_limits(&mut self, now_ms: u64, asked_ms: u64, limits: &[Limit]) {
        self.notices.retain_limits(asked_ms, |name, incarnation| {
            let is_same =
                |limit: &Limit| limit.endpoint == *name && limit.incarnation == incarnation;
            limits.iter().any(is_same)
        });
        for limit in limits {
            let notice = Notice { limit: Some(limit.stated), ..Notice::default() };
            let sender = (&limit.endpoint, limit.incarnation);
            self.record_notice(now_ms, OWN_INSTANCE, sender, notice);
        }
    }

    /// Returns how this dispatcher paces its requests to an endpoint with a limit.
    pub(super) fn pace(&self, name: &EndpointName) -> Pace {
        Pace { share: self.options.present_rate_share(), phase: draw(name, self.options.slot_salt) }
    }

    /// Returns how long the limit of an endpoint delays the next request, in milliseconds.
    pub(super) fn limit_wait_ms(&self, now_ms: u64, endpoint: &Endpoint) -> u64 {
        let stated = self.notices.limit(endpoint.name());
        let stated_ms = stated.map_or(0, |limit| limit.wait_ms(now_ms));
        stated_ms.max(endpoint.warmth.wait_ms(now_ms))
    }

    /// Returns whether the limit of an endpoint permits a request now.
    pub(super) fn is_permitted(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        self.limit_wait_ms(now_ms, endpoint) == 0
    }

    /// Returns how many slots of an endpoint this dispatcher can fill with jobs of `slot_ms`.
    pub(super) fn fillable_slots(&self, now_ms: u64, endpoint: &Endpoint, slot_ms: f64) -> usize {
        let stated = self.notices.limit(endpoint.name());
        let stated = stated.map(|limit| limit.concurrency(slot_ms));
        let limits = stated.into_iter().chain(endpoint.warmth.concurrency(now_ms, slot_ms));
        let filled = limits.map(|filled| (filled.ceil() as usize).max(1));
        filled.fold(endpoint.slot_limit, usize::min)
    }

    /// Returns for how long no endpoint of the service accepts requests of the instance of `job`,
    /// because of pauses and limits, in milliseconds; 0 if at least one does.
    pub(super) fn all_closed_ms(&self, now_ms: u64, job: &Job) -> u64 {
        let Some(service) = self.services.get(&job.service) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| endpoint.takes_requests());
        let closed_ms = usable.map(|endpoint| {
            let instance = job.job_id.instance;
            let until_ms = self.notices.paused_until_ms(now_ms, instance, endpoint.name());
            let paused_ms = until_ms.map_or(0, |until_ms| until_ms - now_ms);
            paused_ms.max(self.limit_wait_ms(now_ms, endpoint))
        });
        closed_ms.min().unwrap_or(0)
    }
}
