//! What this instance knows of endpoints and instances, for operators.

use super::{Core, Node};
use crate::control::{Census, SeenEndpoint, SeenInstance};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// How long an instance that watched is remembered after its last question, in milliseconds: as
/// long as an operator may look for one that has just gone.
const REMEMBER_MS: u64 = 60_000;
/// After how long without a question an instance counts as silent, in milliseconds: two questions,
/// which take a second at most, and some delay.
const SILENT_MS: u64 = 3_000;

/// An instance that watches here.
#[derive(Clone, Copy, Debug)]
struct Watching {
    revision: u64,
    asked_ms: u64,
}

/// The instances that watch here and hold no replica.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    by_name: BTreeMap<InstanceName, Watching>,
}

impl Watchers {
    /// Notes that an instance asked, and the revision that it has.
    pub(super) fn note(&mut self, now_ms: u64, instance: &InstanceName, revision: u64) {
        let watching = Watching { revision, asked_ms: now_ms };
        if self.by_name.insert(instance.clone(), watching).is_none() {
            self.by_name.retain(|_, watching| now_ms < watching.asked_ms + REMEMBER_MS);
        }
    }

    fn seen(&self, now_ms: u64) -> impl Iterator<Item = SeenInstance> {
        self.by_name.iter().map(move |(name, watching)| SeenInstance {
            instance: name.clone(),
            holds_replica: false,
            revision_in_force: watching.revision,
            is_live: now_ms < watching.asked_ms + SILENT_MS,
        })
    }
}

impl Node {
    /// Notes that an instance without a replica watches here.
    pub(crate) fn note_watching(&self, instance: &InstanceName, revision: u64) {
        self.watching.borrow_mut().note(self.clock.now_ms(), instance, revision);
    }

    /// Returns what is known here.
    pub(super) fn census(&self) -> Census {
        let now_ms = self.clock.now_ms();
        let core = self.core.borrow();
        let own = &self.settings.instance;
        let endpoints = core.directory.live().map(|record| SeenEndpoint {
            record: record.clone(),
            heard_by: core.directory.watcher_of(&record.endpoint).unwrap_or(own).clone(),
        });
        let mut instances = replicas(&core, now_ms);
        instances.extend(self.watching.borrow().seen(now_ms));
        Census { revision: core.state.revision, endpoints: endpoints.collect(), instances }
    }
}

fn replicas(core: &Core, now_ms: u64) -> Vec<SeenInstance> {
    let live: Vec<&InstanceName> =
        core.registry.live_instances(now_ms).map(|known| &known.record.instance).collect();
    let seen = core.registry.instances().map(|known| &known.record);
    let replicas = seen.filter(|record| record.replica_id != 0);
    replicas
        .map(|record| SeenInstance {
            instance: record.instance.clone(),
            holds_replica: true,
            revision_in_force: record.revision_in_force,
            is_live: live.contains(&&record.instance),
        })
        .collect()
}
