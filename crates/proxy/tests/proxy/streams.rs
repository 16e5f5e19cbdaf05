//! Streams: whole events, resumed only where the route allows it, cut where they break.

use crate::support::{read_request, run, sleep_ms, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: first\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[gtest]
fn events_are_passed_on_as_they_come() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                let first = HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n");
                stream.write_all(first.as_bytes()).await.unwrap();
                sleep_ms(300).await;
                let last = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
                stream.write_all(last.as_bytes()).await.unwrap();
            })
            .await;
        use futures_lite::AsyncReadExt;
        let mut caller = world.connect().await;
        caller.write_all(stream("/stream/").as_bytes()).await.unwrap();
        let mut first = vec![0; 4_096];
        let read = lycheehub_clock::within(200, caller.read(&mut first)).await;
        let count = read.expect("the first event waits for the second").unwrap();
        let first = String::from_utf8_lossy(&first[..count]).into_owned();
        expect_that!(first, contains_substring("data: a"));
        let rest = crate::support::read_all(&mut caller).await;
        expect_that!(rest, ends_with("data: b\n\n\r\n0\r\n\r\n"));
    });
}

#[gtest]
fn a_stream_that_breaks_off_does_not_look_whole() {
    run(|world| async move {
        world.resetting(HEAD.to_owned() + &chunk("id: 1\ndata: a\n\nid: 2\nda")).await;
        let answer = world.ask(&stream("/stream/")).await;
        expect_that!(answer, ends_with("id: 1\ndata: a\n\n\r\n"));
        expect_that!(world.placement.outcomes.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_stream_that_may_be_resumed_goes_on_after_its_last_whole_event() {
    run(|world| async move {
        let seen = Rc::new(RefCell::new(String::new()));
        let note = seen.clone();
        world.resetting(HEAD.to_owned() + &chunk("id: 1\ndata: a\n\nid: 2\nda")).await;
        world
            .endpoint(move |mut stream, _| {
                let note = note.clone();
                async move {
                    *note.borrow_mut() = read_request(&mut stream).await.unwrap();
                    let rest = HEAD.replace("first", "second")
                        + &chunk("id: 2\ndata: b\n\n")
                        + "0\r\n\r\n";
                    stream.write_all(rest.as_bytes()).await.unwrap();
                }
            })
            .await;
        let answer = world.ask(&stream("/resume/")).await;
        expect_that!(*seen.borrow(), contains_substring("last-event-id: 1\r\n"));
        expect_that!(answer.matches("HTTP/1.1").count(), eq(1));
        expect_that!(answer, contains_substring("seal: first"));
        expect_that!(answer, not(contains_substring("second")));
        expect_that!(answer.matches("id: 2\n").count(), eq(1));
        expect_that!(answer, ends_with("data: b\n\n\r\n0\r\n\r\n"));
    });
}

#[gtest]
fn the_rest_of_a_stream_waits_for_as_long_as_its_caller_does() {
    run(|world| async move {
        world.resetting(HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n")).await;
        world.resetting(HEAD.to_owned() + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n").await;
        let answer = world.ask(&stream("/resume/")).await;
        expect_that!(answer, ends_with("data: b\n\n\r\n0\r\n\r\n"));
        let patience_left_ms = world.placement.patience_left_ms.borrow();
        // Its route's callers wait 10 ms for the first byte, and 2 s in all.
        expect_that!(*patience_left_ms, elements_are![le(&10), gt(&1_000)]);
    });
}

#[gtest]
fn a_stream_that_has_begun_is_cut_where_no_other_endpoint_is_reached() {
    run(|world| async move {
        world.resetting(HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n")).await;
        world.unreachable(4);
        let answer = world.ask(&stream("/resume/")).await;
        expect_that!(answer.matches("HTTP/1.1").count(), eq(1));
        expect_that!(answer, ends_with("id: 1\ndata: a\n\n\r\n"));
    });
}

#[gtest]
fn a_stream_that_pauses_for_long_is_moved() {
    run(|world| async move {
        world
            .endpoint(|mut stream, _| async move {
                read_request(&mut stream).await;
                let first = HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n");
                stream.write_all(first.as_bytes()).await.unwrap();
                sleep_ms(4_000).await;
            })
            .await;
        giving_the_rest(&world).await;
        let answer = world.ask(&stream("/resume/")).await;
        expect_that!(answer, ends_with("data: b\n\n\r\n0\r\n\r\n"));
    });
}

/// Has an endpoint send the last of two events.
async fn giving_the_rest(world: &crate::support::World) {
    let script = |mut stream: smol::net::TcpStream, _| async move {
        read_request(&mut stream).await;
        let rest = HEAD.to_owned() + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        stream.write_all(rest.as_bytes()).await.unwrap();
    };
    world.endpoint(script).await;
}

/// Has an endpoint send an event, and then `bytes` every 400 ms for 6 s.
async fn dripping(world: &crate::support::World, bytes: &'static str) {
    let drip = move |mut stream: smol::net::TcpStream, _| async move {
        read_request(&mut stream).await;
        let first = HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n");
        stream.write_all(first.as_bytes()).await.unwrap();
        for _ in 0..15 {
            sleep_ms(400).await;
            if stream.write_all(chunk(bytes).as_bytes()).await.is_err() {
                return;
            }
        }
    };
    world.endpoint(drip).await;
}

#[gtest]
fn a_stream_of_which_bytes_come_but_no_events_is_moved() {
    for bytes in ["x", ": waiting\n\n"] {
        run(|world| async move {
            dripping(&world, bytes).await;
            giving_the_rest(&world).await;
            let answer = world.ask(&stream("/resume/")).await;
            expect_that!(answer, ends_with("data: b\n\n\r\n0\r\n\r\n"), "{bytes:?}");
        });
    }
}

#[gtest]
fn a_stream_of_which_bytes_come_but_no_events_ends_with_its_routes_time() {
    run(|world| async move {
        dripping(&world, "x").await;
        let answer = lycheehub_clock::within(3_500, world.ask(&stream("/stream/"))).await;
        // Its route's timeout is 2 s.
        let answer = answer.expect("the stream does not end");
        expect_that!(answer, not(ends_with("0\r\n\r\n")));
    });
}

#[gtest]
fn a_slow_stream_of_which_every_event_comes_is_whole() {
    for path in ["/stream/", "/resume/"] {
        run(|world| async move {
            world
                .endpoint(|mut stream, _| async move {
                    read_request(&mut stream).await;
                    stream.write_all(HEAD.as_bytes()).await.unwrap();
                    for id in ["1", "2"] {
                        sleep_ms(700).await;
                        let event = chunk(&format!("id: {id}\ndata: a\n\n"));
                        stream.write_all(event.as_bytes()).await.unwrap();
                    }
                    stream.write_all(b"0\r\n\r\n").await.unwrap();
                })
                .await;
            let answer = world.ask(&stream(path)).await;
            expect_that!(answer.matches("data: a").count(), eq(2), "{path}");
            expect_that!(answer, ends_with("\r\n0\r\n\r\n"), "{path}");
            expect_that!(world.placement.outcomes.borrow().len(), eq(1), "{path}");
        });
    }
}
