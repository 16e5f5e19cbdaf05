//! The route document and rollout orders: the highest document version wins, and resends change
//! nothing.

use googletest::prelude::*;
use lycheehub_control::state::{Command, DocumentRecord, Reply, RolloutOrder, RolloutState, State};
use lycheehub_routes::Document;

fn submit(state: &mut State, index: u64, version: u64, source: &str) -> Reply {
    let document = Document { version, ..Document::default() };
    let record = DocumentRecord { revision: 0, document, source: source.into() };
    state.apply(index, Command::ReplaceDocument(record))
}

#[gtest]
fn highest_version_wins_in_any_order() {
    let mut state = State::default();
    expect_that!(submit(&mut state, 1, 5, "five"), eq(&Reply::Document { version: 5 }));
    expect_that!(submit(&mut state, 2, 3, "three"), eq(&Reply::Document { version: 5 }));
    expect_that!(submit(&mut state, 3, 9, "nine"), eq(&Reply::Document { version: 9 }));
    expect_that!(state.document.source, eq(b"nine"));
}

#[gtest]
fn different_content_with_the_current_version_is_ignored() {
    let mut state = State::default();
    submit(&mut state, 1, 5, "five");
    let revision = state.revision;
    expect_that!(submit(&mut state, 2, 5, "other"), eq(&Reply::Document { version: 5 }));
    expect_that!(state.document.source, eq(b"five"));
    expect_that!(state.revision, eq(revision));
}

#[gtest]
fn document_is_in_the_feed_once_and_survives_a_snapshot() {
    let mut state = State::default();
    submit(&mut state, 4, 5, "five");
    let restored = State::decode(&state.encode()).unwrap();
    expect_that!(restored.document, eq(&state.document));
    let mut follower = State::default();
    expect_that!(follower.apply_feed(restored.feed_after(0)), eq(true));
    expect_that!(follower.document, eq(&state.document));
    expect_that!(restored.feed_after(4).document, none());
}

#[gtest]
fn repeated_rollout_order_changes_nothing() {
    let order = |target: &str, now_unix_ms| RolloutOrder {
        service: "writer".into(),
        target: target.into(),
        duration_ms: 12_000,
        now_unix_ms,
    };
    let mut state = State::default();
    expect_that!(state.apply(1, Command::StartRollout(order("v2", 10))), eq(&Reply::Rollout));
    let first = state.rollouts.clone();
    expect_that!(state.apply(2, Command::StartRollout(order("v2", 99))), eq(&Reply::Rollout));
    expect_that!(state.rollouts, eq(&first));
    state.apply(3, Command::StartRollout(order("v3", 120)));
    let record = &state.rollouts[&"writer".into()];
    expect_that!(record.order.target.as_str(), eq("v3"));
    expect_that!(record.state, eq(RolloutState::Running));
}
