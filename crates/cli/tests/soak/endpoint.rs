//! Endpoints that record the requests they run, and that fail as model engines do.

use crate::deployment::{control_call, http};
use crate::gate::Gate;
use crate::history::{History, Run, Scope};
use crate::prompts::{Cause, DOWN_TIME};
use lycheehub_standin::proxy::{Mode, Proxy};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use sha2::{Digest, Sha256};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest time that an endpoint works on a request before it replies, in milliseconds.
const WORK_MAX_MS: u32 = 80;
/// How many requests an endpoint runs at once, as it announces.
const SLOTS: usize = 4;
/// How often an endpoint announces itself.
const HEARTBEAT: Duration = Duration::from_millis(600);
/// How long a control instance may take to answer an announcement.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause that an endpoint asks for with `Retry-After`.
const PAUSE: Duration = Duration::from_millis(1_500);
/// After this time without a request an endpoint has dropped a connection without notice; what is sent on
/// it then is not read as a request. Only in calm runs, in which nothing may be lost by it.
const IDLE_DROPPED: Duration = Duration::from_millis(800);
/// The interval between the lines of an endless trailer.
const TRAILER_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between the bytes of a head that is sent slowly.
const HEAD_BYTE_INTERVAL: Duration = Duration::from_millis(4);
/// The pause in the middle of a head.
const HEAD_PAUSE: Duration = Duration::from_secs(1);
/// How long an endpoint still accepts requests after a control instance has acknowledged that it
/// drains.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// The percentages of an endpoint's requests that fail in each way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answered with status 500 after they ran.
    pub failed: u32,
    /// Rejected with `Not-Executed` before they run.
    pub rejected: u32,
    /// Run, after which the connection closes without a reply.
    pub dropped: u32,
    /// Interrupted in the middle of the reply.
    pub interrupted: u32,
    /// Answered twice.
    pub answered_twice: u32,
    /// Answered after a delay.
    pub delayed: u32,
    /// Rejected with `Not-Executed` and a `Retry-After` that asks for a pause.
    pub paused: u32,
    /// Answered with a complete body and an endless trailer.
    pub endless: u32,
    /// Interrupted in the middle of the reply's head.
    pub broken_heads: u32,
}

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Reply,
    Fail,
    Reject,
    Drop,
    Interrupt,
    ReplyTwice,
    Delay,
    Pause,
    Endless,
    BreakHead,
}

/// A stand-in for an endpoint.
pub struct Endpoint {
    pub number: usize,
    pub name: String,
    service: &'static str,
    /// The proxy through which instances reach it.
    pub path: Proxy,
    controls: Vec<String>,
    faults: Mutex<Faults>,
    history: Arc<History>,
    rng: Mutex<StdRng>,
    started_unix_ms: AtomicU64,
    sequence: AtomicU64,
    /// The limit that it names in its replies, in requests per second.
    limit_per_s: Mutex<Option<f64>>,
    /// The requests per second that it says it can reject.
    rejections_per_s: Mutex<Option<usize>>,
    /// The requests that it runs.
    running: AtomicUsize,
    /// The number of its starts; what an earlier start ran has ended.
    starts: AtomicU64,
    /// Closed while it is silent: nothing is read, done or written.
    gate: Gate,
    is_draining: AtomicBool,
    is_down: AtomicBool,
    is_stopped: AtomicBool,
    /// When a control instance first acknowledged that it drains.
    drain_acknowledged: Mutex<Option<Instant>>,
}

impl Endpoint {
    /// Starts an endpoint that listens at `ip`.
    pub fn start(
        number: usize,
        service: &'static str,
        ip: &str,
        controls: Vec<String>,
        history: Arc<History>,
        seed: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).unwrap();
        let path = Proxy::start(&listener.local_addr().unwrap().to_string()).unwrap();
        let endpoint = Arc::new(Self {
            number,
            name: format!("{service}-{number}"),
            service,
            path,
            controls,
            faults: Mutex::default(),
            history,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            started_unix_ms: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            limit_per_s: Mutex::default(),
            rejections_per_s: Mutex::default(),
            running: AtomicUsize::new(0),
            starts: AtomicU64::new(0),
            gate: Gate::default(),
            is_draining: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            drain_acknowledged: Mutex::default(),
        });
        let acceptor = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = acceptor.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let announcer = endpoint.clone();
        std::thread::spawn(move || announcer.announce_periodically());
        endpoint
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Names this limit in its replies from now on, or none.
    pub fn set_limit(&self, per_s: Option<f64>) {
        let mut limit_per_s = self.limit_per_s.lock().unwrap_or_else(PoisonError::into_inner);
        if *limit_per_s != per_s {
            *limit_per_s = per_s;
            self.history.set_limit(self.number, per_s);
        }
    }

    /// Says in its replies from now on that it fails if it must reject more requests a second, or not.
    pub fn set_rejections(&self, per_s: Option<usize>) {
        let mut known = self.rejections_per_s.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != per_s {
            *known = per_s;
            self.history.set_rejections(self.number, per_s);
        }
    }

    /// Returns the header fields that name its limits in the reply to a request.
    fn limit_fields(&self, id: &str) -> String {
        let per_s = *self.rejections_per_s.lock().unwrap_or_else(PoisonError::into_inner);
        let field = per_s.map_or(String::new(), |per_s| format!("Server-Brittle: {per_s}\r\n"));
        self.limit_field(id) + &field
    }

    /// Rejects a request if it lets none wait and all its slots are in use.
    fn rejects(&self, reply: &mut Reply<'_>, id: &str) -> Option<bool> {
        if self.running.load(Ordering::Relaxed) < SLOTS || !self.history.lets_none_wait(self.number)
        {
            return Some(false);
        }
        self.history.add_rejection(self.number, id);
        let head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
        let fields = self.limit_fields(id);
        let rest = format!("Request-Id: {id}\r\n{fields}Content-Length: 0\r\n\r\n");
        reply.write(&format!("{head}{rest}"))?;
        Some(true)
    }

    /// Returns the header field that names its limit in the reply to a request.
    fn limit_field(&self, id: &str) -> String {
        let limit_per_s = *self.limit_per_s.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(per_s) = limit_per_s else { return String::new() };
        self.history.add_limit_told(self.number, id);
        format!("Server-Limit: {per_s}\r\n")
    }

    /// Falls silent with all its connections for a time, and goes on afterwards.
    pub fn be_silent(&self, duration: Duration) {
        self.gate.close();
        self.history.silence_began(self.number);
        std::thread::sleep(duration);
        self.history.silence_ended(self.number);
        self.gate.open();
    }

    /// Stops its announcements and ends what it runs, as a crash does, or starts again.
    pub fn set_crashed(&self, is_crashed: bool) {
        if is_crashed {
            self.starts.fetch_add(1, Ordering::Relaxed);
        } else {
            self.started_unix_ms.store(unix_ms(), Ordering::Relaxed);
            self.sequence.store(0, Ordering::Relaxed);
            *self.drain_acknowledged.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
        self.history.forget_notices(self.number);
        self.set_limit(None);
        self.set_rejections(None);
        self.is_down.store(is_crashed, Ordering::Relaxed);
    }

    /// Crashes for a short time, unless it is down already.
    fn crash(self: &Arc<Self>, cause: Cause) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.history.add_crash(cause);
        let scopes = [Scope::EndpointPath(self.number), Scope::Endpoint(self.number)];
        scopes.iter().for_each(|scope| self.history.disturbance_began(*scope));
        let endpoint = self.clone();
        std::thread::spawn(move || {
            endpoint.go_down();
            std::thread::sleep(DOWN_TIME);
            endpoint.come_back();
            scopes.iter().for_each(|scope| endpoint.history.disturbance_ended(*scope));
        });
    }

    /// Crashes: its connections close, and it refuses new ones.
    pub fn go_down(&self) {
        self.path.set_mode(Mode::Refused);
        self.set_crashed(true);
        self.path.reset();
    }

    /// Dies with its host: no peer is told, and nothing answers.
    pub fn go_dark(&self) {
        self.path.set_mode(Mode::Silent);
        self.set_crashed(true);
        self.history.add_death(self.number);
        self.path.abandon();
    }

    /// Starts again at the same address.
    pub fn come_back(&self) {
        self.set_crashed(false);
        self.path.set_mode(Mode::Open);
    }

    /// Announces that it drains.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Exits after it has drained, with what it still runs, and starts again.
    pub fn restart_drained(&self) {
        self.go_down();
        self.is_draining.store(false, Ordering::Relaxed);
        self.come_back();
    }

    /// Ends its announcements permanently.
    pub fn stop_announcing(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn announce_periodically(&self) {
        while !self.is_stopped.load(Ordering::Relaxed) {
            if !self.is_down.load(Ordering::Relaxed) {
                self.announce();
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Announces itself to the control instances in turn until one acknowledges it.
    fn announce(&self) {
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let started_unix_ms = self.started_unix_ms.load(Ordering::Relaxed);
        let body = serde_json::json!({
            "service": self.service, "address": self.path.address(), "zone": "salto",
            "version": "v1", "slots": SLOTS, "state": if is_draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "sequence": self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "born": started_unix_ms,
        });
        let first = self.random_below(self.controls.len() as u32) as usize;
        for turn in 0..self.controls.len() {
            let ip = &self.controls[(first + turn) % self.controls.len()];
            let path = format!("/-/instances/{}", self.name);
            self.gate.pass();
            let reply = control_call(ip, "PUT", &path, &body.to_string(), HEARTBEAT_TIMEOUT);
            if reply.status == 200 {
                if !self.is_down.load(Ordering::Relaxed)
                    && self.started_unix_ms.load(Ordering::Relaxed) == started_unix_ms
                {
                    self.history.add_announced(self.number);
                }
                if is_draining {
                    self.record_drain_acknowledged(started_unix_ms);
                }
                return;
            }
        }
        self.history.count("failed announcements");
    }

    /// Records that a control instance has acknowledged that it drains, unless it has restarted since
    /// the announcement was sent.
    fn record_drain_acknowledged(&self, started_unix_ms: u64) {
        let mut acknowledged =
            self.drain_acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        if self.started_unix_ms.load(Ordering::Relaxed) == started_unix_ms {
            acknowledged.get_or_insert(Instant::now());
        }
    }

    fn random_below(&self, below: u32) -> u32 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.next_u32() % below.max(1)
    }

    fn behavior(&self) -> Behavior {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let mut drawn = self.random_below(100);
        let behaviors = [
            (faults.failed, Behavior::Fail),
            (faults.rejected, Behavior::Reject),
            (faults.dropped, Behavior::Drop),
            (faults.interrupted, Behavior::Interrupt),
            (faults.answered_twice, Behavior::ReplyTwice),
            (faults.delayed, Behavior::Delay),
            (faults.paused, Behavior::Pause),
            (faults.endless, Behavior::Endless),
            (faults.broken_heads, Behavior::BreakHead),
        ];
        for (share, behavior) in behaviors {
            if drawn < share {
                return behavior;
            }
            drawn -= share;
        }
        Behavior::Reply
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let start = self.starts.load(Ordering::Relaxed);
        let mut idle_since = Instant::now();
        while let Some(request) = Request::read(&mut stream) {
            let is_dropped = self.history.is_calm() && idle_since.elapsed() > IDLE_DROPPED;
            self.gate.pass();
            if is_dropped {
                return;
            }
            let behavior = self.behavior();
            let mut reply = Reply { endpoint: self, stream: &mut stream, start };
            if !reply.is_current() || self.handle(&mut reply, &request, behavior).is_none() {
                return;
            }
            idle_since = Instant::now();
        }
    }

    /// Handles a request; `None` if the connection must close.
    fn handle(
        self: &Arc<Self>,
        reply: &mut Reply<'_>,
        request: &Request,
        behavior: Behavior,
    ) -> Option<()> {
        let id = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|name| name != self.name) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return reply.write(head);
        }
        self.history.arrived(self.number, &id);
        if matches!(behavior, Behavior::Reject | Behavior::Pause) {
            let head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
            let pause = match behavior {
                Behavior::Pause => format!("Retry-After: {}\r\n", PAUSE.as_secs_f64()),
                _ => String::new(),
            };
            let limit = self.limit_fields(&id);
            let rest = format!("Request-Id: {id}\r\n{pause}{limit}Content-Length: 0\r\n\r\n");
            if behavior == Behavior::Pause {
                self.history.add_notice(self.number, &id, Some(PAUSE));
            }
            return reply.write(&format!("{head}{rest}"));
        }
        if self.rejects(reply, &id)? {
            return Some(());
        }
        let _running = Running::new(&self.running);
        self.record_run(&id, request);
        let cause = Cause::of(&request.path, request.field("prompt-prefix").as_deref());
        if let Some(cause) = cause {
            self.history.add_crashing_arrival(cause, &id);
        }
        std::thread::sleep(Duration::from_millis(u64::from(self.random_below(WORK_MAX_MS))));
        self.gate.pass();
        if let Some(cause) = cause {
            self.crash(cause);
            return None;
        }
        match behavior {
            Behavior::Endless => {
                reply.write_endless_trailer(&id);
                return None;
            }
            Behavior::BreakHead => {
                self.break_head(reply, &id, request);
                return None;
            }
            Behavior::Drop => return None,
            Behavior::Delay => std::thread::sleep(Duration::from_millis(1_500)),
            Behavior::Fail => {
                let head = "HTTP/1.1 500 Internal Server Error\r\n";
                let limit = self.limit_fields(&id);
                let rest = format!("Request-Id: {id}\r\n{limit}Content-Length: 0\r\n\r\n");
                return reply.write(&format!("{head}{rest}"));
            }
            _ => {}
        }
        if request.is_stream() {
            self.stream_events(reply, request, &id, behavior)?;
        } else {
            let fields = format!("{}{}", self.draining_field(), self.limit_fields(&id));
            let text = plain_reply(&id, &request.body, &fields);
            if behavior == Behavior::Interrupt {
                reply.write(&text[..text.len() - 3])?;
                return None;
            }
            reply.write(&text)?;
            if behavior == Behavior::ReplyTwice {
                reply.write(&text)?;
            }
        }
        if behavior != Behavior::ReplyTwice {
            self.history.add_completion(&id);
        }
        if self.is_draining.load(Ordering::Relaxed) {
            self.history.add_notice(self.number, &id, None);
        }
        Some(())
    }

    /// Returns the header field that marks the replies of an endpoint that drains.
    fn draining_field(&self) -> &'static str {
        if self.is_draining.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn record_run(&self, id: &str, request: &Request) {
        let now = Instant::now();
        let drain_acknowledged =
            *self.drain_acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(acknowledged) = drain_acknowledged {
            self.history.check_drained(self.number, id, acknowledged + DRAIN_TIME, now);
        }
        let run = Run {
            endpoint: self.number,
            method: request.method.clone(),
            path: request.path.clone(),
            body: request.body.clone(),
            account: request.field("tenant"),
            has_key: request.field("x-api-key").is_some(),
            resumed: request.field("last-event-id").is_some(),
            at: now,
        };
        self.history.add_run(id, run);
    }

    fn stream_events(
        &self,
        reply: &mut Reply<'_>,
        request: &Request,
        id: &str,
        behavior: Behavior,
    ) -> Option<()> {
        let after = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let fields = format!("{}{}", self.draining_field(), self.limit_fields(id));
        reply.write(&stream_head(id, &fields))?;
        let last = events_of(id);
        let interrupt_at = after + 1 + self.random_below(last.saturating_sub(after).max(1));
        for number in after + 1..=last {
            std::thread::sleep(Duration::from_millis(u64::from(
                self.random_below(event_pause_max_ms(id)),
            )));
            let event = http::chunk(&event(id, number));
            if behavior == Behavior::Interrupt && number == interrupt_at {
                reply.write(&event[..event.len() / 2])?;
                return None;
            }
            reply.write(&event)?;
        }
        reply.write("0\r\n\r\n")
    }

    /// Sends a part of the reply's head, at times after an interim response, and at times slowly.
    fn break_head(&self, reply: &mut Reply<'_>, id: &str, request: &Request) -> Option<()> {
        const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
        let whole = match request.is_stream() {
            true => stream_head(id, ""),
            false => plain_reply(id, &request.body, ""),
        };
        let end = whole.find("\r\n\r\n")? + "\r\n\r\n".len();
        let part = &whole[..self.random_below(end as u32) as usize];
        if self.random_below(4) == 0 {
            reply.write(INTERIM)?;
        }
        match self.random_below(4) {
            0 => part.chars().try_for_each(|byte| {
                std::thread::sleep(HEAD_BYTE_INTERVAL);
                reply.write(byte.encode_utf8(&mut [0; 4]))
            })?,
            1 => {
                let (first, second) = part.split_at(part.len() / 2);
                reply.write(first)?;
                std::thread::sleep(HEAD_PAUSE);
                reply.write(second)?;
            }
            _ => reply.write(part)?,
        }
        Some(())
    }
}

/// The connection on which a start of an endpoint replies.
struct Reply<'a> {
    endpoint: &'a Endpoint,
    stream: &'a mut TcpStream,
    start: u64,
}

impl Reply<'_> {
    /// Tells whether the endpoint has not restarted since the connection was accepted.
    fn is_current(&self) -> bool {
        self.endpoint.starts.load(Ordering::Relaxed) == self.start
    }

    /// Sends a part of a reply once the endpoint is not silent; `None` if the connection has ended.
    fn write(&mut self, part: &str) -> Option<()> {
        self.endpoint.gate.pass();
        if !self.is_current() {
            return None;
        }
        self.stream.write_all(part.as_bytes()).ok()
    }

    /// Sends a reply whose trailer continues until the peer closes the connection.
    fn write_endless_trailer(&mut self, id: &str) {
        let head =
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut sent = self.write(&format!("{head}2\r\nok\r\n0\r\n"));
        while sent.is_some() {
            std::thread::sleep(TRAILER_INTERVAL);
            sent = self.write("x: y\r\n");
        }
    }
}

/// Counts a request as running until it is dropped.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request as received by an endpoint.
struct Request {
    method: String,
    path: String,
    head: String,
    body: String,
}

impl Request {
    /// Reads the next request of a connection.
    fn read(stream: &mut TcpStream) -> Option<Self> {
        let (head, body) = http::read_request(stream)?;
        let mut words = head.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        Some(Self { method, path, head, body })
    }

    fn field(&self, name: &str) -> Option<String> {
        http::field(&self.head, name)
    }

    fn is_stream(&self) -> bool {
        self.path.starts_with("/draft/") || self.path.starts_with("/tell/")
    }
}

/// Returns the head of a stream's reply.
fn stream_head(id: &str, fields: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\n{fields}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        seal(id, "")
    )
}

fn plain_reply(id: &str, body: &str, fields: &str) -> String {
    let text = plain_body(id, body);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\n{fields}Content-Length: {}\r\n\r\n{text}",
        seal(id, body),
        text.len()
    )
}

/// Returns the expected reply body of a request on a plain route.
pub fn plain_body(id: &str, body: &str) -> String {
    format!("printed {body} for {id}")
}

/// Returns one event of a request's stream.
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: word {number} for {id}\n\n")
}

/// Returns how many events a request's stream has.
pub fn events_of(id: &str) -> u32 {
    u32::from(Sha256::digest(id)[0] % 12) + 1
}

/// Returns the longest pause before an event of a request's stream, in milliseconds. One stream in
/// four has long pauses, so that it lasts for seconds.
fn event_pause_max_ms(id: &str) -> u32 {
    if Sha256::digest(id)[1].is_multiple_of(4) { 400 } else { 15 }
}

/// Returns the `Response-Seal`, which proves that a reply belongs to this request.
pub fn seal(id: &str, body: &str) -> String {
    hex::encode(&Sha256::digest(format!("{id}/{body}"))[..8])
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
