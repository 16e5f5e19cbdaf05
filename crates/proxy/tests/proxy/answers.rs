//! Answers of endpoints: cut ones look cut, and none is taken for another request's.

use crate::support::{get, post, read_request, reset, run, sleep_ms};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;

#[gtest]
fn an_answer_that_is_cut_is_not_passed_on_as_whole() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                let cut = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 100\r\n\r\nhalf";
                stream.write_all(cut.as_bytes()).await.unwrap();
            })
            .await;
        let answer = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(answer, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn an_answer_without_length_is_whole_only_where_its_connection_is_closed() {
    run(|world| async move {
        world
            .endpoint(|mut stream, count| async move {
                read_request(&mut stream).await;
                stream.write_all(b"HTTP/1.1 200 OK\r\nid: r1\r\n\r\nbody").await.unwrap();
                sleep_ms(20).await;
                if count == 1 {
                    reset(stream);
                }
            })
            .await;
        let cut = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(cut, starts_with("HTTP/1.1 502 "));
        let whole = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(whole, ends_with("\r\n\r\nbody"));
        expect_that!(whole, contains_substring("Content-Length: 4\r\n"));
    });
}

#[gtest]
fn bytes_after_an_answer_belong_to_no_request() {
    run(|world| async move {
        world
            .answering(
                "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok\
                 HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 5\r\n\r\nwrong",
            )
            .await;
        for _ in 0..3 {
            let answer = world.ask(&get("/safe/")).await;
            expect_that!(answer, ends_with("\r\n\r\nok"));
        }
    });
}

#[gtest]
fn a_late_answer_to_an_earlier_request_is_passed_over() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                let first = read_request(&mut stream).await.unwrap();
                let answer = |id: &str, body: &str| {
                    let length = body.len();
                    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
                };
                assert!(first.contains("id: r1"));
                stream.write_all(answer("r1", "first").as_bytes()).await.unwrap();
                if read_request(&mut stream).await.is_some() {
                    let late = answer("r1", "again") + &answer("r2", "second");
                    stream.write_all(late.as_bytes()).await.unwrap();
                }
            })
            .await;
        expect_that!(world.ask(&get("/safe/")).await, ends_with("first"));
        let second = get("/safe/").replace("id: r1", "id: r2");
        expect_that!(world.ask(&second).await, ends_with("second"));
    });
}

#[gtest]
fn bytes_that_are_no_answer_are_not_passed_on() {
    run(|world| async move {
        world.answering("rubbish\r\n\r\n").await;
        let answer = world.ask(&post("/unsafe/", "pay")).await;
        expect_that!(answer, starts_with("HTTP/1.1 502 "));
    });
}

#[gtest]
fn a_connection_is_not_used_again_whose_endpoint_answered_before_the_body_was_through() {
    run(|world| async move {
        world
            .endpoint(|mut stream, count| async move {
                let early =
                    format!("HTTP/1.1 413 Long\r\nid: r1\r\nContent-Length: 1\r\n\r\n{count}");
                stream.write_all(early.as_bytes()).await.unwrap();
                sleep_ms(100).await;
                while read_request(&mut stream).await.is_some() {}
            })
            .await;
        let long = "x".repeat(3 * 1024 * 1024);
        expect_that!(world.ask(&post("/safe/", &long)).await, ends_with("1"));
        expect_that!(world.ask(&post("/safe/", "short")).await, ends_with("2"));
    });
}
