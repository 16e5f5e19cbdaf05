//! Leases by sequence number, whatever way and however late the records come.

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
        incarnation,
        sequence,
        leaving,
        load: EndpointLoad::default(),
    }
}

#[test]
fn a_record_that_took_long_holds_no_longer_than_one_that_did_not() {
    let mut registry = Registry::default();
    registry.take_endpoint(10_000, record(1, 1, false), 3_000);
    let ends_ms = 7_000 + ENDPOINT_LEASE_MS;
    assert_eq!(registry.live_endpoints(ends_ms - 1).count(), 1);
    assert_eq!(registry.live_endpoints(ends_ms).count(), 0);
}

#[test]
fn an_old_record_renews_nothing() {
    let mut registry = Registry::default();
    assert!(registry.take_endpoint(1_000, record(2, 5, false), 0));
    assert!(!registry.take_endpoint(4_000, record(2, 5, false), 0));
    assert!(!registry.take_endpoint(4_000, record(2, 4, false), 0));
    assert!(!registry.take_endpoint(4_000, record(1, 9, false), 0));
    assert_eq!(registry.live_endpoints(1_000 + ENDPOINT_LEASE_MS).count(), 0);
}

#[test]
fn leaving_holds_until_the_endpoint_starts_again() {
    let mut registry = Registry::default();
    registry.take_endpoint(1_000, record(1, 1, true), 0);
    registry.take_endpoint(1_100, record(1, 2, false), 0);
    assert!(registry.endpoints().all(|known| known.record.leaving));
    registry.take_endpoint(1_200, record(2, 1, false), 0);
    assert!(registry.endpoints().all(|known| !known.record.leaving));
}

#[test]
fn a_delta_holds_only_what_changed() {
    let mut from = Registry::default();
    from.take_endpoint(1_000, record(1, 1, false), 0);
    let (delta, cursor) = from.delta_after(1_500, Cursor::default());
    let mut to = Registry::default();
    assert!(to.take_delta(9_000, delta.clone()));
    assert!(!to.take_delta(9_001, delta));
    assert_eq!(to.endpoints().next().map(|known| known.made_ms), Some(8_500));
    assert!(from.delta_after(1_600, cursor).0.endpoints.is_empty());
}
