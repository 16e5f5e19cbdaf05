//! The log output of an instance under load.

use crate::deployment::{Deployment, FRONT_PORT, Layout, eventually};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::time::Duration;

/// What a pipe takes in one write.
const WRITE_MAX_BYTES: usize = 4_096;
/// Requests that end together: no document is known, and each waits for one for the same time.
const REQUESTS: usize = 64;

// A batch was written at once, and a reader that took its first 8,192 bytes lost the lines behind them.
#[gtest]
fn lines_that_are_written_together_are_whole_in_each_write() {
    let layout = Layout { controls: 1, entries: 1, losses: 0, proxied: false };
    let (output, writes) = UnixDatagram::pair().unwrap();
    writes.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut deployment = Deployment::lay_out(layout);
    deployment.entries[0].start_writing(true, OwnedFd::from(output).into());
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    eventually("the instance accepts", || TcpStream::connect(&address).is_ok());
    let request = "GET /print/1 HTTP/1.1\r\nHost: crates.example\r\n\r\n";
    let send = |_| {
        let mut caller = TcpStream::connect(&address).unwrap();
        caller.write_all(request.as_bytes()).unwrap();
        caller
    };
    let callers = (0..REQUESTS).map(send).collect::<Vec<_>>();
    let mut lines = 0;
    while lines < REQUESTS {
        let mut bytes = vec![0; 1024 * 1024];
        let length = writes.recv(&mut bytes).unwrap();
        let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
        expect_that!(length, le(WRITE_MAX_BYTES));
        expect_that!(text, ends_with("\n"));
        lines += text.lines().filter(|line| line.contains(r#""payload":"request""#)).count();
    }
    drop(callers);
}

// A connection that its caller closed between requests left no line, and a `request` line did not tell on
// which connection it came.
#[gtest]
fn the_requests_and_the_end_of_a_connection_are_logged_with_its_caller() {
    let layout = Layout { controls: 1, entries: 1, losses: 0, proxied: false };
    let mut deployment = Deployment::lay_out(layout);
    deployment.entries[0].start(true);
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    eventually("the instance accepts", || TcpStream::connect(&address).is_ok());
    let mut caller = TcpStream::connect(&address).unwrap();
    let local = caller.local_addr().unwrap().to_string();
    let request = "GET /print/1 HTTP/1.1\r\nHost: crates.example\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    let lines = || -> Vec<Value> {
        let log = std::fs::read_to_string(deployment.entries[0].log()).unwrap_or_default();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["kv"]["caller"] == local.as_str()).collect()
    };
    eventually("the request is logged", || lines().len() == 1);
    drop(caller);
    eventually("the end is logged", || lines().len() == 2);
    let (request, end) = (&lines()[0], &lines()[1]);
    expect_that!(request["payload"], eq(&json!("request")));
    expect_that!(request["kv"]["keeps_alive"], eq(&json!(true)));
    expect_that!(end["payload"], eq(&json!("connection closed by its caller")));
    expect_that!(end["kv"]["requests"], eq(&json!(1)));
    expect_that!(end["kv"]["connection"], eq(&request["kv"]["connection"]));
}

// A caller's id made a line as long as itself, more than one write takes.
#[gtest]
fn a_line_with_a_long_id_is_whole_and_no_longer_than_a_write() {
    const ID_BYTES: usize = 12_000;
    let layout = Layout { controls: 1, entries: 1, losses: 0, proxied: false };
    let mut deployment = Deployment::lay_out(layout);
    deployment.entries[0].start(true);
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    eventually("the instance accepts", || TcpStream::connect(&address).is_ok());
    let id = "\u{e9}".repeat(ID_BYTES / 2);
    let request =
        format!("GET /print/1 HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n\r\n");
    let mut caller = TcpStream::connect(&address).unwrap();
    caller.write_all(request.as_bytes()).unwrap();
    let lines = || -> Vec<String> {
        let log = std::fs::read_to_string(deployment.entries[0].log()).unwrap_or_default();
        let is_request = |line: &&str| line.contains(r#""payload":"request""#);
        log.lines().filter(is_request).map(str::to_owned).collect()
    };
    eventually("the request is logged", || lines().len() == 1);
    let line = &lines()[0];
    expect_that!(line.len(), lt(WRITE_MAX_BYTES));
    let fields = &serde_json::from_str::<Value>(line).unwrap()["kv"];
    let logged = fields["id"].as_str().unwrap();
    expect_that!(id, starts_with(logged.trim_end_matches('…')));
    expect_that!(logged.len(), gt(1_000));
    expect_that!(fields["end"], not(eq(&Value::Null)));
    expect_that!(fields["keeps_alive"], not(eq(&Value::Null)));
}

// Lines that callers cause filled the buffer, since the output was not read or there were many within a tenth of a
// second, and the lines that the instance stops and has stopped were dropped.
#[gtest]
fn that_an_instance_stops_is_logged_although_lines_of_requests_are_dropped() {
    // Each line is nearly as long as one may be; together they are twice the buffer.
    const REQUESTS: usize = 128;
    const ID_BYTES: usize = 12_000;
    let layout = Layout { controls: 1, entries: 1, losses: 0, proxied: false };
    let mut deployment = Deployment::lay_out(layout);
    let (mut output, stdout) = std::io::pipe().unwrap();
    deployment.entries[0].start_writing(true, stdout.into());
    let address = format!("{}:{FRONT_PORT}", deployment.entries[0].ip);
    eventually("the instance accepts", || TcpStream::connect(&address).is_ok());
    let id = "x".repeat(ID_BYTES);
    let request = format!(
        "GET /print/1 HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n"
    );
    let send = |_| {
        let mut caller = TcpStream::connect(&address).unwrap();
        caller.write_all(request.as_bytes()).unwrap();
        caller
    };
    let callers = (0..REQUESTS).map(send).collect::<Vec<_>>();
    for mut caller in callers {
        caller.read_to_end(&mut Vec::new()).unwrap();
    }
    deployment.entries[0].signal("TERM");
    // It ends once its log is read; until then it accepts connections, but does not answer.
    eventually("the instance has stopped", || deployment.ready(0) == 0);
    let mut log = String::new();
    output.read_to_string(&mut log).unwrap();
    for message in ["log lines dropped", "stopping: not ready", "stopped"] {
        let is_logged = log.contains(&format!(r#""payload":"{message}""#));
        expect_true!(is_logged, "not logged: {message}");
    }
}
