//! A connection to an endpoint whose host is gone ends without a word of the endpoint.

use crate::support::{get, read_request, run, sleep_ms};
use googletest::prelude::*;
use lycheehub_net::keep_alive;
use lycheehub_proxy::http1::Error;
use lycheehub_proxy::pool;
use rustix::net::sockopt;
use smol::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

/// The longest silence of a sound endpoint, in milliseconds.
const SILENCE_MAX_MS: u64 = 2_000;

#[gtest]
fn a_connection_whose_peer_is_gone_without_a_word_is_found_out() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let stream = pool::connect(&address, 1_000).await.unwrap();
        expect_that!(sockopt::socket_keepalive(&stream).unwrap(), eq(true));
        let interval = sockopt::tcp_keepintvl(&stream).unwrap();
        let idle = sockopt::tcp_keepidle(&stream).unwrap();
        // A new start at the address resets the connection at the next probe.
        expect_that!(interval, le(Duration::from_millis(1_000)));
        expect_that!(idle, le(Duration::from_millis(1_000)));
        let probes_ms = (idle + interval * sockopt::tcp_keepcnt(&stream).unwrap()).as_millis();
        keep_alive::require_confirmation(&stream, 500).unwrap();
        let sent_ms = sockopt::tcp_user_timeout(&stream).unwrap();
        for bound_ms in [probes_ms as u64, sent_ms.into()] {
            expect_that!(bound_ms, all!(ge(2 * SILENCE_MAX_MS), le(3 * SILENCE_MAX_MS)));
        }
    });
}

/// Returns whether the operating system probes the open connections from or to a port.
fn is_probed(port: u16) -> bool {
    // The state "established", and the timer of probes.
    const ESTABLISHED: &str = "01";
    const PROBES: &str = "02:";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!(":{port:04X}");
    let mut rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row[2].ends_with(&remote) && row[3] == ESTABLISHED && row[5].starts_with(PROBES))
}

#[gtest]
fn a_connection_on_which_a_response_is_awaited_is_probed() {
    run(|fixture| async move {
        let port = Rc::new(Cell::new(0));
        let recorder = port.clone();
        let script = move |mut stream: TcpStream, _| {
            recorder.set(stream.local_addr().unwrap().port());
            async move {
                read_request(&mut stream).await;
                smol::future::pending().await
            }
        };
        fixture.add_endpoint(script).await;
        let probed = async {
            while !is_probed(port.get()) {
                sleep_ms(10).await;
            }
            true
        };
        let answered = async {
            fixture.request(&get("/unsafe/")).await;
            false
        };
        expect_that!(smol::future::or(probed, answered).await, eq(true));
    });
}

#[gtest]
fn a_host_that_does_not_respond_is_no_evidence_of_a_crash() {
    let is_lost = |kind: ErrorKind| Error::from(io::Error::from(kind)).is_connection_lost();
    for kind in [ErrorKind::TimedOut, ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable] {
        expect_that!(is_lost(kind), eq(false), "{kind}");
    }
    expect_that!(is_lost(ErrorKind::ConnectionReset), eq(true));
}
