//! Instances as separate processes.

use crate::caller::{Call, Reply, send};
use crate::proxy::Proxy;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The operator's key of all test clusters.
pub const OPERATOR_KEY: &str = "operator-key-for-tests";
/// A second operator's key.
pub const OTHER_OPERATOR_KEY: &str = "other-operator-key-for-tests";
/// The endpoints' key of all test clusters.
pub const ENDPOINT_KEY: &str = "endpoint-key-for-tests";

/// How a cluster is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// How many instances hold a control replica.
    pub replicas: usize,
    /// How many others there are.
    pub others: usize,
    /// Failure domains, taken in turn.
    pub domains: Vec<String>,
    /// More lines for the `[limits]` table.
    pub limits: String,
    /// Connections between instances pass proxies that can be cut.
    pub proxied: bool,
}

impl Default for Layout {
    fn default() -> Self {
        let domains = ["canelones", "salto", "montevideo", "san-jose"];
        Self {
            replicas: 3,
            others: 0,
            domains: domains.map(str::to_owned).to_vec(),
            limits: "drain_ms = 200\n".to_owned(),
            proxied: false,
        }
    }
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where it listens for HTTP.
    pub http: String,
    /// Where it listens for peers.
    pub peer: String,
    /// Its data folder.
    pub data: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Instances that are ended when the cluster is dropped.
pub struct Cluster {
    /// The instances.
    pub instances: Vec<Instance>,
    folder: PathBuf,
    binary: PathBuf,
    /// Proxies by the instances that they connect.
    proxies: BTreeMap<(usize, usize), Proxy>,
}

/// The first port of each cluster: below those that the kernel gives to connections.
const FIRST_PORT: u16 = 20_000;

/// Addresses that no other process is given: each cluster has a loopback address of its own.
///
/// They are numbered, not asked of the kernel: a listener that is opened to learn a free port lives
/// on in each process that is being started beside it, until that one runs its program.
fn free_addresses(count: usize) -> Vec<String> {
    static CLUSTERS: AtomicU32 = AtomicU32::new(0);
    let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let octet = |number: u32| (number % 250 + 1) as u8;
    let own = Ipv4Addr::new(127, octet(process / 250), octet(process), octet(cluster));
    (FIRST_PORT..).take(count).map(|port| format!("{own}:{port}")).collect()
}

impl Cluster {
    /// Writes settings for all instances below `folder` and starts them from `binary`.
    ///
    /// # Errors
    /// Fails where files cannot be written or a process cannot be started.
    pub fn start(binary: &Path, folder: &Path, layout: &Layout) -> io::Result<Self> {
        let mut cluster = Self::lay_out(binary, folder, layout)?;
        for at in 0..cluster.instances.len() {
            cluster.spawn(at)?;
        }
        Ok(cluster)
    }

    /// Writes settings without starting anything.
    ///
    /// # Errors
    /// Fails where files cannot be written.
    pub fn lay_out(binary: &Path, folder: &Path, layout: &Layout) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("peer.key"), "a peer key for tests only\n")?;
        let operators = format!("operator {OPERATOR_KEY}\nother {OTHER_OPERATOR_KEY}\n");
        fs::write(folder.join("operators.keys"), operators)?;
        fs::write(folder.join("endpoints.keys"), format!("endpoints {ENDPOINT_KEY}\n"))?;
        let count = layout.replicas + layout.others;
        let mut addresses = free_addresses(2 * count);
        let mut instances = Vec::new();
        for number in 1..=count {
            let name = format!("entry-{number}");
            instances.push(Instance {
                settings: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                data: folder.join(format!("{name}-data")),
                http: addresses.pop().unwrap_or_default(),
                peer: addresses.pop().unwrap_or_default(),
                child: None,
                name,
            });
        }
        let mut proxies = BTreeMap::new();
        if layout.proxied {
            for from in 0..count {
                for to in (0..count).filter(|to| *to != from) {
                    proxies.insert((from, to), Proxy::start(&instances[to].peer)?);
                }
            }
        }
        let seeds = |from: usize| -> String {
            let seed = |(at, instance): (usize, &Instance)| {
                let proxied = proxies.get(&(from, at)).map(Proxy::address);
                let peer = proxied.unwrap_or_else(|| instance.peer.clone());
                let replica = at < layout.replicas;
                format!(
                    "[[seed]]\nname = \"{}\"\npeer = \"{peer}\"\nreplica = {replica}\n\n",
                    instance.name
                )
            };
            instances.iter().enumerate().map(seed).collect()
        };
        for (at, instance) in instances.iter().enumerate() {
            let data = if at < layout.replicas {
                format!("data_folder = \"{}-data\"\n", instance.name)
            } else {
                String::new()
            };
            let text = format!(
                "[instance]\nname = \"{}\"\nfailure_domain = \"{}\"\nhttp = \"{}\"\npeer = \"{}\"\n{data}\n{}[keys]\npeer_file = \"peer.key\"\noperators_file = \"operators.keys\"\nendpoints_file = \"endpoints.keys\"\n\n[limits]\n{}",
                instance.name,
                layout.domains[at % layout.domains.len()],
                instance.http,
                instance.peer,
                seeds(at),
                layout.limits,
            );
            fs::write(&instance.settings, text)?;
        }
        Ok(Self { instances, folder: folder.to_owned(), binary: binary.to_owned(), proxies })
    }

    /// Starts one instance.
    ///
    /// # Errors
    /// Fails where the process cannot be started.
    pub fn spawn(&mut self, at: usize) -> io::Result<()> {
        let instance = &mut self.instances[at];
        let log = fs::OpenOptions::new().create(true).append(true).open(&instance.log)?;
        let child = Command::new(&self.binary)
            .args(["serve", "--settings"])
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        Ok(())
    }

    /// Kills one instance at once.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.instances[at].child.take() {
            // A process that has ended cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to one instance.
    pub fn signal(&self, at: usize, signal: &str) {
        if let Some(id) = self.process(at) {
            // A process that has ended takes no signal.
            let _ = Command::new("kill").args([format!("-{signal}"), id.to_string()]).status();
        }
    }

    /// Cuts the connections from one instance to another silently, or lets them through again.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(proxy) = self.proxies.get(&(from, to)) {
            proxy.set_cut(cut);
        }
    }

    /// Cuts an instance off from all others, or lets it through again.
    pub fn isolate(&self, at: usize, cut: bool) {
        for other in 0..self.instances.len() {
            self.cut(at, other, cut);
            self.cut(other, at, cut);
        }
    }

    /// Returns the instance among these that leads, by the newest word in the logs.
    pub fn leader(&self, among: &[usize]) -> Option<usize> {
        let term = |at: usize| {
            let log = self.log(at);
            let line = log.lines().rev().find(|line| line.contains("became the leader"))?;
            let digits = line.rsplit("term=").next()?.trim_end_matches([' ', '}']);
            digits.trim().parse::<u64>().ok()
        };
        among.iter().copied().max_by_key(|at| term(*at))
    }

    /// Returns the process id of one instance.
    pub fn process(&self, at: usize) -> Option<u32> {
        self.instances[at].child.as_ref().map(Child::id)
    }

    /// Waits for one instance to end; returns its exit code, nothing where it does not end in time.
    pub fn wait_exit(&mut self, at: usize, timeout: Duration) -> Option<i32> {
        let give_up = Instant::now() + timeout;
        let child = self.instances[at].child.as_mut()?;
        while Instant::now() < give_up {
            if let Ok(Some(status)) = child.try_wait() {
                self.instances[at].child = None;
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Removes the data folder of an instance that does not run.
    ///
    /// # Errors
    /// Fails where the folder cannot be removed.
    pub fn lose_disk(&self, at: usize) -> io::Result<()> {
        fs::remove_dir_all(&self.instances[at].data)
    }

    /// Returns where all instances listen for HTTP.
    pub fn addresses(&self) -> Vec<String> {
        self.instances.iter().map(|instance| instance.http.clone()).collect()
    }

    /// Returns the log of one instance.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(&self.instances[at].log).unwrap_or_default()
    }

    /// Returns the folder of all files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Waits until one instance reports that it is ready.
    pub fn wait_ready(&self, at: usize, timeout: Duration) -> bool {
        let address = &self.instances[at].http;
        eventually(timeout, || {
            let reply = smol::block_on(send(address, &Call::get("/readyz")));
            reply.is_ok_and(|reply| reply.status == 200)
        })
    }

    /// Waits until all instances report that they are ready.
    pub fn wait_all_ready(&self, timeout: Duration) -> bool {
        (0..self.instances.len()).all(|at| self.wait_ready(at, timeout))
    }

    /// Submits a section through one instance.
    ///
    /// # Errors
    /// Fails where the connection fails.
    pub fn submit(
        &self,
        at: usize,
        section: &str,
        base: u64,
        request_id: &str,
        text: &str,
    ) -> http_types::Result<Reply> {
        submit_to(&self.instances[at].http, OPERATOR_KEY, section, base, request_id, text)
    }

    /// Reads as an operator through one instance.
    ///
    /// # Errors
    /// Fails where the connection fails.
    pub fn read(&self, at: usize, path: &str) -> http_types::Result<Reply> {
        let call = Call::get(&format!("/v1/operators/{path}")).key(OPERATOR_KEY);
        smol::block_on(send(&self.instances[at].http, &call))
    }
}

/// Submits a section at an address.
///
/// # Errors
/// Fails where the connection fails.
pub fn submit_to(
    address: &str,
    key: &str,
    section: &str,
    base: u64,
    request_id: &str,
    text: &str,
) -> http_types::Result<Reply> {
    let call = Call::put(&format!("/v1/operators/sections/{section}"))
        .key(key)
        .header("x-base-revision", &base.to_string())
        .header("x-request-id", request_id)
        .body(text.as_bytes().to_vec());
    smol::block_on(send(address, &call))
}

/// Waits until `ready` holds, at most for `timeout`.
pub fn eventually(timeout: Duration, mut ready: impl FnMut() -> bool) -> bool {
    let give_up = Instant::now() + timeout;
    loop {
        if ready() {
            return true;
        }
        if Instant::now() >= give_up {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.instances.len() {
            self.kill(at);
        }
    }
}
