//! The very first configuration: it is made only where every seed replica is empty.
//!
//! A replica that lost its disk finds a founded peer and so never founds a second log.

use crate::{Config, ReplicaId};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// What a seed replica answers when asked for its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The voters that it knows, empty where it holds no log.
    pub config: Config,
}

/// What an empty replica does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Wait and ask again.
    Wait,
    /// Take this configuration as the first one.
    Found(Config),
}

/// Decides for the empty replica `own` on the seed instance `name`.
///
/// `answers` holds the state of every other seed that answered. Only the seed with the lowest name
/// makes a configuration, and only with an empty answer from all the others. The others take it
/// from a peer that has it.
///
/// # Examples
/// ```
/// use lycheehub_consensus::founding::{Outcome, decide};
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
    answers: &BTreeMap<InstanceName, Status>,
) -> Outcome {
    if let Some(config) =
        answers.values().map(|status| &status.config).find(|config| config.is_voter(own))
    {
        return Outcome::Found(config.clone());
    }
    let lowest = seeds.iter().min() == Some(name);
    let all_empty = seeds
        .iter()
        .filter(|seed| *seed != name)
        .all(|seed| answers.get(seed).is_some_and(|status| status.config.voters.is_empty()));
    if !lowest || !all_empty {
        return Outcome::Wait;
    }
    let mut config = Config::default();
    config.voters.insert(own, name.clone());
    for seed in seeds.iter().filter(|seed| *seed != name) {
        config.voters.insert(answers[seed].id, seed.clone());
    }
    Outcome::Found(config)
}
