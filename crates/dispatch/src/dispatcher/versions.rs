//! Divides the requests of a service between versions of its endpoints.

use super::{Dispatcher, Service};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::job::{Finished, Outcome};
use lycheehub_types::{ServiceName, Version};
use std::collections::BTreeMap;

/// The maximum number of samples kept until they are taken; a dispatcher that compares no versions
/// never takes them.
const SAMPLES_MAX: usize = 4_096;

/// Which versions of a service receive requests.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRule {
    /// How requests are divided between the versions.
    pub mode: VersionMode,
    /// The versions that receive no requests.
    pub excluded: Vec<Version>,
}

/// How requests are divided between versions.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionMode {
    /// All versions are treated alike.
    Any,
    /// A share of the requests goes to the target version, the rest to the other versions.
    Split {
        /// The target version.
        target: Version,
        /// The share of the target version, from 0 to 1.
        share: f64,
    },
    /// Only the target version and endpoints started after a given time receive requests.
    Only {
        /// The target version.
        target: Version,
        /// The start time from which endpoints of any version are used, in milliseconds since the
        /// Unix epoch.
        since_unix_ms: u64,
    },
}

/// The result of one request, used to compare versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSample {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The version of the endpoint.
    pub version: Version,
    /// The rank of the request.
    pub rank: u8,
    /// The mean time per event of a stream, or the time of the whole response otherwise, in
    /// milliseconds; `None` if the endpoint failed.
    pub ms_per_event: Option<f64>,
}

/// A version rule with the number of requests placed under it.
#[derive(Clone, Debug)]
pub(super) struct VersionRouting {
    rule: VersionRule,
    placed: u64,
    placed_new: u64,
    /// All requests placed while the target version was the same.
    total: PlacedRequests,
}

/// The requests of a service that were placed while it is divided between versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacedRequests {
    /// Those on endpoints of the target version.
    pub new: u64,
    /// Those on other endpoints.
    pub old: u64,
}

/// The group of versions that the next request is intended for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionGroup {
    New,
    Old,
}

impl VersionRouting {
    /// Returns the group that the next request is intended for; `New` if no endpoint of the old
    /// group is live.
    pub(super) fn next_group<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> VersionGroup {
        let VersionMode::Split { target, share } = &self.rule.mode else {
            return VersionGroup::New;
        };
        let wants_new = (self.placed_new + 1) as f64 <= (self.placed + 1) as f64 * share;
        let mut live = endpoints.filter(|endpoint| endpoint.takes_requests());
        if wants_new || !live.any(|endpoint| self.is_old(endpoint, target)) {
            return VersionGroup::New;
        }
        VersionGroup::Old
    }

    /// Returns whether an endpoint may receive a request intended for `group`.
    pub(super) fn accepts(&self, group: VersionGroup, endpoint: &Endpoint) -> bool {
        let record = &endpoint.record;
        let matches_version = match &self.rule.mode {
            VersionMode::Any => true,
            VersionMode::Split { target, .. } => {
                (record.version == *target) == (group == VersionGroup::New)
            }
            VersionMode::Only { target, since_unix_ms } => {
                record.version == *target || record.incarnation >= *since_unix_ms
            }
        };
        matches_version && !self.rule.excluded.contains(&record.version)
    }

    fn is_old(&self, endpoint: &Endpoint, target: &Version) -> bool {
        let version = &endpoint.record.version;
        version != target && !self.rule.excluded.contains(version)
    }

    /// Returns whether an endpoint may receive a request intended for `group` when no endpoint of
    /// that group accepts it. Requests for a full target version fall back to the old versions, but
    /// not the other way round.
    pub(super) fn accepts_as_fallback(&self, group: VersionGroup, endpoint: &Endpoint) -> bool {
        let VersionMode::Split { target, .. } = &self.rule.mode else { return false };
        group == VersionGroup::New && self.is_old(endpoint, target)
    }

    fn record_placed(&mut self, version: &Version) {
        let VersionMode::Split { target, .. } = &self.rule.mode else { return };
        let is_new = version == target;
        self.placed += 1;
        self.placed_new += u64::from(is_new);
        self.total.new += u64::from(is_new);
        self.total.old += u64::from(!is_new);
    }

    /// Returns the requests placed so far, if `rule` has the same target version.
    fn total_for(&self, rule: &VersionRule) -> PlacedRequests {
        match (&self.rule.mode, &rule.mode) {
            (VersionMode::Split { target, .. }, VersionMode::Split { target: next, .. })
                if target == next =>
            {
                self.total
            }
            _ => PlacedRequests::default(),
        }
    }
}

impl Service {
    pub(super) fn record_version_placed(&mut self, version: &Version) {
        if let Some(version_routing) = &mut self.version_routing {
            version_routing.record_placed(version);
        }
    }

    fn is_compared(&self) -> bool {
        let mode = self.version_routing.as_ref().map(|version_routing| &version_routing.rule.mode);
        matches!(mode, Some(VersionMode::Split { .. }))
    }
}

impl Dispatcher {
    /// Replaces the version rules; without a rule, all versions of a service are treated alike.
    pub fn set_version_rules(&mut self, mut rules: BTreeMap<ServiceName, VersionRule>) {
        for (name, service) in &mut self.services {
            let rule = rules.remove(name);
            let known =
                service.version_routing.as_ref().map(|version_routing| &version_routing.rule);
            if rule.as_ref() != known {
                let before = service.version_routing.take();
                service.version_routing = rule.map(|rule| {
                    let total = before.as_ref().map(|before| before.total_for(&rule));
                    let total = total.unwrap_or_default();
                    VersionRouting { rule, placed: 0, placed_new: 0, total }
                });
            }
        }
    }

    /// Returns the samples recorded since the last call.
    pub fn take_samples(&mut self) -> Vec<VersionSample> {
        std::mem::take(&mut self.samples)
    }

    /// Returns the requests of a service that this dispatcher has placed since its requests are divided
    /// between the same versions.
    pub fn placed_requests(&self, service: &ServiceName) -> PlacedRequests {
        let routing =
            self.services.get(service).and_then(|service| service.version_routing.as_ref());
        routing.map_or_else(PlacedRequests::default, |routing| routing.total)
    }

    /// Records the result of a request for the comparison of versions, if its service compares
    /// them.
    pub(super) fn record_sample(&mut self, key: EndpointKey, rank: u8, finished: &Finished) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let record = &endpoint.record;
        let is_compared = self.services.get(&record.service).is_some_and(Service::is_compared);
        if !is_compared || self.samples.len() >= SAMPLES_MAX {
            return;
        }
        let ms_per_event = match finished.outcome {
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
        self.samples.push(VersionSample { service, version, rank, ms_per_event });
    }
}
