//! Reads and validates the settings file; an error names its file, line and column.

use super::{File, LogFormat};
use crate::exit::{Code, Error};
use lycheehub_estate::parse::position;
use lycheehub_gateway::keys::KeyFile;
use lycheehub_peer::{Seed, Settings as PeerSettings};
use lycheehub_types::{InstanceName, name};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The most threads that handle traffic.
const TRAFFIC_THREADS_MAX: usize = 64;
/// The shortest peer key, in bytes.
const PEER_KEY_MIN_BYTES: usize = 16;
/// The settings of a single instance on loopback.
const EMBEDDED: &str = include_str!("embedded.toml");

/// The validated settings of an instance.
#[derive(Debug)]
pub struct InstanceSettings {
    /// Settings of the control thread.
    pub peer: PeerSettings,
    /// Settings of the HTTP gateway.
    pub gateway: lycheehub_gateway::Settings,
    /// The HTTP listen address.
    pub http: SocketAddr,
    /// The listen address for peers.
    pub listen_peer: SocketAddr,
    /// The number of threads that handle traffic.
    pub traffic_threads: usize,
    /// Options of the scheduler.
    pub route: lycheehub_route::Options,
    /// How long a stopping instance still accepts requests after it reports that it is not ready,
    /// in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping instance then waits for unfinished requests, in milliseconds.
    pub stop_timeout_ms: u64,
    /// The format of a log line.
    pub log_format: LogFormat,
    /// Whether debug lines are logged too.
    pub log_debug: bool,
}

/// The text of a settings file, with its path for error messages.
struct Source<'a> {
    path: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn error(&self, span: &Range<usize>, message: impl std::fmt::Display) -> Error {
        let (line, column) = position(self.text, span.start);
        Error::new(Code::Invalid, format!("{}:{line}:{column}: {message}", self.path))
    }

    fn parse(&self) -> Result<File, Error> {
        toml::from_str(self.text)
            .map_err(|error| self.error(&error.span().unwrap_or(0..0), error.message()))
    }

    fn name(&self, value: &Spanned<String>) -> Result<String, Error> {
        let text = value.get_ref();
        if name::is_valid(text) {
            return Ok(text.clone());
        }
        let rule =
            format!("expected 1 to {} letters, digits, '-', '_' or '.'", name::NAME_MAX_BYTES);
        Err(self.error(&value.span(), rule))
    }

    fn address(&self, value: &Spanned<String>) -> Result<SocketAddr, Error> {
        let parsed = value.get_ref().parse();
        parsed.map_err(|_| {
            self.error(
                &value.span(),
                "expected an IP address and a port, such as \"10.0.0.1:7100\"",
            )
        })
    }
}

/// Reads the settings file at `path`.
///
/// # Errors
/// Fails at the first invalid value, with its file, line and column.
pub fn load(path: &str) -> Result<InstanceSettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        Error::new(Code::Invalid, format!("cannot read settings {path}: {error}"))
    })?;
    let folder = Path::new(path).parent().unwrap_or(Path::new("")).to_owned();
    let source = Source { path, text: &text };
    let file = source.parse()?;
    let key_file = |name: &str| KeyFile::open(&folder.join(name));
    let invalid =
        |error: lycheehub_gateway::keys::Error| Error::new(Code::Invalid, error.to_string());
    let operators = key_file(&file.keys.operators_file).map_err(invalid)?;
    let endpoints = key_file(&file.keys.endpoints_file).map_err(invalid)?;
    let peer_key = read_peer_key(&folder.join(&file.keys.peer_file))?;
    validate(&source, file, &folder, peer_key, operators, endpoints)
}

/// Returns the settings of a single instance on loopback, with keys for trying it out.
///
/// # Errors
/// Fails only if the embedded settings are invalid.
pub fn embedded() -> Result<InstanceSettings, Error> {
    let source = Source { path: "embedded settings", text: EMBEDDED };
    let file = source.parse()?;
    let operators = KeyFile::fixed([("operator", "try-operator")]);
    let endpoints = KeyFile::fixed([("endpoint", "try-endpoint")]);
    let peer_key = b"a key for one instance alone".to_vec();
    validate(&source, file, Path::new(""), peer_key, operators, endpoints)
}

fn read_peer_key(path: &Path) -> Result<Vec<u8>, Error> {
    let key = std::fs::read_to_string(path).map_err(|error| {
        Error::new(Code::Invalid, format!("cannot read the peer key {}: {error}", path.display()))
    })?;
    let key = key.trim().as_bytes().to_vec();
    if key.len() < PEER_KEY_MIN_BYTES {
        let path = path.display();
        let message = format!("the peer key {path} has fewer than {PEER_KEY_MIN_BYTES} bytes");
        return Err(Error::new(Code::Invalid, message));
    }
    Ok(key)
}

fn validate(
    source: &Source<'_>,
    file: File,
    folder: &Path,
    peer_key: Vec<u8>,
    operator_keys: KeyFile,
    endpoint_keys: KeyFile,
) -> Result<InstanceSettings, Error> {
    let instance = &file.instance;
    let name = InstanceName::from(source.name(&instance.name)?);
    let http = source.address(&instance.http)?;
    let listen_peer = source.address(&instance.peer)?;
    let traffic_threads = match &instance.traffic_threads {
        Some(count) if !(1..=TRAFFIC_THREADS_MAX).contains(count.get_ref()) => {
            let rule = format!("expected 1 to {TRAFFIC_THREADS_MAX} threads");
            return Err(source.error(&count.span(), rule));
        }
        Some(count) => *count.get_ref(),
        None => 1,
    };
    let seeds = read_seeds(source, &file)?;
    let data_folder = instance.data_folder.as_ref().map(|path| folder.join(path));
    check_initial_replica(source, &file, &name, data_folder.as_ref())?;
    let limits = &file.limits;
    Ok(InstanceSettings {
        peer: PeerSettings {
            instance: name.clone(),
            failure_domain: source.name(&instance.failure_domain)?.into(),
            peer_address: listen_peer.to_string().into(),
            http_address: http.to_string().into(),
            seeds,
            data_folder,
            peer_key: peer_key.clone(),
            may_found: true,
            copies_min: 1,
            replacement_timeout_ms: limits.stop_timeout_ms,
            runs_controllers: true,
            consensus: lycheehub_consensus::Options::default(),
            rollouts: Default::default(),
            regions: Default::default(),
            dispatch: lycheehub_dispatch::Options::default(),
        },
        gateway: lycheehub_gateway::Settings {
            instance: name,
            body_max_bytes: limits.body_max_bytes,
            body_memory_bytes: limits.body_memory_bytes,
            answer_max_bytes: limits.answer_max_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            body_timeout_ms: limits.body_timeout_ms,
            connections_max: limits.connections_max,
            connect_timeout_ms: limits.connect_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
            answer_retention_ms: limits.answer_retention_ms,
            answers_max_bytes: limits.answers_max_bytes,
            digest_key: lycheehub_auth::DigestKey::derive(&peer_key),
            operator_keys,
            endpoint_keys,
        },
        http,
        listen_peer,
        traffic_threads,
        route: lycheehub_route::Options {
            queue_max: limits.queue_max,
            policy: file.routing.policy.into(),
            tiers: file.routing.tiers,
            ..lycheehub_route::Options::default()
        },
        drain_ms: limits.drain_ms,
        stop_timeout_ms: limits.stop_timeout_ms,
        log_format: file.log.format,
        log_debug: file.log.debug,
    })
}

fn read_seeds(source: &Source<'_>, file: &File) -> Result<Vec<Seed>, Error> {
    let mut seeds: Vec<Seed> = Vec::new();
    for seed in &file.seed {
        let instance = InstanceName::from(source.name(&seed.name)?);
        if seeds.iter().any(|other| other.instance == instance) {
            return Err(source.error(&seed.name.span(), "another seed has this name"));
        }
        let address = source.address(&seed.peer)?.to_string().into();
        seeds.push(Seed { instance, address, replica: seed.replica });
    }
    if !seeds.iter().any(|seed| seed.replica) {
        return Err(source.error(&(0..0), "expected at least one [[seed]] with replica = true"));
    }
    Ok(seeds)
}

/// Checks that an instance that is to hold one of the initial replicas has a data folder.
fn check_initial_replica(
    source: &Source<'_>,
    file: &File,
    name: &InstanceName,
    data_folder: Option<&PathBuf>,
) -> Result<(), Error> {
    let own = file.seed.iter().find(|seed| seed.name.get_ref() == name.as_str());
    let holds_replica = own.is_some_and(|seed| seed.replica);
    if holds_replica && data_folder.is_none() {
        let message = "this instance holds a control replica: expected data_folder";
        return Err(source.error(&file.instance.name.span(), message));
    }
    Ok(())
}
