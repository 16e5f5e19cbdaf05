//! Passes on which parts of prompts and which requests are quarantined, and logs changes.

use super::super::Node;
use super::{LeaderDispatch, SessionKey};
use crate::control::LeaderReply;
use lycheehub_dispatch::JobId;
use lycheehub_dispatch::crashes::{
    Ending, ListedQuarantine, Quarantine, QuarantineEvent, QuarantineId, Suspect,
};
use lycheehub_types::EndpointName;
use std::rc::Rc;

impl LeaderDispatch {
    /// Logs and counts what has changed since the last call.
    pub(super) fn update_quarantines(&mut self, now_ms: u64) {
        let events = self.dispatcher.take_quarantine_events();
        if events.is_empty() {
            return;
        }
        self.quarantines_revision += 1;
        events.iter().for_each(log_quarantine_event);
        let count = self.dispatcher.quarantines(now_ms).len();
        metrics::gauge!("lycheehub_quarantines").set(count as f64);
    }

    fn end_quarantine(&mut self, now_ms: u64, id: QuarantineId, by: &str) -> Ending {
        let ending = self.dispatcher.end_quarantine(now_ms, id, by);
        self.update_quarantines(now_ms);
        ending
    }
}

impl Node {
    /// Records that answers to requests of an instance have begun, each so many milliseconds ago.
    pub(crate) fn record_answers_begun(&self, session: SessionKey, begun: &[(JobId, u64)]) {
        if begun.is_empty() {
            return;
        }
        self.with_dispatcher(session, |dispatcher, now_ms| {
            for (job_id, ago_ms) in begun {
                dispatcher.record_answer_begun(now_ms, *job_id, *ago_ms);
            }
        });
    }

    /// Returns the revision of the quarantines, and the quarantines if it is not `known_revision`.
    pub(crate) fn quarantines(&self, known_revision: u64) -> (u64, Vec<Quarantine>) {
        let now_ms = self.clock.now_ms();
        let dispatch = self.dispatch.borrow();
        match dispatch.as_ref() {
            Some(dispatch) if dispatch.quarantines_revision != known_revision => {
                (dispatch.quarantines_revision, dispatch.dispatcher.quarantines(now_ms))
            }
            _ => (known_revision, Vec::new()),
        }
    }

    /// Returns the quarantines in force if this instance leads.
    pub(in crate::node) async fn listed_quarantines(
        self: &Rc<Self>,
    ) -> LeaderReply<Vec<ListedQuarantine>> {
        self.at_leader(|dispatch, now_ms| dispatch.dispatcher.listed_quarantines(now_ms)).await
    }

    /// Ends a quarantine at the call `by` of an operator if this instance leads.
    pub(in crate::node) async fn end_quarantine(
        self: &Rc<Self>,
        id: QuarantineId,
        by: &str,
    ) -> LeaderReply<Ending> {
        self.at_leader(|dispatch, now_ms| dispatch.end_quarantine(now_ms, id, by)).await
    }

    /// Runs a step of the dispatcher once a quorum has confirmed that this instance leads.
    async fn at_leader<T>(
        self: &Rc<Self>,
        step: impl FnOnce(&mut LeaderDispatch, u64) -> T,
    ) -> LeaderReply<T> {
        let elsewhere = || LeaderReply::Elsewhere(self.recent_leader(&self.core.borrow()));
        let (is_leader, revision) = {
            let core = self.core.borrow();
            (core.is_leader(), core.state.revision)
        };
        if !is_leader || self.read_local(revision).await.is_none() {
            return elsewhere();
        }
        let now_ms = self.clock.now_ms();
        match self.dispatch.borrow_mut().as_mut() {
            Some(dispatch) => LeaderReply::Leads(step(dispatch, now_ms)),
            None => LeaderReply::Elsewhere(None),
        }
    }
}

/// Logs and counts a change of a quarantine.
pub fn log_quarantine_event(event: &QuarantineEvent) {
    let (what, service, suspects) = match event {
        QuarantineEvent::Began { service, suspects, .. } => ("began", service, suspects),
        QuarantineEvent::Narrowed { service, suspects } => ("narrowed", service, suspects),
        QuarantineEvent::Cleared { service, suspects } => ("cleared", service, suspects),
        QuarantineEvent::Ended { service, suspects, .. } => ("ended", service, suspects),
        QuarantineEvent::Tried { service, suspects } => ("tried", service, suspects),
    };
    let label = [("service", service.to_string()), ("event", what.to_owned())];
    metrics::counter!("lycheehub_quarantine_events_total", &label).increment(1);
    let (parts, digest) = suspect_texts(suspects);
    let (endpoints, call) = match event {
        QuarantineEvent::Began { endpoints, .. } => (names_of(endpoints), ""),
        QuarantineEvent::Ended { by, .. } => (String::new(), by.as_str()),
        _ => (String::new(), ""),
    };
    match what {
        "began" if digest.is_empty() => {
            spdlog::warn!("prompt parts quarantined: endpoints crashed on them", kv: {
                service: = service, parts, endpoints,
            });
        }
        "began" => spdlog::warn!("request quarantined: endpoints crashed on it", kv: {
            service: = service, digest, parts, endpoints,
        }),
        "cleared" => spdlog::info!("quarantine ended: an answer has begun", kv: {
            service: = service, digest, parts,
        }),
        "ended" => spdlog::info!("quarantine ended: by an operator", kv: {
            service: = service, digest, parts, call,
        }),
        "narrowed" => spdlog::info!("quarantine narrowed", kv: {
            service: = service, digest, parts,
        }),
        _ => spdlog::info!("quarantine tried", kv: { service: = service, digest, parts }),
    }
}

fn names_of(endpoints: &[EndpointName]) -> String {
    endpoints.iter().map(|endpoint| endpoint.as_str()).collect::<Vec<_>>().join(",")
}

/// Returns the parts and the request among suspects, as the lines of requests show them.
pub fn suspect_texts(suspects: &[Suspect]) -> (String, String) {
    let (mut parts, mut digest) = (Vec::new(), String::new());
    for suspect in suspects {
        match suspect {
            Suspect::Part(part) => parts.push(format!("{part:x}")),
            Suspect::Request(request) => digest = request.to_string(),
        }
    }
    (parts.join(","), digest)
}
