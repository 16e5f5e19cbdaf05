//! Leases are renewed by sequence number, whatever the path and delay of the records.

use lycheehub_control::registry::{Cursor, ENDPOINT_LEASE_MS, Registry};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord};

fn record(incarnation: u64, sequence: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        endpoint: "engine".into(),
        address: "127.0.0.1:1".into(),
        service: "writer".into(),
        version: "v1".into(),
        kind: EndpointKind::Engine,
        hardware: "gen1".into(),
        failure_domain: "salto".into(),
        slots: 8,
        fencing: false,
        takes_orders: false,
        incarnation,
        sequence,
        leaving,
        load: EndpointLoad::default(),
        cold_ms: 0,
    }
}

#[test]
fn transfer_delay_does_not_extend_a_lease() {
    let mut registry = Registry::default();
    registry.update_endpoint(10_000, record(1, 1, false), 3_000);
    let ends_ms = 7_000 + ENDPOINT_LEASE_MS;
    assert_eq!(registry.live_endpoints(ends_ms - 1).count(), 1);
    assert_eq!(registry.live_endpoints(ends_ms).count(), 0);
}

#[test]
fn outdated_record_does_not_renew_a_lease() {
    let mut registry = Registry::default();
    assert!(registry.update_endpoint(1_000, record(2, 5, false), 0));
    assert!(!registry.update_endpoint(4_000, record(2, 5, false), 0));
    assert!(!registry.update_endpoint(4_000, record(2, 4, false), 0));
    assert!(!registry.update_endpoint(4_000, record(1, 9, false), 0));
    assert_eq!(registry.live_endpoints(1_000 + ENDPOINT_LEASE_MS).count(), 0);
}

#[test]
fn leaving_lasts_until_the_endpoint_restarts() {
    let mut registry = Registry::default();
    registry.update_endpoint(1_000, record(1, 1, true), 0);
    registry.update_endpoint(1_100, record(1, 2, false), 0);
    assert!(registry.endpoints().all(|known| known.record.leaving));
    registry.update_endpoint(1_200, record(2, 1, false), 0);
    assert!(registry.endpoints().all(|known| !known.record.leaving));
}

#[test]
fn delta_contains_only_changes() {
    let mut from = Registry::default();
    from.update_endpoint(1_000, record(1, 1, false), 0);
    let (delta, cursor) = from.delta_after(1_500, Cursor::default());
    let mut to = Registry::default();
    assert!(to.apply_delta(9_000, delta.clone()));
    assert!(!to.apply_delta(9_001, delta));
    assert_eq!(to.endpoints().next().map(|known| known.made_ms), Some(8_500));
    assert!(from.delta_after(1_600, cursor).0.endpoints.is_empty());
}

#[test]
fn renewal_carries_only_the_sequence_number_and_load() {
    let mut from = Registry::default();
    from.update_endpoint(1_000, record(1, 1, false), 0);
    let (first, cursor) = from.delta_after(1_000, Cursor::default());
    from.update_endpoint(2_000, record(1, 2, false), 0);
    let (second, cursor) = from.delta_after(2_000, cursor);
    assert_eq!((second.endpoints.len(), second.renewals.len()), (0, 1));
    let mut to = Registry::default();
    to.apply_delta(1_000, first);
    assert!(to.apply_delta(2_000, second.clone()));
    assert_eq!(to.live_endpoints(2_000 + ENDPOINT_LEASE_MS - 1).count(), 1);
    // A change to any other field is sent as a whole record.
    from.update_endpoint(3_000, record(1, 3, true), 0);
    assert_eq!(from.delta_after(3_000, cursor).0.endpoints.len(), 1);
    // A receiver without the record detects that it needs a full sync.
    let mut new = Registry::default();
    assert!(!new.apply_delta(2_000, second));
    assert!(new.take_needs_full_sync());
    assert!(!new.take_needs_full_sync());
}
