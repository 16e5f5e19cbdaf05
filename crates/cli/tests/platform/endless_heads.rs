//! Bytes without end where the head of a request is due, on each port that reads HTTP.

use crate::deployment::{CONTROL_PORT, Deployment, FRONT_PORT, Process, READY_PORT, eventually};
use crate::start_deployment;
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// The port of the metrics.
const METRICS_PORT: u16 = 9464;
/// How much is sent on a connection, unless it is closed before.
const SENT_BYTES: usize = 64 * 1024 * 1024;
/// How much more memory a process may use for it: the longest document.
const KEPT_MAX_BYTES: u64 = 8 * 1024 * 1024;
/// How long a write may wait for a process that reads no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to a process that may still be starting.
fn connect(ip: &str, port: u16) -> TcpStream {
    let mut stream = None;
    eventually("the port is open", || {
        stream = TcpStream::connect((ip, port)).ok();
        stream.is_some()
    });
    stream.expect("it is connected")
}

/// Starts the process anew, so that it has no memory to use again, and sends it `start` and then bytes
/// without a line feed; returns how much more memory it uses.
fn kept_bytes(process: &mut Process, port: u16, start: &str) -> u64 {
    process.kill();
    process.start(false);
    let mut stream = connect(&process.ip, port);
    let before = process.memory_used();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    let bytes = vec![b'a'; 64 * 1024];
    let mut sent = stream.write_all(start.as_bytes());
    for _ in 0..SENT_BYTES / bytes.len() {
        if sent.is_err() {
            break;
        }
        sent = stream.write_all(&bytes);
    }
    std::thread::sleep(Duration::from_millis(500));
    // The connection is still open: what was kept of it is still there.
    process.memory_used().saturating_sub(before)
}

/// Guards against a process that runs out of memory by one connection (issue 49, the report).
#[gtest]
fn a_head_without_end_is_bounded_on_every_port() {
    let (mut deployment, _endpoint) = start_deployment();
    let Deployment { controls, entries, .. } = &mut deployment;
    for start in ["", "GET / HTTP/1.1\r\nHost: "] {
        for port in [CONTROL_PORT, METRICS_PORT] {
            let kept = kept_bytes(&mut controls[0], port, start);
            expect_that!(kept, le(KEPT_MAX_BYTES), "control {port} {start:?}");
        }
        for port in [READY_PORT, METRICS_PORT, FRONT_PORT] {
            let kept = kept_bytes(&mut entries[0], port, start);
            expect_that!(kept, le(KEPT_MAX_BYTES), "entry {port} {start:?}");
        }
    }
}
