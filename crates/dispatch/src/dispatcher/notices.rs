//! Heeds what endpoints say of themselves in their answers.

use super::Dispatcher;
use crate::endpoints::Notice;
use crate::job::Job;
use lycheehub_types::EndpointName;

impl Dispatcher {
    /// Takes what an endpoint, in this incarnation of it or the one that is known, said of itself in an
    /// answer to an instance.
    pub fn heed(
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
            // One that is gone said it.
            return;
        }
        self.notices.take(now_ms, instance, (name, incarnation), notice);
        let Some(endpoint) = endpoint.filter(|_| incarnation == known) else { return };
        endpoint.said_leaving |= notice.leaving;
        if let Some(pause_ms) = notice.pause_ms {
            endpoint.health.put_on_probation(now_ms + pause_ms);
        }
    }

    /// Tells whether an endpoint has said that it wants nothing new from an instance now.
    pub fn is_barred(&self, now_ms: u64, instance: u32, name: &EndpointName) -> bool {
        self.notices.is_leaving(name)
            || self.notices.paused_until_ms(now_ms, instance, name).is_some()
    }

    /// Returns what endpoints have said to an instance and still holds, with the incarnation that said
    /// it, if that is known.
    pub fn notices(&self, now_ms: u64, instance: u32) -> Vec<(EndpointName, Option<u64>, Notice)> {
        let in_force = self.notices.in_force(now_ms, instance);
        in_force.map(|(name, by, notice)| (name.clone(), by, notice)).collect()
    }

    /// Returns for how long all endpoints have told the instance of `job` to stay away, in
    /// milliseconds; 0 where one has not.
    pub(super) fn paused_ms(&self, now_ms: u64, job: &Job) -> u64 {
        let Some(service) = self.services.get(&job.service) else { return 0 };
        let endpoints = service.endpoints.iter().map(|key| &self.endpoints[*key]);
        let usable = endpoints.filter(|endpoint| !endpoint.is_leaving());
        let until_ms = usable.map(|endpoint| {
            self.notices.paused_until_ms(now_ms, job.ticket.instance, endpoint.name())
        });
        let until_ms: Option<Vec<u64>> = until_ms.collect();
        let earliest_ms = until_ms.and_then(|until_ms| until_ms.into_iter().min());
        earliest_ms.map_or(0, |until_ms| until_ms - now_ms)
    }
}
