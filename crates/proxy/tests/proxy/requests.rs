//! Forwarding of requests, and which failed attempts are repeated.

use crate::support::{get, post, read_request, run, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_proxy::pool::idle_max;
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[gtest]
fn method_target_body_and_end_to_end_headers_are_forwarded_unchanged() {
    run(|fixture| async move {
        let received = Rc::new(RefCell::new(String::new()));
        let recorder = received.clone();
        fixture
            .add_endpoint(move |mut stream, _| {
                let recorder = recorder.clone();
                async move {
                    *recorder.borrow_mut() = read_request(&mut stream).await.unwrap();
                    let response = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            })
            .await;
        let request = post("/unsafe/a%20b?x=1&y=%2f", "body")
            .replace("id: r1\r\n", "id: r1\r\nX-Own: A b\r\nKeep-Alive: 5\r\ndeadline: 900\r\nendpoint: forged\r\nConnection: x-hop\r\nX-Hop: 1\r\n");
        fixture.request(&request).await;
        let received = received.borrow();
        expect_that!(*received, starts_with("POST /unsafe/a%20b?x=1&y=%2f HTTP/1.1\r\n"));
        expect_that!(*received, ends_with("\r\n\r\nbody"));
        expect_that!(*received, contains_substring("X-Own: A b\r\n"));
        expect_that!(*received, contains_substring("endpoint: endpoint-0\r\n"));
        for dropped in ["forged", "X-Hop", "Keep-Alive", "deadline: 900\r\ndeadline"] {
            expect_that!(*received, not(contains_substring(dropped)));
        }
    });
}

#[gtest]
fn a_request_is_the_same_one_in_each_repeat_whatever_its_header_fields() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        let long = "x".repeat(1 << 20);
        let request = post("/unsafe/a?x=1", "body");
        let requests = [
            request.clone(),
            // A repeat: another deadline, fields in another order.
            request.replace(
                "Host: salto.example\r\nid: r1\r\n",
                "deadline: 900\r\nid: r1\r\nHost: salto.example\r\n",
            ),
            request.replace("POST", "PUT"),
            post("/unsafe/a?x=2", "body"),
            post("/unsafe/a", "body"),
            post("/unsafe/a?x=1", "bode"),
            post("/unsafe/a?x=1b", "ody"),
            post("/unsafe/a?x=1", &long),
            post("/unsafe/a?x=1", &long),
        ];
        for request in &requests {
            fixture.request(request).await;
        }
        let digests = fixture.placement.digests.borrow();
        expect_that!(digests.len(), eq(requests.len()));
        expect_that!(digests[0], some(anything()));
        expect_that!(digests[1], eq(digests[0]));
        expect_that!(digests[8], eq(digests[7]));
        let distinct: BTreeSet<_> = digests.iter().collect();
        expect_that!(distinct.len(), eq(requests.len() - 2));
    });
}

#[gtest]
fn a_retry_after_a_refusal_is_detected_by_its_shorter_deadline() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        // Deadlines of first requests vary somewhat; only a much shorter one marks a retry.
        for deadline_ms in [1_000, 860, 940, 700, 1_000] {
            let head = format!("deadline: {deadline_ms}\r\nid: r1");
            fixture.request(&get("/safe/").replace("id: r1", &head)).await;
        }
        let returning = fixture.placement.returning.borrow();
        expect_that!(*returning, eq(&[false, false, false, true, false]));
    });
}

#[gtest]
fn a_request_waits_briefly_until_the_routes_are_known() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        fixture.is_ready.set(false);
        let is_ready = fixture.is_ready.clone();
        let set_ready = async move {
            Timer::after(Duration::from_millis(200)).await;
            is_ready.set(true);
        };
        fixture.executor.spawn(set_ready).detach();
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_request_is_refused_if_the_routes_stay_unknown() {
    run(|fixture| async move {
        fixture.is_ready.set(false);
        let started = Instant::now();
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 503 "));
        expect_that!(response, contains_substring("Retry-After: "));
        expect_that!(started.elapsed(), lt(Duration::from_millis(1_000)));
    });
}

#[gtest]
fn an_unsafe_request_is_not_sent_again_after_a_reset() {
    run(|fixture| async move {
        for _ in 0..2 {
            fixture.add_resetting_endpoint("").await;
        }
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 502 "));
        expect_that!(*fixture.placement.outcomes.borrow(), elements_are![eq(&Outcome::Broken)]);
    });
}

#[gtest]
fn a_safe_request_is_sent_to_another_endpoint_after_a_reset() {
    run(|fixture| async move {
        fixture.add_resetting_endpoint("").await;
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_request_that_the_endpoint_did_not_run_is_sent_to_another() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint(
                "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
            )
            .await;
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        expect_that!(fixture.request(&post("/unsafe/", "pay")).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_request_that_no_endpoint_ran_is_refused_with_retry_after() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint(
                "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
            )
            .await;
        let response = fixture.request(&post("/unsafe/", "pay")).await;
        expect_that!(response, starts_with("HTTP/1.1 429 "));
        expect_that!(response, contains_substring("Retry-After: "));
        expect_that!(fixture.placement.outcomes.borrow().len(), eq(2));
    });
}

// The failed connects that follow must not hide that the first endpoint may have run the request.
#[gtest]
fn a_request_that_may_have_run_gets_502_if_no_other_endpoint_is_reachable() {
    run(|fixture| async move {
        fixture.add_resetting_endpoint("").await;
        fixture.add_unreachable_endpoints(4);
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_failed_response_is_relayed_if_the_retry_budget_is_exhausted() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint(
                "HTTP/1.1 500 Broke\r\nid: r1\r\nseal: s\r\nContent-Length: 4\r\n\r\noops",
            )
            .await;
        fixture.placement.refuses_repeats.set(true);
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 500 Broke\r\n"));
        expect_that!(response, ends_with("oops"));
    });
}

#[gtest]
fn an_unsafe_request_is_sent_to_another_endpoint_after_a_failed_connect() {
    run(|fixture| async move {
        fixture.placement.addresses.borrow_mut().push("127.0.0.1:1".to_owned());
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        expect_that!(fixture.request(&post("/unsafe/", "pay")).await, starts_with("HTTP/1.1 200 "));
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, elements_are![eq(&Outcome::NotConnected), eq(&Outcome::Answered)]);
    });
}

#[gtest]
fn a_stream_that_is_not_resumable_is_not_repeated() {
    run(|fixture| async move {
        fixture.add_resetting_endpoint("").await;
        expect_that!(fixture.request(&stream("/stream/")).await, starts_with("HTTP/1.1 502 "));
        expect_that!(fixture.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn quota_refusals_are_counted_by_account() {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        run(|fixture| async move {
            fixture.placement.over_quota.set(true);
            let response = fixture.request(&get("/safe/")).await;
            expect_that!(response, starts_with("HTTP/1.1 429 "));
        });
    });
    let counted = "lycheehub_quota_refusals_total{account=\"\"} 1";
    expect_that!(recorder.handle().render(), contains_substring(counted));
}

/// Returns how many connections an endpoint gets for three requests in a row.
fn connections_for_three_requests(instances: u32) -> u32 {
    let count = Rc::new(Cell::new(0));
    let recorder = count.clone();
    run(|fixture| async move {
        fixture.placement.instances.set(instances);
        let accepted = recorder.clone();
        fixture
            .add_endpoint(move |mut stream, number| {
                accepted.set(number);
                async move {
                    while read_request(&mut stream).await.is_some() {
                        let response = b"HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                        stream.write_all(response).await.unwrap();
                    }
                }
            })
            .await;
        for _ in 0..3 {
            expect_that!(fixture.request(&get("/safe/")).await, ends_with("ok"));
        }
    });
    count.get()
}

#[gtest]
fn idle_connections_of_all_instances_fit_into_what_an_endpoint_accepts() {
    // The endpoints of the service accept 100 connections from all instances.
    expect_that!(connections_for_three_requests(8), eq(1));
    expect_that!(connections_for_three_requests(380), eq(3));
    for instances in [1, 8, 67, 195, 380] {
        for connections_max in [96, 110, 460, 1_200] {
            let idle = idle_max(Some(connections_max), instances) * instances as usize;
            expect_that!(idle, lt(connections_max as usize), "{instances} {connections_max}");
        }
    }
}
