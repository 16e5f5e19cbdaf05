//! An endpoint that crashes with all its connections on some requests, and is back after a while.

use crate::deployment::http::{chunk, field, read_request};
use crate::deployment::{Deployment, Layout, control_call, eventually};
use crate::{has_logged, put_document};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long after a crash that counts the cause may still be sent without bound.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long an endpoint is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// How long an endpoint is silent that then goes on.
const SILENT_TIME: Duration = Duration::from_millis(1_200);

/// What an endpoint does with a request, whose head is given to [`Behavior`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// It answers with a stream.
    Stream,
    /// It answers whole.
    Whole,
    /// It crashes as it begins.
    Crash,
    /// It crashes after two events.
    CrashLate,
    /// It crashes within an answer that has neither a length nor chunks.
    CrashUnframed,
    /// It is silent on all connections for a while, and then answers whole.
    Freeze,
}

/// Returns the reaction to a request, and what it is counted under.
pub type Behavior = fn(&str) -> (Reaction, String);

/// When the causes of crashes arrived at endpoints, each with the request's id, and when those crashed.
#[derive(Default)]
pub struct Observed {
    arrivals: Mutex<BTreeMap<String, Vec<(Instant, String)>>>,
    crashes: Mutex<BTreeMap<String, Vec<Instant>>>,
}

impl Observed {
    pub fn crashes(&self, cause: &str) -> usize {
        self.crashes.lock().unwrap().get(cause).map_or(0, Vec::len)
    }

    /// Returns how many requests with a cause arrived first later than `CONTACT_TIME` after its crash
    /// with the number `counted`.
    pub fn further(&self, cause: &str, counted: usize) -> usize {
        let crashes = self.crashes.lock().unwrap();
        let counted = crashes.get(cause).and_then(|crashes| crashes.get(counted - 1)).copied();
        let Some(counted) = counted else { return 0 };
        let arrivals = self.arrivals.lock().unwrap();
        let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
        for (arrival, id) in arrivals.get(cause).into_iter().flatten() {
            first.entry(id).or_insert(*arrival);
        }
        first.values().filter(|arrival| **arrival > counted + CONTACT_TIME).count()
    }
}

/// An endpoint that crashes with all its connections.
pub struct Engine {
    behavior: Behavior,
    observed: Arc<Observed>,
    streams: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    silent_until: Mutex<Option<Instant>>,
}

impl Engine {
    /// Runs an endpoint that announces itself, under a new name after each crash.
    pub fn run(
        number: usize,
        deployment: &Deployment,
        observed: &Arc<Observed>,
        behavior: Behavior,
    ) {
        let controls: Vec<String> =
            deployment.controls.iter().map(|process| process.ip.clone()).collect();
        let listener = TcpListener::bind(format!("{}.60:0", deployment.prefix)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let observed = observed.clone();
        std::thread::spawn(move || {
            let mut listener = listener;
            for start in 0.. {
                let engine = Arc::new(Self {
                    behavior,
                    observed: observed.clone(),
                    streams: Mutex::default(),
                    is_down: AtomicBool::new(false),
                    silent_until: Mutex::default(),
                });
                engine.serve_until_crash(listener, &controls, &format!("e{number}-{start}"));
                std::thread::sleep(DOWN_TIME);
                listener = TcpListener::bind(&address).unwrap();
            }
        });
    }

    fn serve_until_crash(self: &Arc<Self>, listener: TcpListener, controls: &[String], name: &str) {
        let address = listener.local_addr().unwrap().to_string();
        let (controls, name) = (controls.to_vec(), name.to_owned());
        let announcer = self.clone();
        std::thread::spawn(move || announcer.announce(&controls, &name, &address));
        listener.set_nonblocking(true).unwrap();
        while !self.is_down.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            self.streams.lock().unwrap().push(stream.try_clone().unwrap());
            let engine = self.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            // The connection may have ended before.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn announce(&self, controls: &[String], name: &str, address: &str) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut sequence = 0;
        while !self.is_down.load(Ordering::Relaxed) {
            self.wait_while_silent();
            sequence += 1;
            let body = json!({
                "service": "writer", "address": address, "zone": "salto", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
                "born": born,
            });
            let path = format!("/-/instances/{name}");
            let timeout = Duration::from_millis(500);
            controls.iter().any(|ip| {
                let reply = control_call(ip, "PUT", &path, &body.to_string(), timeout);
                reply.status == 200
            });
            std::thread::sleep(Duration::from_millis(300));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _)) = read_request(&mut stream) {
            let (reaction, cause) = (self.behavior)(&head);
            let id = field(&head, "request-id").unwrap_or_default().to_owned();
            let crashes =
                matches!(reaction, Reaction::Crash | Reaction::CrashLate | Reaction::CrashUnframed);
            if crashes {
                let mut arrivals = self.observed.arrivals.lock().unwrap();
                arrivals.entry(cause.clone()).or_default().push((Instant::now(), id.clone()));
            }
            std::thread::sleep(Duration::from_millis(30));
            if reaction == Reaction::Crash {
                return self.crash(cause);
            }
            if reaction == Reaction::Freeze {
                *self.silent_until.lock().unwrap() = Some(Instant::now() + SILENT_TIME);
            }
            self.wait_while_silent();
            for piece in answer(reaction, &id) {
                if stream.write_all(piece.as_bytes()).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            if matches!(reaction, Reaction::CrashLate | Reaction::CrashUnframed) {
                return self.crash(cause);
            }
        }
    }

    fn wait_while_silent(&self) {
        let until = *self.silent_until.lock().unwrap();
        std::thread::sleep(
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now())),
        );
    }

    fn crash(&self, cause: String) {
        if !self.is_down.swap(true, Ordering::Relaxed) {
            let mut crashes = self.observed.crashes.lock().unwrap();
            crashes.entry(cause).or_default().push(Instant::now());
        }
    }
}

/// Returns what an endpoint writes, piece by piece.
fn answer(reaction: Reaction, id: &str) -> Vec<String> {
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-1\r\n");
    if reaction == Reaction::CrashUnframed {
        return vec![format!("{head}\r\nhalf of the answer")];
    }
    if matches!(reaction, Reaction::Whole | Reaction::Freeze) {
        return vec![format!("{head}Content-Length: 4\r\n\r\ndone")];
    }
    let stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let events = if reaction == Reaction::CrashLate { 2 } else { 4 };
    let mut pieces = vec![format!("{head}{stream}")];
    pieces.extend((1..=events).map(|n| chunk(&format!("id: {n}\ndata: word\n\n"))));
    if reaction == Reaction::Stream {
        pieces.push("0\r\n\r\n".to_owned());
    }
    pieces
}

/// How many endpoints [`start_with`] starts.
const ENDPOINTS: usize = 8;

/// Starts a deployment with a document and crashing engines, whose entry instances serve the sound
/// requests that `is_sound_served` sends through an entry instance.
pub fn start_with(
    document: &Value,
    behavior: Behavior,
    is_sound_served: impl Fn(&Deployment, usize) -> bool,
) -> (Deployment, Arc<Observed>) {
    let deployment =
        Deployment::start(Layout { controls: 3, entries: 2, losses: 1, proxied: false });
    eventually("the document is acknowledged", || {
        put_document(&deployment, 0, document).status == 200
    });
    let observed = Arc::new(Observed::default());
    (0..ENDPOINTS).for_each(|number| Engine::run(number, &deployment, &observed, behavior));
    for entry in 0..2 {
        eventually("the entry instance is ready", || deployment.ready(entry) == 200);
        eventually("a sound request is answered", || is_sound_served(&deployment, entry));
    }
    eventually("the leader places requests", || has_logged(&deployment, "placed by the leader"));
    (deployment, observed)
}
