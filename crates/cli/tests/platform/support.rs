//! A stand-in endpoint that speaks the platform's protocol, and functions that send requests as
//! endpoints and callers do.

use crate::deployment::http::{chunk, field, read_request};
use crate::deployment::{Deployment, FRONT_PORT, Reply, StopOnDrop, call, control_call};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a caller waits for a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request on the route `press` runs: too short for the endpoint to count as stalled.
const PRESS_DURATION: Duration = Duration::from_millis(200);

/// How long a request on a route `hold` runs: longer than any stop lasts.
const HOLD_DURATION: Duration = Duration::from_secs(10);

/// The interval between the events of a long stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The number of events of a long stream, which lasts for 3.5 seconds.
const LONG_STREAM_EVENTS: u32 = 35;

static REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Numbers the announcements under load; `start_deployment` sends the first one.
static SEQUENCE: AtomicU64 = AtomicU64::new(2);

/// Announces the endpoint as `i-1` of version `v1`.
pub fn announce(
    deployment: &Deployment,
    place: usize,
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    announce_as(deployment, place, ("i-1", "v1"), endpoint, sequence, state)
}

/// Announces the endpoint under this name and version.
pub fn announce_as(
    deployment: &Deployment,
    place: usize,
    identity: (&str, &str),
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    announce_at(&deployment.controls[place].ip, identity, endpoint, sequence, state)
}

/// Announces the endpoint at the control instance with this address.
pub fn announce_at(
    control_ip: &str,
    identity: (&str, &str),
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    announce_in(control_ip, "salto", identity, endpoint, sequence, state)
}

/// Announces the endpoint as one in this failure domain.
pub fn announce_in(
    control_ip: &str,
    domain: &str,
    (name, version): (&str, &str),
    endpoint: &Endpoint,
    sequence: u64,
    state: &str,
) -> Reply {
    let body = serde_json::json!({
        "service": "labels", "address": endpoint.address, "zone": domain, "version": version,
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
    });
    let path = format!("/-/instances/{name}");
    control_call(control_ip, "PUT", &path, &body.to_string(), CALL_TIMEOUT)
}

/// Sends a caller's request under a new identifier.
pub fn send_request(
    deployment: &Deployment,
    place: usize,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Reply {
    send_request_as(deployment, place, &next_id(), method, path, key, body)
}

/// Returns an unused request identifier.
pub fn next_id() -> String {
    format!("r-{}", REQUESTS.fetch_add(1, Ordering::Relaxed))
}

/// Sends a caller's request under this identifier.
pub fn send_request_as(
    deployment: &Deployment,
    place: usize,
    id: &str,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Reply {
    let address = format!("{}:{FRONT_PORT}", deployment.entries[place].ip);
    send_request_to(&address, id, method, path, key, body)
}

/// Sends a caller's request to the entry instance at this address.
pub fn send_request_to(
    address: &str,
    id: &str,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Reply {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 5000\r\nX-Api-Key: {key}\r\nTenant: forged\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    call(address, &request, CALL_TIMEOUT).unwrap_or_default()
}

/// The requests that callers send one after the other.
#[derive(Clone, Copy)]
pub struct Load {
    pub path: &'static str,
    pub callers_per_entry: usize,
}

/// Sends requests through all entry instances for `duration`, while `act` runs and the endpoint announces
/// itself.
pub fn send_load(
    deployment: &Deployment,
    endpoint: &Endpoint,
    load: Load,
    duration: Duration,
    act: impl FnOnce(),
) {
    let is_stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&is_stopped);
        scope.spawn(|| {
            while !is_stopped.load(Ordering::Relaxed) {
                let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
                (0..deployment.controls.len()).any(|control| {
                    let name = ("i-1", "v1");
                    let reply = announce_as(deployment, control, name, endpoint, sequence, "ready");
                    reply.status == 200
                });
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        for caller in 0..load.callers_per_entry * deployment.entries.len() {
            let (entry, is_stopped) = (caller % deployment.entries.len(), &is_stopped);
            scope.spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    send_request(deployment, entry, "GET", load.path, "key-1", "");
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let started = Instant::now();
        act();
        std::thread::sleep(duration.saturating_sub(started.elapsed()));
    });
}

/// Returns the most of these times that are within any window.
pub fn most_in_window(times: &[Instant], window: Duration) -> usize {
    let in_window = |first: &Instant| {
        let window = *first..*first + window;
        times.iter().filter(|time| window.contains(*time)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// What an endpoint records about its requests, and whether it fails them.
#[derive(Default)]
struct EndpointState {
    last_request: Mutex<String>,
    running: AtomicU32,
    max_concurrent: AtomicU32,
    count: AtomicU32,
    /// How often each request has run, by its identifier.
    runs: Mutex<BTreeMap<String, u32>>,
    /// Whether the endpoint fails all requests with status 500.
    is_failing: AtomicBool,
    /// The limit that the endpoint names in its replies, in requests per second.
    limit_per_s: Mutex<Option<f64>>,
    /// The requests per second that the endpoint says it can reject; 0 if it says nothing.
    brittle_per_s: AtomicU32,
    /// How many requests it runs at once before it rejects some; 0 if it rejects none.
    room: AtomicU32,
    /// When it rejected requests for want of room.
    rejections: Mutex<Vec<Instant>>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
}

/// A stand-in endpoint.
pub struct Endpoint {
    pub address: String,
    state: Arc<EndpointState>,
}

impl Endpoint {
    pub fn start(deployment: &Deployment) -> Self {
        let listener = TcpListener::bind(format!("{}.60:0", deployment.prefix)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(EndpointState::default());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, state) = (stream.unwrap(), shared.clone());
                std::thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    pub fn last_request(&self) -> String {
        self.state.last_request.lock().unwrap().clone()
    }

    /// Returns how many requests it has received.
    pub fn count(&self) -> u32 {
        self.state.count.load(Ordering::Relaxed)
    }

    /// Returns how often it has received the request with this identifier.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.state.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Makes it fail all requests from now on.
    pub fn fail_requests(&self) {
        self.state.is_failing.store(true, Ordering::Relaxed);
    }

    /// Makes it name this limit in its replies from now on, or none.
    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        *self.state.limit_per_s.lock().unwrap() = limit_per_s;
    }

    /// Makes it say in its replies that it fails if it must reject more requests a second.
    pub fn set_brittle(&self, rejections_per_s: u32) {
        self.state.brittle_per_s.store(rejections_per_s, Ordering::Relaxed);
    }

    /// Makes it reject requests while so many run.
    pub fn set_room(&self, room: u32) {
        self.state.room.store(room, Ordering::Relaxed);
    }

    /// Returns when it rejected requests for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.state.rejections.lock().unwrap().clone()
    }

    /// Returns when its requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.lock().unwrap().clone()
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn max_concurrent(&self) -> u32 {
        self.state.max_concurrent.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, state: &EndpointState) {
    while let Some((head, body)) = read_request(&mut stream) {
        *state.last_request.lock().unwrap() = head.clone();
        let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
        state.max_concurrent.fetch_max(running, Ordering::Relaxed);
        let id = field(&head, "request-id").unwrap_or_default();
        state.count.fetch_add(1, Ordering::Relaxed);
        *state.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        state.arrivals.lock().unwrap().push(Instant::now());
        let brittle = match state.brittle_per_s.load(Ordering::Relaxed) {
            0 => String::new(),
            per_s => format!("\r\nServer-Brittle: {per_s}"),
        };
        let room = state.room.load(Ordering::Relaxed);
        if room > 0 && running > room {
            state.running.fetch_sub(1, Ordering::Relaxed);
            state.count.fetch_sub(1, Ordering::Relaxed);
            state.rejections.lock().unwrap().push(Instant::now());
            let reply = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}{brittle}\r\n\
                 Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if state.is_failing.load(Ordering::Relaxed) {
            state.running.fetch_sub(1, Ordering::Relaxed);
            let reply = format!(
                "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if head.contains(" /print/full") {
            state.running.fetch_sub(1, Ordering::Relaxed);
            let reply = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let mut fields = format!("Response-Seal: seal-1{brittle}");
        if head.contains(" /print/leaving") {
            fields.push_str("\r\nServer-Leaving: 1");
        }
        let names_limit = !head.contains(" /print/unnamed");
        if let Some(limit_per_s) = state.limit_per_s.lock().unwrap().filter(|_| names_limit) {
            fields.push_str(&format!("\r\nServer-Limit: {limit_per_s}"));
        }
        if head.contains(" /print/lost") {
            return;
        }
        if head.contains(" /print/slow") {
            std::thread::sleep(Duration::from_secs(1));
        }
        if head.contains(" /press/") {
            std::thread::sleep(PRESS_DURATION);
        }
        if head.contains(" /hold/") {
            std::thread::sleep(HOLD_DURATION);
        }
        if head.contains(" /draft/long") {
            let is_sent = send_long_stream(&mut stream, &id, &fields).is_ok();
            state.running.fetch_sub(1, Ordering::Relaxed);
            if !is_sent {
                return;
            }
            continue;
        }
        state.running.fetch_sub(1, Ordering::Relaxed);
        let reply = if head.contains(" /draft/") {
            let events: String =
                (1..=3).map(|n| chunk(&format!("id: {n}\ndata: word\n\n"))).collect();
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{fields}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                 {events}0\r\n\r\n"
            )
        } else {
            let body = format!("printed {body}");
            let length = body.len();
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{fields}\r\nContent-Length: {length}\r\n\r\n\
                 {body}"
            )
        };
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a stream of one event per [`EVENT_INTERVAL`].
fn send_long_stream(stream: &mut TcpStream, id: &str, fields: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{fields}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for n in 1..=LONG_STREAM_EVENTS {
        stream.write_all(chunk(&format!("id: {n}\ndata: word\n\n")).as_bytes())?;
        std::thread::sleep(EVENT_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")
}
