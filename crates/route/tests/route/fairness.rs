//! One large client account does not starve the others of its tier.

use crate::fixtures::{dispatched, endpoint, job, view};
use lycheehub_route::{Options, Outcome, Scheduler};

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let mut scheduler = Scheduler::new(Options::default(), 3);
    scheduler.update(0, &view(vec![endpoint("engine", "v1", 1, u64::MAX)]));
    let (mut running, _) = scheduler.submit(1, job(2, "large", u64::MAX));
    for _ in 0..100 {
        scheduler.submit(1, job(2, "large", u64::MAX));
    }
    let (small, _) = scheduler.submit(2, job(2, "small", u64::MAX));
    let mut turns = 0;
    while running != small {
        turns += 1;
        let outcome = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 105.0 };
        let decisions = scheduler.finish(3 + turns, running, outcome);
        running = dispatched(&decisions)[0];
    }
    assert!(turns <= 2, "the small account waited for {turns} others");
}

#[test]
fn weights_share_a_tier_in_proportion() {
    let mut scheduler = Scheduler::new(Options::default(), 3);
    scheduler.update(0, &view(vec![endpoint("engine", "v1", 1, u64::MAX)]));
    let (mut running, _) = scheduler.submit(1, job(2, "first", u64::MAX));
    let mut heavy = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let of_three = lycheehub_route::Job { weight: 3, ..job(2, "heavy", u64::MAX) };
        heavy.insert(scheduler.submit(1, of_three).0);
        scheduler.submit(1, job(2, "light", u64::MAX));
    }
    let mut served = 0;
    for turn in 0..40 {
        let outcome = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 105.0 };
        running = dispatched(&scheduler.finish(2 + turn, running, outcome))[0];
        served += usize::from(heavy.contains(&running));
    }
    assert!((28..=32).contains(&served), "{served} of 40 for three quarters of the weight");
}
