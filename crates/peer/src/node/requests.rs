//! Requests from the traffic threads.

use super::Node;
use super::calls::CALL_TIMEOUT_MS;
use crate::control::{CommittedState, ControlRequest};
use lycheehub_route::Demands;
use lycheehub_types::{EndpointRecord, InstanceName};
use lycheehub_wire::KeptAnswer;
use lycheehub_wire::peer_capnp::peer;
use std::rc::Rc;

impl Node {
    pub(super) fn take_request(self: &Rc<Self>, request: ControlRequest) {
        match request {
            ControlRequest::Announce(record) => self.take_announcement(record),
            ControlRequest::AnnounceToDirectory(record) => self.hear(record),
            ControlRequest::ClusterStatus(sender) => {
                // One that no longer waits is told nothing.
                let _ = sender.try_send(self.census());
            }
            ControlRequest::Withdraw(endpoint, sender) => {
                // One that no longer waits is told nothing.
                let _ = sender.try_send(self.withdraw(&endpoint));
            }
            ControlRequest::Report(demands) => self.take_demands(demands),
            ControlRequest::Propose(command, sender) => {
                self.answer_later(sender, |node| async move { node.propose(command).await });
            }
            ControlRequest::Read(sender) => {
                self.answer_later(sender, |node| async move { node.statement().await });
            }
            ControlRequest::Answer(instance, incarnation, request, sender) => {
                self.answer_later(sender, |node| async move {
                    node.ask_answer(&instance, incarnation, request).await
                });
            }
            ControlRequest::Stop(sender) => {
                self.answer_later(sender, |node| async move { node.stop().await });
            }
        }
    }

    fn answer_later<T, F>(
        self: &Rc<Self>,
        sender: smol::channel::Sender<T>,
        work: impl FnOnce(Rc<Self>) -> F,
    ) where
        T: 'static,
        F: std::future::Future<Output = T> + 'static,
    {
        let work = work(self.clone());
        let task = async move {
            // One that no longer waits needs no answer.
            let _ = sender.send(work.await).await;
        };
        self.executor.spawn(task).detach();
    }

    fn take_announcement(self: &Rc<Self>, record: EndpointRecord) {
        let leaves = {
            let mut core = self.core.borrow_mut();
            let before = core.registry.endpoint(&record.endpoint);
            let known = before.is_some_and(|known| known.record.leaving);
            let leaves = record.leaving && !known;
            let news = core.registry.update_endpoint(self.clock.now_ms(), record, 0);
            core.dirty |= news;
            leaves
        };
        if leaves {
            self.beat_urgently();
        }
    }

    fn take_demands(self: &Rc<Self>, demands: Demands) {
        let (starved, shed) = {
            let mut core = self.core.borrow_mut();
            let mut observations = std::mem::take(&mut core.demands.observations);
            let mut trips = std::mem::take(&mut core.demands.trips);
            for (key, observation) in &demands.observations {
                *observations.entry(key.clone()).or_default() += *observation;
            }
            trips.extend(demands.trips.clone());
            trips.retain(|id, _| core.state.moves.get(id).is_some_and(|m| !m.phase.is_final()));
            let shed = core.demands.shed_floor != demands.shed_floor;
            let starved = demands.starved && !core.demands.starved;
            core.demands = Demands { observations, trips, ..demands };
            (starved, shed)
        };
        if starved {
            self.report();
        }
        if shed {
            self.beat_urgently();
        }
    }

    async fn statement(self: Rc<Self>) -> Option<CommittedState> {
        let feed = self.read_feed(0).await?;
        let statement = CommittedState {
            revision: feed.revision,
            sections: feed.sections.clone(),
            moves: feed.moves.clone(),
            document: feed.document.clone().unwrap_or_default(),
            rollouts: feed.rollouts.clone(),
        };
        self.take_feed(feed);
        Some(statement)
    }

    async fn ask_answer(
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

    /// Returns what is known of the answer to a request of an earlier or this run of an instance.
    pub(crate) fn kept_answer(
        &self,
        instance: &InstanceName,
        incarnation: u64,
        request: u64,
    ) -> KeptAnswer {
        let own = self.settings.instance == *instance && self.incarnation() == incarnation;
        if own { self.answers.answer(request) } else { KeptAnswer::Gone }
    }

    /// Passes on leadership and the last records before the process ends.
    async fn stop(self: Rc<Self>) {
        const PASS_ON_MS: u64 = 300;
        self.core.borrow_mut().own.stopping = true;
        self.report();
        self.beat_urgently();
        self.drive(|driver, now_ms| driver.replica.transfer_leadership(now_ms));
        smol::Timer::after(std::time::Duration::from_millis(PASS_ON_MS)).await;
    }
}
