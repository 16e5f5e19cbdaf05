//! Parts of prompts, and requests, that are kept from endpoints.

use super::{Content, Suspect};
use lycheehub_types::{EndpointName, ServiceName};

/// The time from the start of a quarantine to its first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 10_000;
/// The factor by which the time to the next trial grows.
const TRIAL_FACTOR: u64 = 4;
/// The exponent from which on the time between trials stays the same.
const TRIAL_GROWTH_MAX: u32 = 5;

/// What endpoints crash on, as dispatchers pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The service.
    pub service: ServiceName,
    /// The suspects; requests that hold all of them are refused.
    pub suspects: Vec<Suspect>,
    /// How long ago the first crash was at which the suspects were found, in milliseconds.
    pub first_crash_ago_ms: u64,
    /// How long from now the next trial is due, in milliseconds.
    pub next_trial_ms: u64,
    /// The number of requests that were placed as trials.
    pub trials: u32,
}

/// A change of a quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// Requests are refused from now on.
    Began {
        /// The service.
        service: ServiceName,
        /// The suspects.
        suspects: Vec<Suspect>,
        /// The endpoints that crashed.
        endpoints: Vec<EndpointName>,
    },
    /// Some of the suspects were proved sound, or were missing at a further crash.
    Narrowed {
        /// The service.
        service: ServiceName,
        /// The suspects that are still refused.
        suspects: Vec<Suspect>,
    },
    /// The suspects were answered; they are no longer refused.
    Cleared {
        /// The service.
        service: ServiceName,
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// A request with the suspects is placed as a trial.
    Tried {
        /// The service.
        service: ServiceName,
        /// The suspects.
        suspects: Vec<Suspect>,
    },
}

/// A quarantine in force.
#[derive(Clone, Debug)]
pub(super) struct InForce {
    pub(super) id: u64,
    pub(super) suspects: Vec<Suspect>,
    pub(super) first_crash_ms: u64,
    next_trial_ms: u64,
    trials: u32,
}

impl InForce {
    pub(super) fn new(id: u64, now_ms: u64, suspects: Vec<Suspect>, first_crash_ms: u64) -> Self {
        Self { id, suspects, first_crash_ms, next_trial_ms: now_ms + FIRST_TRIAL_MS, trials: 0 }
    }

    pub(super) fn restored(id: u64, now_ms: u64, told: &Quarantine) -> Self {
        Self {
            id,
            suspects: told.suspects.clone(),
            first_crash_ms: now_ms.saturating_sub(told.first_crash_ago_ms),
            next_trial_ms: now_ms + told.next_trial_ms,
            trials: told.trials,
        }
    }

    pub(super) fn told(&self, now_ms: u64, service: &ServiceName) -> Quarantine {
        Quarantine {
            service: service.clone(),
            suspects: self.suspects.clone(),
            first_crash_ago_ms: now_ms.saturating_sub(self.first_crash_ms),
            next_trial_ms: self.next_trial_ms.saturating_sub(now_ms),
            trials: self.trials,
        }
    }

    pub(super) fn is_met_by(&self, content: &Content) -> bool {
        content.has_all(&self.suspects)
    }

    /// Returns whether it refuses a single request.
    pub(super) fn is_of_request(&self) -> bool {
        self.suspects.iter().any(|suspect| matches!(suspect, Suspect::Request(_)))
    }

    /// Returns how long the next trial is away, in milliseconds.
    pub(super) fn trial_wait_ms(&self, now_ms: u64) -> u64 {
        self.next_trial_ms.saturating_sub(now_ms)
    }

    /// Records that a trial begins.
    pub(super) fn record_trial(&mut self, now_ms: u64) {
        self.trials += 1;
        let factor = TRIAL_FACTOR.pow(self.trials.min(TRIAL_GROWTH_MAX));
        self.next_trial_ms = now_ms + FIRST_TRIAL_MS * factor;
    }

    /// Merges what another instance knows of the same suspects.
    pub(super) fn merge(&mut self, other: &Self) {
        self.first_crash_ms = self.first_crash_ms.min(other.first_crash_ms);
        self.next_trial_ms = self.next_trial_ms.max(other.next_trial_ms);
        self.trials = self.trials.max(other.trials);
    }
}
