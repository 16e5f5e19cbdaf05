//! Puts the scheduler behind a lock and hands its decisions to the requests that wait for them.

use lycheehub_clock::Clock;
use lycheehub_control::View;
use lycheehub_route::{Decision, Demands, Job, JobKey, Outcome, Scheduler};
use lycheehub_types::EndpointName;
use smol::channel::{Receiver, Sender, bounded};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

struct Inner {
    scheduler: Scheduler,
    waiting: BTreeMap<JobKey, Sender<Decision>>,
}

/// The scheduler of this instance, shared between traffic threads.
pub struct Dispatcher {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl Dispatcher {
    /// Shares a scheduler.
    pub fn new(clock: Clock, scheduler: Scheduler) -> Arc<Self> {
        Arc::new(Self { clock, inner: Mutex::new(Inner { scheduler, waiting: BTreeMap::new() }) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a request; the ticket gives it up when it is dropped.
    pub fn submit(self: &Arc<Self>, job: Job) -> Ticket {
        let (sender, receiver) = bounded(1);
        let mut inner = self.lock();
        let (key, decisions) = inner.scheduler.submit(self.clock.now_ms(), job);
        inner.waiting.insert(key, sender);
        inner.hand_out(decisions);
        drop(inner);
        Ticket { dispatcher: self.clone(), key, receiver, ended: false }
    }

    /// Takes a new view.
    pub fn update(&self, view: &View) {
        let mut inner = self.lock();
        let decisions = inner.scheduler.update(self.clock.now_ms(), view);
        inner.hand_out(decisions);
    }

    /// Lets time pass.
    pub fn tick(&self) {
        let mut inner = self.lock();
        let decisions = inner.scheduler.tick(self.clock.now_ms());
        inner.hand_out(decisions);
    }

    /// Returns what the control state needs to know.
    pub fn demands(&self) -> Demands {
        self.lock().scheduler.demands(self.clock.now_ms())
    }

    /// Returns how many requests wait or run.
    pub fn jobs(&self) -> usize {
        self.lock().scheduler.jobs()
    }

    /// Takes an endpoint's event on its prompt cache.
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
    fn hand_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Dispatch(key, _) | Decision::Refuse(key, _)) = &decision;
            let ends = matches!(decision, Decision::Refuse(..));
            let sender =
                if ends { self.waiting.remove(key) } else { self.waiting.get(key).cloned() };
            if let Some(sender) = sender {
                // A request whose caller left ends by its ticket.
                let _ = sender.try_send(decision);
            }
        }
    }
}

/// A request's place with the scheduler.
pub struct Ticket {
    dispatcher: Arc<Dispatcher>,
    key: JobKey,
    receiver: Receiver<Decision>,
    ended: bool,
}

impl Ticket {
    /// Waits for the next decision; nothing comes after a refusal.
    pub async fn decision(&mut self) -> Option<Decision> {
        let decision = self.receiver.recv().await.ok();
        self.ended |= matches!(decision, None | Some(Decision::Refuse(..)));
        decision
    }

    /// Takes the request back from its endpoint, to be tried elsewhere; `ran_to` is nothing where it
    /// did not run, else how many tokens were relayed.
    pub fn retry(&mut self, ran_to: Option<u64>) {
        let mut inner = self.dispatcher.lock();
        let now_ms = self.dispatcher.clock.now_ms();
        let decisions = inner.scheduler.retry(now_ms, self.key, ran_to);
        inner.hand_out(decisions);
    }

    /// Ends the request.
    pub fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut inner = self.dispatcher.lock();
        inner.waiting.remove(&self.key);
        let decisions = inner.scheduler.finish(self.dispatcher.clock.now_ms(), self.key, outcome);
        inner.hand_out(decisions);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}
