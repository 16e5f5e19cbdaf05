//! A deployment on the platform for tests: the real programs as separate processes on loopback
//! addresses of their own, with a proxy on each path from an instance to a control instance.
#![allow(dead_code, reason = "each test binary uses a part")]

pub mod http;

use lycheehub_standin::proxy::Proxy;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Where control instances listen for endpoints and operators.
pub const CONTROL_PORT: u16 = 8229;
/// Where entry instances listen for callers.
pub const FRONT_PORT: u16 = 8221;
/// Where the balancer asks.
pub const READY_PORT: u16 = 8224;
/// The peer port of the first process; each has one of its own, by which it also reaches others.
const PEER_PORT: u16 = 7600;
/// How long anything that must come about may take.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// How long a call to a control instance may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Numbers the deployments of this run, so that tests beside each other do not meet.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

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

/// Makes a call on a connection of its own.
pub fn call(address: &str, request: &str, timeout: Duration) -> std::io::Result<Reply> {
    let socket = address.parse().map_err(std::io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&socket, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Reply { status, head: head.to_owned(), body: body.to_owned() })
}

/// How many processes a deployment has, and what it bears.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub controls: usize,
    pub entries: usize,
    /// How many disks may be lost at once.
    pub losses: usize,
    /// Paths to control instances pass proxies.
    pub proxied: bool,
}

/// A process of the deployment with its settings.
#[derive(Debug)]
pub struct Process {
    pub role: &'static str,
    pub ip: String,
    folder: PathBuf,
    peer_port: u16,
    settings: String,
    child: Option<Child>,
}

impl Process {
    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.ip))
    }

    /// Returns the path of its log.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.ip))
    }

    /// Returns the folder of its data.
    pub fn data(&self) -> PathBuf {
        self.folder.join(&self.ip)
    }

    /// Starts it; only the first start of a deployment may found its log.
    pub fn start(&mut self, is_first: bool) {
        let settings = format!("bootstrap = {is_first}\n{}", self.settings);
        std::fs::write(self.settings_path(), settings).unwrap();
        let log = std::fs::File::options().create(true).append(true).open(self.log()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lycheehub"))
            .arg(self.role)
            .env("LYCHEEHUB_BOOT", self.settings_path())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Ends it at once, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let mut kill = Command::new("kill");
        // A process that has ended takes none.
        let _ = kill.args([&format!("-{name}"), &id]).stderr(Stdio::null()).status();
    }

    /// Waits until it has ended by itself; kills it after `timeout`.
    pub fn ends_within(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        let child = self.child.as_mut()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status);
            }
            if started.elapsed() > timeout {
                self.kill();
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Tells whether it has ended though nobody stopped it.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// The processes of one deployment; ended with it.
pub struct Deployment {
    /// The first three parts of its addresses.
    pub prefix: String,
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    /// The proxies, by the addresses of both ends.
    pub paths: BTreeMap<(String, String), Proxy>,
}

impl Deployment {
    /// Starts all processes, for the very first time.
    pub fn start(layout: Layout) -> Self {
        let mut deployment = Self::lay_out(layout);
        let processes = deployment.controls.iter_mut().chain(&mut deployment.entries);
        processes.for_each(|process| process.start(true));
        deployment
    }

    fn lay_out(layout: Layout) -> Self {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let prefix = format!("127.{}.{}", 64 + std::process::id() % 128, 1 + number);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{prefix}"));
        // The folder is there only after an earlier run.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let seeds: Vec<String> = (0..layout.controls)
            .map(|place| format!("\"{prefix}.{}:{CONTROL_PORT}\"", 10 + place))
            .collect();
        let seeds = seeds.join(",");
        let process = |role: &'static str, ip: String, place: usize| {
            let peer_port = if layout.proxied { PEER_PORT + place as u16 } else { PEER_PORT };
            let listen = match role {
                "control" => format!("control = \"{ip}:{CONTROL_PORT}\""),
                _ => format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
            };
            let data = match role {
                "control" => format!("data_dir = {:?}", folder.join(&ip)),
                _ => String::new(),
            };
            let settings = format!(
                "node_name = \"{role}-{ip}\"\nip = \"{ip}\"\nzone = \"salto\"\n\
                 internal_port_range = [{peer_port}, {PEER_PORT}]\nseeds = [{seeds}]\n{data}\n\
                 [listen]\n{listen}\n[limits]\nmax_fds = 1000\n\
                 [fault_tolerance]\nmachines = {}\n[bounds]\ngrace_s = 8\n\
                 retry_budget_ratio = 0.2\nbudget_min_retries = 50\n",
                layout.losses
            );
            Process { role, ip, folder: folder.clone(), peer_port, settings, child: None }
        };
        let controls: Vec<Process> = (0..layout.controls)
            .map(|place| process("control", format!("{prefix}.{}", 10 + place), place))
            .collect();
        let entries: Vec<Process> = (0..layout.entries)
            .map(|place| {
                process("entry", format!("{prefix}.{}", 40 + place), layout.controls + place)
            })
            .collect();
        let paths = if layout.proxied { proxies(&controls, &entries) } else { BTreeMap::new() };
        Self { prefix, folder, controls, entries, paths }
    }

    /// Returns the proxies on all paths from and to an instance.
    pub fn paths_of(&self, ip: &str) -> impl Iterator<Item = &Proxy> {
        let touches = move |(from, to): &(String, String)| from == ip || to == ip;
        self.paths.iter().filter(move |(ends, _)| touches(ends)).map(|(_, proxy)| proxy)
    }

    /// Makes a call to a control instance.
    pub fn control(&self, place: usize, method: &str, path: &str, body: &str) -> Reply {
        control_call(&self.controls[place].ip, method, path, body, CALL_TIMEOUT)
    }

    /// Asks an entry instance whether it is ready.
    pub fn ready(&self, place: usize) -> u16 {
        let address = format!("{}:{READY_PORT}", self.entries[place].ip);
        let request =
            format!("GET /-/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        call(&address, &request, CALL_TIMEOUT).unwrap_or_default().status
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.controls.iter_mut().chain(&mut self.entries).for_each(Process::kill);
    }
}

/// Makes a call to the control instance at `ip`; an answer of status 0 says that there was none.
pub fn control_call(ip: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Reply {
    let address = format!("{ip}:{CONTROL_PORT}");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    call(&address, &request, timeout).unwrap_or_default()
}

/// Each process reaches others by its own peer port; there a proxy leads to the other's port.
fn proxies(controls: &[Process], entries: &[Process]) -> BTreeMap<(String, String), Proxy> {
    let mut paths = BTreeMap::new();
    for from in controls.iter().chain(entries) {
        for to in controls.iter().filter(|to| to.ip != from.ip) {
            let at = format!("{}:{}", to.ip, from.peer_port);
            let proxy = Proxy::start_at(&at, &format!("{}:{}", to.ip, to.peer_port)).unwrap();
            paths.insert((from.ip.clone(), to.ip.clone()), proxy);
        }
    }
    paths
}
