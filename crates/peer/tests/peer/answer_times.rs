//! How long a peer may take to answer.

use googletest::prelude::*;
use lycheehub_peer::entry::AnswerTimes;

fn after(took_ms: impl IntoIterator<Item = u64>) -> u64 {
    let mut times = AnswerTimes::default();
    took_ms.into_iter().for_each(|ms| times.note(ms));
    times.bound_ms()
}

#[gtest]
fn a_peer_that_answers_soon_is_given_up_soon() {
    // Requests have objectives from 120 to 300 ms: what waits for a frozen leader has some left.
    expect_that!(after([3; 40]), le(120));
    expect_that!(after([3; 40]), gt(6 * 3));
}

#[gtest]
fn a_peer_that_pauses_now_and_then_is_given_time_for_that() {
    let pauses = (0..80).map(|count| if count % 4 == 0 { 95 } else { 4 });
    expect_that!(after(pauses), gt(95));
}

#[gtest]
fn nobody_is_given_longer_than_a_quarter_of_a_second() {
    expect_that!(after([]), eq(250));
    expect_that!(after([2_000; 10]), eq(250));
}

#[gtest]
fn one_slow_answer_is_forgotten() {
    expect_that!(after([4; 30].into_iter().chain([240]).chain([4; 30])), le(120));
}
