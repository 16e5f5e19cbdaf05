//! Weighted fair queueing: a large client account does not starve the others of its tier.

use crate::fixtures::{dispatched, endpoint, job, view};
use lycheehub_route::{Options, Outcome, Scheduler};

#[test]
fn large_account_does_not_starve_a_small_one() {
    let mut scheduler = Scheduler::new(Options::default(), 3);
    scheduler.update(0, &view(vec![endpoint("engine", "v1", 1, u64::MAX)]));
    let (mut running, _) = scheduler.submit(1, job(2, "large", u64::MAX));
    for _ in 0..100 {
        scheduler.submit(1, job(2, "large", u64::MAX));
    }
    let (small, _) = scheduler.submit(2, job(2, "small", u64::MAX));
    let mut served = 0;
    while running != small {
        served += 1;
        let outcome = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 105.0 };
        let decisions = scheduler.finish(3 + served, running, outcome);
        running = dispatched(&decisions)[0];
    }
    assert!(served <= 2, "the small account waited for {served} requests of the large one");
}

#[test]
fn accounts_are_served_in_proportion_to_their_weights() {
    let mut scheduler = Scheduler::new(Options::default(), 3);
    scheduler.update(0, &view(vec![endpoint("engine", "v1", 1, u64::MAX)]));
    let (mut running, _) = scheduler.submit(1, job(2, "first", u64::MAX));
    let mut heavy = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let job_of_weight_3 = lycheehub_route::Job { weight: 3, ..job(2, "heavy", u64::MAX) };
        heavy.insert(scheduler.submit(1, job_of_weight_3).0);
        scheduler.submit(1, job(2, "light", u64::MAX));
    }
    let mut served = 0;
    for turn in 0..40 {
        let outcome = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 105.0 };
        running = dispatched(&scheduler.finish(2 + turn, running, outcome))[0];
        served += usize::from(heavy.contains(&running));
    }
    assert!(
        (28..=32).contains(&served),
        "{served} of 40 requests for three quarters of the weight"
    );
}
