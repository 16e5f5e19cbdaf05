//! Processes on loopback addresses of their own, and stand-ins that speak the platform's protocol.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONTROL_PORT: u16 = 8229;
const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
/// How long anything that must come about may take.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Numbers the networks of this run, so that tests beside each other do not meet.
static NETWORKS: AtomicU32 = AtomicU32::new(0);
static REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Waits until something is so.
pub fn eventually(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// An answer; of status 0 where there was none.
#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

fn call(address: &str, request: &str) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Reply { status, head: head.to_owned(), body: body.to_owned() })
}

/// The processes of one deployment; ended with it.
pub struct Network {
    /// The first three parts of its addresses.
    prefix: String,
    folder: PathBuf,
    controls: Vec<Child>,
    entries: Vec<Child>,
}

impl Network {
    pub fn start(controls: usize, entries: usize) -> Self {
        let number = NETWORKS.fetch_add(1, Ordering::Relaxed);
        let prefix = format!("127.{}.{}", 64 + std::process::id() % 128, 1 + number);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{prefix}"));
        // The folder is there only after an earlier run.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut network = Self { prefix, folder, controls: vec![], entries: vec![] };
        for place in 0..controls {
            let child = network.spawn("control", &network.control_ip(place), controls);
            network.controls.push(child);
        }
        for place in 0..entries {
            let child = network.spawn("entry", &network.entry_ip(place), controls);
            network.entries.push(child);
        }
        network
    }

    fn control_ip(&self, place: usize) -> String {
        format!("{}.{}", self.prefix, 10 + place)
    }

    fn entry_ip(&self, place: usize) -> String {
        format!("{}.{}", self.prefix, 40 + place)
    }

    fn spawn(&self, role: &str, ip: &str, controls: usize) -> Child {
        let seeds: Vec<String> = (0..controls)
            .map(|place| format!("\"{}:{CONTROL_PORT}\"", self.control_ip(place)))
            .collect();
        let listen = match role {
            "control" => format!("control = \"{ip}:{CONTROL_PORT}\""),
            _ => format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
        };
        let data = match role {
            "control" => format!("data_dir = {:?}", self.folder.join(ip)),
            _ => String::new(),
        };
        let settings = format!(
            "node_name = \"{role}-{ip}\"\nip = \"{ip}\"\nzone = \"salto\"\n\
             internal_port_range = [7600, 7615]\nseeds = [{}]\nbootstrap = true\n{data}\n\
             [listen]\n{listen}\n[limits]\nmax_fds = 1000\n[fault_tolerance]\nmachines = 1\n\
             [bounds]\ngrace_s = 8\n",
            seeds.join(",")
        );
        let path = self.folder.join(format!("{ip}.toml"));
        std::fs::write(&path, settings).unwrap();
        let log = std::fs::File::create(self.folder.join(format!("{ip}.log"))).unwrap();
        Command::new(env!("CARGO_BIN_EXE_lycheehub"))
            .arg(role)
            .env("LYCHEEHUB_BOOT", path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap()
    }

    /// Makes a call to a control instance.
    pub fn control(&self, place: usize, method: &str, path: &str, body: &str) -> Reply {
        let address = format!("{}:{CONTROL_PORT}", self.control_ip(place));
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        call(&address, &request).unwrap_or_default()
    }

    /// Announces an endpoint.
    pub fn announce(&self, place: usize, endpoint: &Endpoint, sequence: u64, state: &str) -> Reply {
        let body = serde_json::json!({
            "service": "labels", "address": endpoint.address, "zone": "salto", "version": "v1",
            "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
        });
        self.control(place, "PUT", "/-/instances/i-1", &body.to_string())
    }

    /// Asks an entry instance whether it is ready.
    pub fn ready(&self, place: usize) -> u16 {
        let address = format!("{}:{READY_PORT}", self.entry_ip(place));
        let request =
            format!("GET /-/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        call(&address, &request).unwrap_or_default().status
    }

    /// Sends a caller's request.
    pub fn ask(&self, place: usize, method: &str, path: &str, key: &str, body: &str) -> Reply {
        let address = format!("{}:{FRONT_PORT}", self.entry_ip(place));
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: crates.example\r\nRequest-Id: r-{number}\r\n\
             Deadline-Ms: 5000\r\nX-Api-Key: {key}\r\nTenant: forged\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        call(&address, &request).unwrap_or_default()
    }

    pub fn kill_control(&mut self, place: usize) {
        self.controls[place].kill().unwrap();
        self.controls[place].wait().unwrap();
    }

    pub fn terminate_entry(&mut self, place: usize) {
        let id = self.entries[place].id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for the end of an entry instance; tells whether it ended well within its time.
    pub fn entry_ends(&mut self, place: usize) -> bool {
        let started = Instant::now();
        let status = self.entries[place].wait().unwrap();
        status.success() && started.elapsed() < Duration::from_secs(8)
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        for child in self.controls.iter_mut().chain(&mut self.entries) {
            // One that has ended cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A stand-in for an endpoint.
pub struct Endpoint {
    pub address: String,
    seen: Arc<Mutex<String>>,
}

impl Endpoint {
    pub fn start(network: &Network) -> Self {
        let listener = TcpListener::bind(format!("{}.60:0", network.prefix)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(String::new()));
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
        self.seen.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, seen: &Mutex<String>) {
    while let Some((head, body)) = read_request(&mut stream) {
        *seen.lock().unwrap() = head.clone();
        let id = field(&head, "request-id").unwrap_or_default();
        let seal = "Response-Seal: seal-1";
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

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(other, _)| other.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}
