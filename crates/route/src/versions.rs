//! Splits the traffic of one service between its stable version and the candidate of a move.
//!
//! If the instance itself observes that the candidate is worse, it stops sending to the candidate
//! at once, without waiting for the leader.

use lycheehub_control::moves::{Comparison, Observation, Side, Verdict};
use lycheehub_control::view::VersionShare;
use lycheehub_types::{Route, Version};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// All traffic, in thousandths.
const FULL_PERMILLE: u32 = 1_000;
/// The minimum share at which the candidate also receives requests for which the stable version has
/// no open endpoint.
const SPILLOVER_PERMILLE: u32 = 500;

/// The versions that a request may be sent to, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preference {
    /// The version to use if it has an open endpoint.
    pub preferred: Version,
    /// The version to use if the preferred one has no open endpoint.
    pub fallback: Option<Version>,
}

/// The split of one service's traffic between versions.
///
/// # Examples
/// ```
/// use lycheehub_control::view::VersionShare;
/// use lycheehub_route::versions::TrafficSplit;
///
/// let mut versions = TrafficSplit::default();
/// versions.update(VersionShare { stable: "v1".into(), candidate: None });
/// assert_eq!(versions.preference(&"chat".into()).unwrap().preferred, "v1".into());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    share: Option<VersionShare>,
    /// The candidate's accumulated credit on each route, in thousandths of a request. Each request
    /// adds the candidate's share; a request to the candidate costs 1000.
    credit_permille: BTreeMap<Route, u32>,
    comparison: Comparison,
    /// The reason for which this instance stopped sending to the candidate.
    tripped: Option<SmolStr>,
}

impl TrafficSplit {
    /// Applies the share in force; resets the comparison and the credits if the move changed.
    pub fn update(&mut self, share: VersionShare) {
        let move_of = |share: &VersionShare| share.candidate.as_ref().map(|c| c.move_id.clone());
        if self.share.as_ref().and_then(move_of) != move_of(&share) {
            self.comparison = Comparison::default();
            self.tripped = None;
            self.credit_permille.clear();
        }
        self.share = Some(share);
    }

    /// Returns the candidate version and its share in thousandths, unless its share is 0 or this
    /// instance stopped sending to it.
    pub fn candidate(&self) -> Option<(&Version, u32)> {
        let candidate = self.share.as_ref()?.candidate.as_ref()?;
        let stopped = self.tripped.is_some() || candidate.share_permille == 0;
        (!stopped).then_some((&candidate.version, candidate.share_permille))
    }

    /// Returns the versions that the next request of `route` may be sent to.
    pub fn preference(&self, route: &Route) -> Option<Preference> {
        let stable = self.share.as_ref()?.stable.clone();
        let Some((candidate, share_permille)) = self.candidate() else {
            return Some(Preference { preferred: stable, fallback: None });
        };
        let candidate = candidate.clone();
        let credit = self.credit_permille.get(route).copied().unwrap_or(FULL_PERMILLE / 2);
        if credit + share_permille >= FULL_PERMILLE {
            return Some(Preference { preferred: candidate, fallback: Some(stable) });
        }
        let fallback = (share_permille >= SPILLOVER_PERMILLE).then_some(candidate);
        Some(Preference { preferred: stable, fallback })
    }

    /// Records that a request of `route` was dispatched to `version`.
    pub fn record_dispatch(&mut self, route: &Route, version: &Version) {
        let Some((candidate, share_permille)) = self.candidate() else { return };
        let to_candidate = candidate == version;
        let credit = self.credit_permille.entry(route.clone()).or_insert(FULL_PERMILLE / 2);
        *credit = (*credit + share_permille).min(2 * FULL_PERMILLE);
        if to_candidate {
            *credit = credit.saturating_sub(FULL_PERMILLE);
        }
    }

    /// Adds an observation to the comparison of the versions.
    ///
    /// Returns the move and the reason if the observation makes this instance stop sending to the
    /// candidate.
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

    /// Sets the time for the comparison, in milliseconds; returns the same as
    /// [`TrafficSplit::observe`].
    pub fn advance(&mut self, now_ms: u64) -> Option<(SmolStr, SmolStr)> {
        let move_id = self.share.as_ref()?.candidate.as_ref()?.move_id.clone();
        self.comparison.advance(now_ms);
        self.check(move_id)
    }

    /// Closes the comparison windows of routes with little traffic; returns the same as
    /// [`TrafficSplit::observe`].
    pub fn close_windows(&mut self) -> Option<(SmolStr, SmolStr)> {
        let move_id = self.share.as_ref()?.candidate.as_ref()?.move_id.clone();
        self.comparison.close_windows();
        self.check(move_id)
    }

    /// Stops the candidate if the comparison finds it bad.
    fn check(&mut self, move_id: SmolStr) -> Option<(SmolStr, SmolStr)> {
        if self.tripped.is_some() {
            return None;
        }
        let Verdict::Regressed(reason) = self.comparison.verdict() else { return None };
        self.tripped = Some(reason.clone());
        Some((move_id, reason))
    }
}
