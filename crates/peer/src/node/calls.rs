//! Calls to other instances.

use super::{Core, Node};
use lycheehub_consensus::bootstrap::Status;
use lycheehub_consensus::{Config, Message, ReplicaId};
use lycheehub_types::{InstanceName, PeerError};
use lycheehub_wire::peer_capnp::peer;
use smol_str::SmolStr;
use std::future::Future;
use std::rc::Rc;

/// Timeout of an ordinary call to a peer, in milliseconds.
pub(super) const CALL_TIMEOUT_MS: u64 = 1_500;

impl Core {
    /// Returns the peer address of an instance. The address in the settings takes precedence over
    /// the announced one.
    pub(super) fn address_of(&self, node: &Node, name: &InstanceName) -> Option<SmolStr> {
        let seed = node.settings.seeds.iter().find(|seed| seed.instance == *name);
        if let Some(seed) = seed {
            return Some(seed.address.clone());
        }
        Some(self.registry.instance(name)?.record.peer_address.clone())
    }

    /// Returns the instance that runs a replica.
    fn instance_of(&self, id: ReplicaId) -> Option<InstanceName> {
        let voters = &self.replica()?.config().voters;
        if let Some(name) = voters.get(&id) {
            return Some(name.clone());
        }
        let known = self.registry.instances().find(|known| known.record.replica_id == id.0)?;
        Some(known.record.instance.clone())
    }
}

impl Node {
    /// Calls a peer with a timeout.
    pub(super) async fn call<T, F>(
        &self,
        step: &'static str,
        to: &InstanceName,
        timeout_ms: u64,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let address = self.core.borrow().address_of(self, to);
        self.links.call(step, to, address, timeout_ms, call).await
    }

    /// Sends a message to another replica. A lost message is not retried, because later messages
    /// replace it.
    pub(super) fn send_consensus(
        self: &Rc<Self>,
        core: &Core,
        from: ReplicaId,
        to: ReplicaId,
        message: Message,
    ) {
        let Some(name) = core.instance_of(to) else { return };
        let node = self.clone();
        let task = async move {
            let call = |peer: peer::Client| async move {
                let mut request = peer.consensus_request();
                request.get().set_sender(from.0);
                request.get().set_receiver(to.0);
                lycheehub_wire::write_message(&message, request.get().init_message());
                request.send().promise.await.map(drop)
            };
            if let Err(error) = node.call("consensus", &name, CALL_TIMEOUT_MS, call).await {
                spdlog::debug!("consensus message lost", kv: { error: });
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Requests the status of an instance's replica.
    pub(super) async fn request_status(&self, of: &InstanceName) -> Result<Status, PeerError> {
        let call = |peer: peer::Client| async move {
            let reply = peer.status_request().send().promise.await?;
            let reply = reply.get()?;
            let config = Config::try_from(reply.get_config()?)?;
            Ok(Status { id: ReplicaId(reply.get_id()), config })
        };
        self.call("status", of, CALL_TIMEOUT_MS, call).await
    }

    /// Returns the status of the local replica; its ID is 0 if this instance has no replica.
    pub(crate) fn replica_status(&self) -> Status {
        let core = self.core.borrow();
        let Some(replica) = core.replica() else {
            return Status { id: ReplicaId::default(), config: Config::default() };
        };
        Status { id: replica.id(), config: replica.config().clone() }
    }
}
