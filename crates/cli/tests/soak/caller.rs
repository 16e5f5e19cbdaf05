//! Callers that keep connections, leave early now and then, and weigh each answer.

use crate::deployment::FRONT_PORT;
use crate::deployment::http::field;
use crate::endpoint::{event, events_of, plain_body, seal};
use crate::record::{Kind, Record, Sent};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The key of the one client account.
pub const KEY: &str = "key-1";
/// The longest time that a route keeps a plain request waiting, in milliseconds.
pub const PLAIN_TIMEOUT_MS: u64 = 2_000;
/// The same of a stream, in milliseconds.
pub const STREAM_TIMEOUT_MS: u64 = 4_000;
/// How much longer than that a final answer may take.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// How much longer a caller waits than the route's timeout.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How many of a hundred callers leave before their answer.
const LEAVE_SHARE: u32 = 8;

/// What came back for a request.
enum Answer {
    Whole {
        status: u16,
        head: String,
        body: String,
    },
    /// The connection ended before or in the middle of an answer.
    Cut,
    TimedOut,
    Garbled(String),
}

/// A connection to an entry instance, with what was read ahead.
struct Connection {
    stream: TcpStream,
    ahead: Vec<u8>,
}

/// One caller after another, on connections that they keep.
pub struct Caller {
    number: usize,
    entries: Vec<String>,
    record: Arc<Record>,
    random: StdRng,
    connections: BTreeMap<usize, Connection>,
    requests: u64,
}

impl Caller {
    pub fn new(number: usize, entries: Vec<String>, record: Arc<Record>, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
        Self { number, entries, record, random, connections: BTreeMap::new(), requests: 0 }
    }

    /// Sends requests until it is told to stop.
    pub fn run(mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            let entry = self.pick(self.entries.len() as u32) as usize;
            let is_served = self.ask(entry);
            // A caller that was not served waits before it comes again.
            let pause_ms = if is_served { 5 + self.pick(20) } else { 50 + self.pick(100) };
            std::thread::sleep(Duration::from_millis(u64::from(pause_ms)));
        }
    }

    fn pick(&mut self, below: u32) -> u32 {
        self.random.next_u32() % below.max(1)
    }

    /// Sends one request; tells whether it was served.
    pub fn ask(&mut self, entry: usize) -> bool {
        self.requests += 1;
        let id = format!("c{}-{}", self.number, self.requests);
        let (kind, method, prefix) = match self.pick(4) {
            0 => (Kind::Safe, "GET", "/look"),
            1 => (Kind::Unsafe, "POST", "/print"),
            2 => (Kind::Stream, "POST", "/draft"),
            _ => (Kind::ResumableStream, "POST", "/tell"),
        };
        let timeout_ms = if kind.is_stream() { STREAM_TIMEOUT_MS } else { PLAIN_TIMEOUT_MS };
        let path = format!("{prefix}/{id}?copies={}", self.pick(9));
        let body = if kind == Kind::Safe { String::new() } else { format!("label {id}") };
        let Some(mut connection) = self.connection(entry) else {
            self.record.count("connections that were not made");
            return false;
        };
        let at = Instant::now();
        let sent = Sent { kind, entry, method, path: path.clone(), body: body.clone(), at };
        self.record.sent(&id, sent);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {}\r\nX-Api-Key: {KEY}\r\nTenant: forged\r\nContent-Length: {}\r\n\r\n\
             {body}",
            timeout_ms + 1_000,
            body.len()
        );
        if connection.stream.write_all(request.as_bytes()).is_err() {
            self.record.count("requests that were not written");
            return false;
        }
        if self.pick(100) < LEAVE_SHARE {
            let stays_ms = u64::from(self.pick(60));
            self.leave(&id, &connection, stays_ms);
            return true;
        }
        let timeout = Duration::from_millis(timeout_ms);
        let answer = connection.read_answer(at + timeout + PATIENCE);
        self.weigh_time(entry, at, timeout);
        let is_kept = matches!(&answer, Answer::Whole { head, .. } if !closes(head));
        let is_served = self.weigh(&id, kind, &body, answer);
        if is_kept {
            self.connections.insert(entry, connection);
        }
        is_served
    }

    fn leave(&self, id: &str, connection: &Connection, stays_ms: u64) {
        std::thread::sleep(Duration::from_millis(stays_ms));
        // The instance may have closed it already.
        let _ = connection.stream.shutdown(Shutdown::Both);
        self.record.left(id);
        self.record.count("callers that left");
    }

    /// Returns the connection that was kept, if it is still good, or a new one.
    fn connection(&mut self, entry: usize) -> Option<Connection> {
        if let Some(kept) = self.connections.remove(&entry) {
            match kept.is_quiet() {
                Ok(true) => return Some(kept),
                Ok(false) => {}
                Err(bytes) => {
                    self.record.finding(format!("MIXED: bytes with no request waiting: {bytes:?}"))
                }
            }
        }
        let address: SocketAddr = format!("{}:{FRONT_PORT}", self.entries[entry]).parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        Some(Connection { stream, ahead: Vec::new() })
    }

    fn weigh_time(&self, entry: usize, at: Instant, timeout: Duration) {
        if at.elapsed() < timeout || !self.record.is_in_touch(entry, at) {
            return;
        }
        self.record.unanswered_in_time(at.elapsed() > timeout + TIMEOUT_SLACK);
    }

    /// Weighs an answer; tells whether it is a success.
    fn weigh(&self, id: &str, kind: Kind, sent_body: &str, answer: Answer) -> bool {
        match answer {
            Answer::Cut => {
                self.record.cut(id);
                self.record.count("cut");
            }
            Answer::TimedOut => self.record.count("without an answer"),
            Answer::Garbled(what) => {
                self.record.finding(format!("MIXED: {id}: no answer in the protocol: {what}"));
            }
            Answer::Whole { status: 200, head, body } => {
                self.record.count("served");
                self.weigh_success(id, kind, sent_body, &head, &body);
                return true;
            }
            Answer::Whole { status: status @ (408 | 421 | 429 | 503), head, .. } => {
                self.record.count("refused");
                self.record.promised(id, status);
                if field(&head, "retry-after").is_none() && status != 421 {
                    self.record.finding(format!("{id}: {status} without Retry-After"));
                }
            }
            Answer::Whole { status: status @ 300..=499, head, .. } => {
                self.record.finding(format!("DENIED: {id} answered {status}: {head}"));
            }
            Answer::Whole { .. } => self.record.count("failed"),
        }
        false
    }

    fn weigh_success(&self, id: &str, kind: Kind, sent_body: &str, head: &str, body: &str) {
        let sealed = if kind.is_stream() { "" } else { sent_body };
        let expected = if kind.is_stream() {
            (1..=events_of(id)).map(|number| event(id, number)).collect()
        } else {
            plain_body(id, sent_body)
        };
        if field(head, "response-seal") != Some(seal(id, sealed)) || body != expected {
            let rule = if kind.is_stream() { "ORDER" } else { "MIXED" };
            self.record.finding(format!("{rule}: {id} answered {head:?} {body:?}"));
        }
    }
}

impl Connection {
    /// Tells whether the connection is open; fails with the bytes that came though none are due.
    fn is_quiet(&self) -> Result<bool, Vec<u8>> {
        if !self.ahead.is_empty() {
            return Err(self.ahead.clone());
        }
        let mut buffer = [0; 64];
        if self.stream.set_nonblocking(true).is_err() {
            return Ok(false);
        }
        let peeked = self.stream.peek(&mut buffer);
        let is_open = self.stream.set_nonblocking(false).is_ok();
        match peeked {
            Ok(0) => Ok(false),
            Ok(count) => Err(buffer[..count].to_vec()),
            Err(error) => Ok(is_open && error.kind() == ErrorKind::WouldBlock),
        }
    }

    fn read_answer(&mut self, until: Instant) -> Answer {
        match self.read_whole(until) {
            Ok(answer) => answer,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Answer::TimedOut
            }
            Err(error) if error.kind() == ErrorKind::InvalidData => {
                Answer::Garbled(error.to_string())
            }
            Err(_) => Answer::Cut,
        }
    }

    fn read_whole(&mut self, until: Instant) -> std::io::Result<Answer> {
        let head = self.read_until(b"\r\n\r\n", until)?;
        let invalid = || std::io::Error::new(ErrorKind::InvalidData, head.clone());
        let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
        let status: u16 = status.and_then(|text| text.parse().ok()).ok_or_else(invalid)?;
        let mut body = String::new();
        if field(&head, "transfer-encoding").is_some() {
            loop {
                let size = self.read_until(b"\r\n", until)?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid())?;
                let piece = self.read_exact(size + 2, until)?;
                if size == 0 {
                    break;
                }
                body.push_str(&piece[..size]);
            }
        } else {
            let length = field(&head, "content-length").ok_or_else(invalid)?;
            body = self.read_exact(length.parse().map_err(|_| invalid())?, until)?;
        }
        Ok(Answer::Whole { status, head, body })
    }

    fn read_until(&mut self, end: &[u8], until: Instant) -> std::io::Result<String> {
        loop {
            let found = self.ahead.windows(end.len()).position(|window| window == end);
            if let Some(at) = found {
                return Ok(self.take(at + end.len()));
            }
            self.read_more(until)?;
        }
    }

    fn read_exact(&mut self, count: usize, until: Instant) -> std::io::Result<String> {
        while self.ahead.len() < count {
            self.read_more(until)?;
        }
        Ok(self.take(count))
    }

    fn take(&mut self, count: usize) -> String {
        let taken: Vec<u8> = self.ahead.drain(..count).collect();
        String::from_utf8_lossy(&taken).into_owned()
    }

    fn read_more(&mut self, until: Instant) -> std::io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }
}

fn closes(head: &str) -> bool {
    field(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
