//! What is passed on of a request, and what may be repeated.

use crate::support::{get, post, read_request, run, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[gtest]
fn method_path_query_body_and_headers_arrive_unchanged() {
    run(|world| async move {
        let seen = Rc::new(RefCell::new(String::new()));
        let note = seen.clone();
        world
            .endpoint(move |mut stream, _| {
                let note = note.clone();
                async move {
                    *note.borrow_mut() = read_request(&mut stream).await.unwrap();
                    let answer = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            })
            .await;
        let request = post("/unsafe/a%20b?x=1&y=%2f", "body")
            .replace("id: r1\r\n", "id: r1\r\nX-Own: A b\r\nKeep-Alive: 5\r\ndeadline: 900\r\nendpoint: forged\r\nConnection: x-hop\r\nX-Hop: 1\r\n");
        world.ask(&request).await;
        let seen = seen.borrow();
        expect_that!(*seen, starts_with("POST /unsafe/a%20b?x=1&y=%2f HTTP/1.1\r\n"));
        expect_that!(*seen, ends_with("\r\n\r\nbody"));
        expect_that!(*seen, contains_substring("X-Own: A b\r\n"));
        expect_that!(*seen, contains_substring("endpoint: endpoint-0\r\n"));
        for dropped in ["forged", "X-Hop", "Keep-Alive", "deadline: 900\r\ndeadline"] {
            expect_that!(*seen, not(contains_substring(dropped)));
        }
    });
}

#[gtest]
fn a_caller_that_comes_back_is_known_by_the_time_that_it_has_left() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        // Callers begin with somewhat different deadlines.
        for deadline_ms in [1_000, 860, 940, 700, 1_000] {
            let head = format!("deadline: {deadline_ms}\r\nid: r1");
            world.ask(&get("/safe/").replace("id: r1", &head)).await;
        }
        let returning = world.placement.returning.borrow();
        expect_that!(*returning, eq(&[false, false, false, true, false]));
    });
}

#[gtest]
fn what_comes_before_the_routes_are_known_waits_for_them_for_a_moment() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        world.is_ready.set(false);
        let is_ready = world.is_ready.clone();
        let later = async move {
            Timer::after(Duration::from_millis(200)).await;
            is_ready.set(true);
        };
        world.executor.spawn(later).detach();
        let answer = world.ask(&get("/safe/")).await;
        expect_that!(answer, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn it_is_told_to_come_back_where_the_routes_stay_unknown() {
    run(|world| async move {
        world.is_ready.set(false);
        let began = Instant::now();
        let answer = world.ask(&get("/safe/")).await;
        expect_that!(answer, starts_with("HTTP/1.1 503 "));
        expect_that!(answer, contains_substring("Retry-After: "));
        expect_that!(began.elapsed(), lt(Duration::from_millis(1_000)));
    });
}

#[gtest]
fn an_unsafe_request_is_not_sent_again_after_a_reset() {
    run(|world| async move {
        for _ in 0..2 {
            world.resetting("").await;
        }
        let answer = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(answer, starts_with("HTTP/1.1 502 "));
        expect_that!(*world.placement.outcomes.borrow(), elements_are![eq(&Outcome::Broken)]);
    });
}

#[gtest]
fn a_safe_request_goes_elsewhere_after_a_reset() {
    run(|world| async move {
        world.resetting("").await;
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        expect_that!(world.ask(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn what_the_endpoint_did_not_run_goes_elsewhere() {
    run(|world| async move {
        world
            .answering("HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n")
            .await;
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        expect_that!(world.ask(&post("/unsafe/", "pay")).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn what_no_endpoint_ran_is_refused_with_a_time_to_come_back() {
    run(|world| async move {
        world
            .answering("HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n")
            .await;
        let answer = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(answer, starts_with("HTTP/1.1 429 "));
        expect_that!(answer, contains_substring("Retry-After: "));
        expect_that!(world.placement.outcomes.borrow().len(), eq(2));
    });
}

#[gtest]
fn what_may_have_run_is_not_said_to_have_not_run_where_no_other_endpoint_is_reached() {
    run(|world| async move {
        world.resetting("").await;
        world.unreachable(4);
        expect_that!(world.ask(&get("/safe/")).await, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_failure_is_passed_on_where_the_budget_of_repeats_is_used_up() {
    run(|world| async move {
        world
            .answering("HTTP/1.1 500 Broke\r\nid: r1\r\nseal: s\r\nContent-Length: 4\r\n\r\noops")
            .await;
        world.placement.no_repeats.set(true);
        let answer = world.ask(&get("/safe/")).await;
        expect_that!(answer, starts_with("HTTP/1.1 500 Broke\r\n"));
        expect_that!(answer, ends_with("oops"));
    });
}

#[gtest]
fn an_endpoint_that_cannot_be_reached_was_sent_nothing() {
    run(|world| async move {
        world.placement.addresses.borrow_mut().push("127.0.0.1:1".to_owned());
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        expect_that!(world.ask(&post("/unsafe/", "pay")).await, starts_with("HTTP/1.1 200 "));
        let outcomes = world.placement.outcomes.borrow();
        expect_that!(*outcomes, elements_are![eq(&Outcome::NotConnected), eq(&Outcome::Answered)]);
    });
}

#[gtest]
fn a_stream_that_may_not_be_resumed_is_not_sent_again() {
    run(|world| async move {
        world.resetting("").await;
        expect_that!(world.ask(&stream("/stream/")).await, starts_with("HTTP/1.1 502 "));
        expect_that!(world.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn what_is_refused_for_a_quota_is_counted_by_account() {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        run(|world| async move {
            world.placement.over_quota.set(true);
            let answer = world.ask(&get("/safe/")).await;
            expect_that!(answer, starts_with("HTTP/1.1 429 "));
        });
    });
    let counted = "lycheehub_quota_refusals_total{account=\"\"} 1";
    expect_that!(recorder.handle().render(), contains_substring(counted));
}
