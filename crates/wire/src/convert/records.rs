//! Conversions of the records of instances and endpoints.

use super::{WireError, read_each, text};
use crate::peer_capnp as schema;
use lycheehub_control::registry::{Delta, InstanceRenewal, Renewal};
use lycheehub_types::endpoint::COLD_MAX_MS;
use lycheehub_types::{
    EndpointKind, EndpointLoad, EndpointRecord, InstanceRecord, ServiceName, Tier,
};
use std::collections::BTreeMap;

impl TryFrom<schema::endpoint_record::Reader<'_>> for EndpointRecord {
    type Error = WireError;

    fn try_from(reader: schema::endpoint_record::Reader<'_>) -> Result<Self, WireError> {
        let kind = if reader.get_plain() { EndpointKind::Plain } else { EndpointKind::Engine };
        Ok(Self {
            endpoint: text(reader.get_endpoint())?.into(),
            address: text(reader.get_address())?.into(),
            service: text(reader.get_service())?.into(),
            version: text(reader.get_version())?.into(),
            kind,
            hardware: text(reader.get_hardware())?.into(),
            failure_domain: text(reader.get_failure_domain())?.into(),
            slots: reader.get_slots(),
            fencing: reader.get_fencing(),
            takes_orders: reader.get_takes_orders(),
            incarnation: reader.get_incarnation(),
            sequence: reader.get_sequence(),
            leaving: reader.get_leaving(),
            load: EndpointLoad { running: reader.get_running(), waiting: reader.get_waiting() },
            cold_ms: reader.get_cold_ms().min(COLD_MAX_MS),
        })
    }
}

impl TryFrom<schema::instance_record::Reader<'_>> for InstanceRecord {
    type Error = WireError;

    fn try_from(reader: schema::instance_record::Reader<'_>) -> Result<Self, WireError> {
        let floors = read_counts(reader.get_shed_floor()?)?;
        let tier = |count: u32| Tier::new(u8::try_from(count).unwrap_or(u8::MAX));
        Ok(Self {
            instance: text(reader.get_instance())?.into(),
            peer_address: text(reader.get_peer_address())?.into(),
            http_address: text(reader.get_http_address())?.into(),
            failure_domain: text(reader.get_failure_domain())?.into(),
            incarnation: reader.get_incarnation(),
            sequence: reader.get_sequence(),
            replica_id: reader.get_replica_id(),
            revision_in_force: reader.get_revision_in_force(),
            stopping: reader.get_stopping(),
            shed_floor: floors.into_iter().map(|(service, rank)| (service, tier(rank))).collect(),
        })
    }
}

impl TryFrom<schema::delta::Reader<'_>> for Delta {
    type Error = WireError;

    fn try_from(reader: schema::delta::Reader<'_>) -> Result<Self, WireError> {
        let instance = |record: schema::instance_record::Reader<'_>| {
            Ok((record.try_into()?, record.get_age_ms()))
        };
        let endpoint = |record: schema::endpoint_record::Reader<'_>| {
            Ok((record.try_into()?, record.get_age_ms()))
        };
        let mut delta = Self {
            instances: read_each("instances", reader.get_instances()?, instance),
            endpoints: read_each("endpoints", reader.get_endpoints()?, endpoint),
            ..Self::default()
        };
        for renewal in reader.get_renewals()? {
            delta.renewals.push((renewal.into(), u64::from(renewal.get_age_ms())));
        }
        for renewal in reader.get_instance_renewals()? {
            delta.instance_renewals.push((renewal.into(), u64::from(renewal.get_age_ms())));
        }
        Ok(delta)
    }
}

impl From<schema::instance_renewal::Reader<'_>> for InstanceRenewal {
    fn from(reader: schema::instance_renewal::Reader<'_>) -> Self {
        Self {
            key: reader.get_key(),
            sequence: reader.get_sequence(),
            revision_in_force: reader.get_revision_in_force(),
        }
    }
}

impl From<schema::renewal::Reader<'_>> for Renewal {
    fn from(reader: schema::renewal::Reader<'_>) -> Self {
        let load = EndpointLoad {
            running: u32::from(reader.get_running()),
            waiting: u32::from(reader.get_waiting()),
        };
        Self { key: reader.get_key(), sequence: reader.get_sequence(), load }
    }
}

type ServiceCounts<'a> = capnp::struct_list::Reader<'a, schema::service_count::Owned>;

fn read_counts(reader: ServiceCounts<'_>) -> Result<BTreeMap<ServiceName, u32>, WireError> {
    let pair = |count: schema::service_count::Reader<'_>| {
        Ok((ServiceName::from(text(count.get_service())?), count.get_count()))
    };
    reader.iter().map(pair).collect()
}

/// Writes a delta of records and renewals.
pub fn write_delta(delta: &Delta, mut builder: schema::delta::Builder<'_>) {
    let mut instances = builder.reborrow().init_instances(delta.instances.len() as u32);
    for (i, (record, age_ms)) in delta.instances.iter().enumerate() {
        write_instance(record, *age_ms, instances.reborrow().get(i as u32));
    }
    let count = delta.instance_renewals.len() as u32;
    let mut renewals = builder.reborrow().init_instance_renewals(count);
    for (i, (renewal, age_ms)) in delta.instance_renewals.iter().enumerate() {
        let mut entry = renewals.reborrow().get(i as u32);
        entry.set_key(renewal.key);
        entry.set_sequence(renewal.sequence);
        entry.set_revision_in_force(renewal.revision_in_force);
        entry.set_age_ms(u32::try_from(*age_ms).unwrap_or(u32::MAX));
    }
    let mut renewals = builder.reborrow().init_renewals(delta.renewals.len() as u32);
    for (i, (renewal, age_ms)) in delta.renewals.iter().enumerate() {
        write_renewal(renewal, *age_ms, renewals.reborrow().get(i as u32));
    }
    let mut endpoints = builder.init_endpoints(delta.endpoints.len() as u32);
    for (i, (record, age_ms)) in delta.endpoints.iter().enumerate() {
        write_endpoint(record, *age_ms, endpoints.reborrow().get(i as u32));
    }
}

fn write_renewal(renewal: &Renewal, age_ms: u64, mut builder: schema::renewal::Builder<'_>) {
    let saturate_u16 = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    builder.set_key(renewal.key);
    builder.set_sequence(renewal.sequence);
    builder.set_age_ms(u32::try_from(age_ms).unwrap_or(u32::MAX));
    builder.set_running(saturate_u16(renewal.load.running));
    builder.set_waiting(saturate_u16(renewal.load.waiting));
}

pub(super) fn write_endpoint(
    record: &EndpointRecord,
    age_ms: u64,
    mut builder: schema::endpoint_record::Builder<'_>,
) {
    builder.set_endpoint(record.endpoint.as_str());
    builder.set_address(&*record.address);
    builder.set_service(record.service.as_str());
    builder.set_version(record.version.as_str());
    builder.set_plain(record.kind == EndpointKind::Plain);
    builder.set_hardware(&*record.hardware);
    builder.set_failure_domain(record.failure_domain.as_str());
    builder.set_slots(record.slots);
    builder.set_fencing(record.fencing);
    builder.set_takes_orders(record.takes_orders);
    builder.set_incarnation(record.incarnation);
    builder.set_sequence(record.sequence);
    builder.set_leaving(record.leaving);
    builder.set_running(record.load.running);
    builder.set_waiting(record.load.waiting);
    builder.set_age_ms(age_ms);
    builder.set_cold_ms(record.cold_ms);
}

fn write_instance(
    record: &InstanceRecord,
    age_ms: u64,
    mut builder: schema::instance_record::Builder<'_>,
) {
    builder.set_instance(record.instance.as_str());
    builder.set_peer_address(&*record.peer_address);
    builder.set_http_address(&*record.http_address);
    builder.set_failure_domain(record.failure_domain.as_str());
    builder.set_incarnation(record.incarnation);
    builder.set_sequence(record.sequence);
    builder.set_replica_id(record.replica_id);
    builder.set_revision_in_force(record.revision_in_force);
    builder.set_stopping(record.stopping);
    builder.set_age_ms(age_ms);
    let mut floors = builder.init_shed_floor(record.shed_floor.len() as u32);
    for (i, (service, tier)) in record.shed_floor.iter().enumerate() {
        let mut floor = floors.reborrow().get(i as u32);
        floor.set_service(service.as_str());
        floor.set_count(u32::from(tier.rank()));
    }
}
