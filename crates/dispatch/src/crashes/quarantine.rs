//! Parts of prompts, and requests, that are kept from endpoints.

use super::{Content, QuarantineId, Suspect};
use lycheehub_types::{EndpointName, ServiceName};
use smol_str::SmolStr;

/// The time from the start of a quarantine to its first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 10_000;
/// The factor by which the time to the next trial grows.
const TRIAL_FACTOR: u64 = 4;
/// The number of trials after which the next one is long in coming.
const TRIALS: u32 = 3;
/// The time from the last of them to the next trial of a request, in milliseconds.
const REQUEST_PAUSE_MS: u64 = 24 * 3_600_000;
/// The same time for parts of prompts, which refuse the requests of many callers, in milliseconds.
const PARTS_PAUSE_MS: u64 = 3_600_000;
/// How long a quarantine is kept after a trial is due if nothing meets it, in milliseconds.
const KEPT_MS: u64 = 24 * 3_600_000;

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

/// A quarantine as operators are told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedQuarantine {
    /// Its identity.
    pub id: QuarantineId,
    /// The quarantine.
    pub quarantine: Quarantine,
    /// The endpoints that crashed, as far as their crashes are remembered here.
    pub endpoints: Vec<EndpointName>,
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
    /// An operator has ended the quarantine; the suspects are no longer refused.
    Ended {
        /// The service.
        service: ServiceName,
        /// The suspects.
        suspects: Vec<Suspect>,
        /// The operator's call.
        by: SmolStr,
    },
    /// A request with the suspects is placed as a trial.
    Tried {
        /// The service.
        service: ServiceName,
        /// The suspects.
        suspects: Vec<Suspect>,
    },
}

/// A request that was placed as a trial of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    quarantine_id: u64,
    /// When the trial after it is due, in milliseconds.
    next_trial_ms: u64,
}

/// A quarantine in force.
#[derive(Clone, Debug)]
pub(super) struct InForce {
    pub(super) id: u64,
    pub(super) suspects: Vec<Suspect>,
    pub(super) first_crash_ms: u64,
    /// When a request last met it, in milliseconds.
    pub(super) last_met_ms: u64,
    next_trial_ms: u64,
    /// Until when the trial that is due is reserved for a request that waits, in milliseconds; 0 if it is not.
    reserved_until_ms: u64,
    trials: u32,
}

impl InForce {
    pub(super) fn new(id: u64, now_ms: u64, suspects: Vec<Suspect>, first_crash_ms: u64) -> Self {
        let next_trial_ms = now_ms + FIRST_TRIAL_MS;
        Self {
            id,
            suspects,
            first_crash_ms,
            last_met_ms: now_ms,
            next_trial_ms,
            reserved_until_ms: 0,
            trials: 0,
        }
    }

    pub(super) fn restored(id: u64, now_ms: u64, told: &Quarantine) -> Self {
        Self {
            id,
            suspects: told.suspects.clone(),
            first_crash_ms: now_ms.saturating_sub(told.first_crash_ago_ms),
            last_met_ms: now_ms,
            next_trial_ms: now_ms.saturating_add(told.next_trial_ms),
            reserved_until_ms: 0,
            trials: told.trials,
        }
    }

    pub(super) fn told(&self, now_ms: u64, service: &ServiceName) -> Quarantine {
        Quarantine {
            service: service.clone(),
            suspects: self.suspects.clone(),
            first_crash_ago_ms: now_ms.saturating_sub(self.first_crash_ms),
            next_trial_ms: self.trial_wait_ms(now_ms),
            trials: self.trials,
        }
    }

    pub(super) fn is_met_by(&self, content: &Content) -> bool {
        content.has_all(&self.suspects)
    }

    /// Returns whether it refuses a single request.
    pub(super) fn is_of_request(&self) -> bool {
        self.suspects.iter().any(Suspect::is_request)
    }

    /// Returns how long the next trial is away, in milliseconds.
    pub(super) fn trial_wait_ms(&self, now_ms: u64) -> u64 {
        self.due_ms().saturating_sub(now_ms)
    }

    /// Returns when the next trial may be placed, in milliseconds.
    fn due_ms(&self) -> u64 {
        self.next_trial_ms.max(self.reserved_until_ms)
    }

    /// Reserves the trial that is due for a request that waits to be placed.
    pub(super) fn reserve_trial(&mut self, now_ms: u64) {
        let factor = TRIAL_FACTOR.pow((self.trials + 1).min(TRIALS - 1));
        self.reserved_until_ms = now_ms + FIRST_TRIAL_MS * factor;
    }

    /// Reserves the trial for longer if its reservation has ended before the request was placed.
    pub(super) fn renew_trial(&mut self, now_ms: u64) {
        if self.reserved_until_ms > 0 && self.reserved_until_ms <= now_ms {
            self.reserve_trial(now_ms);
        }
    }

    /// Gives back the trial that is reserved, if one is.
    pub(super) fn release_trial(&mut self) {
        self.reserved_until_ms = 0;
    }

    /// Records that a trial was sent to an endpoint.
    pub(super) fn record_trial(&mut self, now_ms: u64) {
        self.release_trial();
        self.trials = self.trials.saturating_add(1);
        self.next_trial_ms = now_ms + self.pause_ms();
    }

    /// Returns the last trial. Another report of the quarantine replaces it by a later one.
    pub(super) fn last_trial(&self) -> Trial {
        Trial { quarantine_id: self.id, next_trial_ms: self.next_trial_ms }
    }

    /// Takes a trial back that reached no endpoint; the next one is due soon.
    pub(super) fn take_back_trial(&mut self, now_ms: u64) {
        self.trials = self.trials.saturating_sub(1);
        self.next_trial_ms = now_ms + FIRST_TRIAL_MS;
    }

    /// Returns the time between the last trial and the next, in milliseconds.
    fn pause_ms(&self) -> u64 {
        match self.is_of_request() {
            _ if self.trials < TRIALS => FIRST_TRIAL_MS * TRIAL_FACTOR.pow(self.trials),
            true => REQUEST_PAUSE_MS,
            false => PARTS_PAUSE_MS,
        }
    }

    /// Returns whether it is forgotten: no request has met it for a long time.
    pub(super) fn is_forgotten(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms().max(self.last_met_ms).saturating_add(KEPT_MS)
    }

    /// Merges what another instance knows of the same suspects.
    pub(super) fn merge(&mut self, other: &Self) {
        self.first_crash_ms = self.first_crash_ms.min(other.first_crash_ms);
        self.next_trial_ms = self.next_trial_ms.max(other.next_trial_ms);
        self.last_met_ms = self.last_met_ms.max(other.last_met_ms);
        self.trials = self.trials.max(other.trials);
    }
}
