//! Handles requests from the traffic threads.

use super::Node;
use super::calls::CALL_TIMEOUT_MS;
use crate::control::{CommittedState, ControlRequest};
use lycheehub_route::Demands;
use lycheehub_types::{EndpointRecord, InstanceName};
use lycheehub_wire::KeptAnswer;
use lycheehub_wire::peer_capnp::peer;
use std::rc::Rc;

impl Node {
    pub(super) fn handle_request(self: &Rc<Self>, request: ControlRequest) {
        match request {
            ControlRequest::Announce(record) => self.apply_announcement(record),
            ControlRequest::AnnounceToDirectory(record, sender) => {
                self.spawn_reply(
                    sender,
                    |node| async move { node.announce_endpoint(record).await },
                );
            }
            ControlRequest::ClusterStatus(sender) => {
                // The send fails only if the caller no longer waits.
                let _ = sender.try_send(self.cluster_status());
            }
            ControlRequest::Quarantines(sender) => {
                self.spawn_reply(sender, |node| async move { node.listed_quarantines().await });
            }
            ControlRequest::EndQuarantine(id, by, sender) => {
                self.spawn_reply(sender, |node| async move { node.end_quarantine(id, &by).await });
            }
            ControlRequest::Withdraw(endpoint, sender) => {
                self.spawn_reply(sender, |node| async move { node.withdraw(endpoint).await });
            }
            ControlRequest::Report(demands) => self.apply_demands(demands),
            ControlRequest::Propose(command, sender) => {
                self.spawn_reply(sender, |node| async move { node.propose(command).await });
            }
            ControlRequest::Read(sender) => {
                self.spawn_reply(sender, |node| async move { node.read_statement().await });
            }
            ControlRequest::Answer(instance, incarnation, request, sender) => {
                self.spawn_reply(sender, |node| async move {
                    node.fetch_answer(&instance, incarnation, request).await
                });
            }
            ControlRequest::Stop(sender) => {
                self.spawn_reply(sender, |node| async move { node.stop().await });
            }
        }
    }

    /// Spawns `work` and sends its result as the reply.
    fn spawn_reply<T, F>(
        self: &Rc<Self>,
        sender: smol::channel::Sender<T>,
        work: impl FnOnce(Rc<Self>) -> F,
    ) where
        T: 'static,
        F: std::future::Future<Output = T> + 'static,
    {
        let work = work(self.clone());
        let task = async move {
            // The send fails only if the caller no longer waits.
            let _ = sender.send(work.await).await;
        };
        self.executor.spawn(task).detach();
    }

    fn apply_announcement(self: &Rc<Self>, record: EndpointRecord) {
        let starts_leaving = {
            let mut core = self.core.borrow_mut();
            let before = core.registry.endpoint(&record.endpoint);
            let was_leaving = before.is_some_and(|known| known.record.leaving);
            let starts_leaving = record.leaving && !was_leaving;
            let changed = core.registry.update_endpoint(self.clock.now_ms(), record, 0);
            core.dirty |= changed;
            starts_leaving
        };
        if starts_leaving {
            self.send_urgent_heartbeat();
        }
    }

    fn apply_demands(self: &Rc<Self>, demands: Demands) {
        let (became_starved, shed_floor_changed) = {
            let mut core = self.core.borrow_mut();
            let mut observations = std::mem::take(&mut core.demands.observations);
            let mut trips = std::mem::take(&mut core.demands.trips);
            for (key, observation) in &demands.observations {
                *observations.entry(key.clone()).or_default() += *observation;
            }
            trips.extend(demands.trips.clone());
            trips.retain(|id, _| core.state.moves.get(id).is_some_and(|m| !m.phase.is_final()));
            let shed_floor_changed = core.demands.shed_floor != demands.shed_floor;
            let became_starved = demands.starved && !core.demands.starved;
            core.demands = Demands { observations, trips, ..demands };
            (became_starved, shed_floor_changed)
        };
        if became_starved {
            self.report();
        }
        if shed_floor_changed {
            self.send_urgent_heartbeat();
        }
    }

    /// Reads the committed state through a quorum and applies it here.
    async fn read_statement(self: Rc<Self>) -> Option<CommittedState> {
        let feed = self.read_feed(0).await?;
        let statement = CommittedState {
            revision: feed.revision,
            sections: feed.sections.clone(),
            moves: feed.moves.clone(),
            document: feed.document.clone().unwrap_or_default(),
            rollouts: feed.rollouts.clone(),
            evacuations: feed.evacuations.clone(),
        };
        self.apply_feed(feed);
        Some(statement)
    }

    /// Requests a stored answer from the instance that dispatched the request.
    async fn fetch_answer(
        self: &Rc<Self>,
        instance: &InstanceName,
        incarnation: u64,
        request: u64,
    ) -> Option<KeptAnswer> {
        if *instance == self.settings.instance {
            return Some(self.kept_answer(instance, incarnation, request));
        }
        let call = |peer: peer::Client| async move {
            let mut call = peer.answer_request();
            call.get().set_instance(instance.as_str());
            call.get().set_incarnation(incarnation);
            call.get().set_request(request);
            let reply = call.send().promise.await?;
            Ok(KeptAnswer::try_from(reply.get()?.get_answer()?)?)
        };
        self.call("answer", instance, CALL_TIMEOUT_MS, call).await.ok()
    }

    /// Returns the stored answer to a request of this run of this instance; answers of another run
    /// or instance are gone.
    pub(crate) fn kept_answer(
        &self,
        instance: &InstanceName,
        incarnation: u64,
        request: u64,
    ) -> KeptAnswer {
        let is_this_run = self.settings.instance == *instance && self.incarnation() == incarnation;
        if is_this_run { self.answers.answer(request) } else { KeptAnswer::Gone }
    }
}
