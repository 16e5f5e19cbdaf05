//! Accepts connections of instances that have lost their path to endpoints.

use crate::frames;
use crate::handshake::{self, Status};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lycheehub_clock::within;
use lycheehub_net::keep_alive;
use lycheehub_types::{CountGuard, EndpointName};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use smol_str::SmolStr;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of relayed connections; they bound the memory and the descriptors used.
const CONNECTIONS_MAX: usize = 256;
/// The timeout for the request of a new connection, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 1_000;
/// The timeout for connecting to an endpoint, in milliseconds: several round trips between failure
/// domains.
const CONNECT_TIMEOUT_MS: u64 = 100;
/// The bytes that are passed on at a time.
const BUFFER_BYTES: usize = 8 * 1024;
/// How long after the endpoint's end the other instance may take to read it, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// The delay before the next `accept` after a failed one, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// What the instance that relays knows of endpoints.
pub trait Endpoints {
    /// Returns the address of a live endpoint.
    fn address(&self, endpoint: &EndpointName) -> Option<SmolStr>;

    /// Returns whether this instance has lately reached endpoints itself.
    fn is_path_proven(&self) -> bool;

    /// Returns whether this instance takes connections.
    fn is_accepting(&self) -> bool;
}

/// Relays connections for other instances.
pub struct Server {
    key: Vec<u8>,
    endpoints: Box<dyn Endpoints>,
    connections: Cell<usize>,
}

impl Server {
    /// Creates a server for instances that hold `key`.
    pub fn new(key: Vec<u8>, endpoints: Box<dyn Endpoints>) -> Rc<Self> {
        Rc::new(Self { key, endpoints, connections: Cell::new(0) })
    }

    /// Returns the number of connections that are relayed.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Accepts connections and spawns a task for each; never returns.
    pub async fn serve(
        self: Rc<Self>,
        executor: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.connections.get() < CONNECTIONS_MAX => {
                    let server = self.clone();
                    executor.spawn(async move { server.relay(stream).await }).detach();
                }
                Ok(_) => spdlog::warn!("relayed connection refused: too many"),
                Err(error) => {
                    spdlog::warn!("failed to accept a connection to relay", kv: { error: });
                    Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    async fn relay(self: Rc<Self>, mut instance: TcpStream) {
        let _open = CountGuard::new(&self.connections);
        match self.open(&mut instance).await {
            Ok(Some(endpoint)) => {
                metrics::counter!("lycheehub_relayed_connections_total").increment(1);
                pass_on(instance, endpoint).await;
            }
            Ok(None) => {}
            Err(error) => spdlog::debug!("failed to open a relayed connection", kv: { error: }),
        }
    }

    /// Connects to the endpoint that the instance asks for, and tells it whether that succeeded.
    async fn open(&self, instance: &mut TcpStream) -> io::Result<Option<TcpStream>> {
        instance.set_nodelay(true)?;
        keep_alive::enable(&*instance)?;
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        let received = within(HANDSHAKE_TIMEOUT_MS, handshake::receive(instance, &self.key)).await;
        let name = received.unwrap_or_else(|| Err(timed_out()))?;
        let address = self.endpoints.address(&name).filter(|_| self.endpoints.is_accepting());
        let connected = match &address {
            Some(address) => within(CONNECT_TIMEOUT_MS, TcpStream::connect(address.as_str())).await,
            None => None,
        };
        let status = match &connected {
            Some(Ok(_)) => Status::Connected,
            _ if address.is_some() && self.endpoints.is_path_proven() => Status::Unreachable,
            _ => Status::Unable,
        };
        instance.write_all(&[status.byte()]).await?;
        Ok(connected.and_then(Result::ok))
    }
}

/// Passes bytes on until either side ends. The end of the endpoint's connection is passed on as the
/// last frame; if it is lost, there is none.
async fn pass_on(instance: TcpStream, endpoint: TcpStream) {
    if let Err(error) = endpoint.set_nodelay(true).and_then(|()| keep_alive::enable(&endpoint)) {
        spdlog::debug!("connection to relay lost", kv: { error: });
        return;
    }
    let is_write_failed = Cell::new(false);
    let requests = pass_requests(instance.clone(), endpoint.clone(), &is_write_failed);
    let responses = async {
        let passed = pass_responses(instance.clone(), endpoint, &is_write_failed).await;
        if let Err(error) = passed {
            spdlog::debug!("relayed connection lost", kv: { error: });
        }
        drain(instance.clone()).await;
    };
    smol::future::or(requests, responses).await;
}

/// Passes on what the instance sends; ends when it closes its connection.
async fn pass_requests(
    mut instance: TcpStream,
    mut endpoint: TcpStream,
    is_write_failed: &Cell<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut passed_bytes = 0;
    loop {
        let Ok(count @ 1..) = instance.read(&mut buffer).await else { return };
        passed_bytes += count;
        if let Err(error) = keep_alive::require_confirmation(&endpoint, passed_bytes) {
            spdlog::debug!("confirmation not required", kv: { error: });
        }
        if endpoint.write_all(&buffer[..count]).await.is_err() {
            is_write_failed.set(true);
            // The endpoint may have answered before it closed; its response decides.
            smol::future::pending::<()>().await;
        }
    }
}

/// Passes on what the endpoint sends, in frames.
async fn pass_responses(
    mut instance: TcpStream,
    mut endpoint: TcpStream,
    is_write_failed: &Cell<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; frames::HEADER_BYTES + BUFFER_BYTES];
    loop {
        let count = endpoint.read(&mut buffer[frames::HEADER_BYTES..]).await?;
        if count == 0 && is_write_failed.get() {
            // A write reports the loss of a connection instead of the read, which then sees an end.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        buffer[..frames::HEADER_BYTES].copy_from_slice(&frames::header(count));
        instance.write_all(&buffer[..frames::HEADER_BYTES + count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}

/// Closes the sending side and waits until the instance has read the end and closes its connection: closing
/// it first, while more is being sent, could lose what is under way.
async fn drain(mut instance: TcpStream) {
    if instance.shutdown(Shutdown::Write).is_err() {
        // The instance has closed or lost the connection.
        return;
    }
    let mut buffer = [0; BUFFER_BYTES];
    let closed = async { while matches!(instance.read(&mut buffer).await, Ok(1..)) {} };
    // An instance that does not close it in time has left.
    let _ = within(DRAIN_MS, closed).await;
}
