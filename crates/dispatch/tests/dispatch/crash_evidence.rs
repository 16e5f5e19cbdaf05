//! The evidence that is kept of a crash, whatever the number of requests at work.

use googletest::prelude::*;
use lycheehub_dispatch::crashes::{
    Content, Ending, EndpointStart, Observer, Prompt, QuarantineId, RequestDigest, Scope,
    ServiceCrashes, Suspect, Verdict,
};
use std::time::Instant;

const CRASHING_PART: u64 = 0xdead;
const CRASHING_REQUEST: u128 = 0xbeef;
const OBSERVER: Observer = Observer { instance: 1, is_sole: true };

/// Crashes an endpoint with `requests` at work; `last` is lost last.
fn crash(crashes: &mut ServiceCrashes, now_ms: u64, requests: u64, last: &Content) {
    let start = EndpointStart { endpoint: "a".into(), incarnation: now_ms };
    for number in 0..requests {
        let id = now_ms * 1_000 + number * 10;
        let prompt = Prompt::new([id, id + 1, id + 2]);
        let sound = Content::new(prompt, Some(RequestDigest::new(u128::from(id))));
        crashes.record_lost(now_ms, &start, (&sound, false), (OBSERVER, false));
    }
    crashes.record_lost(now_ms, &start, (last, false), (OBSERVER, true));
    let alive = EndpointStart { endpoint: "b".into(), incarnation: 1 };
    for after_ms in 1..5 {
        let answered = Content::new(Prompt::new([now_ms, 1]), None);
        crashes.record_answer(now_ms + after_ms, &alive, &answered);
    }
    crashes.advance(now_ms + 1_000, Scope::AllInstances);
}

fn suspects_after_crashes(requests: u64, last: impl Fn(u64) -> Content) -> Vec<Vec<Suspect>> {
    let mut crashes = ServiceCrashes::new("writer".into());
    for number in 1..=3 {
        crash(&mut crashes, number * 10_000, requests, &last(number));
    }
    crashes.quarantines(40_000).map(|quarantine| quarantine.suspects).collect()
}

#[gtest]
fn a_part_is_found_among_many_running_prompts() {
    for requests in [8, 40, 200] {
        let last = |number: u64| {
            let digest = RequestDigest::new(u128::from(number));
            Content::new(Prompt::new([CRASHING_PART, number]), Some(digest))
        };
        let found = suspects_after_crashes(requests, last);
        let part = vec![Suspect::Part(CRASHING_PART)];
        expect_that!(found, elements_are![eq(&part)], "{requests} at work");
    }
}

#[gtest]
fn a_request_is_found_among_many() {
    for requests in [8, 40, 200] {
        let request = RequestDigest::new(CRASHING_REQUEST);
        let last = |_: u64| Content::new(Prompt::default(), Some(request));
        let found = suspects_after_crashes(requests, last);
        let request = vec![Suspect::Request(request)];
        expect_that!(found, elements_are![eq(&request)], "{requests} at work");
    }
}

/// Prompts of many parts are kept up to a bound, and all requests as such beyond it.
#[gtest]
fn what_is_kept_of_a_crash_is_bounded() {
    let mut crashes = ServiceCrashes::new("writer".into());
    let start = EndpointStart { endpoint: "a".into(), incarnation: 1 };
    for number in 0..2_000_u64 {
        let prompt = Prompt::new((0..200).map(|part| number * 1_000 + part));
        let content = Content::new(prompt, Some(RequestDigest::new(u128::from(number))));
        crashes.record_lost(1_000, &start, (&content, false), (OBSERVER, number == 1_999));
    }
    let told: Vec<Content> = crashes.crashes(1_000).flat_map(|crash| crash.contents).collect();
    expect_that!(told.len(), le(256));
    let parts: usize = told.iter().map(|content| content.prompt().shared().len()).sum();
    expect_that!(parts, le(4_096));
}

#[gtest]
fn answers_that_end_with_their_connection_accuse_no_sound_request() {
    let mut crashes = ServiceCrashes::new("writer".into());
    let start = EndpointStart { endpoint: "a".into(), incarnation: 1 };
    let sound = Content::new(Prompt::default(), Some(RequestDigest::new(1)));
    for number in 1..=20 {
        // The endpoint is idle for longer than a crash is told, and goes on.
        let now_ms = number * 10_000;
        let verdict = crashes.judge(now_ms, &sound, false, Scope::AllInstances);
        expect_that!(verdict, eq(Verdict::Sound), "request {number}");
        crashes.record_ended_by_close(now_ms + 50, &start, &sound);
        crashes.record_alive(now_ms + 200, &start);
        crashes.advance(now_ms + 1_000, Scope::AllInstances);
    }
    expect_that!(crashes.crashes(210_000).count(), eq(0));
    expect_that!(crashes.answers(210_000).count(), eq(1), "it is known as answered");
}

/// An answer without a length ended on an endpoint shortly before it crashed on another request: the answer
/// of a third one, which began in between, proves the first sound and nothing of the second.
#[gtest]
fn a_crash_after_an_answer_that_ended_with_its_connection_is_not_forgotten() {
    for crashing_ends_by_close in [false, true] {
        let mut crashes = ServiceCrashes::new("writer".into());
        let start = EndpointStart { endpoint: "a".into(), incarnation: 1 };
        let request = |number| Content::new(Prompt::default(), Some(RequestDigest::new(number)));
        let (ended, crashing, third) = (request(1), request(CRASHING_REQUEST), request(3));
        crashes.record_ended_by_close(700, &start, &ended);
        match crashing_ends_by_close {
            true => crashes.record_ended_by_close(1_000, &start, &crashing),
            false => crashes.record_lost(1_000, &start, (&crashing, true), (OBSERVER, false)),
        }
        crashes.record_answer(900, &start, &third);
        crashes.record_lost(1_000, &start, (&third, true), (OBSERVER, true));
        crashes.record_gone(&start);
        crashes.advance(2_000, Scope::AllInstances);
        let accused: Vec<Content> =
            crashes.crashes(2_000).flat_map(|crash| crash.contents).collect();
        expect_that!(accused, contains(eq(&crashing)), "{crashing_ends_by_close}");
        expect_that!(accused, not(contains(eq(&ended))), "{crashing_ends_by_close}");
        let answered: Vec<Suspect> = crashes.answers(2_000).map(|answer| answer.suspect).collect();
        let accused = Suspect::Request(RequestDigest::new(CRASHING_REQUEST));
        expect_that!(answered, not(contains(eq(&accused))), "{crashing_ends_by_close}");
    }
}

/// The fourth trial, a day after the third, found no endpoint: the request is not refused for a further day.
#[gtest]
fn a_late_trial_that_reached_no_endpoint_is_repeated_soon() {
    const SOON_MS: u64 = 10_000;
    const DAY_MS: u64 = 24 * 3_600_000;
    let mut crashes = ServiceCrashes::new("writer".into());
    let crashing = Content::new(Prompt::default(), Some(RequestDigest::new(CRASHING_REQUEST)));
    (1..=3).for_each(|number| crash(&mut crashes, number * 10_000, 1, &crashing));
    let mut now_ms = 40_000;
    let mut sent = Vec::new();
    for trial in 1..=4 {
        let verdict = crashes.judge(now_ms, &crashing, false, Scope::AllInstances);
        if let Verdict::Refused { retry_after_ms } = verdict {
            expect_that!(retry_after_ms, le(DAY_MS), "trial {trial}");
            now_ms += retry_after_ms;
            let verdict = crashes.judge(now_ms, &crashing, false, Scope::AllInstances);
            expect_that!(verdict, eq(Verdict::Sound), "trial {trial}");
        }
        sent = crashes.record_sent(now_ms, &crashing);
        expect_that!(sent, not(is_empty()), "trial {trial}");
    }
    crashes.take_back_trials(now_ms, &sent);
    let verdict = crashes.judge(now_ms, &crashing, false, Scope::AllInstances);
    expect_that!(verdict, matches_pattern!(Verdict::Refused { retry_after_ms: le(SOON_MS) }));
}

/// Crashes an endpoint with as many requests and parts at work as are kept.
fn crash_at_the_bound(crashes: &mut ServiceCrashes, now_ms: u64) {
    let start = EndpointStart { endpoint: "a".into(), incarnation: now_ms };
    for number in 0..256 {
        let id = now_ms * 10_000 + number * 20;
        let digest = RequestDigest::new(id.into());
        let content = Content::new(Prompt::new(id..id + 17), Some(digest));
        crashes.record_lost(now_ms, &start, (&content, false), (OBSERVER, false));
    }
    crashes.record_gone(&start);
}

/// The search was made at each tick: at the bound of what is kept, that took up the whole time of the dispatcher.
#[gtest]
fn ticks_at_which_nothing_has_changed_cost_no_search() {
    const CRASHES: u64 = 128;
    const TICKS: u32 = 100;
    let mut crashes = ServiceCrashes::new("writer".into());
    for number in 1..CRASHES {
        crash_at_the_bound(&mut crashes, number * 10);
    }
    crashes.advance(CRASHES * 10 + 1_000, Scope::AllInstances);
    let now_ms = 10_000;
    crash_at_the_bound(&mut crashes, now_ms);
    let started = Instant::now();
    crashes.advance(now_ms + 1_000, Scope::AllInstances);
    let changed = started.elapsed();
    let started = Instant::now();
    for tick in 1..=TICKS {
        crashes.advance(now_ms + 1_000 + u64::from(tick), Scope::AllInstances);
    }
    let unchanged = started.elapsed();
    let parts = crashes.crashes(now_ms).map(|crash| {
        let prompts = crash.contents.iter().map(|content| content.prompt().shared().len());
        prompts.sum::<usize>()
    });
    expect_that!(parts.collect::<Vec<_>>(), eq(&vec![4_096; CRASHES as usize]));
    expect_that!(unchanged, lt(changed * TICKS / 10), "one search {changed:?}");
}

/// Crashes that became known after an operator ended the quarantine count no more if they were before.
#[gtest]
fn crashes_before_the_end_of_a_quarantine_of_a_part_count_no_more() {
    let content = |number: u64| {
        let digest = RequestDigest::new(u128::from(number));
        Content::new(Prompt::new([CRASHING_PART, number]), Some(digest))
    };
    let mut crashes = ServiceCrashes::new("writer".into());
    (1..=3).for_each(|number| crash(&mut crashes, number * 10_000, 4, &content(number)));
    let ids: Vec<QuarantineId> = crashes.listed(31_000).map(|listed| listed.id).collect();
    expect_that!(ids.len(), eq(1));
    // A connection was lost before the end, and it becomes known as a crash after it.
    let start = EndpointStart { endpoint: "a".into(), incarnation: 5 };
    crashes.record_lost(31_500, &start, (&content(4), false), (OBSERVER, true));
    expect_that!(crashes.end_quarantine(31_600, ids[0], "a call"), eq(Ending::Ended));
    crashes.record_gone(&start);
    crashes.advance(32_600, Scope::AllInstances);
    expect_that!(crashes.crashes(32_600).count(), eq(0));
    (4..=5).for_each(|number| crash(&mut crashes, number * 10_000, 4, &content(number)));
    expect_that!(crashes.quarantines(52_000).count(), eq(0), "two crashes since");
    crash(&mut crashes, 60_000, 4, &content(6));
    expect_that!(crashes.quarantines(62_000).count(), eq(1), "three");
}
