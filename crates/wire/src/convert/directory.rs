//! Conversions of endpoint listings, which control replicas send to each other and to watchers.

use super::records::write_endpoint;
use super::{WireError, read_each};
use crate::peer_capnp as schema;
use capnp::struct_list;
use lycheehub_control::directory::{ChangePosition, Listing, Overridden};
use lycheehub_types::InstanceName;
use std::collections::BTreeMap;

impl TryFrom<schema::listing::Reader<'_>> for Listing {
    type Error = WireError;

    fn try_from(reader: schema::listing::Reader<'_>) -> Result<Self, WireError> {
        // Builds that do not know the last two fields leave them out.
        let left = reader.has_left().then(|| reader.get_left()).transpose()?;
        let overridden = reader.has_overridden().then(|| reader.get_overridden()).transpose()?;
        Ok(Self {
            record: reader.get_record()?.try_into()?,
            gone: reader.get_gone(),
            withdrawn: reader.get_withdrawn(),
            left: left.map(|left| left.get_number()),
            overridden: overridden.map(Overridden::from),
        })
    }
}

impl From<schema::overridden::Reader<'_>> for Overridden {
    fn from(reader: schema::overridden::Reader<'_>) -> Self {
        Self {
            count: reader.get_count(),
            incarnation: reader.get_incarnation(),
            sequence: reader.get_sequence(),
        }
    }
}

fn write_overridden(overridden: Overridden, mut builder: schema::overridden::Builder<'_>) {
    builder.set_count(overridden.count);
    builder.set_incarnation(overridden.incarnation);
    builder.set_sequence(overridden.sequence);
}

/// Reads a list of endpoints; those that cannot be read are skipped.
pub fn read_listings(reader: struct_list::Reader<'_, schema::listing::Owned>) -> Vec<Listing> {
    read_each("listings", reader, Listing::try_from)
}

/// Writes a list of endpoints; the builder has the length of `listings`.
pub fn write_listings(
    listings: &[Listing],
    mut builder: struct_list::Builder<'_, schema::listing::Owned>,
) {
    for (index, listing) in (0..).zip(listings) {
        let mut entry = builder.reborrow().get(index);
        entry.set_gone(listing.gone);
        entry.set_withdrawn(listing.withdrawn);
        if let Some(left) = listing.left {
            entry.reborrow().init_left().set_number(left);
        }
        if let Some(overridden) = listing.overridden {
            write_overridden(overridden, entry.reborrow().init_overridden());
        }
        write_endpoint(&listing.record, 0, entry.init_record());
    }
}

/// Reads the positions up to which the sender has received the changes of each replica; those that cannot
/// be read are skipped.
pub fn read_heard(
    reader: struct_list::Reader<'_, schema::heard::Owned>,
) -> BTreeMap<InstanceName, ChangePosition> {
    let entry = |entry: schema::heard::Reader<'_>| {
        let heard = ChangePosition { epoch: entry.get_epoch(), change: entry.get_change() };
        Ok((InstanceName::new(entry.get_replica()?.to_str()?), heard))
    };
    read_each("positions", reader, entry).into_iter().collect()
}

/// Writes the positions up to which the sender has received the changes of each replica; the builder
/// has the length of `heard`.
pub fn write_heard(
    heard: &BTreeMap<InstanceName, ChangePosition>,
    mut builder: struct_list::Builder<'_, schema::heard::Owned>,
) {
    for (index, (replica, heard)) in (0..).zip(heard) {
        let mut entry = builder.reborrow().get(index);
        entry.set_replica(replica.as_str());
        entry.set_epoch(heard.epoch);
        entry.set_change(heard.change);
    }
}
