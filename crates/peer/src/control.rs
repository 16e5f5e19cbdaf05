//! The handle through which traffic threads call the control thread.

use lycheehub_control::placement::LoadOrder;
use lycheehub_control::room::{ServiceRoom, room_by_service};
use lycheehub_control::state::{
    Command, DocumentRecord, EvacuationOrder, EvacuationRecord, MoveRecord, RolloutRecord,
    SectionRecord,
};
use lycheehub_dispatch::crashes::{Ending, ListedQuarantine, QuarantineId};
use lycheehub_route::Demands;
use lycheehub_types::{
    EndpointName, EndpointRecord, FailureDomain, InstanceName, RefusalKind, SectionName,
    ServiceName,
};
use lycheehub_wire::{KeptAnswer, ProposeReply};
use smol::channel::{Sender, bounded};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// The store of answers to the requests that this instance dispatched.
pub trait AnswerSource: Send + Sync {
    /// Returns the state of the answer to a request.
    fn answer(&self, request: u64) -> KeptAnswer;
}

/// Sends load orders to endpoints.
pub trait OrderSink: Send + Sync {
    /// Sends an order while it is valid. Later announcements of the endpoint show whether it accepted
    /// the order.
    fn send(&self, order: LoadOrder);
}

/// The committed state, as confirmed by a quorum.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommittedState {
    /// The latest revision.
    pub revision: u64,
    /// All sections.
    pub sections: BTreeMap<SectionName, SectionRecord>,
    /// All moves.
    pub moves: BTreeMap<SmolStr, MoveRecord>,
    /// The route document, with revision 0 if there is none.
    pub document: DocumentRecord,
    /// The latest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// The evacuations in force.
    pub evacuations: BTreeMap<FailureDomain, EvacuationRecord>,
}

/// The status of an endpoint, as a control instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The last announcement of the endpoint.
    pub record: EndpointRecord,
    /// The instance that received the last announcement.
    pub heard_by: InstanceName,
}

/// The status of an instance, as a control instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Whether it holds a control replica.
    pub holds_replica: bool,
    /// The revision that the instance has in force.
    pub revision_in_force: u64,
    /// Whether the instance was heard from recently.
    pub is_live: bool,
}

/// The endpoints and instances that a control instance knows.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterStatus {
    /// The revision of this control instance.
    pub revision: u64,
    /// The live endpoints, including those that are leaving.
    pub endpoints: Vec<EndpointStatus>,
    /// The failure domains that are evacuated, as this control instance knows.
    pub evacuated: BTreeSet<FailureDomain>,
    /// The instances that were heard from within the last minute.
    pub instances: Vec<InstanceStatus>,
}

impl ClusterStatus {
    /// Returns the room that evacuations leave to each service.
    pub fn room_by_service(&self) -> BTreeMap<ServiceName, ServiceRoom> {
        room_by_service(self.endpoints.iter().map(|known| &known.record), &self.evacuated)
    }
}

/// The reply to a call that only the leader can answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderReply<T> {
    /// This instance leads, which a quorum has confirmed.
    Leads(T),
    /// It does not; nothing was changed. The instance that leads is named if it is known.
    Elsewhere(Option<InstanceName>),
}

/// A request to the control thread, with the channel for the reply.
#[derive(Debug)]
pub enum ControlRequest {
    /// Commits a command.
    Propose(Command, Sender<ProposeReply>),
    /// Reads the committed state; replies with `None` without a quorum.
    Read(Sender<Option<CommittedState>>),
    /// Reads the status of endpoints and instances.
    ClusterStatus(Sender<ClusterStatus>),
    /// Reads the quarantines in force at the leader.
    Quarantines(Sender<LeaderReply<Vec<ListedQuarantine>>>),
    /// Ends a quarantine at the leader, for this call of an operator.
    EndQuarantine(QuarantineId, SmolStr, Sender<LeaderReply<Ending>>),
    /// Applies an endpoint's announcement to the registry.
    Announce(EndpointRecord),
    /// Applies an endpoint's announcement to the directory; replies whether it may be acknowledged.
    AnnounceToDirectory(EndpointRecord, Sender<bool>),
    /// Withdraws an endpoint that leaves permanently; replies whether that may be acknowledged.
    Withdraw(EndpointName, Sender<bool>),
    /// Reports the scheduler's demands and observations.
    Report(Demands),
    /// Fetches the answer to a request from the instance that dispatched it.
    Answer(InstanceName, u64, u64, Sender<Option<KeptAnswer>>),
    /// Prepares the shutdown of this instance; replies once leadership is transferred and the last
    /// reports are sent.
    Stop(Sender<()>),
}

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: Sender<ControlRequest>,
}

impl Control {
    /// Creates a handle that sends requests to the control thread.
    pub fn new(sender: Sender<ControlRequest>) -> Self {
        Self { sender }
    }

    async fn call<T>(&self, request: impl FnOnce(Sender<T>) -> ControlRequest) -> Option<T> {
        let (sender, receiver) = bounded(1);
        self.sender.send(request(sender)).await.ok()?;
        receiver.recv().await.ok()
    }

    /// Commits a command.
    pub async fn propose(&self, command: Command) -> ProposeReply {
        let reply = self.call(|sender| ControlRequest::Propose(command, sender)).await;
        reply.unwrap_or(ProposeReply::Unknown)
    }

    /// Commits an order to evacuate a failure domain, or to end that, and logs what room it leaves to each
    /// service.
    pub async fn evacuate(&self, order: EvacuationOrder) -> ProposeReply {
        let (domain, begins, by) = (order.domain.clone(), order.begins, order.by.clone());
        let reply = self.propose(Command::Evacuate(order)).await;
        if matches!(reply, ProposeReply::Done(_)) {
            spdlog::info!("evacuation acknowledged", kv: { domain: = domain, begins, by: = by });
            self.log_room().await;
        }
        reply
    }

    async fn log_room(&self) {
        let Some(status) = self.cluster_status().await else { return };
        for (service, room) in status.room_by_service() {
            spdlog::info!("room beside evacuations", kv: {
                service: = service, slots = room.slots, slots_left = room.slots_left,
            });
        }
    }

    /// Reads the committed state.
    ///
    /// # Errors
    /// Fails if no quorum confirms it.
    pub async fn read(&self) -> Result<CommittedState, RefusalKind> {
        self.call(ControlRequest::Read).await.flatten().ok_or(RefusalKind::NoQuorum)
    }

    /// Returns the status of endpoints and instances, or `None` if the control thread has ended.
    pub async fn cluster_status(&self) -> Option<ClusterStatus> {
        self.call(ControlRequest::ClusterStatus).await
    }

    /// Returns the quarantines in force if this instance leads.
    pub async fn quarantines(&self) -> LeaderReply<Vec<ListedQuarantine>> {
        let reply = self.call(ControlRequest::Quarantines).await;
        reply.unwrap_or(LeaderReply::Elsewhere(None))
    }

    /// Ends a quarantine if this instance leads; `by` is the operator's call, for the log.
    pub async fn end_quarantine(&self, id: QuarantineId, by: SmolStr) -> LeaderReply<Ending> {
        let reply = self.call(|sender| ControlRequest::EndQuarantine(id, by, sender)).await;
        reply.unwrap_or(LeaderReply::Elsewhere(None))
    }

    /// Applies an endpoint's announcement to the registry.
    pub async fn announce(&self, record: EndpointRecord) {
        // Sending fails only if the control thread has ended, that is, during process exit.
        let _ = self.sender.send(ControlRequest::Announce(record)).await;
    }

    /// Applies an endpoint's announcement to the directory. Returns whether it may be acknowledged: what
    /// says that an endpoint leaves is held by enough replicas.
    pub async fn announce_to_directory(&self, record: EndpointRecord) -> bool {
        let reply = self.call(|sender| ControlRequest::AnnounceToDirectory(record, sender)).await;
        reply.unwrap_or(false)
    }

    /// Withdraws an endpoint that leaves permanently. Returns whether that may be acknowledged: it took
    /// effect, and enough replicas hold it.
    pub async fn withdraw(&self, endpoint: EndpointName) -> bool {
        let is_withdrawn = self.call(|sender| ControlRequest::Withdraw(endpoint, sender)).await;
        is_withdrawn.unwrap_or(false)
    }

    /// Reports the scheduler's demands and observations.
    pub async fn report(&self, demands: Demands) {
        // Sending fails only if the control thread has ended, that is, during process exit.
        let _ = self.sender.send(ControlRequest::Report(demands)).await;
    }

    /// Fetches the answer to a request from the given incarnation of an instance. Returns `None` if the
    /// instance is unreachable.
    pub async fn answer(
        &self,
        of: &InstanceName,
        incarnation: u64,
        request: u64,
    ) -> Option<KeptAnswer> {
        let of = of.clone();
        self.call(|sender| ControlRequest::Answer(of, incarnation, request, sender)).await.flatten()
    }

    /// Prepares the shutdown of this instance: waits until leadership is transferred and the last
    /// reports are sent.
    pub async fn stop(&self) {
        self.call(ControlRequest::Stop).await;
    }
}
