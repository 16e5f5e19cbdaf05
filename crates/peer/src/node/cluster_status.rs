//! Lists the endpoints and instances known to this instance, for operators.

use super::{Core, Node};
use crate::control::{ClusterStatus, EndpointStatus, InstanceStatus};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

/// How long a watching instance is listed after its last poll, in milliseconds: as long as an
/// operator may look for an instance that has just gone.
const POLL_RETENTION_MS: u64 = 60_000;
/// Time without a poll after which an instance is no longer live, in milliseconds: two polls, which
/// take at most a second each, plus some delay.
const POLL_TIMEOUT_MS: u64 = 3_000;

/// The last poll of an instance that watches this one.
#[derive(Clone, Copy, Debug)]
struct Poll {
    revision: u64,
    polled_ms: u64,
}

/// The last polls of the instances that watch this one and hold no replica.
#[derive(Debug, Default)]
pub(super) struct Polls {
    by_instance: BTreeMap<InstanceName, Poll>,
}

impl Polls {
    /// Records a poll of an instance and the revision that it has.
    pub(super) fn record(&mut self, now_ms: u64, instance: &InstanceName, revision: u64) {
        let poll = Poll { revision, polled_ms: now_ms };
        if self.by_instance.insert(instance.clone(), poll).is_none() {
            self.by_instance.retain(|_, poll| now_ms < poll.polled_ms + POLL_RETENTION_MS);
        }
    }

    /// Returns the instances that have polled within the retention time.
    pub(super) fn recent(&self, now_ms: u64) -> impl Iterator<Item = &InstanceName> {
        let is_recent = move |poll: &Poll| now_ms < poll.polled_ms + POLL_RETENTION_MS;
        self.by_instance.iter().filter(move |(_, poll)| is_recent(poll)).map(|(name, _)| name)
    }

    fn instances(&self, now_ms: u64) -> impl Iterator<Item = InstanceStatus> {
        self.by_instance.iter().map(move |(instance, poll)| InstanceStatus {
            instance: instance.clone(),
            holds_replica: false,
            revision_in_force: poll.revision,
            is_live: now_ms < poll.polled_ms + POLL_TIMEOUT_MS,
        })
    }
}

impl Node {
    /// Records a poll of an instance without a replica and the revision that it has.
    pub(crate) fn record_poll(&self, instance: &InstanceName, revision: u64) {
        self.polls.borrow_mut().record(self.clock.now_ms(), instance, revision);
    }

    /// Returns the endpoints and instances known here.
    pub(super) fn cluster_status(&self) -> ClusterStatus {
        let now_ms = self.clock.now_ms();
        let core = self.core.borrow();
        let own = &self.settings.instance;
        let endpoints = core.directory.live().map(|record| EndpointStatus {
            record: record.clone(),
            heard_by: core.directory.lease_monitor(&record.endpoint).unwrap_or(own).clone(),
        });
        let polls = self.polls.borrow();
        let instances = replicas(&core, now_ms).chain(polls.instances(now_ms));
        ClusterStatus {
            revision: core.state.revision,
            endpoints: endpoints.collect(),
            evacuated: core.state.evacuations.keys().cloned().collect(),
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
