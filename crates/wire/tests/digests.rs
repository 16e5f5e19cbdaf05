//! The identities of requests on the wire: known to builds that have them, unknown beside those that have not.

use capnp::message::Builder;
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{
    Answer, Content, Crash, CrashReport, EndpointStart, Prompt, Quarantine, RequestDigest, Suspect,
};
use lycheehub_dispatch::{InFlight, Job, JobId, PrefixPart, UsageReport};
use lycheehub_wire::peer_capnp::{job, peer, placement};
use lycheehub_wire::{
    read_in_flight, read_job, read_quarantines, read_usage, write_in_flight, write_job,
    write_quarantines, write_usage,
};

fn digest() -> RequestDigest {
    RequestDigest::new(0xfeed_dead)
}

fn job_with(digest: Option<RequestDigest>) -> Job {
    Job {
        job_id: JobId { instance: 3, number: 7 },
        service: "labels".into(),
        tier: 0,
        rank: 1,
        account: Some("packhouse".into()),
        declared_tokens: None,
        prompt_tokens: 5,
        output_tokens: 6,
        prefix: vec![PrefixPart { id: 1, tokens: 5 }],
        digest,
        objective_left_ms: 1,
        patience_left_ms: 2,
        deadline_left_ms: 3,
        returning: false,
        resumes_stream: false,
        is_last_attempt: true,
        failure_domain: "salto".into(),
        tried: vec![],
        regions: None,
        repeat: false,
    }
}

fn quarantine_of(suspects: &[Suspect]) -> Quarantine {
    Quarantine {
        service: "labels".into(),
        suspects: suspects.to_vec(),
        first_crash_ago_ms: 10,
        next_trial_ms: 20,
        trials: 1,
    }
}

#[gtest]
fn a_job_has_its_identity_or_none() {
    for digest in [Some(digest()), None] {
        let mut message = Builder::new_default();
        write_job(&job_with(digest), message.init_root::<job::Builder<'_>>());
        let reader = message.get_root_as_reader::<job::Reader<'_>>().unwrap();
        expect_that!(read_job(3, reader).unwrap(), eq(&job_with(digest)));
    }
}

#[gtest]
fn an_identity_of_another_length_is_not_known_and_ends_no_session() {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<job::Builder<'_>>();
    write_job(&job_with(None), builder.reborrow());
    builder.set_digest(b"of a later build");
    builder.set_digest(&[1; 40]);
    let reader = message.get_root_as_reader::<job::Reader<'_>>().unwrap();
    expect_that!(read_job(3, reader).unwrap(), eq(&job_with(None)));
}

#[gtest]
fn a_quarantined_request_refuses_nothing_at_a_build_that_knows_parts_only() {
    let told = [
        quarantine_of(&[Suspect::Part(7), Suspect::Request(digest())]),
        quarantine_of(&[Suspect::Request(digest())]),
        quarantine_of(&[Suspect::Part(7), Suspect::Part(9)]),
    ];
    let mut message = Builder::new_default();
    let results = message.init_root::<placement::finish_results::Builder<'_>>();
    write_quarantines(&told, results.init_quarantines(told.len() as u32));
    let reader = message.get_root_as_reader::<placement::finish_results::Reader<'_>>().unwrap();
    let entries = reader.get_quarantines().unwrap();
    // The build before reads `parts`, and keeps no quarantine without any.
    let parts: Vec<usize> =
        entries.iter().map(|entry| entry.get_parts().unwrap().len() as usize).collect();
    expect_that!(parts, elements_are![eq(&0), eq(&0), eq(&2)]);
    expect_that!(read_quarantines(entries), eq(&told.to_vec()));
}

#[gtest]
fn a_report_has_crashes_and_answers_with_identities() {
    let contents = vec![
        Content::new(Prompt::new([1, 2]), Some(digest())),
        Content::new(Prompt::default(), Some(RequestDigest::new(5))),
        Content::new(Prompt::new([1, 2]), None),
    ];
    let start = EndpointStart { endpoint: "a".into(), incarnation: 4 };
    let crash = Crash { service: "labels".into(), start, ago_ms: 9, contents };
    let answer = |suspect| Answer { service: "labels".into(), suspect, ago_ms: 8 };
    let crashes = CrashReport {
        crashes: vec![crash],
        answers: vec![answer(Suspect::Part(3)), answer(Suspect::Request(digest()))],
        quarantines: vec![quarantine_of(&[Suspect::Request(digest())])],
    };
    let usage = UsageReport { crashes, ..UsageReport::default() };
    let in_flight = [InFlight {
        number: 1,
        endpoint: "a".into(),
        memory_tokens: 0,
        is_stream: false,
        age_ms: 3,
        content: Content::new(Prompt::new([1, 2]), Some(digest())),
    }];
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<peer::enter_params::Builder<'_>>();
    write_usage(&usage, builder.reborrow());
    write_in_flight(&in_flight, builder.init_in_flight(1));
    let reader = message.get_root_as_reader::<peer::enter_params::Reader<'_>>().unwrap();
    expect_that!(read_usage(reader).unwrap(), eq(&usage));
    let read = read_in_flight(reader.get_in_flight().unwrap());
    expect_that!(read, eq(&in_flight.to_vec()));
}
