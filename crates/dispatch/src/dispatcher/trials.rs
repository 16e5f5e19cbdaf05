//! Gives back the trials of quarantines that are not placed, and takes back those that certainly reached no
//! endpoint.
//!
//! A trial is reserved for a request for as long as it waits, so that no other one is let through meanwhile.
//! It is given back if the request is refused or its caller leaves.
//!
//! The endpoint of a trial may leave the list, or start again, before it is known whether it was reached.
//! The trials are therefore kept apart from the jobs that run on endpoints.

use super::Dispatcher;
use crate::crashes::{Content, Trial};
use crate::job::{Job, JobId};
use lycheehub_types::ServiceName;

/// How long after it was placed a trial can be taken back, in milliseconds: until the next one may be placed.
const SENT_KEPT_MS: u64 = 40_000;

/// A trial that waits to be placed.
#[derive(Clone, Debug)]
pub(super) struct WaitingTrial {
    service: ServiceName,
    content: Content,
}

/// A trial that was placed and has not ended.
#[derive(Clone, Debug)]
pub(super) struct SentTrial {
    service: ServiceName,
    trials: Vec<Trial>,
    sent_ms: u64,
}

impl Dispatcher {
    /// Records that a trial is reserved for a job.
    pub(super) fn record_waiting_trial(&mut self, job: &Job, content: &Content) {
        let (service, content) = (job.service.clone(), content.clone());
        self.waiting_trials.insert(job.job_id, WaitingTrial { service, content });
    }

    /// Keeps the trials that are reserved for waiting jobs of a service.
    pub(super) fn renew_trials(&mut self, now_ms: u64, service: &ServiceName) {
        for trial in self.waiting_trials.values().filter(|trial| trial.service == *service) {
            self.crashes.service(service).renew_trial(now_ms, &trial.content);
        }
    }

    /// Gives back the trial that is reserved for a job, if one is.
    pub(super) fn release_trial(&mut self, job_id: JobId) {
        let Some(trial) = self.waiting_trials.remove(&job_id) else { return };
        self.crashes.service(&trial.service).release_trial(&trial.content);
    }

    /// Records that a job is placed, for the search for crashing requests.
    pub(super) fn record_sent_for_crashes(
        &mut self,
        now_ms: u64,
        (job_id, service): (JobId, &ServiceName),
        content: &Content,
    ) {
        self.waiting_trials.remove(&job_id);
        let trials = self.crashes.service(service).record_sent(now_ms, content);
        if !trials.is_empty() {
            let service = service.clone();
            self.sent_trials.insert(job_id, SentTrial { service, trials, sent_ms: now_ms });
        }
    }

    /// Takes a trial back that reached no endpoint.
    pub(super) fn take_back_trial(&mut self, now_ms: u64, job_id: JobId) {
        let Some(trial) = self.sent_trials.remove(&job_id) else { return };
        if now_ms < trial.sent_ms + SENT_KEPT_MS {
            self.crashes.service(&trial.service).take_back_trials(now_ms, &trial.trials);
        }
    }

    /// Forgets the trials that can no longer be taken back.
    pub(super) fn expire_trials(&mut self, now_ms: u64) {
        self.sent_trials.retain(|_, trial| now_ms < trial.sent_ms + SENT_KEPT_MS);
    }
}
