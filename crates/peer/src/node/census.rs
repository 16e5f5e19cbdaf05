//! What this instance knows of endpoints and instances, for operators.

use super::{Core, Node};
use crate::control::{ClusterStatus, EndpointStatus, InstanceStatus};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// How long an instance that watched is remembered after its last question, in milliseconds: as
/// long as an operator may look for one that has just gone.
const REMEMBER_MS: u64 = 60_000;
/// After how long without a question an instance counts as silent, in milliseconds: two questions,
/// which take a second at most, and some delay.
const SILENT_MS: u64 = 3_000;

/// The last question of an instance that watches here.
#[derive(Clone, Copy, Debug)]
struct Poll {
    revision: u64,
    asked_ms: u64,
}

/// The last questions of instances that watch here and hold no replica.
#[derive(Debug, Default)]
pub(super) struct Polls {
    by_instance: BTreeMap<InstanceName, Poll>,
}

impl Polls {
    /// Notes that an instance asked, and the revision that it has.
    pub(super) fn note(&mut self, now_ms: u64, instance: &InstanceName, revision: u64) {
        let poll = Poll { revision, asked_ms: now_ms };
        if self.by_instance.insert(instance.clone(), poll).is_none() {
            self.by_instance.retain(|_, poll| now_ms < poll.asked_ms + REMEMBER_MS);
        }
    }

    fn seen(&self, now_ms: u64) -> impl Iterator<Item = InstanceStatus> {
        self.by_instance.iter().map(move |(instance, poll)| InstanceStatus {
            instance: instance.clone(),
            holds_replica: false,
            revision_in_force: poll.revision,
            is_live: now_ms < poll.asked_ms + SILENT_MS,
        })
    }
}

impl Node {
    /// Notes that an instance without a replica asked, and the revision that it has.
    pub(crate) fn note_poll(&self, instance: &InstanceName, revision: u64) {
        self.polls.borrow_mut().note(self.clock.now_ms(), instance, revision);
    }

    /// Returns what is known here.
    pub(super) fn census(&self) -> ClusterStatus {
        let now_ms = self.clock.now_ms();
        let core = self.core.borrow();
        let own = &self.settings.instance;
        let endpoints = core.directory.live().map(|record| EndpointStatus {
            record: record.clone(),
            heard_by: core.directory.lease_monitor(&record.endpoint).unwrap_or(own).clone(),
        });
        let polls = self.polls.borrow();
        let instances = replicas(&core, now_ms).chain(polls.seen(now_ms));
        ClusterStatus {
            revision: core.state.revision,
            endpoints: endpoints.collect(),
            instances: instances.collect(),
        }
    }
}

fn replicas(core: &Core, now_ms: u64) -> impl Iterator<Item = InstanceStatus> {
    let replicas = core.registry.instances().filter(|known| known.record.replica_id != 0);
    replicas.map(move |known| InstanceStatus {
        instance: known.record.instance.clone(),
        holds_replica: true,
        revision_in_force: known.record.revision_in_force,
        is_live: known.is_live(now_ms),
    })
}
