//! Rollouts as dispatchers and their controller take them.

use lycheehub_control::moves::{Observation, ObservationKey, Observations};
use lycheehub_control::state::{RolloutRecord, RolloutState};
use lycheehub_dispatch::{VersionMode, VersionRule, VersionSample};
use lycheehub_types::{Route, ServiceName};
use smol_str::format_smolstr;
use std::collections::BTreeMap;

/// All requests, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// Whether a dispatcher sees the requests of all instances, and so may compare versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sight {
    /// It does: the leader's.
    Whole,
    /// It sees those of one instance: what it sends to a new version would be seen by nobody.
    Part,
}

/// Returns the rules by which a dispatcher divides services between versions.
pub(crate) fn version_rules(
    rollouts: &BTreeMap<ServiceName, RolloutRecord>,
    sight: Sight,
) -> BTreeMap<ServiceName, VersionRule> {
    let rule = |(name, record): (&ServiceName, &RolloutRecord)| {
        let target = record.order.target.clone();
        let mut barred = record.barred.clone();
        let mode = match record.state {
            RolloutState::Running => {
                let is_compared = record.share_permille < WHOLE_PERMILLE;
                let is_kept_back = is_compared && sight == Sight::Part;
                let share_permille = if is_kept_back { 0 } else { record.share_permille };
                VersionMode::Split { target, share: f64::from(share_permille) / 1e3 }
            }
            RolloutState::Completed => {
                VersionMode::Only { target, since_unix_ms: record.ended_unix_ms }
            }
            RolloutState::RolledBack => {
                barred.push(target);
                VersionMode::Any
            }
        };
        (name.clone(), VersionRule { mode, excluded: barred })
    };
    rollouts.iter().map(rule).collect()
}

/// Sums samples up; requests of one rank count as one route.
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
