//! Creation of the initial configuration, which requires that every seed replica is empty.
//!
//! A replica that lost its disk finds a seed that already has a configuration, so it never starts a
//! second log.

use crate::{Config, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// The state that a seed replica reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The replica's voters, empty if it has no log.
    pub config: Config,
}

/// The next step of an empty replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Wait, then query the seeds again.
    Wait,
    /// Adopt this initial configuration.
    Bootstrap(Config),
}

/// Decides the next step of the empty replica `own` on the seed instance `name`.
///
/// `statuses` holds the state of every other seed that replied. Only the seed with the lowest name
/// creates a configuration, and only if all others reported that they are empty. The others adopt
/// the configuration from a peer that has it.
///
/// # Examples
/// ```
/// use lycheehub_consensus::bootstrap::{Outcome, decide};
/// use lycheehub_consensus::ReplicaId;
///
/// let seeds = ["a".into(), "b".into()];
/// let outcome = decide(ReplicaId(1), &"a".into(), &seeds, &Default::default());
/// assert_eq!(outcome, Outcome::Wait);
/// ```
pub fn decide(
    own: ReplicaId,
    name: &InstanceName,
    seeds: &[InstanceName],
    statuses: &BTreeMap<InstanceName, Status>,
) -> Outcome {
    if let Some(config) =
        statuses.values().map(|status| &status.config).find(|config| config.is_voter(own))
    {
        return Outcome::Bootstrap(config.clone());
    }
    let is_lowest = seeds.iter().min() == Some(name);
    let all_empty = seeds
        .iter()
        .filter(|seed| *seed != name)
        .all(|seed| statuses.get(seed).is_some_and(|status| status.config.voters.is_empty()));
    if !is_lowest || !all_empty {
        return Outcome::Wait;
    }
    let mut config = Config::default();
    config.voters.insert(own, name.clone());
    for seed in seeds.iter().filter(|seed| *seed != name) {
        config.voters.insert(statuses[seed].id, seed.clone());
    }
    Outcome::Bootstrap(config)
}
