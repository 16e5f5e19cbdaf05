//! Requests are dispatched only to endpoints with a valid lease and a free granted slot.

use crate::fixtures::{dispatched, endpoint, job, refused, view};
use lycheehub_route::{Decision, Options, Scheduler};
use lycheehub_types::RefusalKind;

#[test]
fn no_dispatch_after_the_lease_has_expired() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    scheduler.update(0, &view(vec![endpoint("engine", "v1", 4, 1_000)]));
    assert_eq!(dispatched(&scheduler.submit(999, job(0, "a", 60_000)).1).len(), 1);
    let (_, decisions) = scheduler.submit(1_000, job(0, "a", 60_000));
    let Some(Decision::Refuse(_, refusal)) = decisions.first() else { panic!("{decisions:?}") };
    assert_eq!(refusal.kind(), RefusalKind::NoEndpoint);
    assert!(refusal.retry_after_ms().is_some());
}

#[test]
fn no_dispatch_to_a_leaving_endpoint() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    let mut leaving = endpoint("engine", "v1", 4, u64::MAX);
    leaving.record.leaving = true;
    scheduler.update(0, &view(vec![leaving]));
    assert_eq!(refused(&scheduler.submit(1, job(0, "a", 60_000)).1).len(), 1);
}

#[test]
fn requests_in_flight_never_exceed_the_granted_slots() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    let mut live = endpoint("engine", "v1", 8, u64::MAX);
    live.granted_slots = 2;
    scheduler.update(0, &view(vec![live]));
    let dispatched_count: usize =
        (0..5).map(|_| dispatched(&scheduler.submit(1, job(0, "a", 60_000)).1).len()).sum();
    assert_eq!(dispatched_count, 2);
}
