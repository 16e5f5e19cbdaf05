//! Instances and endpoints by their leases, as spread between instances.
//!
//! A record counts as live while its sequence number keeps growing. What passes between instances
//! carries its age, so that a lease is not made longer by the way it took.

mod delta;

pub use delta::{Cursor, Delta, InstanceRenewal, Renewal};

use lycheehub_types::{EndpointName, EndpointRecord, InstanceName, InstanceRecord};
use std::collections::BTreeMap;

/// How long an endpoint's announcement holds, in milliseconds.
pub const ENDPOINT_LEASE_MS: u64 = 5_000;
/// How long an instance's heartbeat holds, in milliseconds.
pub const INSTANCE_LEASE_MS: u64 = 4_000;
/// How long a record whose lease is over is still remembered, in milliseconds.
const FORGET_MS: u64 = 10 * 60 * 1_000;

/// A record with the time of its origin by the local clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known<T> {
    /// The record.
    pub record: T,
    /// When the record was made, in milliseconds by the local clock.
    pub made_ms: u64,
    /// The local change number, by which deltas are cut.
    change: u64,
    /// The change number at which more than the sequence number and the load changed.
    described: u64,
}

impl Known<InstanceRecord> {
    /// Tells whether the instance's lease holds.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.made_ms + INSTANCE_LEASE_MS
    }
}

/// All instances and endpoints that an instance has heard of.
///
/// # Examples
/// ```
/// use lycheehub_control::registry::{INSTANCE_LEASE_MS, Registry};
/// # let record = lycheehub_types::InstanceRecord { instance: "a".into(), peer_address: "".into(),
/// #   http_address: "".into(), failure_domain: "salto".into(), incarnation: 1, sequence: 1,
/// #   replica_id: 0, revision_in_force: 0, stopping: false, shed_floor: Default::default() };
/// let mut registry = Registry::default();
/// registry.take_instance(1_000, record, 0);
/// assert_eq!(registry.live_instances(1_500).count(), 1);
/// assert_eq!(registry.live_instances(1_000 + INSTANCE_LEASE_MS).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    instances: BTreeMap<InstanceName, Known<InstanceRecord>>,
    endpoints: BTreeMap<EndpointName, Known<EndpointRecord>>,
    /// The endpoints by the key of their renewals.
    keys: BTreeMap<u64, EndpointName>,
    /// The instances by the key of their renewals.
    instance_keys: BTreeMap<u64, InstanceName>,
    changes: u64,
    /// A renewal came for a record that is not known here.
    lacking: bool,
}

impl Registry {
    /// Takes an endpoint's record of `age_ms`; tells whether it is news.
    pub fn take_endpoint(&mut self, now_ms: u64, mut record: EndpointRecord, age_ms: u64) -> bool {
        if let Some(known) = self.endpoints.get(&record.endpoint) {
            if known.record.freshness() >= record.freshness() {
                return false;
            }
            let same = known.record.incarnation == record.incarnation;
            record.leaving |= same && known.record.leaving;
        }
        self.changes += 1;
        let described = match self.endpoints.get(&record.endpoint) {
            Some(known) if is_renewal(&known.record, &record) => known.described,
            _ => self.changes,
        };
        self.keys.insert(delta::key_of(&record), record.endpoint.clone());
        let made_ms = now_ms.saturating_sub(age_ms);
        let known = Known { made_ms, change: self.changes, described, record };
        self.endpoints.insert(known.record.endpoint.clone(), known);
        true
    }

    /// Takes an instance's record of `age_ms`; tells whether it is news.
    pub fn take_instance(&mut self, now_ms: u64, record: InstanceRecord, age_ms: u64) -> bool {
        let known = self.instances.get(&record.instance);
        if known.is_some_and(|known| known.record.freshness() >= record.freshness()) {
            return false;
        }
        let described = known.filter(|known| is_instance_renewal(&known.record, &record));
        let described = described.map(|known| known.described);
        self.changes += 1;
        let described = described.unwrap_or(self.changes);
        self.instance_keys.insert(delta::instance_key_of(&record), record.instance.clone());
        let made_ms = now_ms.saturating_sub(age_ms);
        let known = Known { made_ms, change: self.changes, described, record };
        self.instances.insert(known.record.instance.clone(), known);
        true
    }

    /// Returns the endpoints whose lease holds, leaving ones included.
    pub fn live_endpoints(&self, now_ms: u64) -> impl Iterator<Item = &Known<EndpointRecord>> {
        let live = move |known: &&Known<EndpointRecord>| now_ms < known.made_ms + ENDPOINT_LEASE_MS;
        self.endpoints.values().filter(live)
    }

    /// Returns all endpoints that are remembered.
    pub fn endpoints(&self) -> impl Iterator<Item = &Known<EndpointRecord>> {
        self.endpoints.values()
    }

    /// Returns the instances whose lease holds.
    pub fn live_instances(&self, now_ms: u64) -> impl Iterator<Item = &Known<InstanceRecord>> {
        self.instances.values().filter(move |known| known.is_live(now_ms))
    }

    /// Returns all instances that are remembered.
    pub fn instances(&self) -> impl Iterator<Item = &Known<InstanceRecord>> {
        self.instances.values()
    }

    /// Returns the endpoint of this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Known<EndpointRecord>> {
        self.endpoints.get(name)
    }

    /// Returns the instance of this name.
    pub fn instance(&self, name: &InstanceName) -> Option<&Known<InstanceRecord>> {
        self.instances.get(name)
    }

    /// Forgets records whose lease has been over for long.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.endpoints.retain(|_, known| now_ms < known.made_ms + FORGET_MS);
        self.instances.retain(|_, known| now_ms < known.made_ms + FORGET_MS);
        let endpoints = &self.endpoints;
        self.keys.retain(|key, name| {
            endpoints.get(name).is_some_and(|known| delta::key_of(&known.record) == *key)
        });
        let instances = &self.instances;
        self.instance_keys.retain(|key, name| {
            instances.get(name).is_some_and(|known| delta::instance_key_of(&known.record) == *key)
        });
    }
}

/// Tells whether only the sequence number and the revision in force of a record have changed.
fn is_instance_renewal(old: &InstanceRecord, new: &InstanceRecord) -> bool {
    let renewed = InstanceRecord {
        sequence: new.sequence,
        revision_in_force: new.revision_in_force,
        ..old.clone()
    };
    renewed == *new
}

/// Tells whether only the sequence number and the load of a record have changed.
fn is_renewal(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    let renewed = EndpointRecord { sequence: new.sequence, load: new.load, ..old.clone() };
    renewed == *new
}
