//! Callers who leave, who are slow, and whose time is over.

use crate::support::{get, post, read_all, read_request, run, sleep_ms, stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_proxy::Stop;

#[gtest]
fn the_endpoint_learns_within_half_a_second_that_the_caller_has_left() {
    run(|world| async move {
        let closed = world.seeing_a_close("").await;
        let mut caller = world.connect().await;
        caller.write_all(post("/unsafe/", "pay").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        drop(caller);
        sleep_ms(400).await;
        expect_that!(closed.get(), eq(true));
        expect_that!(*world.placement.outcomes.borrow(), elements_are![eq(&Outcome::Abandoned)]);
    });
}

#[gtest]
fn a_request_that_waits_is_withdrawn_when_its_caller_leaves() {
    run(|world| async move {
        world.placement.holds.set(true);
        let mut caller = world.connect().await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        drop(caller);
        sleep_ms(100).await;
        expect_that!(world.placement.withdrawn.get(), eq(1));
    });
}

#[gtest]
fn a_request_is_answered_at_its_routes_timeout() {
    run(|world| async move {
        world.placement.holds.set(true);
        let started = std::time::Instant::now();
        let answer = world.ask(&get("/safe/")).await;
        expect_that!(answer, starts_with("HTTP/1.1 429 "));
        expect_that!(started.elapsed().as_millis(), all![ge(1_950), lt(2_500)]);
    });
}

#[gtest]
fn one_that_was_sent_is_not_said_not_to_have_run() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(10_000).await;
            })
            .await;
        let request = post("/unsafe/", "pay").replace("id: r1", "deadline: 300\r\nid: r1");
        expect_that!(world.ask(&request).await, starts_with("HTTP/1.1 504 "));
    });
}

#[gtest]
fn an_idle_connection_is_closed_when_the_instance_stops_and_a_busy_one_is_not() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                sleep_ms(500).await;
                let answer = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer.as_bytes()).await.unwrap();
            })
            .await;
        let mut idle = world.connect().await;
        let mut busy = world.connect().await;
        let keep = get("/unsafe/").replace("Connection: close\r\n", "");
        busy.write_all(keep.as_bytes()).await.unwrap();
        sleep_ms(100).await;
        let now_ms = world.entry.clock.now_ms();
        world.entry.begin_stop(Stop { refuses_from_ms: now_ms + 100, ends_ms: now_ms + 5_000 });
        world.entry.close_idle();
        expect_that!(read_all(&mut idle).await, eq(""));
        let answer = read_all(&mut busy).await;
        expect_that!(answer, starts_with("HTTP/1.1 200 "));
        expect_that!(answer, contains_substring("Connection: close\r\n"));
    });
}

#[gtest]
fn an_instance_that_stops_refuses_what_may_run_beyond_its_end() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        let now_ms = world.entry.clock.now_ms();
        world.entry.begin_stop(Stop { refuses_from_ms: now_ms + 200, ends_ms: now_ms + 1_500 });
        // The route's timeout is 2 s.
        expect_that!(world.ask(&get("/safe/")).await, starts_with("HTTP/1.1 200 "));
        sleep_ms(250).await;
        let refused = world.ask(&get("/safe/")).await;
        expect_that!(refused, starts_with("HTTP/1.1 503 "));
        expect_that!(refused, contains_substring("Retry-After: "));
        let short = get("/safe/").replace("id: r1", "deadline: 400\r\nid: r1");
        expect_that!(world.ask(&short).await, starts_with("HTTP/1.1 200 "));
    });
}

#[gtest]
fn a_caller_that_leaves_its_stream_ends_it() {
    run(|world| async move {
        let first = "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n";
        let closed = world.seeing_a_close(first).await;
        let mut caller = world.connect().await;
        caller.write_all(stream("/stream/").as_bytes()).await.unwrap();
        let mut first = [0; 512];
        assert!(caller.read(&mut first).await.unwrap() > 0);
        drop(caller);
        sleep_ms(400).await;
        expect_that!(closed.get(), eq(true));
    });
}
