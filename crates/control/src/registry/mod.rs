//! Instances and endpoints by their leases, as exchanged by gossip between instances.
//!
//! A record is live while its sequence number keeps increasing. A record sent to another instance
//! carries its age, so that the transfer time does not extend its lease.

mod delta;

pub use delta::{Cursor, Delta, InstanceRenewal, Renewal};

use lycheehub_types::{EndpointName, EndpointRecord, InstanceName, InstanceRecord};
use std::collections::BTreeMap;

/// The lease duration of an endpoint's announcement, in milliseconds.
pub const ENDPOINT_LEASE_MS: u64 = 5_000;
/// The lease duration of an instance's heartbeat, in milliseconds.
pub const INSTANCE_LEASE_MS: u64 = 4_000;
/// How long a record is kept after it was made, in milliseconds.
const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// A record with its creation time by the local clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry<T> {
    /// The record.
    pub record: T,
    /// When the record was created, in milliseconds by the local clock.
    pub made_ms: u64,
    /// The local change number, by which deltas are selected.
    change: u64,
    /// The number of the last change to more than the fields that a renewal carries.
    full_change: u64,
}

impl RegistryEntry<InstanceRecord> {
    /// Tells whether the instance's lease is valid.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.made_ms + INSTANCE_LEASE_MS
    }
}

/// All instances and endpoints known to an instance.
///
/// # Examples
/// ```
/// use lycheehub_control::registry::{INSTANCE_LEASE_MS, Registry};
/// # let record = lycheehub_types::InstanceRecord { instance: "a".into(), peer_address: "".into(),
/// #   http_address: "".into(), failure_domain: "salto".into(), incarnation: 1, sequence: 1,
/// #   replica_id: 0, revision_in_force: 0, stopping: false, shed_floor: Default::default() };
/// let mut registry = Registry::default();
/// registry.update_instance(1_000, record, 0);
/// assert_eq!(registry.live_instances(1_500).count(), 1);
/// assert_eq!(registry.live_instances(1_000 + INSTANCE_LEASE_MS).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    instances: BTreeMap<InstanceName, RegistryEntry<InstanceRecord>>,
    endpoints: BTreeMap<EndpointName, RegistryEntry<EndpointRecord>>,
    /// The endpoints by the key of their renewals.
    keys: BTreeMap<u64, EndpointName>,
    /// The instances by the key of their renewals.
    instance_keys: BTreeMap<u64, InstanceName>,
    changes: u64,
    /// Whether a renewal arrived for an unknown record, so that a full sync is needed.
    needs_full_sync: bool,
}

impl Registry {
    /// Stores an endpoint's record that is `age_ms` old if it is newer than the known one; tells
    /// whether it was stored.
    pub fn update_endpoint(
        &mut self,
        now_ms: u64,
        mut record: EndpointRecord,
        age_ms: u64,
    ) -> bool {
        if let Some(known) = self.endpoints.get(&record.endpoint) {
            if known.record.freshness() >= record.freshness() {
                return false;
            }
            let same_incarnation = known.record.incarnation == record.incarnation;
            record.leaving |= same_incarnation && known.record.leaving;
        }
        self.changes += 1;
        let full_change = match self.endpoints.get(&record.endpoint) {
            Some(known) if is_renewal(&known.record, &record) => known.full_change,
            _ => self.changes,
        };
        self.keys.insert(delta::key_of(&record), record.endpoint.clone());
        let made_ms = now_ms.saturating_sub(age_ms);
        let known = RegistryEntry { made_ms, change: self.changes, full_change, record };
        self.endpoints.insert(known.record.endpoint.clone(), known);
        true
    }

    /// Stores an instance's record that is `age_ms` old if it is newer than the known one; tells
    /// whether it was stored.
    pub fn update_instance(&mut self, now_ms: u64, record: InstanceRecord, age_ms: u64) -> bool {
        let known = self.instances.get(&record.instance);
        if known.is_some_and(|known| known.record.freshness() >= record.freshness()) {
            return false;
        }
        let full_change = known.filter(|known| is_instance_renewal(&known.record, &record));
        let full_change = full_change.map(|known| known.full_change);
        self.changes += 1;
        let full_change = full_change.unwrap_or(self.changes);
        self.instance_keys.insert(delta::instance_key_of(&record), record.instance.clone());
        let made_ms = now_ms.saturating_sub(age_ms);
        let known = RegistryEntry { made_ms, change: self.changes, full_change, record };
        self.instances.insert(known.record.instance.clone(), known);
        true
    }

    /// Returns the endpoints with a valid lease, including leaving ones.
    pub fn live_endpoints(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = &RegistryEntry<EndpointRecord>> {
        let is_live = move |known: &&RegistryEntry<EndpointRecord>| {
            now_ms < known.made_ms + ENDPOINT_LEASE_MS
        };
        self.endpoints.values().filter(is_live)
    }

    /// Returns all endpoints, including those with an expired lease.
    pub fn endpoints(&self) -> impl Iterator<Item = &RegistryEntry<EndpointRecord>> {
        self.endpoints.values()
    }

    /// Returns the instances with a valid lease.
    pub fn live_instances(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = &RegistryEntry<InstanceRecord>> {
        self.instances.values().filter(move |known| known.is_live(now_ms))
    }

    /// Returns all instances, including those with an expired lease.
    pub fn instances(&self) -> impl Iterator<Item = &RegistryEntry<InstanceRecord>> {
        self.instances.values()
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&RegistryEntry<EndpointRecord>> {
        self.endpoints.get(name)
    }

    /// Returns the instance with this name.
    pub fn instance(&self, name: &InstanceName) -> Option<&RegistryEntry<InstanceRecord>> {
        self.instances.get(name)
    }

    /// Removes records that are past their retention time.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.endpoints.retain(|_, known| now_ms < known.made_ms + RETENTION_MS);
        self.instances.retain(|_, known| now_ms < known.made_ms + RETENTION_MS);
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

/// Tells whether two records differ only in the sequence number and the revision in force.
fn is_instance_renewal(old: &InstanceRecord, new: &InstanceRecord) -> bool {
    let renewed = InstanceRecord {
        sequence: new.sequence,
        revision_in_force: new.revision_in_force,
        ..old.clone()
    };
    renewed == *new
}

/// Tells whether two records differ only in the sequence number and the load.
fn is_renewal(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    let renewed = EndpointRecord { sequence: new.sequence, load: new.load, ..old.clone() };
    renewed == *new
}
