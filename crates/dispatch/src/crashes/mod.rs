//! Finds the parts of prompts, and the requests, on which endpoints crash, and keeps them from endpoints.
//!
//! Load pattern: requests of many callers share a part on which each endpoint crashes as soon as it
//! begins to answer. Placed like any other, they bring down one endpoint after the other. An answer
//! that has begun proves all parts of its prompt sound. A crash makes those parts suspect on whose
//! prompts the endpoint had begun no answer. Parts that were at several crashes and in no answer since
//! are quarantined: requests whose prompts hold them are refused, but for a rare trial.
//!
//! Load pattern: a single request, of any kind and with or without a prompt, crashes each endpoint that
//! runs it, and its caller repeats it at any instance. Its identity is one more suspect beside the parts
//! of its prompt. Unlike these it may crash an endpoint that has written a part of the answer, so only a
//! whole answer clears it. After a crash at which it was alone, or after two, it is not placed for some
//! seconds; after three it is quarantined.
//!
//! Load pattern: endpoints crash for other reasons while busy parts are in every prompt. Crashes at
//! about the same time count once, and more of them are needed while nothing else is answered.
//!
//! * [`prompt`] holds the parts of a prompt, and [`content`] all that a request may be accused of.
//! * [`crash`] tells crashes from single lost connections.
//! * [`answers`] remembers the parts and requests that have been answered, and [`ended`] the answers of which
//!   that is not yet known.
//! * [`quarantine`] holds what is refused, [`id`] names it, and [`lifted`] ends it without an answer.
//! * [`scope`] tells whose requests are decided on.
//! * [`service`] keeps the state of a service, [`accuse`] finds what is quarantined, [`search`] tells when to look
//!   for it, [`suspicion`] holds what is not placed before that is decided, and [`report`] passes on what is known.

mod accuse;
mod answers;
mod content;
mod crash;
mod ended;
mod id;
mod lifted;
mod prompt;
mod quarantine;
mod report;
mod scope;
mod search;
mod service;
mod suspicion;

pub use answers::Answer;
pub use content::{Content, RequestDigest, Suspect};
pub use crash::{Crash, EndpointStart, Observer};
pub use id::QuarantineId;
pub use lifted::Ending;
pub use prompt::Prompt;
pub use quarantine::{ListedQuarantine, Quarantine, QuarantineEvent, Trial};
pub use scope::Scope;
pub use service::{ServiceCrashes, Verdict};

use lycheehub_types::ServiceName;
use std::collections::BTreeMap;

/// What an instance has seen of crashes and answers, as it reports it to a new dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// The crashes.
    pub crashes: Vec<Crash>,
    /// The parts and requests that were answered last.
    pub answers: Vec<Answer>,
    /// The quarantines that the instance knows of.
    pub quarantines: Vec<Quarantine>,
}

/// The crashes of the endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    by_service: BTreeMap<ServiceName, ServiceCrashes>,
}

impl Crashes {
    /// Returns the state of a service.
    pub fn service(&mut self, name: &ServiceName) -> &mut ServiceCrashes {
        self.by_service.entry(name.clone()).or_insert_with(|| ServiceCrashes::new(name.clone()))
    }

    /// Returns the states of all services.
    pub fn services(&mut self) -> impl Iterator<Item = (&ServiceName, &mut ServiceCrashes)> {
        self.by_service.iter_mut()
    }

    /// Returns all quarantines.
    pub fn quarantines(&self, now_ms: u64) -> Vec<Quarantine> {
        self.by_service.values().flat_map(|service| service.quarantines(now_ms)).collect()
    }

    /// Returns what a new dispatcher must know.
    pub fn report(&self, now_ms: u64) -> CrashReport {
        let services = self.by_service.values();
        CrashReport {
            crashes: services.clone().flat_map(|service| service.crashes(now_ms)).collect(),
            answers: services.flat_map(|service| service.answers(now_ms)).collect(),
            quarantines: self.quarantines(now_ms),
        }
    }

    /// Adds what an instance has reported.
    pub fn restore(&mut self, now_ms: u64, report: &CrashReport) {
        for answer in &report.answers {
            self.service(&answer.service).restore_answer(now_ms, answer);
        }
        for quarantine in &report.quarantines {
            self.service(&quarantine.service).restore_quarantine(now_ms, quarantine);
        }
        for crash in &report.crashes {
            self.service(&crash.service).restore_crash(now_ms, crash);
        }
    }

    /// Replaces the quarantines by those that the leader has passed on.
    pub fn set_quarantines(&mut self, now_ms: u64, quarantines: &[Quarantine]) {
        for service in self.by_service.values_mut() {
            service.clear_quarantines();
        }
        for quarantine in quarantines {
            self.service(&quarantine.service).restore_quarantine(now_ms, quarantine);
        }
    }

    /// Returns all quarantines with what operators are told of them.
    pub fn listed(&self, now_ms: u64) -> Vec<ListedQuarantine> {
        self.by_service.values().flat_map(|service| service.listed(now_ms)).collect()
    }

    /// Ends a quarantine at the call `by` of an operator.
    pub fn end_quarantine(&mut self, now_ms: u64, id: QuarantineId, by: &str) -> Ending {
        let services = self.by_service.values_mut();
        let mut endings = services.map(|service| service.end_quarantine(now_ms, id, by));
        // The identity names a quarantine of one service.
        endings.find(|ending| *ending != Ending::Unknown).unwrap_or(Ending::Unknown)
    }

    /// Returns the changes of quarantines since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        self.by_service.values_mut().flat_map(ServiceCrashes::take_events).collect()
    }
}
