//! Answers that are not those of the request at hand: they are neither relayed nor taken as a statement
//! that the request has not run.

use crate::support::{Fixture, post, read_request, run};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_relay::frames::header;
use smol::channel::Receiver;
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Statuses with which endpoints state that they have not run a request.
const NOT_RUN: [&str; 4] = ["503 Full", "429 Many", "421 Other", "400 Bad"];

/// Returns a response with this id, if any.
fn response(status: &str, id: Option<&str>, more: &str, body: &str) -> String {
    let id = id.map(|id| format!("id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status}\r\n{id}{more}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns an endpoint's statement that it did not run a request.
fn refusal(status: &str, id: Option<&str>, is_sealed: bool) -> String {
    let seal = if is_sealed { "seal: s\r\n" } else { "" };
    response(status, id, &format!("not-run: 1\r\n{seal}"), "full")
}

fn ok(id: &str) -> String {
    response("200 OK", Some(id), "seal: s\r\n", id)
}

/// Returns a request that must not be repeated, with this id and a time limit.
fn unsafe_request(id: &str, deadline_ms: u32) -> String {
    post("/unsafe/", "pay").replace("id: r1", &format!("id: {id}\r\ndeadline: {deadline_ms}"))
}

/// The requests that the endpoints have got, each with the number of its connection.
type Received = Rc<RefCell<Vec<(String, u32)>>>;

fn id_of(request: &str) -> String {
    let id = request.lines().find_map(|line| line.strip_prefix("id: "));
    id.unwrap_or_default().to_owned()
}

/// Adds an endpoint that sends what `script` has for a request.
async fn add(fixture: &Fixture, script: impl Fn(&str) -> String + 'static) -> Received {
    let received = Received::default();
    let (recorder, script) = (received.clone(), Rc::new(script));
    fixture
        .add_endpoint(move |mut stream, number| {
            let (recorder, script) = (recorder.clone(), script.clone());
            async move {
                while let Some(request) = read_request(&mut stream).await {
                    let id = id_of(&request);
                    recorder.borrow_mut().push((id.clone(), number));
                    let bytes = script(&id);
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        })
        .await;
    received
}

/// Adds an endpoint that runs all requests.
async fn add_running(fixture: &Fixture) -> Received {
    add(fixture, ok).await
}

fn ids(received: &Received) -> Vec<String> {
    received.borrow().iter().map(|(id, _)| id.clone()).collect()
}

/// Each status, with the id of an earlier request, of an unknown one and without, sealed and not.
fn earlier_refusals() -> Vec<String> {
    let mut all = Vec::new();
    for status in NOT_RUN {
        for id in [Some("r1"), Some("r9"), None] {
            all.extend([true, false].map(|is_sealed| refusal(status, id, is_sealed)));
        }
    }
    all
}

#[gtest]
fn an_earlier_refusal_sent_again_before_the_answer_is_not_taken_for_it() {
    for stray in earlier_refusals() {
        run(|fixture| async move {
            let sent = stray.clone();
            let first = add(&fixture, move |id| match id {
                "r1" => refusal("503 Full", Some(id), false),
                "r2" => sent.clone() + &ok(id),
                _ => ok(id),
            })
            .await;
            let second = add_running(&fixture).await;
            for id in ["r1", "r2", "r3", "r4"] {
                let answer = fixture.request(&unsafe_request(id, 1_500)).await;
                expect_that!(answer, ends_with(format!("\r\n\r\n{id}")), "{stray}");
            }
            expect_that!(ids(&second), eq(&["r1", "r3"]), "{stray}");
            // An endpoint that has sent a response too many does not get another request there.
            let expected = [("r1", 1), ("r2", 1), ("r4", 2)].map(|(id, at)| (id.to_owned(), at));
            expect_that!(*first.borrow(), eq(&expected), "{stray}");
        });
    }
}

#[gtest]
fn an_earlier_refusal_sent_again_does_not_tell_that_a_running_request_has_not_run() {
    for stray in earlier_refusals() {
        run(|fixture| async move {
            let sent = stray.clone();
            let first = add(&fixture, move |id| match id {
                "r1" => refusal("503 Full", Some(id), false),
                _ => sent.clone(),
            })
            .await;
            let second = add_running(&fixture).await;
            expect_that!(fixture.request(&unsafe_request("r1", 1_500)).await, ends_with("r1"));
            let answer = fixture.request(&unsafe_request("r2", 150)).await;
            expect_that!(answer, starts_with("HTTP/1.1 504 "), "{stray}");
            expect_that!(ids(&first), eq(&["r1", "r2"]), "{stray}");
            expect_that!(ids(&second), eq(&["r1"]), "{stray}");
        });
    }
}

#[gtest]
fn a_connection_on_which_a_refusal_came_again_between_requests_is_not_used() {
    for stray in earlier_refusals() {
        run(|fixture| async move {
            let (send, receive) = smol::channel::bounded(1);
            let received = add_repeating(&fixture, receive, stray.clone()).await;
            let second = add_running(&fixture).await;
            expect_that!(fixture.request(&unsafe_request("r1", 1_500)).await, ends_with("r1"));
            send.send(()).await.unwrap();
            // The endpoint takes the second message once it has sent its refusal again.
            send.send(()).await.unwrap();
            send.send(()).await.unwrap();
            expect_that!(fixture.request(&unsafe_request("r2", 1_500)).await, ends_with("r2"));
            let expected = [("r1", 1), ("r2", 2)].map(|(id, at)| (id.to_owned(), at));
            expect_that!(*received.borrow(), eq(&expected), "{stray}");
            expect_that!(ids(&second), eq(&["r1"]), "{stray}");
        });
    }
}

/// Adds an endpoint that refuses the request on its first connection, sends `stray` there for the first
/// message on `receive`, and runs all requests on other connections.
async fn add_repeating(fixture: &Fixture, receive: Receiver<()>, stray: String) -> Received {
    let received = Received::default();
    let recorder = received.clone();
    let script = move |mut stream: TcpStream, number| {
        let (recorder, receive, stray) = (recorder.clone(), receive.clone(), stray.clone());
        async move {
            let id = id_of(&read_request(&mut stream).await.unwrap());
            recorder.borrow_mut().push((id.clone(), number));
            if number > 1 {
                stream.write_all(ok(&id).as_bytes()).await.unwrap();
                return;
            }
            let refused = refusal("503 Full", Some(&id), false);
            stream.write_all(refused.as_bytes()).await.unwrap();
            receive.recv().await.unwrap();
            stream.write_all(stray.as_bytes()).await.unwrap();
            while receive.recv().await.is_ok() {}
        }
    };
    fixture.add_endpoint(script).await;
    received
}

// A response to another request shows that the endpoint sends responses where they don't belong: one
// without id may then be to another request as well, even on a new connection.
#[gtest]
fn a_refusal_without_id_after_a_stray_on_a_new_connection_is_not_taken() {
    run(|fixture| async move {
        add(&fixture, |_| {
            refusal("503 Full", Some("r0"), false) + &refusal("503 Full", None, true)
        })
        .await;
        let second = add_running(&fixture).await;
        let answer = fixture.request(&unsafe_request("r1", 150)).await;
        expect_that!(answer, starts_with("HTTP/1.1 504 "));
        expect_that!(ids(&second).len(), eq(0));
    });
}

#[gtest]
fn a_refusal_without_id_on_a_new_connection_is_taken() {
    run(|fixture| async move {
        add(&fixture, |_| refusal("400 Bad", None, false)).await;
        add_running(&fixture).await;
        expect_that!(fixture.request(&unsafe_request("r1", 1_500)).await, ends_with("r1"));
    });
}

/// Waits for connections to the relay, and sends `bytes` on each before it gets a request.
async fn relay_early(fixture: &Fixture, bytes: String) -> Rc<Cell<bool>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    *fixture.relays.early_address.borrow_mut() = Some(address);
    let is_sent = Rc::new(Cell::new(false));
    let recorder = is_sent.clone();
    let accept = async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&header(bytes.len())).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        recorder.set(read_request(&mut stream).await.is_some());
    };
    fixture.executor.spawn(accept).detach();
    is_sent
}

#[gtest]
fn an_answer_that_arrives_before_the_request_was_sent_is_not_taken_for_it() {
    for id in [None, Some("r0"), Some("r1")] {
        for early in
            [response("200 OK", id, "seal: s\r\n", "wrong"), refusal("503 Full", id, false)]
        {
            run(|fixture| async move {
                fixture.add_unreachable_endpoints(1);
                let second = add_running(&fixture).await;
                let is_sent = relay_early(&fixture, early.clone()).await;
                let answer = fixture.request(&unsafe_request("r1", 1_500)).await;
                expect_that!(answer, ends_with("\r\n\r\nr1"), "{early}");
                expect_that!(ids(&second), eq(&["r1"]), "{early}");
                expect_that!(is_sent.get(), eq(false), "{early}");
            });
        }
    }
}

// It counted as not reached, which helps to confirm that it is lost.
#[gtest]
fn an_endpoint_that_sends_before_it_gets_a_request_counts_as_reached() {
    run(|fixture| async move {
        fixture.add_unreachable_endpoints(1);
        add_running(&fixture).await;
        relay_early(&fixture, "HTTP/1.1 ".to_owned()).await;
        let answer = fixture.request(&unsafe_request("r1", 1_500)).await;
        expect_that!(answer, ends_with("\r\n\r\nr1"));
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, elements_are![eq(&Outcome::Failed), eq(&Outcome::Answered)]);
    });
}

#[gtest]
fn a_success_that_states_that_the_request_was_not_run_leaves_it_unknown() {
    run(|fixture| async move {
        add(&fixture, |id| response("200 OK", Some(id), "not-run: 1\r\nseal: s\r\n", "ok")).await;
        let second = add_running(&fixture).await;
        let answer = fixture.request(&unsafe_request("r1", 1_500)).await;
        expect_that!(answer, starts_with("HTTP/1.1 502 "));
        expect_that!(ids(&second).len(), eq(0));
    });
}

#[gtest]
fn a_request_without_id_gets_its_answer_from_a_connection_of_its_own() {
    run(|fixture| async move {
        let received = add(&fixture, |_| response("200 OK", None, "seal: s\r\n", "ok")).await;
        let request = unsafe_request("r1", 1_500).replace("id: r1\r\n", "");
        for _ in 0..2 {
            expect_that!(fixture.request(&request).await, ends_with("\r\n\r\nok"));
        }
        let connections: Vec<_> = received.borrow().iter().map(|(_, number)| *number).collect();
        expect_that!(connections, eq(&[1, 2]));
    });
}

#[gtest]
fn a_second_answer_to_the_same_request_is_not_relayed() {
    let not_run = refusal("503 Full", Some("r1"), false);
    let cases = [
        // The first answer, the second one, and how many requests the other endpoint gets.
        (not_run.clone(), ok("r1"), 1),
        (not_run.clone(), not_run.clone(), 1),
        (ok("r1"), not_run, 0),
        (ok("r1"), refusal("503 Full", None, false), 0),
        (ok("r1"), ok("r1"), 0),
    ];
    for (first, second, others) in cases {
        run(|fixture| async move {
            let sent = first.clone() + &second;
            let received = add(&fixture, move |id| match id {
                "r1" => sent.clone(),
                _ => ok(id),
            })
            .await;
            let other = add_running(&fixture).await;
            let answer = fixture.request(&unsafe_request("r1", 1_500)).await;
            expect_that!(answer, ends_with("\r\n\r\nr1"), "{first}{second}");
            expect_that!(other.borrow().len(), eq(others), "{first}{second}");
            for id in ["r2", "r3"] {
                let answer = fixture.request(&unsafe_request(id, 1_500)).await;
                expect_that!(answer, ends_with(format!("\r\n\r\n{id}")));
            }
            expect_that!(received.borrow().last().map(|(_, at)| *at), some(eq(2)));
        });
    }
}

#[gtest]
fn interim_responses_beside_a_stray_do_not_hide_the_answer() {
    run(|fixture| async move {
        add(&fixture, |id| match id {
            "r1" => refusal("503 Full", Some(id), false),
            _ => {
                let interim = "HTTP/1.1 103 Hints\r\nnot-run: 1\r\n\r\n";
                format!("{interim}{}{interim}{}", refusal("503 Full", None, false), ok(id))
            }
        })
        .await;
        let second = add_running(&fixture).await;
        for id in ["r1", "r2"] {
            let answer = fixture.request(&unsafe_request(id, 1_500)).await;
            expect_that!(answer, ends_with(format!("\r\n\r\n{id}")));
        }
        expect_that!(ids(&second), eq(&["r1"]));
    });
}

#[gtest]
fn a_request_behind_too_many_strays_counts_as_possibly_run() {
    run(|fixture| async move {
        add(&fixture, |_| refusal("503 Full", Some("r0"), false).repeat(5)).await;
        let second = add_running(&fixture).await;
        let answer = fixture.request(&unsafe_request("r1", 1_500)).await;
        expect_that!(answer, starts_with("HTTP/1.1 502 "));
        expect_that!(ids(&second).len(), eq(0));
    });
}

// The rest of the long body would be read from the next request on the connection.
#[gtest]
fn a_connection_is_not_reused_after_a_stream_that_came_before_the_request_was_sent() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut stream, count| async move {
                stream.read_exact(&mut [0; 1]).await.unwrap();
                let event = format!("id: 1\ndata: {count}\n\n");
                let early = response("200 OK", Some("r1"), "", &event);
                stream.write_all(early.as_bytes()).await.unwrap();
                smol::future::pending::<()>().await;
            })
            .await;
        // More than the system takes for an endpoint that does not read.
        let long = "x".repeat(12 * 1024 * 1024);
        expect_that!(fixture.request(&post("/stream/", &long)).await, ends_with("data: 1\n\n"));
        expect_that!(fixture.request(&post("/stream/", "short")).await, ends_with("data: 2\n\n"));
    });
}
