//! Keeps requests from endpoints that crash on them, by the evidence of [`lycheehub_dispatch::crashes`].

use super::{Running, Scheduler};
use crate::{Decision, Job, JobKey};
use lycheehub_dispatch::crashes::{Content, Observer, Prompt, QuarantineEvent, Scope, Verdict};
use lycheehub_types::{Refusal, RefusalKind, ServiceName};

/// Each instance decides about its own requests.
const SCOPE: Scope = Scope::Independent;
/// Lost connections and connections that are refused are two kinds of evidence, like two instances that see
/// an endpoint's end: a path that loses connections alone tells of no crash.
const LOST: Observer = Observer { instance: 0, is_sole: false };
const NOT_REACHED: Observer = Observer { instance: 1, is_sole: false };
/// The maximum number of leading blocks of a prompt that are taken for its parts.
const PARTS_MAX: usize = 64;

/// Returns what endpoints may crash on in a job.
pub(super) fn content_of(job: &Job) -> Content {
    let parts = job.prefix.iter().copied().take(PARTS_MAX);
    Content::new(Prompt::new(parts), job.digest)
}

impl Scheduler {
    /// Records that the endpoint of a running request was not reached.
    pub fn record_not_reached(&mut self, now_ms: u64, key: JobKey) {
        let Some(state) = self.jobs.get(key) else { return };
        let Some(running) = &state.running else { return };
        let crashes = self.crashes.service(&state.job.service);
        crashes.record_unreached(&running.start, NOT_REACHED);
        crashes.take_back_trials(now_ms, &running.trials);
    }

    /// Records that the connection of a running request was lost; `has_begun` tells that a part of its
    /// answer had arrived.
    pub fn record_connection_lost(&mut self, now_ms: u64, key: JobKey, has_begun: bool) {
        let Some(state) = self.jobs.get(key) else { return };
        let Some(running) = &state.running else { return };
        let endpoint = self.endpoints.get(running.endpoint);
        let is_idle = endpoint.is_some_and(|endpoint| endpoint.in_flight() <= 1);
        let lost = (&state.content, has_begun);
        let crashes = self.crashes.service(&state.job.service);
        crashes.record_lost(now_ms, &running.start, lost, (LOST, is_idle));
    }

    /// Records that a request was answered whole.
    pub(super) fn record_answered(&mut self, now_ms: u64, key: JobKey, running: &Running) {
        let Some(state) = self.jobs.get(key) else { return };
        let crashes = self.crashes.service(&state.job.service);
        crashes.record_answer(running.since_ms, &running.start, &state.content);
        crashes.record_whole_answer(now_ms, &state.content);
    }

    /// Returns the refusal of a request on which endpoints crash.
    pub(super) fn crash_refusal(
        &mut self,
        now_ms: u64,
        key: JobKey,
        is_repeat: bool,
    ) -> Option<Refusal> {
        let state = self.jobs.get(key)?;
        let crashes = self.crashes.service(&state.job.service);
        match crashes.judge(now_ms, &state.content, is_repeat, SCOPE) {
            Verdict::Sound => None,
            Verdict::Refused { retry_after_ms } => Some(quarantined(retry_after_ms)),
        }
    }

    /// Advances the search for crashing requests, and refuses the waiting ones that are quarantined.
    pub(super) fn advance_crashes(&mut self, now_ms: u64, decisions: &mut Vec<Decision>) {
        let mut changed: Vec<ServiceName> = Vec::new();
        for (name, crashes) in self.crashes.services() {
            if crashes.advance(now_ms, SCOPE) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.refuse_quarantined(now_ms, &name, decisions);
        }
    }

    fn refuse_quarantined(
        &mut self,
        now_ms: u64,
        name: &ServiceName,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        let crashes = self.crashes.service(name);
        let waiting: Vec<_> = pool.queue.iter().collect();
        for (key, tier) in waiting {
            let Some(state) = self.jobs.get(key) else { continue };
            let is_repeat = !state.excluded.is_empty();
            let wait_ms = crashes.wait_ms(now_ms, &state.content, is_repeat, SCOPE);
            let Some(wait_ms) = wait_ms else { continue };
            pool.queue.remove(key, tier, &state.job.account);
            self.jobs.remove(key);
            decisions.push(Decision::Refuse(key, quarantined(wait_ms)));
        }
    }

    /// Returns the changes of quarantines since the last call.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.crashes.take_events()
    }
}

fn quarantined(retry_after_ms: u64) -> Refusal {
    let message = "endpoints crash on this request or on a part of its prompt";
    Refusal::retry(RefusalKind::Quarantined, message, retry_after_ms)
}
