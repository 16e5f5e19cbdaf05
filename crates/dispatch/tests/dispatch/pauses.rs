//! Replays of long prompts among streams whose pauses are limited.

use crate::replay::{Class, End, PAUSE_MS, Replay, document, job};
use googletest::prelude::*;
use lycheehub_dispatch::Job;
use lycheehub_routes::{Document, RequestKind, RouteSpec, Target};

/// Three engine speeds, up to 5:1.
const SPEEDS: [f64; 9] = [0.55, 0.55, 0.55, 1.0, 1.0, 1.0, 2.8, 2.8, 2.8];
/// The lengths of long prompts, in tokens, each as often as the others: 6,600 on average.
const PROMPT_TOKENS: [u32; 6] = [800, 1_600, 3_000, 5_200, 9_000, 20_000];
/// Long prompts a second, and other requests.
const LONG_PER_S: f64 = 36.0;
const SHORT_PER_S: f64 = 48.0;
/// How long the load lasts, in seconds.
const LASTS_S: u64 = 30;

/// Returns the document with a route of each rank, whose pauses are limited or not.
fn routes(gap_objective_ms: Option<u64>) -> Document {
    let route = |rank: u8| RouteSpec {
        name: format!("rank-{rank}").into(),
        host: "crates.example".into(),
        path_prefix: format!("/{rank}/").into(),
        kind: RequestKind::Stream { resumable: false },
        timeout_ms: 15_000,
        objective_ms: 800,
        gap_objective_ms,
        patience_ms: None,
        rank,
        targets: vec![Target { service: "writer".into(), weight: 1 }],
        attempts_max: 1,
        anonymous: true,
        regions: vec![],
    };
    Document { routes: vec![route(0), route(1)], ..document(None) }
}

fn classes() -> Vec<Class> {
    let urgent = Job { rank: 0, objective_left_ms: 800, output_tokens: 280, ..job(0) };
    let long = |prompt_tokens: &u32| Class {
        job: Job { prompt_tokens: *prompt_tokens, ..urgent.clone() },
        per_s: LONG_PER_S / PROMPT_TOKENS.len() as f64,
    };
    let short = Class { job: Job { objective_left_ms: 500, ..job(0) }, per_s: SHORT_PER_S };
    PROMPT_TOKENS.iter().map(long).chain([short]).collect()
}

/// Plays the load; returns the shares of the streams that were late by a pause, and of those whose first
/// event was in time.
fn play(gap_objective_ms: Option<u64>, x: f64) -> (f64, f64) {
    let mut replay = Replay::new(&SPEEDS);
    replay.dispatcher.set_document(1, &routes(gap_objective_ms));
    let classes = classes();
    replay.run(LASTS_S * 1_000, &classes, x);
    let count = |wanted: fn(End) -> bool| -> f64 {
        (0..classes.len()).map(|class| f64::from(replay.count(class, 1, LASTS_S, wanted))).sum()
    };
    let (all, in_time) = (count(|_| true), count(|end| end == End::OnTime));
    let paused: f64 = replay.paused.values().map(|count| f64::from(*count)).sum();
    (paused / all, in_time / all)
}

#[gtest]
fn half_as_many_streams_are_late_by_a_pause_where_pauses_are_limited() {
    let (paused_before, in_time_before) = play(None, 1.0);
    let (paused, in_time) = play(Some(PAUSE_MS), 1.0);
    expect_that!(paused_before, gt(0.1), "the load has pauses");
    expect_that!(paused, le(paused_before / 2.0));
    expect_that!(in_time, ge(in_time_before - 0.01));
}

#[gtest]
fn limited_pauses_cost_no_first_event_in_overload() {
    let (paused_before, in_time_before) = play(None, 2.0);
    let (paused, in_time) = play(Some(PAUSE_MS), 2.0);
    expect_that!(paused, lt(paused_before));
    expect_that!(in_time, ge(in_time_before - 0.02));
}
