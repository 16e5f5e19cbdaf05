//! The server side of connections between instances.

use crate::count::CountingWriter;
use crate::link::MESSAGE_MAX_WORDS;
use crate::node::{Entered, Node, SessionKey, WatchPosition};
use crate::watch::REVISION_FROM_LOG;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use lycheehub_auth::{self as auth, Role};
use lycheehub_consensus::ReplicaId;
use lycheehub_control::directory::ChangePosition;
use lycheehub_control::registry::Delta;
use lycheehub_dispatch::JobId;
use lycheehub_types::{EndpointName, InstanceName};
use lycheehub_wire::peer_capnp::placement;
use lycheehub_wire::peer_capnp::{greeter, peer};
use lycheehub_wire::{Report, WireError};
use smol::net::{TcpListener, TcpStream};
use smol_str::SmolStr;
use std::rc::Rc;

/// Accepts peer connections as long as the task runs.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(&node, stream),
            Err(error) => {
                spdlog::warn!("failed to accept a peer connection", kv: { error: });
                smol::Timer::after(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

fn serve(node: &Rc<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    let network = VatNetwork::new(stream.clone(), CountingWriter(stream), Side::Server, options);
    let greeter = Greeter { node: node.clone(), nonce: auth::nonce() };
    let client: greeter::Client = new_client(greeter);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let connection = async move {
        // When the connection ends, the calls of the peer fail with the error.
        let _ = system.await;
    };
    node.executor().spawn(connection).detach();
}

/// Authenticates a peer on a new connection.
struct Greeter {
    node: Rc<Node>,
    nonce: Vec<u8>,
}

fn read_text<'a>(reader: capnp::Result<capnp::text::Reader<'a>>) -> Result<&'a str, capnp::Error> {
    Ok(reader?.to_str().map_err(WireError::from)?)
}

impl greeter::Server for Greeter {
    async fn challenge(
        self: Rc<Self>,
        _: greeter::ChallengeParams,
        mut results: greeter::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_nonce(&self.nonce);
        Ok(())
    }

    async fn login(
        self: Rc<Self>,
        params: greeter::LoginParams,
        mut results: greeter::LoginResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let name = read_text(params.get_instance())?;
        let initiator_nonce = params.get_nonce()?;
        let key = &self.node.settings().peer_key;
        let expected = auth::prove(key, Role::Initiator, &self.nonce, initiator_nonce, name);
        if !auth::matches(&expected, params.get_proof()?) {
            spdlog::warn!("peer refused: wrong key", kv: { name });
            return Err(capnp::Error::failed("the key is wrong".to_owned()));
        }
        let proof = auth::prove(key, Role::Responder, &self.nonce, initiator_nonce, name);
        results.get().set_proof(&proof);
        let peer = PeerServer { node: self.node.clone() };
        results.get().set_peer(new_client(peer));
        Ok(())
    }
}

/// Serves the calls of an authenticated peer.
struct PeerServer {
    node: Rc<Node>,
}

impl peer::Server for PeerServer {
    async fn consensus(
        self: Rc<Self>,
        params: peer::ConsensusParams,
        _: peer::ConsensusResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (from, to) = (ReplicaId(params.get_sender()), ReplicaId(params.get_receiver()));
        if let Some(message) = lycheehub_wire::read_message(params.get_message()?)? {
            self.node.on_consensus(from, to, message);
        }
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: peer::StatusParams,
        mut results: peer::StatusResults,
    ) -> Result<(), capnp::Error> {
        let status = self.node.replica_status();
        results.get().set_id(status.id.0);
        lycheehub_wire::write_config(&status.config, results.get().init_config());
        Ok(())
    }

    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let sender = InstanceName::from(read_text(params.get_sender())?);
        let delta = Delta::try_from(params.get_delta()?)?;
        let reply = self.node.on_gossip(sender, params.get_started(), delta);
        lycheehub_wire::write_delta(&reply, results.get().init_delta());
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> Result<(), capnp::Error> {
        let command = params.get()?.get_command()?.to_vec();
        let reply = self.node.propose_local(command).await;
        lycheehub_wire::write_propose_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        params: peer::ReadParams,
        mut results: peer::ReadResults,
    ) -> Result<(), capnp::Error> {
        let revision = params.get()?.get_revision();
        let feed = self.node.read_local(revision).await;
        results.get().set_confirmed(feed.is_some());
        results.get().set_feed(&feed.map(|feed| feed.encode()).unwrap_or_default());
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: peer::FollowParams,
        mut results: peer::FollowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (revision, wait_ms) = (params.get_revision(), params.get_wait_ms());
        let feed = self.node.changes_after(revision, u64::from(wait_ms)).await;
        results.get().set_feed(&feed.encode());
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> Result<(), capnp::Error> {
        let report = Report::try_from(params.get()?.get_report()?)?;
        let reply = self.node.on_report(report);
        lycheehub_wire::write_report_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn answer(
        self: Rc<Self>,
        params: peer::AnswerParams,
        mut results: peer::AnswerResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let instance = InstanceName::from(read_text(params.get_instance())?);
        let answer =
            self.node.kept_answer(&instance, params.get_incarnation(), params.get_request());
        lycheehub_wire::write_kept_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: peer::WatchParams,
        mut results: peer::WatchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let leader = read_text(params.get_leader())?;
        let position = WatchPosition {
            local: ChangePosition { epoch: params.get_epoch(), change: params.get_change() },
            relayed: params.get_relayed(),
            replica_positions: lycheehub_wire::read_heard(params.get_heard()?),
            revision: params.get_revision(),
            leader: (!leader.is_empty()).then(|| InstanceName::new(leader)),
        };
        let sender = InstanceName::from(read_text(params.get_sender())?);
        if position.revision == REVISION_FROM_LOG {
            self.node.record_copies(sender, position.local);
        } else {
            self.node.record_poll(&sender, position.revision);
        }
        let changes = self.node.wait_for_changes(&position, u64::from(params.get_wait_ms())).await;
        let mut reply = results.get();
        reply.set_epoch(changes.local.epoch);
        reply.set_change(changes.local.change);
        reply.set_relayed(changes.relayed);
        reply.set_revision(changes.revision);
        reply.set_leader(changes.leader.as_ref().map_or("", InstanceName::as_str));
        let count = changes.listings.len() as u32;
        lycheehub_wire::write_listings(&changes.listings, reply.reborrow().init_listings(count));
        let count = changes.relays.len() as u32;
        lycheehub_wire::write_listings(&changes.relays, reply.reborrow().init_relays(count));
        let mut replicas = reply.init_replicas(changes.replicas.len() as u32);
        for (index, (instance, address)) in (0..).zip(&changes.replicas) {
            let mut entry = replicas.reborrow().get(index);
            entry.set_instance(instance.as_str());
            entry.set_address(&**address);
        }
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: peer::EnterParams,
        mut results: peer::EnterResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let instance = InstanceName::from(read_text(params.get_instance())?);
        let in_flight = lycheehub_wire::read_in_flight(params.get_in_flight()?);
        let usage = lycheehub_wire::read_usage(params)?;
        let relay_address = SmolStr::new(read_text(params.get_relay_address())?);
        let entered = Entered { instance, relay_address };
        let Some(session) = self.node.open_session(entered, &in_flight, &usage) else {
            return Err(not_leading());
        };
        let placement = PlacementServer { node: self.node.clone(), session };
        results.get().set_placement(new_client(placement));
        Ok(())
    }
}

/// Serves the placement calls of one instance; dropped when the connection of the instance ends.
struct PlacementServer {
    node: Rc<Node>,
    session: SessionKey,
}

impl Drop for PlacementServer {
    fn drop(&mut self) {
        self.node.close_session(self.session);
    }
}

impl placement::Server for PlacementServer {
    async fn place(
        self: Rc<Self>,
        params: placement::PlaceParams,
        mut results: placement::PlaceResults,
    ) -> Result<(), capnp::Error> {
        let job = lycheehub_wire::read_job(self.session.instance, params.get()?.get_job()?)?;
        let decision = self.node.place(self.session, job).await.ok_or_else(not_leading)?;
        lycheehub_wire::write_decision(&decision, results.get().init_decision());
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        params: placement::FinishParams,
        mut results: placement::FinishResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let finished = lycheehub_wire::read_finished(self.session.instance, params.get_finished()?);
        let is_heartbeat = finished.is_empty();
        let begun = lycheehub_wire::read_begun(self.session.instance, params.get_begun()?);
        self.node.record_answers_begun(self.session, &begun);
        if is_heartbeat {
            self.node.set_path_lost(self.session, params.get_path_lost());
        }
        let instances = self.node.finish(self.session, finished).ok_or_else(not_leading)?;
        results.get().set_instances(instances);
        if is_heartbeat {
            let accounts = self.node.accounts_near_quota();
            let mut near_quota = results.get().init_tight(accounts.len() as u32);
            for (index, account) in (0..).zip(&accounts) {
                near_quota.set(index, account.as_str());
            }
            let (revision, limits) = self.node.limits(params.get_limits_revision());
            results.get().set_limits_revision(revision);
            lycheehub_wire::write_limits(&limits, results.get().init_limits(limits.len() as u32));
            let relays = self.node.relays(self.session);
            let mut builder = results.get().init_relays(relays.len() as u32);
            for (index, relay) in (0..).zip(&relays) {
                builder.set(index, relay.as_str());
            }
            let (revision, quarantines) = self.node.quarantines(params.get_quarantines_revision());
            results.get().set_quarantines_revision(revision);
            let builder = results.get().init_quarantines(quarantines.len() as u32);
            lycheehub_wire::write_quarantines(&quarantines, builder);
        }
        Ok(())
    }

    async fn stalled(
        self: Rc<Self>,
        params: placement::StalledParams,
        _: placement::StalledResults,
    ) -> Result<(), capnp::Error> {
        let job_id = JobId { instance: self.session.instance, number: params.get()?.get_number() };
        self.node.with_dispatcher(self.session, |dispatcher, now_ms| {
            dispatcher.report_stall(now_ms, job_id);
        });
        Ok(())
    }

    async fn withdraw(
        self: Rc<Self>,
        params: placement::WithdrawParams,
        _: placement::WithdrawResults,
    ) -> Result<(), capnp::Error> {
        self.node.withdraw_job(self.session, params.get()?.get_number());
        Ok(())
    }

    async fn heed(
        self: Rc<Self>,
        params: placement::HeedParams,
        _: placement::HeedResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = EndpointName::from(read_text(params.get_endpoint())?);
        let (notice, incarnation) = lycheehub_wire::read_notice(params)?;
        let instance = self.session.instance;
        self.node.with_dispatcher(self.session, |dispatcher, now_ms| {
            dispatcher.record_notice(now_ms, instance, (&endpoint, incarnation), notice);
        });
        Ok(())
    }

    async fn unlimited(
        self: Rc<Self>,
        params: placement::UnlimitedParams,
        _: placement::UnlimitedResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let job_id = JobId { instance: self.session.instance, number: params.get_number() };
        let Some(kind) = lycheehub_wire::read_limit_kind(params) else { return Ok(()) };
        self.node.with_dispatcher(self.session, |dispatcher, _| {
            dispatcher.record_unlimited(job_id, kind);
        });
        Ok(())
    }
}

fn not_leading() -> capnp::Error {
    capnp::Error::failed("this instance does not lead".to_owned())
}
