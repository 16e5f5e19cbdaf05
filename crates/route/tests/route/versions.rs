//! A candidate version gets exactly its share of traffic, and none once this instance has observed
//! that it is bad.

use crate::fixtures::{endpoint, job, view, with_candidate};
use lycheehub_route::{Decision, Options, Outcome, Scheduler};

fn scheduler_with_candidate(share_permille: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(Options::default(), 1);
    let endpoints =
        vec![endpoint("old", "v1", 100, u64::MAX), endpoint("new", "v2", 100, u64::MAX)];
    scheduler.update(0, &with_candidate(view(endpoints), "v2", share_permille));
    scheduler
}

fn run(scheduler: &mut Scheduler, count: u64, bad: bool) -> u64 {
    let mut to_new = 0;
    for index in 0..count {
        let now_ms = 10 * index + 1;
        let (key, decisions) = scheduler.submit(now_ms, job(0, "a", now_ms + 60_000));
        let Some(Decision::Dispatch(_, assignment)) = decisions.first() else {
            panic!("{decisions:?}")
        };
        let new = assignment.name.as_str() == "new";
        to_new += u64::from(new);
        let good = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 95.0 };
        let outcome = if new && bad { Outcome::Failed } else { good };
        scheduler.finish(now_ms + 5, key, outcome);
    }
    to_new
}

#[test]
fn good_candidate_gets_its_share() {
    assert_eq!(run(&mut scheduler_with_candidate(20), 5_000, false), 100);
    assert_eq!(run(&mut scheduler_with_candidate(500), 1_000, false), 500);
    assert_eq!(run(&mut scheduler_with_candidate(1_000), 1_000, false), 1_000);
}

#[test]
fn bad_candidate_is_stopped_without_the_leader() {
    let mut scheduler = scheduler_with_candidate(500);
    let to_new = run(&mut scheduler, 1_000, true);
    assert!(to_new <= 25, "{to_new} requests to a version that always fails");
    let demands = scheduler.demands(20_000);
    assert_eq!(demands.trips.keys().map(|id| id.as_str()).collect::<Vec<_>>(), ["move"]);
}

#[test]
fn failure_followed_by_a_successful_retry_counts_against_the_candidate() {
    let mut scheduler = scheduler_with_candidate(500);
    let mut to_new = 0;
    for index in 0..400 {
        let now_ms = 10 * index + 1;
        let (key, mut decisions) = scheduler.submit(now_ms, job(0, "a", now_ms + 60_000));
        while let Some(Decision::Dispatch(_, assignment)) = decisions.first() {
            if assignment.name.as_str() != "new" {
                break;
            }
            to_new += 1;
            decisions = scheduler.retry(now_ms, key, Some(0));
        }
        let good = Outcome::Answered { tokens: 10, first_token_ms: Some(5.0), total_ms: 95.0 };
        scheduler.finish(now_ms + 5, key, good);
    }
    assert!(to_new <= 25, "{to_new} requests to a version that always fails");
}
