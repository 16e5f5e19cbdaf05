//! Callers of the own interface that use their connections until the instance has exited.

use crate::support::{PATIENCE, Site, TRUCK_KEY};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Layout, eventually};
use lycheehub_standin::endpoint::Options;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long callers wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the head and the body of a response; `None` if it is not whole.
fn read_response(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

/// Sends requests until no connection can be opened, with a pause before each; returns how many got no
/// response.
fn use_connections(address: &str, pause: Duration) -> u32 {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("set");
        let mut keeps_alive = true;
        while keeps_alive {
            std::thread::sleep(pause);
            let request = "POST /v1/services/invoices/1 HTTP/1.1\r\nHost: salto.example\r\n\
                           Content-Length: 3\r\n\r\npay";
            let sent = stream.write_all(request.as_bytes());
            let response = sent.ok().and_then(|()| read_response(&mut stream));
            unanswered += u32::from(response.is_none());
            keeps_alive = response.is_some_and(|head| !head.contains("connection: close"));
        }
    }
    unanswered
}

// The process exited with its connections open once nothing was in progress.
#[test]
fn a_request_on_an_open_connection_of_a_stopping_instance_gets_a_response() {
    let mut site = Site::start("stops-open-connections", &Layout::default());
    let address = site.cluster.instances[0].http.clone();
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let address = address.clone();
            std::thread::spawn(move || {
                use_connections(&address, Duration::from_millis(20 + number * 30))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(700));
    site.cluster.signal(0, "TERM");
    assert_eq!(site.cluster.wait_exit(0, PATIENCE), Some(0));
    let unanswered: u32 = callers.into_iter().map(|caller| caller.join().expect("caller")).sum();
    assert_eq!(unanswered, 0);
}

// A request in progress at the stop timeout was cut without a response.
#[test]
fn a_request_in_progress_at_the_stop_timeout_is_told_that_it_may_have_run() {
    let limits = "drain_ms = 200\nstop_timeout_ms = 1000\n".to_owned();
    let mut site = Site::start("stops-timeout", &Layout { limits, ..Layout::default() });
    site.add(Options { token_ms: 100.0, ..Options::default() });
    let address = site.cluster.instances[0].http.clone();
    let caller = std::thread::spawn(move || {
        let call = Call::chat("label-writer", "late", 200, false).key(TRUCK_KEY);
        smol::block_on(send(&address, &call)).ok()
    });
    assert!(eventually(PATIENCE, || site.endpoints[0].running() > 0));
    site.cluster.signal(0, "TERM");
    let reply = caller.join().expect("caller").expect("a response");
    assert_eq!((reply.status, reply.code().as_deref()), (502, Some("outcome_unknown")));
}
