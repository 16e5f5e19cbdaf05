//! Outgoing connections to other instances.

use crate::auth::{self, End};
use crate::count::Counted;
use crate::settings::Settings;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::{greeter, peer};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

/// The step of making a connection, as errors name it.
pub(crate) const CONNECT: &str = "connect";
/// How long a connection attempt may take, in milliseconds: some round trips between regions. The
/// first packet to a machine that has no power yet is lost, and sent again only after a second.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long after a failed attempt the next one waits, in milliseconds.
const RECONNECT_MS: u64 = 100;
/// The largest message taken from a peer, in words of 8 bytes.
pub(crate) const MESSAGE_MAX_WORDS: usize = 8 * 1024 * 1024;

struct Connected {
    address: SmolStr,
    peer: peer::Client,
    _system: Task<()>,
}

#[derive(Default)]
struct Slot {
    connected: RefCell<Option<Connected>>,
    connecting: smol::lock::Mutex<()>,
    failed_ms: RefCell<Option<u64>>,
}

/// All outgoing connections.
pub(crate) struct Links {
    settings: Rc<Settings>,
    clock: lycheehub_clock::Clock,
    executor: Rc<LocalExecutor<'static>>,
    slots: RefCell<BTreeMap<InstanceName, Rc<Slot>>>,
}

impl Links {
    pub(crate) fn new(
        settings: Rc<Settings>,
        clock: lycheehub_clock::Clock,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { settings, clock, executor, slots: RefCell::default() }
    }

    /// Returns the connection to an instance, making it where there is none.
    pub(crate) async fn peer(
        &self,
        to: &InstanceName,
        address: &SmolStr,
    ) -> Result<peer::Client, PeerError> {
        let slot = self.slots.borrow_mut().entry(to.clone()).or_default().clone();
        if let Some(peer) = self.present(&slot, address) {
            return Ok(peer);
        }
        let guard = slot.connecting.lock().await;
        if let Some(peer) = self.present(&slot, address) {
            return Ok(peer);
        }
        let failed_ms = *slot.failed_ms.borrow();
        if failed_ms.is_some_and(|failed_ms| self.clock.now_ms() < failed_ms + RECONNECT_MS) {
            return Err(PeerError::failed(CONNECT, to.as_str(), "failed just before"));
        }
        let connected = within(CONNECT, to, CONNECT_TIMEOUT_MS, self.connect(to, address)).await;
        drop(guard);
        match connected {
            Ok(connected) => {
                let peer = connected.peer.clone();
                *slot.failed_ms.borrow_mut() = None;
                *slot.connected.borrow_mut() = Some(connected);
                Ok(peer)
            }
            Err(error) => {
                *slot.failed_ms.borrow_mut() = Some(self.clock.now_ms());
                Err(error)
            }
        }
    }

    /// Makes a call to an instance, and forgets the connection where the call fails.
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
            return Err(PeerError::failed(step, to.as_str(), "its address is not known"));
        };
        let peer = self.peer(to, &address).await?;
        let answer =
            async { call(peer).await.map_err(|error| PeerError::failed(step, to.as_str(), error)) };
        let answer = within(step, to, timeout_ms, answer).await;
        if answer.is_err() {
            self.drop_peer(to);
        }
        answer
    }

    /// Returns the name of this instance.
    pub(crate) fn own_name(&self) -> &str {
        self.settings.instance.as_str()
    }

    fn present(&self, slot: &Slot, address: &SmolStr) -> Option<peer::Client> {
        let connected = slot.connected.borrow();
        let connected = connected.as_ref().filter(|connected| connected.address == *address)?;
        Some(connected.peer.clone())
    }

    /// Forgets a connection that failed.
    pub(crate) fn drop_peer(&self, to: &InstanceName) {
        if let Some(slot) = self.slots.borrow().get(to) {
            slot.connected.borrow_mut().take();
        }
    }

    async fn connect(&self, to: &InstanceName, address: &SmolStr) -> Result<Connected, PeerError> {
        let fail = |cause: String| PeerError::failed(CONNECT, to.as_str(), cause);
        let stream = TcpStream::connect(address.as_str()).await.map_err(|e| fail(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| fail(e.to_string()))?;
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
        let network = VatNetwork::new(stream.clone(), Counted(stream), Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let greeter: greeter::Client = system.bootstrap(Side::Server);
        let system = self.executor.spawn(async move {
            // The end of the connection shows in the calls that fail.
            let _ = system.await;
        });
        let peer = self.login(greeter).await.map_err(|e| fail(e.to_string()))?;
        Ok(Connected { address: address.clone(), peer, _system: system })
    }

    async fn login(&self, greeter: greeter::Client) -> Result<peer::Client, capnp::Error> {
        let key = &self.settings.peer_key;
        let name = self.settings.instance.as_str();
        let challenge = greeter.challenge_request().send().promise.await?;
        let theirs = challenge.get()?.get_nonce()?.to_vec();
        let ours = auth::nonce();
        let mut request = greeter.login_request();
        request.get().set_instance(name);
        request.get().set_nonce(&ours);
        request.get().set_proof(&auth::prove(key, End::Caller, &theirs, &ours, name));
        let reply = request.send().promise.await?;
        let expected = auth::prove(key, End::Answerer, &theirs, &ours, name);
        if !auth::matches(&expected, reply.get()?.get_proof()?) {
            return Err(capnp::Error::failed("the peer does not hold the key".to_owned()));
        }
        reply.get()?.get_peer()
    }
}

/// Bounds a step at a peer in time.
pub(crate) async fn within<T>(
    step: &'static str,
    peer: &InstanceName,
    timeout_ms: u64,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let done = lycheehub_clock::within(timeout_ms, work).await;
    done.unwrap_or_else(|| Err(PeerError::TimedOut(step, peer.as_str().into(), timeout_ms)))
}
