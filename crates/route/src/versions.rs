//! Shares traffic of one service between versions, and stops a bad version by itself.

use lycheehub_control::moves::{Comparison, Observation, Side, Verdict};
use lycheehub_control::view::VersionShare;
use lycheehub_types::{Route, Version};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The whole of the traffic, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;
/// The share from which the new version also takes what the old one has no slots for.
const SPILL_PERMILLE: u32 = 500;

/// The versions that a request may go to, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preference {
    /// The version to take.
    pub first: Version,
    /// The version to take where the first one has no open endpoint.
    pub second: Option<Version>,
}

/// The versions of one service.
///
/// # Examples
/// ```
/// use lycheehub_control::view::VersionShare;
/// use lycheehub_route::versions::Versions;
///
/// let mut versions = Versions::default();
/// versions.update(VersionShare { stable: "v1".into(), candidate: None });
/// assert_eq!(versions.prefer(&"chat".into()).unwrap().first, "v1".into());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Versions {
    share: Option<VersionShare>,
    /// The part of a request that each route owes the new version, in thousandths.
    owed_permille: BTreeMap<Route, u32>,
    comparison: Comparison,
    tripped: Option<SmolStr>,
}

impl Versions {
    /// Takes the share in force.
    pub fn update(&mut self, share: VersionShare) {
        let move_of = |share: &VersionShare| share.candidate.as_ref().map(|c| c.move_id.clone());
        if self.share.as_ref().and_then(move_of) != move_of(&share) {
            self.comparison = Comparison::default();
            self.tripped = None;
            self.owed_permille.clear();
        }
        self.share = Some(share);
    }

    /// Returns the version that a move brings in, with its share in thousandths, unless stopped.
    pub fn candidate(&self) -> Option<(&Version, u32)> {
        let candidate = self.share.as_ref()?.candidate.as_ref()?;
        let stopped = self.tripped.is_some() || candidate.share_permille == 0;
        (!stopped).then_some((&candidate.version, candidate.share_permille))
    }

    /// Returns the versions that the next request of `route` may go to.
    pub fn prefer(&self, route: &Route) -> Option<Preference> {
        let stable = self.share.as_ref()?.stable.clone();
        let Some((candidate, share_permille)) = self.candidate() else {
            return Some(Preference { first: stable, second: None });
        };
        let candidate = candidate.clone();
        let owed = self.owed_permille.get(route).copied().unwrap_or(WHOLE_PERMILLE / 2);
        if owed + share_permille >= WHOLE_PERMILLE {
            return Some(Preference { first: candidate, second: Some(stable) });
        }
        let second = (share_permille >= SPILL_PERMILLE).then_some(candidate);
        Some(Preference { first: stable, second })
    }

    /// Notes that a request of `route` went to `version`.
    pub fn dispatched(&mut self, route: &Route, version: &Version) {
        let Some((candidate, share_permille)) = self.candidate() else { return };
        let to_candidate = candidate == version;
        let owed = self.owed_permille.entry(route.clone()).or_insert(WHOLE_PERMILLE / 2);
        *owed = (*owed + share_permille).min(2 * WHOLE_PERMILLE);
        if to_candidate {
            *owed = owed.saturating_sub(WHOLE_PERMILLE);
        }
    }

    /// Takes what was observed; returns the move and the reason where this stops its version.
    pub fn observe(
        &mut self,
        route: &Route,
        version: &Version,
        observation: Observation,
    ) -> Option<(SmolStr, SmolStr)> {
        let share = self.share.as_ref()?;
        let candidate = share.candidate.as_ref()?;
        if *version == candidate.version {
            self.comparison.add(Side::New, route, observation);
        } else if *version == share.stable {
            self.comparison.add(Side::Old, route, observation);
        }
        self.check(candidate.move_id.clone())
    }

    /// Closes windows of routes with little traffic; returns what [`Versions::observe`] does.
    pub fn close_windows(&mut self) -> Option<(SmolStr, SmolStr)> {
        let move_id = self.share.as_ref()?.candidate.as_ref()?.move_id.clone();
        self.comparison.close_windows();
        self.check(move_id)
    }

    fn check(&mut self, move_id: SmolStr) -> Option<(SmolStr, SmolStr)> {
        if self.tripped.is_some() {
            return None;
        }
        let Verdict::Regressed(reason) = self.comparison.verdict() else { return None };
        self.tripped = Some(reason.clone());
        Some((move_id, reason))
    }
}
