//! The handle by which traffic threads reach the control thread.

use lycheehub_control::placement::LoadOrder;
use lycheehub_control::state::{Command, DocumentRecord, MoveRecord, RolloutRecord, SectionRecord};
use lycheehub_route::Demands;
use lycheehub_types::{
    EndpointName, EndpointRecord, InstanceName, RefusalKind, SectionName, ServiceName,
};
use lycheehub_wire::{KeptAnswer, ProposeReply};
use smol::channel::{Sender, bounded};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Where the answers of this instance's own requests are kept.
pub trait AnswerSource: Send + Sync {
    /// Returns what is known of the answer to a request.
    fn answer(&self, request: u64) -> KeptAnswer;
}

/// Where orders to endpoints are sent from.
pub trait OrderSink: Send + Sync {
    /// Sends an order while it is valid; whether it was taken shows in later announcements.
    fn send(&self, order: LoadOrder);
}

/// What is committed, as confirmed by a quorum.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    /// The newest revision.
    pub revision: u64,
    /// All sections.
    pub sections: BTreeMap<SectionName, SectionRecord>,
    /// All moves.
    pub moves: BTreeMap<SmolStr, MoveRecord>,
    /// The route document; of revision 0 where there is none.
    pub document: DocumentRecord,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
}

/// An endpoint as a control instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenEndpoint {
    /// What it last said of itself.
    pub record: EndpointRecord,
    /// The instance that heard it last.
    pub heard_by: InstanceName,
}

/// An instance as a control instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenInstance {
    /// The instance.
    pub instance: InstanceName,
    /// Whether it holds a control replica.
    pub holds_replica: bool,
    /// The revision that it has.
    pub revision_in_force: u64,
    /// Whether it was heard of late.
    pub is_live: bool,
}

/// What a control instance knows of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Census {
    /// The revision here.
    pub revision: u64,
    /// The endpoints that are there, leaving ones included.
    pub endpoints: Vec<SeenEndpoint>,
    /// The instances that were heard within the last minute.
    pub instances: Vec<SeenInstance>,
}

/// A request to the control thread; the answer goes to the sender inside.
#[derive(Debug)]
pub enum ControlRequest {
    /// Commits a command.
    Propose(Command, Sender<ProposeReply>),
    /// Reads what is committed, nothing without a quorum.
    Read(Sender<Option<Statement>>),
    /// Tells what is known of endpoints and instances.
    Census(Sender<Census>),
    /// Takes an endpoint's announcement.
    Announce(EndpointRecord),
    /// Takes an endpoint's announcement into the directory.
    Hear(EndpointRecord),
    /// Takes the word of an endpoint that it leaves for good; answers whether that takes effect.
    Withdraw(EndpointName, Sender<bool>),
    /// Takes what the scheduler wants and has seen.
    Report(Demands),
    /// Asks another instance for the answer to a request that it dispatched.
    Answer(InstanceName, u64, u64, Sender<Option<KeptAnswer>>),
    /// This instance is shutting down; answers once leadership and the last reports are passed on.
    Stop(Sender<()>),
}

/// The handle.
#[derive(Clone, Debug)]
pub struct Control {
    sender: Sender<ControlRequest>,
}

impl Control {
    /// Makes a handle that sends to the control thread.
    pub fn new(sender: Sender<ControlRequest>) -> Self {
        Self { sender }
    }

    async fn ask<T>(&self, request: impl FnOnce(Sender<T>) -> ControlRequest) -> Option<T> {
        let (sender, receiver) = bounded(1);
        self.sender.send(request(sender)).await.ok()?;
        receiver.recv().await.ok()
    }

    /// Commits a command.
    pub async fn propose(&self, command: Command) -> ProposeReply {
        let reply = self.ask(|sender| ControlRequest::Propose(command, sender)).await;
        reply.unwrap_or(ProposeReply::Unknown)
    }

    /// Reads what is committed.
    ///
    /// # Errors
    /// Fails where no quorum confirms it.
    pub async fn read(&self) -> Result<Statement, RefusalKind> {
        self.ask(ControlRequest::Read).await.flatten().ok_or(RefusalKind::NoQuorum)
    }

    /// Returns what is known of endpoints and instances; nothing where the control thread has ended.
    pub async fn census(&self) -> Option<Census> {
        self.ask(ControlRequest::Census).await
    }

    /// Passes an endpoint's announcement on.
    pub async fn announce(&self, record: EndpointRecord) {
        // The control thread is gone only when the process ends.
        let _ = self.sender.send(ControlRequest::Announce(record)).await;
    }

    /// Passes an endpoint's announcement on to the directory.
    pub async fn hear(&self, record: EndpointRecord) {
        // The control thread is gone only when the process ends.
        let _ = self.sender.send(ControlRequest::Hear(record)).await;
    }

    /// Passes on that an endpoint leaves for good; tells whether that takes effect.
    pub async fn withdraw(&self, endpoint: EndpointName) -> bool {
        let taken = self.ask(|sender| ControlRequest::Withdraw(endpoint, sender)).await;
        taken.unwrap_or(false)
    }

    /// Passes on what the scheduler wants and has seen.
    pub async fn report(&self, demands: Demands) {
        // The control thread is gone only when the process ends.
        let _ = self.sender.send(ControlRequest::Report(demands)).await;
    }

    /// Asks the instance of this incarnation for the answer to a request; nothing if it cannot be
    /// reached.
    pub async fn answer(
        &self,
        of: &InstanceName,
        incarnation: u64,
        request: u64,
    ) -> Option<KeptAnswer> {
        let of = of.clone();
        self.ask(|sender| ControlRequest::Answer(of, incarnation, request, sender)).await.flatten()
    }

    /// Tells the control thread that this instance shuts down.
    pub async fn stop(&self) {
        self.ask(ControlRequest::Stop).await;
    }
}
