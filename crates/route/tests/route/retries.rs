//! Retries go to other endpoints and stay within the retry budget.

use crate::fixtures::{dispatched, endpoint, job, refused, view};
use lycheehub_route::{Decision, Options, Scheduler};

#[test]
fn retry_goes_to_another_endpoint() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    let live = |name| endpoint(name, "v1", 4, u64::MAX);
    scheduler.update(0, &view(vec![live("one"), live("two")]));
    let (key, decisions) = scheduler.submit(1, job(0, "a", 60_000));
    let Some(Decision::Dispatch(_, first)) = decisions.first() else { panic!("{decisions:?}") };
    let decisions = scheduler.retry(2, key, None);
    let Some(Decision::Dispatch(_, second)) = decisions.first() else { panic!("{decisions:?}") };
    assert_ne!(first.name, second.name);
}

#[test]
fn retries_stop_when_the_budget_is_exhausted() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    let live = |number| endpoint(&format!("engine-{number}"), "v1", 100, u64::MAX);
    scheduler.update(0, &view((0..60).map(live).collect()));
    let keys: Vec<_> = (0..60)
        .map(|_| scheduler.submit(1, job(0, "a", 60_000)))
        .filter(|(_, decisions)| !dispatched(decisions).is_empty())
        .map(|(key, _)| key)
        .collect();
    assert_eq!(keys.len(), 60);
    let refused_count: usize =
        keys.iter().map(|key| refused(&scheduler.retry(2, *key, None)).len()).sum();
    assert_eq!(refused_count, 40);
}

#[test]
fn request_without_another_endpoint_is_refused_at_once() {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    scheduler.update(0, &view(vec![endpoint("one", "v1", 4, u64::MAX)]));
    let (key, _) = scheduler.submit(1, job(0, "a", 60_000));
    assert_eq!(refused(&scheduler.retry(2, key, Some(3))), [key]);
}
