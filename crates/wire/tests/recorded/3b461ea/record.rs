//! Writes a message of each kind as the build of this checkout encodes it.
//!
//! How the recordings were made: as `crates/wire/examples/record.rs` in a checkout of the build, with
//! lycheehub-routes and lycheehub-estate among the dependencies, `cargo run --example record -- FOLDER`.

use capnp::message::{Builder, HeapAllocator};
use lycheehub_consensus::storage::{Disk, Storage};
use lycheehub_consensus::{Config, Entry, Message, Payload, Position, ReplicaId, Snapshot, Vote};
use lycheehub_control::directory::{ChangePosition, Listing};
use lycheehub_control::moves::{Observation, ObservationKey};
use lycheehub_control::registry::{Delta, InstanceRenewal, Renewal};
use lycheehub_control::slots::Demand;
use lycheehub_control::state::{
    ApplyOutcome, ClaimKey, ClaimOutcome, ClaimState, Claimant, DocumentRecord, MoveStep, Phase,
    Reply, RolloutOrder, RolloutState, RolloutStep, Submission,
};
use lycheehub_control::{Command, State};
use lycheehub_dispatch::crashes::{Crash, CrashReport, EndpointStart, PartAnswer, Prompt, Quarantine};
use lycheehub_dispatch::LimitKind;
use lycheehub_dispatch::{
    Decision, Finished, InFlight, Job, JobId, Limit, Notice, Outcome, PrefixPart, Reason,
    RetryUsage, StatedLimit, Usage, UsageReport,
};
use lycheehub_routes::{
    AccountSpec, ClientLimits, Document, EngineSpec, Quota, RequestKind, RouteSpec, ServiceSpec,
    Target,
};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord, InstanceRecord, Tier};
use lycheehub_wire::peer_capnp as schema;
use lycheehub_wire::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

struct Recorder {
    folder: PathBuf,
}

impl Recorder {
    fn bytes(&self, name: &str, bytes: &[u8]) {
        std::fs::write(self.folder.join(name), bytes).unwrap();
    }

    fn message(&self, name: &str, write: impl FnOnce(&mut Builder<HeapAllocator>)) {
        let mut message = Builder::new_default();
        write(&mut message);
        self.bytes(&format!("{name}.capnp"), &capnp::serialize::write_message_to_words(&message));
    }
}

fn claimant() -> Claimant {
    Claimant { instance: "entry-1".into(), incarnation: 1_700_000_000_001, request: 77 }
}

fn key() -> ClaimKey {
    ClaimKey { account: "ana".into(), key: "order-1".into() }
}

fn document() -> Document {
    let target = |service: &str, weight| Target { service: service.into(), weight };
    let route = |name: &str, kind, targets| RouteSpec {
        name: name.into(),
        host: "".into(),
        path_prefix: format!("/{name}").into(),
        kind,
        timeout_ms: 9_000,
        objective_ms: 300,
        gap_objective_ms: Some(250),
        patience_ms: None,
        rank: 2,
        targets,
        attempts_max: 3,
        anonymous: name == "open",
    };
    let engine = EngineSpec { slots: 9, memory_tokens: 500_000, tokens_per_event: 5 };
    let service = |name: &str, engine| ServiceSpec {
        name: name.into(),
        health_path: "/health".into(),
        connections_max: Some(64),
        engine,
    };
    let quota =
        Quota { in_tokens: true, untold_tokens: 600, units_per_s: 12.5, burst_units: 40.0 };
    Document {
        version: 7,
        routes: vec![
            route("write", RequestKind::Unsafe, vec![target("writer", 3), target("labels", 1)]),
            route("open", RequestKind::Idempotent, vec![target("labels", 1)]),
        ],
        services: vec![service("writer", Some(engine)), service("labels", None)],
        limits: ClientLimits::default(),
        accounts: vec![AccountSpec {
            name: "ana".into(),
            keys: vec!["k1".into(), "k2".into()],
            tier: Some(1),
            quota: Some(quota),
        }],
    }
}

const SECTION: &str = r#"
owner = "ana"
[service.labels]
kind = "engine"
version = "v1"
[move.m1]
service = "labels"
to = "v2"
by = "2026-12-04T12:00:00Z"
"#;

fn commands() -> Vec<(&'static str, Command)> {
    let submission = Submission {
        section: "labels".into(),
        base_revision: 0,
        request_id: "r1".into(),
        operator: "ana".into(),
        text: SECTION.into(),
    };
    let claim = Command::Claim {
        key: key(),
        claimant: claimant(),
        fingerprint: u64::MAX - 1,
        now_unix_ms: 1_700_000_000_100,
    };
    let settle = |state| Command::Settle { key: key(), claimant: claimant(), state };
    let record = DocumentRecord { revision: 0, document: document(), source: b"{\"v\":7}".to_vec() };
    let order = RolloutOrder {
        service: "writer".into(),
        target: "v2".into(),
        duration_ms: 20_000,
        now_unix_ms: 1_700_000_000_200,
    };
    let step = |state, share_permille| RolloutStep {
        service: "writer".into(),
        after_revision: 8,
        state,
        share_permille,
        reason: "healthy".into(),
        now_unix_ms: 1_700_000_000_300,
    };
    let move_step = MoveStep {
        id: "m1".into(),
        after_step: 0,
        phase: Phase::Loading,
        share_permille: 10,
        reason: "begins".into(),
        now_unix_ms: 1_700_000_000_050,
    };
    vec![
        ("submit", Command::Submit(submission)),
        ("step-move", Command::StepMove(move_step)),
        ("claim", claim),
        ("settle-answered", settle(ClaimState::Answered)),
        ("settle-not-run", settle(ClaimState::NotRun)),
        ("settle-unknown", settle(ClaimState::Unknown)),
        ("replace-document", Command::ReplaceDocument(record)),
        ("start-rollout", Command::StartRollout(order)),
        ("step-rollout-running", Command::StepRollout(step(RolloutState::Running, 100))),
        ("step-rollout-completed", Command::StepRollout(step(RolloutState::Completed, 1_000))),
        ("step-rollout-rolled-back", Command::StepRollout(step(RolloutState::RolledBack, 0))),
    ]
}

fn position(term: u64, index: u64) -> Position {
    Position { term, index }
}

fn config() -> Config {
    let voters = [(1, "control-1"), (2, "control-2"), (u64::MAX, "control-3")];
    Config { voters: voters.map(|(id, name)| (ReplicaId(id), name.into())).into() }
}

fn state() -> State {
    let mut state = State::default();
    for (index, (name, command)) in (1..).zip(commands()) {
        if name.starts_with("settle") && name != "settle-answered" {
            continue;
        }
        let is_last_step = name == "step-rollout-completed" || name == "step-rollout-rolled-back";
        if is_last_step {
            continue;
        }
        println!("{name}: {:?}", state.apply(index, command));
    }
    state
}

fn entries() -> Vec<Entry> {
    let command = Payload::Command(commands()[2].1.encode());
    vec![
        Entry { position: position(3, 9), payload: Payload::Noop },
        Entry { position: position(3, 10), payload: Payload::Config(config()) },
        Entry { position: position(3, 11), payload: command },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { position: position(2, 8), config: config(), data: state().encode() }
}

fn record_stored(recorder: &Recorder) {
    for (name, command) in commands() {
        recorder.bytes(&format!("command-{name}.postcard"), &command.encode());
    }
    recorder.bytes("state.postcard", &state().encode());
    recorder.bytes("feed.postcard", &state().feed_after(0).encode());
    let folder = recorder.folder.join("disk");
    let _ = std::fs::remove_dir_all(&folder);
    let mut disk = Disk::open(&folder).unwrap();
    disk.load().unwrap();
    disk.save_vote(&Vote { term: 3, voted_for: Some(ReplicaId(2)) }).unwrap();
    disk.save_snapshot(&snapshot(), true).unwrap();
    disk.append(&entries()[..2]).unwrap();
    disk.append(&entries()[2..]).unwrap();
}

fn record_consensus(recorder: &Recorder) {
    let last = position(3, 11);
    let append = Message::Append {
        term: 3,
        previous: position(2, 8),
        entries: entries(),
        commit: 9,
        round: 41,
    };
    let messages = [
        ("pre-vote", Message::PreVote { term: 4, last }),
        ("pre-vote-reply", Message::PreVoteReply { term: 4, granted: true }),
        ("request-vote", Message::RequestVote { term: 4, last, transfer: true }),
        ("vote-reply", Message::VoteReply { term: 4, granted: true }),
        ("append", append),
        ("append-reply", Message::AppendReply { term: 3, accepted: true, index: 11, round: 41 }),
        ("install", Message::Install { term: 3, snapshot: snapshot(), round: 42 }),
        ("campaign-now", Message::CampaignNow { term: 5 }),
    ];
    for (name, message) in messages {
        recorder.message(&format!("consensus-{name}"), |builder| {
            let mut params = builder.init_root::<schema::peer::consensus_params::Builder<'_>>();
            params.set_sender(1);
            params.set_receiver(u64::MAX);
            write_message(&message, params.init_message());
        });
    }
}

fn endpoint(name: &str) -> EndpointRecord {
    EndpointRecord {
        endpoint: name.into(),
        address: "10.0.0.9:8080".into(),
        service: "writer".into(),
        version: "v1".into(),
        kind: EndpointKind::Plain,
        hardware: "h1".into(),
        failure_domain: "salto".into(),
        slots: 9,
        fencing: true,
        takes_orders: true,
        incarnation: 1_700_000_000_001,
        sequence: 12,
        leaving: true,
        load: EndpointLoad { running: 3, waiting: 4 },
    }
}

fn record_directory(recorder: &Recorder) {
    let instance = InstanceRecord {
        instance: "entry-1".into(),
        peer_address: "10.0.0.1:7600".into(),
        http_address: "10.0.0.1:8080".into(),
        failure_domain: "salto".into(),
        incarnation: 5,
        sequence: 6,
        replica_id: 7,
        revision_in_force: 8,
        stopping: true,
        shed_floor: BTreeMap::from([("writer".into(), Tier::new(2))]),
    };
    let load = EndpointLoad { running: 3, waiting: 4 };
    let delta = Delta {
        instances: vec![(instance, 100)],
        endpoints: vec![(endpoint("e-1"), 200), (endpoint("e-2"), 300)],
        renewals: vec![(Renewal { key: 99, sequence: 13, load }, 10)],
        instance_renewals: vec![(
            InstanceRenewal { key: 98, sequence: 14, revision_in_force: 9 },
            20,
        )],
    };
    recorder.message("gossip-params", |builder| {
        let mut params = builder.init_root::<schema::peer::gossip_params::Builder<'_>>();
        params.set_sender("entry-1");
        params.set_started(true);
        write_delta(&delta, params.init_delta());
    });
    let listings = [
        Listing { record: endpoint("e-1"), gone: false, withdrawn: false },
        Listing { record: endpoint("e-2"), gone: true, withdrawn: true },
    ];
    recorder.message("watch-results", |builder| {
        let mut reply = builder.init_root::<schema::peer::watch_results::Builder<'_>>();
        reply.set_epoch(1);
        reply.set_change(2);
        reply.set_revision(3);
        reply.set_leader("control-1");
        reply.set_relayed(4);
        write_listings(&listings, reply.reborrow().init_listings(2));
        write_listings(&listings[..1], reply.reborrow().init_relays(1));
        let mut replica = reply.init_replicas(1).get(0);
        replica.set_instance("control-1");
        replica.set_address("10.0.0.2:7600");
    });
    let heard = BTreeMap::from([("control-2".into(), ChangePosition { epoch: 5, change: 6 })]);
    recorder.message("watch-params", |builder| {
        let mut params = builder.init_root::<schema::peer::watch_params::Builder<'_>>();
        params.set_sender("entry-1");
        params.set_leader("control-1");
        params.set_revision(9);
        write_heard(&heard, params.init_heard(1));
    });
}

fn record_replies(recorder: &Recorder) {
    let taken = |state| ClaimOutcome::Taken { claimant: claimant(), state };
    let conflict = ApplyOutcome::Conflict {
        revision: 5,
        operator: "ana".into(),
        request_id: "r1".into(),
    };
    let replies = [
        ("not-leader", ProposeReply::NotLeader),
        ("unknown", ProposeReply::Unknown),
        ("accepted", ProposeReply::Done(Reply::Apply(ApplyOutcome::Accepted { revision: 4 }))),
        ("conflict", ProposeReply::Done(Reply::Apply(conflict))),
        (
            "invalid",
            ProposeReply::Done(Reply::Apply(ApplyOutcome::Invalid { message: "no".into() })),
        ),
        ("stepped", ProposeReply::Done(Reply::Stepped(true))),
        ("claim-granted", ProposeReply::Done(Reply::Claim(ClaimOutcome::Granted))),
        ("claim-taken-open", ProposeReply::Done(Reply::Claim(taken(ClaimState::Open)))),
        ("claim-taken-answered", ProposeReply::Done(Reply::Claim(taken(ClaimState::Answered)))),
        ("claim-taken-not-run", ProposeReply::Done(Reply::Claim(taken(ClaimState::NotRun)))),
        ("claim-taken-unknown", ProposeReply::Done(Reply::Claim(taken(ClaimState::Unknown)))),
        ("claim-other-request", ProposeReply::Done(Reply::Claim(ClaimOutcome::OtherRequest))),
        ("claims-full", ProposeReply::Done(Reply::Claim(ClaimOutcome::Full))),
        ("settled", ProposeReply::Done(Reply::Settled)),
        ("document", ProposeReply::Done(Reply::Document { version: 7 })),
        ("rollout", ProposeReply::Done(Reply::Rollout)),
    ];
    for (name, reply) in replies {
        recorder.message(&format!("propose-reply-{name}"), |builder| {
            write_propose_reply(&reply, builder.init_root());
        });
    }
    let answer =
        Answer { status: 201, content_type: "application/json".into(), body: b"{}".to_vec() };
    let kept = [
        ("gone", KeptAnswer::Gone),
        ("running", KeptAnswer::Running),
        ("answered", KeptAnswer::Answered(answer)),
    ];
    for (name, answer) in kept {
        recorder.message(&format!("kept-answer-{name}"), |builder| {
            write_kept_answer(&answer, builder.init_root());
        });
    }
}

fn record_reports(recorder: &Recorder) {
    let mut demand = Demand { in_use: 3, ..Demand::default() };
    demand.wanted[0] = 5;
    let key =
        ObservationKey { service: "writer".into(), version: "v2".into(), route: "/write".into() };
    let observation = Observation {
        requests: 10,
        failures: 2,
        timed: 8,
        log_time_sum: 1.5,
        log_time_square_sum: 2.25,
    };
    let report = Report {
        instance: "entry-1".into(),
        demands: BTreeMap::from([("e-1".into(), demand)]),
        observations: [(key, observation)].into_iter().collect(),
        trips: BTreeMap::from([("m1".into(), "errors".into())]),
        grants_digest: 123,
    };
    recorder.message("report", |builder| write_report(&report, builder.init_root()));
    let reply = ReportReply {
        taken: true,
        grants: BTreeMap::from([("e-1".into(), 4)]),
        same: false,
    };
    recorder.message("report-reply", |builder| write_report_reply(&reply, builder.init_root()));
}

fn job() -> Job {
    Job {
        job_id: JobId { instance: 0, number: 42 },
        service: "writer".into(),
        tier: 1,
        rank: 2,
        account: Some("ana".into()),
        declared_tokens: Some(900),
        prompt_tokens: 600,
        output_tokens: 300,
        prefix: vec![PrefixPart { id: 11, tokens: 400 }, PrefixPart { id: 12, tokens: 200 }],
        objective_left_ms: 300,
        patience_left_ms: 2_000,
        deadline_left_ms: 15_000,
        returning: true,
        resumes_stream: true,
        is_last_attempt: true,
        failure_domain: "salto".into(),
        tried: vec!["e-1".into(), "e-2".into()],
        repeat: true,
    }
}

fn record_placement(recorder: &Recorder) {
    let job_id = job().job_id;
    recorder.message("job", |builder| write_job(&job(), builder.init_root()));
    let place = Decision::Place {
        job_id,
        endpoint: "e-1".into(),
        address: "10.0.0.9:8080".into(),
        first_byte_ms: 25,
    };
    recorder.message("decision-place", |builder| write_decision(&place, builder.init_root()));
    let reasons = [
        ("overloaded", Reason::Overloaded),
        ("no-endpoint", Reason::NoEndpoint),
        ("quota-exceeded", Reason::QuotaExceeded),
        ("retries-exhausted", Reason::RetriesExhausted),
        ("quarantined", Reason::Quarantined),
    ];
    for (name, reason) in reasons {
        let refuse = Decision::Refuse { job_id, reason, retry_after_ms: 1_500 };
        recorder.message(&format!("decision-{name}"), |builder| {
            write_decision(&refuse, builder.init_root());
        });
    }
    let outcomes = [
        Outcome::Answered,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::Broken,
        Outcome::NotConnected,
        Outcome::Misdirected,
        Outcome::Abandoned,
    ];
    let finished: Vec<Finished> = (1..)
        .zip(outcomes)
        .map(|(number, outcome)| Finished {
            job_id: JobId { instance: 0, number },
            outcome,
            first_byte_ms: (number % 2 == 0).then_some(20),
            rest_ms: 100,
            events: 5,
            is_connection_lost: number == 4,
            is_confirmed: number == 5,
        })
        .collect();
    recorder.message("finish-params", |builder| {
        let mut params = builder.init_root::<schema::placement::finish_params::Builder<'_>>();
        params.set_limits_revision(3);
        params.set_quarantines_revision(4);
        params.set_path_lost(true);
        write_begun(&[(1, 50), (2, 60)], params.reborrow().init_begun(2));
        write_finished(&finished, params.init_finished(7));
    });
    let stated = StatedLimit { per_s: 2.5, age_ms: 70 };
    let limits = [
        Limit { endpoint: "e-1".into(), incarnation: Some(5), stated },
        Limit { endpoint: "e-2".into(), incarnation: None, stated },
    ];
    recorder.message("finish-results", |builder| {
        let mut reply = builder.init_root::<schema::placement::finish_results::Builder<'_>>();
        reply.set_instances(5);
        reply.set_limits_revision(4);
        reply.reborrow().init_tight(1).set(0, "ana");
        reply.set_quarantines_revision(5);
        write_quarantines(&[quarantine()], reply.reborrow().init_quarantines(1));
        reply.reborrow().init_relays(1).set(0, "10.0.0.3:7600");
        write_limits(&limits, reply.init_limits(2));
    });
    let notices = [
        ("leaving", Notice { leaving: true, ..Notice::default() }, None),
        ("pause", Notice { pause_ms: Some(1_500), ..Notice::default() }, Some(5)),
        ("limit", Notice { limit: Some(stated), ..Notice::default() }, Some(5)),
        ("rejections", Notice { rejections: Some(stated), ..Notice::default() }, Some(5)),
    ];
    for (name, notice, incarnation) in notices {
        recorder.message(&format!("heed-{name}"), |builder| {
            let mut params = builder.init_root::<schema::placement::heed_params::Builder<'_>>();
            params.set_endpoint("e-1");
            write_notice(notice, incarnation, params);
        });
    }
    recorder.message("unlimited", |builder| {
        let mut params = builder.init_root::<schema::placement::unlimited_params::Builder<'_>>();
        params.set_number(42);
    });
    recorder.message("unlimited-rejections", |builder| {
        let mut params = builder.init_root::<schema::placement::unlimited_params::Builder<'_>>();
        params.set_number(42);
        params.set_kind(LimitKind::Rejections.into());
    });
    record_enter(recorder);
}

fn quarantine() -> Quarantine {
    Quarantine {
        service: "writer".into(),
        parts: vec![11, 12],
        first_crash_ago_ms: 9_000,
        next_trial_ms: 4_000,
        trials: 2,
    }
}

fn record_enter(recorder: &Recorder) {
    let in_flight = [InFlight {
        number: 41,
        endpoint: "e-1".into(),
        memory_tokens: 900,
        is_stream: true,
        age_ms: 70,
        prompt: Prompt::new([11, 12]),
    }];
    let usage = UsageReport {
        quotas: vec![Usage { account: "ana".into(), ago_ms: 80, units: 12.5 }],
        retries: vec![RetryUsage { service: "writer".into(), ago_ms: 90, requests: 9, retries: 2 }],
        crashes: CrashReport {
            crashes: vec![Crash {
                service: "writer".into(),
                start: EndpointStart { endpoint: "e-1".into(), incarnation: 5 },
                ago_ms: 600,
                prompts: vec![Prompt::new([11, 12]), Prompt::new([13])],
            }],
            answers: vec![PartAnswer { service: "writer".into(), part: 13, ago_ms: 20 }],
            quarantines: vec![quarantine()],
        },
    };
    recorder.message("enter-params", |builder| {
        let mut params = builder.init_root::<schema::peer::enter_params::Builder<'_>>();
        params.set_instance("entry-1");
        params.set_relay_address("10.0.0.1:7600");
        write_in_flight(&in_flight, params.reborrow().init_in_flight(1));
        write_usage(&usage, params);
    });
}

fn main() {
    let folder = std::env::args().nth(1).unwrap();
    std::fs::create_dir_all(Path::new(&folder)).unwrap();
    let recorder = Recorder { folder: folder.into() };
    record_stored(&recorder);
    record_consensus(&recorder);
    record_directory(&recorder);
    record_replies(&recorder);
    record_reports(&recorder);
    record_placement(&recorder);
}
