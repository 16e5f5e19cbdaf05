//! Deadlines that no sound caller sends.

use crate::odd_numbers::ODD_NUMBERS;
use crate::support::{document, get, run};
use googletest::prelude::*;

// A deadline of 2^64-1 ended the process (overflow in debug builds) or its request was refused.
#[gtest]
fn an_endless_deadline_is_a_deadline_beyond_the_routes_timeout() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
            .await;
        for number in ODD_NUMBERS.into_iter().filter(|number| *number != "0") {
            let request = get("/safe/").replace("id: r1", &format!("deadline: {number}\r\nid: r1"));
            let response = fixture.request(&request).await;
            expect_that!(response, starts_with("HTTP/1.1 200 "), "{number}");
        }
    });
}

// All later requests of the route were taken for retries, which get what the others leave.
#[gtest]
fn an_endless_deadline_does_not_mark_the_requests_of_others_as_retries() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
            .await;
        for deadline_ms in ["18446744073709551615", "2000", "1000"] {
            let request =
                get("/safe/").replace("id: r1", &format!("deadline: {deadline_ms}\r\nid: r1"));
            fixture.request(&request).await;
        }
        let returning = fixture.placement.returning.borrow();
        expect_that!(*returning, eq(&[false, false, true]));
    });
}

// The longest deadline under the document before, compared with deadlines cut to the new timeout, made
// each request of the route look like a retry.
#[gtest]
fn a_document_with_a_shorter_timeout_does_not_mark_later_requests_as_retries() {
    run(|fixture| async move {
        fixture
            .add_responding_endpoint("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 0\r\n\r\n")
            .await;
        let request = |deadline_ms: u64| {
            get("/safe/").replace("id: r1", &format!("deadline: {deadline_ms}\r\nid: r1"))
        };
        fixture.request(&request(2_000)).await;
        let mut shorter = document();
        shorter.routes.iter_mut().for_each(|route| route.timeout_ms /= 2);
        fixture.set_document(shorter);
        for deadline_ms in [2_000, 1_000, 500] {
            fixture.request(&request(deadline_ms)).await;
        }
        let returning = fixture.placement.returning.borrow();
        expect_that!(*returning, eq(&[false, false, false, true]));
    });
}
