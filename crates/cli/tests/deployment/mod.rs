//! A test deployment on the platform: the real processes, each on its own loopback address, with an
//! optional proxy on each network path from an instance to a control instance.
#![allow(dead_code, reason = "each test binary uses a subset")]

pub mod http;
mod watchdog;

pub use watchdog::StopOnDrop;
use watchdog::Watchdog;

use lycheehub_standin::proxy::Proxy;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The port on which control instances listen for endpoints and operators.
pub const CONTROL_PORT: u16 = 8229;
/// The port on which entry instances listen for callers.
pub const FRONT_PORT: u16 = 8221;
/// The port on which entry instances report their readiness to the load balancer.
pub const READY_PORT: u16 = 8224;
/// The peer port of the first process. With proxies, each process has its own peer port, which it also
/// uses as the destination port to reach the others.
const PEER_PORT: u16 = 7600;
/// The number of control instances that a deployment may add.
const SPARES: usize = 3;
/// How long a test waits for an expected condition.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// How long a call to an instance may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The program of this build.
pub const THIS_BUILD: &str = env!("CARGO_BIN_EXE_lycheehub");

/// Numbers the deployments of this test process, so that parallel tests use different addresses.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// Polls until `condition` returns true; panics after [`PATIENCE`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "timed out after {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns how many descriptors a process has open.
pub fn descriptors_of(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

/// Returns the memory that a process uses, in bytes.
pub fn memory_of(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kibibytes * 1_024
}

/// A reply; its status is 0 if there was none.
#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request on a new connection and reads the reply.
pub fn call(address: &str, request: &str, timeout: Duration) -> std::io::Result<Reply> {
    let socket = address.parse().map_err(std::io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&socket, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    let (head, body) = reply.split_once("\r\n\r\n").unwrap_or((&reply, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Reply { status, head: head.to_owned(), body: body.to_owned() })
}

/// How many processes a deployment has, and how many losses it tolerates.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub controls: usize,
    pub entries: usize,
    /// How many control instances may lose their data at the same time.
    pub losses: usize,
    /// Whether network paths to control instances go through proxies.
    pub proxied: bool,
}

/// A process of the deployment and its settings.
#[derive(Debug)]
pub struct Process {
    pub role: &'static str,
    pub ip: String,
    /// The program that the next start runs.
    pub binary: PathBuf,
    folder: PathBuf,
    peer_port: u16,
    settings: String,
    child: Option<Child>,
}

impl Process {
    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.ip))
    }

    /// Returns the path of its log file.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.ip))
    }

    /// Returns its data folder.
    pub fn data(&self) -> PathBuf {
        self.folder.join(&self.ip)
    }

    /// Starts the process; only on the first start of a deployment may it bootstrap the replicated log.
    pub fn start(&mut self, is_first: bool) {
        let log = std::fs::File::options().create(true).append(true).open(self.log()).unwrap();
        self.start_writing(is_first, log.into());
    }

    /// Starts the process with `output` as its standard output.
    pub fn start_writing(&mut self, is_first: bool, output: Stdio) {
        let settings = format!("bootstrap = {is_first}\n{}", self.settings);
        std::fs::write(self.settings_path(), settings).unwrap();
        let log = std::fs::File::options().create(true).append(true).open(self.log()).unwrap();
        let child = Command::new(&self.binary)
            .arg(self.role)
            .env("LYCHEEHUB_BOOT", self.settings_path())
            .stdout(output)
            .stderr(log)
            .spawn()
            .unwrap();
        watchdog::add_process(child.id());
        self.child = Some(child);
    }

    /// Kills the process if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
            watchdog::remove_process(child.id());
        }
    }

    /// Sends the process the signal of this name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let mut kill = Command::new("kill");
        // Fails if the process has already exited.
        let _ = kill.args([&format!("-{name}"), &id]).stderr(Stdio::null()).status();
    }

    /// Names the memory of its machine in its settings, from its next start on.
    pub fn set_machine_memory(&mut self, mebibytes: u64) {
        let limits = format!("[limits]\nmemory_mb = {mebibytes}\n");
        self.settings = self.settings.replacen("[limits]\n", &limits, 1);
    }

    /// Returns how many descriptors the process has open.
    pub fn open_descriptors(&self) -> usize {
        descriptors_of(self.child.as_ref().expect("the process was started").id())
    }

    /// Returns the memory that the process uses, in bytes.
    pub fn memory_used(&self) -> u64 {
        memory_of(self.child.as_ref().expect("the process was started").id())
    }

    /// Waits until the process exits; kills it after `timeout`.
    pub fn exits_within(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        let child = self.child.as_mut()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                watchdog::remove_process(child.id());
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

    /// Tells whether the process has exited without [`Process::kill`].
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// The processes of one deployment; they are killed when it is dropped.
pub struct Deployment {
    /// The first three octets of its addresses.
    pub prefix: String,
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    /// Further control instances, which a test may start.
    pub spares: Vec<Process>,
    pub entries: Vec<Process>,
    /// The proxies, by the addresses of the connecting process and the destination.
    pub paths: BTreeMap<(String, String), Proxy>,
    /// Ends the test if it takes too long.
    _watchdog: Watchdog,
}

impl Deployment {
    /// Lays out a new deployment and starts all its processes.
    pub fn start(layout: Layout) -> Self {
        Self::start_build(layout, Path::new(THIS_BUILD))
    }

    /// Lays out a new deployment and starts all its processes with the program of a build.
    pub fn start_build(layout: Layout, binary: &Path) -> Self {
        let mut deployment = Self::lay_out(layout);
        let processes = deployment.controls.iter_mut().chain(&mut deployment.entries);
        processes.for_each(|process| {
            process.binary = binary.to_owned();
            process.start(true);
        });
        deployment
    }

    /// Lays out a new deployment; starts no process.
    pub fn lay_out(layout: Layout) -> Self {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let prefix = format!("127.{}.{}", 64 + std::process::id() % 128, 1 + number);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{prefix}"));
        // The folder exists only if an earlier run has left it.
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
                 retry_budget_ratio = 0.2\nbudget_min_retries = 50\n\
                 [zones]\nsalto = \"north\"\nmontevideo = \"south\"\n",
                layout.losses
            );
            let (binary, folder) = (PathBuf::from(THIS_BUILD), folder.clone());
            Process { role, ip, binary, folder, peer_port, settings, child: None }
        };
        let controls: Vec<Process> = (0..layout.controls)
            .map(|place| process("control", format!("{prefix}.{}", 10 + place), place))
            .collect();
        let spares = (0..SPARES)
            .map(|spare| process("control", format!("{prefix}.{}", 30 + spare), 0))
            .collect();
        let entries: Vec<Process> = (0..layout.entries)
            .map(|place| {
                process("entry", format!("{prefix}.{}", 40 + place), layout.controls + place)
            })
            .collect();
        let paths = if layout.proxied { proxies(&controls, &entries) } else { BTreeMap::new() };
        Self { prefix, folder, controls, spares, entries, paths, _watchdog: Watchdog::start() }
    }

    /// Returns the proxies on all network paths from and to an instance.
    pub fn paths_of(&self, ip: &str) -> impl Iterator<Item = &Proxy> {
        let touches = move |(from, to): &(String, String)| from == ip || to == ip;
        self.paths.iter().filter(move |(ends, _)| touches(ends)).map(|(_, proxy)| proxy)
    }

    /// Sends a request to a control instance.
    pub fn control(&self, place: usize, method: &str, path: &str, body: &str) -> Reply {
        control_call(&self.controls[place].ip, method, path, body, CALL_TIMEOUT)
    }

    /// Returns the status of an entry instance's readiness check.
    pub fn ready(&self, place: usize) -> u16 {
        let address = format!("{}:{READY_PORT}", self.entries[place].ip);
        let request =
            format!("GET /-/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        call(&address, &request, CALL_TIMEOUT).unwrap_or_default().status
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let controls = self.controls.iter_mut().chain(&mut self.spares);
        controls.chain(&mut self.entries).for_each(Process::kill);
    }
}

/// Sends a request to the control instance at `ip`; the reply has status 0 if there was none.
pub fn control_call(ip: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Reply {
    let address = format!("{ip}:{CONTROL_PORT}");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    call(&address, &request, timeout).unwrap_or_default()
}

/// Starts a proxy for each pair of a process and a control instance. A process connects to its own peer
/// port at the other's address, where the proxy listens and forwards to the other's peer port.
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
