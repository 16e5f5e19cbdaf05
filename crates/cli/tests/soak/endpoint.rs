//! Endpoints that note what they run, and that fail in the ways in which engines fail.

use crate::deployment::{control_call, http};
use crate::record::{Record, Run};
use lycheehub_standin::proxy::Proxy;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use sha2::{Digest, Sha256};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long an endpoint works before it answers, at most, in milliseconds.
const WORK_MAX_MS: u32 = 80;
/// How often an endpoint announces itself.
const HEARTBEAT: Duration = Duration::from_millis(600);
/// How long a control instance may take to answer an announcement.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// For how long an endpoint wants nothing from an instance that it turns away.
const PAUSE: Duration = Duration::from_millis(1_500);
/// How often an answer without end goes on.
const DRIP: Duration = Duration::from_millis(20);
/// How long an endpoint goes on after it was heard that it leaves.
pub const DRAIN: Duration = Duration::from_secs(2);

/// How an endpoint treats requests, in parts of a hundred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answered with a failure after they ran.
    pub failed: u32,
    /// Turned away, with the word that they did not run.
    pub rejected: u32,
    /// Run, and the connection closed without an answer.
    pub lost: u32,
    /// Cut in the middle of the answer.
    pub cut: u32,
    /// Followed by a second answer.
    pub doubled: u32,
    /// Answered after a long time.
    pub slow: u32,
    /// Turned away, with the word that nothing more is wanted for a while.
    pub paused: u32,
    /// Answered with a body that is whole, and then a trailer without end.
    pub endless: u32,
}

/// What an endpoint does at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Course {
    Answer,
    Fail,
    Reject,
    Lose,
    Cut,
    Double,
    Linger,
    Pause,
    Endless,
}

/// A stand-in for an endpoint.
pub struct Endpoint {
    pub number: usize,
    pub name: String,
    service: &'static str,
    /// The way to it.
    pub path: Proxy,
    controls: Vec<String>,
    faults: Mutex<Faults>,
    record: Arc<Record>,
    random: Mutex<StdRng>,
    started_unix_ms: AtomicU64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    is_silent: AtomicBool,
    is_over: AtomicBool,
    /// When it was first acknowledged that it leaves.
    leave_heard: Mutex<Option<Instant>>,
}

impl Endpoint {
    /// Starts an endpoint that listens at `ip`.
    pub fn start(
        number: usize,
        service: &'static str,
        ip: &str,
        controls: Vec<String>,
        record: Arc<Record>,
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
            record,
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            started_unix_ms: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            leave_heard: Mutex::default(),
        });
        let accepting = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = accepting.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let announcing = endpoint.clone();
        std::thread::spawn(move || announcing.announce_on());
        endpoint
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Stops its announcements, as a crash does, or starts it anew.
    pub fn set_crashed(&self, is_crashed: bool) {
        if !is_crashed {
            self.started_unix_ms.store(unix_ms(), Ordering::Relaxed);
            self.sequence.store(0, Ordering::Relaxed);
            *self.leave_heard.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
        self.record.forget_told(self.number);
        self.is_silent.store(is_crashed, Ordering::Relaxed);
    }

    /// Says that it leaves, or comes back as a new one.
    pub fn set_leaving(&self, is_leaving: bool) {
        if !is_leaving {
            self.set_crashed(false);
        }
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Ends its announcements for good.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn announce_on(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            if !self.is_silent.load(Ordering::Relaxed) {
                self.announce();
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Announces itself to one control instance after the other until one acknowledges it.
    fn announce(&self) {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let body = serde_json::json!({
            "service": self.service, "address": self.path.address(), "zone": "salto",
            "version": "v1", "slots": 4, "state": if is_leaving { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "sequence": self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "born": self.started_unix_ms.load(Ordering::Relaxed),
        });
        let first = self.pick(self.controls.len() as u32) as usize;
        for turn in 0..self.controls.len() {
            let ip = &self.controls[(first + turn) % self.controls.len()];
            let path = format!("/-/instances/{}", self.name);
            let reply = control_call(ip, "PUT", &path, &body.to_string(), HEARTBEAT_TIMEOUT);
            if reply.status == 200 {
                if is_leaving {
                    let mut heard = self.leave_heard.lock().unwrap_or_else(PoisonError::into_inner);
                    heard.get_or_insert(Instant::now());
                }
                return;
            }
        }
        self.record.count("announcements that nobody took");
    }

    fn pick(&self, below: u32) -> u32 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.next_u32() % below.max(1)
    }

    fn course(&self) -> Course {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let mut drawn = self.pick(100);
        let courses = [
            (faults.failed, Course::Fail),
            (faults.rejected, Course::Reject),
            (faults.lost, Course::Lose),
            (faults.cut, Course::Cut),
            (faults.doubled, Course::Double),
            (faults.slow, Course::Linger),
            (faults.paused, Course::Pause),
            (faults.endless, Course::Endless),
        ];
        for (share, course) in courses {
            if drawn < share {
                return course;
            }
            drawn -= share;
        }
        Course::Answer
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = Request::read(&mut stream) {
            let course = self.course();
            if self.answer(&mut stream, &request, course).is_none() {
                return;
            }
        }
    }

    /// Answers a request; nothing where the connection ends with it.
    fn answer(&self, stream: &mut TcpStream, request: &Request, course: Course) -> Option<()> {
        let id = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|name| name != self.name) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).ok();
        }
        self.record.arrived(self.number, &id);
        if matches!(course, Course::Reject | Course::Pause) {
            let head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
            let pause = match course {
                Course::Pause => format!("Retry-After: {}\r\n", PAUSE.as_secs_f64()),
                _ => String::new(),
            };
            let rest = format!("Request-Id: {id}\r\n{pause}Content-Length: 0\r\n\r\n");
            if course == Course::Pause {
                self.record.told(self.number, &id, Some(PAUSE));
            }
            return stream.write_all(format!("{head}{rest}").as_bytes()).ok();
        }
        self.note_run(&id, request);
        std::thread::sleep(Duration::from_millis(u64::from(self.pick(WORK_MAX_MS))));
        match course {
            Course::Endless => {
                send_without_end(stream, &id);
                return None;
            }
            Course::Lose => return None,
            Course::Linger => std::thread::sleep(Duration::from_millis(1_500)),
            Course::Fail => {
                let head = "HTTP/1.1 500 Internal Server Error\r\n";
                let rest = format!("Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(format!("{head}{rest}").as_bytes()).ok();
            }
            _ => {}
        }
        if request.is_stream() {
            self.stream_events(stream, request, &id, course)?;
        } else {
            let leaving = self.leaving_field();
            let answer = plain_answer(&id, &request.body, leaving);
            if course == Course::Cut {
                // The reader sees the cut either way.
                let _ = stream.write_all(&answer.as_bytes()[..answer.len() - 3]);
                return None;
            }
            stream.write_all(answer.as_bytes()).ok()?;
            if course == Course::Double {
                stream.write_all(answer.as_bytes()).ok()?;
            }
        }
        if course != Course::Double {
            self.record.answered(&id);
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            self.record.told(self.number, &id, None);
        }
        Some(())
    }

    /// Returns the header field by which an endpoint that leaves says so in its answers.
    fn leaving_field(&self) -> &'static str {
        if self.is_leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn note_run(&self, id: &str, request: &Request) {
        let now = Instant::now();
        let heard = *self.leave_heard.lock().unwrap_or_else(PoisonError::into_inner);
        if heard.is_some_and(|heard| now > heard + DRAIN) {
            self.record.late_after_leave(self.number, id, now);
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
        self.record.ran(id, run);
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
        course: Course,
    ) -> Option<()> {
        let after = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\n{}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            seal(id, ""),
            self.leaving_field(),
        );
        stream.write_all(head.as_bytes()).ok()?;
        let last = events_of(id);
        let cut_at = after + 1 + self.pick(last.saturating_sub(after).max(1));
        for number in after + 1..=last {
            std::thread::sleep(Duration::from_millis(u64::from(self.pick(pause_max_ms(id)))));
            let event = http::chunk(&event(id, number));
            if course == Course::Cut && number == cut_at {
                // The reader sees the cut either way.
                let _ = stream.write_all(&event.as_bytes()[..event.len() / 2]);
                return None;
            }
            stream.write_all(event.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// A request as an endpoint reads it.
struct Request {
    method: String,
    path: String,
    head: String,
    body: String,
}

impl Request {
    /// Reads the next one of a connection.
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

/// Sends an answer of which the trailer goes on until the reader closes.
fn send_without_end(stream: &mut TcpStream, id: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
    );
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() {
        std::thread::sleep(DRIP);
        sent = stream.write_all(b"x: y\r\n");
    }
}

fn plain_answer(id: &str, body: &str, leaving: &str) -> String {
    let text = plain_body(id, body);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\n{leaving}Content-Length: {}\r\n\r\n{text}",
        seal(id, body),
        text.len()
    )
}

/// Returns the body with which a request is answered.
pub fn plain_body(id: &str, body: &str) -> String {
    format!("printed {body} for {id}")
}

/// Returns an event of a request's stream.
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: word {number} for {id}\n\n")
}

/// Returns how many events a request's stream has.
pub fn events_of(id: &str) -> u32 {
    u32::from(Sha256::digest(id)[0] % 12) + 1
}

/// Returns the longest pause before an event of a request's stream, in milliseconds: one stream of
/// four lasts for seconds.
fn pause_max_ms(id: &str) -> u32 {
    if Sha256::digest(id)[1].is_multiple_of(4) { 400 } else { 15 }
}

/// Returns what proves that an answer is an endpoint's.
pub fn seal(id: &str, body: &str) -> String {
    hex::encode(&Sha256::digest(format!("{id}/{body}"))[..8])
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
