//! A stand-in for an endpoint that speaks the platform's protocol, and its callers.

use crate::deployment::http::{chunk, field, read_request};
use crate::deployment::{Deployment, FRONT_PORT, Reply, call};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a request may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request on the route `press` runs: too short to count as stalled.
const PRESS_TIME: Duration = Duration::from_millis(200);

static REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Announces the first endpoint.
pub fn announce(
    deployment: &Deployment,
    place: usize,
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    announce_as(deployment, place, ("i-1", "v1"), endpoint, sequence, state)
}

/// Announces an endpoint of this name and version.
pub fn announce_as(
    deployment: &Deployment,
    place: usize,
    (name, version): (&str, &str),
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    let body = serde_json::json!({
        "service": "labels", "address": endpoint.address, "zone": "salto", "version": version,
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
    });
    deployment.control(place, "PUT", &format!("/-/instances/{name}"), &body.to_string())
}

/// Sends a caller's request.
pub fn ask(
    deployment: &Deployment,
    place: usize,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Reply {
    ask_as(deployment, place, &next_id(), method, path, key, body)
}

/// Returns an identifier that no request has had.
pub fn next_id() -> String {
    format!("r-{}", REQUESTS.fetch_add(1, Ordering::Relaxed))
}

/// Sends a caller's request under this identifier.
pub fn ask_as(
    deployment: &Deployment,
    place: usize,
    id: &str,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[place].ip);
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 5000\r\nX-Api-Key: {key}\r\nTenant: forged\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    call(&address, &request, CALL_TIMEOUT).unwrap_or_default()
}

/// What an endpoint has seen.
#[derive(Default)]
struct Seen {
    last_request: Mutex<String>,
    running: AtomicU32,
    most_at_once: AtomicU32,
    count: AtomicU32,
    /// How often each request was run, by its identifier.
    runs: Mutex<BTreeMap<String, u32>>,
    /// Answers each request with a failure.
    is_failing: AtomicBool,
}

/// A stand-in for an endpoint.
pub struct Endpoint {
    pub address: String,
    seen: Arc<Seen>,
}

impl Endpoint {
    pub fn start(deployment: &Deployment) -> Self {
        let listener = TcpListener::bind(format!("{}.60:0", deployment.prefix)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Seen::default());
        let note = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, note) = (stream.unwrap(), note.clone());
                std::thread::spawn(move || serve(stream, &note));
            }
        });
        Self { address, seen }
    }

    pub fn last_request(&self) -> String {
        self.seen.last_request.lock().unwrap().clone()
    }

    /// Returns how many requests it has run.
    pub fn count(&self) -> u32 {
        self.seen.count.load(Ordering::Relaxed)
    }

    /// Returns how often it has run a request.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.seen.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Lets it fail from now on.
    pub fn fail(&self) {
        self.seen.is_failing.store(true, Ordering::Relaxed);
    }

    /// Returns how many requests ran at once, at most.
    pub fn most_at_once(&self) -> u32 {
        self.seen.most_at_once.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, seen: &Seen) {
    while let Some((head, body)) = read_request(&mut stream) {
        *seen.last_request.lock().unwrap() = head.clone();
        let running = seen.running.fetch_add(1, Ordering::Relaxed) + 1;
        seen.most_at_once.fetch_max(running, Ordering::Relaxed);
        let id = field(&head, "request-id").unwrap_or_default();
        seen.count.fetch_add(1, Ordering::Relaxed);
        *seen.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        if seen.is_failing.load(Ordering::Relaxed) {
            seen.running.fetch_sub(1, Ordering::Relaxed);
            let answer = format!(
                "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if head.contains(" /print/full") {
            seen.running.fetch_sub(1, Ordering::Relaxed);
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let seal = if head.contains(" /print/leaving") {
            "Response-Seal: seal-1\r\nServer-Leaving: 1"
        } else {
            "Response-Seal: seal-1"
        };
        if head.contains(" /print/lost") {
            return;
        }
        if head.contains(" /print/slow") {
            std::thread::sleep(Duration::from_secs(1));
        }
        if head.contains(" /press/") {
            std::thread::sleep(PRESS_TIME);
        }
        seen.running.fetch_sub(1, Ordering::Relaxed);
        let answer = if head.contains(" /draft/") {
            let events: String =
                (1..=3).map(|n| chunk(&format!("id: {n}\ndata: word\n\n"))).collect();
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{seal}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                 {events}0\r\n\r\n"
            )
        } else {
            let body = format!("printed {body}");
            let length = body.len();
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{seal}\r\nContent-Length: {length}\r\n\r\n\
                 {body}"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
