//! Callers that disconnect, deadlines that pass, and graceful shutdown.

use crate::support::{get, post, read_all, read_request, run, sleep_ms, stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_proxy::Stop;
use smol::net::TcpListener;

#[gtest]
fn the_endpoint_connection_is_closed_within_half_a_second_of_the_callers_disconnect() {
    run(|fixture| async move {
        let closed = fixture.add_close_detecting_endpoint("").await;
        let mut caller = fixture.connect().await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        drop(caller);
        sleep_ms(400).await;
        expect_that!(closed.get(), eq(true));
        expect_that!(*fixture.placement.outcomes.borrow(), elements_are![eq(&Outcome::Abandoned)]);
    });
}

#[gtest]
fn a_waiting_request_is_withdrawn_when_its_caller_disconnects() {
    run(|fixture| async move {
        fixture.placement.never_decides.set(true);
        let mut caller = fixture.connect().await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        drop(caller);
        sleep_ms(100).await;
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
    });
}

/// It is certain that no endpoint has run it.
#[gtest]
fn a_request_whose_caller_leaves_before_an_endpoint_is_connected_is_withdrawn() {
    run(|fixture| async move {
        fixture.add_unreachable_endpoints(1);
        // The other instance accepts connections and says nothing.
        let paused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        *fixture.relays.address.borrow_mut() = Some(paused.local_addr().unwrap().to_string());
        let mut caller = fixture.connect().await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        expect_that!(fixture.relays.asked.get(), eq(1));
        drop(caller);
        sleep_ms(100).await;
        expect_that!(fixture.placement.withdrawn.get(), eq(1));
        expect_that!(*fixture.placement.outcomes.borrow(), is_empty());
    });
}

#[gtest]
fn a_request_is_refused_at_its_routes_timeout() {
    run(|fixture| async move {
        fixture.placement.never_decides.set(true);
        let started = std::time::Instant::now();
        let response = fixture.request(&get("/safe/")).await;
        expect_that!(response, starts_with("HTTP/1.1 429 "));
        expect_that!(started.elapsed().as_millis(), all![ge(1_950), lt(2_500)]);
    });
}

// A request that was sent may have run, so its timeout must not look like a refusal to retry (429).
#[gtest]
fn a_request_that_was_sent_times_out_with_504() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(10_000).await;
            })
            .await;
        let request = post("/unsafe/", "pay").replace("id: r1", "deadline: 300\r\nid: r1");
        expect_that!(fixture.request(&request).await, starts_with("HTTP/1.1 504 "));
    });
}

#[gtest]
fn shutdown_closes_idle_connections_and_keeps_busy_ones() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(500).await;
                let response = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(response.as_bytes()).await.unwrap();
            })
            .await;
        let mut idle = fixture.connect().await;
        let mut busy = fixture.connect().await;
        let keep_alive_request = get("/unsafe/").replace("Connection: close\r\n", "");
        busy.write_all(keep_alive_request.as_bytes()).await.unwrap();
        sleep_ms(100).await;
        let now_ms = fixture.entry.clock.now_ms();
        fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms + 100, ends_ms: now_ms + 5_000 });
        fixture.close_idle();
        let refusal = read_all(&mut idle).await;
        expect_that!(refusal, starts_with("HTTP/1.1 408 "));
        expect_that!(refusal, contains_substring("Connection: close\r\n"));
        expect_that!(refusal.matches("HTTP/1.1").count(), eq(1));
        let response = read_all(&mut busy).await;
        expect_that!(response.matches("HTTP/1.1").count(), eq(1));
        expect_that!(response, starts_with("HTTP/1.1 200 "));
        expect_that!(response, contains_substring("Connection: close\r\n"));
    });
}

#[gtest]
fn a_stopping_instance_refuses_requests_that_may_outlast_it() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok")
            .await;
        let now_ms = fixture.entry.clock.now_ms();
        fixture.entry.begin_stop(Stop { refuses_from_ms: now_ms + 200, ends_ms: now_ms + 1_500 });
        // The route's timeout is 2 s.
        expect_that!(fixture.request(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
        sleep_ms(250).await;
        let refused = fixture.request(&get("/safe/")).await;
        expect_that!(refused, starts_with("HTTP/1.1 503 "));
        expect_that!(refused, contains_substring("Retry-After: "));
        let short = get("/safe/").replace("id: r1", "deadline: 400\r\nid: r1");
        expect_that!(fixture.request(&short).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_stream_ends_when_its_caller_disconnects() {
    run(|fixture| async move {
        let first = "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n";
        let closed = fixture.add_close_detecting_endpoint(first).await;
        let mut caller = fixture.connect().await;
        caller.write_all(stream("/stream/").as_bytes()).await.unwrap();
        let mut first = [0; 512];
        assert!(caller.read(&mut first).await.unwrap() > 0);
        drop(caller);
        sleep_ms(400).await;
        expect_that!(closed.get(), eq(true));
    });
}
