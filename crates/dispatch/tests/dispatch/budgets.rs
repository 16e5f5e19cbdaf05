//! Quotas of client accounts, and the budget of repeats.

use crate::replay::{document, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Options, Reason, Usage};
use lycheehub_routes::Quota;

const QUOTA: Quota =
    Quota { in_tokens: true, untold_tokens: 200, units_per_s: 10_000.0, burst_units: 10_000.0 };

fn dispatcher(options: Options, quota: Quota) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_document(1, &document(Some(quota)));
    dispatcher.set_endpoints(1, [record("a", 10_000)].iter());
    dispatcher
}

/// Returns a dispatcher that goes on from what the large account has used.
fn dispatcher_like(before: &mut Dispatcher, now_ms: u64) -> Dispatcher {
    let mut after = dispatcher(Options::default(), QUOTA);
    let usage = before.usage(now_ms, 1);
    after.restore_usage(now_ms, 1, &usage);
    after
}

/// Submits a job of the large account; tells whether it was placed, or why not.
fn ask(dispatcher: &mut Dispatcher, now_ms: u64, number: u64) -> Result<(), Reason> {
    ask_in_full(dispatcher, now_ms, number).map_err(|(reason, _)| reason)
}

/// Submits a job of the large account; tells whether it was placed, or why not and after how many
/// milliseconds it is to come back.
fn ask_in_full(dispatcher: &mut Dispatcher, now_ms: u64, number: u64) -> Result<(), (Reason, u64)> {
    let job_id = JobId { instance: 1, number };
    let large =
        Job { job_id, account: Some("large".into()), declared_tokens: Some(1_000), ..job(0) };
    let large = Job { objective_left_ms: 6_000, patience_left_ms: 9_000, ..large };
    dispatcher.submit(now_ms, Job { prompt_tokens: 1, output_tokens: 0, ..large });
    match dispatcher.take_decisions().pop() {
        Some(Decision::Refuse { reason, retry_after_ms, .. }) => Err((reason, retry_after_ms)),
        _ => Ok(()),
    }
}

/// Asks `per_s` times a second for `for_ms`; returns how much was let through in each window.
fn largest_window(dispatcher: &mut Dispatcher, from_ms: u64, for_ms: u64, per_s: u64) -> usize {
    let mut passed = Vec::new();
    let mut largest = 0;
    for number in 0..per_s * for_ms / 1_000 {
        let now_ms = from_ms + number * 1_000 / per_s;
        if ask(dispatcher, now_ms, from_ms * 1_000 + number).is_ok() {
            passed.push(now_ms);
        }
        let within = passed.iter().rev().take_while(|at_ms| now_ms - **at_ms < 8_000).count();
        largest = largest.max(within);
    }
    largest
}

#[gtest]
fn a_hot_account_gets_its_quota_in_every_window_and_no_more() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    // 8 s of 10 requests each, and a burst of 10.
    expect_that!(largest_window(&mut dispatcher, 1_000, 30_000, 60), all![ge(88), le(91)]);
}

#[gtest]
fn what_is_within_the_quota_is_never_refused() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    for second in 0..30 {
        for number in 0..10 {
            let now_ms = 1_000 + second * 1_000 + number * 3;
            expect_that!(ask(&mut dispatcher, now_ms, second * 100 + number), ok(()));
        }
    }
}

#[gtest]
fn a_new_dispatcher_goes_on_from_what_instances_say_they_used() {
    let options = Options::default();
    let mut before = dispatcher(options, QUOTA);
    expect_that!(largest_window(&mut before, 1_000, 4_000, 60), ge(88));
    let usage: Vec<Usage> = before.usage(5_000, 1);
    let mut after = dispatcher(options, QUOTA);
    after.restore_usage(5_000, 1, &usage);
    // The quota of this window is used up: nothing more until what was used is 8 s old.
    expect_that!(largest_window(&mut after, 5_000, 3_900, 60), le(1));
}

#[gtest]
fn an_instance_that_was_started_again_frees_nothing_that_it_used() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    expect_that!(largest_window(&mut dispatcher, 1_000, 4_000, 60), ge(88));
    dispatcher.forget_instance(5_000, 1);
    dispatcher.restore_usage(5_000, 1, &[]);
    expect_that!(largest_window(&mut dispatcher, 5_000, 3_900, 60), le(1));
}

#[gtest]
fn what_is_refused_for_its_quota_is_let_through_when_it_returns_as_told() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    // The quota of a window of 8 s is used up within one and a half.
    largest_window(&mut dispatcher, 1_000, 2_000, 60);
    for (number, now_ms) in [(1, 3_100), (2, 4_500), (3, 8_000)] {
        let refused = ask_in_full(&mut dispatcher, now_ms, number);
        let (_, after_ms) = refused.expect_err("the quota is used up");
        let mut earlier = dispatcher_like(&mut dispatcher, now_ms);
        expect_that!(ask(&mut earlier, now_ms + after_ms - 200, 8), err(anything()));
        let mut later = dispatcher_like(&mut dispatcher, now_ms);
        expect_that!(ask(&mut later, now_ms + after_ms, 9), ok(()));
    }
}

#[gtest]
fn a_lowered_quota_holds_one_window_later() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    largest_window(&mut dispatcher, 1_000, 10_000, 60);
    let lowered = Quota { units_per_s: 1_000.0, burst_units: 1_000.0, ..QUOTA };
    dispatcher.set_document(11_000, &document(Some(lowered)));
    largest_window(&mut dispatcher, 11_000, 8_000, 60);
    expect_that!(largest_window(&mut dispatcher, 27_500, 10_000, 60), le(10));
}

#[gtest]
fn an_instance_without_a_leader_uses_its_part() {
    let options = Options { budget_share: 0.125, ..Options::default() };
    let mut dispatcher = dispatcher(options, QUOTA);
    // An eighth of 90, and some more since requests come unevenly.
    expect_that!(largest_window(&mut dispatcher, 1_000, 20_000, 60), all![ge(11), le(16)]);
}

#[gtest]
fn an_account_that_the_leader_saw_near_its_quota_gets_little_without_it() {
    let mut leader = dispatcher(Options::default(), QUOTA);
    largest_window(&mut leader, 1_000, 8_000, 60);
    let tight = leader.accounts_near_quota(9_000);
    expect_that!(tight, elements_are![eq(&"large".into())]);
    let options = Options { budget_share: 0.125, ..Options::default() };
    let mut local = dispatcher(options, QUOTA);
    local.set_accounts_near_quota(tight.into_iter().collect());
    expect_that!(largest_window(&mut local, 9_000, 10_000, 60), le(3));
}

#[gtest]
fn what_is_given_back_does_not_count_longer_than_what_was_taken() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    // Each request waits for half a second and is then withdrawn; others are let through meanwhile.
    dispatcher.set_endpoints(1, [record("a", 1)].iter());
    for number in 0..40 {
        expect_that!(ask(&mut dispatcher, 1_000 + number, number), ok(()));
    }
    for number in 1..40 {
        dispatcher.withdraw(5_000, JobId { instance: 1, number });
    }
    dispatcher.set_endpoints(5_001, [record("a", 10_000)].iter());
    // What was taken has run out of the window, and so has what was given back.
    expect_that!(largest_window(&mut dispatcher, 9_500, 7_900, 60), le(91));
}

#[gtest]
fn repeats_stay_within_their_part_of_the_requests() {
    let options = Options { retry_ratio: 0.2, retry_slack: 20.0, ..Options::default() };
    let mut dispatcher = dispatcher(options, QUOTA);
    let mut repeats = 0;
    for number in 0..200 {
        dispatcher.submit(1_000 + number * 10, job(number * 2));
        let repeat = Job { repeat: true, ..job(number * 2 + 1) };
        dispatcher.submit(1_000 + number * 10, repeat);
        let decisions = dispatcher.take_decisions();
        let refused = |decision: &Decision| {
            matches!(decision, Decision::Refuse { reason: Reason::RetriesExhausted, .. })
        };
        repeats += u32::from(!decisions.iter().any(refused));
    }
    // 0.2 of 200 requests, and 20 besides.
    expect_that!(repeats, all![gt(30), le(60)]);
}

/// Submits a job of a rank of the large account; tells whether it was let through.
fn ask_of_rank(dispatcher: &mut Dispatcher, now_ms: u64, rank: u8, number: u64) -> bool {
    let job_id = JobId { instance: 1, number };
    let large =
        Job { job_id, account: Some("large".into()), declared_tokens: Some(1_000), ..job(0) };
    let large = Job { objective_left_ms: 6_000, patience_left_ms: 9_000, rank, ..large };
    dispatcher.submit(now_ms, Job { prompt_tokens: 1, output_tokens: 0, ..large });
    !matches!(dispatcher.take_decisions().pop(), Some(Decision::Refuse { .. }))
}

/// Lets requests of three ranks come, the same number of each, `per_s` in all, `for_ms` long; returns
/// how many of each rank came and were let through.
fn ask_of_all_ranks(
    dispatcher: &mut Dispatcher,
    from_ms: u64,
    for_ms: u64,
    per_s: u64,
) -> [(u32, u32); 3] {
    let mut ranks = [(0, 0); 3];
    for number in 0..per_s * for_ms / 1_000 {
        let rank = (number % 3) as u8;
        let now_ms = from_ms + number * 1_000 / per_s;
        let passed = ask_of_rank(dispatcher, now_ms, rank, from_ms * 1_000 + number);
        let counts = &mut ranks[usize::from(rank)];
        *counts = (counts.0 + 1, counts.1 + u32::from(passed));
    }
    ranks
}

#[gtest]
fn an_account_beyond_its_quota_is_refused_its_least_urgent_requests_first() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    let usual = ask_of_all_ranks(&mut dispatcher, 1_000, 10_000, 9);
    expect_that!(usual.iter().all(|(came, passed)| came == passed), eq(true));
    // 24 a second of which 8 are urgent: its quota of 11 bears these, and few of the others.
    let [urgent, middle, least] = ask_of_all_ranks(&mut dispatcher, 11_000, 10_000, 24);
    let share = |(came, passed): (u32, u32)| f64::from(passed) / f64::from(came);
    expect_that!(share(urgent), ge(0.95));
    expect_that!(share(middle), all![gt(share(least)), lt(0.7)]);
    // What the quota bears is let through: 88 in 8 s and 11 at the most beside.
    let passed = urgent.1 + middle.1 + least.1;
    expect_that!(passed, ge(95));
}

#[gtest]
fn a_short_burst_that_the_quota_bears_is_let_through_whole() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    ask_of_all_ranks(&mut dispatcher, 1_000, 10_000, 3);
    // 24 were used of 90; 60 more come within a second.
    let burst = ask_of_all_ranks(&mut dispatcher, 11_000, 1_000, 60);
    let least = burst[2];
    expect_that!(f64::from(least.1) / f64::from(least.0), ge(0.7));
    expect_that!(burst[0].0, eq(burst[0].1));
}
