//! Heads and bodies are read strictly, and piece by piece.

use crate::support::{World, run};
use googletest::prelude::*;

async fn refused(world: &World, request: &str) {
    let answer = world.ask(request).await;
    expect_that!(answer, starts_with("HTTP/1.1 400 "), "{request}");
    expect_that!(world.placement.outcomes.borrow().len(), eq(0));
}

#[gtest]
fn what_is_ambiguous_is_refused_and_sent_nowhere() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n").await;
        let head = "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\n";
        let both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        refused(&world, &format!("{head}{both}")).await;
        let twice = "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
        refused(&world, &format!("{head}{twice}")).await;
        let signed = "Content-Length: +3\r\n\r\nabc";
        refused(&world, &format!("{head}{signed}")).await;
        let coding = "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n";
        refused(&world, &format!("{head}{coding}")).await;
        let chunk = "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n";
        refused(&world, &format!("{head}{chunk}")).await;
        refused(&world, &format!("{head}Host: other.example\r\n\r\n")).await;
    });
}

#[gtest]
fn a_request_within_a_body_stays_a_body() {
    run(|world| async move {
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        let inner = "GET /unsafe/ HTTP/1.1\r\nHost: salto.example\r\nid: r2\r\n\r\n";
        let answer = world.ask(&crate::support::post("/safe/", inner)).await;
        expect_that!(answer.matches("HTTP/1.1 ").count(), eq(1));
        expect_that!(world.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_body_in_chunks_arrives_with_its_length() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                use futures_lite::AsyncWriteExt;
                let request = crate::support::read_request(&mut stream).await.unwrap();
                let seen = request.ends_with("\r\n\r\nhello world")
                    && request.contains("Content-Length: 11")
                    && !request.to_lowercase().contains("transfer-encoding");
                let body = if seen { "yes" } else { "no!" };
                let answer =
                    format!("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\n{body:3}");
                stream.write_all(answer.as_bytes()).await.unwrap();
            })
            .await;
        let request = "POST /safe/ HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\n\
                       Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
                       6\r\nhello \r\n5;x=y\r\nworld\r\n0\r\nT: t\r\n\r\n";
        expect_that!(world.ask(request).await, ends_with("\r\n\r\nyes"));
    });
}

#[gtest]
fn several_requests_come_over_one_connection() {
    run(|world| async move {
        use futures_lite::AsyncWriteExt;
        world.answering("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok").await;
        let keep = crate::support::get("/safe/").replace("Connection: close\r\n", "");
        let mut stream = world.connect().await;
        let both = keep + &crate::support::get("/unsafe/");
        stream.write_all(both.as_bytes()).await.unwrap();
        let answers = crate::support::read_all(&mut stream).await;
        expect_that!(answers.matches("HTTP/1.1 200 OK").count(), eq(2));
    });
}
