//! Messages of other instances with odd numbers, and bytes that are no messages.

use capnp::message::{Builder, ReaderOptions};
use googletest::prelude::*;
use lycheehub_consensus::{Entry, Message, Payload, Position, Snapshot};
use lycheehub_control::directory::{Listing, Overridden};
use lycheehub_dispatch::{Decision, JobId, Reason, RefusalBasis, Rule};
use lycheehub_types::EndpointRecord;
use lycheehub_wire::peer_capnp as schema;
use lycheehub_wire::{
    Report, read_decision, read_finished, read_in_flight, read_job, read_limits, read_message,
    read_notice, read_quarantines, read_usage, write_listings, write_message,
};
use proptest::prelude::*;

/// Three decades, in milliseconds.
const TIME_MAX_MS: u64 = 1_000_000_000_000;

#[gtest]
fn times_beyond_all_use_are_read_as_the_longest() {
    let mut message = Builder::new_default();
    let mut job = message.init_root::<schema::job::Builder<'_>>();
    job.set_objective_left_ms(u64::MAX);
    job.set_patience_left_ms(u64::MAX);
    job.set_deadline_left_ms(u64::MAX);
    let job = read_job(1, job.into_reader()).unwrap();
    let times = [job.objective_left_ms, job.patience_left_ms, job.deadline_left_ms];
    expect_that!(times, eq([TIME_MAX_MS; 3]));

    let mut message = Builder::new_default();
    let decision = message.init_root::<schema::decision::Builder<'_>>();
    decision.init_place().set_first_byte_ms(u64::MAX);
    let job_id = JobId { instance: 1, number: 1 };
    let reader = message.get_root_as_reader::<schema::decision::Reader<'_>>().unwrap();
    let decision = read_decision(job_id, reader).unwrap();
    let Decision::Place { first_byte_ms, .. } = decision else { panic!("{decision:?}") };
    expect_that!(first_byte_ms, eq(TIME_MAX_MS));

    let mut message = Builder::new_default();
    let mut notice = message.init_root::<schema::placement::heed_params::Builder<'_>>();
    notice.set_pause_ms(u64::MAX);
    let (notice, _) = read_notice(notice.into_reader()).unwrap();
    expect_that!(notice.pause_ms, some(eq(TIME_MAX_MS)));

    let mut message = Builder::new_default();
    let report = message.init_root::<schema::crash_report::Builder<'_>>();
    let mut quarantine = report.init_quarantines(1).get(0);
    quarantine.set_next_trial_ms(u64::MAX);
    quarantine.set_trials(u32::MAX);
    let reader = message.get_root_as_reader::<schema::crash_report::Reader<'_>>().unwrap();
    let quarantines = read_quarantines(reader.get_quarantines().unwrap());
    expect_that!(quarantines[0].next_trial_ms, eq(TIME_MAX_MS));
    expect_that!(quarantines[0].trials, lt(u32::MAX));
}

/// Guards against facts about an endpoint that one replica alone knows, because they are not sent (review/13).
#[gtest]
fn which_start_has_left_and_which_listing_was_overridden_arrive() {
    let mut message = Builder::new_default();
    let record = message.init_root::<schema::endpoint_record::Builder<'_>>();
    let record: EndpointRecord = record.into_reader().try_into().unwrap();
    let overridden = Overridden { count: 2, incarnation: 0, sequence: 5 };
    let listings = [
        Listing::announced(record.clone()),
        Listing { left: Some(0), ..Listing::announced(record.clone()) },
        Listing { overridden: Some(overridden), ..Listing::announced(record) },
    ];
    let mut message = Builder::new_default();
    let reply = message.init_root::<schema::peer::watch_results::Builder<'_>>();
    write_listings(&listings, reply.init_listings(listings.len() as u32));
    let reply = message.get_root_as_reader::<schema::peer::watch_results::Reader<'_>>().unwrap();
    let read = lycheehub_wire::read_listings(reply.get_listings().unwrap());
    expect_that!(read, eq(&listings));
}

#[gtest]
fn usage_that_is_no_number_leaves_the_other_entries_in_force() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, f64::MAX];
    let mut message = Builder::new_default();
    let params = message.init_root::<schema::peer::enter_params::Builder<'_>>();
    let mut usage = params.init_usage(odd.len() as u32 + 1);
    for (index, units) in (0..).zip(odd) {
        usage.reborrow().get(index).set_units(units);
    }
    usage.get(odd.len() as u32).set_units(7.5);
    let reader = message.get_root_as_reader::<schema::peer::enter_params::Reader<'_>>().unwrap();
    let usage = read_usage(reader).unwrap().quotas;
    expect_that!(usage.iter().map(|usage| usage.units).collect::<Vec<_>>(), eq(&[7.5]));
}

const ODD_COUNTS: [u64; 3] = [(1 << 62) + 1, u64::MAX - 1, u64::MAX];

#[gtest]
fn consensus_messages_with_numbers_that_no_replica_reaches_are_ignored() {
    let read = |message: &Message| {
        let mut builder = Builder::new_default();
        let mut wire = builder.init_root::<schema::consensus_message::Builder<'_>>();
        write_message(message, wire.reborrow());
        read_message(wire.into_reader()).unwrap()
    };
    let with = |number: u64| {
        let position = Position { term: number, index: 3 };
        let index = Position { term: 3, index: number };
        let snapshot = Snapshot { position: index, ..Snapshot::default() };
        let entries = vec![Entry { position: index, payload: Payload::Noop }];
        let sound = Position { term: 3, index: 3 };
        let append = |term, previous, entries, commit, round| Message::Append {
            term,
            previous,
            entries,
            commit,
            round,
        };
        [
            Message::PreVote { term: number, last: sound },
            Message::PreVote { term: 3, last: position },
            Message::PreVoteReply { term: number, granted: false },
            Message::RequestVote { term: number, last: sound, transfer: false },
            Message::RequestVote { term: 3, last: index, transfer: true },
            Message::VoteReply { term: number, granted: true },
            append(number, sound, vec![], 3, 3),
            append(3, position, vec![], 3, 3),
            append(3, sound, entries, 3, 3),
            append(3, sound, vec![], number, 3),
            append(3, sound, vec![], 3, number),
            Message::AppendReply { term: number, accepted: true, index: 3, round: 3 },
            Message::AppendReply { term: 3, accepted: true, index: number, round: 3 },
            Message::AppendReply { term: 3, accepted: true, index: 3, round: number },
            Message::Install { term: number, snapshot: Snapshot::default(), round: 3 },
            Message::Install { term: 3, snapshot, round: 3 },
            Message::Install { term: 3, snapshot: Snapshot::default(), round: number },
            Message::CampaignNow { term: number },
        ]
    };
    for number in ODD_COUNTS {
        for message in with(number) {
            expect_that!(read(&message), none(), "{message:?}");
        }
    }
    for message in with(1 << 62) {
        expect_that!(read(&message), some(eq(&message)));
    }
}

#[gtest]
fn observations_that_are_no_sums_leave_the_other_ones_in_force() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e16, -1e16, f64::MAX];
    let mut message = Builder::new_default();
    let report = message.init_root::<schema::report::Builder<'_>>();
    let count = (2 * odd.len() + ODD_COUNTS.len()) as u32;
    let mut observations = report.init_observations(count + 1);
    for index in 0..=count {
        observations.reborrow().get(index).set_service(format!("service-{index}"));
    }
    for (index, value) in (0..).zip(odd) {
        observations.reborrow().get(2 * index).set_log_time_sum(value);
        observations.reborrow().get(2 * index + 1).set_log_time_square_sum(value);
    }
    for (index, number) in (2 * odd.len() as u32..).zip(ODD_COUNTS) {
        observations.reborrow().get(index).set_requests(number);
    }
    let mut sound = observations.get(count);
    sound.set_requests(7);
    sound.set_log_time_sum(-7.5);
    let reader = message.get_root_as_reader::<schema::report::Reader<'_>>().unwrap();
    let observations = Report::try_from(reader).unwrap().observations;
    let sums = observations.values().map(|sum| (sum.requests, sum.log_time_sum));
    expect_that!(sums.collect::<Vec<_>>(), eq(&[(7, -7.5)]));
}

/// Reads the bytes as each kind of message; only panics matter, not whether they can be read.
fn read_as_any_message(mut bytes: &[u8]) -> Option<()> {
    let options = ReaderOptions::new();
    let message = capnp::serialize::read_message_from_flat_slice(&mut bytes, options).ok()?;
    let _ = message.get_root().map(|reader| read_job(1, reader));
    let job_id = JobId { instance: 1, number: 1 };
    let _ = message.get_root().map(|reader| read_decision(job_id, reader));
    let _ = message.get_root().map(|reader| read_notice(reader));
    let _ = message.get_root().map(|reader| read_usage(reader));
    let _ = message.get_root::<schema::report::Reader<'_>>().map(Report::try_from);
    let _ = message.get_root::<schema::listing::Reader<'_>>().map(Listing::try_from);
    let delta = message.get_root::<schema::delta::Reader<'_>>();
    let _ = delta.map(lycheehub_control::registry::Delta::try_from);
    let consensus = message.get_root::<schema::consensus_message::Reader<'_>>();
    let _ = consensus.map(Message::try_from);
    let reply = message.get_root::<schema::propose_reply::Reader<'_>>();
    let _ = reply.map(lycheehub_wire::ProposeReply::try_from);
    let list = message.get_root::<capnp::struct_list::Reader<'_, schema::in_flight::Owned>>();
    let _ = list.map(read_in_flight);
    let list = message.get_root::<capnp::struct_list::Reader<'_, schema::limit::Owned>>();
    let _ = list.map(read_limits);
    let list = message.get_root::<capnp::struct_list::Reader<'_, schema::finished::Owned>>();
    let _ = list.map(|list| read_finished(1, list));
    Some(())
}

/// A message of a few words behind a sound segment table, so that its pointers are followed.
fn framed(words: &[u64]) -> Vec<u8> {
    let mut bytes = vec![0, 0, 0, 0];
    bytes.extend((words.len() as u32).to_le_bytes());
    bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(20_000) })]

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_as_any_message(&bytes);
    }

    #[test]
    fn any_words_are_read_without_a_panic(
        root in prop_oneof![Just(0x0008_0008_0000_0000_u64), Just(0x0003_000a_0000_0000), any::<u64>()],
        words in prop::collection::vec(
            prop_oneof![any::<u64>(), 0..64_u64, Just(u64::MAX), Just(0x0000_0017_0000_0001)], 0..40,
        ),
    ) {
        let words: Vec<u64> = std::iter::once(root).chain(words).collect();
        let _ = read_as_any_message(&framed(&words));
    }
}

#[gtest]
fn the_rule_of_a_refusal_and_its_inputs_arrive() {
    for rule in [Rule::Infeasible, Rule::Late, Rule::Overdue, Rule::TierShed, Rule::QueueFull] {
        let basis = RefusalBasis { rule, mean_ms: 4_000, fastest_ms: 1_500, backlog_ms: 700 };
        let job_id = JobId { instance: 1, number: 3 };
        let reason = Reason::Overloaded;
        let refused = Decision::Refuse { job_id, reason, retry_after_ms: 1_500, basis };
        let mut message = Builder::new_default();
        lycheehub_wire::write_decision(&refused, message.init_root());
        let reader = message.get_root_as_reader().unwrap();
        expect_that!(lycheehub_wire::read_decision(job_id, reader), ok(eq(&refused)));
    }
}
