//! Divides the requests of a service between versions of its endpoints.

use super::{Dispatcher, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::job::{Finished, Outcome};
use lycheehub_types::{ServiceName, Version};
use std::collections::BTreeMap;

/// How many samples are kept until they are taken; a dispatcher that compares nothing takes none.
const SAMPLES_MAX: usize = 4_096;

/// Which versions of a service get requests.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRule {
    /// How requests are divided.
    pub mode: VersionMode,
    /// Versions that get none.
    pub barred: Vec<Version>,
}

/// How requests are divided between versions.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionMode {
    /// All versions are alike.
    Any,
    /// A share of requests goes to the new version, the others to all others.
    Split {
        /// The new version.
        target: Version,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// Only the new version, and endpoints that were started later.
    Only {
        /// The new version.
        target: Version,
        /// From when on endpoints count as started later, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
}

/// How a request ended at a version, for its comparison with another.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSample {
    /// The service.
    pub service: ServiceName,
    /// The version of the endpoint.
    pub version: Version,
    /// The rank of the request's route.
    pub rank: u8,
    /// How long an event of the answer took on average, or the whole answer where it is no stream,
    /// in milliseconds; nothing where the endpoint failed.
    pub pace_ms: Option<f64>,
}

/// A rule with how it was kept so far.
#[derive(Clone, Debug)]
pub(super) struct Division {
    rule: VersionRule,
    placed: u64,
    placed_new: u64,
}

/// The versions that the next request is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    New,
    Old,
}

impl Division {
    /// Returns the side that the next request is meant for; the only one there is, if need be.
    pub(super) fn next_side<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) -> Side {
        let VersionMode::Split { target, share } = &self.rule.mode else { return Side::New };
        let wants_new = (self.placed_new + 1) as f64 <= (self.placed + 1) as f64 * share;
        let mut live = endpoints.filter(|endpoint| !endpoint.is_leaving());
        if wants_new || !live.any(|endpoint| self.is_old(endpoint, target)) {
            return Side::New;
        }
        Side::Old
    }

    /// Tells whether an endpoint may get a request that is meant for `side`.
    pub(super) fn suits(&self, side: Side, endpoint: &Endpoint) -> bool {
        let record = &endpoint.record;
        let is_meant = match &self.rule.mode {
            VersionMode::Any => true,
            VersionMode::Split { target, .. } => (record.version == *target) == (side == Side::New),
            VersionMode::Only { target, since_unix_ms } => {
                record.version == *target || record.incarnation >= *since_unix_ms
            }
        };
        is_meant && !self.rule.barred.contains(&record.version)
    }

    fn is_old(&self, endpoint: &Endpoint, target: &Version) -> bool {
        let version = &endpoint.record.version;
        version != target && !self.rule.barred.contains(version)
    }

    /// Tells whether it may get it where no endpoint of that side takes it: a new version that has
    /// no room leaves requests to the others, but gets none of theirs.
    pub(super) fn suits_instead(&self, side: Side, endpoint: &Endpoint) -> bool {
        let VersionMode::Split { target, .. } = &self.rule.mode else { return false };
        side == Side::New && self.is_old(endpoint, target)
    }

    fn note_placed(&mut self, version: &Version) {
        let VersionMode::Split { target, .. } = &self.rule.mode else { return };
        self.placed += 1;
        self.placed_new += u64::from(version == target);
    }
}

impl Service {
    pub(super) fn note_version_placed(&mut self, version: &Version) {
        if let Some(division) = &mut self.division {
            division.note_placed(version);
        }
    }

    fn is_compared(&self) -> bool {
        let mode = self.division.as_ref().map(|division| &division.rule.mode);
        matches!(mode, Some(VersionMode::Split { .. }))
    }
}

impl Dispatcher {
    /// Takes the rules by which services are divided between versions; without one, all versions of
    /// a service are alike.
    pub fn set_version_rules(&mut self, mut rules: BTreeMap<ServiceName, VersionRule>) {
        for (name, service) in &mut self.services {
            let rule = rules.remove(name);
            let known = service.division.as_ref().map(|division| &division.rule);
            if rule.as_ref() != known {
                let new = |rule| Division { rule, placed: 0, placed_new: 0 };
                service.division = rule.map(new);
            }
        }
    }

    /// Returns what was seen of versions that are compared since the last call.
    pub fn take_samples(&mut self) -> Vec<VersionSample> {
        std::mem::take(&mut self.samples)
    }

    /// Returns how many requests run at endpoints of a service that `is_meant` by their version.
    pub fn running_at(&self, service: &ServiceName, is_meant: impl Fn(&Version) -> bool) -> usize {
        let endpoints = self.endpoints.values();
        let meant = endpoints.filter(|endpoint| {
            endpoint.record.service == *service && is_meant(&endpoint.record.version)
        });
        meant.map(|endpoint| endpoint.running.len()).sum()
    }

    /// Notes how a request ended at an endpoint.
    pub(super) fn note_sample(&mut self, key: EndpointKey, rank: u8, finished: &Finished) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let record = &endpoint.record;
        let is_compared = self.services.get(&record.service).is_some_and(Service::is_compared);
        if !is_compared || self.samples.len() >= SAMPLES_MAX {
            return;
        }
        let pace_ms = match finished.outcome {
            Outcome::Answered => {
                let first_ms = f64::from(finished.first_byte_ms.unwrap_or_default());
                let all_ms = first_ms + f64::from(finished.rest_ms);
                Some(all_ms / f64::from(finished.events + 1))
            }
            Outcome::Failed | Outcome::Broken => None,
            Outcome::Rejected
            | Outcome::NotConnected
            | Outcome::Misdirected
            | Outcome::Abandoned => return,
        };
        let (service, version) = (record.service.clone(), record.version.clone());
        self.samples.push(VersionSample { service, version, rank, pace_ms });
    }
}
