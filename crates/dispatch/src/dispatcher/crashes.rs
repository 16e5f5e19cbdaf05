//! Tells the search for crashing prompts and requests what happens on endpoints, and applies its results.

use super::{Dispatcher, PlacedJob};
use crate::crashes::{
    Content, Ending, EndpointStart, ListedQuarantine, Observer, Quarantine, QuarantineEvent,
    QuarantineId, Scope, ServiceCrashes, Verdict,
};
use crate::endpoints::EndpointKey;
use crate::job::{Finished, Job, JobId, Outcome, Reason};
use crate::queue::QueuedJob;
use crate::refusal::RefusalBasis;
use lycheehub_types::ServiceName;

impl Dispatcher {
    fn scope(&self) -> Scope {
        match self.options.sees_all_requests {
            true => Scope::AllInstances,
            false => Scope::UntilLeader,
        }
    }

    /// Returns the retry delay, in milliseconds, if a job must not be placed because of what it
    /// holds.
    pub(super) fn quarantine_retry_after_ms(
        &mut self,
        now_ms: u64,
        job: &Job,
        content: &Content,
    ) -> Option<u64> {
        if content.is_empty() {
            return None;
        }
        let scope = self.scope();
        self.renew_trials(now_ms, &job.service);
        let crashes = self.crashes.service(&job.service);
        let is_quarantined = crashes.is_quarantined(content);
        match crashes.judge(now_ms, content, job.repeat, scope) {
            Verdict::Refused { retry_after_ms } => return Some(retry_after_ms),
            Verdict::Sound if is_quarantined => self.record_waiting_trial(job, content),
            Verdict::Sound => {}
        }
        None
    }

    /// Records that the answer to a job began `ago_ms` milliseconds ago.
    pub fn record_answer_begun(&mut self, now_ms: u64, job_id: JobId, ago_ms: u64) {
        let Some(placed) = self.placed.get(&job_id) else { return };
        let Some((service, start)) = self.start_of(placed.endpoint) else { return };
        let at_ms = now_ms.saturating_sub(ago_ms);
        self.crashes.service(&service).record_answer(at_ms, &start, &placed.content);
        let key = placed.endpoint;
        self.record_reached(at_ms, job_id.instance, key);
    }

    /// Records how a job ended for the search.
    pub(super) fn record_end_for_crashes(
        &mut self,
        now_ms: u64,
        placed: &PlacedJob,
        finished: &Finished,
    ) {
        let Some((service, start)) = self.start_of(placed.endpoint) else { return };
        let Some(endpoint) = self.endpoints.get(placed.endpoint) else { return };
        let since_ms = endpoint.running.get(&finished.job_id).map(|running| running.since_ms);
        let is_idle = endpoint.running.keys().all(|job_id| *job_id == finished.job_id);
        let crashes = self.crashes.service(&service);
        let instance = finished.job_id.instance;
        let has_begun = finished.first_byte_ms.is_some() && finished.outcome != Outcome::Failed;
        if has_begun {
            let at_ms = now_ms.saturating_sub(finished.rest_ms.into());
            crashes.record_answer(at_ms, &start, &placed.content);
        }
        let has_whole_answer = finished.first_byte_ms.is_some()
            && matches!(finished.outcome, Outcome::Answered | Outcome::Failed);
        let is_connection_lost = finished.is_connection_lost && !self.paths.is_lost(instance);
        if has_whole_answer && is_connection_lost {
            crashes.record_ended_by_close(now_ms, &start, &placed.content);
        } else if has_whole_answer {
            crashes.record_whole_answer(now_ms, &placed.content);
        }
        let observer = Observer { instance, is_sole: self.paths.instances() <= 1 };
        match finished.outcome {
            Outcome::Misdirected => crashes.record_gone(&start),
            Outcome::NotConnected if finished.is_confirmed => crashes.record_gone(&start),
            Outcome::NotConnected => crashes.record_unreached(&start, observer),
            Outcome::Answered | Outcome::Failed | Outcome::Rejected => {
                // The endpoint received this request at the earliest when it was placed.
                if let Some(since_ms) = since_ms {
                    crashes.record_alive(since_ms, &start);
                }
            }
            Outcome::Broken | Outcome::Abandoned => {}
        }
        // An instance that is cut off loses the connections of endpoints that run on.
        if is_connection_lost && !has_whole_answer {
            let lost = (&placed.content, has_begun);
            crashes.record_lost(now_ms, &start, lost, (observer, is_idle));
            self.refuse_suspects(now_ms, &service);
        }
    }

    /// Records for the search that an endpoint is removed.
    pub(super) fn record_gone_for_crashes(&mut self, key: EndpointKey) {
        let Some((service, start)) = self.start_of(key) else { return };
        self.crashes.service(&service).record_gone(&start);
    }

    fn start_of(&self, key: EndpointKey) -> Option<(ServiceName, EndpointStart)> {
        let record = &self.endpoints.get(key)?.record;
        let (endpoint, incarnation) = (record.endpoint.clone(), record.incarnation);
        Some((record.service.clone(), EndpointStart { endpoint, incarnation }))
    }

    /// Advances the search, and refuses the waiting jobs that are quarantined.
    pub(super) fn advance_crashes(&mut self, now_ms: u64) {
        let scope = self.scope();
        let mut changed = Vec::new();
        for (name, crashes) in self.crashes.services() {
            if crashes.advance(now_ms, scope) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.refuse_suspects(now_ms, &name);
        }
    }

    /// Refuses the waiting jobs of a service that must not be placed any more.
    fn refuse_suspects(&mut self, now_ms: u64, name: &ServiceName) {
        let scope = self.scope();
        let Some(service) = self.services.get_mut(name) else { return };
        let wait_ms = |crashes: &ServiceCrashes, queued: &QueuedJob| {
            let (content, is_repeat) = (&queued.content, queued.job.repeat);
            crashes.wait_ms(now_ms, content, is_repeat, scope)
        };
        let crashes = self.crashes.service(name);
        let refused = service.queue.take_if(|queued| wait_ms(crashes, queued).is_some());
        // Nobody waits for a trial that was reserved for one of them.
        refused.iter().for_each(|queued| self.release_trial(queued.job.job_id));
        for queued in refused {
            let retry_after_ms = wait_ms(self.crashes.service(name), &queued).unwrap_or_default();
            self.waiting.remove(&queued.job.job_id);
            let basis = RefusalBasis::default();
            self.refuse_queued(queued, Reason::Quarantined, retry_after_ms, basis);
        }
    }

    /// Returns all quarantines.
    pub fn quarantines(&self, now_ms: u64) -> Vec<Quarantine> {
        self.crashes.quarantines(now_ms)
    }

    /// Returns all quarantines with what operators are told of them.
    pub fn listed_quarantines(&self, now_ms: u64) -> Vec<ListedQuarantine> {
        self.crashes.listed(now_ms)
    }

    /// Ends a quarantine at the call `by` of an operator. What endpoints crashed on before counts no more
    /// against its suspects, new crashes do.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::{Ending, QuarantineId};
    /// use lycheehub_dispatch::{Dispatcher, Options};
    ///
    /// let mut dispatcher = Dispatcher::new(Options::default());
    /// let id = QuarantineId::of(&"labels".into(), &[]);
    /// assert_eq!(dispatcher.end_quarantine(1_000, id, "an operator"), Ending::Unknown);
    /// ```
    pub fn end_quarantine(&mut self, now_ms: u64, id: QuarantineId, by: &str) -> Ending {
        self.crashes.end_quarantine(now_ms, id, by)
    }

    /// Replaces the quarantines by those that the leader has passed on.
    pub fn set_quarantines(&mut self, now_ms: u64, quarantines: &[Quarantine]) {
        self.crashes.set_quarantines(now_ms, quarantines);
    }

    /// Returns the changes of quarantines since the last call.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.crashes.take_events()
    }
}
