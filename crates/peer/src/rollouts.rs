//! Converts rollouts to dispatcher rules, and dispatcher samples to observations.

use lycheehub_control::moves::{Observation, ObservationKey, Observations};
use lycheehub_control::state::{RolloutRecord, RolloutState};
use lycheehub_dispatch::{VersionMode, VersionRule, VersionSample};
use lycheehub_types::{Route, ServiceName};
use smol_str::format_smolstr;
use std::collections::BTreeMap;

/// The share of all requests, in thousandths.
const FULL_SHARE_PERMILLE: u32 = 1_000;

/// Whose requests a dispatcher handles. Versions are compared only if it handles all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficScope {
    /// The requests of all instances: the dispatcher of the leader.
    AllInstances,
    /// The requests of one instance: nothing evaluates the requests that it would send to a new
    /// version, so it sends none while versions are compared.
    OneInstance,
}

/// Returns the rules by which a dispatcher splits the requests of services between versions.
pub(crate) fn version_rules(
    rollouts: &BTreeMap<ServiceName, RolloutRecord>,
    scope: TrafficScope,
) -> BTreeMap<ServiceName, VersionRule> {
    let rule = |(name, record): (&ServiceName, &RolloutRecord)| {
        let target = record.order.target.clone();
        let mut excluded_versions = record.barred.clone();
        let mode = match record.state {
            RolloutState::Running => {
                let is_compared = record.share_permille < FULL_SHARE_PERMILLE;
                let withholds_target = is_compared && scope == TrafficScope::OneInstance;
                let share_permille = if withholds_target { 0 } else { record.share_permille };
                VersionMode::Split { target, share: f64::from(share_permille) / 1e3 }
            }
            RolloutState::Completed => {
                VersionMode::Only { target, since_unix_ms: record.ended_unix_ms }
            }
            RolloutState::RolledBack => {
                excluded_versions.push(target);
                VersionMode::Any
            }
        };
        (name.clone(), VersionRule { mode, excluded: excluded_versions })
    };
    rollouts.iter().map(rule).collect()
}

/// Sums samples into observations; the requests of a rank count as one route.
pub(crate) fn observations(samples: Vec<VersionSample>) -> Observations {
    let mut observations = Observations::new();
    for sample in samples {
        let route = Route::new(format_smolstr!("rank {}", sample.rank));
        let key = ObservationKey { service: sample.service, version: sample.version, route };
        let observation =
            sample.ms_per_event.map_or_else(Observation::failure, Observation::success);
        *observations.entry(key).or_default() += observation;
    }
    observations
}
