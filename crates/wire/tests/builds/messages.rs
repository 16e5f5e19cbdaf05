//! Tests that messages of earlier builds are read as meant. What an earlier build did not send yet has
//! its neutral value.

use super::{BUILDS, LAST_BUILD, recorded};
use googletest::prelude::*;
use lycheehub_consensus::{Message, Payload, Position, ReplicaId};
use lycheehub_control::registry::Delta;
use lycheehub_control::state::{ApplyOutcome, ClaimOutcome, ClaimState, Claimant, Reply};
use lycheehub_dispatch::crashes::Suspect;
use lycheehub_dispatch::{
    Decision, JobId, LimitKind, Notice, Outcome, Reason, RefusalBasis, StatedLimit,
};
use lycheehub_types::{AccountName, EndpointKind, EndpointRecord};
use lycheehub_wire::peer_capnp as schema;
use lycheehub_wire::{Answer, KeptAnswer, ProposeReply, Report, ReportReply};

const JOB: JobId = JobId { instance: 7, number: 42 };
const STATED: StatedLimit = StatedLimit { per_s: 2.5, age_ms: 70 };

/// Returns whether a build knows requests' prompts, rejections and relays.
fn knows_prompts(build: &str) -> bool {
    build != "4f1d2c8"
}

fn consensus(build: &str, name: &str) -> Message {
    let message = recorded(build, &format!("consensus-{name}"));
    let params = message.get_root::<schema::peer::consensus_params::Reader<'_>>().unwrap();
    assert_eq!((params.get_sender(), params.get_receiver()), (1, u64::MAX));
    lycheehub_wire::read_message(params.get_message().unwrap()).unwrap().unwrap()
}

#[gtest]
fn consensus_messages_are_read() {
    let last = Position { term: 3, index: 11 };
    let messages = [
        ("pre-vote", Message::PreVote { term: 4, last }),
        ("pre-vote-reply", Message::PreVoteReply { term: 4, granted: true }),
        ("request-vote", Message::RequestVote { term: 4, last, transfer: true }),
        ("vote-reply", Message::VoteReply { term: 4, granted: true }),
        ("append-reply", Message::AppendReply { term: 3, accepted: true, index: 11, round: 41 }),
        ("campaign-now", Message::CampaignNow { term: 5 }),
    ];
    for build in BUILDS {
        for (name, expected) in &messages {
            expect_that!(&consensus(build, name), eq(expected), "{build} {name}");
        }
    }
}

#[gtest]
fn entries_and_snapshots_are_read() {
    for build in BUILDS {
        let Message::Append { term: 3, previous, entries, commit: 9, round: 41 } =
            consensus(build, "append")
        else {
            panic!("{build}");
        };
        expect_that!(previous, eq(Position { term: 2, index: 8 }));
        let indices: Vec<u64> = entries.iter().map(|entry| entry.position.index).collect();
        expect_that!(indices, eq(&[9, 10, 11]));
        expect_that!(entries[0].payload, eq(&Payload::Noop));
        let Payload::Config(config) = &entries[1].payload else { panic!("{build}") };
        expect_that!(config.voters[&ReplicaId(u64::MAX)].as_str(), eq("control-3"));
        let command = super::recorded_bytes(build, "command-claim.postcard");
        expect_that!(entries[2].payload, eq(&Payload::Command(command)));
        let Message::Install { term: 3, snapshot, round: 42 } = consensus(build, "install") else {
            panic!("{build}");
        };
        expect_that!(&snapshot.config, eq(config));
        expect_that!(snapshot.data, eq(&super::recorded_bytes(build, "state.postcard")));
    }
}

fn check_endpoint(record: &EndpointRecord, name: &str) {
    expect_that!(
        record,
        matches_pattern!(EndpointRecord {
            endpoint: eq(&name.into()),
            address: eq("10.0.0.9:8080"),
            service: eq(&"writer".into()),
            version: eq(&"v1".into()),
            kind: eq(&EndpointKind::Plain),
            slots: eq(&9),
            fencing: eq(&true),
            takes_orders: eq(&true),
            incarnation: eq(&1_700_000_000_001),
            sequence: eq(&12),
            leaving: eq(&true),
            ..
        })
    );
    expect_that!((record.load.running, record.load.waiting), eq((3, 4)));
}

#[gtest]
fn records_and_listings_are_read() {
    for build in BUILDS {
        let message = recorded(build, "gossip-params");
        let params = message.get_root::<schema::peer::gossip_params::Reader<'_>>().unwrap();
        expect_that!(params.get_started(), eq(true));
        let delta = Delta::try_from(params.get_delta().unwrap()).unwrap();
        let (instance, age_ms) = &delta.instances[0];
        expect_that!((instance.instance.as_str(), *age_ms), eq(("entry-1", 100)));
        expect_that!((instance.replica_id, instance.revision_in_force), eq((7, 8)));
        expect_that!(instance.stopping, eq(true));
        expect_that!(instance.shed_floor.len(), eq(1));
        expect_that!(delta.endpoints.len(), eq(2));
        check_endpoint(&delta.endpoints[1].0, "e-2");
        let (renewal, age_ms) = &delta.renewals[0];
        expect_that!((renewal.key, renewal.sequence, *age_ms), eq((99, 13, 10)));
        let (renewal, age_ms) = &delta.instance_renewals[0];
        expect_that!((renewal.key, renewal.revision_in_force, *age_ms), eq((98, 9, 20)));

        let message = recorded(build, "watch-results");
        let reply = message.get_root::<schema::peer::watch_results::Reader<'_>>().unwrap();
        expect_that!((reply.get_epoch(), reply.get_change()), eq((1, 2)));
        expect_that!((reply.get_revision(), reply.get_relayed()), eq((3, 4)));
        let listings = lycheehub_wire::read_listings(reply.get_listings().unwrap());
        let states: Vec<_> = listings.iter().map(|entry| (entry.gone, entry.withdrawn)).collect();
        expect_that!(states, eq(&[(false, false), (true, true)]));
        check_endpoint(&listings[0].record, "e-1");
        let facts: Vec<_> = listings.iter().map(|entry| (entry.left, entry.overridden)).collect();
        expect_that!(facts, eq(&[(None, None); 2]));
        let relays = lycheehub_wire::read_listings(reply.get_relays().unwrap());
        expect_that!(relays.len(), eq(1));

        let message = recorded(build, "watch-params");
        let params = message.get_root::<schema::peer::watch_params::Reader<'_>>().unwrap();
        let heard = lycheehub_wire::read_heard(params.get_heard().unwrap());
        let position = heard[&"control-2".into()];
        expect_that!((position.epoch, position.change), eq((5, 6)));
    }
}

#[gtest]
fn replies_to_proposals_are_read() {
    let claimant =
        Claimant { instance: "entry-1".into(), incarnation: 1_700_000_000_001, request: 77 };
    let taken = |state| {
        let claimant = claimant.clone();
        ProposeReply::Done(Reply::Claim(ClaimOutcome::Taken { claimant, state }))
    };
    let apply = |outcome| ProposeReply::Done(Reply::Apply(outcome));
    let claim = |outcome| ProposeReply::Done(Reply::Claim(outcome));
    let conflict =
        ApplyOutcome::Conflict { revision: 5, operator: "ana".into(), request_id: "r1".into() };
    let replies = [
        ("not-leader", ProposeReply::NotLeader),
        ("unknown", ProposeReply::Unknown),
        ("accepted", apply(ApplyOutcome::Accepted { revision: 4 })),
        ("conflict", apply(conflict)),
        ("invalid", apply(ApplyOutcome::Invalid { message: "no".into() })),
        ("stepped", ProposeReply::Done(Reply::Stepped(true))),
        ("claim-granted", claim(ClaimOutcome::Granted)),
        ("claim-taken-open", taken(ClaimState::Open)),
        ("claim-taken-answered", taken(ClaimState::Answered)),
        ("claim-taken-not-run", taken(ClaimState::NotRun)),
        ("claim-taken-unknown", taken(ClaimState::Unknown)),
        ("claim-other-request", claim(ClaimOutcome::OtherRequest)),
        ("claims-full", claim(ClaimOutcome::Full)),
        ("settled", ProposeReply::Done(Reply::Settled)),
        ("document", ProposeReply::Done(Reply::Document { version: 7 })),
        ("rollout", ProposeReply::Done(Reply::Rollout)),
    ];
    for build in BUILDS {
        for (name, expected) in &replies {
            let message = recorded(build, &format!("propose-reply-{name}"));
            let reply = message.get_root::<schema::propose_reply::Reader<'_>>().unwrap();
            expect_that!(ProposeReply::try_from(reply), ok(eq(expected)), "{build} {name}");
        }
    }
}

#[gtest]
fn kept_answers_and_reports_are_read() {
    let body = b"{}".to_vec();
    let answer = Answer { status: 201, content_type: "application/json".into(), body };
    let kept = [
        ("gone", KeptAnswer::Gone),
        ("running", KeptAnswer::Running),
        ("answered", KeptAnswer::Answered(answer)),
    ];
    for build in BUILDS {
        for (name, expected) in &kept {
            let message = recorded(build, &format!("kept-answer-{name}"));
            let answer = message.get_root::<schema::kept_answer::Reader<'_>>().unwrap();
            expect_that!(KeptAnswer::try_from(answer), ok(eq(expected)), "{build} {name}");
        }
        let message = recorded(build, "report");
        let reader = message.get_root::<schema::report::Reader<'_>>().unwrap();
        let report = Report::try_from(reader).unwrap();
        expect_that!((report.instance.as_str(), report.grants_digest), eq(("entry-1", 123)));
        let demand = &report.demands[&"e-1".into()];
        expect_that!((demand.in_use, demand.wanted[0]), eq((3, 5)));
        let (key, observation) = report.observations.first_key_value().unwrap();
        expect_that!((key.service.as_str(), key.version.as_str()), eq(("writer", "v2")));
        expect_that!((observation.requests, observation.failures), eq((10, 2)));
        expect_that!(report.trips["m1"].as_str(), eq("errors"));
        let message = recorded(build, "report-reply");
        let reader = message.get_root::<schema::report_reply::Reader<'_>>().unwrap();
        let reply = ReportReply::try_from(reader).unwrap();
        expect_that!((reply.taken, reply.same, reply.grants.len()), eq((true, false, 1)));
    }
}

#[gtest]
fn jobs_are_read() {
    for build in BUILDS {
        let message = recorded(build, "job");
        let job = lycheehub_wire::read_job(7, message.get_root().unwrap()).unwrap();
        expect_that!(job.job_id, eq(JOB));
        expect_that!((job.service.as_str(), job.tier, job.rank), eq(("writer", 1, 2)));
        expect_that!(job.account.as_ref().map(AccountName::as_str), some(eq("ana")));
        expect_that!(job.declared_tokens, some(eq(900)));
        expect_that!((job.prompt_tokens, job.output_tokens), eq((600, 300)));
        let parts: Vec<_> = job.prefix.iter().map(|part| (part.id, part.tokens)).collect();
        expect_that!(parts, eq(&[(11, 400), (12, 200)]));
        let left_ms = (job.objective_left_ms, job.patience_left_ms, job.deadline_left_ms);
        expect_that!(left_ms, eq((300, 2_000, 15_000)));
        let marks = [job.returning, job.resumes_stream, job.is_last_attempt, job.repeat];
        expect_that!(marks, each(eq(true)));
        expect_that!(job.tried.len(), eq(2));
    }
}

#[gtest]
fn decisions_are_read() {
    for build in BUILDS {
        let read = |name: &str| {
            let message = recorded(build, &format!("decision-{name}"));
            lycheehub_wire::read_decision(JOB, message.get_root().unwrap()).unwrap()
        };
        let placed = Decision::Place {
            job_id: JOB,
            endpoint: "e-1".into(),
            address: "10.0.0.9:8080".into(),
            first_byte_ms: 25,
        };
        expect_that!(read("place"), eq(&placed));
        let mut reasons = vec![
            ("overloaded", Reason::Overloaded),
            ("no-endpoint", Reason::NoEndpoint),
            ("quota-exceeded", Reason::QuotaExceeded),
            ("retries-exhausted", Reason::RetriesExhausted),
        ];
        reasons.extend(knows_prompts(build).then_some(("quarantined", Reason::Quarantined)));
        for (name, reason) in reasons {
            let basis = RefusalBasis::default();
            let refused = Decision::Refuse { job_id: JOB, reason, retry_after_ms: 1_500, basis };
            expect_that!(read(name), eq(&refused), "{build}");
        }
    }
}

#[gtest]
fn results_and_heartbeats_are_read() {
    let outcomes = [
        Outcome::Answered,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::Broken,
        Outcome::NotConnected,
        Outcome::Misdirected,
        Outcome::Abandoned,
    ];
    for build in BUILDS {
        let is_newer = knows_prompts(build);
        let message = recorded(build, "finish-params");
        let params = message.get_root::<schema::placement::finish_params::Reader<'_>>().unwrap();
        let finished = lycheehub_wire::read_finished(7, params.get_finished().unwrap());
        let read: Vec<Outcome> = finished.iter().map(|result| result.outcome).collect();
        expect_that!(read, eq(&outcomes));
        expect_that!(finished[1].first_byte_ms, some(eq(20)));
        expect_that!(finished[0].first_byte_ms, none());
        expect_that!(finished[3].is_connection_lost, eq(is_newer));
        expect_that!(finished[4].is_confirmed, eq(is_newer));
        expect_that!(params.get_limits_revision(), eq(3));
        expect_that!(params.get_path_lost(), eq(is_newer));
        let begun = lycheehub_wire::read_begun(7, params.get_begun().unwrap());
        expect_that!(begun.len(), eq(if is_newer { 2 } else { 0 }));

        let message = recorded(build, "finish-results");
        let reply = message.get_root::<schema::placement::finish_results::Reader<'_>>().unwrap();
        expect_that!((reply.get_instances(), reply.get_limits_revision()), eq((5, 4)));
        let limits = lycheehub_wire::read_limits(reply.get_limits().unwrap());
        let known: Vec<_> = limits.iter().map(|limit| (limit.incarnation, limit.stated)).collect();
        expect_that!(known, eq(&[(Some(5), STATED), (None, STATED)]));
        // A revision of 0 is the one that a session begins with: the quarantines are not replaced.
        expect_that!(reply.get_quarantines_revision(), eq(if is_newer { 5 } else { 0 }));
        let quarantines = lycheehub_wire::read_quarantines(reply.get_quarantines().unwrap());
        expect_that!(quarantines.len(), eq(usize::from(is_newer)));
        expect_that!(reply.get_relays().unwrap().len(), eq(u32::from(is_newer)));
    }
}

#[gtest]
fn notices_are_read() {
    for build in BUILDS {
        let read = |name: &str| {
            let message = recorded(build, &format!("heed-{name}"));
            lycheehub_wire::read_notice(message.get_root().unwrap()).unwrap()
        };
        let notice = Notice::default();
        expect_that!(read("leaving"), eq((Notice { leaving: true, ..notice }, None)));
        let pause = Notice { pause_ms: Some(1_500), ..notice };
        expect_that!(read("pause"), eq((pause, Some(5))));
        expect_that!(read("limit"), eq((Notice { limit: Some(STATED), ..notice }, Some(5))));
        let kind = |name: &str| {
            let message = recorded(build, name);
            lycheehub_wire::read_limit_kind(message.get_root().unwrap())
        };
        expect_that!(kind("unlimited"), some(eq(LimitKind::Requests)));
        if knows_prompts(build) {
            let rejections = Notice { rejections: Some(STATED), ..notice };
            expect_that!(read("rejections"), eq((rejections, Some(5))));
            expect_that!(kind("unlimited-rejections"), some(eq(LimitKind::Rejections)));
        }
    }
}

#[gtest]
fn entering_instances_are_read() {
    for build in BUILDS {
        let message = recorded(build, "enter-params");
        let params = message.get_root::<schema::peer::enter_params::Reader<'_>>().unwrap();
        let in_flight = lycheehub_wire::read_in_flight(params.get_in_flight().unwrap());
        expect_that!(in_flight.len(), eq(1));
        expect_that!((in_flight[0].number, in_flight[0].endpoint.as_str()), eq((41, "e-1")));
        expect_that!((in_flight[0].is_stream, in_flight[0].age_ms), eq((true, 70)));
        let parts: Vec<u64> = in_flight[0].content.prompt().ids().collect();
        expect_that!(parts, eq(if knows_prompts(build) { &[11, 12][..] } else { &[] }));
        let usage = lycheehub_wire::read_usage(params).unwrap();
        expect_that!(usage.quotas[0].units, eq(12.5));
        expect_that!((usage.retries[0].requests, usage.retries[0].retries), eq((9, 2)));
        expect_that!(usage.crashes.crashes.len(), eq(usize::from(knows_prompts(build))));
        // An empty address is not named to others: that instance relays no connections.
        let relay_address = params.get_relay_address().unwrap().to_str().unwrap();
        expect_that!(relay_address.is_empty(), eq(!knows_prompts(build)));
    }
    let message = recorded(LAST_BUILD, "enter-params");
    let usage = lycheehub_wire::read_usage(message.get_root().unwrap()).unwrap();
    let crash = &usage.crashes.crashes[0];
    expect_that!((crash.start.endpoint.as_str(), crash.start.incarnation), eq(("e-1", 5)));
    expect_that!((crash.ago_ms, crash.contents.len()), eq((600, 2)));
    expect_that!(usage.crashes.answers[0].suspect, eq(Suspect::Part(13)));
    let suspects = &usage.crashes.quarantines[0].suspects;
    expect_that!(suspects, eq(&[Suspect::Part(11), Suspect::Part(12)]));
}
