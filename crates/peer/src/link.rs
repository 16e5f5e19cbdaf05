//! Outgoing connections to other instances.

use crate::count::CountingWriter;
use crate::settings::Settings;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use lycheehub_auth::{self as auth, Role};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::{greeter, peer};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

/// The name of the connect step in errors.
pub(crate) const CONNECT: &str = "connect";
/// The timeout for a connection attempt, in milliseconds: several round trips between regions. The
/// first packet to a machine that is still powered off is lost and is retransmitted only after a
/// second, so an attempt that takes longer is given up and repeated.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// The minimum delay after a failed connection attempt, in milliseconds.
const RECONNECT_MS: u64 = 100;
/// The maximum size of a message from a peer, in words of 8 bytes.
pub(crate) const MESSAGE_MAX_WORDS: usize = 8 * 1024 * 1024;

/// An authenticated connection to a peer.
struct Connection {
    address: SmolStr,
    peer: peer::Client,
    _system: Task<()>,
}

#[derive(Default)]
/// The connection state of one peer.
struct PeerState {
    connection: RefCell<Option<Connection>>,
    /// Held while a connection attempt runs.
    connecting: smol::lock::Mutex<()>,
    last_failure_ms: RefCell<Option<u64>>,
}

/// The outgoing connections of this instance, by peer.
pub(crate) struct Links {
    settings: Rc<Settings>,
    clock: lycheehub_clock::Clock,
    executor: Rc<LocalExecutor<'static>>,
    peers: RefCell<BTreeMap<InstanceName, Rc<PeerState>>>,
}

impl Links {
    pub(crate) fn new(
        settings: Rc<Settings>,
        clock: lycheehub_clock::Clock,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { settings, clock, executor, peers: RefCell::default() }
    }

    /// Returns the connection to an instance, and connects if there is none.
    pub(crate) async fn peer(
        &self,
        to: &InstanceName,
        address: &SmolStr,
    ) -> Result<peer::Client, PeerError> {
        let state = self.peers.borrow_mut().entry(to.clone()).or_default().clone();
        if let Some(peer) = self.connected_peer(&state, address) {
            return Ok(peer);
        }
        let guard = state.connecting.lock().await;
        if let Some(peer) = self.connected_peer(&state, address) {
            return Ok(peer);
        }
        let last_failure_ms = *state.last_failure_ms.borrow();
        if last_failure_ms
            .is_some_and(|last_failure_ms| self.clock.now_ms() < last_failure_ms + RECONNECT_MS)
        {
            return Err(PeerError::failed(
                CONNECT,
                to.as_str(),
                "the previous connection attempt failed shortly before",
            ));
        }
        let connection = within(CONNECT, to, CONNECT_TIMEOUT_MS, self.connect(to, address)).await;
        drop(guard);
        match connection {
            Ok(connection) => {
                let peer = connection.peer.clone();
                *state.last_failure_ms.borrow_mut() = None;
                *state.connection.borrow_mut() = Some(connection);
                Ok(peer)
            }
            Err(error) => {
                *state.last_failure_ms.borrow_mut() = Some(self.clock.now_ms());
                Err(error)
            }
        }
    }

    /// Calls an instance, and drops the connection if the call fails.
    pub(crate) async fn call<T, F>(
        &self,
        step: &'static str,
        to: &InstanceName,
        address: Option<SmolStr>,
        timeout_ms: u64,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let Some(address) = address else {
            return Err(PeerError::failed(
                step,
                to.as_str(),
                "the address of the peer is not known",
            ));
        };
        let peer = self.peer(to, &address).await?;
        let reply =
            async { call(peer).await.map_err(|error| PeerError::failed(step, to.as_str(), error)) };
        let reply = within(step, to, timeout_ms, reply).await;
        if reply.is_err() {
            self.drop_peer(to);
        }
        reply
    }

    /// Returns the name of this instance.
    pub(crate) fn own_name(&self) -> &str {
        self.settings.instance.as_str()
    }

    fn connected_peer(&self, state: &PeerState, address: &SmolStr) -> Option<peer::Client> {
        let connection = state.connection.borrow();
        let connection = connection.as_ref().filter(|connection| connection.address == *address)?;
        Some(connection.peer.clone())
    }

    /// Drops the connection to an instance after a failure.
    pub(crate) fn drop_peer(&self, to: &InstanceName) {
        if let Some(state) = self.peers.borrow().get(to) {
            state.connection.borrow_mut().take();
        }
    }

    async fn connect(&self, to: &InstanceName, address: &SmolStr) -> Result<Connection, PeerError> {
        let fail = |cause: String| PeerError::failed(CONNECT, to.as_str(), cause);
        let stream = TcpStream::connect(address.as_str()).await.map_err(|e| fail(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| fail(e.to_string()))?;
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
        let network =
            VatNetwork::new(stream.clone(), CountingWriter(stream), Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let greeter: greeter::Client = system.bootstrap(Side::Server);
        let system = self.executor.spawn(async move {
            // When the connection ends, pending calls fail with the error.
            let _ = system.await;
        });
        let peer = self.login(greeter).await.map_err(|e| fail(e.to_string()))?;
        Ok(Connection { address: address.clone(), peer, _system: system })
    }

    async fn login(&self, greeter: greeter::Client) -> Result<peer::Client, capnp::Error> {
        let key = &self.settings.peer_key;
        let name = self.settings.instance.as_str();
        let challenge = greeter.challenge_request().send().promise.await?;
        let responder_nonce = challenge.get()?.get_nonce()?.to_vec();
        let initiator_nonce = auth::nonce();
        let mut request = greeter.login_request();
        request.get().set_instance(name);
        request.get().set_nonce(&initiator_nonce);
        request.get().set_proof(&auth::prove(
            key,
            Role::Initiator,
            &responder_nonce,
            &initiator_nonce,
            name,
        ));
        let reply = request.send().promise.await?;
        let expected = auth::prove(key, Role::Responder, &responder_nonce, &initiator_nonce, name);
        if !auth::matches(&expected, reply.get()?.get_proof()?) {
            return Err(capnp::Error::failed(
                "the peer did not prove that it holds the peer key".to_owned(),
            ));
        }
        reply.get()?.get_peer()
    }
}

/// Runs a step at a peer with a timeout.
pub(crate) async fn within<T>(
    step: &'static str,
    peer: &InstanceName,
    timeout_ms: u64,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let result = lycheehub_clock::within(timeout_ms, work).await;
    result.unwrap_or_else(|| Err(PeerError::TimedOut(step, peer.as_str().into(), timeout_ms)))
}
