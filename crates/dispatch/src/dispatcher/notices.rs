//! Applies the notices that endpoints send in their responses.

use super::Dispatcher;
use crate::endpoints::Notice;
use crate::job::Job;
use lycheehub_types::EndpointName;

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
        let endpoint = self.by_name.get(name).and_then(|key| self.endpoints.get_mut(*key));
        let known = endpoint.as_ref().map(|endpoint| endpoint.record.incarnation);
        let incarnation = incarnation.or(known);
        if incarnation < known {
            // The notice is from an earlier incarnation of the endpoint.
            return;
        }
        self.notices.record(now_ms, instance, (name, incarnation), notice);
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

    /// Returns for how long all endpoints of the service have paused the instance of `job`, in
    /// milliseconds; 0 if at least one has not.
    pub(super) fn all_paused_ms(&self, now_ms: u64, job: &Job) -> u64 {
        let Some(service) = self.services.get(&job.service) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving());
        let until_ms = usable.map(|endpoint| {
            self.notices.paused_until_ms(now_ms, job.job_id.instance, endpoint.name())
        });
        let until_ms: Option<Vec<u64>> = until_ms.collect();
        let earliest_ms = until_ms.and_then(|until_ms| until_ms.into_iter().min());
        earliest_ms.map_or(0, |until_ms| until_ms - now_ms)
    }
}
