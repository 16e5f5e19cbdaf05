//! Tests of account quotas and of the retry budget.

use crate::replay::{document, job, most_in_window, record};
use googletest::prelude::*;
use lycheehub_dispatch::{Decision, Dispatcher, Job, JobId, Options, Reason, UsageReport};
use lycheehub_routes::Quota;

const QUOTA: Quota =
    Quota { in_tokens: true, untold_tokens: 200, units_per_s: 10_000.0, burst_units: 10_000.0 };

fn dispatcher(options: Options, quota: Quota) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_document(1, &document(Some(quota)));
    dispatcher.set_endpoints(1, [record("a", 10_000)].iter());
    dispatcher
}

/// Returns a new dispatcher that restores the usage of the large account from `before`.
fn dispatcher_restored_from(before: &mut Dispatcher, now_ms: u64) -> Dispatcher {
    let mut after = dispatcher(Options::default(), QUOTA);
    let usage = before.usage(now_ms, 1);
    after.restore_usage(now_ms, 1, &usage);
    after
}

/// Submits a job of the large account. Returns whether it was placed, or the reason for refusal.
fn submit_large(dispatcher: &mut Dispatcher, now_ms: u64, number: u64) -> Result<(), Reason> {
    submit_with_delay(dispatcher, now_ms, number).map_err(|(reason, _)| reason)
}

/// Submits a job of the large account. Returns whether it was placed, or the reason for refusal and
/// the retry delay in milliseconds.
fn submit_with_delay(
    dispatcher: &mut Dispatcher,
    now_ms: u64,
    number: u64,
) -> Result<(), (Reason, u64)> {
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

/// Submits `per_s` jobs per second for `for_ms`. Returns the largest number admitted in a window.
fn largest_window(dispatcher: &mut Dispatcher, from_ms: u64, for_ms: u64, per_s: u64) -> usize {
    let mut passed = Vec::new();
    let mut largest = 0;
    for number in 0..per_s * for_ms / 1_000 {
        let now_ms = from_ms + number * 1_000 / per_s;
        if submit_large(dispatcher, now_ms, from_ms * 1_000 + number).is_ok() {
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
    // 10 requests per second for 8 s, and a burst of 10.
    expect_that!(largest_window(&mut dispatcher, 1_000, 30_000, 60), all![ge(88), le(91)]);
}

#[gtest]
fn what_is_within_the_quota_is_never_refused() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    for second in 0..30 {
        for number in 0..10 {
            let now_ms = 1_000 + second * 1_000 + number * 3;
            expect_that!(submit_large(&mut dispatcher, now_ms, second * 100 + number), ok(()));
        }
    }
}

#[gtest]
fn a_new_dispatcher_restores_the_usage_reported_by_instances() {
    let options = Options::default();
    let mut before = dispatcher(options, QUOTA);
    expect_that!(largest_window(&mut before, 1_000, 4_000, 60), ge(88));
    let usage: UsageReport = before.usage(5_000, 1);
    let mut after = dispatcher(options, QUOTA);
    after.restore_usage(5_000, 1, &usage);
    // The quota of this window is used up: nothing is admitted until the usage is 8 s old.
    expect_that!(largest_window(&mut after, 5_000, 3_900, 60), le(1));
}

#[gtest]
fn a_restarted_instance_frees_none_of_its_usage() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    expect_that!(largest_window(&mut dispatcher, 1_000, 4_000, 60), ge(88));
    dispatcher.forget_instance(5_000, 1);
    dispatcher.restore_usage(5_000, 1, &UsageReport::default());
    expect_that!(largest_window(&mut dispatcher, 5_000, 3_900, 60), le(1));
}

#[gtest]
fn a_request_over_quota_is_admitted_after_its_retry_delay() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    // The quota of an 8 s window is used up within 1.5 s.
    largest_window(&mut dispatcher, 1_000, 2_000, 60);
    for (number, now_ms) in [(1, 3_100), (2, 4_500), (3, 8_000)] {
        let refused = submit_with_delay(&mut dispatcher, now_ms, number);
        let (_, after_ms) = refused.expect_err("the quota is used up");
        let mut earlier = dispatcher_restored_from(&mut dispatcher, now_ms);
        expect_that!(submit_large(&mut earlier, now_ms + after_ms - 200, 8), err(anything()));
        let mut later = dispatcher_restored_from(&mut dispatcher, now_ms);
        expect_that!(submit_large(&mut later, now_ms + after_ms, 9), ok(()));
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
    // An eighth of 90, and some more because requests arrive unevenly.
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
fn refunds_leave_the_window_with_their_charges() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    // Each request waits for half a second and is then withdrawn; others are admitted meanwhile.
    dispatcher.set_endpoints(1, [record("a", 1)].iter());
    for number in 0..40 {
        expect_that!(submit_large(&mut dispatcher, 1_000 + number, number), ok(()));
    }
    for number in 1..40 {
        dispatcher.withdraw(5_000, JobId { instance: 1, number });
    }
    dispatcher.set_endpoints(5_001, [record("a", 10_000)].iter());
    // Both the charged and the refunded units have left the window.
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
    // 0.2 of 200 requests, and 20 more.
    expect_that!(repeats, all![gt(30), le(60)]);
}

/// Submits a job of the given rank of the large account. Returns whether it was admitted.
fn submit_of_rank(dispatcher: &mut Dispatcher, now_ms: u64, rank: u8, number: u64) -> bool {
    let job_id = JobId { instance: 1, number };
    let large =
        Job { job_id, account: Some("large".into()), declared_tokens: Some(1_000), ..job(0) };
    let large = Job { objective_left_ms: 6_000, patience_left_ms: 9_000, rank, ..large };
    dispatcher.submit(now_ms, Job { prompt_tokens: 1, output_tokens: 0, ..large });
    !matches!(dispatcher.take_decisions().pop(), Some(Decision::Refuse { .. }))
}

/// Submits jobs of three ranks in turn, `per_s` per second in total, for `for_ms`. Returns the
/// numbers of submitted and admitted jobs by rank.
fn submit_of_all_ranks(
    dispatcher: &mut Dispatcher,
    from_ms: u64,
    for_ms: u64,
    per_s: u64,
) -> [(u32, u32); 3] {
    let mut ranks = [(0, 0); 3];
    for number in 0..per_s * for_ms / 1_000 {
        let rank = (number % 3) as u8;
        let now_ms = from_ms + number * 1_000 / per_s;
        let passed = submit_of_rank(dispatcher, now_ms, rank, from_ms * 1_000 + number);
        let counts = &mut ranks[usize::from(rank)];
        *counts = (counts.0 + 1, counts.1 + u32::from(passed));
    }
    ranks
}

#[gtest]
fn an_account_beyond_its_quota_is_refused_its_least_urgent_requests_first() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    let usual = submit_of_all_ranks(&mut dispatcher, 1_000, 10_000, 9);
    expect_that!(usual.iter().all(|(came, passed)| came == passed), eq(true));
    // 24 per second, 8 of them urgent: the quota of 11 covers these and few of the others.
    let [urgent, middle, least] = submit_of_all_ranks(&mut dispatcher, 11_000, 10_000, 24);
    let share = |(came, passed): (u32, u32)| f64::from(passed) / f64::from(came);
    expect_that!(share(urgent), ge(0.95));
    expect_that!(share(middle), all![gt(share(least)), lt(0.7)]);
    // Requests within the quota are admitted: 88 in 8 s and at most 11 more.
    let passed = urgent.1 + middle.1 + least.1;
    expect_that!(passed, ge(95));
}

#[gtest]
fn a_short_burst_within_the_quota_is_admitted() {
    let mut dispatcher = dispatcher(Options::default(), QUOTA);
    submit_of_all_ranks(&mut dispatcher, 1_000, 10_000, 3);
    // 24 of 90 units are used; 60 more requests arrive within a second.
    let burst = submit_of_all_ranks(&mut dispatcher, 11_000, 1_000, 60);
    let least = burst[2];
    expect_that!(f64::from(least.1) / f64::from(least.0), ge(0.7));
    expect_that!(burst[0].0, eq(burst[0].1));
}

/// The number of instances in the tests of their shares.
const INSTANCES: u32 = 8;
/// What the large account may use in a window at most: 90 requests and a tenth more.
const WITH_OVERSHOOT: usize = 99;

/// Lets the large account send far beyond its quota through dispatchers that do not communicate.
/// Returns the largest number of requests that they admit together in a window.
fn largest_window_together(options: impl Iterator<Item = Options>) -> usize {
    let mut admitted_ms = Vec::new();
    for options in options {
        let mut dispatcher = dispatcher(options, QUOTA);
        for number in 0..20 * 60 {
            let now_ms = 1_000 + number * 1_000 / 60;
            if submit_large(&mut dispatcher, now_ms, number).is_ok() {
                admitted_ms.push(now_ms);
            }
        }
    }
    most_in_window(&admitted_ms, 8_000)
}

#[gtest]
fn instances_without_a_leader_keep_a_quota_together() {
    let options = Options { quota_overshoot: 0.1, ..Options::default() };
    let locals = (0..INSTANCES).map(|instance| options.for_one_of(INSTANCES, instance.into()));
    expect_that!(largest_window_together(locals), all![ge(80), le(WITH_OVERSHOOT)]);
}

#[gtest]
fn a_leader_and_instances_that_are_cut_off_from_it_keep_a_quota_together() {
    let options = Options { quota_overshoot: 0.1, ..Options::default() };
    for cut_off in [1_u32, 2, 4, 7, 8] {
        let absent_share = f64::from(cut_off) / f64::from(INSTANCES);
        let leader = Options { absent_share, ..options };
        let locals = (0..cut_off).map(|instance| options.for_one_of(INSTANCES, instance.into()));
        let most = largest_window_together(std::iter::once(leader).chain(locals));
        expect_that!(most, all![ge(80), le(WITH_OVERSHOOT)], "{cut_off}");
    }
}

/// The retries that are allowed in a window, without requests.
const RETRIES: u32 = 50;

fn retry_options() -> Options {
    Options { retry_ratio: 0.0, retry_slack: f64::from(RETRIES), ..Options::default() }
}

/// Submits retries to a dispatcher for 2 s. Each that it places is recorded at `local`, as an instance
/// does. Returns the number of those placed.
fn submit_retries(dispatcher: &mut Dispatcher, local: &mut Dispatcher, from_ms: u64) -> u32 {
    let mut placed = 0;
    for number in 0..200 {
        let now_ms = from_ms + number * 10;
        let job_id = JobId { instance: 1, number: now_ms };
        let retry = Job { job_id, repeat: true, ..job(0) };
        dispatcher.submit(now_ms, retry.clone());
        if dispatcher.take_decisions().iter().any(|d| matches!(d, Decision::Place { .. })) {
            placed += 1;
            let own = Job { job_id: JobId { instance: 0, ..job_id }, ..retry };
            local.record_usage(now_ms, &own);
        }
    }
    placed
}

#[gtest]
fn retries_placed_by_a_lost_leader_count_at_the_next_one() {
    let mut local = dispatcher(retry_options(), QUOTA);
    let mut placed = 0;
    for leader in 0..3 {
        let from_ms = 1_000 + leader * 2_500;
        let mut next = dispatcher(retry_options(), QUOTA);
        let usage = local.usage(from_ms, 0);
        next.restore_usage(from_ms, 1, &usage);
        placed += submit_retries(&mut next, &mut local, from_ms);
    }
    expect_that!(placed, all![ge(RETRIES / 2), le(RETRIES)]);
}

#[gtest]
fn retries_placed_by_a_lost_leader_count_without_one() {
    let mut leader = dispatcher(retry_options(), QUOTA);
    let mut local = dispatcher(retry_options(), QUOTA);
    let mut placed = submit_retries(&mut leader, &mut local, 1_000);
    let mut nobody = dispatcher(retry_options(), QUOTA);
    placed += submit_retries(&mut local, &mut nobody, 3_500);
    expect_that!(placed, all![ge(RETRIES / 2), le(RETRIES)]);
}

#[gtest]
fn a_leader_and_instances_that_are_cut_off_from_it_keep_a_retry_budget_together() {
    for cut_off in [1_u32, 4, 7, 8] {
        let absent_share = f64::from(cut_off) / f64::from(INSTANCES);
        let leader = Options { absent_share, ..retry_options() };
        let locals =
            (0..cut_off).map(|instance| retry_options().for_one_of(INSTANCES, instance.into()));
        let mut placed = 0;
        for options in std::iter::once(leader).chain(locals) {
            let mut dispatcher = dispatcher(options, QUOTA);
            let mut nobody = Dispatcher::new(retry_options());
            placed += submit_retries(&mut dispatcher, &mut nobody, 1_000);
        }
        expect_that!(placed, all![ge(RETRIES / 2), le(RETRIES)], "{cut_off}");
    }
}

// Searches for another endpoint that were withdrawn or refused used up the budget of real retries.
#[gtest]
fn retries_that_reach_no_endpoint_are_not_counted() {
    let options = Options { retry_slack: 4.0, retry_ratio: 0.0, ..Options::default() };
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_document(1, &document(Some(QUOTA)));
    dispatcher.set_endpoints(1, [record("a", 1)].iter());
    dispatcher.submit(1, job(1));
    dispatcher.take_decisions();
    for number in 2..20 {
        let repeat =
            Job { repeat: true, objective_left_ms: 9_000, patience_left_ms: 9_000, ..job(number) };
        dispatcher.submit(number, repeat);
        expect_that!(dispatcher.take_decisions(), is_empty());
        dispatcher.withdraw(number, JobId { instance: 1, number });
    }
}

// A retry that had left the window was returned in place of a later one.
#[gtest]
fn a_retry_that_is_given_back_late_frees_no_other() {
    let options = Options { retry_slack: 2.0, retry_ratio: 0.0, ..Options::default() };
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_document(1, &document(Some(QUOTA)));
    dispatcher.set_endpoints(1, [record("a", 1)].iter());
    dispatcher.submit(1, job(1));
    dispatcher.take_decisions();
    let repeat = |number| Job {
        repeat: true,
        objective_left_ms: 60_000,
        patience_left_ms: 60_000,
        deadline_left_ms: 60_000,
        ..job(number)
    };
    dispatcher.submit(2, repeat(2));
    expect_that!(dispatcher.take_decisions(), is_empty());
    let later_ms = 2 + dispatcher.options().retry_window_ms + 1_000;
    dispatcher.submit(later_ms, repeat(3));
    expect_that!(dispatcher.take_decisions(), is_empty());
    dispatcher.withdraw(later_ms + 10, JobId { instance: 1, number: 2 });
    dispatcher.submit(later_ms + 20, repeat(4));
    let refused = dispatcher.take_decisions();
    expect_that!(
        matches!(refused[..], [Decision::Refuse { reason: Reason::RetriesExhausted, .. }]),
        eq(true)
    );
}
