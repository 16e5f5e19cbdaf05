//! How much room services keep while failure domains are evacuated.

use lycheehub_types::{EndpointRecord, FailureDomain, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// The slots of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    /// The slots of all endpoints that do not leave.
    pub slots: u64,
    /// Those outside the evacuated failure domains.
    pub slots_left: u64,
}

/// Returns the room of each service.
///
/// # Examples
/// ```
/// use lycheehub_control::room::room_by_service;
/// assert!(room_by_service([].into_iter(), &["salto".into()].into()).is_empty());
/// ```
pub fn room_by_service<'a>(
    endpoints: impl Iterator<Item = &'a EndpointRecord>,
    evacuated: &BTreeSet<FailureDomain>,
) -> BTreeMap<ServiceName, ServiceRoom> {
    let mut rooms: BTreeMap<ServiceName, ServiceRoom> = BTreeMap::new();
    for endpoint in endpoints.filter(|endpoint| !endpoint.leaving) {
        let room = rooms.entry(endpoint.service.clone()).or_default();
        let slots = u64::from(endpoint.slots);
        room.slots += slots;
        if !evacuated.contains(&endpoint.failure_domain) {
            room.slots_left += slots;
        }
    }
    rooms
}
