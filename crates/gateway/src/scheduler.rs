//! Guards the scheduler by a lock and delivers its decisions to the requests that wait for them.

use lycheehub_clock::Clock;
use lycheehub_control::View;
use lycheehub_peer::log_quarantine_event;
use lycheehub_route::{Decision, Demands, Job, JobKey, Outcome, Scheduler};
use lycheehub_types::EndpointName;
use smol::channel::{Receiver, Sender, bounded};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

struct Inner {
    scheduler: Scheduler,
    senders: BTreeMap<JobKey, Sender<Decision>>,
}

/// The scheduler of this instance, shared between traffic threads.
pub struct SharedScheduler {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl SharedScheduler {
    /// Wraps a scheduler.
    pub fn new(clock: Clock, scheduler: Scheduler) -> Arc<Self> {
        Arc::new(Self { clock, inner: Mutex::new(Inner { scheduler, senders: BTreeMap::new() }) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a request; dropping the handle cancels it.
    pub fn submit(self: &Arc<Self>, job: Job) -> JobHandle {
        let (sender, receiver) = bounded(1);
        let mut inner = self.lock();
        let (key, decisions) = inner.scheduler.submit(self.clock.now_ms(), job);
        inner.senders.insert(key, sender);
        inner.deliver(decisions);
        drop(inner);
        JobHandle { scheduler: self.clone(), key, receiver, has_ended: false }
    }

    /// Applies a new view of the control state.
    pub fn update(&self, view: &View) {
        let mut inner = self.lock();
        let decisions = inner.scheduler.update(self.clock.now_ms(), view);
        inner.deliver(decisions);
    }

    /// Advances the scheduler to the current time.
    pub fn tick(&self) {
        let mut inner = self.lock();
        let decisions = inner.scheduler.tick(self.clock.now_ms());
        inner.deliver(decisions);
        let events = inner.scheduler.take_quarantine_events();
        drop(inner);
        events.iter().for_each(log_quarantine_event);
    }

    /// Returns the demands to report to the control thread.
    pub fn demands(&self) -> Demands {
        self.lock().scheduler.demands(self.clock.now_ms())
    }

    /// Returns the number of requests that are queued or running.
    pub fn jobs(&self) -> usize {
        self.lock().scheduler.jobs()
    }

    /// Records which blocks an endpoint's prompt cache has stored and dropped.
    pub fn cache_event(
        &self,
        endpoint: &EndpointName,
        number: u64,
        stored: &[u64],
        dropped: &[u64],
    ) {
        let now_ms = self.clock.now_ms();
        self.lock().scheduler.cache_event(now_ms, endpoint, number, stored, dropped);
    }
}

impl Inner {
    fn deliver(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Dispatch(key, _) | Decision::Refuse(key, _)) = &decision;
            let ends = matches!(decision, Decision::Refuse(..));
            let sender =
                if ends { self.senders.remove(key) } else { self.senders.get(key).cloned() };
            if let Some(sender) = sender {
                // A failed send is ignored: dropping the handle ends the request.
                let _ = sender.try_send(decision);
            }
        }
    }
}

/// A request that was submitted to the scheduler; cancelled on drop unless it has ended.
pub struct JobHandle {
    scheduler: Arc<SharedScheduler>,
    key: JobKey,
    receiver: Receiver<Decision>,
    has_ended: bool,
}

impl JobHandle {
    /// Waits for the next decision; returns `None` after a refusal.
    pub async fn next_decision(&mut self) -> Option<Decision> {
        let decision = self.receiver.recv().await.ok();
        self.has_ended |= matches!(decision, None | Some(Decision::Refuse(..)));
        decision
    }

    /// Returns the request to the queue after a failed attempt, to be tried on another endpoint.
    /// `relayed_tokens` is `None` if the request did not run, else the number of tokens relayed so
    /// far.
    pub fn retry(&mut self, relayed_tokens: Option<u64>) {
        let mut inner = self.scheduler.lock();
        let now_ms = self.scheduler.clock.now_ms();
        let decisions = inner.scheduler.retry(now_ms, self.key, relayed_tokens);
        inner.deliver(decisions);
    }

    /// Records that the endpoint was not reached.
    pub fn record_not_reached(&self) {
        let now_ms = self.scheduler.clock.now_ms();
        self.scheduler.lock().scheduler.record_not_reached(now_ms, self.key);
    }

    /// Records that the connection to the endpoint was lost.
    pub fn record_connection_lost(&self, has_begun: bool) {
        let now_ms = self.scheduler.clock.now_ms();
        self.scheduler.lock().scheduler.record_connection_lost(now_ms, self.key, has_begun);
    }

    /// Reports how the request ended.
    pub fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let mut inner = self.scheduler.lock();
        inner.senders.remove(&self.key);
        let decisions = inner.scheduler.finish(self.scheduler.clock.now_ms(), self.key, outcome);
        inner.deliver(decisions);
    }
}

impl Drop for JobHandle {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}
