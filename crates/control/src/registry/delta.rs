//! Gossip deltas: the records that changed since a peer was last sent a delta.

use super::{RETENTION_MS, Registry, RegistryEntry};
use lycheehub_types::{EndpointLoad, EndpointRecord, InstanceRecord};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The position up to which a peer has received changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

/// A new sequence number and load for an endpoint whose record the receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// A digest of the endpoint's name and incarnation.
    pub key: u64,
    /// The sequence number.
    pub sequence: u64,
    /// The load.
    pub load: EndpointLoad,
}

/// A new sequence number and revision in force for an instance whose record the receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceRenewal {
    /// A digest of the instance's name and incarnation.
    pub key: u64,
    /// The sequence number.
    pub sequence: u64,
    /// The highest revision that the instance has in force.
    pub revision_in_force: u64,
}

/// Changed records, each with its age in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Changed instances.
    pub instances: Vec<(InstanceRecord, u64)>,
    /// Changed endpoints.
    pub endpoints: Vec<(EndpointRecord, u64)>,
    /// Endpoints with only a new sequence number and load.
    pub renewals: Vec<(Renewal, u64)>,
    /// Instances with only a new sequence number and revision in force.
    pub instance_renewals: Vec<(InstanceRenewal, u64)>,
}

/// Returns the key of an endpoint's renewals.
pub(super) fn key_of(record: &EndpointRecord) -> u64 {
    xxh3_64_with_seed(record.endpoint.as_str().as_bytes(), record.incarnation)
}

/// Returns the key of an instance's renewals.
pub(super) fn instance_key_of(record: &InstanceRecord) -> u64 {
    xxh3_64_with_seed(record.instance.as_str().as_bytes(), record.incarnation)
}

impl Registry {
    /// Returns the records that changed after `cursor`, and the cursor for the next delta.
    pub fn delta_after(&self, now_ms: u64, cursor: Cursor) -> (Delta, Cursor) {
        let age_ms = |made_ms: u64| now_ms.saturating_sub(made_ms);
        let mut delta = Delta::default();
        for known in self.instances.values().filter(|known| known.change > cursor.0) {
            if known.full_change > cursor.0 {
                delta.instances.push((known.record.clone(), age_ms(known.made_ms)));
            } else {
                delta.instance_renewals.push((instance_renewal_of(known), age_ms(known.made_ms)));
            }
        }
        for known in self.endpoints.values().filter(|known| known.change > cursor.0) {
            if known.full_change > cursor.0 {
                delta.endpoints.push((known.record.clone(), age_ms(known.made_ms)));
            } else {
                delta.renewals.push((renewal_of(known), age_ms(known.made_ms)));
            }
        }
        (delta, Cursor(self.changes))
    }

    /// Returns the cursor of a peer that has received all changes.
    pub fn cursor(&self) -> Cursor {
        Cursor(self.changes)
    }

    /// Applies a peer's delta; tells whether it changed any record.
    pub fn apply_delta(&mut self, now_ms: u64, delta: Delta) -> bool {
        let mut changed = false;
        for (record, age_ms) in delta.instances {
            changed |= age_ms < RETENTION_MS && self.update_instance(now_ms, record, age_ms);
        }
        for (record, age_ms) in delta.endpoints {
            changed |= age_ms < RETENTION_MS && self.update_endpoint(now_ms, record, age_ms);
        }
        for (renewal, age_ms) in delta.renewals {
            changed |= age_ms < RETENTION_MS && self.apply_renewal(now_ms, renewal, age_ms);
        }
        for (renewal, age_ms) in delta.instance_renewals {
            changed |=
                age_ms < RETENTION_MS && self.apply_instance_renewal(now_ms, renewal, age_ms);
        }
        changed
    }

    /// Tells whether a renewal arrived for an unknown record since the last call. A full sync must
    /// then be requested from a peer.
    pub fn take_needs_full_sync(&mut self) -> bool {
        std::mem::take(&mut self.needs_full_sync)
    }

    fn apply_instance_renewal(
        &mut self,
        now_ms: u64,
        renewal: InstanceRenewal,
        age_ms: u64,
    ) -> bool {
        let name = self.instance_keys.get(&renewal.key);
        let Some(known) = name.and_then(|name| self.instances.get(name)) else {
            self.needs_full_sync = true;
            return false;
        };
        if instance_key_of(&known.record) != renewal.key {
            return false;
        }
        let record = InstanceRecord {
            sequence: renewal.sequence,
            revision_in_force: renewal.revision_in_force,
            ..known.record.clone()
        };
        self.update_instance(now_ms, record, age_ms)
    }

    fn apply_renewal(&mut self, now_ms: u64, renewal: Renewal, age_ms: u64) -> bool {
        let known = self.keys.get(&renewal.key).and_then(|name| self.endpoints.get(name));
        let Some(known) = known.filter(|known| key_of(&known.record) == renewal.key) else {
            // The key of an earlier incarnation is still known, so its renewal does not require a
            // full sync.
            self.needs_full_sync |= !self.keys.contains_key(&renewal.key);
            return false;
        };
        let record = EndpointRecord {
            sequence: renewal.sequence,
            load: renewal.load,
            ..known.record.clone()
        };
        self.update_endpoint(now_ms, record, age_ms)
    }
}

fn instance_renewal_of(known: &RegistryEntry<InstanceRecord>) -> InstanceRenewal {
    let record = &known.record;
    InstanceRenewal {
        key: instance_key_of(record),
        sequence: record.sequence,
        revision_in_force: record.revision_in_force,
    }
}

fn renewal_of(known: &RegistryEntry<EndpointRecord>) -> Renewal {
    let record = &known.record;
    Renewal { key: key_of(record), sequence: record.sequence, load: record.load }
}
