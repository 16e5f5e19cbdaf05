//! Documents that change while a request is in progress: it keeps what held when it was received.

use crate::support::{Fixture, document, get, post, read_all, read_request, run, sleep_ms, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_routes::{AccountSpec, ClientLimits, Document};

/// How long an endpoint and a decision take in these tests, in milliseconds: less than the time after which
/// a response counts as stalled.
const RESPONSE_MS: u64 = 200;

/// Adds an endpoint that responds after a while: with one event to streams, else with `ok`.
async fn add_slow_endpoint(fixture: &Fixture) {
    fixture
        .add_endpoint(|mut stream, _| async move {
            while let Some(request) = read_request(&mut stream).await {
                sleep_ms(RESPONSE_MS).await;
                let response = if request.starts_with("GET /stream/") {
                    "HTTP/1.1 200 OK\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
                } else {
                    "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok"
                };
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        })
        .await;
}

/// Documents under which the requests of these tests would be refused or end early.
fn forbidding_documents() -> Vec<Document> {
    let current = document();
    let mut short_timeouts = current.clone();
    short_timeouts.routes.iter_mut().for_each(|route| route.timeout_ms = 1);
    let mut keys_needed = current.clone();
    keys_needed.routes.iter_mut().for_each(|route| route.anonymous = false);
    keys_needed.accounts = vec![AccountSpec {
        regions: vec![],
        name: "harbour".into(),
        keys: vec!["other".into()],
        tier: None,
        quota: None,
    }];
    let nothing_allowed = ClientLimits {
        head_max_bytes: 1,
        body_max_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    vec![
        Document { routes: Vec::new(), services: Vec::new(), ..current.clone() },
        short_timeouts,
        keys_needed,
        Document { limits: nothing_allowed, ..current },
    ]
}

#[gtest]
fn a_request_at_its_endpoint_is_answered_although_a_document_would_refuse_it() {
    for forbidding in forbidding_documents() {
        for request in [get("/safe/"), post("/unsafe/", "pay"), stream("/stream/")] {
            let forbidding = forbidding.clone();
            run(|fixture| async move {
                add_slow_endpoint(&fixture).await;
                let mut caller = fixture.connect().await;
                caller.write_all(request.as_bytes()).await.unwrap();
                sleep_ms(RESPONSE_MS / 2).await;
                fixture.set_document(forbidding);
                expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
            });
        }
    }
}

#[gtest]
fn a_request_that_waits_for_its_endpoint_is_answered_although_a_document_would_refuse_it() {
    for forbidding in forbidding_documents() {
        run(|fixture| async move {
            add_slow_endpoint(&fixture).await;
            fixture.placement.decides_after_ms.set(RESPONSE_MS);
            let mut caller = fixture.connect().await;
            caller.write_all(get("/safe/").as_bytes()).await.unwrap();
            sleep_ms(RESPONSE_MS / 2).await;
            fixture.set_document(forbidding);
            fixture.set_document(Document::default());
            expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
        });
    }
}

/// Sends a request that `newer` comes into force in the middle of; returns the response.
async fn request_across(fixture: &Fixture, newer: Document) -> String {
    let request = post("/unsafe/", "pay");
    let (first, second) = request.split_at(request.len() - 2);
    let mut caller = fixture.connect().await;
    caller.write_all(first.as_bytes()).await.unwrap();
    sleep_ms(100).await;
    fixture.set_document(newer);
    caller.write_all(second.as_bytes()).await.unwrap();
    read_all(&mut caller).await
}

#[gtest]
fn a_request_whose_body_is_under_way_keeps_the_limits_under_which_it_began() {
    run(|fixture| async move {
        add_slow_endpoint(&fixture).await;
        let limits = ClientLimits { body_max_bytes: 1, ..ClientLimits::default() };
        let response = request_across(&fixture, Document { limits, ..document() }).await;
        expect_that!(response, starts_with("HTTP/1.1 200 "));
    });
}

// The routes are those of the newest document when the request is whole: a route, key or account that was
// dropped while it arrived is not used any more.
#[gtest]
fn a_request_whose_route_is_dropped_while_it_arrives_is_refused() {
    run(|fixture| async move {
        add_slow_endpoint(&fixture).await;
        let response =
            request_across(&fixture, Document { routes: Vec::new(), ..document() }).await;
        expect_that!(response, starts_with("HTTP/1.1 404 "));
    });
}

#[gtest]
fn a_request_that_waits_for_routes_uses_the_document_that_ends_the_wait() {
    run(|fixture| async move {
        add_slow_endpoint(&fixture).await;
        fixture.is_ready.set(false);
        fixture.set_document(Document::default());
        let mut caller = fixture.connect().await;
        caller.write_all(get("/safe/").as_bytes()).await.unwrap();
        sleep_ms(100).await;
        fixture.set_document(document());
        fixture.is_ready.set(true);
        expect_that!(read_all(&mut caller).await, starts_with("HTTP/1.1 200 "));
    });
}
